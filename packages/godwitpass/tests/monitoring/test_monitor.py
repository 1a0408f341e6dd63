from godwitpass.internal.actions import SetTimer, TimerFired
from godwitpass.internal.monitoring.monitor import (
    FAILURES_TO_WITHDRAW,
    PROBE_INTERVAL_S,
    SUCCESSES_TO_RETURN,
    AnnounceState,
    DrainWanted,
    Probe,
    Probed,
    Start,
    UpstreamMonitor,
)
from godwitpass.mesh import UpstreamState


class Probing:
    """Answers each probe from a list of results and notes what was announced."""

    def __init__(self) -> None:
        self.monitor = UpstreamMonitor()
        self.now = 0.0
        self.announced: list[UpstreamState] = []
        self.probes = 0

    def run(self, *results: bool) -> None:
        for accepted in results:
            event = Start() if self.probes == 0 else TimerFired()
            assert Probe() in self.monitor.handle(event, self.now)
            self.probes += 1
            for action in self.monitor.handle(Probed(accepted), self.now):
                if isinstance(action, AnnounceState):
                    self.announced.append(action.state)
                if isinstance(action, SetTimer):
                    self.now = action.at


class TestUpstreamMonitor:
    def test_an_upstream_is_announced_only_after_it_accepted_a_connection(self) -> None:
        probing = Probing()
        probing.run(False, False, False)
        assert probing.announced == []
        probing.run(True)
        assert probing.announced == [UpstreamState.READY]

    def test_an_upstream_that_refuses_connections_is_withdrawn(self) -> None:
        probing = Probing()
        probing.run(True, *[False] * FAILURES_TO_WITHDRAW)
        assert probing.announced == [UpstreamState.READY, UpstreamState.STARTING]
        assert probing.now <= 2 * PROBE_INTERVAL_S

    def test_one_lost_probe_does_not_withdraw_an_upstream(self) -> None:
        probing = Probing()
        probing.run(True, False, True, False, True)
        assert probing.announced == [UpstreamState.READY]

    def test_a_withdrawn_upstream_returns_after_several_successes(self) -> None:
        probing = Probing()
        probing.run(True, *[False] * FAILURES_TO_WITHDRAW, *[True] * (SUCCESSES_TO_RETURN - 1))
        assert probing.announced == [UpstreamState.READY, UpstreamState.STARTING]
        probing.run(True)
        assert probing.announced[2:] == [UpstreamState.READY]

    def test_a_timer_that_fires_early_does_not_end_the_probes(self) -> None:
        probing = Probing()
        probing.run(True)
        early = probing.now - 0.0005
        assert probing.monitor.handle(TimerFired(), early) == [SetTimer(probing.now)]
        assert probing.monitor.handle(TimerFired(), probing.now) == [Probe()]

    def test_a_draining_upstream_never_becomes_ready_again(self) -> None:
        probing = Probing()
        probing.run(True)
        monitor = probing.monitor
        assert Probe() in monitor.handle(TimerFired(), probing.now)
        assert AnnounceState(UpstreamState.DRAINING) in monitor.handle(DrainWanted(), probing.now)
        assert monitor.handle(Probed(True), probing.now) == []
        assert monitor.handle(TimerFired(), probing.now + 100) == []
        assert monitor.handle(DrainWanted(), probing.now) == []
        assert monitor.state is UpstreamState.DRAINING
