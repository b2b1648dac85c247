"""Estimate durations that the scheduler learns from observations."""

from __future__ import annotations

DEFAULT_FIRST_EVENT_S = 0.4
"""Estimated time to an engine's first event, its queue included, before any observation."""

SMOOTHING = 0.05
"""Weight of the newest observation: about twenty decide, which is one or two seconds of a busy
fleet."""

MAX_OBSERVATION_S = 2.0
"""Observations are capped at this value, so that one engine that hangs does not decide."""


def size_class_of(prompt_tokens: int) -> int:
    """Return the size class of a prompt; prompts of one class share an estimate."""
    return prompt_tokens.bit_length()


class MeanDuration:
    """Estimate the mean of a duration in seconds by exponential smoothing."""

    def __init__(self, *, prior_s: float) -> None:
        self.mean_s = prior_s

    def learn(self, took_s: float) -> None:
        """Add an observation."""
        observed_s = min(MAX_OBSERVATION_S, max(0.0, took_s))
        self.mean_s += SMOOTHING * (observed_s - self.mean_s)


class EngineTimes:
    """Estimate the time from placement to the first event, by the size of the prompt.

    Prompts whose token counts have the same number of binary digits share one estimate.
    """

    def __init__(self) -> None:
        self.means: dict[int, MeanDuration] = {}

    def learn(self, prompt_tokens: int, took_s: float) -> None:
        """Add an observation for a prompt of some length."""
        size_class = size_class_of(prompt_tokens)
        self.means.setdefault(size_class, MeanDuration(prior_s=DEFAULT_FIRST_EVENT_S)).learn(took_s)

    def expected_s(self, prompt_tokens: int) -> float:
        """Return the estimated time to the first event for a prompt of some length."""
        mean = self.means.get(size_class_of(prompt_tokens))
        return DEFAULT_FIRST_EVENT_S if mean is None else mean.mean_s

    def snapshot(self) -> dict[int, float]:
        """Return the estimates by size class, for the next scheduler."""
        return {size: span.mean_s for size, span in self.means.items()}

    def restore(self, snapshot: dict[int, float]) -> None:
        """Take over another scheduler's estimates for size classes that have none here."""
        for size, mean_s in snapshot.items():
            self.means.setdefault(
                size, MeanDuration(prior_s=min(MAX_OBSERVATION_S, max(0.0, mean_s)))
            )
