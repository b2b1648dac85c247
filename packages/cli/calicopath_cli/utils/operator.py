"""Hold what every command needs to reach the platform and the boxes."""

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
    Unsettled,
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
    """Hold the options that all commands share."""

    platform: str
    who: str
    output: OutputFormat


class Operator:
    """Reach the platform on behalf of one operator."""

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
        """Make one change; raise the error that says what became of it."""
        change = Change(str(uuid.uuid4()), key, spec, self.options.who, action)
        result = await self.writer.make(change, expected_version)
        return accepted_or_raise(result)


def accepted_or_raise(result: Result[Accepted, ChangeError]) -> Accepted:
    """Return an accepted change or raise what happened instead."""
    accepted = result.value_or(None)
    if accepted is not None:
        return accepted
    error = result.failure()
    if isinstance(error, Conflict):
        raise ChangeConflict(describe_conflict(error))
    if isinstance(error, Unsettled):
        raise ChangeUnsettled(
            f'{error.key}: change {error.change_id} may or may not have been accepted '
            f'({error.detail}); look for it with: calicopath audit --key {error.key}'
        )
    raise CommandError(f'{error.key}: not accepted: {error.detail}')


def describe_conflict(conflict: Conflict) -> str:
    """Show both sides of a conflict."""
    lines = [
        f'{conflict.key}: changed by somebody else: expected version '
        f'{conflict.expected_version}, found {conflict.found_version}'
    ]
    if conflict.found_change is not None:
        lines.append(f'  theirs, by {conflict.found_change["who"]}: {conflict.found}')
    lines.append(f'  yours: {conflict.wanted}')
    return '\n'.join(lines)


@contextlib.asynccontextmanager
async def open_operator(options: Options) -> AsyncIterator[Operator]:
    """Open the connections of a command."""
    async with new_session() as session:
        yield Operator(
            options=options,
            store=HttpObjectStore(url=options.platform, session=session),
            boxes=HttpBoxList(url=options.platform, session=session),
            session=session,
        )
