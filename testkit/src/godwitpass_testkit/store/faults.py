"""Faults, counters and rate limits of the stand-in store."""

import msgspec

UNLIMITED_CALLS_PER_S = 1e9


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Faults in force; by default there are none.

    `delay_s` delays each call, `watch_delay_s` the visibility of a write to watches.
    `lost_answers` is the number of coming writes that take effect without an answer.
    With `watch_covers_delayed`, answers name the newest revision although they lack a delayed
    write; otherwise they name the one before it. With `watch_at_timeout`, a watch is answered only
    when its time is over.
    `watch_reversed` and `watch_repeated` return changes in reverse order and twice.
    `read_rate` and `write_rate` are calls a second; a watch counts as one read.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    watch_delay_s: float = 0.0
    watch_covers_delayed: bool = False
    watch_at_timeout: bool = False
    watch_reversed: bool = False
    watch_repeated: bool = False
    read_rate: float = UNLIMITED_CALLS_PER_S
    write_rate: float = UNLIMITED_CALLS_PER_S


class Counts(msgspec.Struct):
    """Calls and bytes of values since the start; refused calls count under `refused` only."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class RateLimiter:
    """Token bucket that admits `rate` calls a second and bursts of one second's calls."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._refilled_at_s = 0.0

    def admit(self, rate: float, now: float) -> bool:
        """Return whether a call at time `now` is within `rate`, and take its token."""
        assert rate > 0, "the rate must be positive; use the fault `down` to refuse all calls"
        if self._tokens is None:
            self._tokens, self._refilled_at_s = rate, now
        self._tokens = min(rate, self._tokens + max(0.0, now - self._refilled_at_s) * rate)
        self._refilled_at_s = max(self._refilled_at_s, now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
