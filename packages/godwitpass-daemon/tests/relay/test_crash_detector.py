import asyncio
from collections.abc import Awaitable, Callable

from godwitpass.ids import Address, InstanceId, RouteName, ServiceName
from godwitpass.internal.relay.registration import Heartbeat, Registration
from godwitpass_daemon.edge.guards import RequestDescriptor
from godwitpass_daemon.relay.crash_detector import CRASH_CHECK_DELAY_S, CrashDetector
from godwitpass_daemon.relay.limits import HEARTBEAT_TIMEOUT_S
from godwitpass_daemon.relay.upstream_connections import UpstreamConnection, UpstreamConnectionPool
from godwitpass_testkit.relay import HEADER_NAMES

REQUEST = RequestDescriptor(
    ServiceName("vault"), RouteName("read"), "GET", b"/read/7", "", b"", 1.0
)


class FakePool(UpstreamConnectionPool):
    """Accepts all connections."""

    async def connect(self) -> UpstreamConnection:
        return UpstreamConnection(self)


class FakeGuard:
    """Collects the ages of the crashes that are reported."""

    has_suspects = False

    def __init__(self) -> None:
        self.crash_ages: list[float] = []

    def would_refuse(self, request: RequestDescriptor, is_forwarding: bool = False) -> bool:
        return False

    is_suspected = is_refused = would_refuse

    def report_crash(self, request: RequestDescriptor, age_s: float = 0.0) -> None:
        self.crash_ages.append(age_s)

    def record_ended(self, request: RequestDescriptor, has_succeeded: bool) -> None:
        pass

    def record_completed(self, service: ServiceName, method: bytes, target: bytes) -> None:
        pass


class Upstream:
    """An upstream that still accepts connections after it has reset one."""

    def __init__(self) -> None:
        self.now = 100.0
        self.guard = FakeGuard()
        self.registration = Registration()
        self.checks: list[tuple[int, bool, str]] = []
        self._starts = 0
        self.detector = CrashDetector(
            self.guard,
            FakePool(HEADER_NAMES, lambda: self.now),
            self.registration,
            lambda: self.now,
            lambda *result: self.checks.append(result),
        )
        self.start()

    def start(self, upstream: str = "i-1") -> None:
        """Register a new incarnation."""
        self._starts += 1
        heartbeat = Heartbeat(
            InstanceId(upstream),
            ServiceName("vault"),
            Address("10.0.0.1:80"),
            2,
            False,
            1,
            1_000 * self._starts,
        )
        self.registration.apply(heartbeat, self.now)
        self.detector.handle_registration()

    async def reset(self) -> None:
        """Reset the connection of a call, and wait until the upstream has been checked."""
        self.detector.record_reset(REQUEST, self.registration.current)
        await asyncio.sleep(2 * CRASH_CHECK_DELAY_S)


def run(check: Callable[[Upstream], Awaitable[None]]) -> None:
    async def run_check() -> None:
        await check(Upstream())

    asyncio.run(run_check())


class TestUpstreamsThatAreBackAtOnce:
    def test_an_upstream_that_restarted_before_its_check_has_ended(self) -> None:
        async def check(upstream: Upstream) -> None:
            upstream.detector.record_reset(REQUEST, upstream.registration.current)
            upstream.start("i-2")
            await asyncio.sleep(2 * CRASH_CHECK_DELAY_S)
            assert upstream.guard.crash_ages == [0.0]
            assert upstream.checks[-1] == (1, True, "restarted")

        run(check)

    def test_an_upstream_whose_heartbeat_names_a_later_start_has_ended(self) -> None:
        async def check(upstream: Upstream) -> None:
            await upstream.reset()
            assert not upstream.guard.crash_ages
            upstream.now += 1.5
            upstream.start()
            assert upstream.guard.crash_ages == [1.5]
            upstream.start()
            assert len(upstream.guard.crash_ages) == 1

        run(check)


class TestFalsePositives:
    def test_a_reset_by_an_upstream_that_goes_on_is_no_crash(self) -> None:
        async def check(upstream: Upstream) -> None:
            await upstream.reset()
            upstream.detector.handle_registration()
            assert not upstream.guard.crash_ages
            assert upstream.checks == [(1, False, "accepts connections")]

        run(check)

    def test_a_reset_before_a_response_on_an_older_connection_is_no_crash(self) -> None:
        async def check(upstream: Upstream) -> None:
            await upstream.reset()
            upstream.detector.record_response(connected_at=upstream.now - 1)
            upstream.start()
            assert not upstream.guard.crash_ages

        run(check)

    def test_a_response_on_a_newer_connection_does_not_rule_out_a_crash(self) -> None:
        async def check(upstream: Upstream) -> None:
            await upstream.reset()
            upstream.detector.record_response(connected_at=upstream.now + 1)
            upstream.start()
            assert len(upstream.guard.crash_ages) == 1

        run(check)

    def test_a_reset_by_an_upstream_that_leaves_is_no_crash(self) -> None:
        async def check(upstream: Upstream) -> None:
            upstream.registration.draining_since = upstream.now
            await upstream.reset()
            upstream.start("i-2")
            assert not upstream.guard.crash_ages

        run(check)

    def test_a_reset_long_before_a_restart_is_no_crash(self) -> None:
        async def check(upstream: Upstream) -> None:
            await upstream.reset()
            upstream.now += HEARTBEAT_TIMEOUT_S + 1
            upstream.start()
            assert not upstream.guard.crash_ages

        run(check)
