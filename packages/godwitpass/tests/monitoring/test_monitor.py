from godwitpass.internal.actions import SetTimer, TimerFired
from godwitpass.internal.monitoring.monitor import (
    FAILURES_TO_WITHDRAW,
    PROBE_INTERVAL_S,
    SUCCESSES_TO_RESTORE,
    AnnounceState,
    DrainRequested,
    Probe,
    ProbeCompleted,
    Start,
    UpstreamMonitor,
)
from godwitpass.mesh import UpstreamState


class ProbeDriver:
    """Runs a monitor with the given probe results, and collects the announced states."""

    def __init__(self) -> None:
        self.monitor = UpstreamMonitor()
        self.now = 0.0
        self.announced: list[UpstreamState] = []
        self.probes = 0

    def run(self, *results: bool) -> None:
        for is_accepted in results:
            event = Start() if self.probes == 0 else TimerFired()
            assert Probe() in self.monitor.handle(event, self.now)
            self.probes += 1
            for action in self.monitor.handle(ProbeCompleted(is_accepted), self.now):
                if isinstance(action, AnnounceState):
                    self.announced.append(action.state)
                if isinstance(action, SetTimer):
                    self.now = action.at


class TestUpstreamMonitor:
    def test_an_upstream_is_announced_only_after_it_accepted_a_connection(self) -> None:
        driver = ProbeDriver()
        driver.run(False, False, False)
        assert driver.announced == []
        driver.run(True)
        assert driver.announced == [UpstreamState.READY]

    def test_an_upstream_that_refuses_connections_is_withdrawn(self) -> None:
        driver = ProbeDriver()
        driver.run(True, *[False] * FAILURES_TO_WITHDRAW)
        assert driver.announced == [UpstreamState.READY, UpstreamState.STARTING]
        assert driver.now <= 2 * PROBE_INTERVAL_S

    def test_one_failed_probe_does_not_withdraw_an_upstream(self) -> None:
        driver = ProbeDriver()
        driver.run(True, False, True, False, True)
        assert driver.announced == [UpstreamState.READY]

    def test_a_withdrawn_upstream_is_announced_again_after_several_successes(self) -> None:
        driver = ProbeDriver()
        driver.run(True, *[False] * FAILURES_TO_WITHDRAW, *[True] * (SUCCESSES_TO_RESTORE - 1))
        assert driver.announced == [UpstreamState.READY, UpstreamState.STARTING]
        driver.run(True)
        assert driver.announced[2:] == [UpstreamState.READY]

    def test_a_timer_that_fires_early_does_not_stop_the_probes(self) -> None:
        driver = ProbeDriver()
        driver.run(True)
        early = driver.now - 0.0005
        assert driver.monitor.handle(TimerFired(), early) == [SetTimer(driver.now)]
        assert driver.monitor.handle(TimerFired(), driver.now) == [Probe()]

    def test_a_draining_upstream_never_becomes_ready_again(self) -> None:
        driver = ProbeDriver()
        driver.run(True)
        monitor = driver.monitor
        assert Probe() in monitor.handle(TimerFired(), driver.now)
        assert AnnounceState(UpstreamState.DRAINING) in monitor.handle(DrainRequested(), driver.now)
        assert monitor.handle(ProbeCompleted(True), driver.now) == []
        assert monitor.handle(TimerFired(), driver.now + 100) == []
        assert monitor.handle(DrainRequested(), driver.now) == []
        assert monitor.state is UpstreamState.DRAINING
