"""Settings of freshness proofs, with durations in seconds."""

import msgspec

PERMISSION_MARGIN_S = 0.1
"""Part of the time that a withdrawal may take which is left for the hand-over to the upstream."""

CONFIRMATION_SHARE = 0.16
"""Interval between two confirmations as a share of the time that a withdrawal may take.

Five confirmations in a row can fail before proofs expire, at 1.25 calls a second to the store.
"""

DENIAL_CONFIRMATION_SHARE = 0.32
"""The same as a share of the bound on missing routes, which a lost confirmation may not exceed."""


class FreshnessSettings(msgspec.Struct, frozen=True):
    """Bounds on the age of a proof.

    A call with a key needs a proof younger than `permission_s`, unless that is None. A missing
    route or an unknown key is reported as such while a proof is younger than `denial_s`.
    """

    denial_s: float
    permission_s: float | None = None

    @property
    def permission_life_s(self) -> float | None:
        """Return the age below which a proof permits calls with a key."""
        if self.permission_s is None:
            return None
        return max(0.0, self.permission_s - PERMISSION_MARGIN_S)

    @property
    def life_s(self) -> float:
        """Return the age at which a proof is of no use."""
        return max(self.denial_s, self.permission_life_s or 0.0)

    @property
    def interval_s(self) -> float:
        """Return the time between two confirmations by a reader."""
        interval_s = DENIAL_CONFIRMATION_SHARE * self.denial_s
        if self.permission_s is not None:
            interval_s = min(interval_s, CONFIRMATION_SHARE * self.permission_s)
        return max(interval_s, MIN_INTERVAL_S)

    @property
    def fallback_age_s(self) -> float:
        """Return the age from which members other than the parent are asked.

        Half of the shorter bound, but not before one renewal is overdue.
        """
        bounds = [self.denial_s]
        if self.permission_life_s is not None:
            bounds.append(self.permission_life_s)
        return max(min(bounds) / 2, 2 * self.interval_s)


MIN_INTERVAL_S = 0.1
"""Shortest interval, so that a very short bound doesn't load the store."""
