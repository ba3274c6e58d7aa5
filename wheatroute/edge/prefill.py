"""Predicts the time to first token by a linear model that is fitted to this node's own requests. No I/O.

The model is `base + slope * tokens`, fitted by least squares with exponential forgetting. `tokens` is the
number of prompt tokens that the server has to prefill before the first token: those of the request, and those
of requests queued before it.
"""

from __future__ import annotations

FORGETTING_FACTOR = 0.98  # multiplies the weight of all earlier samples at each new one
PRIOR_BASE_S = 0.1
PRIOR_SLOPE_S = 1 / 50_000  # seconds per token
PRIOR_WEIGHT = 4.0  # number of samples that the prior counts as
PRIOR_TOKENS = 10_000.0  # mean number of tokens in the prior's samples
MIN_SLOPE_RATIO, MAX_SLOPE_RATIO = 0.2, 5.0  # bounds of the fitted slope, as multiples of the prior slope


class PrefillModel:
    """Linear model of the time to first token of one service.

    `base` is in seconds, `slope` in seconds per token.
    """

    def __init__(self) -> None:
        self._weight = 0.0
        self._sum_x = 0.0  # x: tokens
        self._sum_y = 0.0  # y: seconds
        self._sum_xx = 0.0
        self._sum_xy = 0.0
        for tokens in (0.0, 2 * PRIOR_TOKENS):
            self._add_sample(tokens, PRIOR_BASE_S + PRIOR_SLOPE_S * tokens, PRIOR_WEIGHT / 2)
        self.base, self.slope = PRIOR_BASE_S, PRIOR_SLOPE_S

    def _add_sample(self, tokens: float, latency_s: float, weight: float) -> None:
        self._weight += weight
        self._sum_x += weight * tokens
        self._sum_y += weight * latency_s
        self._sum_xx += weight * tokens * tokens
        self._sum_xy += weight * tokens * latency_s

    def _discount_samples(self) -> None:
        self._weight *= FORGETTING_FACTOR
        self._sum_x *= FORGETTING_FACTOR
        self._sum_y *= FORGETTING_FACTOR
        self._sum_xx *= FORGETTING_FACTOR
        self._sum_xy *= FORGETTING_FACTOR

    def predict(self, tokens: float) -> float:
        """Returns the expected time to first token, in seconds."""
        return self.base + self.slope * tokens

    def learn(self, tokens: float, latency_s: float) -> None:
        """Refits the model with one more time to first token, in seconds."""
        self._discount_samples()
        self._add_sample(tokens, latency_s, 1.0)
        determinant = self._weight * self._sum_xx - self._sum_x * self._sum_x
        if determinant <= 0:
            return
        slope = (self._weight * self._sum_xy - self._sum_x * self._sum_y) / determinant
        self.slope = min(MAX_SLOPE_RATIO * PRIOR_SLOPE_S, max(MIN_SLOPE_RATIO * PRIOR_SLOPE_S, slope))
        self.base = max(0.0, (self._sum_y - self.slope * self._sum_x) / self._weight)
