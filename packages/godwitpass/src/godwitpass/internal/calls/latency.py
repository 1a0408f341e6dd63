"""The usual latency of each route, against which upstreams are compared."""

from godwitpass.ids import RouteName

MEAN_WEIGHT = 0.02
DEVIATION_WEIGHT = 0.05
MIN_SAMPLES = 20
HEDGE_DEVIATIONS = 4.0
MIN_HEDGE_DELAY_S = 0.005


class RouteLatency:
    """Slow-moving mean and mean deviation of a route's latency, in seconds."""

    __slots__ = ("deviation_s", "mean_s", "samples")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.samples = 0

    def compare(self, latency_s: float) -> float:
        """Return how many times the usual latency this one is, then take it in."""
        self.samples += 1
        if self.samples == 1:
            self.mean_s = max(latency_s, 1e-6)
            return 1.0
        ratio = latency_s / self.mean_s
        weight = max(MEAN_WEIGHT, 1.0 / self.samples)
        capped = min(latency_s, 10.0 * self.mean_s)
        deviation = abs(capped - self.mean_s)
        self.mean_s = max(1e-6, self.mean_s + weight * (capped - self.mean_s))
        self.deviation_s += max(DEVIATION_WEIGHT, 1.0 / self.samples) * (
            deviation - self.deviation_s
        )
        return ratio


class LatencyBook:
    """The latencies of a service's routes."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, RouteLatency] = {}

    def compare(self, route: RouteName, latency_s: float) -> float:
        """Return how many times the route's usual latency this one is, then take it in."""
        latency = self._routes.get(route)
        if latency is None:
            latency = self._routes[route] = RouteLatency()
        return latency.compare(latency_s)

    def estimate(self, route: RouteName) -> float:
        """Return the usual latency, 0 while unknown."""
        latency = self._routes.get(route)
        return latency.mean_s if latency is not None else 0.0

    def choose_hedge_delay(self, route: RouteName) -> float | None:
        """Return after how many seconds an attempt is unusually slow, None while unknown."""
        latency = self._routes.get(route)
        if latency is None or latency.samples < MIN_SAMPLES:
            return None
        slow = latency.mean_s + HEDGE_DEVIATIONS * latency.deviation_s
        return max(MIN_HEDGE_DELAY_S, slow)

    def keep_only(self, routes: frozenset[RouteName]) -> None:
        """Forget routes that no longer exist."""
        self._routes = {name: kept for name, kept in self._routes.items() if name in routes}
