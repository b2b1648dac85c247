"""Define how configuration and its change records are stored."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple, TypedDict

from calicopath_core.store.view import ViewUpdate

if TYPE_CHECKING:
    from calicopath_core.store.base import StoredObject


class ChangeAction(enum.StrEnum):
    """Name the operator action behind a change."""

    APPLY = 'apply'
    DELETE = 'delete'
    ADD = 'add'
    DRAIN = 'drain'
    STOP = 'stop'


class ChangeRecord(TypedDict):
    """Record one accepted change; written in the same update as the change itself."""

    id: str
    sequence: int
    who: str
    when: float
    action: str
    key: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None


class ConfigValue(TypedDict):
    """Hold the content of an object and the record of its last change."""

    spec: dict[str, Any] | None
    change: ChangeRecord


class Change(NamedTuple):
    """Request a change of one object; `spec` is `None` to delete it."""

    id: str
    key: str
    spec: dict[str, Any] | None
    who: str
    action: ChangeAction


UNREADABLE: dict[str, Any] = {}
"""Stands for a document that another program has written in another form: it is rejected when it is
parsed, by itself, and boxes can exchange it."""


def view_update(stored: StoredObject) -> ViewUpdate:
    """Return the part of a stored object that boxes exchange."""
    value: Any = stored.value
    spec = value.get('spec') if isinstance(value, dict) else UNREADABLE
    is_document = spec is None or isinstance(spec, dict)
    return ViewUpdate(stored.key, stored.version, spec if is_document else UNREADABLE)
