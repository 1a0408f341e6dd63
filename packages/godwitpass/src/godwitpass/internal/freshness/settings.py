"""Settings of freshness proofs, with durations in seconds."""

import msgspec

PERMISSION_MARGIN_S = 0.1
"""Part of the time that a withdrawal may take which is left for the hand-over to the upstream."""

CONFIRMATION_SHARE = 0.16
"""Interval between two confirmations as a share of the time that a withdrawal may take."""

APPLY_CONFIRMATION_SHARE = 0.32
"""The same as a share of the time until a version is in force, so that two may fail in a row."""


class FreshnessSettings(msgspec.Struct, frozen=True):
    """Bounds on the age of a proof.

    `apply_s` is the time after which a stored version is in force everywhere: a missing route or an
    unknown key is reported as such while a proof is younger. `revoke_s` is the time after which a
    withdrawn key is refused even by daemons that are out of touch, None without such a bound.
    Calls with a key need a proof that keeps both bounds.
    """

    apply_s: float
    revoke_s: float | None = None

    @property
    def permission_life_s(self) -> float | None:
        """Return the age below which a proof permits calls with a key."""
        if self.revoke_s is None:
            return None
        return max(0.0, min(self.revoke_s, self.apply_s) - PERMISSION_MARGIN_S)

    @property
    def life_s(self) -> float:
        """Return the age at which a proof is of no use."""
        return max(self.apply_s, self.permission_life_s or 0.0)

    @property
    def interval_s(self) -> float:
        """Return the time between two confirmations by a reader."""
        interval_s = APPLY_CONFIRMATION_SHARE * self.apply_s
        if self.revoke_s is not None:
            interval_s = min(interval_s, CONFIRMATION_SHARE * self.revoke_s)
        return max(interval_s, MIN_INTERVAL_S)

    @property
    def fallback_age_s(self) -> float:
        """Return the age from which members other than the parent are asked.

        Half of the shorter bound, but not before one renewal is overdue.
        """
        bounds = [self.apply_s]
        if self.permission_life_s is not None:
            bounds.append(self.permission_life_s)
        return max(min(bounds) / 2, 2 * self.interval_s)


MIN_INTERVAL_S = 0.1
"""Shortest interval, so that a very short bound doesn't load the store."""
