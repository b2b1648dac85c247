"""Stream a generation, resuming it on another replica when it breaks."""

from __future__ import annotations

import asyncio
import codecs
import contextlib
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
    check_time_left,
    endpoint_failed,
    note_crash,
)
from calicopath_core.structure.calls import GenerationCall, GenerationEnd, StageOutput, Token
from calicopath_core.structure.outcomes import FailureReason, StageTiming

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from calicopath_core.execution.run import Run
    from calicopath_core.routing.pools import Slot


class Progress:
    """Collect tokens in order, whichever replicas they come from.

    Characters are passed on only when all their bytes are there.
    """

    def __init__(self) -> None:
        self.tokens: list[bytes] = []
        self.text: list[str] = []
        self.decoder = codecs.getincrementaldecoder('utf-8')()
        self.total: int | None = None

    @property
    def offset(self) -> int:
        """Return the number of tokens received."""
        return len(self.tokens)

    def add(self, token: Token) -> str:
        """Take a token and return the characters that it completes."""
        if token.offset > self.offset:
            raise WrongAnswer(f'token {token.offset} came instead of {self.offset}')
        if token.offset < self.offset:
            if self.tokens[token.offset] != token.data:
                raise WrongAnswer(f'token {token.offset} came again with other content')
            return ''
        try:
            text = self.decoder.decode(token.data)
        except UnicodeDecodeError:
            raise WrongAnswer(f'token {token.offset} is not UTF-8') from None
        self.tokens.append(token.data)
        self.text.append(text)
        return text

    def finish(self, end: GenerationEnd) -> None:
        """Check that the end comes after the last token and the last character."""
        if end.total != self.offset:
            raise WrongAnswer(f'{self.offset} tokens came of {end.total}')
        try:
            self.decoder.decode(b'', final=True)
        except UnicodeDecodeError:
            raise WrongAnswer('the last character is incomplete') from None
        self.total = end.total


