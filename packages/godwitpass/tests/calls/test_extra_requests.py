import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitpass.ids import RouteName, ServiceName
from godwitpass.internal.relay.retry_budget import RetryBudget, RetryBudgetSettings
from godwitpass.internal.retrying.extra_requests import (
    MIN_SAMPLES,
    WINDOW_SAMPLES,
    CallFacts,
    ExtraRequests,
    Room,
    Verdict,
    check_call,
)

DESK, READ = ServiceName("desk"), RouteName("read")
FACTS = CallFacts(share=0.02, is_idempotent=True, attempts_left=1, remaining_s=2.0)
FREE = Room(slots=30, busy=10, waiting=0, has_target_slot=True)


def build(latencies_s: list[float], calls: int = 0, share: float = 0.02) -> ExtraRequests:
    extra_requests = ExtraRequests()
    for latency_s in latencies_s:
        extra_requests.record_latency(READ, latency_s, 1.0)
    for _ in range(calls):
        extra_requests.count_call(DESK, share)
    return extra_requests


def decide(extra_requests: ExtraRequests, facts: CallFacts = FACTS, room: Room = FREE) -> Verdict:
    return extra_requests.decide(facts, DESK, READ, room, 1.0, lambda: True)


class TestEligibility:
    @pytest.mark.parametrize(
        ("change", "verdict"),
        [
            ({"share": 0.0}, Verdict.OFF),
            ({"is_idempotent": False}, Verdict.NOT_REPEATABLE),
            ({"attempts_left": 0}, Verdict.NO_ATTEMPT_LEFT),
            ({"body_bytes": 60_000}, Verdict.TOO_LARGE),
            ({"remaining_s": 0.0}, Verdict.NO_TIME),
        ],
    )
    def test_a_call_that_may_not_be_repeated_gets_no_timer_and_no_extra_request(
        self, change: dict[str, object], verdict: Verdict
    ) -> None:
        facts = msgspec.structs.replace(FACTS, **change)
        extra_requests = build([0.1] * 50, calls=100)
        assert check_call(facts) is verdict
        assert extra_requests.compute_delay_s(facts, READ, 1.0) is None
        assert decide(extra_requests, facts) is verdict


class TestDelay:
    def test_few_samples_give_no_delay(self) -> None:
        assert build([0.1] * (MIN_SAMPLES - 1)).compute_delay_s(FACTS, READ, 1.0) is None

    def test_a_few_slow_upstreams_are_detected_by_the_latency_of_the_others(self) -> None:
        # 1.5% of the responses come from a slow upstream; its own slowness must not hide it.
        latencies_s = [1.0 if number % 66 == 0 else 0.1 for number in range(WINDOW_SAMPLES)]
        delay_s = build(latencies_s).compute_delay_s(FACTS, READ, slowness=1.0)
        assert delay_s == pytest.approx(0.1, rel=0.02)

    def test_a_server_of_slow_build_is_compared_with_its_own_kind_up_to_a_factor(self) -> None:
        extra_requests = build([0.1] * WINDOW_SAMPLES)
        assert extra_requests.compute_delay_s(FACTS, READ, 1.5) == pytest.approx(0.15, rel=0.02)
        assert extra_requests.compute_delay_s(FACTS, READ, 8.0) == pytest.approx(0.2, rel=0.02)

    def test_when_all_upstreams_become_slow_the_delay_follows(self) -> None:
        extra_requests = build([0.1] * WINDOW_SAMPLES + [0.6] * WINDOW_SAMPLES)
        assert extra_requests.compute_delay_s(FACTS, READ, 1.0) == pytest.approx(0.6, rel=0.02)

    def test_a_call_without_time_for_a_usual_response_gets_no_extra_request(self) -> None:
        facts = msgspec.structs.replace(FACTS, remaining_s=0.05)
        assert decide(build([0.1] * 50, calls=100), facts) is Verdict.NO_TIME


class TestRoom:
    @pytest.mark.parametrize(
        "change",
        [{"busy": 20}, {"waiting": 2}, {"has_target_slot": False}, {"slots": 0, "busy": 0}],
    )
    def test_a_service_short_of_room_gets_no_extra_request(self, change: dict[str, object]) -> None:
        room = msgspec.structs.replace(FREE, **change)
        assert decide(build([0.1] * 50, calls=100), room=room) is Verdict.NO_ROOM


class TestLimits:
    @given(st.lists(st.booleans(), max_size=400), st.sampled_from([0.01, 0.02, 0.05, 1.0]))
    def test_extra_requests_never_exceed_the_share_of_the_calls(
        self, events: list[bool], share: float
    ) -> None:
        extra_requests, facts = build([0.1] * 50), msgspec.structs.replace(FACTS, share=share)
        calls = sent = 0
        for is_call in events:
            if is_call:
                extra_requests.count_call(DESK, share)
                calls += 1
            else:
                sent += decide(extra_requests, facts) is Verdict.SEND
            assert sent <= share * calls + 1e-6

    def test_a_burst_after_a_quiet_period_spends_no_more_than_the_bucket_holds(self) -> None:
        extra_requests = build([0.1] * 50, calls=10_000)
        verdicts = [decide(extra_requests) for _ in range(50)]
        assert verdicts.count(Verdict.SEND) == 5
        assert verdicts[-1] is Verdict.OVER_SHARE

    def test_a_refusal_by_the_retry_budget_spends_no_share(self) -> None:
        extra_requests = build([0.1] * 50, calls=50)
        refused = extra_requests.decide(FACTS, DESK, READ, FREE, 1.0, lambda: False)
        assert (refused, decide(extra_requests)) == (Verdict.OVER_BUDGET, Verdict.SEND)

    def test_nested_calls_are_taken_out_of_the_retry_budget_too(self) -> None:
        budget = RetryBudget(RetryBudgetSettings(ratio=0.2, window_s=10.0, slack=0.0))
        for _ in range(100):
            budget.count_call(0.0)
        # 0.6 of 20 retries are used: four extra requests whose runs make two nested calls each.
        assert [budget.try_retry(1.0, 0.0, cost=3.0) for _ in range(5)] == [True] * 4 + [False]
        assert not budget.try_retry(1.0, 0.0), "a retry of a failed call has no part left either"
