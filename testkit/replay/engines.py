"""Simulate model engines: prefill is sequential, decoding runs concurrently."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
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


class ReplayEngine:
    """Simulate one engine; times are monotonic seconds of virtual time."""

    def __init__(self, *, spec: EngineSpec, speed: EngineSpeed = USUAL_SPEED) -> None:
        self.spec = spec
        self.speed = speed
        self.free_at = 0.0
        self.running = 0
        self.cached_parts: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0

    def prefill(self, prompt: Prompt, now: float) -> tuple[float, int]:
        """Return the time of the first event and the number of uncached tokens."""
        kept = 0
        for part in prompt.parts:
            if part.id not in self.cached_parts:
                break
            kept += part.tokens
        uncached = max(0, prompt.tokens_in - kept)
        prefill_s = uncached * self.speed.prefill_s_per_token * self.speed.slowdown
        self.free_at = max(now, self.free_at) + prefill_s
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
