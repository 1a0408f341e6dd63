import copy
from itertools import permutations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, ZoneId
from godwitpass.internal.membership.messages import AnnouncedUpstream, MemberMetadata, MemberUpdate
from godwitpass.internal.membership.records import Outcome, Record, build_record, merge_update
from godwitpass.mesh import MemberState, UpstreamState

LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.LEFT)


def build_content(state: UpstreamState) -> MemberMetadata:
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
    return MemberUpdate(1, incarnation, state, sequence, build_content(upstream))


updates = st.lists(
    st.builds(
        build_update,
        st.integers(1, 3),
        st.sampled_from(LIVE_STATES),
        st.integers(1, 3),
        st.sampled_from(UpstreamState),
    ),
    min_size=1,
    max_size=5,
)


def merge_all(told: list[MemberUpdate]) -> Record:
    record = build_record(build_update(0, sequence=0))
    assert record is not None
    for update in told:
        merge_update(record, update)
    return record


class TestMerging:
    @settings(derandomize=True, max_examples=60, database=None)
    @given(updates)
    def test_crossed_and_repeated_updates_give_the_same_record(
        self, told: list[MemberUpdate]
    ) -> None:
        expected = merge_all(told)
        for order in list(permutations(told))[:24]:
            assert merge_all([*order, *order]) == expected

    @settings(derandomize=True, max_examples=60, database=None)
    @given(updates, updates)
    def test_numbers_never_go_back(
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
    def test_a_suspicion_or_departure_of_an_earlier_life_never_wins(
        self, state: MemberState
    ) -> None:
        record = merge_all([build_update(2), build_update(1, state)])
        assert (record.incarnation, record.state) == (2, MemberState.ALIVE)

    def test_a_late_suspicion_keeps_a_newer_announcement(self) -> None:
        draining = build_update(1, sequence=2, upstream=UpstreamState.DRAINING)
        record = merge_all([draining, build_update(1, MemberState.SUSPECT)])
        assert record.state is MemberState.SUSPECT
        assert record.content == draining.content

    def test_an_announcement_without_its_content_changes_nothing(self) -> None:
        record = merge_all([build_update(1)])
        before = copy.copy(record)
        outcome = merge_update(record, MemberUpdate(1, 9, MemberState.ALIVE, 2))
        assert (outcome, record) == (Outcome.INCOMPLETE, before)
