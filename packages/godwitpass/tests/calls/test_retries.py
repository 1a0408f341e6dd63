import pytest

from godwitpass.document import Execution
from godwitpass.ids import InstanceId, RegionId, ServiceName, ZoneId
from godwitpass.internal.admission.quota import CallQuota
from godwitpass.internal.balancing.subset import choose_subset, plan_subset_size
from godwitpass.internal.calls.deadlines import InvalidDeadline, parse_timeout
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
    def test_only_what_can_not_double_work_is_sent_again(
        self, execution: Execution, certainty: ExecutionCertainty, allowed: bool
    ) -> None:
        unsent = certainty is ExecutionCertainty.UNSENT
        failed = FailedAttempt(certainty, int(not unsent), int(unsent), True, False)
        assert may_retry(failed, make_policy(execution), RetryBudget()) is allowed

    def test_a_call_that_a_hop_above_repeats_is_not_repeated_here(self) -> None:
        failed = FailedAttempt(ExecutionCertainty.UNCERTAIN, 1, 0, True, is_retry=True)
        assert not may_retry(failed, make_policy(Execution.IDEMPOTENT), RetryBudget())

    def test_a_body_that_is_no_longer_held_is_not_sent_again(self) -> None:
        failed = FailedAttempt(ExecutionCertainty.REFUSED, 1, 0, replayable=False, is_retry=False)
        assert not may_retry(failed, make_policy(Execution.IDEMPOTENT), RetryBudget())

    def test_in_an_outage_retries_add_at_most_a_fifth(self) -> None:
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
    def test_an_absurd_deadline_is_refused(self, value: bytes) -> None:
        with pytest.raises(InvalidDeadline):
            parse_timeout(value)


class TestQuota:
    def test_one_service_can_not_take_the_whole_daemon(self) -> None:
        quota = CallQuota(capacity=10)
        greedy = sum(quota.take(ServiceName("greedy")) for _ in range(20))
        assert greedy == 5
        assert quota.take(ServiceName("modest"))


class TestSubsets:
    def test_connections_stay_bounded_when_every_daemon_uses_a_large_service(self) -> None:
        upstreams = [make_upstream(number) for number in range(200)]
        daemons = 1_300
        size = plan_subset_size(len(upstreams), daemons, connections=110)
        users = dict.fromkeys((found.instance for found in upstreams), 0)
        for number in range(daemons):
            zone = ZoneId(f"z{number % 3}")
            own = InstanceId(f"d{number}")
            for found in choose_subset(own, zone, RegionId("r"), upstreams, size):
                users[found.instance] += 1
        assert max(users.values()) <= 130

    def test_one_upstream_that_leaves_changes_one_entry(self) -> None:
        upstreams = [make_upstream(number) for number in range(30)]
        place = (InstanceId("d"), ZoneId("z1"), RegionId("r"))
        before = {found.instance for found in choose_subset(*place, upstreams, 6)}
        leaving = next(found for found in upstreams if found.instance in before)
        upstreams.remove(leaving)
        after = {found.instance for found in choose_subset(*place, upstreams, 6)}
        assert len(before - after) == 1


def make_upstream(number: int) -> Upstream:
    instance, zone = InstanceId(f"u{number}"), ZoneId(f"z{number % 3}")
    address = f"10.0.0.{number}:80"
    state = UpstreamState.READY
    return Upstream(instance, ServiceName("s"), address, zone, RegionId("r"), state, 12)  # type: ignore[arg-type]
