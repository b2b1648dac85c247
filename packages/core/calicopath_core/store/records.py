"""Define how configuration and its change records are kept in the store."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, NamedTuple, TypedDict

from calicopath_core.store.view import ViewUpdate

if TYPE_CHECKING:
    from calicopath_core.store.base import StoredObject


class ChangeAction(enum.StrEnum):
    """Name what an operator did."""

    APPLY = 'apply'
    DELETE = 'delete'
    ADD = 'add'
    DRAIN = 'drain'
    STOP = 'stop'


class ChangeRecord(TypedDict):
    """Record one accepted change; it is written by the same update as the change itself."""

    id: str
    sequence: int
    who: str
    when: float
    action: str
    key: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None


class ConfigValue(TypedDict):
    """Hold an object's content and the record of the change that made it so."""

    spec: dict[str, Any] | None
    change: ChangeRecord


class Change(NamedTuple):
    """Ask for a change: `spec` is empty to delete."""

    id: str
    key: str
    spec: dict[str, Any] | None
    who: str
    action: ChangeAction


def view_update(stored: StoredObject) -> ViewUpdate:
    """Return the part of a stored object that boxes follow."""
    return ViewUpdate(stored.key, stored.version, stored.value.get('spec'))
