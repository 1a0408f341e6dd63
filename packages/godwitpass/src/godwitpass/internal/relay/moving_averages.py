"""Running means for each route, bounded in number."""

from godwitpass.ids import RouteName

MAX_ROUTES = 4_096
"""Routes of which something is remembered; beyond that all is learned anew."""


class RouteAverages:
    """Keeps one mean a route; `gain` is the weight of the newest value."""

    def __init__(self, weight: float) -> None:
        self._weight = weight
        self._averages: dict[RouteName, float] = {}

    def get(self, route: RouteName, default: float) -> float:
        """Return the mean of `route`, or `default` while none was learned."""
        return self._averages.get(route, default)

    def update(self, route: RouteName, value: float) -> None:
        """Take in a value; the first one of a route is its mean."""
        current = self._averages.get(route)
        if current is None and len(self._averages) >= MAX_ROUTES:
            self._averages.clear()
        self._averages[route] = (
            value if current is None else current + self._weight * (value - current)
        )
