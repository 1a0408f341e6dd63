import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.ids import RegionId
from godwitpass.internal.codec import compress
from godwitpass.internal.membership.broadcasts import (
    MAX_CONGESTED_SENDS,
    MAX_QUEUED,
    BroadcastQueue,
)
from godwitpass.internal.membership.digest import (
    BUCKET_COUNT,
    DIGEST_BYTES,
    HashBuckets,
    decode_items,
)
from godwitpass.internal.membership.key_set import KeySet
from godwitpass.internal.membership.messages import (
    BucketItems,
    Digest,
    Gossip,
    HeartbeatUpdate,
    MemberUpdate,
    Message,
    Ping,
    Scope,
)
from godwitpass.internal.membership.wire import decode_message, encode_message, measure_update
from godwitpass.mesh import MemberState


def build_suspicion(key: int) -> MemberUpdate:
    return MemberUpdate(key, 1_700_000_000, MemberState.SUSPECT, 1_700_000_000)


class TestHashBuckets:
    @settings(derandomize=True, max_examples=60, database=None)
    @given(
        st.dictionaries(st.integers(1, 2**62), st.integers(1, 2**32 - 1), max_size=30),
        st.lists(st.integers(1, 2**62), max_size=10),
    )
    def test_equal_records_have_equal_digests_regardless_of_earlier_changes(
        self, items: dict[int, int], temporary_keys: list[int]
    ) -> None:
        edited, rebuilt = HashBuckets(), HashBuckets()
        for key in temporary_keys:
            edited.put(key, 7)
        for key, value in items.items():
            edited.put(key, value)
        for key in temporary_keys:
            if key not in items:
                edited.remove(key)
        for key, value in reversed(items.items()):
            rebuilt.put(key, value)
        assert (edited.root, edited.digest.encode()) == (rebuilt.root, rebuilt.digest.encode())

    def test_digests_differ_only_in_the_bucket_of_a_changed_record(self) -> None:
        first, second = HashBuckets(), HashBuckets()
        for key in range(1, 5_000):
            first.put(key, key)
            second.put(key, key)
        second.put(77, 1)
        assert first.root != second.root
        differing = first.digest.find_differing_buckets(second.digest.encode())
        assert differing == bytes([77])
        assert dict(decode_items(second.digest.encode_items(differing)))[77] == 1
        assert len(second.digest.encode_items(differing)) <= 12 * (5_000 // BUCKET_COUNT + 1)


class TestBroadcastQueue:
    def test_an_update_is_sent_a_bounded_number_of_times(self) -> None:
        queue = BroadcastQueue(3.0)
        queue.add(1, build_suspicion(1))
        sent = 0
        while len(queue):
            sent += len(queue.take(1_000, members=999))
        # ceil(3.0 * log10(999 + 1))
        assert sent == 9

    def test_a_congested_queue_keeps_to_the_budget_and_sends_every_update(self) -> None:
        queue = BroadcastQueue(3.0)
        for key in range(MAX_QUEUED + 50):
            queue.add(key, build_suspicion(key))
        assert len(queue) == MAX_QUEUED
        counts = dict.fromkeys(range(50, MAX_QUEUED + 50), 0)
        for _ in range(1_000):
            taken = queue.take(200, members=1_450)
            assert sum(map(measure_update, taken)) <= 200
            for update in taken:
                assert isinstance(update, MemberUpdate)
                counts[update.key] += 1
        assert min(counts.values()) >= MAX_CONGESTED_SENDS
        assert not len(queue)

    def test_a_newer_update_replaces_an_older_one_of_the_same_subject(self) -> None:
        queue = BroadcastQueue(3.0)
        for counter in (1, 2):
            queue.add("region", HeartbeatUpdate(RegionId("vest"), counter))
        assert queue.take(1_000, 10) == [HeartbeatUpdate(RegionId("vest"), 2)]


class TestKeySet:
    @settings(derandomize=True, max_examples=60, database=None)
    @given(st.lists(st.tuples(st.booleans(), st.integers(1, 6)), max_size=30))
    def test_sampling_returns_only_keys_in_the_set(self, changes: list[tuple[bool, int]]) -> None:
        keys = KeySet()
        expected: set[int] = set()
        for is_added, key in changes:
            (keys.add if is_added else keys.discard)(key)
            (expected.add if is_added else expected.discard)(key)
        sampled = keys.sample(random.Random(1), 9)
        assert sorted(sampled) == sorted(expected)
        assert 3 not in keys.sample(random.Random(1), 9, exclude=3)


class TestWire:
    @pytest.mark.parametrize(
        "message",
        [
            Ping(1, 2, 3, 4),
            Digest(Scope.SUMMARIES, bytes(DIGEST_BYTES)),
            Gossip(tuple(build_suspicion(key) for key in range(500))),
        ],
    )
    def test_small_and_large_messages_decode_to_what_was_encoded(self, message: Message) -> None:
        assert decode_message(encode_message(message)) == message

    @settings(derandomize=True, max_examples=200, database=None)
    @given(st.binary(max_size=60))
    def test_decoding_arbitrary_bytes_raises_only_decode_errors(self, data: bytes) -> None:
        for candidate in (data, b"\x00" + data, b"\x01" + data, b"\x01" + compress(data)):
            try:
                decode_message(candidate)
            except msgspec.MsgspecError:
                continue

    @pytest.mark.parametrize(
        "message",
        [
            Digest(Scope.MEMBERS, b"short"),
            BucketItems(Scope.MEMBERS, b"\x00", b"truncated"),
            Gossip((MemberUpdate(1, 2**63, MemberState.ALIVE, 1),)),
            Gossip((MemberUpdate(-1, 1, MemberState.ALIVE, 1),)),
        ],
    )
    def test_a_message_that_would_break_an_invariant_is_rejected(self, message: Message) -> None:
        with pytest.raises(msgspec.DecodeError):
            decode_message(encode_message(message))
