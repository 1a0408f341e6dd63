"""Counts of requests by customer, with bounded memory."""

from collections import Counter
from enum import Enum

from godwitpass.ids import CustomerName

MAX_COUNTED_CUSTOMERS = 500
"""Bound on the labels of a metric: 500 customers with 8 events are 4,000 time series a daemon."""

OTHER_CUSTOMERS = CustomerName("(other)")
"""Counts the customers beyond the bound; a valid name has no parentheses."""

NO_CUSTOMER = CustomerName("(none)")
"""Counts requests without a valid key."""

RATE_WINDOW_S = 10.0


class AdmissionEvent(Enum):
    """What became of a request at admission."""

    ADMITTED = "admitted"
    NESTED = "nested"
    MISSING_KEY = "missing-key"
    UNKNOWN_KEY = "unknown-key"
    NO_PROOF = "no-proof"
    UNCERTAIN = "uncertain"
    OVER_LIMIT = "over-limit"
    LIMIT_UNKNOWN = "limit-unknown"


class CustomerCounts:
    """Counts requests by customer and event since the start, and their rate of late."""

    def __init__(self) -> None:
        self.totals: Counter[tuple[CustomerName, AdmissionEvent]] = Counter()
        self._names: set[CustomerName] = set()
        self._window_start = 0.0
        self._current: Counter[CustomerName] = Counter()
        self._previous: Counter[CustomerName] = Counter()

    def record(self, customer: CustomerName, event: AdmissionEvent, now: float) -> None:
        """Count one request."""
        name = self._bound(customer)
        self.totals[(name, event)] += 1
        self._rotate(now)
        self._current[name] += 1

    def compute_rate_per_s(self, customer: CustomerName, now: float) -> float:
        """Return the requests a second in the last one to two windows."""
        self._rotate(now)
        elapsed_s = max(now - self._window_start, 0.0)
        count = self._previous[customer] + self._current[customer]
        return count / (RATE_WINDOW_S + elapsed_s)

    def _rotate(self, now: float) -> None:
        passed_s = now - self._window_start
        if passed_s < RATE_WINDOW_S:
            return
        self._previous = self._current if passed_s < 2 * RATE_WINDOW_S else Counter()
        self._current = Counter()
        self._window_start = now - passed_s % RATE_WINDOW_S

    def _bound(self, customer: CustomerName) -> CustomerName:
        if customer in self._names or customer == NO_CUSTOMER:
            return customer
        if len(self._names) >= MAX_COUNTED_CUSTOMERS:
            return OTHER_CUSTOMERS
        self._names.add(customer)
        return customer
