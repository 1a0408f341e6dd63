"""Sums up which daemons hold a version, along the tree and across availability zones."""

from collections.abc import Iterable

import msgspec

from godwitpass.ids import NO_VERSION, InstanceId, Version, ZoneId
from godwitpass.internal.distribution.messages import MAX_LAGGARDS, ZoneHoldings

ZONE_EXPIRY_S = 200.0
"""Longer than three periods in which an availability zone repeats its holdings."""


class ConvergenceStatus(msgspec.Struct, frozen=True):
    """How many of the known daemons hold `version`; `laggards` names a few that don't.

    `unheard` names availability zones whose holdings are unknown; their daemons aren't counted.

    >>> Convergence(Version(412), 12_998, 13_000, (InstanceId("maal-2"),)).render()
    'version 412: 12998 of 13000, waiting for maal-2'
    """

    version: Version
    holder_count: int
    daemon_count: int
    laggards: tuple[InstanceId, ...] = ()
    unreported_zones: tuple[ZoneId, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Tell whether every known daemon holds the version."""
        return self.holder_count == self.daemon_count and not self.unreported_zones

    def render(self) -> str:
        """Return the state of convergence as one line."""
        waiting = f", waiting for {', '.join(self.laggards)}" if self.laggards else ""
        unreported_zones = f", nothing heard from {', '.join(self.unreported_zones)}" if self.unreported_zones else ""
        return f"version {self.version}: {self.holder_count} of {self.daemon_count}{waiting}{unreported_zones}"


class ZoneHoldingsTable:
    """The newest known holdings of each availability zone.

    A zone with members in view stays, unheard of if need be; another one is forgotten when
    nothing is heard of it for `ZONE_EXPIRY_S`.
    """

    def __init__(self) -> None:
        self._zones: dict[ZoneId, ZoneHoldings] = {}
        self._heard_at: dict[ZoneId, float] = {}
        self._present: set[ZoneId] = set()

    def record(self, holdings: ZoneHoldings, now: float) -> None:
        """Keep `holdings` unless those of a later version are known."""
        known = self._zones.get(holdings.zone)
        if known is None or holdings.version >= known.version:
            self._zones[holdings.zone] = holdings
            self._heard_at[holdings.zone] = now

    def replace(self, zones: Iterable[ZoneHoldings], now: float) -> None:
        """Take over the table of another daemon where it is newer."""
        for holdings in zones:
            self.record(holdings, now)

    def change_view(self, zones: Iterable[ZoneId]) -> None:
        """Expect to hear of the availability zones that have members in view."""
        self._present = set(zones)

    def remove_expired(self, now: float) -> None:
        """Drop availability zones that have no member in view and say nothing."""
        for zone, heard_at in list(self._heard_at.items()):
            if zone not in self._present and now - heard_at > ZONE_EXPIRY_S:
                del self._zones[zone], self._heard_at[zone]

    def zones(self) -> tuple[ZoneHoldings, ...]:
        """Return the holdings of all known availability zones."""
        return tuple(self._zones[zone] for zone in sorted(self._zones))

    def summarize(self) -> ConvergenceStatus:
        """Return the holdings of the newest version over all availability zones.

        A zone that last reported an older version counts with no holder.
        """
        zones = self._zones.values()
        version = max((held.version for held in zones), default=NO_VERSION)
        holder_count = sum(held.holder_count for held in zones if held.version == version)
        daemon_count = sum(held.daemon_count for held in zones)
        laggards = [name for held in zones for name in held.laggards]
        unreported_zones = tuple(sorted(self._present - self._zones.keys()))
        return ConvergenceStatus(version, holder_count, daemon_count, tuple(laggards[:MAX_LAGGARDS]), unreported_zones)
