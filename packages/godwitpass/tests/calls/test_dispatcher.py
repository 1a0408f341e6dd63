import random

from godwitpass.ids import Address, InstanceId, RegionId, RouteName, ServiceName, ZoneId
from godwitpass.internal.calls.dispatcher import Dispatcher, DaemonLocation
from godwitpass.internal.calls.messages import (
    Action,
    AttemptArrived,
    CallerKey,
    AttemptId,
    AttemptEnded,
    RefuseAttempt,
    AttemptResult,
    Resumed,
    Stalled,
    StartAttempt,
    Tick,
    UpstreamsChanged,
)
from godwitpass.internal.calls.outcomes import Reason
from godwitpass.mesh import Upstream, UpstreamState

VEST, BERGEN = RegionId("vest"), ZoneId("bergen")
MAAL, ROUTE = ServiceName("maal"), RouteName("maal")


def make_upstream(
    name: str, zone: str = "bergen", state: UpstreamState = UpstreamState.READY
) -> Upstream:
    address = Address(f"127.0.0.1:{name[1:]}")
    return Upstream(InstanceId(name), MAAL, address, ZoneId(zone), VEST, state, 12)


class Daemon:
    """Drives one dispatcher by hand."""

    def __init__(self, *upstreams: Upstream) -> None:
        place = DaemonLocation(InstanceId("d"), BERGEN, VEST)
        self.dispatcher = Dispatcher(MAAL, place, random.Random(1))
        self.now = 100.0
        self.numbers = 0
        self.dispatcher.handle(UpstreamsChanged(upstreams, 10, 110), self.now)

    def arrive(
        self, caller: str = "c", queue_s: float = 0.1, upload: bool = False
    ) -> tuple[AttemptId, list[Action]]:
        self.numbers += 1
        number = AttemptId(self.numbers)
        until = self.now + queue_s
        arrived = AttemptArrived(number, CallerKey(caller), ROUTE, until, self.now + 5, upload)
        return number, self.dispatcher.handle(arrived, self.now)

    def end(self, call: AttemptId, result: AttemptResult, latency_s: float = 0.01) -> list[Action]:
        self.now += latency_s
        return self.dispatcher.handle(AttemptEnded(call, result, latency_s), self.now)

    def run(self, result: AttemptResult = AttemptResult.ANSWERED, latency_s: float = 0.01) -> str | None:
        number, actions = self.arrive()
        for action in actions:
            if isinstance(action, StartAttempt):
                self.end(number, result, latency_s)
                return action.upstream.instance
        return None

    def fill(self) -> list[AttemptId]:
        """Start calls until no upstream has room."""
        started: list[AttemptId] = []
        while True:
            number, actions = self.arrive(queue_s=0.0)
            if not any(isinstance(action, StartAttempt) for action in actions):
                return started
            started.append(number)


class TestChoice:
    def test_calls_stay_in_the_own_zone_while_it_answers_as_usual(self) -> None:
        daemon = Daemon(make_upstream("u1"), make_upstream("u2", "stavanger"))
        assert {daemon.run() for _ in range(50)} == {"u1"}

    def test_calls_spill_to_the_next_zone_when_the_own_one_is_full(self) -> None:
        daemon = Daemon(make_upstream("u1"), make_upstream("u2", "stavanger"))
        started = daemon.fill()
        assert len(started) == 8, "two upstreams begin with a limit of four"

    def test_a_draining_upstream_gets_no_new_call_and_those_in_progress_end(self) -> None:
        daemon = Daemon(make_upstream("u1"))
        number, _ = daemon.arrive()
        leaving = make_upstream("u1", state=UpstreamState.DRAINING)
        changed = UpstreamsChanged((leaving, make_upstream("u2")), 10, 110)
        daemon.dispatcher.handle(changed, daemon.now)
        assert {daemon.run() for _ in range(20)} == {"u2"}
        daemon.end(number, AttemptResult.ANSWERED)
        assert daemon.dispatcher.in_flight == 0

    def test_a_slow_upstream_gets_a_small_share_of_the_calls(self) -> None:
        daemon = Daemon(make_upstream("u1"), make_upstream("u2"))
        for _ in range(30):
            daemon.run()
        chosen = []
        for _ in range(200):
            number, actions = daemon.arrive()
            (start,) = [action for action in actions if isinstance(action, StartAttempt)]
            name = start.upstream.instance
            chosen.append(name)
            daemon.end(number, AttemptResult.ANSWERED, 0.2 if name == "u1" else 0.01)
        assert chosen.count(InstanceId("u1")) < 40

    def test_a_fast_failing_upstream_is_ejected_and_tried_again_later(self) -> None:
        daemon = Daemon(*(make_upstream(f"u{number}") for number in range(1, 5)))
        chosen = []
        for _ in range(300):
            number, actions = daemon.arrive()
            (start,) = [action for action in actions if isinstance(action, StartAttempt)]
            chosen.append(start.upstream.instance)
            failed = start.upstream.instance == "u1"
            daemon.end(number, AttemptResult.FAILED if failed else AttemptResult.ANSWERED, 0.001)
        assert chosen.count(InstanceId("u1")) <= 12
        daemon.now += 60
        assert "u1" in {daemon.run(latency_s=0.001) for _ in range(100)}

    def test_at_most_half_of_the_upstreams_are_ejected(self) -> None:
        daemon = Daemon(*(make_upstream(f"u{number}") for number in range(1, 5)))
        used = [daemon.run(AttemptResult.UNREACHABLE, 0.001) for _ in range(40)]
        assert len(set(used[-20:])) == 2


