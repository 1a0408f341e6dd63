"""What a daemon knows of its peers, and the tree that follows from it.

All daemons of an availability zone order its members by the class of their links and a hash of
their ids, so that they agree on readers and tree without exchanging a message: the first ones read
the store, and the daemon at position p passes versions on to the positions from p * FAN_OUT + 1.
Whole documents and most of the traffic thus pass over the fastest links.
"""

from collections.abc import Iterable

import msgspec
import xxhash

from godwitpass.ids import Address, InstanceId, ZoneId
from godwitpass.internal.distribution.tuning import FAN_OUT, READERS_PER_ZONE
from godwitpass.mesh import Member, MemberState


class View(msgspec.Struct, frozen=True):
    """Members of the own availability zone by rank, and known members of the others by rank."""

    zone: ZoneId
    ranked_members: tuple[Address, ...]
    positions: dict[Address, int]
    instances: dict[Address, InstanceId]
    remote: dict[ZoneId, tuple[Address, ...]]

    def find_position(self, address: Address) -> int | None:
        """Return the position of `address` in the tree of this availability zone."""
        return self.positions.get(address)

    def is_reader(self, address: Address) -> bool:
        """Tell whether `address` reads the store."""
        position = self.positions.get(address)
        return position is not None and position < READERS_PER_ZONE

    def list_following_zones(self, count: int) -> list[ZoneId]:
        """Return the `count` availability zones after the own one, in a ring of all."""
        ring = sorted([self.zone, *self.remote])
        start = ring.index(self.zone)
        return [
            ring[(start + step) % len(ring)] for step in range(1, min(count, len(ring) - 1) + 1)
        ]


def _rank(member: Member) -> tuple[int, int, str]:
    spread = xxhash.xxh64_intdigest(member.instance.encode())
    return -member.link_class, spread, member.instance


def build_view(members: Iterable[Member], zone: ZoneId) -> View:
    """Build the view of a daemon in `zone`; members believed dead or gone are left out."""
    gone = (MemberState.DEAD, MemberState.LEFT)
    by_zone: dict[ZoneId, list[Address]] = {zone: []}
    instances: dict[Address, InstanceId] = {}
    for member in sorted((item for item in members if item.state not in gone), key=_rank):
        by_zone.setdefault(member.zone, []).append(member.address)
        if member.zone == zone:
            instances[member.address] = member.instance
    ranked_members = tuple(by_zone.pop(zone))
    positions = {address: position for position, address in enumerate(ranked_members)}
    remote = {other: tuple(addresses) for other, addresses in by_zone.items()}
    return View(zone, ranked_members, positions, instances, remote)


def list_child_positions(position: int, size: int) -> range:
    """Return the positions below `position` in a tree of `size` daemons."""
    first = position * FAN_OUT + 1
    return range(min(first, size), min(first + FAN_OUT, size))


def find_parent_position(position: int) -> int | None:
    """Return the position above `position`; the root has none."""
    return (position - 1) // FAN_OUT if position else None


def compute_subtree_size(position: int, size: int) -> int:
    """Return the number of daemons at and below `position` in a tree of `size`.

    >>> compute_subtree_size(0, 100), compute_subtree_size(1, 10), compute_subtree_size(9, 10)
    (100, 2, 1)
    """
    first, last, total = position, position, 0
    while first < size:
        total += min(last, size - 1) - first + 1
        first, last = first * FAN_OUT + 1, last * FAN_OUT + FAN_OUT
    return total
