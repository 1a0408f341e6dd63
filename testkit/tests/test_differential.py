from hypothesis import example, given, settings
from hypothesis import strategies as st

from godwitpass_testkit.differential import Action, Step, run_history

STEPS = st.lists(
    st.builds(Step, st.sampled_from(Action), st.integers(0, 40), st.integers(1, 3000)), max_size=30
)


class TestDistributionAgainstPolling:
    @example([Step(Action.DEGRADE_LINKS, 0, 223)], 1)
    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(STEPS, st.integers(0, 1000))
    def test_after_any_history_both_systems_hold_the_same_version(
        self, steps: list[Step], seed: int
    ) -> None:
        pushed, polled = run_history(steps, seed, naive=False), run_history(steps, seed, naive=True)
        assert len(polled.versions) == 1
        assert pushed.versions == polled.versions
        assert pushed.content_hashes == polled.content_hashes
