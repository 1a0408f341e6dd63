"""Flow control for the request bodies that other daemons send to this one.

All bodies share one link. Without flow control a few large bodies fill its queue and delay every
short message by seconds, including the messages that prove that a daemon is alive.
"""

import msgspec

from godwitpass.internal.relay.link_rate import LinkRate

WINDOW_S = 0.05
"""Transfer time of the bytes in flight; they delay a short message by about as much."""

MIN_WINDOW_BYTES = 32 * 1024
"""Two chunks, which keep the link busy while the next grant is on its way to the sender."""


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
        self._rate = LinkRate(bytes_per_s)
        self._chunk_bytes = chunk_bytes
        self._window_bytes = max(MIN_WINDOW_BYTES, int(bytes_per_s * WINDOW_S))
        self._bodies: dict[int, _Body] = {}
        self._in_flight_bytes = 0

    @property
    def backlog_s(self) -> float:
        """Return the seconds that the link needs for all outstanding bytes."""
        remaining_bytes = sum(body.remaining_bytes for body in self._bodies.values())
        return remaining_bytes / self.bytes_per_s

    @property
    def bytes_per_s(self) -> float:
        """Return the measured rate at which bodies arrive."""
        return self._rate.bytes_per_s

    def estimate_transfer_time_s(self, remaining_bytes: int) -> float:
        """Estimate the seconds until a new body of `remaining_bytes` has arrived."""
        return self.backlog_s + remaining_bytes / self.bytes_per_s

    def open(self, call_id: int, remaining_bytes: int) -> list[Grant]:
        """Register a call of whose body `remaining_bytes` are still to arrive."""
        self._bodies[call_id] = _Body(remaining_bytes)
        return self._issue_grants()

    def record_chunk(self, call_id: int, size_bytes: int, now: float) -> list[Grant]:
        """Record the arrival of a chunk of a body."""
        self._rate.record(size_bytes, self._in_flight_bytes >= self._window_bytes, now)
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
