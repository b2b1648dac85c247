"""Stream a generation and resume it on another replica when the stream breaks."""

from __future__ import annotations

import asyncio
import codecs
import contextlib
from functools import partial
from typing import TYPE_CHECKING

from calicopath_core.backends.base import (
    ConnectionBroken,
    MayHaveRun,
    NotStarted,
    WrongAnswer,
)
from calicopath_core.execution.attempts import (
    CallAttempt,
    StageBudget,
    StageContext,
    TimedOut,
    acquire_slot,
    check_for_crash,
    check_time_left,
    may_leave_slow_call,
    stage_failure,
)
from calicopath_core.structure.calls import GenerationCall, GenerationEnd, StageOutput, Token
from calicopath_core.structure.outcomes import FailureReason, StageTiming
from calicopath_core.waiting import cancel_and_wait, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from calicopath_core.execution.run import PipelineRun
    from calicopath_core.routing.pools import Slot


class GenerationProgress:
    """Collect the tokens of a generation in order, across the replicas that produce them.

    A character is returned only once all its UTF-8 bytes have arrived. `version` is the software
    version of the endpoint that sent the first token.
    """

    def __init__(self) -> None:
        self.tokens: list[bytes] = []
        self.text: list[str] = []
        self.decoder = codecs.getincrementaldecoder('utf-8')()
        self.total: int | None = None
        self.version: str | None = None

    @property
    def offset(self) -> int:
        """Return the number of tokens received."""
        return len(self.tokens)

    def add(self, token: Token) -> str:
        """Add a token and return the characters that it completes.

        A repeated token adds nothing. Raise `WrongAnswer` if a token is missing, differs from its
        earlier copy or is not UTF-8.
        """
        if token.offset > self.offset:
            raise WrongAnswer(f'received token {token.offset}, expected token {self.offset}')
        if token.offset < self.offset:
            if self.tokens[token.offset] != token.data:
                raise WrongAnswer(f'token {token.offset} was repeated with different content')
            return ''
        try:
            text = self.decoder.decode(token.data)
        except UnicodeDecodeError:
            raise WrongAnswer(f'token {token.offset} is not valid UTF-8') from None
        self.tokens.append(token.data)
        self.text.append(text)
        return text

    def finish(self, end: GenerationEnd) -> None:
        """Raise `WrongAnswer` if tokens, or bytes of the last character, are missing."""
        if end.total != self.offset:
            raise WrongAnswer(f'received {self.offset} of {end.total} tokens')
        try:
            self.decoder.decode(b'', final=True)
        except UnicodeDecodeError:
            raise WrongAnswer('the last character is incomplete') from None
        self.total = end.total


