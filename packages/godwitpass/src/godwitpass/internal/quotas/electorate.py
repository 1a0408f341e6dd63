"""Which daemons coordinate rate limits, and which one of them owns a customer."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from godwitpass.ids import Address, CustomerName, ZoneId
from godwitpass.internal.distribution.tuning import READERS_PER_ZONE
from godwitpass.internal.distribution.view import get_rank
from godwitpass.internal.quotas.messages import ELECTORATE_HASH_BYTES
from godwitpass.mesh import Member, MemberState

DAEMONS_PER_COORDINATOR = 100
MIN_COORDINATORS = 2


def choose_coordinators(members: Iterable[Member]) -> tuple[Address, ...]:
    """Return the first-ranked readers of the store, of different zones as far as possible."""
    live = [item for item in members if item.state in (MemberState.ALIVE, MemberState.SUSPECT)]
    count = max(MIN_COORDINATORS, len(live) // DAEMONS_PER_COORDINATOR)
    readers: list[tuple[int, tuple[int, int, str], Address]] = []
    positions: dict[ZoneId, int] = {}
    for member in sorted(live, key=get_rank):
        position = positions.get(member.zone, 0)
        positions[member.zone] = position + 1
        if position < READERS_PER_ZONE:
            readers.append((position, get_rank(member), member.address))
    return tuple(address for _, _, address in sorted(readers)[:count])


@lru_cache(maxsize=1024)
def hash_address(address: Address) -> bytes:
    """Return the hash that stands for a coordinator in an electorate."""
    return xxhash.xxh32_digest(address.encode())


def encode_electorate(coordinators: Iterable[Address]) -> bytes:
    """Return the hashes of `coordinators` in a fixed order.

    >>> encode_electorate(["b", "a"]) == encode_electorate(["a", "b"])
    True
    """
    return b"".join(sorted(hash_address(address) for address in coordinators))


def _weigh(customer: CustomerName, coordinator: bytes) -> int:
    return xxhash.xxh64_intdigest(customer.encode(), int.from_bytes(coordinator, "big"))


def rank_coordinators(
    customer: CustomerName, coordinators: Iterable[Address]
) -> tuple[Address, ...]:
    """Return the coordinators by rendezvous hash; the first one owns the customer."""
    return tuple(
        sorted(
            coordinators,
            key=lambda address: (_weigh(customer, hash_address(address)), address),
            reverse=True,
        )
    )


def find_owner(customer: CustomerName, electorate: bytes) -> bytes:
    """Return the hash of the coordinator that owns `customer` in `electorate`."""
    hashes = (
        electorate[start : start + ELECTORATE_HASH_BYTES]
        for start in range(0, len(electorate), ELECTORATE_HASH_BYTES)
    )
    return max(hashes, key=lambda coordinator: (_weigh(customer, coordinator), coordinator))
