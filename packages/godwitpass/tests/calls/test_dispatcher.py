import random

from godwitpass.ids import Address, InstanceId, RegionId, RouteName, ServiceName, ZoneId
from godwitpass.internal.calls.dispatcher import DaemonLocation, Dispatcher
from godwitpass.internal.calls.messages import (
    Action,
    AttemptArrived,
    AttemptEnded,
    AttemptId,
    AttemptResult,
    CallerKey,
    RefuseAttempt,
    StartAttempt,
    Tick,
    UploadResumed,
    UploadStalled,
    UpstreamsChanged,
)
from godwitpass.internal.calls.outcomes import Reason
from godwitpass.mesh import Upstream, UpstreamState

REGION, ZONE = RegionId("vest"), ZoneId("bergen")
SERVICE, ROUTE = ServiceName("maal"), RouteName("maal")


def make_upstream(
    name: str, zone: str = "bergen", state: UpstreamState = UpstreamState.READY
) -> Upstream:
    address = Address(f"127.0.0.1:{name[1:]}")
    return Upstream(InstanceId(name), SERVICE, address, ZoneId(zone), REGION, state, 12)


class DispatcherHarness:
    """A dispatcher with a clock that the test advances."""

    def __init__(self, *upstreams: Upstream) -> None:
        location = DaemonLocation(InstanceId("d"), ZONE, REGION)
        self.dispatcher = Dispatcher(SERVICE, location, random.Random(1))
        self.now = 100.0
        self.last_id = 0
        self.dispatcher.handle(UpstreamsChanged(upstreams, 10, 110), self.now)

    def arrive(
        self, caller: str = "c", queue_s: float = 0.1, is_upload: bool = False
    ) -> tuple[AttemptId, list[Action]]:
        self.last_id += 1
        attempt_id = AttemptId(self.last_id)
        queue_until = self.now + queue_s
        arrived = AttemptArrived(
            attempt_id, CallerKey(caller), ROUTE, queue_until, self.now + 5, is_upload
        )
        return attempt_id, self.dispatcher.handle(arrived, self.now)

    def end(
        self, attempt_id: AttemptId, result: AttemptResult, latency_s: float = 0.01
    ) -> list[Action]:
        self.now += latency_s
        return self.dispatcher.handle(AttemptEnded(attempt_id, result, latency_s), self.now)

    def run(
        self, result: AttemptResult = AttemptResult.ANSWERED, latency_s: float = 0.01
    ) -> str | None:
        attempt_id, actions = self.arrive()
        for action in actions:
            if isinstance(action, StartAttempt):
                self.end(attempt_id, result, latency_s)
                return action.upstream.instance
        return None

    def fill(self) -> list[AttemptId]:
        """Start attempts until no upstream has capacity left; return their ids."""
        started: list[AttemptId] = []
        while True:
            attempt_id, actions = self.arrive(queue_s=0.0)
            if not any(isinstance(action, StartAttempt) for action in actions):
                return started
            started.append(attempt_id)


class TestUpstreamSelection:
    def test_calls_stay_in_the_daemons_zone_while_its_upstreams_respond_as_usual(self) -> None:
        harness = DispatcherHarness(make_upstream("u1"), make_upstream("u2", "stavanger"))
        assert {harness.run() for _ in range(50)} == {"u1"}

    def test_calls_spill_over_to_another_zone_when_the_daemons_zone_is_full(self) -> None:
        harness = DispatcherHarness(make_upstream("u1"), make_upstream("u2", "stavanger"))
        started = harness.fill()
        assert len(started) == 8, "both upstreams start with a limit of four"

    def test_a_draining_upstream_receives_no_new_calls_while_those_in_progress_end(self) -> None:
        harness = DispatcherHarness(make_upstream("u1"))
        attempt_id, _ = harness.arrive()
        leaving = make_upstream("u1", state=UpstreamState.DRAINING)
        changed = UpstreamsChanged((leaving, make_upstream("u2")), 10, 110)
        harness.dispatcher.handle(changed, harness.now)
        assert {harness.run() for _ in range(20)} == {"u2"}
        harness.end(attempt_id, AttemptResult.ANSWERED)
        assert harness.dispatcher.in_flight == 0

    def test_a_slow_upstream_receives_a_small_share_of_the_calls(self) -> None:
        harness = DispatcherHarness(make_upstream("u1"), make_upstream("u2"))
        for _ in range(30):
            harness.run()
        chosen = []
        for _ in range(200):
            attempt_id, actions = harness.arrive()
            (start,) = [action for action in actions if isinstance(action, StartAttempt)]
            name = start.upstream.instance
            chosen.append(name)
            harness.end(attempt_id, AttemptResult.ANSWERED, 0.2 if name == "u1" else 0.01)
        assert chosen.count(InstanceId("u1")) < 40

    def test_a_fast_failing_upstream_is_ejected_and_readmitted_later(self) -> None:
        harness = DispatcherHarness(*(make_upstream(f"u{number}") for number in range(1, 5)))
        chosen = []
        for _ in range(300):
            attempt_id, actions = harness.arrive()
            (start,) = [action for action in actions if isinstance(action, StartAttempt)]
            chosen.append(start.upstream.instance)
            failed = start.upstream.instance == "u1"
            harness.end(
                attempt_id, AttemptResult.FAILED if failed else AttemptResult.ANSWERED, 0.001
            )
        assert chosen.count(InstanceId("u1")) <= 12
        harness.now += 60
        assert "u1" in {harness.run(latency_s=0.001) for _ in range(100)}

    def test_at_most_half_of_the_upstreams_are_ejected(self) -> None:
        harness = DispatcherHarness(*(make_upstream(f"u{number}") for number in range(1, 5)))
        used = [harness.run(AttemptResult.UNREACHABLE, 0.001) for _ in range(40)]
        assert len(set(used[-20:])) == 2


