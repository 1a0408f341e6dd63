"""Shares the loop's time among connections whose input is costly to parse."""

from godwitpass_daemon.http.limits import (
    CONNECTION_PARSE_SHARE,
    FREE_PARSE_S,
    MAX_DELAY_S,
    MIN_DELAY_S,
    PARSE_SHARE,
)


class ParseShare:
    """Gives each costly slice its time after those of other connections.

    >>> share = ParseShare()
    >>> round(share.reserve(0.005, now=10.0), 3), round(share.reserve(0.005, now=10.0), 3)
    (0.05, 0.1)
    """

    def __init__(self) -> None:
        self._free_at = 0.0

    def reserve(self, cost_s: float, now: float) -> float:
        """Return how long the connection must pause after a slice that took `cost_s`."""
        self._free_at = min(max(self._free_at, now) + cost_s / PARSE_SHARE, now + MAX_DELAY_S)
        delay_s = self._free_at - now
        return delay_s if delay_s >= MIN_DELAY_S else 0.0


class ParseCost:
    """Parser time of one connection, which shrinks as time goes by.

    >>> cost = ParseCost(now=0.0)
    >>> cost.add(0.00015, now=0.0), cost.add(0.00015, now=0.0), cost.add(0.00015, now=1.0)
    (False, True, False)
    """

    def __init__(self, now: float) -> None:
        self._cost_s = 0.0
        self._updated_at = now

    def add(self, cost_s: float, now: float) -> bool:
        """Add the time of one slice, and return whether the connection must be delayed."""
        shrinkage_s = (now - self._updated_at) * CONNECTION_PARSE_SHARE
        self._cost_s = max(0.0, self._cost_s - shrinkage_s) + cost_s
        self._updated_at = now
        return self._cost_s > FREE_PARSE_S