class TestLimits:
    def test_calls_beyond_the_limit_wait_and_are_refused_at_their_queue_time(self) -> None:
        daemon = Daemon(make_upstream("u1"))
        daemon.fill()
        number, _ = daemon.arrive(queue_s=0.1)
        assert daemon.dispatcher.waiting == 1
        daemon.now += 0.1
        actions = daemon.dispatcher.handle(Tick(), daemon.now)
        (refused,) = [action for action in actions if isinstance(action, RefuseAttempt)]
        assert (refused.call, refused.reason) == (number, Reason.OVERLOADED)
        assert refused.retry_after_s > 0

    def test_a_call_that_can_not_be_served_in_time_is_refused_at_once(self) -> None:
        daemon = Daemon(make_upstream("u1"))
        for _ in range(10):
            daemon.run(latency_s=1.0)
        daemon.fill()
        _, actions = daemon.arrive(queue_s=0.05)
        assert any(isinstance(action, RefuseAttempt) for action in actions)

    def test_shed_calls_shrink_the_limit_and_answers_let_it_grow(self) -> None:
        daemon = Daemon(make_upstream("u1"))
        for _ in range(20):
            for number in daemon.fill():
                daemon.end(number, AttemptResult.ANSWERED)
        numbers = daemon.fill()
        assert len(numbers) == 12
        for number in numbers:
            daemon.end(number, AttemptResult.SHED, 0.02)
        assert len(daemon.fill()) <= 8

    def test_callers_take_turns_and_the_greediest_is_cut_first(self) -> None:
        daemon = Daemon(make_upstream("u1"))
        started = daemon.fill()
        for _ in range(128):
            daemon.arrive("greedy", queue_s=9.0)
        modest, actions = daemon.arrive("modest", queue_s=9.0)
        assert modest not in [action.call for action in actions if isinstance(action, RefuseAttempt)]
        order = []
        for number in started:
            ended = daemon.end(number, AttemptResult.ANSWERED)
            order += [action.call for action in ended if isinstance(action, StartAttempt)]
        assert modest in order[:3]

    def test_a_stalled_upload_makes_room_and_uploads_leave_room_for_lookups(self) -> None:
        daemon = Daemon(make_upstream("u1"))
        upload, _ = daemon.arrive(upload=True)
        daemon.arrive(upload=True)
        _, third = daemon.arrive(upload=True, queue_s=0.0)
        assert any(isinstance(action, RefuseAttempt) for action in third)
        daemon.fill()
        waiting, _ = daemon.arrive()
        actions = daemon.dispatcher.handle(Stalled(upload), daemon.now)
        assert [action.call for action in actions if isinstance(action, StartAttempt)] == [waiting]
        daemon.dispatcher.handle(Resumed(upload), daemon.now)
        daemon.end(upload, AttemptResult.ANSWERED)
