import pytest

from godwitpass.document import Execution
from godwitpass.ids import InstanceId, RegionId, ServiceName, ZoneId
from godwitpass.internal.admission.concurrency_limit import ConcurrencyLimit
from godwitpass.internal.balancing.subset import choose_subset, compute_subset_size
from godwitpass.internal.calls.deadlines import InvalidDeadline, parse_timeout_ms
from godwitpass.internal.retrying.budget import RetryBudget
from godwitpass.internal.retrying.decision import ExecutionCertainty, FailedAttempt, may_retry
from godwitpass.mesh import Upstream, UpstreamState
from godwitpass.policy import ResolvedPolicy


def make_policy(execution: Execution, attempts: int = 3) -> ResolvedPolicy:
    return ResolvedPolicy(execution, 1000, 1000, attempts, 100)


class TestRetries:
    @pytest.mark.parametrize(
        ("execution", "certainty", "allowed"),
        [
            (Execution.IDEMPOTENT, ExecutionCertainty.UNCERTAIN, True),
            (Execution.UNSAFE, ExecutionCertainty.UNCERTAIN, False),
            (Execution.ONCE, ExecutionCertainty.UNCERTAIN, False),
            (Execution.UNSAFE, ExecutionCertainty.REFUSED, True),
            (Execution.ONCE, ExecutionCertainty.REFUSED, False),
            (Execution.ONCE, ExecutionCertainty.UNSENT, True),
        ],
    )
    def test_an_attempt_is_retried_only_if_its_policy_allows_it_to_run_again(
        self, execution: Execution, certainty: ExecutionCertainty, allowed: bool
    ) -> None:
        is_unsent = certainty is ExecutionCertainty.UNSENT
        failed = FailedAttempt(certainty, int(not is_unsent), int(is_unsent), True, False)
        assert may_retry(failed, make_policy(execution), RetryBudget()) is allowed

    def test_a_call_that_is_itself_a_retry_is_not_retried(self) -> None:
        failed = FailedAttempt(ExecutionCertainty.UNCERTAIN, 1, 0, True, is_retry=True)
        assert not may_retry(failed, make_policy(Execution.IDEMPOTENT), RetryBudget())

    def test_a_call_whose_body_is_no_longer_buffered_is_not_retried(self) -> None:
        failed = FailedAttempt(
            ExecutionCertainty.REFUSED, 1, 0, is_replayable=False, is_retry=False
        )
        assert not may_retry(failed, make_policy(Execution.IDEMPOTENT), RetryBudget())

    def test_retries_during_an_outage_are_at_most_a_fifth_of_the_calls(self) -> None:
        budget = RetryBudget()
        policy = make_policy(Execution.IDEMPOTENT)
        retries = 0
        for _ in range(1_000):
            budget.deposit()
            failed = FailedAttempt(ExecutionCertainty.UNCERTAIN, 1, 0, True, False)
            retries += may_retry(failed, policy, budget)
        assert 0 < retries <= 200


class TestDeadlines:
    @pytest.mark.parametrize("value", [b"", b"0", b"-5", b"1.5", b"1e9", b"9" * 40, b"\xb2"])
    def test_an_invalid_deadline_is_rejected(self, value: bytes) -> None:
        with pytest.raises(InvalidDeadline):
            parse_timeout_ms(value)


class TestConcurrencyLimit:
    def test_one_service_can_not_use_up_the_limit_of_the_daemon(self) -> None:
        limit = ConcurrencyLimit(limit=10)
        acquired = sum(limit.acquire(ServiceName("greedy")) for _ in range(20))
        assert acquired == 5
        assert limit.acquire(ServiceName("modest"))


class TestSubsets:
    def test_connections_per_upstream_are_bounded_when_every_daemon_calls_a_large_service(
        self,
    ) -> None:
        upstreams = [make_upstream(number) for number in range(200)]
        daemons = 1_300
        size = compute_subset_size(len(upstreams), daemons, connections=110)
        user_counts = dict.fromkeys((upstream.instance for upstream in upstreams), 0)
        for number in range(daemons):
            zone = ZoneId(f"z{number % 3}")
            instance = InstanceId(f"d{number}")
            for upstream in choose_subset(instance, zone, RegionId("r"), upstreams, size):
                user_counts[upstream.instance] += 1
        assert max(user_counts.values()) <= 130

    def test_an_upstream_that_leaves_changes_one_entry_of_the_subset(self) -> None:
        upstreams = [make_upstream(number) for number in range(30)]
        location = (InstanceId("d"), ZoneId("z1"), RegionId("r"))
        before = {upstream.instance for upstream in choose_subset(*location, upstreams, 6)}
        leaving = next(upstream for upstream in upstreams if upstream.instance in before)
        upstreams.remove(leaving)
        after = {upstream.instance for upstream in choose_subset(*location, upstreams, 6)}
        assert len(before - after) == 1


def make_upstream(number: int) -> Upstream:
    instance, zone = InstanceId(f"u{number}"), ZoneId(f"z{number % 3}")
    address = f"10.0.0.{number}:80"
    state = UpstreamState.READY
    return Upstream(instance, ServiceName("s"), address, zone, RegionId("r"), state, 12)  # type: ignore[arg-type]
