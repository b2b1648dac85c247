"""Connect commands to the platform and the boxes."""

from __future__ import annotations

import contextlib
import uuid
from typing import TYPE_CHECKING, NamedTuple

from calicopath_cli.exceptions import (
    ChangeConflict,
    ChangeUnsettled,
    CommandError,
)
from calicopath_clients.platform import HttpBoxList, HttpObjectStore
from calicopath_clients.sessions import new_session
from calicopath_core.clock import LoopClock
from calicopath_core.store.changes import (
    Accepted,
    ChangeError,
    ChangeWriter,
    Conflict,
    Unconfirmed,
)
from calicopath_core.store.records import Change, ChangeAction

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from typing import Any

    import aiohttp
    from returns.result import Result

    from calicopath_cli.utils.output import OutputFormat
    from calicopath_core.store.base import BoxList, ObjectStore


class Options(NamedTuple):
    """Hold the options that all commands share; `who` is recorded in the audit trail."""

    platform: str
    who: str
    output: OutputFormat


class Operator:
    """Read and change configuration on behalf of one operator."""

    def __init__(
        self,
        *,
        options: Options,
        store: ObjectStore,
        boxes: BoxList,
        session: aiohttp.ClientSession,
    ) -> None:
        self.options = options
        self.store = store
        self.boxes = boxes
        self.session = session
        self.writer = ChangeWriter(store=store, clock=LoopClock())

    async def make_change(
        self,
        key: str,
        spec: dict[str, Any] | None,
        action: ChangeAction,
        expected_version: int | None = None,
    ) -> Accepted:
        """Make one change; raise `ChangeConflict`, `ChangeUnsettled` or `CommandError`."""
        change = Change(str(uuid.uuid4()), key, spec, self.options.who, action)
        result = await self.writer.make(change, expected_version)
        return accepted_or_raise(result)


def accepted_or_raise(result: Result[Accepted, ChangeError]) -> Accepted:
    """Return an accepted change, or raise the error that matches the failure."""
    accepted = result.value_or(None)
    if accepted is not None:
        return accepted
    error = result.failure()
    if isinstance(error, Conflict):
        raise ChangeConflict(describe_conflict(error))
    if isinstance(error, Unconfirmed):
        raise ChangeUnsettled(
            f'{error.key}: unknown whether change {error.change_id} was accepted '
            f'({error.detail}); to find out, run: calicopath audit --key {error.key}'
        )
    raise CommandError(f'{error.key}: change not accepted: {error.detail}')


def describe_conflict(conflict: Conflict) -> str:
    """Return a message with both sides of a conflict."""
    lines = [
        f'{conflict.key}: changed by another operator: expected version '
        f'{conflict.expected_version}, found {conflict.found_version}'
    ]
    if conflict.found_change is not None:
        lines.append(f'  theirs, by {conflict.found_change["who"]}: {conflict.found}')
    lines.append(f'  yours: {conflict.wanted}')
    return '\n'.join(lines)


@contextlib.asynccontextmanager
async def open_operator(options: Options) -> AsyncIterator[Operator]:
    """Yield an operator whose HTTP session is open while the command runs."""
    async with new_session() as session:
        yield Operator(
            options=options,
            store=HttpObjectStore(url=options.platform, session=session),
            boxes=HttpBoxList(url=options.platform, session=session),
            session=session,
        )
