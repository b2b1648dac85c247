"""Write operators' changes as conditional updates, each with its audit record."""

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
    """Report an accepted change and the version it created."""

    change_id: str
    key: str
    version: int


class Conflict(NamedTuple):
    """Report a change that conflicts with another one, with the content of both."""

    key: str
    expected_version: int
    found_version: int
    wanted: dict[str, Any] | None
    found: dict[str, Any] | None
    found_change: ChangeRecord | None


class Unconfirmed(NamedTuple):
    """Report that a change may have been accepted; the audit trail shows whether it was."""

    change_id: str
    key: str
    detail: str


class NotAccepted(NamedTuple):
    """Report that a change was provably not accepted."""

    key: str
    detail: str


ChangeError = Conflict | Unconfirmed | NotAccepted


class ChangeWriter:
    """Write changes by conditional update.

    Before an object is overwritten, its current change record is copied to the audit archive, under
    a name made of key and sequence number. Each accepted change therefore always has its record in
    the object or in the archive, and a crash between two calls loses none.

    `retry_timeout_s` limits how long a write with an unknown outcome is retried.
    """

    def __init__(self, *, store: ObjectStore, clock: Clock, retry_timeout_s: float = 5.0) -> None:
        self.store = store
        self.clock = clock
        self.retry_timeout_s = retry_timeout_s

    async def make(
        self, change: Change, expected_version: int | None = None
    ) -> Result[Accepted, ChangeError]:
        """Write one change if the version is `expected_version` or, for `None`, unchanged."""
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
        """Copy an object's change record to the archive; the operation is idempotent."""
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
        """Write the change together with its record; a lost answer is resolved by a read."""
        version = current.version if current else ABSENT_VERSION
        record = self.change_record(change, current)
        value = dict(ConfigValue(spec=change.spec, change=record))
        deadline = self.clock.monotonic() + self.retry_timeout_s
        may_have_written = False
        while True:
            try:
                stored = await self.store.put(change.key, value, version)
            except VersionConflict:
                return await self.resolve_conflict(
                    change, version, record['sequence'], may_have_written
                )
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
            # Retrying the same conditional update is safe: if an earlier attempt took effect,
            # this one finds a newer version.
            await asyncio.sleep(RETRY_DELAY_S)

    def change_record(self, change: Change, current: StoredObject | None) -> ChangeRecord:
        """Return the change record of a change to `current`."""
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
        """Return success if the newer version is our own earlier write, and an error otherwise.

        `may_have_written` tells whether an earlier attempt had an unknown outcome.
        """
        try:
            current = await self.store.get(change.key)
            if current is not None and current.value['change']['id'] == change.id:
                return Success(Accepted(change.id, change.key, current.version))
            archived = await self.store.get(audit_key(change.key, sequence))
        except StoreError as error:
            if may_have_written:
                return Failure(Unconfirmed(change.id, change.key, str(error)))
            return Failure(NotAccepted(change.key, f'the object was changed meanwhile; {error}'))
        if archived is not None and archived.value['id'] == change.id:
            # The change was accepted, and another change has already replaced it.
            return Success(Accepted(change.id, change.key, version + 1))
        return Failure(new_conflict(change, version, current))


def new_conflict(change: Change, expected: int, current: StoredObject | None) -> Conflict:
    """Return the conflict between a change and the object in the store."""
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
    # The archive is read last: a record that is archived meanwhile is found in one place or both.
    objects = await store.list(prefix)
    archived = await store.list(AUDIT_PREFIX + prefix)
    for stored in archived:
        record = cast('ChangeRecord', stored.value)
        records[record['id']] = record
    for stored in objects:
        record = cast('ChangeRecord', stored.value['change'])
        records[record['id']] = record
    return sorted(records.values(), key=lambda item: (item['when'], item['key'], item['sequence']))
