"""Flow control for the large responses that this daemon sends to others.

All responses leave by one link. Without flow control a few large ones fill its queue and delay the
short ones, among them those of nested calls, whose callers then fail.
"""

import math

import msgspec

from godwitpass.internal.relay.flow_control import MIN_WINDOW_BYTES, WINDOW_S
from godwitpass.internal.relay.link_rate import LinkRate

STALLED_AFTER_S = 1.5
"""A receiver that confirms nothing for this long no longer takes part of the window."""


class Permit(msgspec.Struct, frozen=True):
    """Permission to send `size_bytes` more of the response to call `call_id`."""

    call_id: int
    size_bytes: int


class _Response:
    """Bytes of one response that are unconfirmed, and those of them that were permitted."""

    __slots__ = ("confirmed_at", "is_stalled", "permitted_bytes", "remaining_bytes")

    def __init__(self, remaining_bytes: int) -> None:
        self.remaining_bytes = remaining_bytes
        self.permitted_bytes = 0
        self.confirmed_at = math.inf
        self.is_stalled = False


class OutboundFlowControl:
    """Permits the bytes of responses in the order in which the responses were opened.

    The receivers confirm what has arrived, so only as much is on its way as the link carries in
    `WINDOW_S`. `bytes_per_s` is the nominal rate of the link.
    """

    def __init__(self, bytes_per_s: float, chunk_bytes: int) -> None:
        self._rate = LinkRate(bytes_per_s)
        self._chunk_bytes = chunk_bytes
        self._window_bytes = max(MIN_WINDOW_BYTES, int(bytes_per_s * WINDOW_S))
        self._expected_bytes: dict[int, float] = {}
        self._responses: dict[int, _Response] = {}
        self._in_flight_bytes = 0

    @property
    def bytes_per_s(self) -> float:
        """Return the measured rate at which responses leave."""
        return self._rate.bytes_per_s

    @property
    def backlog_s(self) -> float:
        """Return the seconds that the link needs for all responses, those to come included."""
        remaining_bytes = sum(response.remaining_bytes for response in self._responses.values())
        return (remaining_bytes + sum(self._expected_bytes.values())) / self.bytes_per_s

    def estimate_delay_s(self, expected_bytes: float, service_time_s: float) -> float:
        """Estimate by how many seconds the link delays a response that takes `service_time_s`."""
        queueing_s = max(0.0, self.backlog_s - service_time_s)
        return queueing_s + expected_bytes / self.bytes_per_s

    def reserve(self, call_id: int, expected_bytes: float) -> None:
        """Register an admitted call whose response is expected to have `expected_bytes`."""
        self._expected_bytes[call_id] = expected_bytes

    def open(self, call_id: int, size_bytes: int, now: float) -> list[Permit]:
        """Register `size_bytes` of a response that are ready, in place of the expected ones."""
        self._expected_bytes.pop(call_id, None)
        response = self._responses.setdefault(call_id, _Response(0))
        response.remaining_bytes += size_bytes
        return self._issue_permits(now)

    def record_received(self, call_id: int, size_bytes: int, now: float) -> list[Permit]:
        """Record that the receiver has confirmed `size_bytes` of a response."""
        is_busy = self._in_flight_bytes >= self._window_bytes
        self._rate.record(size_bytes, is_busy, now)
        response = self._responses.get(call_id)
        if response is None:
            return []
        if response.is_stalled:
            response.is_stalled = False
            self._in_flight_bytes += response.permitted_bytes
        confirmed_bytes = min(size_bytes, response.permitted_bytes)
        response.remaining_bytes -= confirmed_bytes
        response.permitted_bytes -= confirmed_bytes
        response.confirmed_at = now
        self._in_flight_bytes -= confirmed_bytes
        return self._issue_permits(now)

    def close(self, call_id: int, now: float) -> list[Permit]:
        """Drop a response that is complete or no longer needed."""
        self._expected_bytes.pop(call_id, None)
        response = self._responses.pop(call_id, None)
        if response is None:
            return []
        if not response.is_stalled:
            self._in_flight_bytes -= response.permitted_bytes
        return self._issue_permits(now)

    def skip_stalled(self, now: float) -> list[Permit]:
        """Free the window of responses whose receivers have confirmed nothing for long."""
        for response in self._responses.values():
            silence_s = now - response.confirmed_at
            is_waiting = response.permitted_bytes > 0 and not response.is_stalled
            if is_waiting and silence_s > STALLED_AFTER_S:
                response.is_stalled = True
                self._in_flight_bytes -= response.permitted_bytes
        return self._issue_permits(now)

    def _issue_permits(self, now: float) -> list[Permit]:
        permits: list[Permit] = []
        for call_id, response in self._responses.items():
            if self._in_flight_bytes >= self._window_bytes:
                break
            if response.is_stalled:
                continue
            if not response.permitted_bytes:
                response.confirmed_at = now
            while (
                response.permitted_bytes < response.remaining_bytes
                and self._in_flight_bytes < self._window_bytes
            ):
                size_bytes = min(
                    self._chunk_bytes, response.remaining_bytes - response.permitted_bytes
                )
                response.permitted_bytes += size_bytes
                self._in_flight_bytes += size_bytes
                permits.append(Permit(call_id, size_bytes))
        return permits
