"""Ranks the readers of the store as controllers of a service."""

from collections.abc import Iterable, Sequence

import xxhash

from godwitpass.ids import Address, ServiceName, ZoneId
from godwitpass.internal.distribution.tuning import READERS_PER_ZONE
from godwitpass.internal.distribution.view import build_view
from godwitpass.mesh import Member


def list_readers(members: Iterable[Member]) -> tuple[Address, ...]:
    """Return the daemons that read the store, by the ranks that distribution uses."""
    members_by_zone: dict[ZoneId, list[Member]] = {}
    for member in members:
        members_by_zone.setdefault(member.zone, []).append(member)
    return tuple(
        address
        for zone, zone_members in members_by_zone.items()
        for address in build_view(zone_members, zone).ranked_members[:READERS_PER_ZONE]
    )


def rank_candidates(readers: Sequence[Address], service: ServiceName) -> tuple[Address, ...]:
    """Return `readers` by rendezvous hash; the first one controls the roll-outs of `service`."""

    def compute_rank(address: Address) -> tuple[int, Address]:
        return xxhash.xxh64_intdigest(f"{service}\0{address}".encode()), address

    return tuple(sorted(readers, key=compute_rank))
