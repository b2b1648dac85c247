"""Forward a stream of events, and resume it at another engine if it breaks.

An engine that is silent is only suspected. Its answer is kept while another engine is asked to go
on, and ends once that one has accepted the rest.
"""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, NamedTuple

from calicopath_core.backends.base import BackendError, MayHaveRun, SilentReplica
from calicopath_core.exchanges.context import (
    SHORT_RETRY_AFTER_S,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    RefusedExchange,
    check_not_blocked,
)
from calicopath_core.exchanges.plain_attempts import read_all
from calicopath_core.exchanges.retries import (
    RetryRefusal,
    refund_retry,
    try_spend_hedge,
    try_spend_retry,
)
from calicopath_core.exchanges.stream_attempts import StreamAttempt
from calicopath_core.fleet.notices import Exclusion, ReplicaExcluded
from calicopath_core.scheduling.client import PlacementRejected
from calicopath_core.scheduling.messages import VERSION_GONE, PhaseWork, PlaceJob, Prompt
from calicopath_core.scheduling.shedding import BUSY_REASON
from calicopath_core.waiting import cancel_and_wait, wait_until

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext, ExchangeState
    from calicopath_core.exchanges.messages import ReplySink
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.messages import Placed

MAX_SKIPPED_REPLICAS = 4
"""Most engines that the scheduler may choose for one request although this box must not call them;
then the request is refused. Each placement request lists the engines skipped so far."""

MAX_PERMIT_WAIT_S = 0.2
"""Longest wait for a permit that the scheduler did not grant with the placement."""

VERSION_UNKNOWN = 'version-unknown'
"""Refusal reason for a stream of which nobody knows which version began it."""

NO_EVENTS = b''


class Received(NamedTuple):
    """Hold the next events, `None` for the end, and the attempt that is followed from now on."""

    attempt: StreamAttempt
    events: bytes | None


