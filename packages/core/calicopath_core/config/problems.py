"""Collect everything that is wrong with configuration, so that it is reported at once."""

from __future__ import annotations

from typing import NamedTuple


class Problem(NamedTuple):
    """Say what is wrong and where: `source` is a file or store key, `path` a place in it."""

    source: str
    path: str
    message: str

    def __str__(self) -> str:
        """Return the line shown to a user."""
        return f'{self.source}: {self.path}: {self.message}'


class ProblemList:
    """Gather problems while the whole of a document is checked."""

    def __init__(self, *, source: str) -> None:
        self.source = source
        self.problems: list[Problem] = []

    def add(self, path: str, message: str) -> None:
        """Note one problem at `path`."""
        self.problems.append(Problem(self.source, path, message))
