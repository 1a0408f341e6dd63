"""Single, repeated and concurrent faults of all kinds at complete daemons in virtual time."""

import random

import pytest

from godwitpass.ids import NO_VERSION
from godwitpass_testkit.histories import Fault, History, HistoryFailed

SEEDS = range(6)
OUTAGE_WITH_RACE = (Fault.KILL_ALL, Fault.STORE_DOWN, Fault.RACE)


class TestHistories:
    @pytest.mark.parametrize("fault", list(Fault))
    def test_a_single_fault_violates_no_invariant(self, fault: Fault) -> None:
        History(seed=1).run([fault])

    @pytest.mark.parametrize("fault", list(Fault))
    def test_a_repeated_fault_violates_no_invariant(self, fault: Fault) -> None:
        History(seed=2).run([fault, fault])

    @pytest.mark.parametrize("seed", SEEDS)
    def test_killing_all_daemons_during_a_store_outage_with_racing_operators_violates_no_invariant(
        self, seed: int
    ) -> None:
        History(seed).run(OUTAGE_WITH_RACE)

    @pytest.mark.parametrize("seed", SEEDS)
    def test_many_concurrent_faults_violate_no_invariant(self, seed: int) -> None:
        faults = random.Random(seed).choices(list(Fault), k=6)
        History(seed).run(faults)


class TestChecks:
    def test_a_daemon_without_the_newest_version_is_reported_with_the_seed(self) -> None:
        history = History(seed=5)
        history.run([])
        history.kill(history.identities[:1])
        with pytest.raises(HistoryFailed, match=r"seed 5: version .* is not in force"):
            history.check_settled()

    def test_a_store_that_lost_its_entries_is_reported(self) -> None:
        history = History(seed=6)
        history.run([])
        assert history.identities
        assert history.queue.node(history.identities[0].address).current.version > NO_VERSION
        history.store.memory.entries.clear()
        with pytest.raises(HistoryFailed):
            history.check_settled()
