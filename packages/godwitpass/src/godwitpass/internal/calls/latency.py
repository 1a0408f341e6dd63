"""Moving averages of each route's latency, the baseline that upstreams are compared with."""

from godwitpass.ids import RouteName

MEAN_WEIGHT = 0.02
DEVIATION_WEIGHT = 0.05
"""Weights of the newest sample; the n-th sample of a route weighs 1 / n if that is more."""

MIN_HEDGE_SAMPLES = 20
HEDGE_DEVIATIONS = 4.0
"""A hedge starts this many mean deviations above the mean latency."""

MIN_HEDGE_DELAY_S = 0.005
MIN_MEAN_S = 1e-6
"""Lower bound of the mean, so that the ratio of a latency to it stays finite."""

MAX_SAMPLE_RATIO = 10.0
"""A sample counts as at most this many times the mean, so that outliers hardly move it."""


class RouteLatency:
    """Exponentially weighted mean and mean absolute deviation of one route's latency."""

    __slots__ = ("deviation_s", "mean_s", "sample_count")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.sample_count = 0

    def record(self, latency_s: float) -> float:
        """Record a latency and return its ratio to the mean of the earlier ones."""
        self.sample_count += 1
        if self.sample_count == 1:
            self.mean_s = max(latency_s, MIN_MEAN_S)
            return 1.0
        ratio = latency_s / self.mean_s
        weight = max(MEAN_WEIGHT, 1.0 / self.sample_count)
        capped_s = min(latency_s, MAX_SAMPLE_RATIO * self.mean_s)
        sample_deviation_s = abs(capped_s - self.mean_s)
        self.mean_s = max(MIN_MEAN_S, self.mean_s + weight * (capped_s - self.mean_s))
        self.deviation_s += max(DEVIATION_WEIGHT, 1.0 / self.sample_count) * (
            sample_deviation_s - self.deviation_s
        )
        return ratio


class LatencyTracker:
    """Latencies of the routes of one service."""

    def __init__(self) -> None:
        self._latency_by_route: dict[RouteName, RouteLatency] = {}

    def record(self, route: RouteName, latency_s: float) -> float:
        """Record a latency and return its ratio to the route's mean so far."""
        latency = self._latency_by_route.get(route)
        if latency is None:
            latency = self._latency_by_route[route] = RouteLatency()
        return latency.record(latency_s)

    def estimate_latency_s(self, route: RouteName) -> float:
        """Return the route's mean latency, 0 while there are no samples."""
        latency = self._latency_by_route.get(route)
        return latency.mean_s if latency is not None else 0.0

    def compute_hedge_delay_s(self, route: RouteName) -> float | None:
        """Return the seconds after which to hedge an attempt, or None with too few samples."""
        latency = self._latency_by_route.get(route)
        if latency is None or latency.sample_count < MIN_HEDGE_SAMPLES:
            return None
        slow_threshold_s = latency.mean_s + HEDGE_DEVIATIONS * latency.deviation_s
        return max(MIN_HEDGE_DELAY_S, slow_threshold_s)
