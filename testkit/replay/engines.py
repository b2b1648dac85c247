"""Simulate model engines: prefill is sequential, decoding runs concurrently."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from calicopath_core.fleet.deployment import EngineSpec
    from calicopath_core.scheduling.messages import Prompt

PREFILL_S_PER_TOKEN = 1 / 32_400
FIRST_EVENT_S = 0.064
DECODE_STEP_S = 0.00612
DECODE_STEP_S_PER_RUN = 0.0000234
REREAD_WINDOW_S = 9.5


class ReplayEngine:
    """Simulate one engine; times are monotonic seconds of virtual time."""

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
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
        self.free_at = max(now, self.free_at) + uncached * PREFILL_S_PER_TOKEN
        for part in prompt.parts:
            if part.id not in self.cached_parts:
                self.cached_tokens += part.tokens
            self.cached_parts[part.id] = part.tokens
            self.cached_parts.move_to_end(part.id)
        while self.cached_tokens > self.spec.kv_tokens:
            self.cached_tokens -= self.cached_parts.popitem(last=False)[1]
        return self.free_at + FIRST_EVENT_S, uncached

    def decode_s(self, tokens: int) -> float:
        """Return the decoding time of some tokens with the current number of runs."""
        return tokens * (DECODE_STEP_S + DECODE_STEP_S_PER_RUN * self.running)
