"""Run requests through the stages of their pipelines."""