class GenerationRunner:
    """Run engine stages, whose answers are streamed token by token."""

    def __init__(self, *, context: StageContext) -> None:
        self.context = context
        self.cancel_tasks: set[asyncio.Task[None]] = set()

    async def run(self, run: PipelineRun, budget: StageBudget) -> StageOutput:
        """Return the complete text; raise `StageFailed` once the attempts are used up."""
        progress = GenerationProgress()
        tried: set[str] = set()
        last: NotStarted | MayHaveRun | None = None
        queued_s = 0.0
        started = self.context.clock.monotonic()
        for number in range(1, self.context.policy.max_attempts + 1):
            if progress.offset:
                # The rest of a broken generation takes less than a complete one.
                budget = budget._replace(expected_s=0.0)
            slot = await acquire_slot(self.context, run, budget, tried, progress.version)
            queued_s += slot.queued_s
            try:
                await self.attempt(run, budget, slot, progress, {*tried, slot.endpoint.name})
            except NotStarted as error:
                last = error
            except MayHaveRun as error:
                last = error
                service, answered = budget.stage.service, progress.offset > 0
                await check_for_crash(self.context, run, slot, service, error, answered=answered)
                check_time_left(self.context, budget)
                if not self.may_continue(run, budget, progress):
                    break
            else:
                self.context.crashes.on_survived(run.content, budget.stage.service)
                served_s = self.context.clock.monotonic() - started - queued_s
                timing = StageTiming(
                    budget.stage.name, slot.endpoint.name, number, queued_s, served_s
                )
                output = StageOutput(output=''.join(progress.text))
                run.finish_stage(budget.stage, output, timing)
                return output
            tried.add(slot.endpoint.name)
        reason = FailureReason.STREAM_BROKEN if progress.offset else FailureReason.ENDPOINT_FAILED
        raise stage_failure(budget, last, reason)

    def may_continue(
        self, run: PipelineRun, budget: StageBudget, progress: GenerationProgress
    ) -> bool:
        """Return whether a broken generation may continue on another replica.

        Resuming after the received tokens does not run the request twice; a restart may. Spends one
        retry of the retry budget.
        """
        if run.runs_at_most_once(budget.stage) and progress.offset == 0:
            return False
        return self.context.retry_budget.try_spend()

    async def attempt(
        self,
        run: PipelineRun,
        budget: StageBudget,
        slot: Slot,
        progress: GenerationProgress,
        tried: set[str],
    ) -> None:
        """Stream from one replica; raise `NotStarted`, `MayHaveRun` or one of their subclasses."""
        stage = budget.stage
        with CallAttempt(context=self.context, run=run, budget=budget, slot=slot) as attempt:
            call = GenerationCall(
                id=run.next_call_id(stage),
                params=stage.params,
                input=run.input,
                timeout_s=budget.deadline - attempt.started_at,
                priority=run.request.priority,
                offset=progress.offset,
                prefix=b''.join(progress.tokens),
            )
            timing = StreamTiming(started_at=attempt.started_at)
            try:
                await self.stream(run, budget, slot, call, progress, timing, tried)
            except TimeoutError:
                self.cancel(slot, call)
                raise TimedOut(f'endpoint {slot.endpoint.name} stopped sending tokens') from None
            except NotStarted:
                raise
            except BaseException:
                self.cancel(slot, call)
                raise
            attempt.first_response_s = timing.first_response_s
            if timing.mean_token_gap_s is not None:
                slot.pool.record_token_gap(timing.mean_token_gap_s)

    async def stream(
        self,
        run: PipelineRun,
        budget: StageBudget,
        slot: Slot,
        call: GenerationCall,
        progress: GenerationProgress,
        timing: StreamTiming,
        tried: set[str],
    ) -> None:
        """Write text to the caller until the stream ends.

        Raise `TimeoutError` at the deadline, or at a stall if another endpoint can take over.
        """
        call_id = str(call.id)
        clock = self.context.clock
        items = self.context.backends.engine.generate(slot.endpoint, call)
        async with contextlib.aclosing(items):  # type: ignore[type-var]
            while progress.total is None:
                item = await self.next_in_time(
                    items,
                    self.next_token_deadline(budget, timing),
                    budget.deadline,
                    partial(self.may_leave, run, budget, progress, tried),
                )
                if item.call != call_id:
                    raise WrongAnswer(f'call {call_id} received an answer to call {item.call}')
                if isinstance(item, GenerationEnd):
                    progress.finish(item)
                    return
                timing.on_token(clock.monotonic())
                if timing.token_count == 1:
                    self.context.crashes.on_answer_began(run.stage_content, budget.stage.service)
                self.note_first_token(run, timing)
                text = progress.add(item)
                if progress.version is None:
                    progress.version = slot.endpoint.version
                if text:
                    await run.sink.write(text)
                # Writing to a slow caller must not count as a stall of the replica.
                timing.waiting_since = clock.monotonic()

    def may_leave(
        self,
        run: PipelineRun,
        budget: StageBudget,
        progress: GenerationProgress,
        tried: set[str],
    ) -> bool:
        """Return whether a stalled generation may be left for another endpoint."""
        if run.runs_at_most_once(budget.stage) and progress.offset == 0:
            return False
        return may_leave_slow_call(self.context, budget, tried, progress.version)

    async def next_in_time(
        self,
        items: AsyncIterator[Token | GenerationEnd],
        stalled_at: float,
        deadline: float,
        may_leave: Callable[[], bool],
    ) -> Token | GenerationEnd:
        """Return the next item; raise `TimeoutError` if it comes too late.

        That is at the deadline, or at `stalled_at` if the stream may be left for another one.
        """
        waiting = asyncio.create_task(next_item(items))
        try:
            await wait_until(self.context.clock, waiting, stalled_at)
            if not waiting.done() and not may_leave():
                await wait_until(self.context.clock, waiting, deadline)
            if waiting.done():
                return waiting.result()
            raise TimeoutError
        finally:
            await cancel_and_wait(waiting)

    def next_token_deadline(self, budget: StageBudget, timing: StreamTiming) -> float:
        """Return the monotonic time at which waiting for the next token times out.

        The first token may take as long as the expected time of the stage, because calls queue.
        """
        policy = self.context.policy
        lag_s = self.context.lag.value_s
        if timing.first_token_at is None:
            first_s = max(policy.max_stall_s, budget.expected_s) + lag_s
            return min(budget.deadline, timing.started_at + first_s)
        usual_gap_s = self.context.pools.pool(budget.stage.service).token_gap_s
        if usual_gap_s is None:
            return min(budget.deadline, timing.waiting_since + policy.max_stall_s + lag_s)
        stall_s = max(policy.min_stall_s, usual_gap_s * policy.stall_factor)
        stall_s = min(policy.max_stall_s, stall_s) + lag_s
        return min(budget.deadline, timing.waiting_since + stall_s)

    def note_first_token(self, run: PipelineRun, timing: StreamTiming) -> None:
        """Report the first token of a request, once over all its attempts."""
        if run.first_token_at is None:
            run.first_token_at = timing.last_token_at
            self.context.observer.on_first_token(
                run.plan, timing.last_token_at - run.request.arrived_at
            )

    def cancel(self, slot: Slot, call: GenerationCall) -> None:
        """Ask the replica to cancel the generation, without waiting for its reply."""
        engine = self.context.backends.engine
        task = asyncio.get_running_loop().create_task(engine.cancel(slot.endpoint, call))
        self.cancel_tasks.add(task)
        task.add_done_callback(self.cancel_tasks.discard)


