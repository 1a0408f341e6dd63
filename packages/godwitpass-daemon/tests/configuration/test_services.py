"""Tests of the acceptance and distribution services of several daemons."""

from collections.abc import Awaitable, Callable, Sequence

import anyio
import msgspec
import pytest

from godwitpass.document import Document, Service
from godwitpass.errors import (
    AcceptanceUnknown,
    StoreOutcomeUnknown,
    StoreUnavailable,
    VersionConflict,
)
from godwitpass.ids import (
    Address,
    ChangeId,
    InstanceId,
    RegionId,
    Revision,
    ServiceName,
    Version,
    ZoneId,
)
from godwitpass.internal.acceptance import acceptor
from godwitpass.internal.acceptance.record import ROOT_KEY
from godwitpass.mesh import Member, MemberState
from godwitpass.store import WriteResult
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.services.acceptance import AcceptanceService
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.settings import ListenSettings, Settings
from godwitpass_testkit.ports import AddressAllocator
from godwitpass_testkit.store.fake import FakeStore
from godwitpass_testkit.store.faults import Faults
from godwitpass_testkit.store.state import StoreState

TIMEOUT_S = 20.0
UNUSED_ADDRESS = Address("127.0.0.1:1")


def build_document(slots: int) -> Document:
    return Document(1, (Service(ServiceName("maal"), slots=slots),))


async def put_then_lose_store(
    store: FakeStore, key: str, value: bytes, expected: Revision | None
) -> WriteResult:
    """Write; after a write of the root, lose the answer and make the store unavailable."""
    result = store.state.put(key, value, expected, None, anyio.current_time())
    if key == ROOT_KEY:
        store.state.faults = Faults(down=True)
        raise StoreOutcomeUnknown("the answer was lost")
    return result


class FixedMembership:
    """A membership whose members never change."""

    def __init__(self, members: Sequence[Member]) -> None:
        self._members = members

    def members(self) -> Sequence[Member]:
        return self._members

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Ignore `callback`, because the members never change."""


class Daemon:
    """The acceptance and distribution services of a daemon, on a store that daemons may share."""

    def __init__(self, number: int, addresses: Sequence[Address], state: StoreState) -> None:
        unused_listeners = (UNUSED_ADDRESS,) * 3
        self.settings = Settings(
            InstanceId(f"maal-{number}"),
            ZoneId("bergen"),
            RegionId("vest"),
            ListenSettings(*unused_listeners, addresses[number]),
            (UNUSED_ADDRESS,),
            peer_key="k" * 32,
        )
        self.events = EventLog(self.settings)
        store = FakeStore(state, anyio.current_time)
        self.peers = PeerTransport(addresses[number], (b"k" * 32,), self.events.emit)
        members = [
            Member(
                InstanceId(f"maal-{index}"),
                ZoneId("bergen"),
                RegionId("vest"),
                address,
                1,
                1,
                MemberState.ALIVE,
            )
            for index, address in enumerate(addresses)
        ]
        self.distribution = DistributionService(
            self.settings, store, self.peers, FixedMembership(members), self.events
        )
        self.acceptance = AcceptanceService(store, self.events, self.distribution.snapshot)
        self.services = (self.peers, self.acceptance, self.distribution)

    @property
    def version(self) -> int:
        snapshot = self.distribution.snapshot()
        return snapshot.version if snapshot else 0


def run_daemons(
    states: Sequence[StoreState], scenario: Callable[[Sequence[Daemon]], Awaitable[None]]
) -> None:
    async def run() -> None:
        allocator = AddressAllocator()
        addresses = [allocator.allocate() for _ in states]
        daemons = [Daemon(number, addresses, state) for number, state in enumerate(states)]
        async with anyio.create_task_group() as tasks:
            for daemon in daemons:
                for service in daemon.services:
                    await service.start(tasks)
            await scenario(daemons)
            for daemon in daemons:
                for service in reversed(daemon.services):
                    await service.stop()
            tasks.cancel_scope.cancel()

    anyio.run(run)


async def wait_for(daemon: Daemon, version: int) -> None:
    reached = anyio.Event()

    def check(_: object) -> None:
        if daemon.version >= version:
            reached.set()

    daemon.distribution.subscribe(check)
    check(None)
    with anyio.fail_after(TIMEOUT_S):
        await reached.wait()


class TestConfigurationServices:
    def test_a_daemon_without_the_store_receives_versions_from_its_peer(self) -> None:
        reachable, unreachable = StoreState(), StoreState()
        unreachable.faults = Faults(down=True)

        async def scenario(daemons: Sequence[Daemon]) -> None:
            first, second = daemons
            for slots in (1, 2):
                accepted = await first.acceptance.accept(
                    build_document(slots), ChangeId(f"change-{slots}"), None
                )
                await wait_for(second, accepted.version)
            snapshot = second.distribution.snapshot()
            assert snapshot is not None and snapshot.document == build_document(2)
            assert await first.acceptance.load_document(Version(1)) == build_document(1)
            assert [item.version for item in await first.acceptance.list_versions()] == [1, 2]

        run_daemons([reachable, unreachable], scenario)

    def test_malformed_messages_are_dropped_and_counted_without_effect(self) -> None:
        async def scenario(daemons: Sequence[Daemon]) -> None:
            first, second = daemons
            for payload in (b"", b"\xff" * 500, msgspec.msgpack.encode([2, -1, "c", b"", 0, b""])):
                first.peers.send(Channel.DISTRIBUTION, second.peers.address, payload)
            await first.acceptance.accept(build_document(1), ChangeId("change"), None)
            await wait_for(second, 1)
            assert second.peers.dropped_incoming.totals["malformed"] == 3

        run_daemons([StoreState()] * 2, scenario)

    def test_errors_tell_whether_the_change_was_accepted(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(acceptor, "ACCEPTANCE_TIMEOUT_S", 0.5)
        state = StoreState()

        async def scenario(daemons: Sequence[Daemon]) -> None:
            accept = daemons[0].acceptance.accept
            await accept(build_document(1), ChangeId("first"), Version(0))
            with pytest.raises(VersionConflict) as conflict:
                await accept(build_document(2), ChangeId("second"), Version(0))
            assert conflict.value.winner == "first"
            with monkeypatch.context() as patch:
                patch.setattr(FakeStore, "put", put_then_lose_store)
                with pytest.raises(AcceptanceUnknown):
                    await accept(build_document(3), ChangeId("third"), None)
            with pytest.raises(StoreUnavailable):
                await accept(build_document(4), ChangeId("fourth"), None)
            state.faults = Faults()
            accepted = await accept(build_document(3), ChangeId("third"), None)
            assert accepted.version == 2

        run_daemons([state], scenario)
