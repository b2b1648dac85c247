"""Run every scenario; exit 0 only if all that must hold does."""

from __future__ import annotations

import asyncio
import sys
import time

import aiohttp

from testkit.processes import ProcessGroup
from tools.faults.deployment import CheckFailed, Deployment
from tools.faults.scenarios import SCENARIOS


async def run() -> int:
    """Run every scenario on one deployment and return the exit code."""
    passed = failed = 0
    async with ProcessGroup() as group, aiohttp.ClientSession() as session:
        deployment = Deployment(group=group)
        deployment.session = session
        await deployment.start()
        for scenario in SCENARIOS:
            started = time.monotonic()
            try:
                detail = await scenario(deployment)
            except CheckFailed as error:
                failed += 1
                print(f'FAILED {scenario.__name__}: {error}')
                continue
            passed += 1
            print(f'ok {scenario.__name__} ({time.monotonic() - started:.1f} s): {detail}')
    print(f'{passed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(asyncio.run(run()))
