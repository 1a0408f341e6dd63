"""Limit on the calls in progress in one daemon, shared between services."""

from collections import Counter

from godwitpass.ids import ServiceName

MAX_CALLS_IN_PROGRESS = 512
"""Calls in progress in one daemon; bounds its memory use."""

MAX_SERVICE_SHARE = 0.5
"""Largest share of the limit for one service, enforced once the total reaches this share."""


class ConcurrencyLimit:
    """Counts calls in progress, in total and by service."""

    def __init__(self, limit: int = MAX_CALLS_IN_PROGRESS) -> None:
        self._limit = limit
        self._service_limit = int(limit * MAX_SERVICE_SHARE)
        self._by_service: Counter[ServiceName] = Counter()
        self.total = 0

    def acquire(self, service: ServiceName) -> bool:
        """Count one more call; return False when the daemon's or the service's limit is reached."""
        if self.total >= self._limit:
            return False
        if self.total >= self._service_limit and self._by_service[service] >= self._service_limit:
            return False
        self._by_service[service] += 1
        self.total += 1
        return True

    def release(self, service: ServiceName) -> None:
        """Count one call less; call it once for each successful `acquire`."""
        assert self._by_service[service] > 0, f"release without acquire for service {service!r}"
        self._by_service[service] -= 1
        self.total -= 1