class Stream:
    """Run one streaming exchange, on several engines in turn if need be."""

    def __init__(self, *, context: ExchangeContext, state: ExchangeState, sink: ReplySink) -> None:
        self.context = context
        self.state = state
        self.sink = sink
        self.last_event_id = state.exchange.last_event_id
        self.last_event_at = state.exchange.received_at
        self.head_sent = False
        self.begun_by: str | None = None
        self.version_source = 'own'
        self.recorded: StreamAttempt | None = None

    async def serve(self) -> None:
        """Place and run the stream until it is complete or can't be resumed."""
        if self.state.exchange.continues_stream:
            await self.find_version()
        attempt = await self.place()
        try:
            while True:
                try:
                    attempt, events = await self.receive(attempt)
                    if events is None:
                        await self.end(attempt)
                        return
                    await self.forward(attempt, events)
                except ReplicaExcluded as error:
                    self.skip_attempt(attempt, error.exclusion)
                    attempt = await self.place()
                except BackendError as error:
                    await attempt.fail(error)
                    self.check_retry_allowed(error)
                    attempt = await self.place()
        finally:
            attempt.close()

    async def find_version(self) -> None:
        """Find the version that began the caller's stream; raise `RefusedExchange` if unknown.

        At any other version the rest would not fit. The refusal has no retry delay, since the same
        request would be refused again; the caller may begin the stream anew.
        """
        state, started_at = self.state, self.context.clock.monotonic()
        call_id = state.exchange.resumed_call_id
        found = await self.context.versions.find(
            state.service, state.workspace, call_id, self.left_s()
        )
        if found is None:
            waited_s = self.context.clock.monotonic() - started_at
            self.context.observer.on_version_unknown(state, waited_s)
            raise RefusedExchange(STATUS_UNAVAILABLE, VERSION_UNKNOWN)
        self.begun_by, self.version_source = found

    async def receive(self, attempt: StreamAttempt) -> Received:
        """Return what comes next, from another engine if a silent one does not go on first.

        Raise `BackendError` if the stream breaks, and `SilentReplica` at the deadline.
        """
        due_at = self.silent_at(attempt)
        if attempt.answer is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, due_at - self.context.clock.monotonic())):
                    return Received(attempt, await attempt.next_events())
        reading = asyncio.create_task(attempt.next_events())
        try:
            while True:
                late_s = await wait_until(self.context.clock, reading, due_at)
                if reading.done():
                    return Received(attempt, reading.result())
                error = SilentReplica(f'no event came from {attempt.replica.id}', late_s=late_s)
                if self.state.expired(self.context.clock.monotonic()):
                    attempt.count_run()
                    raise error
                await attempt.suspect(error)
                other = await self.find_other(attempt, reading)
                if other is not None:
                    return other
                due_at = self.silent_at(attempt)
        finally:
            await cancel_and_wait(reading)

    def silent_at(self, attempt: StreamAttempt) -> float:
        """Return when an engine counts as silent, in monotonic seconds.

        A stream that can't be resumed is waited for until its deadline.
        """
        if not self.state.route.repeatable:
            return self.state.deadline_at
        now = self.context.clock.monotonic()
        return min(self.state.deadline_at, now + attempt.silence_timeout_s)

    async def find_other(
        self, attempt: StreamAttempt, reading: asyncio.Task[bytes | None]
    ) -> Received | None:
        """Ask another engine to go on while a silent one is still read, and return who goes on.

        Return `None` if there is no other engine; the silent one may have failed meanwhile.
        """
        if try_spend_hedge(self.context, self.state) is not None:
            return None
        opening = asyncio.create_task(self.open_other())
        try:
            await asyncio.wait(
                {reading, opening}, timeout=self.left_s(), return_when=asyncio.FIRST_COMPLETED
            )
            if reading.done() and not opening.done():
                error = reading.exception()
                if error is None:
                    return Received(attempt, reading.result())
                if isinstance(error, BackendError):
                    await attempt.fail(error)
                await asyncio.wait({opening}, timeout=self.left_s())
            other = opening.result() if opening.done() else None
            if other is None:
                return None
            attempt.close(failed=not self.context.is_partitioned())
            return Received(other, NO_EVENTS)
        finally:
            await cancel_and_wait(opening)

    async def open_other(self) -> StreamAttempt | None:
        """Return an attempt at another engine once that has accepted the rest of the stream.

        Return `None` if no engine does.
        """
        attempt: StreamAttempt | None = None
        is_open = False
        sends = self.state.sends
        try:
            attempt = await self.place()
            await attempt.send()
            if not attempt.received.head.success:
                raise MayHaveRun(f'the engine answered {attempt.received.head.status}')
            is_open = True
        except RefusedExchange:
            return None
        except ReplicaExcluded as error:
            assert attempt is not None
            self.skip_attempt(attempt, error.exclusion)
            return None
        except BackendError as error:
            assert attempt is not None
            await attempt.fail(error)
            return None
        finally:
            if attempt is not None and not is_open:
                attempt.close()
            if self.state.sends == sends:
                refund_retry(self.context, self.state)
        return attempt

    async def place(self) -> StreamAttempt:
        """Place the stream at an engine that this box may call; raise `RefusedExchange`."""
        while True:
            job = self.context.new_job_id()
            is_placed = False
            try:
                placed = await self.ask_scheduler(job)
                replica = self.context.replicas.replicas.get(placed.replica)
                exclusion = self.exclusion_of(replica)
                if replica is None or exclusion is not None:
                    # This box knows of an exclusion that the scheduler missed; nothing was sent.
                    self.skip_replica(placed.replica, exclusion or Exclusion.GONE)
                    continue
                await self.take_permit(placed, replica)
                check_not_blocked(self.context, self.state)
                is_placed = True
            finally:
                if not is_placed:
                    self.context.scheduler.report_ended(job, failed=False)
            return StreamAttempt(
                context=self.context,
                state=self.state,
                job=job,
                placed=placed,
                replica=replica,
                last_event_id=self.last_event_id,
            )

    def exclusion_of(self, replica: Replica | None) -> Exclusion | None:
        """Return why the chosen engine must not get this request, `None` if it may.

        The scheduler may have an older entry of the engine, or not know versions at all.
        """
        if replica is None:
            return Exclusion.GONE
        if self.begun_by not in (None, replica.version):
            return Exclusion.OTHER_VERSION
        return self.context.gate.exclusion_of(replica)

    async def take_permit(self, placed: Placed, replica: Replica) -> None:
        """Use the permit granted with a placement; request one if the scheduler knew of no limit.

        Choosing another engine instead would repeat the work of the stages.
        """
        permits = self.context.gate.permits
        if placed.permit:
            permits.add_permit(replica.id)
        elif self.context.gate.limits.requires_permit(replica):
            await permits.request_permit(
                [replica], wait_s=MAX_PERMIT_WAIT_S, priority=self.state.priority
            )

    def skip_attempt(self, attempt: StreamAttempt, exclusion: Exclusion) -> None:
        """Undo an attempt that was not sent, so that another engine is chosen."""
        attempt.close()
        self.state.on_send_cancelled(attempt.replica.id)
        self.skip_replica(attempt.replica.id, exclusion)

    def skip_replica(self, replica: str, exclusion: Exclusion) -> None:
        """Record a skipped engine; raise `RefusedExchange` after too many of them."""
        self.context.observer.on_replica_skipped(self.state, replica, exclusion)
        self.state.skipped_replicas.append(replica)
        if len(self.state.skipped_replicas) > MAX_SKIPPED_REPLICAS:
            raise self.refusal('no-endpoint', None)

    async def ask_scheduler(self, job: str) -> Placed:
        """Ask the scheduler for an engine; raise `RefusedExchange` if there is none."""
        request = self.placement_request(job)
        try:
            async with asyncio.timeout(self.left_s()):
                return await self.context.scheduler.place(request)
        except PlacementRejected as error:
            self.state.retry_refused = RetryRefusal.SCHEDULER if self.state.sends else None
            if error.reason == VERSION_GONE and not self.state.may_have_run:
                raise RefusedExchange(STATUS_UNAVAILABLE, VERSION_GONE) from error
            raise self.refusal(error.reason, error.retry_after_s) from error
        except TimeoutError as error:
            unanswered = self.context.scheduler.is_unanswered(job)
            reason = BUSY_REASON if unanswered else 'deadline-passed'
            raise self.refusal(reason, None) from error

    def refusal(self, reason: str, retry_after_s: float | None) -> RefusedExchange:
        """Return the refusal that ends the exchange, by whether the request may have run."""
        if not self.state.may_have_run:
            return RefusedExchange(
                STATUS_UNAVAILABLE, reason, retry_after_s=retry_after_s or SHORT_RETRY_AFTER_S
            )
        late = self.state.expired(self.context.clock.monotonic())
        return RefusedExchange(STATUS_GATEWAY_TIMEOUT if late else STATUS_BAD_GATEWAY, reason)

    def placement_request(self, job: str) -> PlaceJob:
        """Return the message that asks the scheduler for an engine."""
        state, exchange = self.state, self.state.exchange
        now = self.context.clock.monotonic()
        # A caller waits as long for the next event as for the first one.
        patience_s = state.route.first_event_timeout_s - (now - self.last_event_at)
        counts = exchange.piece_counts
        phases = tuple(
            PhaseWork(phase.service, phase.needs, phase.result_bytes, counts[number])
            for number, phase in enumerate(state.route.phases)
            if number < len(counts)
        )
        return PlaceJob(
            job=job,
            reply_to=self.context.election.own.address,
            failure_domain=self.context.failure_domain,
            call_id=exchange.call_id,
            piece_key=exchange.piece_key,
            priority=state.priority,
            objective_s=state.route.objective_s - (now - exchange.received_at),
            deadline_s=min(self.left_s(), patience_s),
            service=state.service,
            phases=phases,
            prompt=exchange.prompt or Prompt('', (), 0, 0),
            exclude=self.excluded_engines(),
            resumed=self.begun_by is not None or bool(state.tried_replicas),
            workspace=state.workspace or '',
            content=state.content,
            backoffs=self.context.gate.remaining_backoffs(state.service),
            may_have_run=state.may_have_run,
            version=self.begun_by,
        )

    def excluded_engines(self) -> tuple[str, ...]:
        """Return the engines that must not be chosen.

        The last engine of a stream's version may be tried again: no other one can continue it.
        """
        tried, skipped = self.state.tried_replicas, self.state.skipped_replicas
        usable = self.context.gate.usable(self.state.service)
        others = [item for item in usable if item.id not in tried and item.id not in skipped]
        if self.begun_by is not None and all(item.version != self.begun_by for item in others):
            return tuple(skipped)
        return (*tried, *skipped)

    def left_s(self) -> float:
        """Return the seconds until the exchange's deadline, at least 0."""
        return max(0.0, self.state.deadline_at - self.context.clock.monotonic())

    def record_version(self, attempt: StreamAttempt) -> None:
        """Record the version of the engine that sends the next events."""
        state = self.state
        self.recorded = attempt
        if self.begun_by is None:
            self.begun_by = attempt.replica.version
        else:
            self.context.observer.on_stream_resumed(
                state, attempt.replica, self.begun_by, self.version_source
            )
        if not self.head_sent and state.route.resumable:
            self.context.versions.on_begun(
                state.service, state.workspace, state.exchange.call_id, self.begun_by
            )

    async def forward(self, attempt: StreamAttempt, events: bytes) -> None:
        """Send complete events to the caller, preceded by the answer's head the first time."""
        if not events:
            return
        if self.recorded is not attempt:
            self.record_version(attempt)
        self.last_event_id = attempt.splitter.last_event_id
        self.last_event_at = self.context.clock.monotonic()
        if not self.head_sent:
            self.head_sent = True
            self.state.first_byte_at = self.last_event_at
            self.state.status = attempt.received.head.status
            self.sink.begin(attempt.received.head.status, attempt.received.head.headers)
        await self.sink.send(events)

    async def end(self, attempt: StreamAttempt) -> None:
        """End the caller's answer as complete, or forward an engine's error answer.

        Raise `MayHaveRun` if that comes after the stream has begun.
        """
        head = attempt.received.head
        if not head.success:
            body = await read_all(self.context, self.state, attempt.received)
            if self.head_sent:
                raise MayHaveRun(f'the engine answered {head.status} to a resumed stream')
            self.state.outcome = 'failed-by-replica'
        else:
            body = b''
            self.state.outcome = 'answered'
            self.context.versions.on_answered(
                self.state.service, self.state.workspace, self.state.exchange.call_id
            )
        self.context.crashes.on_survived(self.state.content, self.state.service)
        if self.head_sent:
            self.sink.finish()
            return
        self.state.status = head.status
        self.sink.respond(head.status, head.headers, body)

    def check_retry_allowed(self, error: BackendError) -> None:
        """Return if the request may be sent again; else raise `RefusedExchange`."""
        check_not_blocked(self.context, self.state)
        refusal = try_spend_retry(self.context, self.state)
        if refusal is None:
            return
        reason = 'deadline-passed' if refusal is RetryRefusal.DEADLINE else 'engine-failed'
        raise self.refusal(reason, None) from error
