"""Anti-entropy: two daemons compare digests and exchange the records that differ."""

from collections.abc import Iterable, Sequence

from godwitpass.ids import Address, RegionId
from godwitpass.internal.actions import Send
from godwitpass.internal.membership.digest import BUCKET_COUNT, HASH_BYTES, DigestView, decode_items
from godwitpass.internal.membership.messages import (
    BucketItems,
    Digest,
    Message,
    Records,
    Scope,
    Update,
)
from godwitpass.internal.membership.state import SharedState
from godwitpass.internal.membership.token_bucket import TokenBucket

MAX_COMPARED_BUCKETS = 64
"""Buckets compared in one sync; the rest is left to later syncs."""

MAX_RECORDS_PER_MESSAGE = 4_000

RECORDS_SERVED_PER_S = 500.0
RECORDS_SERVED_BURST = 16_000.0
"""Enough for one daemon that needs all records; others that ask meanwhile get none from here."""

MAX_NEARLY_EMPTY_BUCKETS = 8
"""A digest with no more filled buckets than this is answered with all records."""

_EMPTY_HASH = bytes(HASH_BYTES)


class AntiEntropy:
    """Sends digests of members and of region summaries, and answers those received."""

    def __init__(self, state: SharedState) -> None:
        self._state = state
        self._serving_budget = TokenBucket(RECORDS_SERVED_PER_S, RECORDS_SERVED_BURST)

    def start(
        self, scope: Scope, to: Address, region: RegionId | None = None
    ) -> list[Send[Message]]:
        """Send the own digest to `to`.

        A digest of summaries covers `region`, or all remote regions when it is None.
        """
        return [Send(to, Digest(scope, self._select_digest(scope, region).encode(), region))]

    def handle_digest(self, sender: Address, message: Digest, now: float) -> list[Send[Message]]:
        """Answer with the items of the buckets that differ, or with all records.

        A sender that has almost none gets all records at once.
        """
        own_digest = self._select_digest(message.scope, message.region)
        differing = own_digest.find_differing_buckets(message.hashes)
        if not differing or self._serving_budget.available(now) <= 0:
            return []
        if _is_nearly_empty(message.hashes):
            keys = own_digest.items(bytes(range(BUCKET_COUNT)))
            return self.send_records(
                message.scope, sender, self.collect_records(message.scope, keys, now)
            )
        if len(differing) > MAX_COMPARED_BUCKETS:
            differing = bytes(self._state.rng.sample(differing, MAX_COMPARED_BUCKETS))
        items = own_digest.encode_items(differing)
        return [Send(sender, BucketItems(message.scope, differing, items, message.region))]

    def handle_items(
        self, sender: Address, message: BucketItems, now: float
    ) -> list[Send[Message]]:
        """Send the records that `sender` lacks or that differ; request those missing here."""
        own_hashes = self._select_digest(message.scope, message.region).items(message.buckets)
        sender_hashes = dict(decode_items(message.items))
        missing = {key for key in sender_hashes if key not in own_hashes}
        # Members that are gone according to this daemon but live for the sender, which is told so.
        gone = {key for key in missing if self._is_known_gone(message.scope, key)}
        differing = [
            key for key, record_hash in own_hashes.items() if sender_hashes.get(key) != record_hash
        ]
        updates = self.collect_records(message.scope, [*differing, *gone], now)
        requested_keys = tuple(missing - gone)
        return self.send_records(
            message.scope, sender, updates, requested_keys, requests_newer=True
        )

    def send_records(
        self,
        scope: Scope,
        to: Address,
        updates: Sequence[Update],
        requested_keys: tuple[int, ...] = (),
        requests_newer: bool = False,
    ) -> list[Send[Message]]:
        """Send `updates` in as many messages as needed."""
        self._serving_budget.take(len(updates))
        first = Records(
            scope, tuple(updates[:MAX_RECORDS_PER_MESSAGE]), requested_keys, requests_newer
        )
        rest = [
            Records(
                scope,
                tuple(updates[start : start + MAX_RECORDS_PER_MESSAGE]),
                requests_newer=requests_newer,
            )
            for start in range(MAX_RECORDS_PER_MESSAGE, len(updates), MAX_RECORDS_PER_MESSAGE)
        ]
        return [Send(to, message) for message in (first, *rest)]

    def collect_records(self, scope: Scope, keys: Iterable[int], now: float) -> list[Update]:
        """Return the records of `keys`, none while the serving budget is used up."""
        if self._serving_budget.available(now) <= 0:
            return []
        if scope is Scope.MEMBERS:
            return list(self._state.build_updates(keys))
        return list(self._state.regions.build_updates(keys))

    def _select_digest(self, scope: Scope, region: RegionId | None) -> DigestView:
        state = self._state
        if scope is Scope.MEMBERS:
            return state.table.buckets.digest
        if region is None:
            return state.regions.build_digest()
        return state.regions.get_buckets(region).digest

    def _is_known_gone(self, scope: Scope, key: int) -> bool:
        return scope is Scope.MEMBERS and self._state.table.get(key) is not None


def _is_nearly_empty(hashes: bytes) -> bool:
    filled = sum(
        hashes[start : start + HASH_BYTES] != _EMPTY_HASH
        for start in range(0, len(hashes), HASH_BYTES)
    )
    return filled <= MAX_NEARLY_EMPTY_BUCKETS
