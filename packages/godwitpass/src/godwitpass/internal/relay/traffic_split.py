"""Splits the calls of a route among services by weight."""

import random

from godwitpass.ids import RouteName, ServiceName
from godwitpass.internal.relay.routes import RelayRoute

Shares = tuple[tuple[ServiceName, int], ...]


class TrafficSplitter:
    """Selects the services of each route by smooth weighted round robin.

    The initial weights are random, so that many daemons with few calls each don't all start with
    the same service.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._state: dict[RouteName, tuple[Shares, list[float]]] = {}

    def choose_service(self, route: RelayRoute) -> ServiceName:
        """Return the service of the next call on `route`."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0][0]
        state = self._state.get(route.name)
        if state is None or state[0] != shares:
            state = (shares, self._draw_initial_weights(shares))
            self._state[route.name] = state
        current_weights = state[1]
        total = 0
        for index, (_, weight) in enumerate(shares):
            current_weights[index] += weight
            total += weight
        chosen = max(range(len(shares)), key=current_weights.__getitem__)
        current_weights[chosen] -= total
        return shares[chosen][0]

    def keep_only(self, routes: set[RouteName]) -> None:
        """Remove the state of routes that no longer exist."""
        for name in [name for name in self._state if name not in routes]:
            del self._state[name]

    def _draw_initial_weights(self, shares: Shares) -> list[float]:
        total = sum(weight for _, weight in shares)
        current_weights = [self._rng.uniform(0, total) for _ in shares]
        mean = sum(current_weights) / len(current_weights)
        return [current_weight - mean for current_weight in current_weights]
