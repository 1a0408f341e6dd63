"""Placement of shards: which region serves a shard, and which daemon in that region.

Both are chosen by rendezvous hashing. A daemon knows all daemons of its own region but only a few
of each other region; these forward requests to the daemon that serves the shard.
"""

import heapq
from collections.abc import Iterable

import msgspec
import xxhash

from godwitpass.ids import Address, RegionId
from godwitpass.internal.claims.keys import ShardId

CANDIDATES_PER_SHARD = 3


class Peer(msgspec.Struct, frozen=True):
    """A daemon and its region."""

    address: Address
    region: RegionId


class NextHop(msgspec.Struct, frozen=True):
    """The daemon to send a shard's messages to; a remote one forwards them within its region."""

    address: Address
    is_remote: bool


def compute_rendezvous_weight(shard: ShardId, name: str) -> int:
    """Return the weight of a region or daemon for `shard`; the lowest weight serves the shard."""
    return xxhash.xxh64_intdigest(name.encode(), seed=shard)


class Placement:
    """Ranked candidates for serving each shard, updated as daemons join and leave."""

    def __init__(self, local_peer: Peer) -> None:
        self._local_peer = local_peer
        self._members_by_region: dict[RegionId, set[Address]] = {
            local_peer.region: {local_peer.address}
        }
        self._candidates: dict[ShardId, list[Address]] = {}

    def update(self, joined: Iterable[Peer], left: Iterable[Peer]) -> None:
        """Add and remove daemons; the local one is never removed."""
        for peer in left:
            if peer != self._local_peer:
                self._remove(peer)
        for peer in joined:
            self._add(peer)

    def find_owner_region(self, shard: ShardId) -> RegionId:
        """Return the region that serves `shard`."""
        return min(
            self._members_by_region, key=lambda region: compute_rendezvous_weight(shard, region)
        )

    def find_next_hop(self, shard: ShardId, rank: int) -> NextHop:
        """Return the candidate of the given rank, wrapping around if there are fewer.

        >>> placement = Placement(Peer(Address("10.0.0.1:7000"), RegionId("vest")))
        >>> placement.find_next_hop(ShardId(3), rank=2)
        NextHop(address='10.0.0.1:7000', is_remote=False)
        """
        region = self.find_owner_region(shard)
        candidates = self._candidates.get(shard)
        if candidates is None:
            candidates = self._candidates[shard] = _rank_candidates(
                shard, self._members_by_region[region]
            )
        return NextHop(candidates[rank % len(candidates)], region != self._local_peer.region)

    def find_other_candidates(self, shard: ShardId) -> tuple[Address, ...]:
        """Return the candidates for `shard` but this daemon, none if another region serves it."""
        if self.find_next_hop(shard, 0).is_remote:
            return ()
        return tuple(
            member for member in self._candidates[shard] if member != self._local_peer.address
        )

    def _add(self, peer: Peer) -> None:
        region_members = self._members_by_region.get(peer.region)
        if region_members is None:
            self._members_by_region[peer.region] = {peer.address}
            # The new region may serve some of the shards.
            self._candidates.clear()
            return
        region_members.add(peer.address)
        for shard, candidates in self._candidates.items():
            if self.find_owner_region(shard) == peer.region and peer.address not in candidates:
                self._candidates[shard] = _rank_candidates(shard, (*candidates, peer.address))

    def _remove(self, peer: Peer) -> None:
        region_members = self._members_by_region.get(peer.region, set())
        region_members.discard(peer.address)
        if not region_members:
            self._members_by_region.pop(peer.region, None)
            self._candidates.clear()
            return
        self._candidates = {
            shard: candidates
            for shard, candidates in self._candidates.items()
            if peer.address not in candidates
        }


def _rank_candidates(shard: ShardId, members: Iterable[Address]) -> list[Address]:
    return heapq.nsmallest(
        CANDIDATES_PER_SHARD, members, key=lambda member: compute_rendezvous_weight(shard, member)
    )
