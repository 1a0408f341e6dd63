"""Paces the bodies that other daemons send to this one.

All of them share one link. Without pacing a few large bodies fill its queue, and every short
message, signs of life among them, waits behind them for seconds.
"""

import msgspec

WINDOW_S = 0.05
"""Time that the bytes on their way may take; short messages wait about this long behind them."""

MIN_WINDOW_BYTES = 32 * 1024
"""Two parts of a body, so that the link is busy while the next grant is on its way."""

MEASURE_S = 0.2
"""Time over which the rate of a busy link is measured."""

RATE_GAIN = 0.3
"""Weight of the newest measurement in the rate."""

MIN_RATE_SHARE = 0.2
"""Least part of the declared rate that is believed; other traffic takes the rest."""

BITS_PER_BYTE = 8


class Grant(msgspec.Struct, frozen=True):
    """Lets the sender of call `number` send so many bytes more."""

    number: int
    size: int


class _Body:
    __slots__ = ("granted", "missing")

    def __init__(self, missing: int) -> None:
        self.missing = missing
        self.granted = 0


class Inbound:
    """Grants bytes to the bodies that began first.

    `bytes_per_s` is the declared rate of the link; how much of it is left for bodies is measured
    while it is busy.
    """

    def __init__(self, bytes_per_s: float, part_bytes: int) -> None:
        self._declared = bytes_per_s
        self._bytes_per_s = bytes_per_s
        self._busy_since: float | None = None
        self._busy_bytes = 0
        self._part_bytes = part_bytes
        self._window = max(MIN_WINDOW_BYTES, int(bytes_per_s * WINDOW_S))
        self._bodies: dict[int, _Body] = {}
        self._on_the_way = 0

    @property
    def backlog_s(self) -> float:
        """Return the time that the link needs for all bytes still to come."""
        missing = sum(body.missing for body in self._bodies.values())
        return missing / self._bytes_per_s

    @property
    def bytes_per_s(self) -> float:
        """Return the rate at which bodies come."""
        return self._bytes_per_s

    def expect_transfer(self, missing: int) -> float:
        """Return the time until a further body of `missing` bytes is in."""
        return self.backlog_s + missing / self._bytes_per_s

    def open(self, number: int, missing: int) -> list[Grant]:
        """Take in a call of whose body `missing` bytes are still to come."""
        self._bodies[number] = _Body(missing)
        return self._grant()

    def receive(self, number: int, size: int, now: float) -> list[Grant]:
        """Take in that a part of a body has come."""
        self._measure(size, now)
        body = self._bodies.get(number)
        if body is None:
            return []
        body.missing -= size
        body.granted -= size
        self._on_the_way -= size
        if body.missing <= 0:
            return self.close(number)
        return self._grant()

    def close(self, number: int) -> list[Grant]:
        """Forget a body that is whole or no longer wanted."""
        body = self._bodies.pop(number, None)
        if body is None:
            return []
        self._on_the_way -= body.granted
        return self._grant()

    def _measure(self, size: int, now: float) -> None:
        if self._on_the_way < self._window:
            self._busy_since = None
            return
        if self._busy_since is None:
            self._busy_since, self._busy_bytes = now, 0
            return
        self._busy_bytes += size
        elapsed_s = now - self._busy_since
        if elapsed_s >= MEASURE_S:
            rate = self._busy_bytes / elapsed_s
            rate = min(self._declared, max(MIN_RATE_SHARE * self._declared, rate))
            self._bytes_per_s += RATE_GAIN * (rate - self._bytes_per_s)
            self._busy_since, self._busy_bytes = now, 0

    def _grant(self) -> list[Grant]:
        grants: list[Grant] = []
        for number, body in self._bodies.items():
            while body.granted < body.missing and self._on_the_way < self._window:
                size = min(self._part_bytes, body.missing - body.granted)
                body.granted += size
                self._on_the_way += size
                grants.append(Grant(number, size))
            if self._on_the_way >= self._window:
                break
        return grants


def convert_mbps_to_bytes_per_s(mbps: float) -> float:
    """Return the bytes a second of a link given in megabits a second.

    >>> convert_mbps_to_bytes_per_s(8)
    1000000.0
    """
    return mbps * 1_000_000 / BITS_PER_BYTE