class TestAdmission:
    def test_calls_beyond_the_limit_are_queued_and_refused_after_their_queue_time(self) -> None:
        harness = DispatcherHarness(make_upstream("u1"))
        harness.fill()
        attempt_id, _ = harness.arrive(queue_s=0.1)
        assert harness.dispatcher.queued == 1
        harness.now += 0.1
        actions = harness.dispatcher.handle(Tick(), harness.now)
        (refused,) = [action for action in actions if isinstance(action, RefuseAttempt)]
        assert (refused.attempt_id, refused.reason) == (attempt_id, Reason.OVERLOADED)
        assert refused.retry_after_s > 0

    def test_a_call_that_can_not_be_served_within_its_queue_time_is_refused_at_once(self) -> None:
        harness = DispatcherHarness(make_upstream("u1"))
        for _ in range(10):
            harness.run(latency_s=1.0)
        harness.fill()
        _, actions = harness.arrive(queue_s=0.05)
        assert any(isinstance(action, RefuseAttempt) for action in actions)

    def test_shed_calls_decrease_the_limit_and_responses_increase_it(self) -> None:
        harness = DispatcherHarness(make_upstream("u1"))
        for _ in range(20):
            for attempt_id in harness.fill():
                harness.end(attempt_id, AttemptResult.ANSWERED)
        attempt_ids = harness.fill()
        assert len(attempt_ids) == 12
        for attempt_id in attempt_ids:
            harness.end(attempt_id, AttemptResult.SHED, 0.02)
        assert len(harness.fill()) <= 8

    def test_callers_are_served_round_robin_and_the_busiest_one_is_evicted_first(self) -> None:
        harness = DispatcherHarness(make_upstream("u1"))
        started = harness.fill()
        for _ in range(128):
            harness.arrive("greedy", queue_s=9.0)
        modest, actions = harness.arrive("modest", queue_s=9.0)
        assert modest not in [
            action.attempt_id for action in actions if isinstance(action, RefuseAttempt)
        ]
        order = []
        for attempt_id in started:
            ended = harness.end(attempt_id, AttemptResult.ANSWERED)
            order += [action.attempt_id for action in ended if isinstance(action, StartAttempt)]
        assert modest in order[:3]

    def test_a_stalled_upload_frees_its_slot_and_uploads_use_only_a_share_of_the_limit(
        self,
    ) -> None:
        harness = DispatcherHarness(make_upstream("u1"))
        upload, _ = harness.arrive(is_upload=True)
        harness.arrive(is_upload=True)
        _, third = harness.arrive(is_upload=True, queue_s=0.0)
        assert any(isinstance(action, RefuseAttempt) for action in third)
        harness.fill()
        queued, _ = harness.arrive()
        actions = harness.dispatcher.handle(UploadStalled(upload), harness.now)
        assert [action.attempt_id for action in actions if isinstance(action, StartAttempt)] == [
            queued
        ]
        harness.dispatcher.handle(UploadResumed(upload), harness.now)
        harness.end(upload, AttemptResult.ANSWERED)
