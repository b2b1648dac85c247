"""A replica leaves right after the store has cut the waiting watches: who sends it requests?"""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))
import parts

FOLDER = str(Path(__file__).resolve().parent)
REPLICAS, SLOTS, WORK_S, SPREAD = 4, 6, 0.0225, 0.5
DRAIN_S = 2.0
SERVES_ON_S = DRAIN_S + 1.5
ROUNDS = 10
CLIENTS, PAUSE_S = 8, 0.1
CUT_BEFORE_S = 0.1


class Replica:
    """A replica of a plain service: runs requests, and notes those that reach it too late."""

    def __init__(self, number: int, store: parts.Store, record: parts.Record) -> None:
        self.instance = f'i-wharf{number:04d}'
        self.store, self.record = store, record
        self.gone_at: float | None = None
        self.runs = 0
        self.late: list[float] = []
        self.rng = random.Random(number)
        self.slots = asyncio.Semaphore(SLOTS)
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % self.server.sockets[0].getsockname()[1]
        self.store.put('servers', self.instance, parts.replica('wharf-desk', self.address, SLOTS))
        self.record(f'{self.instance} is ready')

    async def leave(self) -> None:
        """Leave without a word: the entry goes, and the replica serves on for a while."""
        self.store.delete('servers', self.instance)
        self.gone_at = time.monotonic()
        self.record(f'the store has acknowledged that {self.instance} is gone')
        await asyncio.sleep(SERVES_ON_S)
        self.server.close()
        self.record(f'{self.instance} ends; {len(self.late)} requests reached it too late')

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(*parts.ENDS):
            while True:
                _, headers = await parts.read_head(reader)
                await parts.read_body(reader, headers)
                attempt = headers['attempt-id']
                since = 0.0 if self.gone_at is None else time.monotonic() - self.gone_at
                if self.gone_at is not None:
                    self.record(f'{attempt} reaches {self.instance} {since:.3f} s after that')
                if since > DRAIN_S:
                    self.late.append(since)
                    self.record(f'DRAIN: {attempt} reached {self.instance} after {since:.3f} s')
                async with self.slots:
                    await asyncio.sleep(WORK_S * self.rng.lognormvariate(0.0, SPREAD))
                self.runs += 1
                head = {'Attempt-Id': attempt, 'Response-Seal': 's.1'}
                writer.write(parts.answer('200 OK', head, b'x' * 800))
        writer.close()


def config() -> dict:
    """Return a configuration with one plain route, in figures of a small deployment."""
    route = {'name': 'pass', 'hostname': 'hire.example', 'pathPrefix': '/pass/'}
    route |= {'routeType': 'unsafe', 'timeoutMs': 600, 'targetLatencyMs': 125, 'priority': 2}
    route |= {'service': 'wharf-desk', 'maxAttempts': 1, 'anonymous': False, 'phases': []}
    limits = {'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304}
    limits |= {'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000}
    return {
        'version': 7,
        'routes': [route],
        'services': [{'name': 'wharf-desk', 'healthCheckPath': '/healthz', 'maxConnections': 96}],
        'limits': limits,
        'tenants': [{'name': 'bozi300', 'apiKeys': [parts.KEY], 'priority': 1}],
    }


async def client(box: parts.Box, number: int, ends: list[str], stop: asyncio.Event) -> None:
    """Send requests one after the other on a kept connection."""
    reader, writer = await asyncio.open_connection(*box.address)
    turn = 0
    while not stop.is_set():
        turn += 1
        head = ['POST /pass/2f HTTP/1.1', 'Host: hire.example']
        head += [f'Attempt-Id: {number:04x}{turn:012x}', 'Deadline-Ms: 600']
        head += [f'Authorization: Token {parts.KEY}', 'Content-Length: 5']
        writer.write('\r\n'.join([*head, '', '']).encode() + b'hello')
        first, headers = await parts.read_head(reader)
        await parts.read_body(reader, headers)
        ends.append(first.split(' ')[1])
        await asyncio.sleep(PAUSE_S)
    writer.close()


async def main(record: parts.Record, folder: str) -> int:
    store = parts.Store()
    await store.start()
    store.put('config', 'main', config())
    replicas = [Replica(number, store, record) for number in range(1, REPLICAS + 1)]
    for replica in replicas:
        await replica.start()
    box = parts.Box('edge-bund-hall-1', store.address, folder)
    ends: list[str] = []
    stop = asyncio.Event()
    try:
        await box.start()
        await box.wait_ready()
        clients = [
            asyncio.create_task(client(box, number, ends, stop)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(4.0)
        for turn in range(ROUNDS):
            if parts.trouble():
                record(f"the store cuts {store.cut_watches('servers')} waiting watch of replicas")
                await asyncio.sleep(CUT_BEFORE_S)
            await replicas[turn].leave()
            # Another one takes its place.
            replicas.append(Replica(REPLICAS + turn + 1, store, record))
            await replicas[-1].start()
            await asyncio.sleep(1.5)
        stop.set()
        await asyncio.gather(*clients)
    finally:
        await box.end()
    late = sorted(since for replica in replicas for since in replica.late)
    counts = {end: ends.count(end) for end in sorted(set(ends))}
    worst = f', the last one {late[-1]:.3f} s' if late else ''
    summary = (
        f'{len(ends)} requests, ends {counts}; {ROUNDS} replicas left, {len(late)} requests '
        f'reached one more than {DRAIN_S} s after the store had acknowledged that it was gone{worst}'
    )
    record(summary)
    print(summary)
    if counts.get('200', 0) < 0.9 * len(ends):
        return 2
    return 1 if late else 0


parts.run(main, FOLDER)
