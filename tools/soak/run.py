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
from tools.soak import checks, deadly
from tools.soak.callers import CallerConnection, Question, ask
from tools.soak.limits import limits_are_kept
from tools.soak.records import RequestKind, Seen
from tools.soak.schedule import FaultKind, Step, draw
from tools.soak.world import FAILURE_DOMAINS, REPLICAS, World

if TYPE_CHECKING:
    from tools.soak.deadly import Repeat

CALLER_DEADLINE_S = 4.0
GIVE_UP_S = 8.0
"""How long a caller waits for an answer in all: longer than boxes may take."""

PAUSE_S = 0.05
RECOVERY_LIMIT_S = 60.0
"""How long after the faults every box has to serve; the users' pages say 12 s, and a busy machine
is given five times that, since the verdict may not depend on its speed."""

MIX = (
    RequestKind.READ,
    RequestKind.PAY,
    RequestKind.DRAFT,
    RequestKind.LETTER,
    RequestKind.PROBE,
)


class Plan(NamedTuple):
    """Hold what to play: the faults' seconds, how many boxes and callers, which checks.

    With `timed`, bounds in time are checked too; a machine that is busy may break those by itself.
    """

    seed: int
    seconds: float
    boxes: int
    callers: int
    timed: bool


class Verdict(NamedTuple):
    """Hold what a seed showed."""

    plan: Plan
    steps: list[Step]
    seen: list[Seen]
    problems: list[str]
    logs: str


