"""The members that a daemon knows, and the distribution tree that follows from them.

All daemons of an availability zone rank its members by the class of their links and a hash of
their ids, so that they agree on readers and tree without exchanging a message: the first members
read the store, and the one at position p pushes to the `FAN_OUT` positions from p * FAN_OUT + 1.
Full documents and most of the traffic thus pass over the fastest links.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from godwitpass.ids import Address, InstanceId, ZoneId
from godwitpass.internal.distribution.tuning import (
    FAN_OUT,
    READERS_PER_ZONE,
    SUBSTITUTES_PER_READER,
)
from godwitpass.mesh import Member, MemberState


class ReaderRanking(msgspec.Struct, frozen=True):
    """The daemons of all zones that read the store, and those that may in their place, by rank."""

    readers: tuple[Address, ...]
    substitutes: tuple[Address, ...]

    def compute_phase(self, address: Address) -> float:
        """Return the middle of the part of 1 that belongs to `address`.

        The readers share 1 evenly; a substitute has the part of a reader.
        """
        ranked = (*self.readers, *self.substitutes)
        rank = ranked.index(address) if address in ranked else 0
        return (rank % len(self.readers) + 0.5) / len(self.readers)

    def choose_substitute(self, reader: Address, attempt: int) -> Address | None:
        """Return the substitute that `reader` tells at its `attempt`, in turn, or None."""
        if reader not in self.readers or not self.substitutes:
            return None
        return self.substitutes[(self.readers.index(reader) + attempt) % len(self.substitutes)]


class View(msgspec.Struct, frozen=True):
    """Members of the own availability zone and known members of the others, each by rank.

    `positions` is the index of each address in `ranked_members`.
    """

    zone: ZoneId
    ranked_members: tuple[Address, ...]
    positions: dict[Address, int]
    instances: dict[Address, InstanceId]
    remote_members: dict[ZoneId, tuple[Address, ...]]

    def find_position(self, address: Address) -> int | None:
        """Return the position of `address` in the tree of this zone, or None."""
        return self.positions.get(address)

    def is_reader(self, address: Address) -> bool:
        """Return whether the daemon at `address` reads the store."""
        position = self.positions.get(address)
        return position is not None and position < READERS_PER_ZONE

    def rank_readers(self) -> "ReaderRanking":
        """Return the readers of all zones and their substitutes."""
        members_by_zone = {**self.remote_members, self.zone: self.ranked_members}
        zones = sorted(members_by_zone)

        def list_members(positions: range) -> tuple[Address, ...]:
            return tuple(
                members_by_zone[zone][position]
                for position in positions
                for zone in zones
                if position < len(members_by_zone[zone])
            )

        end = READERS_PER_ZONE * (1 + SUBSTITUTES_PER_READER)
        return ReaderRanking(
            list_members(range(READERS_PER_ZONE)), list_members(range(READERS_PER_ZONE, end))
        )

    def list_following_zones(self, count: int) -> list[ZoneId]:
        """Return up to `count` availability zones that follow the own one in a ring of all."""
        zone_ring = sorted([self.zone, *self.remote_members])
        start = zone_ring.index(self.zone)
        return [
            zone_ring[(start + distance) % len(zone_ring)]
            for distance in range(1, min(count, len(zone_ring) - 1) + 1)
        ]


def get_rank(member: Member) -> tuple[int, int, str]:
    """Return the sort key of a member: fast links first, then by a hash of its id."""
    id_hash = xxhash.xxh64_intdigest(member.instance.encode())
    return -member.link_class, id_hash, member.instance


def build_view(members: Iterable[Member], zone: ZoneId) -> View:
    """Build the view of a daemon in `zone`, without members that are dead or have left."""
    excluded_states = (MemberState.DEAD, MemberState.LEFT)
    members_by_zone: dict[ZoneId, list[Address]] = {zone: []}
    instances: dict[Address, InstanceId] = {}
    for member in sorted(
        (item for item in members if item.state not in excluded_states), key=get_rank
    ):
        members_by_zone.setdefault(member.zone, []).append(member.address)
        if member.zone == zone:
            instances[member.address] = member.instance
    ranked_members = tuple(members_by_zone.pop(zone))
    positions = {address: position for position, address in enumerate(ranked_members)}
    remote_members = {other: tuple(addresses) for other, addresses in members_by_zone.items()}
    return View(zone, ranked_members, positions, instances, remote_members)


def list_child_positions(position: int, size: int) -> range:
    """Return the child positions of `position` in a tree of `size` daemons."""
    first = position * FAN_OUT + 1
    return range(min(first, size), min(first + FAN_OUT, size))


def find_parent_position(position: int) -> int | None:
    """Return the parent position of `position`, or None for the root."""
    return (position - 1) // FAN_OUT if position else None


def compute_subtree_size(position: int, size: int) -> int:
    """Return the number of daemons in the subtree at `position`, in a tree of `size` daemons.

    >>> compute_subtree_size(0, 100), compute_subtree_size(1, 10), compute_subtree_size(9, 10)
    (100, 2, 1)
    """
    # Each iteration adds the positions from `first` to `last`, which are one level of the tree.
    first, last, total = position, position, 0
    while first < size:
        total += min(last, size - 1) - first + 1
        first, last = first * FAN_OUT + 1, last * FAN_OUT + FAN_OUT
    return total
