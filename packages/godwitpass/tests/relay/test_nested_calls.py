import pytest

from godwitpass.ids import InstanceId, RouteName
from godwitpass.internal.relay.nested_calls import (
    EARLY_BUDGET_PART,
    MAX_RETRY_AFTER_S,
    MAX_SPREAD,
    NestedCallTracker,
    NestedRefusal,
    NestedRefusals,
)

BALANCE, HOLD = RouteName("balance"), RouteName("hold")


class OuterServer:
    """Runs outer calls one after the other; each makes `times` nested calls while they succeed."""

    def __init__(self, times: int = 1) -> None:
        self.tracker = NestedCallTracker()
        self.now = 0.0
        self._times = times
        self._number = 0

    def run(self, nested: list[bool], tolerates: bool = False) -> NestedRefusal | None:
        """Offer a call whose nested calls are refused where `nested` is false."""
        self.now += 0.05
        refusal = self.tracker.check(BALANCE, self.now)
        if refusal is not None:
            return refusal
        self._number += 1
        request_id = f"r{self._number}"
        self.tracker.start_outer(request_id, BALANCE, is_idempotent=True)
        is_completed = True
        for is_served in nested[: self._times]:
            self.tracker.count_nested(request_id, HOLD)
            self.tracker.end_nested(request_id, HOLD, not is_served, self.now)
            if not is_served and not tolerates:
                is_completed = False
                break
        self.tracker.end_outer(request_id, is_completed)
        return None


class TestNestedCallTracker:
    def test_while_nothing_is_refused_every_call_starts(self) -> None:
        server = OuterServer()
        assert not any(server.run([True]) for _ in range(200))

    def test_when_all_nested_calls_are_refused_most_calls_aren_t_started(self) -> None:
        # Guards against outer calls that end in an error after their work.
        server = OuterServer()
        for _ in range(40):
            server.run([True])
        refusals = [server.run([False]) for _ in range(140)]
        assert refusals[0] is None, "one refusal proves nothing"
        after_two_seconds = refusals[40:]
        assert 50 < sum(refusal is not None for refusal in after_two_seconds) < 95

    def test_when_a_third_is_refused_no_more_calls_are_refused_than_would_fail(self) -> None:
        server = OuterServer()
        for _ in range(40):
            server.run([True])
        refused = sum(server.run([index % 3 != 0]) is not None for index in range(300))
        assert refused <= 300 / 3

    def test_it_recovers_soon_after_nested_calls_are_served_again(self) -> None:
        server = OuterServer()
        for index in range(140):
            server.run([index < 40])
        ended_at = server.now
        last = max((server.now for _ in range(100) if server.run([True])), default=ended_at)
        assert last - ended_at < 1.5

    def test_calls_that_succeed_without_their_nested_call_are_not_refused(self) -> None:
        server = OuterServer()
        for _ in range(40):
            server.run([True])
        for _ in range(100):
            server.run([False], tolerates=True)
        refusals = [server.run([False], tolerates=True) for _ in range(50)]
        assert not any(refusals)

    def test_the_retry_after_times_are_spread_and_bounded(self) -> None:
        server = OuterServer()
        for index in range(300):
            server.run([index < 40])
        refusals = [refusal for _ in range(40) if (refusal := server.run([False])) is not None]
        times = {refusal.retry_after_s for refusal in refusals}
        assert len(times) == len(refusals)
        assert max(times) <= MAX_SPREAD * MAX_RETRY_AFTER_S
        assert max(times) > 1.3 * min(times)

    @pytest.mark.parametrize(
        ("is_idempotent", "made", "part"),
        [(True, 1, EARLY_BUDGET_PART), (True, 2, 1.0), (False, 1, 1.0)],
    )
    def test_the_retry_budget_is_kept_for_calls_whose_loss_costs_most(
        self, is_idempotent: bool, made: int, part: float
    ) -> None:
        server = OuterServer(times=2)
        for _ in range(10):
            server.run([True, True])
        server.tracker.start_outer("new", BALANCE, is_idempotent)
        for _ in range(made):
            server.tracker.count_nested("new", HOLD)
        assert server.tracker.find_budget_part("new") == part


class TestNestedRefusals:
    def test_only_refusals_of_two_upstreams_show_that_a_service_refuses(self) -> None:
        refusals = NestedRefusals()
        one, other = InstanceId("a"), InstanceId("b")
        assert not refusals.record(BALANCE, one, 0.0)
        assert not refusals.record(BALANCE, one, 0.5)
        assert refusals.record(BALANCE, other, 0.6)
        assert not refusals.record(BALANCE, other, 9.0)
