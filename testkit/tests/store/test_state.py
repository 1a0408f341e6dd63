import pytest

from godwitpass.errors import StoreOutcomeUnknown, StoreUnavailable
from godwitpass.ids import LeaseId, Revision
from godwitpass.store import MAX_VALUE_BYTES
from godwitpass_testkit.store import Faults, StoreState

ABSENT = Revision(0)


class TestConditionalWrites:
    def test_of_two_writes_at_the_same_revision_only_the_first_succeeds(self) -> None:
        state = StoreState()
        first = state.put("config/root", b"a", ABSENT, None, 0)
        second = state.put("config/root", b"b", ABSENT, None, 0)
        assert first.written
        assert not second.written
        assert second.entry == first.entry == state.get("config/root", 0)

    def test_a_deleted_key_can_be_written_again_as_absent(self) -> None:
        state = StoreState()
        written = state.put("k", b"a", ABSENT, None, 0)
        assert state.delete("k", written.entry.revision, 0).written
        assert state.get("k", 0).revision == ABSENT
        assert state.put("k", b"b", ABSENT, None, 0).entry.revision == Revision(3)

    def test_a_value_over_the_size_limit_is_refused_without_effect(self) -> None:
        state = StoreState()
        with pytest.raises(StoreUnavailable):
            state.put("k", b"x" * (MAX_VALUE_BYTES + 1), None, None, 0)
        assert state.get("k", 0).value is None


class TestLeases:
    def test_keys_of_an_expired_lease_are_deleted_and_its_renewal_fails(self) -> None:
        state = StoreState()
        lease = state.grant_lease(10, now=0)
        state.put("seeds/lakes-a", b"x", None, lease, 1)
        assert state.renew_lease(lease, 9)
        assert state.get("seeds/lakes-a", 18.9).value == b"x"
        assert state.get("seeds/lakes-a", 19).value is None
        assert not state.renew_lease(lease, 19)

    def test_a_write_under_a_lease_that_a_fault_expired_is_refused(self) -> None:
        state = StoreState()
        lease = state.grant_lease(10, now=0)
        state.expire_all_leases(1)
        with pytest.raises(StoreUnavailable):
            state.put("seeds/lakes-a", b"x", None, lease, 2)

    def test_a_write_under_an_unknown_lease_is_refused(self) -> None:
        with pytest.raises(StoreUnavailable):
            StoreState().put("k", b"x", None, LeaseId(1), 0)


class TestFaults:
    def test_a_write_takes_effect_although_its_answer_is_lost(self) -> None:
        state = StoreState()
        state.faults = Faults(lost_answers=1)
        with pytest.raises(StoreOutcomeUnknown):
            state.put("k", b"x", None, None, 0)
        assert state.get("k", 0).value == b"x"
        assert state.put("k", b"y", None, None, 0).written

    def test_a_store_that_is_down_refuses_and_changes_nothing(self) -> None:
        state = StoreState()
        state.faults = Faults(down=True)
        with pytest.raises(StoreUnavailable):
            state.put("k", b"x", None, None, 0)
        state.faults = Faults()
        assert state.get("k", 0).value is None
        assert (state.counts.writes, state.counts.refused) == (0, 1)

    def test_writes_over_the_rate_are_refused_until_the_rate_allows_more(self) -> None:
        state = StoreState()
        state.faults = Faults(write_rate=2)
        state.put("k", b"1", None, None, 0)
        state.put("k", b"2", None, None, 0)
        with pytest.raises(StoreUnavailable):
            state.put("k", b"3", None, None, 0.4)
        assert state.put("k", b"4", None, None, 0.5).written

    def test_a_restored_store_returns_the_older_value_and_revision(self) -> None:
        state = StoreState()
        state.put("k", b"old", None, None, 0)
        backup = state.save()
        state.put("k", b"new", None, None, 0)
        state.restore(backup)
        assert state.get("k", 0).value == b"old"
        assert state.revision == Revision(1)


class TestWatches:
    def test_changes_after_a_revision_include_deletions(self) -> None:
        state = StoreState()
        state.put("a/1", b"x", None, None, 0)
        state.put("b/1", b"x", None, None, 0)
        state.delete("a/1", None, 0)
        result = state.list_changes("a/", Revision(1), 0)
        assert [(entry.key, entry.value) for entry in result.entries] == [("a/1", None)]
        assert result.revision == Revision(3)

    def test_delayed_changes_are_not_skipped_by_the_next_watch(self) -> None:
        state = StoreState()
        state.put("a/1", b"x", None, None, 0)
        state.put("a/2", b"x", None, None, 5)
        state.faults = Faults(watch_delay_s=3)
        early = state.list_changes("a/", ABSENT, 6)
        later = state.list_changes("a/", early.revision, 8)
        assert [entry.key for entry in early.entries + later.entries] == ["a/1", "a/2"]

    def test_reversed_and_repeated_changes_come_in_reverse_order_and_twice(self) -> None:
        state = StoreState()
        state.put("a/1", b"x", None, None, 0)
        state.put("a/2", b"x", None, None, 0)
        state.faults = Faults(watch_reversed=True, watch_repeated=True)
        result = state.list_changes("a/", ABSENT, 0)
        assert [entry.key for entry in result.entries] == ["a/2", "a/1", "a/2", "a/1"]
