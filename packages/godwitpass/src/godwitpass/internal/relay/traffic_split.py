"""Divides the calls of a route among services by weight."""

import random

from godwitpass.ids import RouteName, ServiceName
from godwitpass.internal.relay.routes import RelayRoute

Shares = tuple[tuple[ServiceName, int], ...]


class Splitter:
    """Smooth weighted round robin for each route.

    It begins at a random point, so that many daemons with few calls each don't all begin with the
    same service.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._credits: dict[RouteName, tuple[Shares, list[float]]] = {}

    def choose(self, route: RelayRoute) -> ServiceName:
        """Return the service of the next call on `route`."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0][0]
        held = self._credits.get(route.name)
        if held is None or held[0] != shares:
            held = (shares, self._draw_start(shares))
            self._credits[route.name] = held
        credits = held[1]
        total = 0
        for index, (_, weight) in enumerate(shares):
            credits[index] += weight
            total += weight
        best = max(range(len(shares)), key=credits.__getitem__)
        credits[best] -= total
        return shares[best][0]

    def keep_only(self, routes: set[RouteName]) -> None:
        """Forget the routes that no longer exist."""
        for name in [name for name in self._credits if name not in routes]:
            del self._credits[name]

    def _draw_start(self, shares: Shares) -> list[float]:
        total = sum(weight for _, weight in shares)
        credits = [self._rng.uniform(0, total) for _ in shares]
        mean = sum(credits) / len(credits)
        return [credit - mean for credit in credits]
