"""Long histories of random operations, compared with a baseline that polls the store."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass_testkit.differential import Action, Step, run_history

STEPS = st.lists(
    st.builds(Step, st.sampled_from(Action), st.integers(0, 40), st.integers(1, 8000)), max_size=120
)


@pytest.mark.nightly
class TestLongHistories:
    @settings(derandomize=True, max_examples=3000, deadline=None)
    @given(STEPS, st.integers(0, 100_000))
    def test_long_histories_end_with_the_same_state_as_polling(
        self, steps: list[Step], seed: int
    ) -> None:
        result, polling_result = run_history(steps, seed, naive=False), run_history(
            steps, seed, naive=True
        )
        assert (result.versions, result.content_hashes) == (
            polling_result.versions,
            polling_result.content_hashes,
        )
