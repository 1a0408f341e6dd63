import copy
from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, ZoneId
from godwitpass.internal.membership.messages import AnnouncedUpstream, MemberMetadata, MemberUpdate
from godwitpass.internal.membership.records import (
    MemberRecord,
    MergeOutcome,
    build_record,
    merge_update,
)
from godwitpass.mesh import MemberState, UpstreamState

SENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEFT)


def build_metadata(state: UpstreamState) -> MemberMetadata:
    upstream = AnnouncedUpstream(ServiceName("maal"), Address("10.0.0.1:80"), state, 12)
    return MemberMetadata(
        InstanceId("maal-1"), ZoneId("bergen"), RegionId("vest"), Address("10.0.0.1:70"), upstream
    )


def build_update(
    incarnation: int,
    state: MemberState = MemberState.ALIVE,
    sequence: int = 1,
    upstream: UpstreamState = UpstreamState.READY,
) -> MemberUpdate:
    return MemberUpdate(1, incarnation, state, sequence, build_metadata(upstream))


update_lists = st.lists(
    st.builds(
        build_update,
        st.integers(1, 3),
        st.sampled_from(SENT_STATES),
        st.integers(1, 3),
        st.sampled_from(UpstreamState),
    ),
    min_size=1,
    max_size=5,
)


def merge_all(received: list[MemberUpdate]) -> MemberRecord:
    record = build_record(build_update(0, sequence=0))
    assert record is not None
    for update in received:
        merge_update(record, update)
    return record


class TestMerging:
    @settings(derandomize=True, max_examples=60, database=None)
    @given(update_lists)
    def test_reordered_and_repeated_updates_give_the_same_record(
        self, received: list[MemberUpdate]
    ) -> None:
        expected = merge_all(received)
        for order in list(permutations(received))[:24]:
            assert merge_all([*order, *order]) == expected

    @settings(derandomize=True, max_examples=60, database=None)
    @given(update_lists, update_lists)
    def test_incarnation_and_sequence_never_decrease(
        self, earlier: list[MemberUpdate], later: list[MemberUpdate]
    ) -> None:
        record = merge_all(earlier)
        for update in later:
            before = copy.copy(record)
            merge_update(record, update)
            assert (record.incarnation, record.state.value) >= (
                before.incarnation,
                before.state.value,
            )
            assert record.sequence >= before.sequence

    @pytest.mark.parametrize("state", [MemberState.SUSPECT, MemberState.LEFT])
    def test_a_suspicion_or_departure_of_an_earlier_incarnation_never_wins(
        self, state: MemberState
    ) -> None:
        record = merge_all([build_update(2), build_update(1, state)])
        assert (record.incarnation, record.state) == (2, MemberState.ALIVE)

    def test_a_delayed_suspicion_keeps_newer_metadata(self) -> None:
        draining = build_update(1, sequence=2, upstream=UpstreamState.DRAINING)
        record = merge_all([draining, build_update(1, MemberState.SUSPECT)])
        assert record.state is MemberState.SUSPECT
        assert record.metadata == draining.metadata

    def test_a_newer_update_without_its_metadata_changes_nothing(self) -> None:
        record = merge_all([build_update(1)])
        before = copy.copy(record)
        outcome = merge_update(record, MemberUpdate(1, 9, MemberState.ALIVE, 2))
        assert (outcome, record) == (MergeOutcome.INCOMPLETE, before)
