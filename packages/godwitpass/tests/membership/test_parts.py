import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.ids import RegionId
from godwitpass.internal.codec import compress
from godwitpass.internal.membership.broadcasts import CROWDED_SENDS, MAX_WAITING, Broadcasts
from godwitpass.internal.membership.digest import BUCKETS, DIGEST_BYTES, Buckets, decode_items
from godwitpass.internal.membership.messages import (
    BeatUpdate,
    Digest,
    Gossip,
    Items,
    MemberUpdate,
    Message,
    Ping,
    Scope,
)
from godwitpass.internal.membership.key_set import KeySet
from godwitpass.internal.membership.wire import decode_message, encode_message, measure_update
from godwitpass.mesh import MemberState


def build_suspicion(key: int) -> MemberUpdate:
    return MemberUpdate(key, 1_700_000_000, MemberState.SUSPECT, 1_700_000_000)


class TestBuckets:
    @settings(derandomize=True, max_examples=60, database=None)
    @given(
        st.dictionaries(st.integers(1, 2**62), st.integers(1, 2**32 - 1), max_size=30),
        st.lists(st.integers(1, 2**62), max_size=10),
    )
    def test_equal_records_give_equal_digests_whatever_came_between(
        self, items: dict[int, int], passing: list[int]
    ) -> None:
        changed, plain = Buckets(), Buckets()
        for key in passing:
            changed.put(key, 7)
        for key, value in items.items():
            changed.put(key, value)
        for key in passing:
            if key not in items:
                changed.remove(key)
        for key, value in reversed(items.items()):
            plain.put(key, value)
        assert (changed.root, changed.view.encode()) == (plain.root, plain.view.encode())

    def test_one_changed_record_costs_one_bucket(self) -> None:
        first, second = Buckets(), Buckets()
        for key in range(1, 5_000):
            first.put(key, key)
            second.put(key, key)
        second.put(77, 1)
        assert first.root != second.root
        differing = first.view.find_differing(second.view.encode())
        assert differing == bytes([77])
        assert dict(decode_items(second.view.encode_items(differing)))[77] == 1
        assert len(second.view.encode_items(differing)) <= 12 * (5_000 // BUCKETS + 1)


class TestBroadcasts:
    def test_an_update_is_sent_a_bounded_number_of_times(self) -> None:
        broadcasts = Broadcasts(3.0)
        broadcasts.add(1, build_suspicion(1))
        sent = 0
        while len(broadcasts):
            sent += len(broadcasts.take(1_000, members=999))
        assert sent == 9

    def test_a_crowd_is_sent_less_often_within_the_budget_and_none_is_skipped(self) -> None:
        broadcasts = Broadcasts(3.0)
        for key in range(MAX_WAITING + 50):
            broadcasts.add(key, build_suspicion(key))
        assert len(broadcasts) == MAX_WAITING
        counts = dict.fromkeys(range(50, MAX_WAITING + 50), 0)
        for _ in range(1_000):
            taken = broadcasts.take(200, members=1_450)
            assert sum(map(measure_update, taken)) <= 200
            for update in taken:
                assert isinstance(update, MemberUpdate)
                counts[update.key] += 1
        assert min(counts.values()) >= CROWDED_SENDS
        assert not len(broadcasts)

    def test_a_newer_update_takes_the_place_of_an_older_one(self) -> None:
        broadcasts = Broadcasts(3.0)
        for beat in (1, 2):
            broadcasts.add("region", BeatUpdate(RegionId("vest"), beat))
        assert broadcasts.take(1_000, 10) == [BeatUpdate(RegionId("vest"), 2)]


class TestKeySet:
    @settings(derandomize=True, max_examples=60, database=None)
    @given(st.lists(st.tuples(st.booleans(), st.integers(1, 6)), max_size=30))
    def test_it_chooses_among_the_present_keys_only(self, changes: list[tuple[bool, int]]) -> None:
        keys = KeySet()
        expected: set[int] = set()
        for added, key in changes:
            (keys.add if added else keys.discard)(key)
            (expected.add if added else expected.discard)(key)
        chosen = keys.choose(random.Random(1), 9)
        assert sorted(chosen) == sorted(expected)
        assert 3 not in keys.choose(random.Random(1), 9, without=3)


class TestWire:
    @pytest.mark.parametrize(
        "message",
        [
            Ping(1, 2, 3, 4),
            Digest(Scope.SUMS, bytes(DIGEST_BYTES)),
            Gossip(tuple(build_suspicion(key) for key in range(500))),
        ],
    )
    def test_small_and_large_messages_come_back_unchanged(self, message: Message) -> None:
        assert decode_message(encode_message(message)) == message

    @settings(derandomize=True, max_examples=200, database=None)
    @given(st.binary(max_size=60))
    def test_garbage_raises_nothing_but_decode_errors(self, data: bytes) -> None:
        for candidate in (data, b"\x00" + data, b"\x01" + data, b"\x01" + compress(data)):
            try:
                decode_message(candidate)
            except msgspec.MsgspecError:
                continue

    @pytest.mark.parametrize(
        "message",
        [
            Digest(Scope.MEMBERS, b"short"),
            Items(Scope.MEMBERS, b"\x00", b"truncated"),
            Gossip((MemberUpdate(1, 2**63, MemberState.ALIVE, 1),)),
            Gossip((MemberUpdate(-1, 1, MemberState.ALIVE, 1),)),
        ],
    )
    def test_a_message_that_would_break_an_invariant_is_refused(self, message: Message) -> None:
        with pytest.raises(msgspec.DecodeError):
            decode_message(encode_message(message))
