"""Pass a stream of events through, and go on with it at another engine if it breaks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.backends.base import BackendError, Declined, MayHaveRun, NotStarted
from calicopath_core.exchanges.context import (
    RETRY_SOON_S,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    RefusedExchange,
    check_sendable,
)
from calicopath_core.exchanges.events import EventSplitter
from calicopath_core.exchanges.messages import Outbound
from calicopath_core.exchanges.plain import note_crash, read_all
from calicopath_core.fleet.notices import Exclusion, ReplicaExcluded
from calicopath_core.scheduling.client import PlacementRejected
from calicopath_core.scheduling.messages import PhaseWork, PlaceJob, Prompt

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext, Ticket
    from calicopath_core.exchanges.messages import ReplicaAnswer, ReplySink
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.messages import Placed

MAX_SENDS = 4
"""Engines that one request may be sent to, those counted that declined it."""

MAX_PASSED_OVER = 4
"""Engines that were chosen for one request although this box must not call them, before it is
refused. Each question names those that it knows of, so that it takes as many surprises."""

FIRST_EVENT_S = 2.0
COST_FACTOR = 3.0
"""How long the first event of a stream that may be resumed is waited for: this, and so many times
what the scheduler expects."""

EVENT_GAP_S = 1.2
"""How long the next event of a stream that may be resumed is waited for. The users count a pause
of 0.5 s as late and give up after some 4 s."""

PERMIT_WAIT_S = 0.2
"""How long a permit is waited for that did not come with the place at an engine."""

STATUS_CONFLICT = 409


class Stream:
    """Run one streaming exchange."""

    def __init__(self, *, context: ExchangeContext, ticket: Ticket, sink: ReplySink) -> None:
        self.context = context
        self.ticket = ticket
        self.sink = sink
        self.splitter = EventSplitter()
        self.splitter.last_id = ticket.exchange.last_event_id
        self.begun = False
        self.answered = False

    async def serve(self) -> None:
        """Place and run the stream until it is whole or can't be gone on with."""
        while not await self.attempt():
            pass

    async def attempt(self) -> bool:
        """Place the request once and run it there; say whether the exchange is over."""
        job = self.context.new_job()
        failed = turned_away = False
        try:
            placed = await self.place(job)
            replica = self.context.replicas.replicas.get(placed.replica)
            bar = Exclusion.GONE if replica is None else self.context.gate.exclusion_of(replica)
            if replica is None or bar is not None:
                # This box knows of the replica what the scheduler did not; nothing was sent.
                return self.pass_over(placed, bar or Exclusion.GONE)
            await self.take_permit(placed, replica)
            check_sendable(self.context, self.ticket)
            try:
                return await self.run(job, placed, replica)
            except ReplicaExcluded as error:
                self.ticket.on_unsent()
                return self.pass_over(placed, error.exclusion)
            except BackendError as error:
                failed = not isinstance(error, Declined)
                turned_away = isinstance(error, Declined) and error.turned_away
                await note_crash(self.context, self.ticket, replica, error, answered=self.answered)
                raise
        except BackendError as error:
            self.context.observer.on_attempt_failed(
                self.ticket, placed.replica, error, self.left_s()
            )
            self.check_again(error)
            return False
        finally:
            self.context.scheduler.report_ended(job, failed=failed, turned_away=turned_away)

    async def take_permit(self, placed: Placed, replica: Replica) -> None:
        """Hold the permit that came with a place; ask for one if the limit was not known there.

        To have another engine chosen would have the stages' work done again.
        """
        permits = self.context.gate.permits
        if placed.permit:
            permits.add_permit(replica.id)
        elif self.context.gate.limits.requires_permit(replica):
            await permits.request_permit(
                [replica], wait_s=PERMIT_WAIT_S, priority=self.ticket.priority
            )

    def pass_over(self, placed: Placed, bar: Exclusion) -> bool:
        """Have another engine chosen, unless that went wrong too often."""
        self.context.observer.on_passed_over(self.ticket, placed.replica, bar)
        self.ticket.passed_over.append(placed.replica)
        if len(self.ticket.passed_over) > MAX_PASSED_OVER:
            raise self.refusal('no-endpoint', None)
        return False

    async def place(self, job: str) -> Placed:
        """Return the engine for this attempt; raise `RefusedExchange` if there is none."""
        question = self.question(job)
        try:
            async with asyncio.timeout(self.left_s()):
                return await self.context.scheduler.place(question)
        except PlacementRejected as error:
            raise self.refusal(error.reason, error.retry_after_s) from error
        except TimeoutError as error:
            raise self.refusal('deadline-passed', None) from error

    def refusal(self, reason: str, retry_after_s: float | None) -> RefusedExchange:
        """Return how the exchange ends without another attempt."""
        if not self.ticket.may_have_run:
            return RefusedExchange(
                STATUS_UNAVAILABLE, reason, retry_after_s=retry_after_s or RETRY_SOON_S
            )
        late = self.ticket.expired(self.context.clock.monotonic())
        return RefusedExchange(STATUS_GATEWAY_TIMEOUT if late else STATUS_BAD_GATEWAY, reason)

    def question(self, job: str) -> PlaceJob:
        """Return what the scheduler is asked."""
        ticket, exchange = self.ticket, self.ticket.exchange
        spent_s = self.context.clock.monotonic() - exchange.received_at
        counts = exchange.piece_counts
        phases = tuple(
            PhaseWork(phase.service, phase.needs, phase.result_bytes, counts[number])
            for number, phase in enumerate(ticket.route.phases)
            if number < len(counts)
        )
        return PlaceJob(
            job=job,
            reply_to=self.context.election.own.address,
            failure_domain=self.context.failure_domain,
            call_id=exchange.call_id,
            piece_key=exchange.piece_key,
            priority=ticket.priority,
            objective_s=ticket.route.objective_s - spent_s,
            deadline_s=min(self.left_s(), ticket.route.first_event_timeout_s - spent_s),
            service=ticket.service,
            phases=phases,
            prompt=exchange.prompt or Prompt('', (), 0, 0),
            exclude=(*ticket.replicas, *ticket.passed_over),
            resumed=bool(ticket.replicas),
            workspace=ticket.workspace or '',
            content=ticket.content,
            backoffs=self.context.gate.remaining_backoffs(ticket.service),
            may_have_run=ticket.may_have_run,
        )

    def left_s(self) -> float:
        """Return the seconds until the exchange must have ended."""
        return max(0.0, self.ticket.deadline_at - self.context.clock.monotonic())

    async def run(self, job: str, placed: Placed, replica: Replica) -> bool:
        """Send the request to an engine and pass its events on; say whether it is over."""
        ticket = self.ticket
        ticket.on_send(replica.id, self.context.clock.monotonic())
        self.answered = False
        answer = await self.send(placed, replica)
        try:
            if answer.head.declined:
                text = f'{replica.id} declined with {answer.head.status}'
                raise Declined(text, turned_away=answer.head.turned_away)
            ticket.may_have_run = True
            ticket.runs += 1
            if not answer.head.success:
                return await self.pass_failure(answer)
            await self.pass_events(job, placed, answer)
            return True
        finally:
            answer.close()

    async def send(self, placed: Placed, replica: Replica) -> ReplicaAnswer:
        """Send the request and return the answer's head."""
        ticket = self.ticket
        outbound = Outbound(
            exchange=ticket.exchange,
            replica=replica,
            deadline_s=self.left_s(),
            workspace=ticket.workspace,
            priority=ticket.priority,
            inputs=placed.inputs,
            last_event_id=self.splitter.last_id,
            fresh=not ticket.route.repeatable,
        )
        limit_s = self.first_event_limit_s(placed)
        try:
            async with asyncio.timeout(limit_s):
                return await self.context.caller.send(outbound)
        except NotStarted:
            raise
        except (BackendError, TimeoutError) as error:
            ticket.may_have_run = True
            ticket.runs += 1
            if isinstance(error, TimeoutError):
                raise MayHaveRun(f'{replica.id} gave no head in {limit_s:.3f} s') from error
            raise

    def first_event_limit_s(self, placed: Placed) -> float:
        """Return how long the first event is waited for."""
        if not self.ticket.route.repeatable:
            return self.left_s()
        return min(self.left_s(), FIRST_EVENT_S + COST_FACTOR * placed.cost_s)

    async def pass_failure(self, answer: ReplicaAnswer) -> bool:
        """Pass an engine's own failure on, unless the stream has begun."""
        body = await read_all(answer)
        if self.begun:
            raise MayHaveRun(f'the engine answered {answer.head.status} to a resumed stream')
        self.ticket.status = answer.head.status
        self.ticket.outcome = 'failed-by-replica'
        self.context.crashes.on_survived(self.ticket.content, self.ticket.service)
        self.sink.respond(answer.head.status, answer.head.headers, body)
        return True

    async def pass_events(self, job: str, placed: Placed, answer: ReplicaAnswer) -> None:
        """Pass whole events on as they come."""
        limit_s = self.first_event_limit_s(placed)
        self.splitter.rest = b''
        while True:
            data = await self.read(answer, limit_s)
            if data is None:
                break
            whole = self.splitter.feed(data)
            if not whole:
                continue
            if not self.answered:
                self.answered = True
                self.context.scheduler.report_started(job)
                limit_s = EVENT_GAP_S if self.ticket.route.repeatable else self.left_s()
            await self.pass_on(answer, whole)
        if self.splitter.rest:
            raise MayHaveRun('the stream ended inside an event')
        self.finish(answer)

    async def read(self, answer: ReplicaAnswer, limit_s: float) -> bytes | None:
        """Return the next bytes of a stream; raise `MayHaveRun` if they are too long in coming."""
        try:
            async with asyncio.timeout(min(limit_s, self.left_s())):
                return await answer.read()
        except TimeoutError as error:
            raise MayHaveRun(f'no event came in {limit_s:.3f} s') from error

    async def pass_on(self, answer: ReplicaAnswer, whole: bytes) -> None:
        """Pass whole events on, after the head of the first engine."""
        if not self.begun:
            self.begun = True
            self.ticket.first_byte_at = self.context.clock.monotonic()
            self.ticket.status = answer.head.status
            self.sink.begin(answer.head.status, answer.head.headers)
        await self.sink.send(whole)

    def finish(self, answer: ReplicaAnswer) -> None:
        """End the answer as whole."""
        self.ticket.outcome = 'answered'
        self.context.crashes.on_survived(self.ticket.content, self.ticket.service)
        if not self.begun:
            self.ticket.status = answer.head.status
            self.sink.respond(answer.head.status, answer.head.headers, b'')
            return
        self.sink.finish()

    def check_again(self, error: BackendError) -> None:
        """Return if the request may be sent once more; else raise how it ends."""
        ticket = self.ticket
        check_sendable(self.context, ticket)
        now = self.context.clock.monotonic()
        allowed = not ticket.expired(now) and ticket.sends < MAX_SENDS and ticket.may_send_again()
        budget = self.context.budgets.of(ticket.service)
        if allowed and budget.take(now, self.context.election.box_count()):
            return
        reason = 'deadline-passed' if ticket.expired(now) else 'engine-failed'
        raise self.refusal(reason, None) from error
