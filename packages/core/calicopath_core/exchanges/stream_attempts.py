"""Run a stream at one engine: place it, send it, and read its complete events."""

from __future__ import annotations

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
from calicopath_core.exchanges.endings import check_whole
from calicopath_core.exchanges.events import EventSplitter
from calicopath_core.exchanges.messages import OutboundRequest
from calicopath_core.exchanges.plain_attempts import check_for_crash, log_failure

if TYPE_CHECKING:
    from calicopath_core.exchanges.context import ExchangeContext, ExchangeState
    from calicopath_core.exchanges.messages import ReplicaAnswer
    from calicopath_core.fleet.replicas import Replica
    from calicopath_core.scheduling.messages import Placed

FIRST_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_COST_FACTOR = 3.0
"""An engine without a first event counts as silent after this, plus this multiple of the duration
that the scheduler expects."""

EVENT_GAP_TIMEOUT_S = 1.2
"""An engine counts as silent after this time without an event. Clients count a gap of 0.5 s as late
and give up after about 4 s."""


class StreamAttempt:
    """Run a stream at the engine on which a job was placed.

    `job` identifies the placement, `last_event_id` is the event after which the stream goes on.
    Whoever opens an attempt has to close it.
    """

    def __init__(
        self,
        *,
        context: ExchangeContext,
        state: ExchangeState,
        job: str,
        placed: Placed,
        replica: Replica,
        last_event_id: str | None,
    ) -> None:
        self.context = context
        self.state = state
        self.job = job
        self.placed = placed
        self.replica = replica
        self.splitter = EventSplitter()
        self.splitter.last_event_id = last_event_id
        self.answer: ReplicaAnswer | None = None
        self.sent_at = 0.0
        self.has_events = False
        self.is_counted = False
        self.is_suspected = False
        self.is_closed = False
        self.reported_pace: float | None = None

    @property
    def received(self) -> ReplicaAnswer:
        """Return the answer, whose head has come."""
        assert self.answer is not None
        return self.answer

    @property
    def silence_timeout_s(self) -> float:
        """Return the seconds without an event after which the engine counts as silent."""
        if self.has_events:
            return EVENT_GAP_TIMEOUT_S
        return FIRST_EVENT_TIMEOUT_S + FIRST_EVENT_COST_FACTOR * self.placed.cost_s

    def count_run(self) -> None:
        """Count the run once: the engine has begun the request, or may have."""
        self.state.may_have_run = True
        if not self.is_counted:
            self.is_counted = True
            self.state.runs += 1

    async def send(self) -> None:
        """Send the request and wait for the head of the answer; raise `Declined` if it did not run.

        Raise `ReplicaExcluded` if nothing was sent, `NotStarted` or `MayHaveRun`.
        """
        state = self.state
        self.sent_at = self.context.clock.monotonic()
        state.on_send(self.replica.id, self.sent_at)
        state.tried_versions.append(self.replica.version)
        outbound = OutboundRequest(
            exchange=state.exchange,
            replica=self.replica,
            deadline_s=max(0.0, state.deadline_at - self.sent_at),
            workspace=state.workspace,
            priority=state.priority,
            inputs=self.placed.inputs,
            last_event_id=self.splitter.last_event_id,
            needs_verified_connection=not state.route.repeatable,
        )
        try:
            self.answer = await self.context.replica_client.send(outbound)
        except NotStarted:
            raise
        except BackendError:
            self.count_run()
            raise
        head = self.answer.head
        self.reported_pace = head.load.pace if head.load is not None else None
        if head.declined:
            text = f'{self.replica.id} declined with {head.status}'
            raise Declined(text, turned_away=head.turned_away)
        self.count_run()

    async def next_events(self) -> bytes | None:
        """Return the next complete events, `None` at the end of the whole stream.

        The first call sends the request. An error answer is returned as `None` too, with its
        status in `received`. Raise `BackendError` if the stream breaks.
        """
        if self.answer is None:
            await self.send()
        answer = self.received
        while answer.head.success:
            data = await answer.read()
            if data is None:
                break
            try:
                events = self.splitter.feed(data)
            except ValueError as error:
                raise MayHaveRun(str(error)) from error
            if events:
                self.on_events()
                return events
        if self.splitter.buffer:
            raise ConnectionBroken('the stream ended inside an event')
        repeatable = self.state.route.repeatable
        await check_whole(self.context, self.replica, answer, repeatable=repeatable)
        return None

    def on_events(self) -> None:
        """Report the first event to the scheduler and the crash records."""
        if self.has_events:
            return
        self.has_events = True
        self.context.crashes.on_answer_began(self.state.content, self.state.service)
        self.context.scheduler.report_started(self.job, self.reported_pace)
        # By the end of the stream the report would be out of date.
        self.reported_pace = None

    async def suspect(self, error: SilentReplica) -> None:
        """Log a silence and look for a crash; the attempt goes on."""
        self.count_run()
        if not self.is_suspected:
            self.is_suspected = True
            await self.check_for_crash(error)
            self.log_failure(error)

    async def fail(self, error: BackendError) -> None:
        """Log a failure, look for a crash and close the attempt, once."""
        if self.is_closed:
            return
        turned_away = isinstance(error, Declined) and error.turned_away
        await self.check_for_crash(error)
        # The probe has shown by now whether this box reaches any replica.
        is_at_fault = not isinstance(error, Declined | ConnectionLimitReached)
        failed = is_at_fault and not self.context.is_partitioned()
        self.log_failure(error)
        self.close(failed=failed, turned_away=turned_away)

    async def check_for_crash(self, error: BackendError) -> None:
        """Probe whether the engine has crashed and report it."""
        await check_for_crash(
            self.context,
            self.state,
            self.replica,
            error,
            run_started_at=self.sent_at,
            answered=self.has_events,
        )

    def log_failure(self, error: BackendError) -> None:
        """Report a failure to the observer."""
        log_failure(self.context, self.state, self.replica, error, answered=self.has_events)

    def close(self, *, failed: bool = False, turned_away: bool = False) -> None:
        """Release the connection and report the end of the run to the scheduler, once."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.answer is not None:
            self.answer.close()
        self.context.scheduler.report_ended(
            self.job, failed=failed, turned_away=turned_away, pace=self.reported_pace
        )
