"""Stand-ins and helpers that the review's scripts share; standard library only.

The store speaks the part of the platform's protocol that a box uses: lists, watches, POST, PUT and
DELETE of objects. Boxes are started with the command of the deploy file, each as a process of its
own, with a settings file as the platform lays it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
KEY = '9dnn2ctnfzs989anu6ws'
STARTED = time.monotonic()
ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)
"""How a connection of a stand-in may end."""


def trouble() -> bool:
    """Tell whether the disruption is to be made (`TROUBLE=0` leaves it out)."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Write `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: str) -> None:
        self.file = (Path(folder) / 'record.txt').open('w', encoding='utf-8')

    def __call__(self, text: str) -> None:
        self.file.write(f'{time.monotonic() - STARTED:8.3f} {text}\n')
        self.file.flush()


_taken: set[int] = set()


def free_port() -> int:
    """Return a free loopback port."""
    while True:
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            port = sock.getsockname()[1]
        if port not in _taken:
            _taken.add(port)
            return port


def free_range(count: int) -> int:
    """Return the first of some free loopback ports in a row."""
    while True:
        first = free_port()
        try:
            socks = []
            for port in range(first, first + count):
                sock = socket.socket()
                socks.append(sock)
                sock.bind(('127.0.0.1', port))
        except OSError:
            continue
        finally:
            for sock in socks:
                sock.close()
        _taken.update(range(first, first + count))
        return first


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    raw = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = raw[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message that has a length or chunks."""
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int((await reader.readline()).split(b';')[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
        return body
    return await reader.readexactly(int(headers.get('content-length', '0')))


def answer(status: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return an HTTP answer with a length."""
    lines = [f'HTTP/1.1 {status}', *(f'{name}: {value}' for name, value in headers.items())]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Store:
    """The platform's store: objects by kind and name, one counter of revisions, watches."""

    def __init__(self) -> None:
        self.revision = 0
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.address = ''
        self.waiting: dict[asyncio.StreamWriter, str] = {}

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]

    def cut_watches(self, kind: str) -> int:
        """Close the connections of a kind's waiting watches without an answer; return how many."""
        cut = [writer for writer, watched in self.waiting.items() if watched == kind]
        for writer in cut:
            writer.close()
        return len(cut)

    def note(self, kind: str, item: dict, deleted: bool) -> None:
        self.events.append((self.revision, kind, item, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, kind: str, name: str, spec: object) -> dict:
        held = self.objects.setdefault(kind, {})
        if name in held and held[name]['spec'] == spec:
            return held[name]
        self.revision += 1
        created = held[name]['metadata']['created'] if name in held else self.revision
        metadata = {'name': name, 'revision': self.revision, 'created': created}
        metadata |= {'finalizers': [], 'deletionPending': False}
        held[name] = {'metadata': metadata, 'spec': spec, 'status': None}
        self.note(kind, held[name], False)
        return held[name]

    def delete(self, kind: str, name: str) -> None:
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item = {**item, 'metadata': {**item['metadata'], 'revision': self.revision}}
            self.note(kind, item, True)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(*ENDS):
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ')
                if 'watch=' in target:
                    self.waiting[writer] = target.split('/')[3].partition('?')[0]
                try:
                    status, data = await self.act(method, target, json.loads(body) if body else {})
                finally:
                    self.waiting.pop(writer, None)
                if writer.is_closing():
                    return
                raw = json.dumps(data).encode()
                writer.write(answer(status, {'Content-Type': 'application/json'}, raw))
                await writer.drain()
        writer.close()

    async def act(self, method: str, target: str, data: dict) -> tuple[str, dict]:
        path, _, query = target.partition('?')
        options = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(part) for part in path.split('/')[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ''
        held = self.objects.setdefault(kind, {})
        if method == 'GET' and 'watch' in options:
            return await self.watch(kind, int(options['watch']), int(options['waitMs']) / 1000)
        if method == 'GET' and not name:
            names = sorted(item for item in held if item > options.get('sinceRevision', ''))
            entries = [held[item] for item in names[:500]]
            return '200 OK', {
                'entries': entries,
                'hasMore': len(names) > 500,
                'timestamp': self.revision,
            }
        if method == 'POST':
            name = data['metadata']['name']
            if name in held:
                return '409 Conflict', held[name]
            return '200 OK', self.put(kind, name, data['spec'])
        if name not in held:
            return '404 Not Found', {}
        wanted = data.get('metadata', {}).get('revision') or options.get('revision')
        if method != 'GET' and wanted and int(wanted) != held[name]['metadata']['revision']:
            return '409 Conflict', held[name]
        if method == 'PUT':
            return '200 OK', self.put(kind, name, data['spec'])
        if method == 'DELETE':
            self.delete(kind, name)
            return '200 OK', {}
        return '200 OK', held[name]

    async def watch(self, kind: str, since: int, wait_s: float) -> tuple[str, dict]:
        until = time.monotonic() + wait_s
        while True:
            found = [item for item in self.events if item[0] > since and item[1] == kind]
            left = until - time.monotonic()
            if found or left <= 0:
                events = [{'object': item, 'deleted': gone} for _, _, item, gone in found]
                return '200 OK', {'events': events, 'timestamp': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)


def replica(service: str, address: str, slots: int, state: str = 'ready') -> dict:
    """Return a replica's entry in the store."""
    entry = {'service': service, 'address': address, 'zone': 'bund-hall', 'version': 'v1'}
    return entry | {'slots': slots, 'state': state, 'warmupLeftMs': 0, 'sequence': 1}


def settings_text(name: str, store: str, ports: dict[str, int]) -> str:
    """Return a settings file with the fields and figures of the small deployment ravi-hire."""
    return f'''
nodeName = "{name}"
role = "gateway"
nodeClass = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "bund-hall"
region = "pk-lahore"
internalPortRange = [{ports['internal']},{ports['internal'] + 15}]
seedNodes = []
bootstrap = true
discovery = "platform"
entryMode = "vip"
heartbeatMs = 1200
[zones]
bund-hall = "pk-lahore"
[listen]
frontend = "127.0.0.1:{ports['frontend']}"
ready = "127.0.0.1:{ports['ready']}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
skewMaxMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 52
recoverS = 12
iterationMs = 120
retryAfterS = 9.6
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
'''


class Box:
    """One process of the project, started with the deploy file's command."""

    def __init__(self, name: str, store: str, folder: str) -> None:
        self.name = name
        self.ports = {'internal': free_range(16), 'frontend': free_port(), 'ready': free_port()}
        self.settings = Path(folder) / f'{name}.toml'
        self.settings.write_text(settings_text(name, store, self.ports), encoding='utf-8')
        self.log = (Path(folder) / f'{name}.log').open('wb')
        self.process: asyncio.subprocess.Process | None = None

    @property
    def address(self) -> tuple[str, int]:
        return '127.0.0.1', self.ports['frontend']

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8'))
        (role,) = deploy['roles'].values()
        env = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        env |= {'CALICOPATH_BOOT': str(self.settings), 'PYTHONPATH': 'target/deps'}
        self.process = await asyncio.create_subprocess_exec(
            *shlex.split(role['run']), cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection('127.0.0.1', self.ports['ready'])
                writer.write(b'GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n')
                first, _ = await read_head(reader)
                writer.close()
                if ' 200 ' in f'{first} ':
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{self.name} was not ready in {timeout_s} s')

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        self.log.close()


def run(main, folder: str) -> None:
    """Run a case: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""

    async def limited() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(110):
                return await main(Record(folder), temporary)

    try:
        code = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001
        print(f'could not run: {error!r}', file=sys.stderr)
        code = 2
    sys.exit(code)
