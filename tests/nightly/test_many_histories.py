import random

import pytest

from godwitpass_testkit.histories import Fault, History

SEEDS = range(1_000, 1_200)


@pytest.mark.nightly
class TestManyHistories:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_eight_faults_together_break_no_promise(self, seed: int) -> None:
        History(seed).run(random.Random(seed).choices(list(Fault), k=8))
