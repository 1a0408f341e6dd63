"""Subsetting: one daemon uses a part of a service's upstreams, which bounds connections."""

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from godwitpass.ids import InstanceId, RegionId, ZoneId
from godwitpass.internal.balancing.record import Tier, classify_tier
from godwitpass.mesh import Upstream

MIN_SUBSET_SIZE = 4
MIN_REMOTE_UPSTREAMS = 2
"""Upstreams outside the daemon's availability zone that are kept for spillover."""

PLANNED_CONNECTION_SHARE = 0.75
"""Share of an upstream's connection limit that all daemons together plan to use."""


def compute_subset_size(upstreams: int, daemons: int, connections: int) -> int:
    """Return the number of upstreams per daemon, assuming that all daemons call the service.

    `connections` is the connection limit of one upstream.

    >>> compute_subset_size(upstreams=1_000, daemons=13_000, connections=110)
    6
    """
    if upstreams == 0:
        return 0
    planned_size = int(PLANNED_CONNECTION_SHARE * connections * upstreams / max(1, daemons))
    return min(upstreams, max(MIN_SUBSET_SIZE, planned_size))


def choose_subset(
    instance: InstanceId,
    zone: ZoneId,
    region: RegionId,
    upstreams: Sequence[Upstream],
    subset_size: int,
) -> list[Upstream]:
    """Return `subset_size` upstreams by rendezvous hashing: nearest first, some remote ones kept.

    An upstream that joins or leaves changes at most one entry.
    """
    if subset_size >= len(upstreams):
        return list(upstreams)

    def rank(upstream: Upstream) -> tuple[Tier, int]:
        score = xxh64_intdigest(f"{instance}/{upstream.instance}".encode())
        return classify_tier(upstream, zone, region), score

    ranked_upstreams = sorted(upstreams, key=rank)
    zone_upstreams = [
        upstream
        for upstream in ranked_upstreams
        if classify_tier(upstream, zone, region) is Tier.ZONE
    ]
    remote_upstreams = ranked_upstreams[len(zone_upstreams) :]
    remote_count = min(
        len(remote_upstreams), max(MIN_REMOTE_UPSTREAMS, subset_size - len(zone_upstreams))
    )
    return zone_upstreams[: subset_size - remote_count] + remote_upstreams[:remote_count]


def compute_idle_timeout_s(
    upstreams: int, daemons: int, connections: int, max_idle_s: float
) -> float:
    """Return the seconds that an idle connection is kept open, at most `max_idle_s`.

    The timeout shrinks in proportion when the daemons' subsets need more connections than planned.

    >>> compute_idle_timeout_s(upstreams=100, daemons=13_000, connections=110, max_idle_s=3.0)
    0.476
    """
    connections_in_use = compute_subset_size(upstreams, daemons, connections) * daemons
    planned_connections = PLANNED_CONNECTION_SHARE * connections * upstreams
    if connections_in_use <= planned_connections:
        return max_idle_s
    return round(max_idle_s * planned_connections / connections_in_use, 3)
