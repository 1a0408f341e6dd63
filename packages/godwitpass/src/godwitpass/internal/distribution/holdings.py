"""Sums up which daemons hold a version, along the tree and across availability zones."""

from collections.abc import Iterable

import msgspec

from godwitpass.ids import NO_VERSION, InstanceId, Version, ZoneId
from godwitpass.internal.distribution.messages import MAX_LAGGARDS, ZoneHoldings


class Convergence(msgspec.Struct, frozen=True):
    """How many of the known daemons hold `version`; `laggards` names a few that don't.

    >>> Convergence(Version(412), 12_998, 13_000, (InstanceId("maal-2"),)).render()
    'version 412: 12998 of 13000, waiting for maal-2'
    """

    version: Version
    holders: int
    daemons: int
    laggards: tuple[InstanceId, ...] = ()

    def render(self) -> str:
        """Return the state of convergence as one line."""
        waiting = f", waiting for {', '.join(self.laggards)}" if self.laggards else ""
        return f"version {self.version}: {self.holders} of {self.daemons}{waiting}"


class ZoneTable:
    """The newest known holdings of each availability zone."""

    def __init__(self) -> None:
        self._zones: dict[ZoneId, ZoneHoldings] = {}

    def record(self, holdings: ZoneHoldings) -> None:
        """Keep `holdings` unless later ones are known."""
        known = self._zones.get(holdings.zone)
        if known is None or _order(holdings) >= _order(known):
            self._zones[holdings.zone] = holdings

    def replace(self, zones: Iterable[ZoneHoldings]) -> None:
        """Take over the table of another daemon where it is newer."""
        for holdings in zones:
            self.record(holdings)

    def forget_all_but(self, zones: Iterable[ZoneId]) -> None:
        """Drop availability zones that have no member any more."""
        present = set(zones)
        self._zones = {zone: held for zone, held in self._zones.items() if zone in present}

    def zones(self) -> tuple[ZoneHoldings, ...]:
        """Return the holdings of all known availability zones."""
        return tuple(self._zones[zone] for zone in sorted(self._zones))

    def sum_up(self) -> Convergence:
        """Return the holdings of the newest version over all availability zones.

        A zone that last reported an older version counts with no holder.
        """
        zones = self._zones.values()
        version = max((held.version for held in zones), default=NO_VERSION)
        holders = sum(held.holders for held in zones if held.version == version)
        daemons = sum(held.daemons for held in zones)
        laggards = [name for held in zones for name in held.laggards]
        return Convergence(version, holders, daemons, tuple(laggards[:MAX_LAGGARDS]))


def _order(holdings: ZoneHoldings) -> tuple[Version, int]:
    return holdings.version, holdings.holders
