"""Run gateway boxes before engines of two software versions."""

from __future__ import annotations

import asyncio

from calicopath_core.fleet.replicas import Replica
from calicopath_core.fleet.store import RecordKind
from testkit.gateway import GatewayFleet
from testkit.gateway_world import FAILURE_DOMAINS
from testkit.resuming_callers import ResumingCaller

BOXES = 8
STREAMS_PER_BOX = 16
ENGINES_PER_VERSION = 2
LONG_GAP_S = 0.5
BEGINNING_S = 2.0
"""Gap between the events of long streams, which take 3 s, and time over which they begin."""

RESTART_S = 0.5
READY_S = 2.0


class MixedFleet(GatewayFleet):
    """Run boxes before engines of some versions, two by default."""

    def __init__(self, *, count: int = BOXES, versions: tuple[str, ...] = ('v1', 'v2')) -> None:
        super().__init__(count=count)
        for record in list(self.store.records[RecordKind.REPLICA].values()):
            if isinstance(record, Replica) and record.service == 'engine':
                self.store.write(RecordKind.REPLICA, record.id, None)
        for version in versions:
            self.add_engines(version)

    def add_engines(self, version: str, count: int = ENGINES_PER_VERSION) -> None:
        """Add engines of a version."""
        for number in range(count):
            name = f'engine-{version}-{number}'
            domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
            replica = Replica(name, 'engine', f'{name}:1', domain, 128, False, version=version)
            self.store.write(RecordKind.REPLICA, name, replica)

    def remove_engines(self, version: str, count: int = ENGINES_PER_VERSION) -> None:
        """Remove engines of a version, the first ones first."""
        for number in range(count):
            self.store.write(RecordKind.REPLICA, f'engine-{version}-{number}', None)

    async def begin_streams(self) -> dict[str, list[ResumingCaller]]:
        """Begin long streams at every box in turn; return the callers with events, by box."""
        self.replicas.stream_gap_s = LONG_GAP_S
        boxes = list(self.boxes)
        callers: dict[str, list[ResumingCaller]] = {box: [] for box in boxes}
        for number in range(STREAMS_PER_BOX * len(boxes)):
            caller = ResumingCaller(fleet=self, number=number)
            caller.send(boxes[number % len(boxes)])
            callers[boxes[number % len(boxes)]].append(caller)
            await asyncio.sleep(BEGINNING_S / STREAMS_PER_BOX / len(boxes))
        return {
            box: [item for item in found if item.last_event_id] for box, found in callers.items()
        }

    async def restart_all(self) -> None:
        """Kill every box at the same moment and start them again."""
        names = list(self.boxes)
        for name in names:
            self.kill(name)
        await asyncio.sleep(RESTART_S)
        for place, name in enumerate(names):
            box = self.add_box(name, FAILURE_DOMAINS[place % len(FAILURE_DOMAINS)])
            await box.start()
        await asyncio.sleep(READY_S)
