"""Which daemon serves a shard: one region for each shard, and in it one daemon.

Both are chosen by rendezvous hashing. Daemons of a region know each other in full, and of other
regions a few contacts, who pass a request on to the daemon that serves the shard.
"""

import heapq
from collections.abc import Iterable

import msgspec
import xxhash

from godwitpass.ids import Address, RegionId
from godwitpass.internal.claims.keys import ShardId

RANKED_HOLDERS = 3


class Peer(msgspec.Struct, frozen=True):
    """A daemon with its region."""

    address: Address
    region: RegionId


class Holder(msgspec.Struct, frozen=True):
    """Where to send what is for a shard; a contact passes it on within its region."""

    address: Address
    is_contact: bool


def weigh(shard: ShardId, name: str) -> int:
    """Return the order of a region or daemon for `shard`; the lowest serves it."""
    return xxhash.xxh64_intdigest(name.encode(), seed=shard)


class Placement:
    """The first holders of each shard, kept while other daemons come and go."""

    def __init__(self, own: Peer) -> None:
        self._own = own
        self._members: dict[RegionId, set[Address]] = {own.region: {own.address}}
        self._ranked: dict[ShardId, list[Address]] = {}

    def update(self, joined: Iterable[Peer], left: Iterable[Peer]) -> None:
        """Add and remove daemons; this one always stays."""
        for peer in left:
            if peer != self._own:
                self._remove(peer)
        for peer in joined:
            self._add(peer)

    def find_region(self, shard: ShardId) -> RegionId:
        """Return the region that serves `shard`."""
        return min(self._members, key=lambda region: weigh(shard, region))

    def holder(self, shard: ShardId, rank: int) -> Holder:
        """Return the daemon to ask at the given rank, over again where there are fewer.

        >>> placement = Placement(Peer(Address("10.0.0.1:7000"), RegionId("vest")))
        >>> placement.holder(ShardId(3), rank=2)
        Holder(address='10.0.0.1:7000', is_contact=False)
        """
        region = self.find_region(shard)
        ranked = self._ranked.get(shard)
        if ranked is None:
            ranked = self._ranked[shard] = _rank(shard, self._members[region])
        return Holder(ranked[rank % len(ranked)], region != self._own.region)

    def successors(self, shard: ShardId) -> tuple[Address, ...]:
        """Return the other daemons of this region among the first holders of `shard`."""
        if self.holder(shard, 0).is_contact:
            return ()
        return tuple(member for member in self._ranked[shard] if member != self._own.address)

    def _add(self, peer: Peer) -> None:
        known = self._members.get(peer.region)
        if known is None:
            self._members[peer.region] = {peer.address}
            # Another region may take shards over.
            self._ranked.clear()
            return
        known.add(peer.address)
        for shard, ranked in self._ranked.items():
            if self.find_region(shard) == peer.region and peer.address not in ranked:
                self._ranked[shard] = _rank(shard, (*ranked, peer.address))

    def _remove(self, peer: Peer) -> None:
        known = self._members.get(peer.region, set())
        known.discard(peer.address)
        if not known:
            self._members.pop(peer.region, None)
            self._ranked.clear()
            return
        self._ranked = {
            shard: ranked for shard, ranked in self._ranked.items() if peer.address not in ranked
        }


def _rank(shard: ShardId, members: Iterable[Address]) -> list[Address]:
    return heapq.nsmallest(RANKED_HOLDERS, members, key=lambda member: weigh(shard, member))