class GenerationRunner:
    """Run a stage that streams its answer."""

    def __init__(self, *, context: StageContext) -> None:
        self.context = context
        self.cancels: set[asyncio.Task[None]] = set()

    async def run(self, run: Run, budget: StageBudget) -> StageOutput:
        """Return the whole text; raise `StageFailed`."""
        progress = Progress()
        tried: set[str] = set()
        last: NotStarted | MayHaveRun | None = None
        queued_s = 0.0
        started = self.context.clock.monotonic()
        for number in range(1, self.context.policy.max_attempts + 1):
            if progress.offset:
                # What is left of a broken generation takes less than a whole one.
                budget = budget._replace(expected_s=0.0)
            slot = await acquire_slot(self.context, run, budget, tried)
            queued_s += slot.queued_s
            try:
                await self.attempt(run, budget, slot, progress)
            except NotStarted as error:
                last = error
            except MayHaveRun as error:
                last = error
                service, answered = budget.stage.service, progress.offset > 0
                await note_crash(self.context, run, slot, service, error, answered=answered)
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
        raise endpoint_failed(budget, last, reason)

    def may_continue(self, run: Run, budget: StageBudget, progress: Progress) -> bool:
        """Tell whether a broken generation may go on elsewhere.

        Resuming after the tokens received runs nothing twice; starting over might.
        """
        if run.single_shot(budget.stage) and progress.offset == 0:
            return False
        return self.context.budget.try_spend()

    async def attempt(self, run: Run, budget: StageBudget, slot: Slot, progress: Progress) -> None:
        """Stream from one replica until the end."""
        stage = budget.stage
        with CallAttempt(context=self.context, run=run, budget=budget, slot=slot) as attempt:
            call = GenerationCall(
                id=run.next_call(stage),
                params=stage.params,
                input=run.input,
                timeout_s=budget.stop_at - attempt.started,
                priority=run.request.priority,
                offset=progress.offset,
                prefix=b''.join(progress.tokens),
            )
            watch = StreamWatch(started=attempt.started)
            try:
                await self.stream(run, budget, slot, call, progress, watch)
            except TimeoutError:
                self.cancel(slot, call)
                raise TimedOut(f'{slot.endpoint.name} stopped sending tokens') from None
            except NotStarted:
                raise
            except BaseException:
                self.cancel(slot, call)
                raise
            attempt.first_response_s = watch.first_response_s
            if watch.gap_s is not None:
                slot.pool.record_token_gap(watch.gap_s)

    async def stream(
        self,
        run: Run,
        budget: StageBudget,
        slot: Slot,
        call: GenerationCall,
        progress: Progress,
        watch: StreamWatch,
    ) -> None:
        """Take tokens until the end; raise `TimeoutError` when none comes for too long."""
        identity = str(call.id)
        clock = self.context.clock
        items = self.context.backends.engine.generate(slot.endpoint, call)
        async with contextlib.aclosing(items):  # type: ignore[type-var]
            while progress.total is None:
                async with asyncio.timeout_at(self.next_token_by(budget, watch)):
                    item = await next_item(items)
                if item.call != identity:
                    raise WrongAnswer(f'an answer to {item.call} came to {identity}')
                if isinstance(item, GenerationEnd):
                    progress.finish(item)
                    return
                watch.on_token(clock.monotonic())
                self.note_first_token(run, watch)
                text = progress.add(item)
                if text:
                    await run.sink.write(text)
                # The time that a slow caller takes is not the replica's.
                watch.waiting_since = clock.monotonic()

    def next_token_by(self, budget: StageBudget, watch: StreamWatch) -> float:
        """Return when to give up waiting for the next token.

        The first one may take as long as the whole stage should, since calls queue.
        """
        policy = self.context.policy
        lag_s = self.context.lag.value_s
        if watch.first_at is None:
            first_s = max(policy.max_stall_s, budget.expected_s) + lag_s
            return min(budget.stop_at, watch.started + first_s)
        usual_s = self.context.pools.pool(budget.stage.service).token_gap_s
        if usual_s is None:
            return min(budget.stop_at, watch.waiting_since + policy.max_stall_s + lag_s)
        stall_s = max(policy.min_stall_s, usual_s * policy.stall_factor)
        stall_s = min(policy.max_stall_s, stall_s) + lag_s
        return min(budget.stop_at, watch.waiting_since + stall_s)

    def note_first_token(self, run: Run, watch: StreamWatch) -> None:
        """Report a request's first token once."""
        if run.first_token_at is None:
            run.first_token_at = watch.last_at
            self.context.observer.on_first_token(run.plan, watch.last_at - run.request.arrived)

    def cancel(self, slot: Slot, call: GenerationCall) -> None:
        """Ask the replica to stop, without waiting for it."""
        engine = self.context.backends.engine
        task = asyncio.get_running_loop().create_task(engine.cancel(slot.endpoint, call))
        self.cancels.add(task)
        task.add_done_callback(self.cancels.discard)


class StreamWatch:
    """Hold when a stream started and gave tokens, on the monotonic clock, in seconds."""

    def __init__(self, *, started: float) -> None:
        self.started = started
        self.first_at: float | None = None
        self.last_at = started
        self.waiting_since = started
        self.tokens = 0

    @property
    def first_response_s(self) -> float:
        """Return the time to the first token, 0 if there was none."""
        return 0.0 if self.first_at is None else self.first_at - self.started

    @property
    def gap_s(self) -> float | None:
        """Return the mean time between tokens, if there were two."""
        if self.first_at is None or self.tokens < 2:
            return None
        return (self.last_at - self.first_at) / (self.tokens - 1)

    def on_token(self, now: float) -> None:
        """Note a token."""
        if self.first_at is None:
            self.first_at = now
        self.last_at = now
        self.tokens += 1


async def next_item(items: AsyncIterator[Token | GenerationEnd]) -> Token | GenerationEnd:
    """Return the next item; a stream that just stops has no whole answer."""
    try:
        return await anext(items)
    except StopAsyncIteration:
        # The end of an engine's connection looks like the end of an answer that has no length.
        raise ConnectionBroken('the stream ended before the end of the answer') from None
