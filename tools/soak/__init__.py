"""Run the real program as processes under faults that a seed decides, and judge what was seen."""
