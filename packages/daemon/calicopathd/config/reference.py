"""Read the docstring below each option of a schema, for `--help` and the reference page."""

from __future__ import annotations

import ast
import inspect
import textwrap
from itertools import pairwise
from typing import NamedTuple

from calicopathd.config.options import options_of


class OptionDoc(NamedTuple):
    """Describe one setting for `--help` and the reference page."""

    name: str
    flag: str
    variable: str
    kind: str
    default: str | None
    doc: str


def option_docs(schema: type) -> list[OptionDoc]:
    """Return a description of every option of a schema, in order."""
    texts = attribute_docstrings(schema)
    return [
        OptionDoc(
            name, option.flag, option.variable, option.describe(), option.default, texts[name]
        )
        for name, option in options_of(schema).items()
    ]


def attribute_docstrings(schema: type) -> dict[str, str]:
    """Return the docstrings below the assignments of a class body, by attribute name."""
    tree = ast.parse(textwrap.dedent(inspect.getsource(schema)))
    body = tree.body[0]
    assert isinstance(body, ast.ClassDef)
    found: dict[str, str] = {}
    for statement, following in pairwise(body.body):
        if not isinstance(statement, ast.Assign) or not isinstance(following, ast.Expr):
            continue
        target = statement.targets[0]
        value = following.value
        if isinstance(target, ast.Name) and isinstance(value, ast.Constant):
            found[target.id] = ' '.join(str(value.value).split())
    return found


def reference_table(schema: type) -> str:
    """Return the settings as a Markdown table."""
    lines = [
        '| flag | environment variable | takes | default | meaning |',
        '| --- | --- | --- | --- | --- |',
    ]
    for item in option_docs(schema):
        default = 'required' if item.default is None else f'`{item.default}`'
        lines.append(
            f'| `{item.flag}` | `{item.variable}` | {item.kind} | {default} | {item.doc} |'
        )
    return '\n'.join(lines) + '\n'
