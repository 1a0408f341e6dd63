from hypothesis import example, given, settings
from hypothesis import strategies as st

from godwitpass_testkit.differential import Action, Step, run_history

STEPS = st.lists(
    st.builds(Step, st.sampled_from(Action), st.integers(0, 40), st.integers(1, 3000)), max_size=30
)


class TestDistributionAgainstPolling:
    @example([Step(Action.DISTURB, 0, 223)], 1)
    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(STEPS, st.integers(0, 1000))
    def test_any_history_ends_in_the_same_state(self, steps: list[Step], seed: int) -> None:
        ours, naive = run_history(steps, seed, naive=False), run_history(steps, seed, naive=True)
        assert len(naive.versions) == 1
        assert ours.versions == naive.versions
        assert ours.content_hashes == naive.content_hashes
