"""Provoke one failure each and check what must hold; return what was seen, in some words."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import TYPE_CHECKING

from testkit.callers import new_idempotency_key
from testkit.load import LoadGenerator
from testkit.processes import run_cli
from testkit.world import SERVICES
from tools.faults.deployment import (
    BOXES,
    CLIENTS,
    EFFECT_REQUEST,
    FAILURE_DOMAINS,
    MIXED_REQUESTS,
    STREAM_REQUEST,
    WAIT_FLAGS,
    Deployment,
    check,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


async def box_killed(deployment: Deployment) -> str:
    """Kill a daemon under load; its unfinished keys asked again elsewhere run at most once."""
    victim = deployment.boxes[0]
    load = LoadGenerator(boxes=deployment.boxes, samples=MIXED_REQUESTS)
    async with load.running(CLIENTS):
        await asyncio.sleep(1)
        victim.send(signal.SIGKILL)
        await asyncio.sleep(0.5)
    other_box = deployment.boxes[1]
    unfinished = [item for item in load.results if item.key and item.outcome == 'broken']
    for item in unfinished:
        await deployment.send(other_box, item.sample, item.key)
    check(len(unfinished) > 0, 'no key was in progress when the box was killed')
    await deployment.check_load(load, killed_boxes=(victim.name,))
    await victim.wait()
    await deployment.add_box(victim.name, FAILURE_DOMAINS[0])
    return f'{dict(load.outcomes())}, {len(unfinished)} keys asked again'


async def box_frozen(deployment: Deployment) -> str:
    """Freeze a daemon under load, ask its keys elsewhere, and wake it."""
    victim, other = deployment.boxes[0], deployment.boxes[1]
    keys = [new_idempotency_key() for _ in range(12)]
    pending = [asyncio.create_task(deployment.send(victim, EFFECT_REQUEST, key)) for key in keys]
    await asyncio.sleep(0.25)
    victim.send(signal.SIGSTOP)
    retried = await asyncio.gather(*(deployment.send(other, EFFECT_REQUEST, key) for key in keys))
    victim.send(signal.SIGCONT)
    resumed = await asyncio.gather(*pending)
    ran = await deployment.run_counts()
    answered = [reply.outcome for reply in (*retried, *resumed)].count('answered')
    check(answered > 0, 'nothing was answered on either side of the freeze')
    for key in keys:
        check(ran.get(key, 0) <= 1, f'{key} ran {ran.get(key)} times')
    return f'of 12 keys {answered} answered, none twice'


async def planned_stop(deployment: Deployment) -> str:
    """Stop a daemon under load: no request is cut and it exits 0."""
    victim = deployment.boxes[0]
    load = LoadGenerator(boxes=deployment.boxes, samples=MIXED_REQUESTS)
    async with load.running(CLIENTS):
        await asyncio.sleep(0.5)
        victim.send(signal.SIGTERM)
        # The balancer would stop sending here; these clients find the port closed in the end.
        load.boxes = [box for box in load.boxes if box is not victim]
        code = await victim.wait()
        await asyncio.sleep(0.2)
    check(code == 0, f'exit code {code}')
    await deployment.check_load(load)
    check(load.outcomes()['failed'] == 0, f'{dict(load.outcomes())}')
    await deployment.add_box(victim.name, FAILURE_DOMAINS[0])
    return str(dict(load.outcomes()))


async def drains(deployment: Deployment) -> str:
    """Drain an endpoint of each kind under load: nothing is cut, and no new work comes."""
    load = LoadGenerator(boxes=deployment.boxes, samples=MIXED_REQUESTS)
    names = [f'{service}-1' for service in SERVICES]
    async with load.running(CLIENTS):
        await asyncio.sleep(0.5)
        for name in names:
            result = await run_cli(deployment.platform, 'endpoint', 'drain', name, *WAIT_FLAGS)
            check(result.code == 0, result.errors)
        await asyncio.sleep(0.5)
        before = [
            await deployment.get_json(deployment.endpoints[name].process, '/admin/asked')
            for name in names
        ]
        await asyncio.sleep(0.7)
        after = [
            await deployment.get_json(deployment.endpoints[name].process, '/admin/asked')
            for name in names
        ]
    check([len(item) for item in before] == [len(item) for item in after], 'work after a drain')
    await deployment.check_load(load)
    outcomes = load.outcomes()
    check(outcomes['failed'] == 0 and outcomes['refused'] == 0, str(dict(outcomes)))
    for name in names:
        await reactivate_endpoint(deployment, name)
    return str(dict(outcomes))


async def reactivate_endpoint(deployment: Deployment, name: str) -> None:
    """Take a drained endpoint into service again."""
    spec = deployment.endpoints[name].spec
    flags = [
        f'--{flag.replace("_", "-")}={spec[flag]}'
        for flag in ('service', 'stage', 'address', 'failure_domain', 'concurrency')
    ]
    result = await run_cli(deployment.platform, 'endpoint', 'add', name, *flags, *WAIT_FLAGS)
    check(result.code == 0, result.errors)


async def platform_outage(deployment: Deployment) -> str:
    """Take the platform away under load; what needs no claim goes on, changes come later."""
    load = LoadGenerator(boxes=deployment.boxes, samples=MIXED_REQUESTS)
    async with load.running(CLIENTS):
        await asyncio.sleep(0.3)
        await deployment.set_faults(deployment.platform, down=True)
        result = await run_cli(deployment.platform, 'endpoint', 'drain', 'drafting-1')
        check(result.code in (1, 4), f'a change was accepted by a platform that is down: {result}')
        # The write may have been sent twice; it must have had no effect.
        await asyncio.sleep(1)
        refused = await deployment.send(deployment.boxes[0], EFFECT_REQUEST, new_idempotency_key())
        check(refused.outcome == 'refused', f'{refused}')
        answered = await deployment.send(deployment.boxes[0], STREAM_REQUEST)
        check(answered.outcome == 'answered', f'{answered}')
        await deployment.set_faults(deployment.platform, down=False)
        result = await run_cli(deployment.platform, 'endpoint', 'drain', 'drafting-1', *WAIT_FLAGS)
        check(result.code == 0, result.errors)
    await deployment.check_load(load)
    await reactivate_endpoint(deployment, 'drafting-1')
    return str(dict(load.outcomes()))


async def engine_cut(deployment: Deployment) -> str:
    """Cut streams half-way: they are resumed on another replica, byte for byte."""
    whole = await deployment.send(deployment.boxes[0], STREAM_REQUEST)
    engines = [
        item.process for name, item in deployment.endpoints.items() if name.startswith('draft')
    ]
    for number in range(6):
        for engine in engines:
            await deployment.set_faults(engine, cut_after=3 + number)
        reply = await deployment.send(deployment.boxes[number % BOXES], STREAM_REQUEST)
        check(reply.outcome in ('answered', 'failed'), f'{reply}')
        if reply.outcome == 'answered':
            check(reply.streamed == whole.streamed, f'{reply.streamed} is not {whole.streamed}')
    for engine in engines:
        await deployment.set_faults(engine)
    return 'resumed streams are equal'


async def operators_race(deployment: Deployment) -> str:
    """Let operators change one endpoint at once: each accepted change has exactly one record."""
    commands = ['drain', 'stop'] * 4
    await deployment.set_faults(deployment.platform, slow_s=0.3)
    results = await asyncio.gather(
        *(
            run_cli(deployment.platform, 'endpoint', command, 'rerankers-1', who=f'op-{number}')
            for number, command in enumerate(commands)
        )
    )
    await deployment.set_faults(deployment.platform, slow_s=0.0)
    accepted = sum(result.code == 0 for result in results)
    check(0 < accepted < len(results), f'{accepted} accepted: the operators did not race')
    check(all(result.code in (0, 3) for result in results), f'{results}')
    audit = await run_cli(
        deployment.platform, '--output', 'json', 'audit', '--key', 'endpoints/rerankers-1'
    )
    records = [item for item in json.loads(audit.output) if item['who'].startswith('op-')]
    check(len(records) == accepted, f'{accepted} accepted, {len(records)} recorded')
    check(len({item['id'] for item in records}) == accepted, 'a change is recorded twice')
    await reactivate_endpoint(deployment, 'rerankers-1')
    return f'{accepted} accepted, {len(results) - accepted} told of the conflict'


async def lost_answers(deployment: Deployment) -> str:
    """Lose answers after the platform took the write: neither operators nor claims do it twice."""
    await deployment.set_faults(deployment.platform, lose_answers=2)
    result = await run_cli(deployment.platform, 'endpoint', 'drain', 'encoders-1', *WAIT_FLAGS)
    check(result.code == 0, result.errors)
    await deployment.set_faults(deployment.platform, lose_answers=3)
    key = new_idempotency_key()
    replies = [await deployment.send(box, EFFECT_REQUEST, key) for box in deployment.boxes]
    ran = await deployment.run_counts()
    check(ran.get(key, 0) <= 1, f'{key} ran {ran.get(key)} times')
    check('answered' in [reply.outcome for reply in replies], f'{replies}')
    await deployment.set_faults(deployment.platform, lose_answers=0)
    await reactivate_endpoint(deployment, 'encoders-1')
    return str([reply.outcome for reply in replies])


async def restart_without_platform(deployment: Deployment) -> str:
    """Restart a daemon while the platform is down: it gets its view from its peers."""
    victim = deployment.boxes[0]
    await deployment.set_faults(deployment.platform, down=True)
    victim.send(signal.SIGKILL)
    await victim.wait()
    seeds = ','.join(box.peer_address for box in deployment.boxes if box is not victim)
    box = await deployment.add_box(victim.name, FAILURE_DOMAINS[0], '--seed-peers', seeds)
    reply = await deployment.send(box, STREAM_REQUEST)
    check(reply.outcome == 'answered', f'{reply}')
    await deployment.set_faults(deployment.platform, down=False)
    return 'ready from peers'


SCENARIOS: tuple[Callable[[Deployment], Awaitable[str]], ...] = (
    box_killed,
    box_frozen,
    planned_stop,
    drains,
    platform_outage,
    engine_cut,
    operators_race,
    lost_answers,
    restart_without_platform,
)
