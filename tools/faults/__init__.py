"""Provoke failures among real processes and check what must hold; exit 0 only if all does.

No verdict depends on speed: only on what was answered, what the stand-ins counted, and what is
in force in the end.
"""
