"""Adaptive concurrency limit for one upstream, which other daemons use at the same time."""

import random

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
INCREASE_PER_ROUND = 0.25
"""Increase of the limit per round; a round is as many responses as the limit allows in flight."""

SHED_DECREASE_FACTOR = 0.7
"""Multiplies the limit when the upstream sheds a call."""

SLOW_DECREASE_FACTOR = 0.9
"""Multiplies the limit when the upstream responds more slowly than usual."""

BACKOFF_DECAY = 0.75
"""Multiplies the next backoff on each response; recent shedding still lengthens it for a while."""

MIN_USED_SHARE = 0.7
"""Share of the limit that must be in use for the limit to grow."""

INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.64
"""The backoff doubles from the initial to the maximum value while the upstream sheds calls."""


class AdaptiveConcurrencyLimit:
    """Additive increase, multiplicative decrease (AIMD), and a backoff after each shed call.

    `slots` caps the limit: the upstream runs no more calls than that at a time.
    """

    __slots__ = (
        "_backoff_s",
        "_is_in_slow_start",
        "_last_decrease_at",
        "_slots",
        "backoff_until",
        "value",
    )

    def __init__(self, slots: int) -> None:
        assert slots >= 1, f"an upstream needs at least one slot, got {slots}"
        self._slots = float(slots)
        self.value = min(INITIAL_LIMIT, self._slots)
        self.backoff_until = 0.0
        self._is_in_slow_start = True
        self._backoff_s = INITIAL_BACKOFF_S
        self._last_decrease_at = 0.0

    def reset_to_minimum(self) -> None:
        """Allow a single call in flight and start growing again, as after a failure."""
        self.value = MIN_LIMIT
        self._is_in_slow_start = True

    def record_response(self, in_flight: int) -> None:
        """Increase the limit after a response if enough of it was in use.

        The limit doubles each round (slow start) until the first shed or slow response.
        """
        self._backoff_s = max(INITIAL_BACKOFF_S, self._backoff_s * BACKOFF_DECAY)
        if in_flight < self.value * MIN_USED_SHARE:
            return
        step = 1.0 if self._is_in_slow_start else INCREASE_PER_ROUND / self.value
        self.value = min(self._slots, self.value + step)

    def record_shed(self, now: float, window_s: float, rng: random.Random) -> None:
        """Back off after a shed call; decrease the limit at most once per `window_s`."""
        self._is_in_slow_start = False
        self.backoff_until = now + self._backoff_s * rng.uniform(0.5, 1.5)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
        self._decrease(now, window_s, SHED_DECREASE_FACTOR)

    def record_slow(self, now: float, window_s: float) -> None:
        """Decrease the limit after a slow response, at most once per `window_s`."""
        self._is_in_slow_start = False
        self._decrease(now, window_s, SLOW_DECREASE_FACTOR)

    def _decrease(self, now: float, window_s: float, factor: float) -> None:
        if now < self._last_decrease_at + window_s:
            return
        self._last_decrease_at = now
        self.value = max(MIN_LIMIT, self.value * factor)
