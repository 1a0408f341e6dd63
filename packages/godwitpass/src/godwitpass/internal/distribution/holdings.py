"""Counts how many daemons hold a version, for each availability zone and in total."""

from collections.abc import Iterable

import msgspec

from godwitpass.ids import NO_VERSION, InstanceId, Version, ZoneId
from godwitpass.internal.distribution.messages import MAX_LAGGARDS, ZoneHoldings

ZONE_EXPIRY_S = 200.0
"""Time after which a silent availability zone is removed: more than three publishing intervals."""


class ConvergenceStatus(msgspec.Struct, frozen=True):
    """How many of the known daemons hold `version`; `laggards` names a few that don't.

    `unreported_zones` names availability zones whose holdings are unknown; their daemons are not
    counted.

    >>> ConvergenceStatus(Version(412), 12_998, 13_000, (InstanceId("maal-2"),)).render()
    'version 412: 12998 of 13000, waiting for maal-2'
    """

    version: Version
    holder_count: int
    daemon_count: int
    laggards: tuple[InstanceId, ...] = ()
    unreported_zones: tuple[ZoneId, ...] = ()

    @property
    def is_complete(self) -> bool:
        """Return whether every known daemon holds the version."""
        return self.holder_count == self.daemon_count and not self.unreported_zones

    def render(self) -> str:
        """Return the status as one line of text."""
        waiting_note = f", waiting for {', '.join(self.laggards)}" if self.laggards else ""
        unreported_note = (
            f", nothing heard from {', '.join(self.unreported_zones)}"
            if self.unreported_zones
            else ""
        )
        return (
            f"version {self.version}: {self.holder_count} of {self.daemon_count}"
            f"{waiting_note}{unreported_note}"
        )


class ZoneHoldingsTable:
    """The newest known holdings of each availability zone.

    A zone with members in the view is kept even if it does not report. Any other zone is removed
    when it has not reported for `ZONE_EXPIRY_S`.
    """

    def __init__(self) -> None:
        self._zones: dict[ZoneId, ZoneHoldings] = {}
        self._heard_at: dict[ZoneId, float] = {}
        self._zones_in_view: set[ZoneId] = set()

    def record(self, holdings: ZoneHoldings, now: float) -> None:
        """Store `holdings` unless those of a later version are known for the zone."""
        current = self._zones.get(holdings.zone)
        if current is None or holdings.version >= current.version:
            self._zones[holdings.zone] = holdings
            self._heard_at[holdings.zone] = now

    def merge(self, zones: Iterable[ZoneHoldings], now: float) -> None:
        """Store the holdings of another daemon's table that are not older than the known ones."""
        for holdings in zones:
            self.record(holdings, now)

    def update_zones_in_view(self, zones: Iterable[ZoneId]) -> None:
        """Set the availability zones that have members in the view."""
        self._zones_in_view = set(zones)

    def remove_expired(self, now: float) -> None:
        """Remove availability zones without members in the view that stopped reporting."""
        for zone, heard_at in list(self._heard_at.items()):
            if zone not in self._zones_in_view and now - heard_at > ZONE_EXPIRY_S:
                del self._zones[zone], self._heard_at[zone]

    def list_zones(self) -> tuple[ZoneHoldings, ...]:
        """Return the holdings of all known availability zones."""
        return tuple(self._zones[zone] for zone in sorted(self._zones))

    def summarize(self) -> ConvergenceStatus:
        """Return the holdings of the newest version over all availability zones.

        A zone that last reported an older version counts as having no holders.
        """
        zones = self._zones.values()
        version = max((holdings.version for holdings in zones), default=NO_VERSION)
        holder_count = sum(
            holdings.holder_count for holdings in zones if holdings.version == version
        )
        daemon_count = sum(holdings.daemon_count for holdings in zones)
        laggards = [name for holdings in zones for name in holdings.laggards]
        unreported_zones = tuple(sorted(self._zones_in_view - self._zones.keys()))
        return ConvergenceStatus(
            version, holder_count, daemon_count, tuple(laggards[:MAX_LAGGARDS]), unreported_zones
        )
