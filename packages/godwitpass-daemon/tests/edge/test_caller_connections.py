"""What a caller's connection parses, keeps and answers, without sockets."""

import asyncio
from typing import Any
from unittest.mock import MagicMock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.internal.routing.table import Listener
from godwitpass_daemon.edge.bodies import RequestBody
from godwitpass_daemon.edge.buffer_budget import SMALL_REQUEST_BYTES, BufferBudget
from godwitpass_daemon.edge.callers import CallerConnection
from godwitpass_daemon.edge.core import EdgeCore
from godwitpass_daemon.edge.heads import RequestHead
from godwitpass_daemon.edge.limits import (
    BODY_BUFFER_BYTES,
    MAX_HEAD_BYTES,
    MAX_PIPELINED_REQUESTS,
    PARSED_SLICE_BYTES,
    RECEIVE_BUFFER_BYTES,
)
from godwitpass_daemon.edge.parsing_turns import MAX_LOOP_SHARE, TURN_S, ParsingTurns
from godwitpass_daemon.edge.stopped_clients import StoppedClients, StopReason

GET = b"GET /books HTTP/1.1\r\nhost: h\r\n\r\n"
CHUNKED = b"POST /books HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"


class RecordedCall:
    """Records its request and, if `is_answering`, answers it once its body is complete."""

    unsent_bytes = 0

    def __init__(self, edge: "RecordingEdge", head: RequestHead, body: RequestBody) -> None:
        self._edge = edge
        self._head = head
        self.body = body
        self._content = b""
        self._position = 0

    def start(self) -> None:
        self.body.on_change = self._handle_change
        self._handle_change()

    def cancel(self) -> None:
        self.body.on_change = None

    def pause_response(self) -> None:
        pass

    def resume_response(self) -> None:
        pass

    def _handle_change(self) -> None:
        if not self._edge.is_answering:
            return
        chunk, self._position = self.body.take(self._position)
        self._content += chunk
        if self.body.is_complete:
            self._edge.requests.append((self._head.method, self._head.target.raw, self._content))
            connection = self._edge.connection
            connection.write(b"response")
            connection.finish_call()


