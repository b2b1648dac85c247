"""Hold what a scheduler believes of the world and learns from what it sees."""

from __future__ import annotations

DEFAULT_FIRST_EVENT_S = 0.4
"""What an engine is believed to take to a first event before any was seen, its queue included."""

SMOOTHING = 0.05
"""The weight of the newest observation: some twenty decide, a second or two of a busy fleet."""

MAX_OBSERVATION_S = 2.0
"""An observation counts as this at most, so that one engine that hangs does not decide."""


class MeanDuration:
    """Follow how long something takes, in seconds."""

    def __init__(self, *, prior_s: float) -> None:
        self.mean_s = prior_s

    def learn(self, took_s: float) -> None:
        """Take an observation in."""
        observed_s = min(MAX_OBSERVATION_S, max(0.0, took_s))
        self.mean_s += SMOOTHING * (observed_s - self.mean_s)


class EngineTimes:
    """Follow the time from an engine's choice to its first event, by the size of the prompt.

    Prompts whose lengths have as many binary digits are taken for alike.
    """

    def __init__(self) -> None:
        self.means: dict[int, MeanDuration] = {}

    def learn(self, prompt_tokens: int, took_s: float) -> None:
        """Take an observation in."""
        size_class = prompt_tokens.bit_length()
        self.means.setdefault(size_class, MeanDuration(prior_s=DEFAULT_FIRST_EVENT_S)).learn(took_s)

    def expected_s(self, prompt_tokens: int) -> float:
        """Return what a prompt of some length is believed to take."""
        mean = self.means.get(prompt_tokens.bit_length())
        return DEFAULT_FIRST_EVENT_S if mean is None else mean.mean_s

    def snapshot(self) -> dict[int, float]:
        """Return what was learned, for the next scheduler."""
        return {size: span.mean_s for size, span in self.means.items()}

    def restore(self, snapshot: dict[int, float]) -> None:
        """Go by what another scheduler has learned of sizes that this one has not seen."""
        for size, mean_s in snapshot.items():
            self.means.setdefault(
                size, MeanDuration(prior_s=min(MAX_OBSERVATION_S, max(0.0, mean_s)))
            )
