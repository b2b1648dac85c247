"""Simulate model engines: prefill is sequential, decoding runs concurrently."""

from __future__ import annotations

import bisect
from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

    from calicopath_core.fleet.deployment import EngineSpec
    from calicopath_core.scheduling.messages import Prompt

PREFILL_S_PER_TOKEN = 1 / 32_400
FIRST_EVENT_S = 0.064
DECODE_STEP_S = 0.00612
DECODE_STEP_S_PER_RUN = 0.0000234
REREAD_WINDOW_S = 9.5


class EngineSpeed(NamedTuple):
    """Hold the speed of an engine; `slowdown` multiplies the duration of everything it does."""

    prefill_s_per_token: float = PREFILL_S_PER_TOKEN
    decode_step_s: float = DECODE_STEP_S
    slowdown: float = 1.0


USUAL_SPEED = EngineSpeed()


class SlowMoments(NamedTuple):
    """Describe moments in which work takes `factor` times as long, `share` of the time.

    Each moment lasts `length_s`. They come at random, as other work on the same machine does.
    """

    share: float = 0.15
    factor: float = 2.5
    length_s: float = 0.6

    def draw(self, rng: random.Random, until_s: float) -> list[float]:
        """Return the starts of one engine's moments, in order."""
        mean_gap_s = self.length_s * (1 - self.share) / self.share
        found = []
        at = 0.0
        while (at := at + rng.expovariate(1 / mean_gap_s)) < until_s:
            found.append(at)
            at += self.length_s
        return found


class ReplayEngine:
    """Simulate one engine; times are monotonic seconds of virtual time."""

    def __init__(self, *, spec: EngineSpec, speed: EngineSpeed = USUAL_SPEED) -> None:
        self.spec = spec
        self.speed = speed
        self.moments = SlowMoments()
        self.moment_starts: list[float] = []
        self.free_at = 0.0
        self.running = 0
        self.cached_parts: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0

    def pace(self, now: float) -> float:
        """Return the factor on the duration of work that begins now."""
        number = bisect.bisect_right(self.moment_starts, now) - 1
        if number < 0 or now >= self.moment_starts[number] + self.moments.length_s:
            return 1.0
        return self.moments.factor

    def prefill(self, prompt: Prompt, now: float) -> tuple[float, int]:
        """Return the time of the first event and the number of uncached tokens."""
        kept = 0
        for part in prompt.parts:
            if part.id not in self.cached_parts:
                break
            kept += part.tokens
        uncached = max(0, prompt.tokens_in - kept)
        prefill_s = uncached * self.speed.prefill_s_per_token * self.speed.slowdown
        begin = max(now, self.free_at)
        self.free_at = begin + prefill_s * self.pace(begin)
        for part in prompt.parts:
            if part.id not in self.cached_parts:
                self.cached_tokens += part.tokens
            self.cached_parts[part.id] = part.tokens
            self.cached_parts.move_to_end(part.id)
        while self.cached_tokens > self.spec.kv_tokens:
            self.cached_tokens -= self.cached_parts.popitem(last=False)[1]
        return self.free_at + FIRST_EVENT_S * self.speed.slowdown, uncached

    def decode_s(self, tokens: int) -> float:
        """Return the decoding time of some tokens with the current number of runs."""
        step_s = self.speed.decode_step_s + DECODE_STEP_S_PER_RUN * self.running
        return tokens * step_s * self.speed.slowdown