class Soak:
    """Play one plan."""

    def __init__(self, *, plan: Plan) -> None:
        self.plan = plan
        self.world = World(boxes=plan.boxes)
        self.seen: list[Seen] = []
        self.open_ids: set[str] = set()
        self.ending = False
        self.numbers = itertools.count(1)

    async def run(self) -> Verdict:
        """Play it and judge."""
        plan = self.plan
        steps = draw(
            plan.seed,
            seconds=plan.seconds,
            boxes=plan.boxes,
            replicas=REPLICAS,
            failure_domains=len(FAILURE_DOMAINS),
        )
        try:
            await self.world.start()
            problems = await self.all_serve('before the faults')
            offset = self.world.now()
            steps = [step._replace(at_s=step.at_s + offset) for step in steps]
            callers = [asyncio.create_task(self.call(number)) for number in range(plan.callers)]
            await asyncio.gather(*(self.step(step) for step in steps))
            self.ending = True
            problems += await self.all_serve('after the faults')
            problems += await self.all_listed()
            await asyncio.gather(*callers)
            problems += self.judge(steps)
        finally:
            await self.world.close()
        return Verdict(plan, steps, self.seen, problems, str(self.world.folder))

    async def step(self, step: Step) -> None:
        """Do one step at its time."""
        await asyncio.sleep(max(0.0, step.at_s - self.world.now()))
        if step.kind is FaultKind.DEADLY_REQUEST:
            await deadly.repeat(step, partial(self.send_deadly, step), self.plan.boxes)
        await self.world.apply(step)

    async def send_deadly(self, step: Step, repeat: Repeat, box: int) -> None:
        """Send one repeat of a request that ends replicas, on a connection of its own."""
        kind, call_id = deadly.kind_of(step), f'd-{next(self.numbers)}'
        staged = kind is RequestKind.DRAFT
        path, life = repeat.path + repeat.query, self.world.boxes[box].life
        data = soak_request(
            path, call_id, staged=staged, deadline_s=CALLER_DEADLINE_S, body=repeat.body
        )
        question = Question(call_id, kind, box, life, data, 0, repeat.path)
        connection = CallerConnection(address=self.world.boxes[box].frontend)
        await self.ask(connection, question)
        connection.close()

    async def call(self, number: int) -> None:
        """Send requests until the faults are over, over connections that are kept."""
        rng = random.Random(f'{self.plan.seed}/{number}')
        connections = [CallerConnection(address=box.frontend) for box in self.world.boxes]
        counter = 0
        while not self.ending:
            counter += 1
            box = rng.randrange(len(connections))
            question = self.question(f'c-{number}-{counter}', rng.choice(MIX), box, rng)
            await self.ask(connections[box], question)
            await asyncio.sleep(rng.uniform(0, PAUSE_S))
        for connection in connections:
            connection.close()

    def question(self, call_id: str, kind: RequestKind, box: int, rng: random.Random) -> Question:
        """Return a request of some kind."""
        since = rng.randint(1, self.world.version) if kind is RequestKind.PROBE else 0
        # What each asks is its own: what many ask is popular, which has tests of its own.
        path = f'/since-{since}/x' if since else f'/{kind.value}/{call_id}'
        staged = kind is RequestKind.DRAFT
        data = soak_request(path, call_id, staged=staged, deadline_s=CALLER_DEADLINE_S)
        return Question(call_id, kind, box, self.world.boxes[box].life, data, since)

    async def ask(self, connection: CallerConnection, question: Question) -> Seen:
        """Send a request and note what was seen."""
        self.open_ids.add(question.call_id)
        seen = await ask(connection, question, self.world.now, GIVE_UP_S)
        self.seen.append(seen)
        return seen

    async def all_serve(self, when: str) -> list[str]:
        """Check that every box serves each kind of request whole, sooner or later."""
        found = await asyncio.gather(
            *(
                self.serves(box, kind, when)
                for box in range(self.plan.boxes)
                for kind in (RequestKind.READ, RequestKind.DRAFT)
            )
        )
        return [problem for problem in found if problem]

    async def serves(self, box: int, kind: RequestKind, when: str) -> str:
        """Ask a box until it serves; return the problem if it does not."""
        connection = CallerConnection(address=self.world.boxes[box].frontend)
        rng = random.Random(box)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_LIMIT_S):
                for number in range(100_000):
                    call_id = f'{kind.value}-{when[:5]}-{box}-{number}'
                    seen = await self.ask(connection, self.question(call_id, kind, box, rng))
                    if seen.status == 200 and seen.whole:
                        connection.close()
                        return ''
                    await asyncio.sleep(0.1)
        return f'box {box} does not serve a {kind.value} {when}'

    async def all_listed(self) -> list[str]:
        """Check that the store holds every box's record, sooner or later."""
        wanted = {f'box-{number}' for number in range(self.plan.boxes)}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_LIMIT_S):
                while wanted - self.world.store.kinds.get(names.BOX_KIND, {}).keys():
                    await asyncio.sleep(0.1)
                return []
        missing = sorted(wanted - self.world.store.kinds.get(names.BOX_KIND, {}).keys())
        return [f'the store holds no record of {", ".join(missing)}']

    def judge(self, steps: list[Step]) -> list[str]:
        """Return everything that must not be."""
        world = self.world
        problems = [
            *checks.answers_are_right(self.seen),
            *checks.nothing_runs_twice(self.seen, world.runs),
            *checks.no_unknown_request_ran(self.seen, world.runs, self.open_ids),
            *checks.configuration_never_goes_back(self.seen),
            *checks.store_is_not_pressed(world.store.called_at, self.plan.boxes),
            *deadly.nobody_else_is_blocked(self.seen),
            *deadly.blocked_stays_blocked(self.seen, world.runs),
            *checks.told_boxes_send_nothing(self.seen, world.runs, steps),
            *limits_are_kept(
                self.seen,
                world.limits_named,
                [item for life in world.lives for item in life.arrivals],
                steps,
            ),
            *checks.pauses_are_kept(
                self.seen,
                [item for life in world.lives for item in life.refusals if item.wish_s],
                [item for life in world.lives for item in life.arrivals],
                steps,
            ),
        ]
        if self.plan.timed:
            problems += checks.runs_do_not_overlap(world.runs, steps, world.now())
            problems += checks.drained_replicas_get_nothing(world.runs, world.drained, steps)
            problems += checks.failure_domains_out_get_nothing(
                world.runs, world.failure_domains_out, world.failure_domain_of, steps
            )
            problems += deadly.deadly_requests_are_stopped(self.seen, world.runs, world.ends, steps)
            problems += checks.stops_cut_nothing(world.stops, self.seen, steps)
        return problems
