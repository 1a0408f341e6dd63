"""The part of a service's upstreams that one daemon uses, so that connections stay bounded."""

from collections.abc import Sequence

from xxhash import xxh64_intdigest

from godwitpass.ids import InstanceId, RegionId, ZoneId
from godwitpass.internal.balancing.record import Tier, measure_tier
from godwitpass.mesh import Upstream

MIN_SUBSET = 4
MIN_FARTHER = 2
"""Upstreams outside the own availability zone that are kept for spilling."""

CONNECTION_SHARE = 0.75
"""The share of an upstream's connections that daemons plan to use."""


def plan_subset_size(upstreams: int, daemons: int, connections: int) -> int:
    """Return how many upstreams a daemon uses when all daemons call the service.

    >>> plan_subset_size(upstreams=1_000, daemons=13_000, connections=110)
    6
    """
    if upstreams == 0:
        return 0
    planned = int(CONNECTION_SHARE * connections * upstreams / max(1, daemons))
    return min(upstreams, max(MIN_SUBSET, planned))


def choose_subset(
    own: InstanceId,
    zone: ZoneId,
    region: RegionId,
    upstreams: Sequence[Upstream],
    size: int,
) -> list[Upstream]:
    """Return `size` upstreams by rendezvous hashing, nearer ones first, some farther ones kept.

    One upstream that comes or goes changes one entry.
    """
    if size >= len(upstreams):
        return list(upstreams)

    def rank(upstream: Upstream) -> tuple[Tier, int]:
        score = xxh64_intdigest(f"{own}/{upstream.instance}".encode())
        return measure_tier(upstream, zone, region), score

    ranked = sorted(upstreams, key=rank)
    near = [found for found in ranked if measure_tier(found, zone, region) is Tier.ZONE]
    farther = ranked[len(near) :]
    kept_farther = min(len(farther), max(MIN_FARTHER, size - len(near)))
    return near[: size - kept_farther] + farther[:kept_farther]


def plan_idle_seconds(upstreams: int, daemons: int, connections: int, longest_s: float) -> float:
    """Return how long an unused connection is kept, shorter where daemons outnumber connections.

    >>> plan_idle_seconds(upstreams=100, daemons=13_000, connections=110, longest_s=3.0)
    0.476
    """
    held = plan_subset_size(upstreams, daemons, connections) * daemons
    planned = CONNECTION_SHARE * connections * upstreams
    if held <= planned:
        return longest_s
    return round(longest_s * planned / held, 3)