class RecordingEdge:
    """Stand-in of the edge for one connection, whose callbacks the test runs."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, bytes, bytes]] = []
        self.is_answering = True
        self._callbacks: list[Any] = []
        core = MagicMock(spec=EdgeCore, is_draining=False, turns=MagicMock(spec=ParsingTurns))
        core.now = lambda: 0.0
        core.turns.add = self._callbacks.append
        core.create_call.side_effect = lambda _, caller, head, body, route: RecordedCall(
            self, head, body
        )
        core.stopped_clients = StoppedClients(MagicMock())
        core.buffers = self.buffers = BufferBudget(BODY_BUFFER_BYTES * 4, lambda: ())
        core.receive_buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        self.stopped_clients = core.stopped_clients
        self.connection = CallerConnection(core, Listener.OUTER)
        self.transport = MagicMock(spec=asyncio.Transport)
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.transport.get_extra_info.return_value = ("127.0.0.1", 1)
        self.is_paused = False
        self.transport.pause_reading.side_effect = lambda: self._set_paused(True)
        self.transport.resume_reading.side_effect = lambda: self._set_paused(False)
        self.connection.connection_made(self.transport)

    def receive(self, data: bytes) -> None:
        """Pass `data` to the connection as far as it reads."""
        while data and not self.is_paused:
            buffer = self.connection.get_buffer(len(data))
            size = min(len(buffer), len(data))
            buffer[:size] = data[:size]
            self.connection.buffer_updated(size)
            data = data[size:]
            self.run_callbacks()

    def run_callbacks(self) -> None:
        while self._callbacks:
            self._callbacks.pop(0)()

    def count_written(self) -> int:
        return int(self.transport.write.call_count)

    def _set_paused(self, is_paused: bool) -> None:
        self.is_paused = is_paused


def encode_chunked(body: bytes, chunk_bytes: int, trailer: bytes) -> bytes:
    chunks = [body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes)]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    return CHUNKED + encoded + b"0\r\n" + trailer + b"\r\n"


def encode_sized(body: bytes, lines: int) -> bytes:
    head = b"POST /scans HTTP/1.1\r\nhost: h\r\n" + b"a:b\r\n" * lines
    return head + b"content-length: %d\r\n\r\n" % len(body) + body


BODIES = st.binary(max_size=64).map(lambda part: part * 50)
REQUESTS = st.one_of(
    st.just(GET),
    st.just(b"\r\n" + GET),
    st.builds(encode_sized, BODIES, st.integers(0, 300)),
    st.builds(encode_chunked, BODIES, st.integers(1, 700), st.sampled_from([b"", b"x: y\r\n"])),
)


class TestSlices:
    @settings(derandomize=True, max_examples=60, database=None, deadline=None)
    @given(
        st.lists(REQUESTS, min_size=1, max_size=20),
        st.lists(st.integers(1, 3000), min_size=1, max_size=30),
    )
    def test_requests_cut_at_any_place_equal_uncut_ones(
        self, requests: list[bytes], sizes: list[int]
    ) -> None:
        data = b"".join(requests)
        uncut, cut = RecordingEdge(), RecordingEdge()
        uncut.receive(data)
        position = 0
        for size in [*sizes, len(data)]:
            cut.receive(data[position : position + size])
            position += size
        assert cut.requests == uncut.requests
        assert len(cut.requests) == len(requests)

    def test_pipelined_requests_beyond_the_queue_stay_unparsed(self) -> None:
        edge = RecordingEdge()
        edge.is_answering = False
        edge.receive(GET * 5000)
        assert edge.is_paused
        assert len(edge.connection._queue) <= (
            MAX_PIPELINED_REQUESTS + PARSED_SLICE_BYTES // len(GET) + 1
        )

    def test_a_body_that_nobody_takes_is_read_no_further_than_its_buffer(self) -> None:
        edge = RecordingEdge()
        edge.is_answering = False
        edge.receive(CHUNKED + b"2\r\nxy\r\n" * BODY_BUFFER_BYTES)
        assert edge.is_paused
        body = edge.connection._queue[0].body
        assert BODY_BUFFER_BYTES < body.buffered_bytes <= BODY_BUFFER_BYTES + PARSED_SLICE_BYTES

    @pytest.mark.parametrize(
        "data",
        [
            b"GET /books HTTP/1.1\r\n" + b"a:\r\n" * 2000,
            CHUNKED + b"2\r\nxy\r\n" * 2000,
            GET * 50,
        ],
    )
    def test_costly_bytes_wait_for_a_turn_after_each_slice(self, data: bytes) -> None:
        edge = RecordingEdge()
        edge.connection.receive(memoryview(data))
        assert edge.is_paused
        assert len(edge.connection._unparsed) == max(0, len(data) - PARSED_SLICE_BYTES)

    def test_an_ordinary_upload_takes_no_turns(self) -> None:
        edge = RecordingEdge()
        edge.connection.receive(memoryview(encode_chunked(bytes(12_000), 4000, b"")))
        assert len(edge.requests) == 1


class TestTurns:
    def test_turns_take_a_bounded_share_of_the_time(self) -> None:
        now = 0.0
        delays_s: list[float] = []
        loop = MagicMock(spec=asyncio.AbstractEventLoop)
        loop.call_later.side_effect = lambda delay_s, run: delays_s.append(delay_s)
        turns = ParsingTurns(loop, lambda: now)
        parsed = 0

        def parse() -> None:
            nonlocal now, parsed
            parsed += 1
            now += TURN_S / 2
            turns.add(parse)

        for _ in range(10):
            turns.add(parse)
        run = loop.call_soon.call_args.args[0]
        for _ in range(20):
            run()
            now += delays_s[-1]
        assert parsed * TURN_S / 2 <= MAX_LOOP_SHARE * now * 1.001


class TestProgress:
    @pytest.mark.parametrize(
        ("opening", "repeated"),
        [
            (b"", b"\r\n"),
            (b"GET /books HTTP/1.1\r\n", b"a:\r\n"),
            (b"GET /books HTTP/1.1\r\nx: ", b"y"),
            (b"GET /", b"y"),
            (CHUNKED + b"1;", b"y"),
            (CHUNKED + b"0\r\n", b"a:\r\n"),
        ],
    )
    def test_bytes_without_progress_end_at_the_head_limit(
        self, opening: bytes, repeated: bytes
    ) -> None:
        edge = RecordingEdge()
        edge.receive(opening)
        limit = MAX_HEAD_BYTES // len(repeated)
        edge.receive(repeated * (limit - 100))
        assert not edge.connection._is_rejected
        edge.receive(repeated * (PARSED_SLICE_BYTES + 200))
        assert edge.connection._is_rejected

    def test_nothing_after_a_refusal_is_parsed_or_kept(self) -> None:
        edge = RecordingEdge()
        edge.is_answering = False
        edge.receive(GET + b"nonsense\r\n\r\n" + GET * 100)
        assert edge.is_paused
        assert len(edge.connection._queue) == 2


class TestHeldBytes:
    def test_a_small_request_is_not_counted(self) -> None:
        edge = RecordingEdge()
        edge.is_answering = False
        edge.receive(GET)
        assert edge.buffers.taken_bytes == 0

    @pytest.mark.parametrize(
        "data",
        [
            b"GET /books HTTP/1.1\r\nx: " + bytes([97]) * 2 * SMALL_REQUEST_BYTES,
            CHUNKED + b"2\r\nxy\r\n" * SMALL_REQUEST_BYTES,
            GET * SMALL_REQUEST_BYTES,
        ],
    )
    def test_what_a_connection_holds_is_counted_until_it_closes(self, data: bytes) -> None:
        edge = RecordingEdge()
        edge.is_answering = False
        edge.receive(data)
        assert edge.buffers.taken_bytes > SMALL_REQUEST_BYTES
        edge.connection.connection_lost(None)
        assert edge.buffers.taken_bytes == 0


class TestUnreadResponses:
    def test_no_request_is_answered_while_responses_are_unread(self) -> None:
        edge = RecordingEdge()
        edge.receive(GET)
        edge.connection.pause_writing()
        edge.receive(GET * 3)
        assert edge.requests == [("GET", b"/books", b"")]
        edge.connection.resume_writing()
        edge.run_callbacks()
        assert len(edge.requests) == 4

    def test_a_body_is_read_while_its_response_is_unread(self) -> None:
        edge = RecordingEdge()
        edge.receive(CHUNKED)
        edge.connection.pause_writing()
        edge.receive(b"2\r\nxy\r\n")
        edge.receive(b"0\r\n\r\n" + GET)
        assert edge.requests == [("POST", b"/books", b"xy")]
        edge.connection.resume_writing()
        edge.run_callbacks()
        assert len(edge.requests) == 2

    def test_a_caller_that_reads_nothing_is_disconnected(self) -> None:
        edge = RecordingEdge()
        edge.connection.pause_writing()
        edge.receive(GET)
        edge.connection.check_timeouts(1e6)
        edge.transport.abort.assert_called_once()
        assert edge.stopped_clients.counts == {StopReason.UNREAD: 1}
