"""Seeds of the soak that once broke a promise, each with its cause."""

from pathlib import Path

import anyio
import pytest

from godwitpass_platform_soak import draw_plan, run_soak

pytestmark = pytest.mark.nightly

FOUND = [
    # A reload signal during the imports ended the process.
    (2, 6, 20),
    # The soak took a connection that nothing listened for as one that a daemon had cut.
    (13, 6, 20),
    (19, 6, 20),
    (21, 6, 20),
    # A request crossed the close of an idle connection at the end of a stop; nothing ran it.
    (313, 5, 12),
]


class TestRegressions:
    @pytest.mark.parametrize(("seed", "machines", "seconds"), FOUND)
    def test_a_seed_that_once_failed_keeps_the_promises(
        self, seed: int, machines: int, seconds: int, tmp_path: Path
    ) -> None:
        outcome = anyio.run(run_soak, draw_plan(seed, machines, seconds), tmp_path)
        assert not outcome.breaches, outcome
