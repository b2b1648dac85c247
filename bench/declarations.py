"""Compare what new streams may wait for, so that none goes on at another software version.

The first streams of a service begin, a version takes the place of the one that they began at, all
boxes are killed at that moment, and the callers take their streams up. Run it with
`python -m bench.declarations`.
"""

from __future__ import annotations

import asyncio
import logging
import statistics
from typing import TYPE_CHECKING, NamedTuple
from unittest import mock

import structlog

from calicopath_core.versions.declaring import DeclarationWait
from testkit.mixed_fleet import MixedFleet
from testkit.resuming_callers import ResumingCaller
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

BOXES = 8
STREAMS = 32
EVENT_GAP_S = 0.1
POLL_S = 0.001
DECLARED_S = 1.5
"""How long after the first new stream the others are taken up: a version is declared by then."""

STEADY_S = 5.0
"""For how long streams go on beginning after the restart."""


class WaitForDeclaration(DeclarationWait):
    """Wait, as boxes do."""


class NoWait(DeclarationWait):
    """Let streams begin at any version."""

    def must_wait(self, now: float) -> bool:
        """Never wait."""
        return False


class MarkOnly(DeclarationWait):
    """Let streams begin at any version, and declare an unknown one then."""

    def must_wait(self, now: float) -> bool:
        """Never wait, but have streams without a record refused for a while."""
        self.since = now if self.since is None else self.since
        self.expired = True
        return False


class Result(NamedTuple):
    """Hold what one way showed: times in milliseconds, numbers of streams and of store calls."""

    first_event_ms: float
    joined: int
    went_on: int
    taken_up: int
    calls: int


async def begin(fleet: MixedFleet, numbers: range) -> tuple[list[ResumingCaller], list[float]]:
    """Begin streams at all boxes; return their callers and the times to the first event."""
    loop = asyncio.get_running_loop()

    async def begin_one(caller: ResumingCaller) -> float:
        started_at = loop.time()
        caller.send(f'box-{caller.number % BOXES}')
        while not caller.last_event_id:
            await asyncio.sleep(POLL_S)
        return loop.time() - started_at

    callers = [ResumingCaller(fleet=fleet, number=number) for number in numbers]
    return callers, await asyncio.gather(*(begin_one(caller) for caller in callers))


def count_calls(fleet: MixedFleet) -> Callable[[], int]:
    """Count the boxes' calls for streams and versions from now on."""
    counts = [0]
    wait = type(fleet.boxes['box-0'].box.store).wait_for_streams  # type: ignore[attr-defined]

    async def counted(store: object) -> None:
        counts[0] += 1
        await wait(store)

    patch = mock.patch.object(type(fleet.boxes['box-0'].box.store), 'wait_for_streams', counted)
    patch.start()

    def stop() -> int:
        patch.stop()
        return counts[0]

    return stop


async def play() -> Result:
    """Play the case once."""
    fleet = MixedFleet(count=BOXES, versions=('v1',))
    await fleet.start()
    stop = count_calls(fleet)
    fleet.replicas.stream_gap_s = EVENT_GAP_S
    callers, times_s = await begin(fleet, range(STREAMS))
    fleet.add_engines('v2')
    fleet.remove_engines('v1')
    await fleet.restart_all()
    await begin(fleet, range(1000, 1001))
    await asyncio.sleep(DECLARED_S)
    await asyncio.gather(*(item.resume(f'box-{item.number % BOXES}') for item in callers))
    for second in range(int(STEADY_S)):
        await begin(fleet, range(2000 + 100 * second, 2000 + 100 * second + BOXES))
        await asyncio.sleep(1.0)
    calls = stop()
    await fleet.stop()
    return Result(
        first_event_ms=1000 * statistics.median(times_s),
        joined=sum(len(item.versions) > 1 for item in callers),
        went_on=sum(item.is_complete for item in callers),
        taken_up=len(callers),
        calls=calls,
    )


def main() -> None:
    """Print a line for each way."""
    logging.disable(logging.CRITICAL)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    print('| way | first event, ms | joined | went on | taken up | store calls |')
    for wait in (NoWait, MarkOnly, WaitForDeclaration):
        with mock.patch('calicopathd.gateway.versions.DeclarationWait', wait):
            found = run_virtual(play())
        print(
            f'| {wait.__name__} | {found.first_event_ms:.0f} | ' + ' | '.join(map(str, found[1:]))
        )


if __name__ == '__main__':
    main()
