"""Measure the control cost of real daemons: processor time, memory and platform calls."""

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
CHANGE_COUNT = 10
SETTLE_S = 8.0


class DaemonFigures(NamedTuple):
    """Hold the figures of one run.

    `cpu_percent` is of a core. It and `peer_bytes` are means per box, `memory_mb` is the largest;
    bytes and reads are per second.
    """

    boxes: int
    cpu_percent: float
    memory_mb: float
    peer_bytes: float
    reads: float
    watches: int
    worst_change_s: float


async def run_daemons(count: int) -> DaemonFigures:
    """Measure `count` idle daemons, and then how fast they receive configuration changes."""
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
        cpu_s = sum(cpu_seconds(box.handle.pid) for box in boxes)
        counts_before = await read_json(session, platform, '/admin/counts')
        sent_bytes = [await read_peer_bytes(session, box) for box in boxes]
        await asyncio.sleep(IDLE_S)
        cpu_s = sum(cpu_seconds(box.handle.pid) for box in boxes) - cpu_s
        counts_after = await read_json(session, platform, '/admin/counts')
        sent_bytes = [
            await read_peer_bytes(session, box) - bytes_before
            for box, bytes_before in zip(boxes, sent_bytes, strict=True)
        ]
        worst_change_s = max(
            [await time_change(session, platform, boxes, n) for n in range(CHANGE_COUNT)]
        )
        return DaemonFigures(
            boxes=count,
            cpu_percent=100 * cpu_s / IDLE_S / count,
            memory_mb=max(resident_mb(box.handle.pid) for box in boxes),
            peer_bytes=sum(sent_bytes) / IDLE_S / count,
            reads=(counts_after.get('read', 0) - counts_before.get('read', 0)) / IDLE_S,
            watches=counts_after['waiting_watches'],
            worst_change_s=worst_change_s,
        )


async def read_json(session: aiohttp.ClientSession, process: Process, path: str) -> Any:
    """Return the decoded JSON of a GET request to a process."""
    async with session.get(process.url + path) as response:
        return json.loads(await response.read())


async def read_peer_bytes(session: aiohttp.ClientSession, box: Process) -> float:
    """Return the bytes that a daemon has sent to its peers, 0 if the metric is missing."""
    async with session.get(f'{box.url}/metrics') as response:
        text = await response.text()
    for line in text.splitlines():
        if line.startswith('calicopath_state') and 'of="peer_sent_bytes"' in line:
            return float(line.rsplit(' ', 1)[1])
    return 0.0


async def time_change(
    session: aiohttp.ClientSession, platform: Process, boxes: list[Process], number: int
) -> float:
    """Write one pipeline and return the seconds until every daemon has its version."""
    loop = asyncio.get_running_loop()
    key = f'config/pipelines/bench/p{number}'
    spec = {**pipeline_spec('answer', workspace='bench'), 'name': f'p{number}'}
    value = {'spec': spec, 'change': {'id': str(number), 'sequence': 1}}
    started = loop.time()
    url = f'{platform.url}/v1/objects/{key}?expected=0'
    async with session.post(url, data=json.dumps(value)) as response:
        version = (await response.json())['version']
    for box in boxes:
        while (await read_json(session, box, f'/admin/v1/config/{key}'))['version'] < version:
            await asyncio.sleep(0.005)
    return loop.time() - started


def measure_daemons(count: int) -> DaemonFigures:
    """Run `run_daemons` in an event loop of its own."""
    return asyncio.run(run_daemons(count))
