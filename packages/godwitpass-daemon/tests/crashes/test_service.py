import time
from collections.abc import Callable, Sequence

import anyio
import msgspec

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address, InstanceId, RegionId, RouteName, ServiceName, ZoneId
from godwitpass.internal.crashes.events import REQUEST_REFUSED
from godwitpass.internal.crashes.node import GOSSIP_INTERVAL_S
from godwitpass.mesh import Member, MemberState
from godwitpass_daemon.edge.guards import RequestDescriptor, CrashGuard
from godwitpass_daemon.peers.channels import Channel, Handler
from godwitpass_daemon.services.crashes import CrashesService

ADDRESSES = tuple(Address(f"10.0.0.{host}:7000") for host in range(3))
LIMIT_S = 30


class MemoryMesh:
    """Peers and events of one daemon of a test."""

    def __init__(self, address: Address, network: dict[Address, Handler]) -> None:
        self.address = address
        self._network = network
        self.refused = anyio.Event()

    def send(self, channel: Channel, to: Address, payload: bytes) -> None:
        assert channel is Channel.CRASHES
        self._network[to](self.address, payload)

    def subscribe(self, channel: Channel, handler: Handler) -> None:
        self._network[self.address] = handler

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        if kind is REQUEST_REFUSED:
            self.refused.set()


class FixedMembership:
    def members(self) -> Sequence[Member]:
        zone, region, alive = ZoneId("bergen"), RegionId("vest"), MemberState.ALIVE
        return [Member(InstanceId(a), zone, region, a, 0, 0, alive) for a in ADDRESSES]

    def subscribe(self, callback: Callable[..., None]) -> None:
        pass


class TestCrashesService:
    def test_crashes_at_one_daemon_lead_to_refusals_at_another(self) -> None:
        async def run() -> None:
            network: dict[Address, Handler] = {}
            meshes = [MemoryMesh(address, network) for address in ADDRESSES]
            services = [CrashesService(mesh, FixedMembership(), mesh) for mesh in meshes]
            service, route = ServiceName("maal"), RouteName("scans")
            facts = RequestDescriptor(service, route, "POST", b"/scans", "", b"poison", 1.0)
            async with anyio.create_task_group() as tasks:
                for each in services:
                    assert isinstance(each, CrashGuard)
                    await each.start(tasks)
                for each in services:
                    assert not each.is_refused(facts)
                    each.report_crash(facts)
                # A process that is paused past its wake-up goes on with it at once.
                time.sleep(2 * GOSSIP_INTERVAL_S)  # noqa: ASYNC251
                services[0]._receive(ADDRESSES[1], b"\xc1")
                with anyio.fail_after(LIMIT_S):
                    for mesh in meshes:
                        await mesh.refused.wait()
                assert all(each.is_refused(facts) for each in services)
                sound = msgspec.structs.replace(facts, body=b"sound")
                elsewhere = msgspec.structs.replace(facts, target=b"/fittings")
                assert not any(services[0].is_refused(each) for each in (sound, elsewhere))
                tasks.cancel_scope.cancel()

        anyio.run(run)
