"""Start and stop stand-ins and daemons as processes, on ports chosen by the system."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Sequence

ROOT = Path(__file__).resolve().parent.parent
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 60.0
LISTENING = 'listening on '


class Process(NamedTuple):
    """Hold a running process, its URL and its log file."""

    name: str
    handle: asyncio.subprocess.Process
    url: str
    log: Path
    peer_address: str = ''

    @property
    def address(self) -> str:
        """Return `host:port`."""
        return self.url.removeprefix('http://')

    def send(self, number: signal.Signals) -> None:
        """Send a signal to this process only."""
        self.handle.send_signal(number)

    async def wait(self) -> int:
        """Return the exit code once the process has ended."""
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self.handle.wait()


class EndpointProcess(NamedTuple):
    """Hold an endpoint's stand-in and its configuration document."""

    process: Process
    spec: dict[str, Any]


class ProcessGroup:
    """Own a set of processes; leaving the context kills those that still run."""

    def __init__(self) -> None:
        self.processes: list[Process] = []
        self.folder = Path(tempfile.mkdtemp(prefix='calicopath-'))

    async def __aenter__(self) -> ProcessGroup:
        return self

    async def __aexit__(self, *exc: object) -> None:
        for process in self.processes:
            if process.handle.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send(signal.SIGCONT)
                    process.handle.kill()
        for process in self.processes:
            await process.wait()

    async def start(self, name: str, arguments: Sequence[str], **environment: str) -> Process:
        """Start a Python module and wait until it prints its address."""
        log = self.folder / f'{name}.log'
        with log.open('ab') as errors:
            handle = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *arguments,
                cwd=ROOT,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                env={**os.environ, **environment},
            )
        assert handle.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            line = (await handle.stdout.readline()).decode().strip()
        if not line.startswith(LISTENING):
            raise RuntimeError(f'{name} did not start: {line} {log.read_text()}')
        url, _, peer_address = line.removeprefix(LISTENING).partition(' peers ')
        process = Process(name, handle, url, log, peer_address)
        self.processes.append(process)
        return process

    async def start_platform(self) -> Process:
        """Start the platform's stand-in."""
        return await self.start('platform', ['standins.platform'])

    async def start_endpoint(self, spec: dict[str, Any], *flags: str) -> EndpointProcess:
        """Start an endpoint's stand-in and return its document with the actual address."""
        name, kind = spec['name'], spec['stage']
        concurrency = ['--concurrency', str(spec['concurrency'])]
        arguments = {
            'engine': ['standins.engine', *concurrency],
            'service': ['standins.service', '--name', spec['service']],
        }.get(kind, ['standins.stagepool', '--kind', kind, *concurrency])
        process = await self.start(name, [*arguments, *flags])
        return EndpointProcess(process, {**spec, 'address': process.url})

    async def start_daemon(
        self, platform: Process, box: str, failure_domain: str, *flags: str
    ) -> Process:
        """Start a daemon and register it in the platform's box list."""
        process = await self.start(
            box,
            [
                'calicopathd',
                '--box', box,
                '--failure-domain', failure_domain,
                '--platform', platform.url,
                '--listen', '127.0.0.1:0',
                *flags,
            ],
        )  # fmt: skip
        await register_box(platform, process, failure_domain)
        return process

    def write_documents(self, name: str, documents: Sequence[dict[str, Any]]) -> Path:
        """Write documents to a configuration file; JSON is YAML too."""
        path = self.folder / name
        path.write_text('\n---\n'.join(json.dumps(item) for item in documents))
        return path


async def register_box(platform: Process, daemon: Process, failure_domain: str) -> None:
    """Register a daemon in the box list, as the platform does when it creates a box."""
    record = {
        'failure_domain': failure_domain,
        'address': daemon.address,
        'peer_address': daemon.peer_address,
    }
    async with (
        aiohttp.ClientSession() as session,
        session.put(f'{platform.url}/admin/boxes/{daemon.name}', json=record),
    ):
        pass


async def wait_ready(process: Process, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a daemon is ready."""
    async with aiohttp.ClientSession() as session, asyncio.timeout(timeout_s):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(f'{process.url}/readyz') as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.02)


class CommandResult(NamedTuple):
    """Hold a command's exit code and output."""

    code: int
    output: str
    errors: str


async def run_cli(platform: Process | None, *arguments: str, who: str = 'tester') -> CommandResult:
    """Run a command of the operators' command line."""
    environment = {**os.environ, 'CALICOPATH_WHO': who}
    if platform is not None:
        environment['CALICOPATH_PLATFORM'] = platform.url
    handle = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'calicopath_cli',
        *arguments,
        cwd=ROOT,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await handle.communicate()
    assert handle.returncode is not None
    return CommandResult(handle.returncode, output.decode(), errors.decode())
