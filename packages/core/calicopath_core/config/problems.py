"""Collect all problems of a configuration, so that they are reported together."""

from __future__ import annotations

from typing import NamedTuple


class Problem(NamedTuple):
    """Describe a problem; `source` is a file or store key, `path` the field in it."""

    source: str
    path: str
    message: str

    def __str__(self) -> str:
        """Return the line that is shown to users."""
        return f'{self.source}: {self.path}: {self.message}'


class ProblemList:
    """Collect the problems of one document during its validation."""

    def __init__(self, *, source: str) -> None:
        self.source = source
        self.problems: list[Problem] = []

    def add(self, path: str, message: str) -> None:
        """Add a problem with the field at `path`."""
        self.problems.append(Problem(self.source, path, message))
