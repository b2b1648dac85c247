"""Start stand-ins and two daemons, send an example's requests, and check every answer."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import sys
from typing import TYPE_CHECKING, Any

import aiohttp
import yaml

from testkit.callers import Reply, SampleRequest, new_idempotency_key, send
from testkit.processes import ROOT, EndpointProcess, Process, ProcessGroup, run_cli, wait_ready

if TYPE_CHECKING:
    from pathlib import Path

EXAMPLES = ROOT / 'examples'
BOXES = 2


class Demo:
    """Run one example from start to end."""

    def __init__(self, *, example: Path, group: ProcessGroup) -> None:
        self.example = example
        self.group = group
        self.endpoints: dict[str, EndpointProcess] = {}
        self.boxes: list[Process] = []
        self.problems: list[str] = []

    async def set_up(self) -> None:
        """Start everything and apply the example's configuration."""
        platform = await self.group.start_platform()
        specs = list(yaml.safe_load_all((self.example / 'config/endpoints.yaml').read_text()))
        started = await asyncio.gather(*(self.group.start_endpoint(spec) for spec in specs))
        self.endpoints = {item.process.name: item for item in started}
        domains = sorted({spec['failure_domain'] for spec in specs})
        self.boxes = list(
            await asyncio.gather(
                *(
                    self.group.start_daemon(
                        platform, f'box-{n + 1}', domains[n], '--leave-grace-s', '0.2',
                        '--boxes', str(BOXES),
                    )
                    for n in range(BOXES)
                )
            )
        )  # fmt: skip
        addresses = self.group.write_documents('endpoints.yaml', [item.spec for item in started])
        config = self.example / 'config'
        files = [str(config / name) for name in ('templates.yaml', 'pipelines.yaml')]
        applied = await run_cli(platform, 'apply', str(addresses), *files, '--wait', '10')
        if applied.code:
            raise SystemExit(f'apply failed: {applied.errors}')
        print(applied.output.splitlines()[-1])
        for box in self.boxes:
            await wait_ready(box)
        print((await run_cli(platform, 'status', '--last', '2')).output)

    async def send_all(self) -> list[Reply]:
        """Send every request, in turn to each box, and print what came back."""
        samples = yaml.safe_load((self.example / 'requests.yaml').read_text())
        replies = []
        async with aiohttp.ClientSession() as session:
            for number, item in enumerate(samples):
                sample = SampleRequest(**item)
                key = None if sample.repeatable else new_idempotency_key()
                for again in range(1 + sample.twice):
                    box = self.boxes[(number + again) % len(self.boxes)]
                    reply = await send(session, box, sample, key)
                    self.show(sample, box, reply)
                    await self.check(session, sample, reply, replayed=bool(again))
                    replies.append(reply)
                    # The answer is kept just after it is given; a retry this soon may be early.
                    await asyncio.sleep(0.05 if sample.twice else 0)
        return replies

    def show(self, sample: SampleRequest, box: Process, reply: Reply) -> None:
        """Print a request, its outcome and the time of each stage."""
        stages = ' '.join(
            f'{item["stage"]}={item["served_ms"]:.0f}ms' for item in reply.body.get('stages', [])
        )
        replayed = ' (stored answer)' if reply.body.get('replayed') else ''
        print(
            f'{box.name} {sample.workspace}/{sample.pipeline}: {reply.outcome}{replayed} {stages}'
        )
        print(f'    asked: {sample.input}')
        print(f'    got:   {reply.body.get("output") or reply.body}')

    async def check(
        self, session: aiohttp.ClientSession, sample: SampleRequest, reply: Reply, *, replayed: bool
    ) -> None:
        """Compare an answer with what the stand-ins say they were asked."""
        if reply.outcome != 'answered':
            self.problems.append(f'{sample.input!r} was {reply.outcome}: {reply.body}')
            return
        if reply.body['replayed'] != replayed:
            self.problems.append(f'{sample.input!r}: replayed is {reply.body["replayed"]}')
        if reply.streamed is not None and reply.streamed != reply.body['output']:
            self.problems.append(f'{sample.input!r}: streamed text differs from the answer')
        if sample.input not in reply.body['output'] and '—' in reply.body['output']:
            self.problems.append(f'{sample.input!r}: the answer is to another request')
        for stage in reply.body['stages']:
            await self.check_stage(session, reply, stage)
        if reply.key is not None:
            await self.check_ran_once(session, reply.key)

    async def check_stage(
        self, session: aiohttp.ClientSession, reply: Reply, stage: dict[str, Any]
    ) -> None:
        """Check that the endpoint named in the answer was asked by this request."""
        url = f'{self.endpoints[stage["endpoint"]].process.url}/admin/asked'
        async with session.get(url) as answer:
            asked = await answer.json()
        prefix = f'{reply.body["request_id"]}/{stage["stage"]}/'
        found = [value for call, value in asked.items() if call.startswith(prefix)]
        if not found:
            self.problems.append(f'{prefix}: {stage["endpoint"]} was never asked')
        elif stage['stage'] == 'draft':
            if found[-1] != hashlib.sha256(reply.body['output'].encode()).hexdigest():
                self.problems.append(f'{prefix}: the output is not what the engine made')
        elif found[-1] != reply.body['results'].get(stage['stage'], found[-1]):
            self.problems.append(f'{prefix}: the result is not what the service gave')

    async def check_ran_once(self, session: aiohttp.ClientSession, key: str) -> None:
        """Check that a key ran exactly once over all services."""
        total = 0
        for endpoint in self.endpoints.values():
            if endpoint.spec['stage'] == 'service':
                async with session.get(f'{endpoint.process.url}/admin/ran') as answer:
                    total += (await answer.json()).get(key, 0)
        if total != 1:
            self.problems.append(f'key {key} ran {total} times')


async def run(example: str) -> int:
    """Run one example and return the exit code."""
    async with ProcessGroup() as group:
        demo = Demo(example=EXAMPLES / example, group=group)
        await demo.set_up()
        replies = await demo.send_all()
        for box in demo.boxes:
            box.handle.terminate()
        codes = [await box.wait() for box in demo.boxes]
    if any(codes):
        demo.problems.append(f'daemons ended with {codes}')
    for problem in demo.problems:
        print(f'problem: {problem}')
    counts = dict.fromkeys(('answered', 'refused', 'failed'), 0)
    for reply in replies:
        counts[reply.outcome] += 1
    print(f'{example}:')
    print(', '.join(f'{count} {name}' for name, count in counts.items()))
    return 1 if demo.problems else 0


def main() -> None:
    """Parse the flags and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--example', default='ravi-canal-hire')
    sys.exit(asyncio.run(run(parser.parse_args().example)))


if __name__ == '__main__':
    main()
