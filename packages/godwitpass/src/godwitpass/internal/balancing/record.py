"""What one daemon measured of one upstream."""

from enum import IntEnum

from godwitpass.ids import RegionId, ZoneId
from godwitpass.internal.admission.limit import AdaptiveLimit
from godwitpass.mesh import Upstream

SLOWNESS_WEIGHT = 0.2
FAILURE_WEIGHT = 0.15
FAILURE_SLOWNESS = 10.0
"""A failure counts as an answer that took this many times as long as usual."""

MAX_SLOWNESS = 50.0
FORGET_S = 5.0
"""After this time without a call, half of a bad measurement is forgotten."""

NEGLIGIBLE_EXCESS = 0.1
"""Less slowness than this counts as none, so that an upstream is tried again."""

UPLOAD_SHARE = 0.5
"""Uploads may hold this share of an upstream's limit."""


class Tier(IntEnum):
    """How far an upstream is; nearer ones come first."""

    ZONE = 0
    REGION = 1
    ELSEWHERE = 2


def measure_tier(upstream: Upstream, zone: ZoneId, region: RegionId) -> Tier:
    """Return how far `upstream` is from a daemon in `zone` and `region`."""
    if upstream.region != region:
        return Tier.ELSEWHERE
    return Tier.ZONE if upstream.zone == zone else Tier.REGION


class UpstreamRecord:
    """Calls in flight, latency and failures of one upstream; `slowness` is 1 when usual."""

    __slots__ = (
        "ejected_until",
        "ejections",
        "failure_rate",
        "in_flight",
        "limit",
        "measured_at",
        "samples",
        "slowness",
        "tier",
        "uploads",
        "upstream",
    )

    def __init__(self, upstream: Upstream, tier: Tier) -> None:
        self.upstream = upstream
        self.tier = tier
        self.limit = AdaptiveLimit(upstream.slots)
        self.in_flight = 0
        self.uploads = 0
        self.slowness = 1.0
        self.failure_rate = 0.0
        self.samples = 0
        self.measured_at = 0.0
        self.ejected_until = 0.0
        self.ejections = 0

    def is_usable(self, now: float) -> bool:
        """Whether new calls may go to the upstream at all."""
        return now >= self.ejected_until and now >= self.limit.paused_until

    def has_room(self, upload: bool) -> bool:
        """Whether the limit leaves room for one more call."""
        if self.in_flight >= int(self.limit.value):
            return False
        return not upload or self.uploads < max(1.0, self.limit.value * UPLOAD_SHARE)

    def estimate_cost(self, now: float) -> float:
        """Return the expected wait for an answer, in units of the usual latency."""
        return self._recall_slowness(now) * (self.in_flight + 1)

    def record_answer(self, ratio: float, now: float) -> None:
        """Take in an answer that took `ratio` times as long as usual on its route."""
        self._measure(min(ratio, MAX_SLOWNESS), now)
        self.failure_rate *= 1.0 - FAILURE_WEIGHT

    def record_failure(self, now: float) -> None:
        """Take in a failed call."""
        self._measure(FAILURE_SLOWNESS, now)
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate)

    def _recall_slowness(self, now: float) -> float:
        """Return the slowness, of which the part above 1 fades without new calls."""
        excess = self.slowness - 1.0
        if excess <= 0.0:
            return self.slowness
        remembered = excess * 0.5 ** ((now - self.measured_at) / FORGET_S)
        return 1.0 + remembered if remembered >= NEGLIGIBLE_EXCESS else 1.0

    def _measure(self, ratio: float, now: float) -> None:
        slowness = self._recall_slowness(now)
        self.slowness = slowness + SLOWNESS_WEIGHT * (ratio - slowness)
        self.samples += 1
        self.measured_at = now
