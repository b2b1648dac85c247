"""Learn how fast a service's engines read prompts, from the times to first events.

The time to a first event is a constant, for the way and the first step, plus the time to read the
prompt. A regression over prompts of different lengths separates the two. Only runs on engines that
had nothing else to read are observed, since a wait behind other prompts would count as reading.
"""

from __future__ import annotations

import math

PREFILL_S_PER_TOKEN = 1 / 32_400
"""Time to read one prompt token before any observation; engines read 32 to 38 tokens per ms."""

FIRST_EVENT_BASE_S = 0.07
"""Time to the first event of an empty prompt before any observation."""

MAX_SPEED_RATIO = 8.0
"""Bound on the ratio of the learned time per token to `PREFILL_S_PER_TOKEN`, and on its inverse."""

DEAD_BAND_RATIO = 1.2
"""Learned times per token within this ratio of `PREFILL_S_PER_TOKEN` are replaced by it: engines
within the range for which it was chosen are then chosen exactly as before."""

SAMPLE_WEIGHT = 0.995
"""Factor on the weight of earlier observations for each new one: about 200 count. Observations are
noisy, since the scheduler takes some parts of prompts for unread that engines have cached: with
100, the time per token was 0.69 of the true one in a replay with 9 engines."""

SLOPE_PRIOR_TOKENS = 1500.0
SLOPE_PRIOR_SAMPLES = 3.0
"""Weight of the prior time per token, as that many prompts that deviate by so many tokens from the
mean length. Prompts of nearly equal length can't tell reading from the constant part; the prior
then stays in force."""

MAX_SAMPLE_RATIO = 1.5
"""Observations are capped at this multiple of the expectation, and at its inverse, so that engines
that hang or fail do not decide."""

MAX_FIRST_SAMPLE_S = 0.3
"""Cap of the first observation, for which there is no expectation yet; about 7,500 tokens by the
constants. With 1 s, a first run that hangs leaves the time per token at half of the true one for
400 observations."""

MIN_SAMPLES_TO_USE = 40.0
"""Weight of observations from which the learned time per token is used."""

SETTLED_SAMPLES = 50.0
"""Weight of observations from which single engines are compared with the service's speed. Earlier,
all would seem fast or slow together."""

MAX_SERVICES = 64
"""Most services whose speeds are passed to the next scheduler; more than a deployment has."""


class PromptSpeed:
    """Estimate the seconds that the engines of one service take to read a prompt token.

    The sums over observations have fading weights, `samples` in total; `x` is in tokens and `y` in
    seconds. The constants have no part in the sums: prompts of one length that takes longer or
    shorter than the constants say would give a slope between the two, even a negative one.
    """

    def __init__(self) -> None:
        self.prior_s_per_token = PREFILL_S_PER_TOKEN
        self.samples = 0.0
        self.sum_x = 0.0
        self.sum_y = 0.0
        self.sum_xx = 0.0
        self.sum_xy = 0.0
        self.learned_s_per_token = PREFILL_S_PER_TOKEN
        self.base_s = FIRST_EVENT_BASE_S
        self.s_per_token = PREFILL_S_PER_TOKEN

    @property
    def is_settled(self) -> bool:
        """Tell whether there are enough observations to compare single engines with."""
        return self.samples >= SETTLED_SAMPLES

    def learn(self, tokens: float, took_s: float) -> None:
        """Add the time to the first event of a prompt that was read alone."""
        capped_s = self.capped(tokens, took_s) if self.samples else min(took_s, MAX_FIRST_SAMPLE_S)
        self.samples = self.samples * SAMPLE_WEIGHT + 1
        self.sum_x = self.sum_x * SAMPLE_WEIGHT + tokens
        self.sum_y = self.sum_y * SAMPLE_WEIGHT + capped_s
        self.sum_xx = self.sum_xx * SAMPLE_WEIGHT + tokens * tokens
        self.sum_xy = self.sum_xy * SAMPLE_WEIGHT + tokens * capped_s
        self.fit()

    def capped(self, tokens: float, took_s: float) -> float:
        """Return an observed time within `MAX_SAMPLE_RATIO` of the expectation."""
        expected_s = self.base_s + tokens * self.learned_s_per_token
        return min(expected_s * MAX_SAMPLE_RATIO, max(expected_s / MAX_SAMPLE_RATIO, took_s))

    def fit(self) -> None:
        """Fit the time per token and the constant part to the observations."""
        mean_x, mean_y = self.sum_x / self.samples, self.sum_y / self.samples
        variation = max(0.0, self.sum_xx - mean_x * self.sum_x)
        covariation = self.sum_xy - mean_x * self.sum_y
        prior = SLOPE_PRIOR_SAMPLES * SLOPE_PRIOR_TOKENS**2
        slope = (covariation + prior * self.prior_s_per_token) / (variation + prior)
        self.learned_s_per_token = bounded(slope)
        self.base_s = max(0.0, mean_y - mean_x * self.learned_s_per_token)
        if self.samples >= MIN_SAMPLES_TO_USE:
            self.s_per_token = with_dead_band(self.learned_s_per_token)

    def restore(self, s_per_token: float) -> None:
        """Take over another scheduler's estimate, unless this one has enough of its own."""
        if self.samples < MIN_SAMPLES_TO_USE and math.isfinite(s_per_token):
            self.prior_s_per_token = self.learned_s_per_token = bounded(s_per_token)
            self.s_per_token = with_dead_band(self.learned_s_per_token)


def bounded(s_per_token: float) -> float:
    """Return a time per token within `MAX_SPEED_RATIO` of the constant."""
    ratio = s_per_token / PREFILL_S_PER_TOKEN
    return PREFILL_S_PER_TOKEN * min(MAX_SPEED_RATIO, max(1 / MAX_SPEED_RATIO, ratio))


def with_dead_band(s_per_token: float) -> float:
    """Return the constant in place of a time per token that is close to it."""
    ratio = s_per_token / PREFILL_S_PER_TOKEN
    is_close = 1 / DEAD_BAND_RATIO <= ratio <= DEAD_BAND_RATIO
    return PREFILL_S_PER_TOKEN if is_close else s_per_token
