"""Adaptive concurrency towards one upstream that other daemons share."""

import random

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
GROWTH_PER_ROUND = 0.25
"""The limit grows by this over as many answers as it allows at a time."""

SHED_FACTOR = 0.7
"""The limit is multiplied by this when the upstream sheds a call."""

SLOW_FACTOR = 0.9
"""The limit is multiplied by this when the upstream slows down."""

PAUSE_DECAY = 0.75
"""Each answer shortens the next pause to this share; an upstream in use keeps some memory of it."""

USED_SHARE = 0.7
"""The limit grows only while at least this share of it is in use."""

FIRST_PAUSE_S = 0.01
MAX_PAUSE_S = 0.64
"""Pauses double from the first to the longest while calls are shed."""


class AdaptiveLimit:
    """Additive increase, multiplicative decrease, and a pause after each shed call.

    `slots` bounds the limit: no daemon needs more calls in flight than the upstream runs.
    """

    __slots__ = ("_changed_at", "_pause_s", "_probing", "_slots", "paused_until", "value")

    def __init__(self, slots: int) -> None:
        assert slots >= 1, "an upstream without slots isn't an upstream"
        self._slots = float(slots)
        self.value = min(INITIAL_LIMIT, self._slots)
        self.paused_until = 0.0
        self._probing = True
        self._pause_s = FIRST_PAUSE_S
        self._changed_at = 0.0

    def restart(self) -> None:
        """Begin again with a single call, as after a failure."""
        self.value = MIN_LIMIT
        self._probing = True

    def record_answer(self, in_flight: int) -> None:
        """Grow after an answer if the limit was in use: doubling at first, then slowly."""
        self._pause_s = max(FIRST_PAUSE_S, self._pause_s * PAUSE_DECAY)
        if in_flight < self.value * USED_SHARE:
            return
        step = 1.0 if self._probing else GROWTH_PER_ROUND / self.value
        self.value = min(self._slots, self.value + step)

    def record_shed(self, now: float, window_s: float, rng: random.Random) -> None:
        """Shrink after a shed call, at most once in `window_s`."""
        self._probing = False
        self.paused_until = now + self._pause_s * rng.uniform(0.5, 1.5)
        self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2)
        self._shrink(now, window_s, SHED_FACTOR)

    def record_slow(self, now: float, window_s: float) -> None:
        """Shrink because answers take longer than usual, at most once in `window_s`."""
        self._probing = False
        self._shrink(now, window_s, SLOW_FACTOR)

    def _shrink(self, now: float, window_s: float, factor: float) -> None:
        if now < self._changed_at + window_s:
            return
        self._changed_at = now
        self.value = max(MIN_LIMIT, self.value * factor)
