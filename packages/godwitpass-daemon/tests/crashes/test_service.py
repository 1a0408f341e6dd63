import time
from collections.abc import Callable, Sequence

import anyio
import msgspec
import pytest

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address, InstanceId, RegionId, RouteName, ServiceName, ZoneId
from godwitpass.internal.crashes.events import REQUEST_REFUSED
from godwitpass.internal.crashes.node import GOSSIP_INTERVAL_S
from godwitpass.internal.crashes.suspects import CRASH_DEDUPLICATION_S, MAX_CRASHES
from godwitpass.mesh import Member, MemberState
from godwitpass_daemon.edge.guards import CrashGuard, RequestDescriptor
from godwitpass_daemon.peers.channels import Channel, Handler
from godwitpass_daemon.services.crashes import CrashesService
from godwitpass_testkit.store.fake import FakeStore
from godwitpass_testkit.store.state import StoreState

ADDRESSES = tuple(Address(f"10.0.0.{host}:7000") for host in range(3))
TIMEOUT_S = 10


class MemoryPeers:
    """In-memory peer transport and event log of one daemon."""

    def __init__(self, address: Address, network: dict[Address, Handler]) -> None:
        self.address = address
        self._network = network
        self.request_refused = anyio.Event()

    def send(self, channel: Channel, to: Address, payload: bytes) -> None:
        assert channel is Channel.CRASHES
        self._network[to](self.address, payload)

    def subscribe(self, channel: Channel, handler: Handler) -> None:
        self._network[self.address] = handler

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        if kind is REQUEST_REFUSED:
            self.request_refused.set()


class FixedMembership:
    def members(self) -> Sequence[Member]:
        zone, region, alive = ZoneId("bergen"), RegionId("vest"), MemberState.ALIVE
        return [Member(InstanceId(a), zone, region, a, 0, 0, alive) for a in ADDRESSES]

    def subscribe(self, callback: Callable[..., None]) -> None:
        pass


def build_store() -> FakeStore:
    return FakeStore(StoreState(), time.monotonic)


async def wait_for_refusals(peers: Sequence[MemoryPeers]) -> None:
    with anyio.fail_after(TIMEOUT_S):
        for own_peers in peers:
            await own_peers.request_refused.wait()


class TestCrashesService:
    def test_reports_are_sent_although_the_timer_of_the_event_loop_fires_early(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        sleep = anyio.sleep

        async def sleep_a_little_less(delay_s: float) -> None:
            await sleep(max(0.0, delay_s - 0.002))

        async def run() -> None:
            network: dict[Address, Handler] = {}
            peers = [MemoryPeers(address, network) for address in ADDRESSES]
            services = [
                CrashesService(own_peers, FixedMembership(), own_peers, build_store())
                for own_peers in peers
            ]
            request = RequestDescriptor(
                ServiceName("maal"), RouteName("scans"), "POST", b"/scans", "", b"poison", 1.0
            )
            monkeypatch.setattr(anyio, "sleep", sleep_a_little_less)
            async with anyio.create_task_group() as tasks:
                for each in services:
                    await each.start(tasks)
                for each in services:
                    each.report_crash(request)
                await wait_for_refusals(peers)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_other_queries_of_a_path_that_is_served_are_not_refused_with_a_crashing_one(
        self,
    ) -> None:
        async def run() -> None:
            network: dict[Address, Handler] = {}
            peers = MemoryPeers(ADDRESSES[0], network)
            service = CrashesService(peers, FixedMembership(), peers, build_store())
            search = RequestDescriptor(
                ServiceName("maal"), RouteName("search"), "GET", b"/search?q=a", "", b"", 1.0
            )
            crashing = msgspec.structs.replace(search, target=b"/search?q=crash")
            rare = msgspec.structs.replace(search, target=b"/rare?q=1")
            async with anyio.create_task_group() as tasks:
                for address in ADDRESSES[1:]:
                    network[address] = lambda sender, payload: None
                await service.start(tasks)
                service.record_completed(search.service, b"GET", search.target)
                for _ in range(MAX_CRASHES):
                    for request in (crashing, rare):
                        assert not service.is_refused(request)
                        service.report_crash(request)
                    await anyio.sleep(CRASH_DEDUPLICATION_S)
                assert service.is_refused(crashing)
                assert not service.is_refused(search)
                assert service.is_refused(msgspec.structs.replace(rare, target=b"/rare?q=2"))
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_a_request_that_crashes_upstreams_of_several_daemons_is_refused_by_all(self) -> None:
        async def run() -> None:
            network: dict[Address, Handler] = {}
            peers = [MemoryPeers(address, network) for address in ADDRESSES]
            services = [
                CrashesService(own_peers, FixedMembership(), own_peers, build_store())
                for own_peers in peers
            ]
            service, route = ServiceName("maal"), RouteName("scans")
            request = RequestDescriptor(service, route, "POST", b"/scans", "", b"poison", 1.0)
            async with anyio.create_task_group() as tasks:
                for each in services:
                    assert isinstance(each, CrashGuard)
                    await each.start(tasks)
                for each in services:
                    assert not each.is_refused(request)
                    each.report_crash(request)
                # Block the event loop beyond the gossip timer, which must then fire at once.
                time.sleep(2 * GOSSIP_INTERVAL_S)  # noqa: ASYNC251
                services[0]._receive(ADDRESSES[1], b"\xc1")
                await wait_for_refusals(peers)
                assert all(each.is_refused(request) for each in services)
                other_body = msgspec.structs.replace(request, body=b"sound")
                other_target = msgspec.structs.replace(request, target=b"/fittings")
                assert not any(services[0].is_refused(each) for each in (other_body, other_target))
                tasks.cancel_scope.cancel()

        anyio.run(run)
