"""Restart all boxes beside unreadable objects, or as a version leaves; send odd statuses."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from calicopath_platform import names
from tools.soak.schedule import FaultKind, LinkMode, Step, chosen_replica

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tools.soak.records import RequestRecord
    from tools.soak.world import World

ODD_STATUSES = (b'000', b'001', b'099', b'101', b'600', b'999')
FIRST_FINAL_STATUS, LAST_FINAL_STATUS = 200, 599
DEEPLY_NESTED = msgspec.Raw(b'[' * 5000 + b']' * 5000)

REPLICA: dict[str, Any] = {'service': 'desk', 'zone': 'north', 'slots': 8, 'state': 'ready'}
BOX: dict[str, Any] = {'zone': 'north', 'life': 'other-1', 'small': False}

MEAN_RESTART_GAP_S = 8.0
MEAN_ODD_STATUS_GAP_S = 4.0
MIN_ODD_STATUS_S, MAX_ODD_STATUS_S = 0.5, 3.0
RESTART_KINDS = (FaultKind.RESTART_BESIDE_ENTRIES, FaultKind.LEAVE_AT_RESTART)


class ForeignObject(NamedTuple):
    """Name an object of another writer; without a spec its metadata is unreadable too."""

    kind: str
    name: str
    spec: Any = None


FOREIGN_OBJECTS = (
    ForeignObject(names.REPLICA_KIND, '0-digits', REPLICA | {'address': '10.0.0.1:' + '9' * 5000}),
    ForeignObject(names.REPLICA_KIND, '0-family', REPLICA | {'address': 'fe80::1%\x00:80'}),
    ForeignObject(names.REPLICA_KIND, 'zz-text', REPLICA | {'address': 'nonsense'}),
    ForeignObject(names.REPLICA_KIND, 'zz-deep', DEEPLY_NESTED),
    ForeignObject(names.REPLICA_KIND, '0-nameless'),
    ForeignObject(names.BOX_KIND, '0-box', BOX | {'address': 'nonsense'}),
    ForeignObject(names.BOX_KIND, '0-port', BOX | {'address': '10.0.0.1:65535'}),
    ForeignObject(names.BOX_KIND, '0-nameless'),
    ForeignObject(names.RELAYS_KIND, names.RELAYS_NAME, {'relays': [4, 'box', {'address': ''}]}),
    ForeignObject(names.BLOCKED_KIND, names.BLOCKED_NAME, {'requests': 'none'}),
    ForeignObject(names.STREAMS_KIND, '0-foreign', DEEPLY_NESTED),
    ForeignObject(names.STREAMS_KIND, f'{names.GROUP_PREFIX}99', {'streams': [4]}),
)
"""One or more for each kind of object that boxes read."""


def draw_restarts(seed: int, *, seconds: float) -> list[Step]:
    """Return when all boxes are killed beside unreadable objects, or as a version leaves."""
    steps: list[Step] = []
    for kind in RESTART_KINDS:
        rng = random.Random(f'{kind.value} of {seed}')
        at_s = rng.uniform(0.0, MEAN_RESTART_GAP_S / 2)
        while at_s < seconds:
            version = rng.randrange(2)
            steps.append(Step(round(at_s, 3), kind, version, 0.5, LinkMode.PASS))
            at_s += rng.expovariate(1 / MEAN_RESTART_GAP_S)
    return steps


def draw_odd_statuses(seed: int, *, seconds: float) -> list[Step]:
    """Return when a replica answers with statuses that are none."""
    rng = random.Random(f'statuses of {seed}')
    steps: list[Step] = []
    at_s = rng.expovariate(1 / MEAN_ODD_STATUS_GAP_S)
    while at_s < seconds:
        for_s = round(rng.uniform(MIN_ODD_STATUS_S, MAX_ODD_STATUS_S), 3)
        target = rng.randrange(1_000_000)
        steps.append(Step(round(at_s, 3), FaultKind.ODD_STATUS, target, for_s, LinkMode.PASS))
        at_s += for_s + rng.expovariate(1 / MEAN_ODD_STATUS_GAP_S)
    return steps


async def kill_all_boxes(world: World, step: Step) -> None:
    """Kill every box at the same moment and start it again."""
    await world.kill_boxes(step._replace(kind=FaultKind.KILL_BOXES, target=len(world.boxes)))


def write_foreign_objects(world: World) -> None:
    """Write an unreadable object of each kind, over the system's own where there is one name."""
    for item in FOREIGN_OBJECTS:
        if item.spec is None:
            world.store.kinds.setdefault(item.kind, {})[item.name] = {'metadata': None}
        else:
            world.store.put(item.kind, item.name, item.spec)


def remove_foreign_objects(world: World) -> None:
    """Remove the objects of other writers, but none that the system has written meanwhile."""
    for item in FOREIGN_OBJECTS:
        held = world.store.kinds.get(item.kind, {}).get(item.name)
        if held is None:
            continue
        if item.spec is None:
            del world.store.kinds[item.kind][item.name]
        elif held['spec'] == item.spec:
            world.store.delete(item.kind, item.name)


async def leave_at_restart(world: World, step: Step) -> None:
    """Have the engines of one version leave without notice as all boxes are killed."""
    versions = sorted({slot.replica.version for slot in world.slots if slot.replica is not None})
    leaving = versions[step.target % len(versions)]
    slots = [
        slot
        for slot in world.slots
        if slot.service == 'engine' and slot.replica is not None and slot.replica.version == leaving
    ]
    await asyncio.gather(
        kill_all_boxes(world, step),
        *(world.leave_without_notice(step, slot) for slot in slots),
    )


async def send_odd_statuses(world: World, step: Step) -> None:
    """Have one replica answer all requests with a status that is none."""
    replica = world.slots[chosen_replica(step.target)].replica
    if replica is None:
        return
    replica.odd_status = ODD_STATUSES[step.target % len(ODD_STATUSES)]
    await asyncio.sleep(step.duration_s)
    replica.odd_status = b''


def find_odd_statuses(records: Iterable[RequestRecord]) -> list[str]:
    """Check that callers got no response whose status is none."""
    return [
        f'{record.call_id}: answered with the status {record.status}'
        for record in records
        if record.is_complete and not FIRST_FINAL_STATUS <= record.status <= LAST_FINAL_STATUS
    ]
