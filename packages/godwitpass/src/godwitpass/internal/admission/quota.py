"""A daemon's own bound on calls in progress, shared fairly between services."""

from collections import Counter

from godwitpass.ids import ServiceName

MAX_CALLS = 512
"""Calls in progress in one daemon; bounds its memory."""

CROWDED_SHARE = 0.5
"""Above this share of the bound, a single service may hold no more than this share."""


class CallQuota:
    """Counts the calls in progress by service."""

    def __init__(self, capacity: int = MAX_CALLS) -> None:
        self._capacity = capacity
        self._shared = int(capacity * CROWDED_SHARE)
        self._by_service: Counter[ServiceName] = Counter()
        self.total = 0

    def take(self, service: ServiceName) -> bool:
        """Count one more call; False when the daemon or the service's share is full."""
        if self.total >= self._capacity:
            return False
        if self.total >= self._shared and self._by_service[service] >= self._shared:
            return False
        self._by_service[service] += 1
        self.total += 1
        return True

    def give_back(self, service: ServiceName) -> None:
        """Count one call less."""
        assert self._by_service[service] > 0, "a call gives back what it took, once"
        self._by_service[service] -= 1
        self.total -= 1
