from godwitpass_testkit.experiments.goodput import (
    MAX_RETRY_SHARE,
    MIN_GOODPUT_SHARE,
    Scenario,
    run_naive,
    run_ours,
)

SECONDS = 2.0


class TestGoodput:
    def test_at_three_times_the_capacity_goodput_stays_near_its_peak(self) -> None:
        goods = [run_ours(Scenario(load, seconds=SECONDS)).good for load in (1.0, 1.5, 3.0)]
        assert goods[-1] >= MIN_GOODPUT_SHARE * max(goods)
        naive = run_naive(Scenario(3.0, seconds=SECONDS)).good
        assert goods[-1] > 1.3 * naive

    def test_every_call_is_answered_or_refused_and_none_is_late(self) -> None:
        totals = run_ours(Scenario(3.0, seconds=SECONDS))
        assert totals.failed == 0
        assert len(totals.latencies) + totals.not_run == totals.offered

    def test_in_an_outage_retries_add_at_most_a_fifth(self) -> None:
        totals = run_ours(Scenario(0.8, seconds=SECONDS, outage=True))
        assert totals.outage_attempts <= (1 + MAX_RETRY_SHARE) * totals.outage_offered

    def test_one_slow_upstream_costs_few_calls(self) -> None:
        ours = run_ours(Scenario(0.4, seconds=SECONDS, slow=True))
        naive = run_naive(Scenario(0.4, seconds=SECONDS, slow=True))
        assert ours.failed < naive.failed / 2
