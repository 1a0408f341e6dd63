"""Which daemon serves a shard: rendezvous hashing over the members that are alive."""

import heapq
from collections.abc import Iterable

import xxhash

from godwitpass.ids import Address
from godwitpass.internal.claims.keys import ShardId

RANKED_HOLDERS = 3


def weigh(shard: ShardId, member: Address) -> int:
    """Return the order of `member` among the holders of `shard`; the lowest serves it."""
    return xxhash.xxh64_intdigest(member.encode(), seed=shard)


def _rank(shard: ShardId, members: Iterable[Address]) -> list[Address]:
    return heapq.nsmallest(RANKED_HOLDERS, members, key=lambda member: weigh(shard, member))


class Placement:
    """The first holders of each shard, kept while other daemons come and go."""

    def __init__(self, own: Address) -> None:
        self._own = own
        self._members = {own}
        self._ranked: dict[ShardId, list[Address]] = {}

    def update(self, joined: Iterable[Address], left: Iterable[Address]) -> None:
        """Add and remove daemons; this one always stays."""
        for member in left:
            if member != self._own:
                self._remove(member)
        for member in joined:
            self._add(member)

    def successors(self, shard: ShardId) -> tuple[Address, ...]:
        """Return the other daemons among the first holders of `shard`."""
        self.holder(shard, 0)
        return tuple(member for member in self._ranked[shard] if member != self._own)

    def holder(self, shard: ShardId, rank: int) -> Address:
        """Return the daemon to ask at the given rank, over again where there are fewer.

        >>> placement = Placement(Address("10.0.0.1:7000"))
        >>> placement.holder(ShardId(3), rank=2)
        '10.0.0.1:7000'
        """
        ranked = self._ranked.get(shard)
        if ranked is None:
            ranked = self._ranked[shard] = _rank(shard, self._members)
        return ranked[rank % len(ranked)]

    def _add(self, member: Address) -> None:
        if member in self._members:
            return
        self._members.add(member)
        for shard, ranked in self._ranked.items():
            self._ranked[shard] = _rank(shard, (*ranked, member))

    def _remove(self, member: Address) -> None:
        self._members.discard(member)
        self._ranked = {s: ranked for s, ranked in self._ranked.items() if member not in ranked}
