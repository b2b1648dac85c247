"""Print results as tables or JSON."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Sequence


class OutputFormat(enum.StrEnum):
    """Name the output formats: text for people, JSON for scripts."""

    TEXT = 'text'
    JSON = 'json'


def print_json(data: Any) -> None:
    """Print data as one indented JSON document."""
    print(msgspec.json.format(msgspec.json.encode(data), indent=2).decode())


def print_table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print headers and rows in aligned columns."""
    table = [list(headers), *[[str(cell) for cell in row] for row in rows]]
    widths = [max(len(row[column]) for row in table) for column in range(len(headers))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print('  '.join(cells).rstrip())


def print_rows(output: OutputFormat, headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Print rows as a table, or as a JSON list of objects whose keys are the headers."""
    if output is OutputFormat.JSON:
        print_json([dict(zip(headers, row, strict=True)) for row in rows])
        return
    print_table(headers, rows)
