"""Memory that the requests of callers take together, and which of them make room for others."""

from typing import Protocol

SMALL_REQUEST_BYTES = 64 * 1024
"""Requests up to this size may use the whole budget, larger ones all but a reserve."""

SMALL_REQUEST_RESERVE = 0.1
"""Share of the budget that only small requests may use."""


class Holder(Protocol):
    """A connection that holds memory for a request that is not complete."""

    def make_room(self) -> None:
        """Refuse the incomplete request, or close the connection."""
        ...


class RequestBudget:
    """Counts the bytes held for requests; `limit_bytes` is their bound.

    Requests larger than `SMALL_REQUEST_BYTES` have to stay within `large_limit_bytes`.
    If the bound is exceeded, the incomplete requests without progress for the longest time are
    refused first, because they would keep their memory while complete ones soon release it.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.large_limit_bytes = int(limit_bytes * (1 - SMALL_REQUEST_RESERVE))
        self.held_bytes = 0
        self._incomplete: dict[Holder, None] = {}

    def record_progress(self, holder: Holder) -> None:
        """Note that the incomplete request of `holder` has grown."""
        self._incomplete.pop(holder, None)
        self._incomplete[holder] = None

    def forget(self, holder: Holder) -> None:
        """Note that `holder` has no incomplete request."""
        self._incomplete.pop(holder, None)

    def has_room(self, request_bytes: int) -> bool:
        """Make room for a request that holds `request_bytes` already; return whether it fits."""
        is_small = request_bytes <= SMALL_REQUEST_BYTES
        limit_bytes = self.limit_bytes if is_small else self.large_limit_bytes
        while self.held_bytes > limit_bytes and self._incomplete:
            holder = next(iter(self._incomplete))
            del self._incomplete[holder]
            holder.make_room()
        return self.held_bytes <= limit_bytes
