"""Compare where a fleet may remember which software version began a stream.

Streams of 3 s run at every box before two versions of the engines; then boxes are killed and the
callers take their streams up elsewhere. Run it with `python -m bench.versions --boxes 8,28`.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

import structlog

from calicopath_core.membership.messages import encode
from calicopath_core.versions.messages import StreamNews
from testkit.mixed_fleet import MixedFleet
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from collections.abc import Callable

    import msgspec

    from calicopathd.gateway.box import GatewayBox
    from testkit.resuming_callers import ResumingCaller


class Way(NamedTuple):
    """Name where records are kept beside the scheduler: at other boxes, in the store, or both."""

    name: str
    has_copies: bool
    is_stored: bool


WAYS = (
    Way('scheduler', has_copies=False, is_stored=False),
    Way('peers', has_copies=True, is_stored=False),
    Way('store', has_copies=False, is_stored=True),
    Way('both', has_copies=True, is_stored=True),
)


class Case(NamedTuple):
    """Name which boxes are killed at the same moment; 0 means all."""

    name: str
    killed: int
    with_scheduler: bool


CASES = (
    Case('one', 1, with_scheduler=False),
    Case('the scheduler', 1, with_scheduler=True),
    Case('three', 3, with_scheduler=False),
    Case('three with it', 3, with_scheduler=True),
    Case('all', 0, with_scheduler=True),
)


class Outcome(NamedTuple):
    """Count the streams taken up, those that went on and those of two versions.

    `news_bytes` and `store_calls` are per second while streams run, of all boxes.
    """

    taken_up: int
    went_on: int
    mixed: int
    news_bytes: float
    store_calls: float


def restrict(box: GatewayBox, way: Way, sent: list[int]) -> None:
    """Have a box keep records in one way, and count the bytes of its news."""
    directory, keeper = box.versions.directory, box.versions.keeper
    if not way.has_copies:
        box.versions.on_listed = lambda boxes: None  # type: ignore[method-assign]
    if not way.is_stored:

        async def write_nothing() -> None:
            return

        keeper.write_records = write_nothing  # type: ignore[method-assign]
    directory.send = counting(box.send, sent)


def counting(
    send: Callable[[str, msgspec.Struct], None], sent: list[int]
) -> Callable[[str, msgspec.Struct], None]:
    """Return a function that sends messages and records the bytes of news."""

    def send_counted(address: str, message: msgspec.Struct) -> None:
        if isinstance(message, StreamNews):
            sent.append(len(encode(message)))
        send(address, message)

    return send_counted


async def play(way: Way, case: Case, boxes: int) -> Outcome:
    """Kill the boxes of a case while streams run; return what became of these."""
    fleet = MixedFleet(count=boxes)
    sent: list[int] = []
    add_box = fleet.add_box

    def add_restricted(name: str, failure_domain: str) -> object:
        added = add_box(name, failure_domain)
        restrict(added.box, way, sent)
        return added

    fleet.add_box = add_restricted  # type: ignore[assignment, method-assign]
    for item in fleet.boxes.values():
        restrict(item.box, way, sent)
    await fleet.start()
    began = asyncio.get_running_loop().time()
    calls = sum(item.store.calls for item in fleet.boxes.values())
    callers = await fleet.begin_streams()
    took_s = asyncio.get_running_loop().time() - began
    calls = sum(item.store.calls for item in fleet.boxes.values()) - calls
    news_bytes = sum(sent) / took_s
    broken = await kill(fleet, case, callers)
    left = list(fleet.boxes)
    await asyncio.gather(
        *(caller.resume(*(left[(caller.number + shift) % len(left)] for shift in (0, 1, 2)))
          for caller in broken)
    )  # fmt: skip
    await fleet.stop()
    mixed = sum(len(caller.versions) > 1 for caller in broken)
    went_on = sum(caller.is_complete for caller in broken)
    return Outcome(len(broken), went_on, mixed, news_bytes, calls / took_s)


async def kill(
    fleet: MixedFleet, case: Case, callers: dict[str, list[ResumingCaller]]
) -> list[ResumingCaller]:
    """Kill the boxes of a case; return the callers whose streams broke."""
    if not case.killed:
        await fleet.restart_all()
        return [caller for items in callers.values() for caller in items if not caller.is_complete]
    (scheduler,) = (address.partition(':')[0] for address in fleet.schedulers())
    names = sorted(fleet.boxes, key=lambda name: (name == scheduler) != case.with_scheduler)
    # Boxes far apart, so that the standbys of the scheduler are not always among them.
    chosen = [names[0], *names[3 : 3 + 2 * (case.killed - 1) : 2]]
    for name in chosen:
        fleet.kill(name)
    await asyncio.sleep(0)
    return [caller for name in chosen for caller in callers[name] if not caller.is_complete]


def main() -> None:
    """Print a table for each number of boxes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--boxes', default='8', help='Numbers of boxes, separated by commas.')
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    for boxes in map(int, parser.parse_args().boxes.split(',')):
        print(f'{boxes} boxes: went on / taken up (streams of two versions)')
        for way in WAYS:
            found = [run_virtual(play(way, case, boxes)) for case in CASES]
            cells = (
                f'{case.name} {item.went_on}/{item.taken_up} ({item.mixed})'
                for case, item in zip(CASES, found, strict=True)
            )
            costs = f'{found[0].news_bytes:.0f} B/s, {found[0].store_calls:.1f} store calls/s'
            print(f'  {way.name}: {", ".join(cells)}; {costs}', flush=True)


if __name__ == '__main__':
    main()
