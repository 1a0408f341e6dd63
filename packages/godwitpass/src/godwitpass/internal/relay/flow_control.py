"""Flow control for the request bodies that other daemons send to this one.

All bodies share one link. Without flow control a few large bodies fill its queue and delay every
short message by seconds, including the messages that prove that a daemon is alive.
"""

import msgspec

WINDOW_S = 0.05
"""Transfer time of the bytes in flight; they delay a short message by about as much."""

MIN_WINDOW_BYTES = 32 * 1024
"""Two chunks, which keep the link busy while the next grant is on its way to the sender."""

RATE_SAMPLE_S = 0.2
"""Duration of one measurement of a busy link's rate."""

RATE_WEIGHT = 0.3
"""Weight of the newest measurement in the moving average of the rate."""

MIN_RATE_SHARE = 0.2
"""Lower bound of the measured rate, as a share of the nominal one; other traffic uses the rest."""

BITS_PER_BYTE = 8


class Grant(msgspec.Struct, frozen=True):
    """Permission for the sender of call `call_id` to send `size_bytes` more of its body."""

    call_id: int
    size_bytes: int


class _Body:
    """Bytes of one body that are still to arrive, and those of them that were granted."""

    __slots__ = ("granted_bytes", "remaining_bytes")

    def __init__(self, remaining_bytes: int) -> None:
        self.remaining_bytes = remaining_bytes
        self.granted_bytes = 0


class InboundFlowControl:
    """Grants bytes to request bodies, in the order in which they were opened.

    `bytes_per_s` is the nominal rate of the link; the share that bodies get is measured while the
    link is busy.
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
        """Return the seconds that the link needs for all outstanding bytes."""
        remaining_bytes = sum(body.remaining_bytes for body in self._bodies.values())
        return remaining_bytes / self._bytes_per_s

    @property
    def bytes_per_s(self) -> float:
        """Return the measured rate at which bodies arrive."""
        return self._bytes_per_s

    def estimate_transfer_time_s(self, remaining_bytes: int) -> float:
        """Estimate the seconds until a new body of `remaining_bytes` has arrived."""
        return self.backlog_s + remaining_bytes / self._bytes_per_s

    def open(self, call_id: int, remaining_bytes: int) -> list[Grant]:
        """Register a call of whose body `remaining_bytes` are still to arrive."""
        self._bodies[call_id] = _Body(remaining_bytes)
        return self._issue_grants()

    def record_chunk(self, call_id: int, size_bytes: int, now: float) -> list[Grant]:
        """Record the arrival of a chunk of a body."""
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
        """Drop a body that is complete or no longer needed."""
        body = self._bodies.pop(call_id, None)
        if body is None:
            return []
        self._in_flight_bytes -= body.granted_bytes
        return self._issue_grants()

    def _update_rate(self, size_bytes: int, now: float) -> None:
        """Measure the rate of arrival while the granted bytes fill the window."""
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
    """Convert the rate of a link from megabits to bytes per second.

    >>> convert_mbps_to_bytes_per_s(8)
    1000000.0
    """
    return mbps * 1_000_000 / BITS_PER_BYTE
