"""Paces the bodies that other daemons send to this one.

All of them share one link. Without pacing a few large bodies fill its queue, and every short
message, signs of life among them, waits behind them for seconds.
"""

import msgspec

WINDOW_S = 0.05
"""Time that the bytes on their way may take; short messages wait about this long behind them."""

MIN_WINDOW_BYTES = 32 * 1024
"""Two parts of a body, so that the link is busy while the next grant is on its way."""

RATE_SAMPLE_S = 0.2
"""Time over which the rate of a busy link is measured."""

RATE_WEIGHT = 0.3
"""Weight of the newest measurement in the rate."""

MIN_RATE_SHARE = 0.2
"""Least part of the declared rate that is believed; other traffic takes the rest."""

BITS_PER_BYTE = 8


class Grant(msgspec.Struct, frozen=True):
    """Lets the sender of call `number` send so many bytes more."""

    call_id: int
    size_bytes: int


class _Body:
    __slots__ = ("granted_bytes", "remaining_bytes")

    def __init__(self, remaining_bytes: int) -> None:
        self.remaining_bytes = remaining_bytes
        self.granted_bytes = 0


class InboundFlowControl:
    """Grants bytes to the bodies that began first.

    `bytes_per_s` is the declared rate of the link; how much of it is left for bodies is measured
    while it is busy.
    """

    def __init__(self, bytes_per_s: float, chunk_bytes: int) -> None:
        self._nominal_bytes_per_s = bytes_per_s
        self._bytes_per_s = bytes_per_s
        self._sample_started_at: float | None = None
        self._sample_bytes = 0
        self._chunk_bytes = chunk_bytes
        self._window_bytes = max(MIN_WINDOW_BYTES, int(bytes_per_s * WINDOW_S))
        self._bodies: dict[int, _Body] = {}
        self._in_flight_bytes = 0

    @property
    def backlog_s(self) -> float:
        """Return the time that the link needs for all bytes still to come."""
        remaining_bytes = sum(body.remaining_bytes for body in self._bodies.values())
        return remaining_bytes / self._bytes_per_s

    @property
    def bytes_per_s(self) -> float:
        """Return the rate at which bodies come."""
        return self._bytes_per_s

    def estimate_transfer_time(self, remaining_bytes: int) -> float:
        """Return the time until a further body of `missing` bytes is in."""
        return self.backlog_s + remaining_bytes / self._bytes_per_s

    def open(self, call_id: int, remaining_bytes: int) -> list[Grant]:
        """Take in a call of whose body `missing` bytes are still to come."""
        self._bodies[call_id] = _Body(remaining_bytes)
        return self._issue_grants()

    def record_chunk(self, call_id: int, size_bytes: int, now: float) -> list[Grant]:
        """Take in that a part of a body has come."""
        self._update_rate(size_bytes, now)
        body = self._bodies.get(call_id)
        if body is None:
            return []
        body.remaining_bytes -= size_bytes
        body.granted_bytes -= size_bytes
        self._in_flight_bytes -= size_bytes
        if body.remaining_bytes <= 0:
            return self.close(call_id)
        return self._issue_grants()

    def close(self, call_id: int) -> list[Grant]:
        """Forget a body that is whole or no longer wanted."""
        body = self._bodies.pop(call_id, None)
        if body is None:
            return []
        self._in_flight_bytes -= body.granted_bytes
        return self._issue_grants()

    def _update_rate(self, size_bytes: int, now: float) -> None:
        if self._in_flight_bytes < self._window_bytes:
            self._sample_started_at = None
            return
        if self._sample_started_at is None:
            self._sample_started_at, self._sample_bytes = now, 0
            return
        self._sample_bytes += size_bytes
        elapsed_s = now - self._sample_started_at
        if elapsed_s >= RATE_SAMPLE_S:
            sample_bytes_per_s = self._sample_bytes / elapsed_s
            sample_bytes_per_s = min(
                self._nominal_bytes_per_s,
                max(MIN_RATE_SHARE * self._nominal_bytes_per_s, sample_bytes_per_s),
            )
            self._bytes_per_s += RATE_WEIGHT * (sample_bytes_per_s - self._bytes_per_s)
            self._sample_started_at, self._sample_bytes = now, 0

    def _issue_grants(self) -> list[Grant]:
        grants: list[Grant] = []
        for call_id, body in self._bodies.items():
            while (
                body.granted_bytes < body.remaining_bytes
                and self._in_flight_bytes < self._window_bytes
            ):
                size_bytes = min(self._chunk_bytes, body.remaining_bytes - body.granted_bytes)
                body.granted_bytes += size_bytes
                self._in_flight_bytes += size_bytes
                grants.append(Grant(call_id, size_bytes))
            if self._in_flight_bytes >= self._window_bytes:
                break
        return grants


def convert_mbps_to_bytes_per_s(mbps: float) -> float:
    """Return the bytes a second of a link given in megabits a second.

    >>> convert_mbps_to_bytes_per_s(8)
    1000000.0
    """
    return mbps * 1_000_000 / BITS_PER_BYTE
