from godwitpass_testkit.experiments.goodput import (
    MAX_RETRY_SHARE,
    MIN_GOODPUT_SHARE,
    Scenario,
    run_dispatchers,
    run_naive,
)

DURATION_S = 2.0


class TestGoodput:
    def test_goodput_at_three_times_the_capacity_stays_near_its_peak(self) -> None:
        good_counts = [
            run_dispatchers(Scenario(load, duration_s=DURATION_S)).good for load in (1.0, 1.5, 3.0)
        ]
        assert good_counts[-1] >= MIN_GOODPUT_SHARE * max(good_counts)
        naive = run_naive(Scenario(3.0, duration_s=DURATION_S)).good
        assert good_counts[-1] > 1.3 * naive

    def test_every_call_is_answered_in_time_or_refused(self) -> None:
        totals = run_dispatchers(Scenario(3.0, duration_s=DURATION_S))
        assert totals.failed == 0
        assert len(totals.latencies_s) + totals.not_run == totals.offered

    def test_retries_add_at_most_a_fifth_of_the_load_in_an_outage(self) -> None:
        totals = run_dispatchers(Scenario(0.8, duration_s=DURATION_S, has_outage=True))
        assert totals.outage_attempts <= (1 + MAX_RETRY_SHARE) * totals.outage_offered

    def test_one_slow_upstream_costs_less_than_half_the_calls_of_the_baseline(self) -> None:
        dispatched = run_dispatchers(Scenario(0.4, duration_s=DURATION_S, has_slow_server=True))
        naive = run_naive(Scenario(0.4, duration_s=DURATION_S, has_slow_server=True))
        assert dispatched.failed < naive.failed / 2
