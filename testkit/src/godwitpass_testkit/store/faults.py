"""Faults and limits of the stand-in store, changeable while it runs."""

import msgspec

UNLIMITED_RATE = 1e9


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What goes wrong from now on; the default is nothing.

    `lost_answers` is the number of coming writes that take effect without an answer.
    `read_rate` and `write_rate` are calls a second; a waiting watch is one read.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    watch_delay_s: float = 0.0
    watch_reversed: bool = False
    watch_repeated: bool = False
    read_rate: float = UNLIMITED_RATE
    write_rate: float = UNLIMITED_RATE


class Counts(msgspec.Struct):
    """Calls since the start; refused ones are counted under `refused` alone."""

    reads: int = 0
    writes: int = 0
    watches: int = 0
    refused: int = 0
    bytes_in: int = 0
    bytes_out: int = 0


class RateCap:
    """Admits up to `rate` calls a second, with bursts of up to one second's worth."""

    def __init__(self) -> None:
        self._tokens: float | None = None
        self._at = 0.0

    def admit(self, rate: float, now: float) -> bool:
        """Take one call at time `now`; False when the rate is used up."""
        assert rate > 0, "a rate of nothing is the fault `down`"
        if self._tokens is None:
            self._tokens, self._at = rate, now
        self._tokens = min(rate, self._tokens + max(0.0, now - self._at) * rate)
        self._at = max(self._at, now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
