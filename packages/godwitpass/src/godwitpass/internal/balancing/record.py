"""Load, latency and failure measurements of one upstream, as one daemon made them."""

from enum import IntEnum

from godwitpass.ids import RegionId, ZoneId
from godwitpass.internal.admission.limit import AdaptiveConcurrencyLimit
from godwitpass.mesh import Upstream

SLOWNESS_WEIGHT = 0.2
FAILURE_RATE_WEIGHT = 0.15
"""Weights of the newest call in the moving averages of slowness and failure rate."""

FAILURE_SLOWNESS = 10.0
"""A failure counts as a response that took this many times the usual latency."""

MAX_SLOWNESS = 50.0
SLOWNESS_HALF_LIFE_S = 5.0
"""Without new calls, slowness in excess of 1 halves in this time."""

NEGLIGIBLE_SLOWNESS_EXCESS = 0.1
"""A smaller decayed excess counts as 0, so that the upstream receives calls again."""

MAX_UPLOAD_SHARE = 0.5
"""Share of an upstream's concurrency limit that uploads may use."""


class Tier(IntEnum):
    """Distance of an upstream from the daemon; lower values are nearer."""

    ZONE = 0
    REGION = 1
    ELSEWHERE = 2


def classify_tier(upstream: Upstream, zone: ZoneId, region: RegionId) -> Tier:
    """Return the tier of `upstream` for a daemon in `zone` and `region`."""
    if upstream.region != region:
        return Tier.ELSEWHERE
    return Tier.ZONE if upstream.zone == zone else Tier.REGION


class UpstreamRecord:
    """Calls in flight, latency and failures of one upstream.

    `slowness` is a moving average of latency relative to the route's usual one; 1 is usual.
    `upload_count` includes stalled uploads, which `in_flight` leaves out.
    """

    __slots__ = (
        "ejected_until",
        "ejection_count",
        "failure_rate",
        "in_flight",
        "limit",
        "measured_at",
        "sample_count",
        "slowness",
        "tier",
        "upload_count",
        "upstream",
    )

    def __init__(self, upstream: Upstream, tier: Tier) -> None:
        self.upstream = upstream
        self.tier = tier
        self.limit = AdaptiveConcurrencyLimit(upstream.slots)
        self.in_flight = 0
        self.upload_count = 0
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.sample_count = 0
        self.measured_at = 0.0
        self.ejected_until = 0.0
        self.ejection_count = 0

    def is_usable(self, now: float) -> bool:
        """Whether the upstream is neither ejected nor backing off."""
        return now >= self.ejected_until and now >= self.limit.backoff_until

    def has_capacity(self, is_upload: bool) -> bool:
        """Whether the concurrency limit allows one more call."""
        if self.in_flight >= int(self.limit.value):
            return False
        return not is_upload or self.upload_count < max(1.0, self.limit.value * MAX_UPLOAD_SHARE)

    def estimate_cost(self, now: float) -> float:
        """Return the expected time to a response, in multiples of the usual latency."""
        return self._compute_decayed_slowness(now) * (self.in_flight + 1)

    def record_response(self, latency_ratio: float, now: float) -> None:
        """Record a response that took `latency_ratio` times the usual latency of its route."""
        self._update_slowness(min(latency_ratio, MAX_SLOWNESS), now)
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT

    def record_failure(self, now: float) -> None:
        """Record a failed call."""
        self._update_slowness(FAILURE_SLOWNESS, now)
        self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate)

    def _compute_decayed_slowness(self, now: float) -> float:
        """Return the slowness, with its excess over 1 decayed by the time without calls."""
        excess = self.slowness - 1.0
        if excess <= 0.0:
            return self.slowness
        remaining_excess = excess * 0.5 ** ((now - self.measured_at) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + remaining_excess if remaining_excess >= NEGLIGIBLE_SLOWNESS_EXCESS else 1.0

    def _update_slowness(self, latency_ratio: float, now: float) -> None:
        slowness = self._compute_decayed_slowness(now)
        self.slowness = slowness + SLOWNESS_WEIGHT * (latency_ratio - slowness)
        self.sample_count += 1
        self.measured_at = now
