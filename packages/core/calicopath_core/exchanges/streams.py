"""Forward a stream of events, and resume it at another engine if it breaks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from calicopath_core.backends.base import (
    BackendError,
    ConnectionBroken,
    ConnectionLimitReached,
    Declined,
    MayHaveRun,
    NotStarted,
    SilentReplica,
)
from calicopath_core.exchanges.context import (
    SHORT_RETRY_AFTER_S,
    STATUS_BAD_GATEWAY,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_UNAVAILABLE,
    RefusedExchange,
    check_not_blocked,
    failure_kind,
    replica_state,
)
from calicopath_core.exchanges.endings import STREAM_END_WATCH_S, check_whole
from calicopath_core.exchanges.events import EventSplitter
from calicopath_core.exchanges.messages import OutboundRequest
from calicopath_core.exchanges.plain import check_for_crash, read_all
from calicopath_core.exchanges.retries import RetryRefusal, try_spend_retry
from calicopath_core.fleet.notices import Exclusion, ReplicaExcluded
from calicopath_core.scheduling.client import PlacementRejected
from calicopath_core.scheduling.messages import VERSION_GONE, PhaseWork, PlaceJob, Prompt
from calicopath_core.scheduling.shedding import BUSY_REASON

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext, ExchangeState
    from calicopath_core.exchanges.messages import ReplicaAnswer, ReplySink
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.messages import Placed

MAX_SKIPPED_REPLICAS = 4
"""Most engines that the scheduler may choose for one request although this box must not call them;
then the request is refused. Each placement request lists the engines skipped so far."""

FIRST_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_COST_FACTOR = 3.0
"""Timeout for the first event of a resumable stream: this, plus this multiple of the duration that
the scheduler expects."""

EVENT_GAP_TIMEOUT_S = 1.2
"""Timeout for the next event of a resumable stream. Clients count a gap of 0.5 s as late and give
up after about 4 s."""

MAX_PERMIT_WAIT_S = 0.2
"""Longest wait for a permit that the scheduler did not grant with the placement."""

VERSION_UNKNOWN = 'version-unknown'
"""Refusal reason for a stream of which nobody knows which version began it."""

STATUS_CONFLICT = 409


class Stream:
    """Run one streaming exchange, on several engines in turn if need be."""

    def __init__(self, *, context: ExchangeContext, state: ExchangeState, sink: ReplySink) -> None:
        self.context = context
        self.state = state
        self.sink = sink
        self.splitter = EventSplitter()
        self.splitter.last_event_id = state.exchange.last_event_id
        self.head_sent = False
        self.first_event_received = False
        self.begun_by: str | None = None
        self.version_source = 'own'
        self.reported_pace: float | None = None

    async def serve(self) -> None:
        """Place and run the stream until it is complete or can't be resumed."""
        if self.state.exchange.continues_stream:
            await self.find_version()
        while not await self.attempt():
            pass

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

    async def attempt(self) -> bool:
        """Place the request once and run it there; return whether the exchange is over."""
        job = self.context.new_job_id()
        failed = turned_away = False
        self.reported_pace = None
        try:
            placed = await self.place(job)
            replica = self.context.replicas.replicas.get(placed.replica)
            exclusion = self.exclusion_of(replica)
            if replica is None or exclusion is not None:
                # This box knows of an exclusion that the scheduler missed; nothing was sent.
                return self.skip_replica(placed, exclusion or Exclusion.GONE)
            await self.take_permit(placed, replica)
            check_not_blocked(self.context, self.state)
            try:
                return await self.run(job, placed, replica)
            except ReplicaExcluded as error:
                self.state.on_send_cancelled()
                return self.skip_replica(placed, error.exclusion)
            except BackendError as error:
                turned_away = isinstance(error, Declined) and error.turned_away
                await check_for_crash(
                    self.context, self.state, replica, error, answered=self.first_event_received
                )
                # The probe has shown by now whether this box reaches any replica.
                is_at_fault = not isinstance(error, Declined | ConnectionLimitReached)
                failed = is_at_fault and not self.context.is_partitioned()
                raise
        except BackendError as error:
            self.state.last_failure = failure_kind(error)
            self.context.observer.on_attempt_failed(
                self.state,
                placed.replica,
                error,
                self.left_s(),
                replica_state=replica_state(self.context, placed.replica),
                answered=self.first_event_received,
            )
            self.check_retry_allowed(error)
            return False
        finally:
            self.context.scheduler.report_ended(
                job, failed=failed, turned_away=turned_away, pace=self.reported_pace
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

    def skip_replica(self, placed: Placed, exclusion: Exclusion) -> bool:
        """Record a skipped engine so that another is chosen; return `False`.

        Raise `RefusedExchange` after too many skipped engines.
        """
        self.context.observer.on_replica_skipped(self.state, placed.replica, exclusion)
        self.state.skipped_replicas.append(placed.replica)
        if len(self.state.skipped_replicas) > MAX_SKIPPED_REPLICAS:
            raise self.refusal('no-endpoint', None)
        return False

    async def place(self, job: str) -> Placed:
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
        spent_s = self.context.clock.monotonic() - exchange.received_at
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
            objective_s=state.route.objective_s - spent_s,
            deadline_s=min(self.left_s(), state.route.first_event_timeout_s - spent_s),
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

    async def run(self, job: str, placed: Placed, replica: Replica) -> bool:
        """Send the request to an engine and forward its events; return whether it is over."""
        state = self.state
        state.on_send(replica.id, self.context.clock.monotonic())
        state.tried_versions.append(replica.version)
        self.first_event_received = False
        answer = await self.send(placed, replica)
        self.reported_pace = answer.head.load.pace if answer.head.load is not None else None
        try:
            if answer.head.declined:
                text = f'{replica.id} declined with {answer.head.status}'
                raise Declined(text, turned_away=answer.head.turned_away)
            state.may_have_run = True
            state.runs += 1
            if not answer.head.success:
                return await self.forward_failure(answer)
            await self.forward_events(job, placed, replica, answer)
            return True
        finally:
            answer.close()

    async def send(self, placed: Placed, replica: Replica) -> ReplicaAnswer:
        """Send the request and return the answer once its head has come."""
        state = self.state
        outbound = OutboundRequest(
            exchange=state.exchange,
            replica=replica,
            deadline_s=self.left_s(),
            workspace=state.workspace,
            priority=state.priority,
            inputs=placed.inputs,
            last_event_id=self.splitter.last_event_id,
            needs_verified_connection=not state.route.repeatable,
        )
        timeout_s = self.first_event_timeout_s(placed)
        started_at = self.context.clock.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                return await self.context.replica_client.send(outbound)
        except NotStarted:
            raise
        except (BackendError, TimeoutError) as error:
            state.may_have_run = True
            state.runs += 1
            if isinstance(error, TimeoutError):
                late_s = self.context.clock.monotonic() - started_at - timeout_s
                text = f'{replica.id} sent no head within {timeout_s:.3f} s'
                raise SilentReplica(text, late_s=late_s) from error
            raise

    def first_event_timeout_s(self, placed: Placed) -> float:
        """Return the timeout for the first event, in seconds."""
        if not self.state.route.repeatable:
            return self.left_s()
        return min(self.left_s(), FIRST_EVENT_TIMEOUT_S + FIRST_EVENT_COST_FACTOR * placed.cost_s)

    async def forward_failure(self, answer: ReplicaAnswer) -> bool:
        """Forward an engine's error answer; raise `MayHaveRun` if the stream has begun."""
        body = await read_all(answer)
        if self.head_sent:
            raise MayHaveRun(f'the engine answered {answer.head.status} to a resumed stream')
        self.state.status = answer.head.status
        self.state.outcome = 'failed-by-replica'
        self.context.crashes.on_survived(self.state.content, self.state.service)
        self.sink.respond(answer.head.status, answer.head.headers, body)
        return True

    async def forward_events(
        self, job: str, placed: Placed, replica: Replica, answer: ReplicaAnswer
    ) -> None:
        """Forward complete events as they come."""
        timeout_s = self.first_event_timeout_s(placed)
        self.splitter.buffer = b''
        while True:
            data = await self.read(answer, timeout_s)
            if data is None:
                break
            events = self.splitter.feed(data)
            if not events:
                continue
            if not self.first_event_received:
                self.first_event_received = True
                self.context.crashes.on_answer_began(self.state.content, self.state.service)
                self.record_version(replica)
                self.context.scheduler.report_started(job, self.reported_pace)
                # By the end of the stream the report would be out of date.
                self.reported_pace = None
                timeout_s = EVENT_GAP_TIMEOUT_S if self.state.route.repeatable else self.left_s()
            await self.forward(answer, events)
        if self.splitter.buffer:
            raise ConnectionBroken('the stream ended inside an event')
        await check_whole(self.context, replica, answer, watch_s=STREAM_END_WATCH_S)
        self.finish(answer)

    def record_version(self, replica: Replica) -> None:
        """Record the version of the replica that sends the next events."""
        state = self.state
        if self.begun_by is None:
            self.begun_by = replica.version
        else:
            self.context.observer.on_stream_resumed(
                state, replica, self.begun_by, self.version_source
            )
        if not self.head_sent and state.route.resumable:
            self.context.versions.on_begun(
                state.service, state.workspace, state.exchange.call_id, self.begun_by
            )

    async def read(self, answer: ReplicaAnswer, timeout_s: float) -> bytes | None:
        """Return the next bytes of a stream; raise `SilentReplica` if none come in time."""
        timeout_s = min(timeout_s, self.left_s())
        started_at = self.context.clock.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                return await answer.read()
        except TimeoutError as error:
            late_s = self.context.clock.monotonic() - started_at - timeout_s
            raise SilentReplica(f'no event came within {timeout_s:.3f} s', late_s=late_s) from error

    async def forward(self, answer: ReplicaAnswer, events: bytes) -> None:
        """Send complete events to the caller, preceded by the answer's head the first time."""
        if not self.head_sent:
            self.head_sent = True
            self.state.first_byte_at = self.context.clock.monotonic()
            self.state.status = answer.head.status
            self.sink.begin(answer.head.status, answer.head.headers)
        await self.sink.send(events)

    def finish(self, answer: ReplicaAnswer) -> None:
        """End the caller's answer as complete."""
        self.context.versions.on_answered(
            self.state.service, self.state.workspace, self.state.exchange.call_id
        )
        self.state.outcome = 'answered'
        self.context.crashes.on_survived(self.state.content, self.state.service)
        if not self.head_sent:
            self.state.status = answer.head.status
            self.sink.respond(answer.head.status, answer.head.headers, b'')
            return
        self.sink.finish()

    def check_retry_allowed(self, error: BackendError) -> None:
        """Return if the request may be sent again; else raise `RefusedExchange`."""
        check_not_blocked(self.context, self.state)
        refusal = try_spend_retry(self.context, self.state)
        if refusal is None:
            return
        reason = 'deadline-passed' if refusal is RetryRefusal.DEADLINE else 'engine-failed'
        raise self.refusal(reason, None) from error
