"""Connections between daemons that go silent, while new ones and datagrams still pass."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from godwitpass.events import EventKind, FieldValue
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.peers.connections import MAX_RETIRED
from godwitpass_platform_soak.proxy import Link, LinkMode, StreamProxy
from godwitpass_testkit.ports import AddressAllocator

KEY = b"k" * 32
LARGE = b"x" * 40_000
SINGLE_CHUNK = b"x" * 4_000
"""A large message that the proxy delays as a whole."""

DELIVERED_S = 1.0
"""Bound on one step of a version's way: less than half of the time in which it must be in force."""

FAILURE_LIMIT_S = 10.0


class Peers:
    """A sender, and a receiver whose connections pass a proxy."""

    def __init__(self) -> None:
        allocator = AddressAllocator()
        own, target, front = (allocator.allocate() for _ in range(3))
        self.link = Link()
        self.proxy = StreamProxy(front, target, self.link)
        self.events: list[str] = []
        self.sender = PeerTransport(own, [KEY], self.record_event)
        self.receiver = PeerTransport(target, [KEY], self.record_event, advertised=front)
        self.received: list[bytes] = []
        self.receiver.subscribe(Channel.CLAIMS, lambda _, payload: self.received.append(payload))

    def record_event(self, kind: EventKind, /, **fields: FieldValue) -> None:
        self.events.append(kind.name)

    def send(self, payload: bytes) -> None:
        self.sender.send(Channel.CLAIMS, self.receiver.address, payload)

    async def wait_for(self, count: int) -> float:
        """Return the seconds until `count` messages have arrived in all."""
        started_at = time.monotonic()
        with anyio.fail_after(FAILURE_LIMIT_S):
            while len(self.received) < count:
                await anyio.sleep(0.005)
        return time.monotonic() - started_at


@asynccontextmanager
async def run_peers() -> AsyncIterator[Peers]:
    peers = Peers()
    async with anyio.create_task_group() as tasks:
        await peers.proxy.start()
        for transport in (peers.sender, peers.receiver):
            await transport.start(tasks)
        try:
            yield peers
        finally:
            peers.proxy.stop()
            for transport in (peers.sender, peers.receiver):
                await transport.stop()
            tasks.cancel_scope.cancel()


class TestSilentPeerConnections:
    @pytest.mark.parametrize("idle_s", [0.0, 2.0])
    def test_a_large_message_on_a_silent_connection_arrives_on_another_one(
        self, idle_s: float
    ) -> None:
        # Guards against versions that wait until calls on a silent connection have timed out.
        async def run() -> None:
            async with run_peers() as peers:
                peers.send(LARGE + b"1")
                await peers.wait_for(1)
                peers.proxy.silence()
                await anyio.sleep(idle_s)
                peers.send(LARGE + b"2")
                assert await peers.wait_for(2) < DELIVERED_S
                peers.send(LARGE + b"3")
                assert await peers.wait_for(3) < DELIVERED_S

        anyio.run(run)

    def test_messages_on_connections_that_go_silent_again_and_again_arrive_once(self) -> None:
        async def run() -> None:
            async with run_peers() as peers:
                for number in range(2 * MAX_RETIRED):
                    peers.send(LARGE + bytes([number]))
                    assert await peers.wait_for(number + 1) < DELIVERED_S
                    peers.proxy.silence()
                await anyio.sleep(0.5)
                assert peers.received == [
                    LARGE + bytes([number]) for number in range(2 * MAX_RETIRED)
                ]
                assert "peer-connection-replaced" in peers.events

        anyio.run(run)

    def test_a_message_that_is_only_slow_is_sent_once(self) -> None:
        async def run() -> None:
            async with run_peers() as peers:
                peers.send(SINGLE_CHUNK)
                await peers.wait_for(1)
                peers.link.set_mode(delay_s=0.25)
                before = peers.proxy.received_bytes
                peers.send(SINGLE_CHUNK + b"slow")
                await peers.wait_for(2)
                await anyio.sleep(1.5)
                assert peers.proxy.received_bytes - before < 2 * len(SINGLE_CHUNK)
                assert peers.received == [SINGLE_CHUNK, SINGLE_CHUNK + b"slow"]

        anyio.run(run)

    def test_a_daemon_that_was_away_for_seconds_gets_the_first_message_after_its_return(
        self,
    ) -> None:
        # Guards against connections whose repeated attempts to connect wait ever longer.
        async def run() -> None:
            async with run_peers() as peers:
                peers.proxy.refuse()
                for _ in range(8):
                    peers.send(LARGE + b"lost")
                    await anyio.sleep(0.3)
                await peers.proxy.start()
                peers.send(LARGE + b"back")
                assert await peers.wait_for(1) < DELIVERED_S

        anyio.run(run)

    def test_a_message_on_a_connection_that_is_closed_meanwhile_is_reported(self) -> None:
        async def run() -> None:
            async with run_peers() as peers:
                peers.link.set_mode(LinkMode.HOLD)
                peers.send(LARGE)
                await anyio.sleep(0.05)
                (connection,) = peers.sender._grpc._pool._connections.values()
                await connection.channel.close()
                with anyio.fail_after(DELIVERED_S):
                    while "peer-send-failed" not in peers.events:
                        await anyio.sleep(0.01)

        anyio.run(run)

    def test_messages_to_a_daemon_that_does_not_accept_are_reported_and_bounded(self) -> None:
        async def run() -> None:
            async with run_peers() as peers:
                peers.link.set_mode(LinkMode.HOLD)
                for _ in range(4 * MAX_RETIRED):
                    peers.send(LARGE)
                    await anyio.sleep(0.02)
                await anyio.sleep(1.5)
                assert peers.proxy.connection_count <= 1 + MAX_RETIRED
                with anyio.fail_after(FAILURE_LIMIT_S):
                    while "peer-send-failed" not in peers.events:
                        await anyio.sleep(0.05)

        anyio.run(run)
