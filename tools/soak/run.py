"""Play one seed: load and faults for a while, then calm, then the verdict."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from calicopath_platform import names
from calicopath_platform.tests.soak_replicas import soak_request
from tools.soak import checks, crash_parts, crash_requests, overload, restarts
from tools.soak.callers import CallerConnection, CallerRequest, send_request
from tools.soak.drawing import draw_all_steps
from tools.soak.endless import (
    BoxMemory,
    find_arrivals_after_removal,
    find_unserved_beside_endless,
)
from tools.soak.limits import find_limit_violations
from tools.soak.partitions import find_unserved_callers
from tools.soak.records import RequestKind, RequestRecord
from tools.soak.resuming import (
    find_lost_streams,
    find_mixed_versions,
    is_broken_stream,
    resume_stream,
)
from tools.soak.schedule import FaultKind, Step
from tools.soak.underway import find_lost_answers
from tools.soak.world import FAILURE_DOMAINS, REPLICA_COUNT, World

if TYPE_CHECKING:
    from tools.soak.crash_parts import CrashPartRequest
    from tools.soak.crash_requests import Repeat
    from tools.soak.overload import LoadPeriod
    from tools.soak.resuming import Resumption

CALLER_DEADLINE_S = 4.0
RESPONSE_TIMEOUT_S = 8.0
"""How long a caller waits for an answer in all: longer than boxes may take."""

MAX_CALLER_PAUSE_S = 0.05
RECOVERY_LIMIT_S = 60.0
"""How long after the faults every box has to serve; the users' pages say 12 s, and a busy machine
is given five times that, since the verdict may not depend on its speed."""

CALLER_REQUEST_KINDS = (
    RequestKind.SAFE,
    RequestKind.UNSAFE,
    RequestKind.STAGED_STREAM,
    RequestKind.UNREPEATABLE_STREAM,
    RequestKind.CONFIG_PROBE,
)


class Plan(NamedTuple):
    """Hold what to play: the faults' seconds, how many boxes and callers, which checks.

    With `timed`, bounds in time are checked too; a machine that is busy may break those by itself.
    With `only`, the steps of other kinds are left out.
    """

    seed: int
    fault_duration_s: float
    boxes: int
    callers: int
    check_times: bool
    only: FaultKind | None = None


class Verdict(NamedTuple):
    """Hold what a seed showed."""

    plan: Plan
    steps: list[Step]
    records: list[RequestRecord]
    problems: list[str]
    log_folder: str


class Soak:
    """Play one plan."""

    def __init__(self, *, plan: Plan) -> None:
        self.plan = plan
        self.world = World(boxes=plan.boxes)
        self.records: list[RequestRecord] = []
        self.sent_ids: set[str] = set()
        self.faults_are_over = False
        self.crash_request_numbers = itertools.count(1)
        self.overload_numbers = itertools.count(1)
        self.load_periods: list[LoadPeriod] = []
        self.memory = BoxMemory()
        self.restart_problems: list[str] = []

    async def run(self) -> Verdict:
        """Play it and judge."""
        plan = self.plan
        steps = draw_all_steps(
            plan.seed,
            seconds=plan.fault_duration_s,
            boxes=plan.boxes,
            replicas=REPLICA_COUNT,
            failure_domains=len(FAILURE_DOMAINS),
        )
        steps = [step for step in steps if plan.only in (None, step.kind)]
        try:
            await self.world.start()
            problems = await self.check_boxes_serve('before the faults')
            offset = self.world.now()
            steps = [step._replace(at_s=step.at_s + offset) for step in steps]
            sampling = asyncio.create_task(self.memory.sample(self.world.boxes))
            callers = [
                asyncio.create_task(self.run_caller(number)) for number in range(plan.callers)
            ]
            await asyncio.gather(*(self.apply_step(step) for step in steps))
            self.faults_are_over = True
            problems += await self.check_boxes_serve('after the faults')
            problems += await self.check_boxes_recorded()
            await asyncio.gather(*callers)
            sampling.cancel()
            problems += self.find_problems(steps)
        finally:
            await self.world.close()
        return Verdict(plan, steps, self.records, problems, str(self.world.folder))

    async def apply_step(self, step: Step) -> None:
        """Do one step at its time."""
        await asyncio.sleep(max(0.0, step.at_s - self.world.now()))
        if step.kind is FaultKind.CRASH_REQUEST:
            await crash_requests.send_repeats(
                step, partial(self.send_crash_request, step), self.plan.boxes
            )
        if step.kind is FaultKind.CRASH_PART:
            await crash_parts.send_series(step, self.send_crash_part, self.plan.boxes)
        if step.kind is FaultKind.OVERLOAD:
            period = await overload.send_load(
                step, self.send_overload_request, self.plan.boxes, self.world.now
            )
            self.load_periods.append(period)
        if step.kind is FaultKind.RESTART_BESIDE_ENTRIES:
            await self.restart_beside_entries(step)
        await self.world.apply(step)

    async def restart_beside_entries(self, step: Step) -> None:
        """Kill all boxes beside unreadable objects, and check that they serve beside them."""
        restarts.write_foreign_objects(self.world)
        await restarts.kill_all_boxes(self.world, step)
        self.restart_problems += await self.check_boxes_serve(
            f'{step.at_s:.3f} beside unreadable objects'
        )
        restarts.remove_foreign_objects(self.world)

    async def send_crash_request(self, step: Step, repeat: Repeat, box: int) -> None:
        """Send one repeat of a request that ends replicas, on a connection of its own."""
        kind, call_id = crash_requests.request_kind(step), f'd-{next(self.crash_request_numbers)}'
        staged = kind is RequestKind.STAGED_STREAM
        path, incarnation = repeat.path + repeat.query, self.world.boxes[box].incarnation
        data = soak_request(
            path, call_id, staged=staged, deadline_s=CALLER_DEADLINE_S, body=repeat.body
        )
        request = CallerRequest(call_id, kind, box, incarnation, data, 0, repeat.path)
        connection = CallerConnection(address=self.world.boxes[box].frontend)
        await self.send(connection, request)
        connection.close()

    async def send_crash_part(self, request: CrashPartRequest, box: int) -> None:
        """Send a request whose prompt has a crashing part, on a connection of its own."""
        call_id = f'p-{next(self.crash_request_numbers)}'
        data = soak_request(
            request.path,
            call_id,
            staged=request.kind is RequestKind.STAGED_STREAM,
            deadline_s=CALLER_DEADLINE_S,
            body=request.body,
            crash_part=request.part,
        )
        connection = CallerConnection(address=self.world.boxes[box].frontend)
        await self.send(
            connection,
            CallerRequest(
                call_id,
                request.kind,
                box,
                self.world.boxes[box].incarnation,
                data,
                0,
                crash_part=request.part,
            ),
        )
        connection.close()

    async def send_overload_request(self, kind: RequestKind, box: int) -> None:
        """Send one request of an overload, on a connection of its own."""
        call_id = f'o-{next(self.overload_numbers)}'
        connection = CallerConnection(address=self.world.boxes[box].frontend)
        await self.send(connection, self.new_request(call_id, kind, box, random.Random(box)))
        connection.close()

    async def run_caller(self, number: int) -> None:
        """Send requests until the faults are over, over connections that are kept."""
        rng = random.Random(f'{self.plan.seed}/{number}')
        connections = [CallerConnection(address=box.frontend) for box in self.world.boxes]
        request_number = 0
        while not self.faults_are_over:
            request_number += 1
            box = rng.randrange(len(connections))
            request = self.new_request(
                f'c-{number}-{request_number}', rng.choice(CALLER_REQUEST_KINDS), box, rng
            )
            record = await self.send(connections[box], request)
            if is_broken_stream(record):
                send_rest = partial(self.send_rest, record, connections, rng)
                await resume_stream(record, send_rest, CALLER_DEADLINE_S, self.world.now)
            await asyncio.sleep(rng.uniform(0, MAX_CALLER_PAUSE_S))
        for connection in connections:
            connection.close()

    async def send_rest(
        self,
        broken: RequestRecord,
        connections: list[CallerConnection],
        rng: random.Random,
        resumption: Resumption,
    ) -> RequestRecord:
        """Send a request that continues a broken stream, to any box."""
        box = rng.randrange(len(connections))
        data = soak_request(
            f'/{broken.kind.value}/{broken.call_id}',
            resumption.call_id,
            staged=True,
            deadline_s=resumption.deadline_s,
            resumed_call_id=resumption.resumed_call_id,
            last_event_id=resumption.last_event_id,
        )
        request = CallerRequest(
            resumption.call_id,
            broken.kind,
            box,
            self.world.boxes[box].incarnation,
            data,
            0,
            resumed_call_id=resumption.resumed_call_id,
            last_event_id=resumption.last_event_id,
        )
        return await self.send(connections[box], request)

    def new_request(
        self, call_id: str, kind: RequestKind, box: int, rng: random.Random
    ) -> CallerRequest:
        """Return a request of some kind."""
        probed_version = (
            rng.randint(1, self.world.config_version) if kind is RequestKind.CONFIG_PROBE else 0
        )
        # What each asks is its own: what many ask is popular, which has tests of its own.
        path = f'/since-{probed_version}/x' if probed_version else f'/{kind.value}/{call_id}'
        staged = kind is RequestKind.STAGED_STREAM
        data = soak_request(path, call_id, staged=staged, deadline_s=CALLER_DEADLINE_S)
        return CallerRequest(
            call_id, kind, box, self.world.boxes[box].incarnation, data, probed_version
        )

    async def send(self, connection: CallerConnection, request: CallerRequest) -> RequestRecord:
        """Send a request and note what was seen."""
        self.sent_ids.add(request.call_id)
        record = await send_request(connection, request, self.world.now, RESPONSE_TIMEOUT_S)
        self.records.append(record)
        return record

    async def check_boxes_serve(self, when: str) -> list[str]:
        """Check that every box serves each kind of request whole, sooner or later."""
        problems = await asyncio.gather(
            *(
                self.check_box_serves(box, kind, when)
                for box in range(self.plan.boxes)
                for kind in (RequestKind.SAFE, RequestKind.STAGED_STREAM)
            )
        )
        return [problem for problem in problems if problem]

    async def check_box_serves(self, box: int, kind: RequestKind, when: str) -> str:
        """Ask a box until it serves; return the problem if it does not."""
        connection = CallerConnection(address=self.world.boxes[box].frontend)
        rng = random.Random(box)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_LIMIT_S):
                for number in range(100_000):
                    call_id = f'{kind.value}-{when[:5]}-{box}-{number}'
                    record = await self.send(connection, self.new_request(call_id, kind, box, rng))
                    if record.status == 200 and record.is_complete:
                        connection.close()
                        return ''
                    await asyncio.sleep(0.1)
        return f'box {box} does not serve a {kind.value} {when}'

    async def check_boxes_recorded(self) -> list[str]:
        """Check that the store holds every box's record, sooner or later."""
        expected = {f'box-{number}' for number in range(self.plan.boxes)}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_LIMIT_S):
                while expected - self.world.store.kinds.get(names.BOX_KIND, {}).keys():
                    await asyncio.sleep(0.1)
                return []
        missing = sorted(expected - self.world.store.kinds.get(names.BOX_KIND, {}).keys())
        return [f'the store holds no record of {", ".join(missing)}']

    def find_problems(self, steps: list[Step]) -> list[str]:
        """Return everything that must not be."""
        world = self.world
        problems = [
            *self.restart_problems,
            *restarts.find_odd_statuses(self.records),
            *checks.find_wrong_responses(self.records),
            *checks.find_repeated_runs(self.records, world.runs),
            *overload.find_runs_after_refusal(self.records, world.runs),
            *overload.find_lasting_overloads(self.records, self.load_periods, steps),
            *checks.find_unknown_runs(self.records, world.runs, self.sent_ids),
            *checks.find_configuration_reverts(self.records),
            *checks.find_excess_store_calls(world.store.called_at, self.plan.boxes),
            *find_unserved_callers(
                self.records, world.partitions, world.disturbed, steps, self.plan.boxes
            ),
            *crash_requests.find_wrongly_blocked(self.records),
            *crash_requests.find_runs_after_block(self.records, world.runs),
            *crash_parts.find_unserved_beside_parts(
                self.records, world.part_crash_times, steps, self.plan.only
            ),
            *checks.find_runs_after_leaving_notice(self.records, world.runs, steps),
            *find_mixed_versions(self.records),
            *find_lost_streams(self.records, self.plan.only),
            *find_lost_answers(self.records, self.plan.only, CALLER_DEADLINE_S),
            *find_unserved_beside_endless(self.records, steps, self.plan.only),
            *find_arrivals_after_removal(
                [item for life in world.incarnations for item in life.arrivals],
                world.removed_at,
                self.plan.only,
            ),
            *self.memory.find_large_boxes(),
            *find_limit_violations(
                self.records,
                world.limit_periods,
                [item for life in world.incarnations for item in life.arrivals],
                steps,
            ),
            *checks.find_backoff_violations(
                self.records,
                [item for life in world.incarnations for item in life.refusals if item.backoff_s],
                [item for life in world.incarnations for item in life.arrivals],
                steps,
            ),
        ]
        if self.plan.check_times or self.plan.only is FaultKind.CRASH_PART:
            problems += crash_parts.find_late_part_sends(
                self.records, world.runs, world.part_crash_times, steps
            )
        if self.plan.check_times:
            problems += checks.find_overlapping_runs(world.runs, steps, world.now())
            problems += checks.find_runs_after_drain(world.runs, world.drained_at, steps)
            problems += checks.find_runs_after_evacuation(
                world.runs, world.evacuations, world.failure_domain_of, steps
            )
            problems += crash_requests.find_late_crash_sends(
                self.records, world.runs, world.crash_times, steps
            )
            problems += checks.find_stop_problems(world.stops, self.records, steps)
        return problems
