"""Running means for each route, bounded in number."""

from godwitpass.ids import RouteName

MAX_ROUTES = 4_096
"""Routes of which something is remembered; beyond that all is learned anew."""


class RouteMeans:
    """Keeps one mean a route; `gain` is the weight of the newest value."""

    def __init__(self, gain: float) -> None:
        self._gain = gain
        self._means: dict[RouteName, float] = {}

    def get(self, route: RouteName, default: float) -> float:
        """Return the mean of `route`, or `default` while none was learned."""
        return self._means.get(route, default)

    def learn(self, route: RouteName, value: float) -> None:
        """Take in a value; the first one of a route is its mean."""
        held = self._means.get(route)
        if held is None and len(self._means) >= MAX_ROUTES:
            self._means.clear()
        self._means[route] = value if held is None else held + self._gain * (value - held)
