from contextlib import AsyncExitStack
from typing import cast

import anyio
import msgspec

from godwitpass.ids import Address, InstanceId, RegionId, Revision, ServiceName, ZoneId
from godwitpass.mesh import MemberState, UpstreamState
from godwitpass.store import Entry, EntryList, Store, WriteResult
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.services.membership import MembershipService
from godwitpass_daemon.settings import ListenSettings, Settings, UpstreamSettings

from .conftest import EventRecorder
from .test_transport import wait_until

KEY = "k" * 32
SERVICE = ServiceName("maal")


class InMemoryStore:
    """A store in memory with the three operations that membership uses."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}

    async def get(self, key: str) -> Entry:
        return self.entries.get(key, Entry(key, None, Revision(0)))

    async def list(self, prefix: str) -> EntryList:
        return EntryList(Revision(0), tuple(self.entries.values()))

    async def put(
        self, key: str, value: bytes, expected: Revision | None, lease: object = None
    ) -> WriteResult:
        current = await self.get(key)
        if current.revision != expected:
            return WriteResult(False, current)
        self.entries[key] = Entry(key, value, Revision(current.revision + 1))
        return WriteResult(True, self.entries[key])


def build_settings(number: int, peer: Address) -> Settings:
    unused = Address("127.0.0.1:1")
    return Settings(
        InstanceId(f"maal-{number}"),
        ZoneId(f"zone-{number}"),
        RegionId("vest"),
        ListenSettings(unused, unused, unused, peer),
        (unused,),
        peer_key=KEY,
        upstream=UpstreamSettings(SERVICE, Address(f"127.0.0.1:{8000 + number}")),
    )


def build_service(
    settings: Settings, store: InMemoryStore, peers: PeerTransport
) -> MembershipService:
    return MembershipService(settings, cast(Store, store), peers, EventLog(settings))


class TestMembershipService:
    async def run_two_daemons(
        self, addresses: tuple[Address, Address], recorder: EventRecorder
    ) -> None:
        store = InMemoryStore()
        async with anyio.create_task_group() as tasks:
            async with AsyncExitStack() as stack:
                services: list[MembershipService] = []
                for number, address in enumerate(addresses):
                    settings = build_settings(number, address)
                    peers = PeerTransport(address, [KEY.encode()], recorder)
                    await peers.start(tasks)
                    stack.push_async_callback(peers.stop)
                    service = build_service(settings, store, peers)
                    await service.start(tasks)
                    services.append(service)
                await self.check_drain_and_leave(*services)
            tasks.cancel_scope.cancel()
        assert not recorder.events

    async def check_drain_and_leave(
        self, first: MembershipService, second: MembershipService
    ) -> None:
        changes: list[int] = []
        first.subscribe(lambda: changes.append(len(first.members())))
        await wait_until(
            lambda: all(len(service.upstreams(SERVICE)) == 2 for service in (first, second))
        )
        second.announce(UpstreamState.DRAINING)
        await wait_until(
            lambda: UpstreamState.DRAINING
            in {upstream.state for upstream in first.upstreams(SERVICE)}
        )
        await second.stop()
        await wait_until(lambda: len(first.members()) == 1)
        await wait_until(lambda: changes[-1:] == [1])
        assert first.members()[0].state is MemberState.ALIVE

    def test_two_daemons_join_drain_and_leave_over_real_sockets(
        self, addresses: tuple[Address, Address], recorder: EventRecorder
    ) -> None:
        anyio.run(self.run_two_daemons, addresses, recorder)

    def test_malformed_messages_of_a_peer_are_dropped(
        self, addresses: tuple[Address, Address], recorder: EventRecorder
    ) -> None:
        async def send_malformed_payloads() -> None:
            settings = build_settings(0, addresses[0])
            receiver = PeerTransport(addresses[0], [KEY.encode()], recorder)
            sender = PeerTransport(addresses[1], [KEY.encode()], recorder)
            service = build_service(settings, InMemoryStore(), receiver)
            async with anyio.create_task_group() as tasks:
                for started in (receiver, sender, service):
                    await started.start(tasks)
                before = service.members()
                for payload in (
                    b"",
                    b"\x00",
                    b"\x01junk",
                    b"\x00" + msgspec.msgpack.encode([6, 0]),
                ):
                    sender.send(Channel.MEMBERSHIP, addresses[0], payload)
                await wait_until(lambda: receiver.dropped_incoming.totals["malformed"] == 4)
                assert service.members() == before
                for stopped in (receiver, sender):
                    await stopped.stop()
                tasks.cancel_scope.cancel()

        anyio.run(send_malformed_payloads)
