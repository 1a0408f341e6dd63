"""Settings of freshness proofs, with durations in seconds."""

import msgspec


class FreshnessSettings(msgspec.Struct, frozen=True):
    """Bounds on the age of a proof.

    A call with a key needs a proof younger than `permission_s`, unless that is None. A missing
    route or an unknown key is reported as such while a proof is younger than `denial_s`.
    """

    denial_s: float
    permission_s: float | None = None
