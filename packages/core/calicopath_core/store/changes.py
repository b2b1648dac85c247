"""Write operators' changes: conditionally, with their audit records, and never blind."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple, cast

from returns.result import Failure, Result, Success

from calicopath_core.store.base import (
    ABSENT_VERSION,
    StoredObject,
    StoreError,
    StoreUnavailable,
    VersionConflict,
    WriteUnknown,
)
from calicopath_core.store.records import Change, ChangeRecord, ConfigValue
from calicopath_core.structure.keys import AUDIT_PREFIX, audit_key

if TYPE_CHECKING:
    from calicopath_core.clock import Clock
    from calicopath_core.store.base import ObjectStore

RETRY_DELAY_S = 0.2


class Accepted(NamedTuple):
    """Say under which version a change was accepted."""

    change_id: str
    key: str
    version: int


class Conflict(NamedTuple):
    """Show both sides of a change that met another one."""

    key: str
    expected_version: int
    found_version: int
    wanted: dict[str, Any] | None
    found: dict[str, Any] | None
    found_change: ChangeRecord | None


class Unconfirmed(NamedTuple):
    """Say that a change may or may not have been accepted; the audit trail will tell."""

    change_id: str
    key: str
    detail: str


class NotAccepted(NamedTuple):
    """Say that a change was certainly not accepted."""

    key: str
    detail: str


ChangeError = Conflict | Unconfirmed | NotAccepted


class ChangeWriter:
    """Make changes by conditional update.

    Before an object is overwritten its current record goes to the audit archive, under a
    name made from key and sequence number. So at any moment each accepted change has its
    record either in the object or in the archive, and a crash between two calls loses none.
    """

    def __init__(self, *, store: ObjectStore, clock: Clock, retry_timeout_s: float = 5.0) -> None:
        self.store = store
        self.clock = clock
        self.retry_timeout_s = retry_timeout_s

    async def make(
        self, change: Change, expected_version: int | None = None
    ) -> Result[Accepted, ChangeError]:
        """Make one change, conditional on the version read or given."""
        try:
            current = await self.store.get(change.key)
        except StoreError as error:
            return Failure(NotAccepted(change.key, str(error)))
        version = current.version if current else ABSENT_VERSION
        if expected_version is not None and version != expected_version:
            return Failure(new_conflict(change, expected_version, current))
        try:
            await self.archive(current)
        except StoreError as error:
            return Failure(NotAccepted(change.key, f'audit record not archived: {error}'))
        return await self.write(change, current)

    async def archive(self, current: StoredObject | None) -> None:
        """Copy an object's change record to the archive; doing so twice changes nothing."""
        if current is None:
            return
        record = cast('ChangeRecord', current.value['change'])
        key = audit_key(current.key, record['sequence'])
        deadline = self.clock.monotonic() + self.retry_timeout_s
        while True:
            try:
                await self.store.put(key, dict(record), ABSENT_VERSION)
            except VersionConflict:
                return
            except WriteUnknown:
                if self.clock.monotonic() >= deadline:
                    raise
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            return

    async def write(
        self, change: Change, current: StoredObject | None
    ) -> Result[Accepted, ChangeError]:
        """Write the change and its record together, settling a lost answer by reading back."""
        version = current.version if current else ABSENT_VERSION
        record = self.change_record(change, current)
        value = dict(ConfigValue(spec=change.spec, change=record))
        deadline = self.clock.monotonic() + self.retry_timeout_s
        may_have_written = False
        while True:
            try:
                stored = await self.store.put(change.key, value, version)
            except VersionConflict:
                return await self.resolve_conflict(change, version, record['sequence'], may_have_written)
            except WriteUnknown as error:
                may_have_written = True
                detail = str(error)
            except StoreUnavailable as error:
                detail = str(error)
                if not may_have_written:
                    return Failure(NotAccepted(change.key, detail))
            else:
                return Success(Accepted(change.id, change.key, stored.version))
            if self.clock.monotonic() >= deadline:
                return Failure(Unconfirmed(change.id, change.key, detail))
            # Repeating the same conditional update is safe: if the first one took effect,
            # this one meets a newer version.
            await asyncio.sleep(RETRY_DELAY_S)

    def change_record(self, change: Change, current: StoredObject | None) -> ChangeRecord:
        """Return the audit record of a change to `current`."""
        sequence = 1
        before = None
        if current is not None:
            sequence = current.value['change']['sequence'] + 1
            before = current.value['spec']
        return ChangeRecord(
            id=change.id,
            sequence=sequence,
            who=change.who,
            when=self.clock.wall(),
            action=change.action.value,
            key=change.key,
            before=before,
            after=change.spec,
        )

    async def resolve_conflict(
        self, change: Change, version: int, sequence: int, may_have_written: bool
    ) -> Result[Accepted, ChangeError]:
        """Find out whether a conflict is with our own earlier write."""
        try:
            current = await self.store.get(change.key)
            if current is not None and current.value['change']['id'] == change.id:
                return Success(Accepted(change.id, change.key, current.version))
            archived = await self.store.get(audit_key(change.key, sequence))
        except StoreError as error:
            if may_have_written:
                return Failure(Unconfirmed(change.id, change.key, str(error)))
            return Failure(NotAccepted(change.key, f'changed by somebody else; {error}'))
        if archived is not None and archived.value['id'] == change.id:
            # Accepted, and already followed by another change.
            return Success(Accepted(change.id, change.key, version + 1))
        return Failure(new_conflict(change, version, current))


def new_conflict(change: Change, expected: int, current: StoredObject | None) -> Conflict:
    """Describe a conflict between a change and what the store holds."""
    return Conflict(
        key=change.key,
        expected_version=expected,
        found_version=current.version if current else ABSENT_VERSION,
        wanted=change.spec,
        found=current.value['spec'] if current else None,
        found_change=current.value['change'] if current else None,
    )


async def read_audit_trail(store: ObjectStore, prefix: str) -> list[ChangeRecord]:
    """Return each accepted change below `prefix` exactly once, oldest first."""
    records: dict[str, ChangeRecord] = {}
    # The archive is read last: a record that moves there meanwhile is seen in one place or both.
    objects = await store.list(prefix)
    archived = await store.list(AUDIT_PREFIX + prefix)
    for stored in archived:
        record = cast('ChangeRecord', stored.value)
        records[record['id']] = record
    for stored in objects:
        record = cast('ChangeRecord', stored.value['change'])
        records[record['id']] = record
    return sorted(records.values(), key=lambda item: (item['when'], item['key'], item['sequence']))
