"""Clients of the listener for other daemons that take memory or time without bound."""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import pytest

from godwitpass.ids import Address, InstanceId, RouteName, ServiceName
from godwitpass.internal.relay.frames import (
    BODY_CHUNK_BYTES,
    LENGTH_PREFIX,
    MAX_FRAME_BYTES,
    BodyChunk,
    Frame,
    FrameDecoder,
    OpenStream,
    Ping,
    Refusal,
    Refused,
    WindowUpdate,
    encode_frame,
)
from godwitpass.internal.relay.registration import Heartbeat
from godwitpass_daemon.relay.inbound_peers import InboundLinks, InboundPeerConnection
from godwitpass_daemon.relay.limits import MAX_FRAMES_PER_TURN
from godwitpass_daemon.relay.upstream_runner import MIN_STALL_S, UpstreamRunner
from godwitpass_daemon.resources import MIN_DESCRIPTORS, MIN_MEMORY_MB, Resources
from godwitpass_testkit.relay import HEADER_NAMES

SERVICE = ServiceName("vault")
RESOURCES = Resources(MIN_MEMORY_MB, MIN_DESCRIPTORS)


class FakeTransport:
    """Decodes what is written; a client that doesn't read leaves `unread_bytes`."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.is_paused = self.is_closed = False
        self.unread_bytes = 0
        self._decoder = FrameDecoder()

    def write(self, data: bytes) -> None:
        self.frames += self._decoder.decode(data)

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return self.unread_bytes

    def is_closing(self) -> bool:
        return self.is_closed

    def abort(self) -> None:
        self.is_closed = True

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def get_extra_info(self, name: str) -> tuple[str, int]:
        return "127.0.0.1", 1


class Scene:
    """A daemon with one upstream of one slot, and links of other daemons to it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.runner = UpstreamRunner(
            HEADER_NAMES, lambda: self.now, lambda *_: None, 1.0, 1e9, resources=RESOURCES
        )
        self.runner.registration.apply(
            Heartbeat(InstanceId("i"), SERVICE, Address("127.0.0.1:1"), 1, False, 1, 1), 0.0
        )
        self.runner.apply_registration()
        self.links = InboundLinks(InstanceId("i"), lambda: 0.0, RESOURCES)

    def connect(self) -> tuple[InboundPeerConnection, FakeTransport]:
        connection, transport = InboundPeerConnection(self.runner, self.links), FakeTransport()
        connection.connection_made(cast(Any, transport))
        return connection, transport


def encode_open(stream_id: int, body_bytes: int) -> bytes:
    route = RouteName("scan")
    return encode_frame(
        OpenStream(stream_id, SERVICE, route, b"POST / ", 5_000, 1_000, 1, True, body_bytes)
    )


def run_on_loop(check: Callable[[], None]) -> None:
    async def run() -> None:
        check()

    asyncio.run(run())


class TestMemoryOfForwardedCalls:
    def test_a_call_without_room_is_refused_as_not_run_and_gives_everything_back(self) -> None:
        scene = Scene()
        budget = scene.runner.budget
        connection, transport = scene.connect()
        body_bytes = budget.large_limit_bytes // 3
        for stream_id in range(1, 6):
            scene.now += 0.1
            connection.data_received(encode_open(stream_id, body_bytes))
            assert budget.held_bytes <= budget.limit_bytes
        refused = [frame for frame in transport.frames if isinstance(frame, Refused)]
        assert [(f.stream_id, f.reason, f.reached_upstream) for f in refused] == [
            (stream_id, Refusal.NO_ROOM, False) for stream_id in (3, 4, 5)
        ]
        connection.connection_lost(None)
        assert (budget.held_bytes, budget._incomplete) == (0, {})

    def test_a_body_that_arrives_is_kept_and_one_without_progress_makes_room(self) -> None:
        scene = Scene()
        connection, transport = scene.connect()
        body_bytes = scene.runner.budget.large_limit_bytes * 2 // 5
        for stream_id in (1, 2):
            connection.data_received(encode_open(stream_id, body_bytes))
        assert any(isinstance(frame, WindowUpdate) for frame in transport.frames)
        scene.now = MIN_STALL_S
        connection.data_received(encode_frame(BodyChunk(1, b"b" * BODY_CHUNK_BYTES)))
        connection.data_received(encode_open(3, body_bytes))
        assert [f.stream_id for f in transport.frames if isinstance(f, Refused)] == [2]

    def test_more_of_a_body_than_was_announced_closes_the_link(self) -> None:
        connection, transport = Scene().connect()
        connection.data_received(encode_open(1, 100) + encode_frame(BodyChunk(1, b"b" * 101)))
        assert transport.is_closed

    def test_incomplete_frames_are_counted_and_links_without_calls_make_room(self) -> None:
        scene = Scene()
        budget = scene.runner.budget
        part = LENGTH_PREFIX.pack(MAX_FRAME_BYTES) + b"f" * (MAX_FRAME_BYTES - 1)
        busy, busy_transport = scene.connect()
        busy.data_received(encode_open(1, 100) + part)
        for _ in range(10):
            scene.connect()[0].data_received(part)
        others = [scene.connect() for _ in range(2 * budget.limit_bytes // MAX_FRAME_BYTES)]
        for connection, _ in others:
            scene.now += 0.3
            connection.data_received(part)
            assert budget.held_bytes <= budget.limit_bytes
        assert not busy_transport.is_closed
        assert not others[-1][1].is_closed
        for link in list(scene.links.connections):
            link.connection_lost(None)
        assert budget.held_bytes == 0


class TestLinksOfOtherDaemons:
    def test_a_link_without_calls_makes_room_and_none_with_calls(self) -> None:
        scene = Scene()
        links = [scene.connect() for _ in range(RESOURCES.inbound_connections)]
        links[0][0].data_received(encode_open(1, 100))
        _, late = scene.connect()
        assert [transport.is_closed for _, transport in links[:3]] == [False, True, False]
        assert not late.is_closed
        for connection in list(scene.links.connections):
            connection.data_received(encode_open(1, 100))
        assert scene.connect()[1].is_closed

    def test_many_frames_are_handled_in_turns(self) -> None:
        def check() -> None:
            connection, transport = Scene().connect()
            connection.data_received(encode_frame(Ping()) * (2 * MAX_FRAMES_PER_TURN))
            assert (len(transport.frames), transport.is_paused) == (MAX_FRAMES_PER_TURN, True)
            connection._handle_frames()
            assert (len(transport.frames), transport.is_paused) == (2 * MAX_FRAMES_PER_TURN, False)

        run_on_loop(check)

    @pytest.mark.parametrize("is_over", [False, True])
    def test_a_daemon_that_reads_no_replies_is_read_no_further(self, is_over: bool) -> None:
        connection, transport = Scene().connect()
        transport.unread_bytes = int(RESOURCES.buffer_bytes * (0.3 if is_over else 0.2))
        connection.pause_writing()
        connection.data_received(encode_frame(Ping()))
        assert (transport.is_paused, transport.frames) == (is_over, [])
        transport.unread_bytes = 0
        connection.resume_writing()
        assert not transport.is_paused
