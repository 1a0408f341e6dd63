"""Repair: two daemons compare digests and exchange the records that differ."""

from collections.abc import Iterable, Sequence

from godwitpass.ids import Address, RegionId
from godwitpass.internal.actions import Send
from godwitpass.internal.membership.digest import BUCKETS, HASH_BYTES, DigestView, decode_items
from godwitpass.internal.membership.token_bucket import TokenBucket
from godwitpass.internal.membership.messages import (
    Digest,
    Items,
    Message,
    Records,
    Scope,
    Update,
)
from godwitpass.internal.membership.state import State

MAX_BUCKETS = 64
"""Buckets compared in one repair; the rest follows in the next ones."""

MAX_UPDATES = 4_000
"""Records in one message."""

SERVED_PER_S = 500.0
MAX_SERVED = 16_000.0
"""Records served at a time, enough for one daemon that needs all; others must ask elsewhere."""

NEARLY_EMPTY_BUCKETS = 8
_EMPTY_HASH = bytes(HASH_BYTES)


class Sync:
    """Sends and answers digests of members and of sums."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._served = TokenBucket(SERVED_PER_S, MAX_SERVED)

    def begin(
        self, scope: Scope, to: Address, region: RegionId | None = None
    ) -> list[Send[Message]]:
        """Offer the own digest to `to`; of sums that of `region` or of all other regions."""
        return [Send(to, Digest(scope, self._buckets(scope, region).encode(), region))]

    def answer_digest(self, sender: Address, message: Digest, now: float) -> list[Send[Message]]:
        """List what differs; a daemon that holds nothing gets all records at once."""
        buckets = self._buckets(message.scope, message.region)
        differing = buckets.find_differing(message.hashes)
        if not differing or self._served.available(now) <= 0:
            return []
        if _is_nearly_empty(message.hashes):
            keys = buckets.items(bytes(range(BUCKETS)))
            return self.send_records(message.scope, sender, self.collect(message.scope, keys, now))
        if len(differing) > MAX_BUCKETS:
            differing = bytes(self._state.rng.sample(differing, MAX_BUCKETS))
        items = buckets.encode_items(differing)
        return [Send(sender, Items(message.scope, differing, items, message.region))]

    def answer_items(self, sender: Address, message: Items, now: float) -> list[Send[Message]]:
        """Send the records that the other lacks or holds differently; ask for those lacked."""
        mine = self._buckets(message.scope, message.region).items(message.buckets)
        theirs = dict(decode_items(message.items))
        lacked = {key for key in theirs if key not in mine}
        # Members that count as dead here but not there: the other must hear of it.
        gone = {key for key in lacked if self._holds_gone(message.scope, key)}
        differing = [key for key, value in mine.items() if theirs.get(key) != value]
        updates = self.collect(message.scope, [*differing, *gone], now)
        wanted = tuple(lacked - gone)
        return self.send_records(message.scope, sender, updates, wanted, reply=True)

    def send_records(
        self,
        scope: Scope,
        to: Address,
        updates: Sequence[Update],
        wanted: tuple[int, ...] = (),
        reply: bool = False,
    ) -> list[Send[Message]]:
        """Send records in as many messages as they need."""
        self._served.take(len(updates))
        first = Records(scope, tuple(updates[:MAX_UPDATES]), wanted, reply)
        rest = [
            Records(scope, tuple(updates[start : start + MAX_UPDATES]), reply=reply)
            for start in range(MAX_UPDATES, len(updates), MAX_UPDATES)
        ]
        return [Send(to, message) for message in (first, *rest)]

    def collect(self, scope: Scope, keys: Iterable[int], now: float) -> list[Update]:
        """Return the records of `keys`, none when too many were served lately."""
        if self._served.available(now) <= 0:
            return []
        if scope is Scope.MEMBERS:
            return list(self._state.build_updates(keys))
        return list(self._state.regions.build_updates(keys))

    def _buckets(self, scope: Scope, region: RegionId | None) -> DigestView:
        state = self._state
        if scope is Scope.MEMBERS:
            return state.table.buckets.view
        if region is None:
            return state.regions.digest()
        return state.regions.buckets_of(region).view

    def _holds_gone(self, scope: Scope, key: int) -> bool:
        return scope is Scope.MEMBERS and self._state.table.get(key) is not None


def _is_nearly_empty(hashes: bytes) -> bool:
    filled = sum(
        hashes[start : start + HASH_BYTES] != _EMPTY_HASH
        for start in range(0, len(hashes), HASH_BYTES)
    )
    return filled <= NEARLY_EMPTY_BUCKETS
