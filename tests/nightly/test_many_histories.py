"""Histories with many concurrent faults in virtual time."""

import random

import pytest

from godwitpass_testkit.histories import Fault, History

SEEDS = range(1_000, 1_200)


@pytest.mark.nightly
class TestManyHistories:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_eight_concurrent_faults_violate_no_invariant(self, seed: int) -> None:
        History(seed).run(random.Random(seed).choices(list(Fault), k=8))
