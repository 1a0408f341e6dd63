"""Memory that the requests of callers take together, and which of them make room for others."""

from collections.abc import Callable
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


class HeldRequest(Protocol):
    """A request that holds `held_bytes` of the budget, 0 once it has ended."""

    held_bytes: int


class RequestBudget:
    """Counts the bytes held for requests; `limit_bytes` is their bound.

    Requests larger than `SMALL_REQUEST_BYTES` have to stay within `large_limit_bytes`. One request
    that can't, of up to `max_single_bytes`, doesn't count, so that a body within the document's
    limits is served.
    If the bound is exceeded, the incomplete requests without progress for the longest time are
    refused first, because they would keep their memory while complete ones soon release it. Those
    with progress in the last `min_stall_s` on the clock `now` are spared.
    """

    def __init__(
        self,
        limit_bytes: int,
        max_single_bytes: int = 0,
        now: Callable[[], float] = lambda: 0.0,
        min_stall_s: float = 0.0,
    ) -> None:
        self.limit_bytes = limit_bytes
        self._max_single_bytes = max_single_bytes
        self._single: HeldRequest | None = None
        self.large_limit_bytes = int(limit_bytes * (1 - SMALL_REQUEST_RESERVE))
        self.held_bytes = 0
        self._now = now
        self._min_stall_s = min_stall_s
        self._incomplete: dict[Holder, float] = {}

    def record_progress(self, holder: Holder) -> None:
        """Note that the incomplete request of `holder` has grown."""
        self._incomplete.pop(holder, None)
        self._incomplete[holder] = self._now()

    def forget(self, holder: Holder) -> None:
        """Note that `holder` has no incomplete request."""
        self._incomplete.pop(holder, None)

    def has_room(self, request_bytes: int, request: HeldRequest | None = None) -> bool:
        """Make room for a request that holds `request_bytes` already; return whether it fits."""
        is_small = request_bytes <= SMALL_REQUEST_BYTES
        limit_bytes = self.limit_bytes if is_small else self.large_limit_bytes
        if request is not None and request_bytes > self.large_limit_bytes:
            self._exempt(request)
        while self._count_bytes() > limit_bytes and self._incomplete:
            holder, progress_at = next(iter(self._incomplete.items()))
            if self._now() - progress_at < self._min_stall_s:
                break
            del self._incomplete[holder]
            holder.make_room()
        return self._count_bytes() <= limit_bytes

    def _count_bytes(self) -> int:
        """Return the bytes that count, without those of the single exempt request."""
        single = self._single
        if single is None or single.held_bytes > self._max_single_bytes:
            return self.held_bytes
        return self.held_bytes - single.held_bytes

    def _exempt(self, request: HeldRequest) -> None:
        """Let `request` not count, unless another one doesn't already."""
        if self._single is None or not self._single.held_bytes:
            self._single = request
