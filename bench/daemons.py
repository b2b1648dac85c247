"""Measure the control cost of real daemons: processor, memory, platform calls."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from bench.processes import cpu_seconds, resident_mb
from testkit.processes import Process, ProcessGroup, run_cli, wait_ready
from testkit.world import TEMPLATES, endpoint_spec, pipeline_spec
from testkit.world import new_fleet as small_fleet

if TYPE_CHECKING:
    from typing import Any

IDLE_S = 10.0
CHANGES = 10
SETTLE_S = 8.0


class Control(NamedTuple):
    """Hold the figures of so many daemons; processor in percent of a core, calls a second."""

    boxes: int
    cpu_percent: float
    memory_mb: float
    peer_bytes: float
    reads: float
    watches: int
    worst_change_s: float


async def measure(count: int) -> Control:
    """Run so many daemons, idle, and then change configuration a few times."""
    async with ProcessGroup() as group, aiohttp.ClientSession() as session:
        platform = await group.start_platform()
        documents = [endpoint_spec(item.endpoint) for item in small_fleet().endpoints.values()]
        documents += [*TEMPLATES.values(), *(pipeline_spec(name) for name in TEMPLATES)]
        path = group.write_documents('config.yaml', documents)
        await run_cli(platform, 'apply', str(path))
        boxes = await asyncio.gather(
            *(group.start_daemon(platform, f'box-{n}', f'domain-{n % 4}') for n in range(count))
        )
        for box in boxes:
            await wait_ready(box)
        await asyncio.sleep(SETTLE_S)
        cpu = sum(cpu_seconds(box.handle.pid) for box in boxes)
        counts = await get(session, platform, '/admin/counts')
        sent = [await peer_bytes(session, box) for box in boxes]
        await asyncio.sleep(IDLE_S)
        cpu = sum(cpu_seconds(box.handle.pid) for box in boxes) - cpu
        after = await get(session, platform, '/admin/counts')
        sent = [await peer_bytes(session, box) - old for box, old in zip(boxes, sent, strict=True)]
        worst = max([await change(session, platform, boxes, n) for n in range(CHANGES)])
        return Control(
            boxes=count,
            cpu_percent=100 * cpu / IDLE_S / count,
            memory_mb=max(resident_mb(box.handle.pid) for box in boxes),
            peer_bytes=sum(sent) / IDLE_S / count,
            reads=(after.get('read', 0) - counts.get('read', 0)) / IDLE_S,
            watches=after['waiting_watches'],
            worst_change_s=worst,
        )


async def get(session: aiohttp.ClientSession, process: Process, path: str) -> Any:
    """Read JSON from a process."""
    async with session.get(process.url + path) as answer:
        return json.loads(await answer.read())


async def peer_bytes(session: aiohttp.ClientSession, box: Process) -> float:
    """Read the bytes that a daemon has sent to its peers."""
    async with session.get(f'{box.url}/metrics') as answer:
        text = await answer.text()
    for line in text.splitlines():
        if line.startswith('calicopath_state') and 'of="peer_sent_bytes"' in line:
            return float(line.rsplit(' ', 1)[1])
    return 0.0


async def change(
    session: aiohttp.ClientSession, platform: Process, boxes: list[Process], number: int
) -> float:
    """Write one object and return the seconds until every daemon has it."""
    loop = asyncio.get_running_loop()
    key = f'config/pipelines/bench/p{number}'
    spec = {**pipeline_spec('answer', workspace='bench'), 'name': f'p{number}'}
    value = {'spec': spec, 'change': {'id': str(number), 'sequence': 1}}
    started = loop.time()
    url = f'{platform.url}/v1/objects/{key}?expected=0'
    async with session.post(url, data=json.dumps(value)) as answer:
        version = (await answer.json())['version']
    for box in boxes:
        while (await get(session, box, f'/admin/v1/config/{key}'))['version'] < version:
            await asyncio.sleep(0.005)
    return loop.time() - started


def measure_daemons(count: int) -> Control:
    """Measure so many daemons."""
    return asyncio.run(measure(count))
