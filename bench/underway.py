"""Compare ways to treat a silent engine: answers whole, runs, and how long they take.

Boxes run on virtual time before engines of which some fall silent once, for a moment or for good.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, NamedTuple

import structlog
import typer

from calicopath_core.backends.base import SilentReplica
from calicopath_core.exchanges.context import RefusedExchange
from calicopath_core.exchanges.retries import try_spend_hedge
from calicopath_core.exchanges.streams import NO_EVENTS, Received, Stream
from calicopath_core.fleet.deployment import RouteKind, Workspace
from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import RecordKind
from calicopath_core.waiting import cancel_and_wait
from testkit.gateway import GatewayFleet
from testkit.gateway_replicas import ANY_REPLICA
from testkit.gateway_world import EVENTS, FAILURE_DOMAINS, KEY, deployment, exchange, route
from testkit.virtual import run_virtual

if TYPE_CHECKING:
    from calicopath_core.exchanges.stream_attempts import StreamAttempt

BOXES = (8, 28)
ENGINES = 6
STREAMS_A_BOX = 12
SPREAD_S = 2.0
EVENT_GAP_S = 0.15
DEADLINE_S = 8.0
SILENT_SHARES = (0.25, 1.0)
SILENCES_S = (1.0, 1.6, 3600.0)


class LetGoFirst(Stream):
    """Let a silent engine go before asking whether another one is allowed."""

    async def find_other(
        self, attempt: StreamAttempt, reading: asyncio.Task[bytes | None]
    ) -> Received | None:
        """End the silent attempt."""
        raise SilentReplica(f'{attempt.replica.id} is silent')


class GrantedFirst(Stream):
    """Let a silent engine go once a retry is granted and placed, before it is sent."""

    async def find_other(
        self, attempt: StreamAttempt, reading: asyncio.Task[bytes | None]
    ) -> Received | None:
        """Place the rest, then end the silent attempt."""
        if try_spend_hedge(self.context, self.state) is not None:
            return None
        try:
            other = await self.place()
        except RefusedExchange:
            return None
        if reading.done() and reading.exception() is None:
            other.close()
            return Received(attempt, reading.result())
        await cancel_and_wait(reading)
        attempt.close(failed=True)
        return Received(other, NO_EVENTS)


class Hold(Stream):
    """Wait for a silent engine until the deadline."""

    async def find_other(
        self, attempt: StreamAttempt, reading: asyncio.Task[bytes | None]
    ) -> Received | None:
        """Ask no other engine."""
        return None


WAYS: dict[str, type[Stream]] = {
    'let go first': LetGoFirst,
    'hold': Hold,
    'granted first': GrantedFirst,
    'keep until the head': Stream,
}


class Result(NamedTuple):
    """Count the streams that ended whole or were cut, and the runs that engines began."""

    streams: int
    whole: int
    cut: int
    runs: int
    mean_s: float


async def play(
    way: type[Stream], boxes: int, share: float, silence_s: float, *, decline: bool
) -> Result:
    """Serve streams while engines fall silent after their second event.

    With `decline` engines turn away what is sent to them to go on.
    """
    fleet = GatewayFleet(count=boxes)
    for item in fleet.boxes.values():
        item.box.executor.stream_type = way
    fleet.replicas.stream_gap_s = EVENT_GAP_S
    chat = route('chat', RouteKind.STREAMING, 'engine', timeout_s=DEADLINE_S)
    workspaces = (Workspace('hire', (KEY,), None),)
    changed = deployment(2, routes=(*deployment().routes, chat), workspaces=workspaces)
    fleet.store.write(RecordKind.DEPLOYMENT, 'main', changed)
    for number in range(2, ENGINES):
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        name = f'engine-{number}'
        replica = Replica(name, 'engine', f'{name}:1', domain, 64, False)
        fleet.store.write(RecordKind.REPLICA, name, replica)
    await fleet.start()
    loop = asyncio.get_running_loop()
    streams = boxes * STREAMS_A_BOX
    faults = []
    for number in range(streams):
        is_silent = int((number + 1) * share) > int(number * share)
        faults.append(f'pause:2:{silence_s}' if is_silent else 'none')
    faults += ['declined'] * streams if decline else []
    fleet.replicas.faults = {ANY_REPLICA: faults}
    sinks, ended_after = [], []

    async def serve(box: str, number: int) -> None:
        started_at = loop.time()
        sink = fleet.serve(box, exchange(number, 'chat', started_at, deadline_s=DEADLINE_S))
        sinks.append(sink)
        await asyncio.wait({fleet.request_tasks[-1]})
        ended_after.append(loop.time() - started_at)

    tasks = []
    for number in range(streams):
        tasks.append(asyncio.create_task(serve(f'box-{number % boxes}', number)))
        await asyncio.sleep(SPREAD_S / streams)
    await asyncio.wait(tasks)
    whole = sum(
        sink.state == 'whole' and sink.event_ids == list(range(1, EVENTS + 1)) for sink in sinks
    )
    cut = sum(sink.state == 'cut' for sink in sinks)
    runs = sum(fleet.replicas.runs.values())
    await fleet.stop()
    return Result(streams, whole, cut, runs, sum(ended_after) / len(ended_after))


def compare(boxes: int, share: float, silence_s: float, *, decline: bool) -> None:
    """Print a line for each way."""
    others = ', others decline' if decline else ''
    for name, way in WAYS.items():
        found = run_virtual(play(way, boxes, share, silence_s, decline=decline))
        print(
            f'{boxes} boxes, {share:.0%} silent for {silence_s:g} s{others}, {name}: '
            f'{found.whole} of {found.streams} whole, {found.cut} cut, '
            f'{found.runs - found.streams} runs more, mean {found.mean_s:.2f} s',
            flush=True,
        )


def main() -> None:
    """Print a line for each case and way."""
    quiet = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=quiet)
    for boxes in BOXES:
        for share in SILENT_SHARES:
            for silence_s in SILENCES_S:
                compare(boxes, share, silence_s, decline=False)
            compare(boxes, share, SILENCES_S[1], decline=True)


if __name__ == '__main__':
    typer.run(main)