class StreamTiming:
    """Hold the start and token times of a stream, on the monotonic clock, in seconds.

    `waiting_since` is when waiting for the next token began.
    """

    def __init__(self, *, started_at: float) -> None:
        self.started_at = started_at
        self.first_token_at: float | None = None
        self.last_token_at = started_at
        self.waiting_since = started_at
        self.token_count = 0

    @property
    def first_response_s(self) -> float:
        """Return the time to the first token, or 0 if there was none."""
        return 0.0 if self.first_token_at is None else self.first_token_at - self.started_at

    @property
    def mean_token_gap_s(self) -> float | None:
        """Return the mean time between tokens, or `None` for fewer than two tokens."""
        if self.first_token_at is None or self.token_count < 2:
            return None
        return (self.last_token_at - self.first_token_at) / (self.token_count - 1)

    def on_token(self, now: float) -> None:
        """Record the arrival of a token."""
        if self.first_token_at is None:
            self.first_token_at = now
        self.last_token_at = now
        self.token_count += 1


async def next_item(items: AsyncIterator[Token | GenerationEnd]) -> Token | GenerationEnd:
    """Return the next item; raise `ConnectionBroken` if the stream stops without an end item."""
    try:
        return await anext(items)
    except StopAsyncIteration:
        # If the response has no length, a lost connection looks like the end of the response.
        raise ConnectionBroken('the stream stopped before the end of the answer') from None
