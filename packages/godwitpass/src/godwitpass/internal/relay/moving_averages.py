"""Moving averages per route, with a bounded number of routes."""

from godwitpass.ids import RouteName

MAX_ROUTES = 4_096
"""Upper bound of the remembered routes; beyond it all averages are discarded."""


class RouteAverages:
    """Keeps exponential moving averages per route of a value and of its deviation.

    `weight` is that of the newest value.
    """

    def __init__(self, weight: float) -> None:
        self._weight = weight
        self._averages: dict[RouteName, float] = {}
        self._deviations: dict[RouteName, float] = {}

    def get(self, route: RouteName, default: float) -> float:
        """Return the average of `route`, or `default` if it has none yet."""
        return self._averages.get(route, default)

    def get_deviation(self, route: RouteName) -> float:
        """Return the mean absolute deviation of the values of `route`; 0 without any."""
        return self._deviations.get(route, 0.0)

    def update(self, route: RouteName, value: float) -> None:
        """Add a value to the average of `route`; the first value initializes it."""
        current = self._averages.get(route)
        if current is None and len(self._averages) >= MAX_ROUTES:
            self._averages.clear()
            self._deviations.clear()
        if current is None:
            self._averages[route] = value
            return
        self._averages[route] = current + self._weight * (value - current)
        deviation = self._deviations.get(route, 0.0)
        self._deviations[route] = deviation + self._weight * (abs(value - current) - deviation)
