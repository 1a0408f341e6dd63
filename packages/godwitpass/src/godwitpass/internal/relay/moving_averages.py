"""Moving averages per route, with a bounded number of routes."""

from godwitpass.ids import RouteName

MAX_ROUTES = 4_096
"""Upper bound of the remembered routes; beyond it all averages are discarded."""


class RouteAverages:
    """Keeps an exponential moving average per route; `weight` is that of the newest value."""

    def __init__(self, weight: float) -> None:
        self._weight = weight
        self._averages: dict[RouteName, float] = {}

    def get(self, route: RouteName, default: float) -> float:
        """Return the average of `route`, or `default` if it has none yet."""
        return self._averages.get(route, default)

    def update(self, route: RouteName, value: float) -> None:
        """Add a value to the average of `route`; the first value initializes it."""
        current = self._averages.get(route)
        if current is None and len(self._averages) >= MAX_ROUTES:
            self._averages.clear()
        self._averages[route] = (
            value if current is None else current + self._weight * (value - current)
        )
