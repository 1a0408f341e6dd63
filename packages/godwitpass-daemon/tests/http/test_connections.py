"""Connections of the HTTP listeners, driven through a transport in memory."""

import asyncio
import functools
import itertools
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec

import httptools
import pytest
import uvloop
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.events import EventKind
from godwitpass_daemon.admin.metrics import render_metrics
from godwitpass_daemon.http.applications import Application, Receive, Scope, Send
from godwitpass_daemon.http.connection import HttpConnection
from godwitpass_daemon.http.connections import Connections
from godwitpass_daemon.http.limits import (
    FREE_PARSE_S,
    LOG_INTERVAL_S,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_PIPELINED_REQUESTS,
    MIN_WAIT_S,
    SLICE_BYTES,
    HttpLimits,
)
from godwitpass_daemon.http.metrics import collect_listener_metrics
from godwitpass_daemon.http.reasons import Close, Refusal

P = ParamSpec("P")
GET = b"GET /a%20b?q=1 HTTP/1.1\r\nHost: x\r\n\r\n"
PUT = b"PUT /p HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED_HEAD = b"PUT /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_PUT = CHUNKED_HEAD + b"2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: 1\r\n\r\n"
MANY_HEADERS = b"GET / HTTP/1.1\r\n" + b"a:\r\n" * (MAX_HEADERS + 1) + b"\r\n"
STALLED_PUT = b"PUT /p HTTP/1.1\r\nContent-Length: 9\r\n\r\nhe"
ENDLESS_HEADER = b"GET / HTTP/1.1\r\nX: " + b"a" * MAX_HEAD_BYTES * 2


class FakeTransport(asyncio.Transport):
    """Collects what a connection writes; bytes in `buffered` count as not taken."""

    def __init__(self, client: str = "127.0.0.2") -> None:
        super().__init__({"peername": (client, 5)})
        self.sent = bytearray()
        self.is_reading_paused = False
        self.is_half_closed = False
        self.is_closed = False
        self.buffered = 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def write(self, data: Any) -> None:
        self.sent += data

    def pause_reading(self) -> None:
        assert not self.is_reading_paused
        self.is_reading_paused = True

    def resume_reading(self) -> None:
        assert self.is_reading_paused
        self.is_reading_paused = False

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self.is_half_closed = True

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    abort = close


class Responses:
    """Parses what a client received."""

    def __init__(self, data: bytes) -> None:
        self.statuses: list[int] = []
        self.bodies: list[bytes] = []
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(data)

    def on_headers_complete(self) -> None:
        self.statuses.append(self._parser.get_status_code())
        self.bodies.append(b"")

    def on_body(self, body: bytes) -> None:
        self.bodies[-1] += body


class Server:
    """Connections of one listener, with a clock that the test sets."""

    def __init__(self, application: Application, limits: HttpLimits | None = None) -> None:
        self.now = 100.0
        self.slice_cost_s = 0.0
        self._parse_clock = 0.0
        self.events: list[tuple[str, dict[str, str]]] = []
        self.connections = Connections(
            "test",
            application,
            limits or HttpLimits(),
            asyncio.get_running_loop(),
            self._record,
            lambda: self.now,
            self._read_parse_clock,
        )

    def _read_parse_clock(self) -> float:
        self._parse_clock += self.slice_cost_s
        return self._parse_clock

    def _record(self, kind: EventKind, fields: dict[str, str]) -> None:
        self.events.append((kind.name, fields))

    def connect(self, client: str = "127.0.0.2") -> "Client":
        return Client(self, FakeTransport(client))

    def advance(self, duration_s: float) -> None:
        self.now += duration_s
        self.connections.check_timeouts()


class Client:
    """A client that sends only while its connection is read."""

    def __init__(self, server: Server, transport: FakeTransport) -> None:
        self.transport = transport
        self.connection = HttpConnection(server.connections)
        self._server = server
        self.connection.connection_made(transport)

    async def send(self, data: bytes, *cuts: int) -> int:
        """Send `data` in pieces; return how many bytes were read until nothing more was."""
        bounds = [0, *sorted(cuts), len(data)]
        sent = 0
        for start, end in itertools.pairwise(bounds):
            for position in range(start, end, SLICE_BYTES):
                piece = data[position : min(position + SLICE_BYTES, end)]
                await self.settle()
                if self.transport.is_reading_paused or self.transport.is_closed:
                    return sent
                self._server.connections.read_buffer[: len(piece)] = piece
                self.connection.buffer_updated(len(piece))
                sent += len(piece)
        await self.settle()
        return sent

    async def settle(self) -> None:
        for _ in range(30):
            await asyncio.sleep(0)

    @property
    def responses(self) -> Responses:
        return Responses(bytes(self.transport.sent))


async def echo(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer with the request, as it arrived."""
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
        body += message["body"]
        if not message["more_body"]:
            break
    content = (
        f"{scope['method']} {scope['path']} {scope['query_string']!r} {bytes(body)!r}".encode()
    )
    length = (b"content-length", b"%d" % len(content))
    await send({"type": "http.response.start", "status": 200, "headers": [length]})
    await send({"type": "http.response.body", "body": content})


async def stream(scope: Scope, receive: Receive, send: Send) -> None:
    """Answer in two parts without a length."""
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"one ", "more_body": True})
    await send({"type": "http.response.body", "body": b"two"})


class Gate:
    """An application that answers once it is opened; records whether its client left."""

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.started = 0
        self.has_ended = False

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        self.started += 1
        await self.opened.wait()
        await echo(scope, receive, send)
        self.has_ended = True


def on_loop(test: Callable[P, Coroutine[Any, Any, None]]) -> Callable[P, None]:
    """Run a test on the daemon's loop."""

    @functools.wraps(test)
    def run(*args: P.args, **kwargs: P.kwargs) -> None:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(test(*args, **kwargs))

    return run


class TestRequests:
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.lists(st.sampled_from([GET, PUT, CHUNKED_PUT]), min_size=1, max_size=4),
        st.lists(st.integers(0, 300), max_size=12),
    )
    @on_loop
    async def test_requests_cut_anywhere_are_answered_like_uncut_ones(
        self, requests: list[bytes], cuts: list[int]
    ) -> None:
        data = b"".join(requests)
        uncut, cut = Server(echo).connect(), Server(echo).connect()
        await uncut.send(data)
        await cut.send(data, *[position for position in cuts if position < len(data)])
        assert cut.transport.sent == uncut.transport.sent
        assert len(cut.responses.statuses) == len(requests)
        assert not cut.transport.is_closed

    @on_loop
    async def test_each_byte_of_a_request_may_come_alone(self) -> None:
        client = Server(echo).connect()
        await client.send(CHUNKED_PUT, *range(len(CHUNKED_PUT)))
        assert client.responses.bodies == [b"PUT /c b'' b'hello'"]

    @on_loop
    async def test_a_heartbeat_in_chunks_of_one_byte_is_served(self) -> None:
        client = Server(echo).connect()
        chunks = b"1\r\nx\r\n" * 2_000 + b"0\r\n\r\n"
        await client.send(CHUNKED_HEAD + chunks)
        assert client.responses.statuses == [200]

    @on_loop
    async def test_the_path_is_decoded_and_the_query_is_not(self) -> None:
        client = Server(echo).connect()
        await client.send(GET)
        assert client.responses.bodies == [b"GET /a b b'q=1' b''"]

    @pytest.mark.parametrize(
        ("version", "expected"),
        [(b"1.1", b"4\r\none \r\n3\r\ntwo\r\n0\r\n\r\n"), (b"1.0", b"one two")],
    )
    @on_loop
    async def test_a_streamed_response_ends_in_the_way_that_the_client_knows(
        self, version: bytes, expected: bytes
    ) -> None:
        client = Server(stream).connect()
        await client.send(b"GET / HTTP/" + version + b"\r\n\r\n")
        assert client.transport.sent.partition(b"\r\n\r\n")[2] == expected
        assert client.transport.is_closed == (version == b"1.0")

    @on_loop
    async def test_a_head_request_gets_the_length_without_the_body(self) -> None:
        client = Server(echo).connect()
        await client.send(GET.replace(b"GET", b"HEAD") + b"")
        head, _, body = client.transport.sent.partition(b"\r\n\r\n")
        assert b"content-length: " in head and not body
        assert not client.transport.is_closed

    @on_loop
    async def test_the_connection_ends_after_the_response_if_the_client_asks_for_it(self) -> None:
        client = Server(echo).connect()
        await client.send(GET.replace(b"Host: x", b"Connection: close"))
        assert b"connection: close\r\n" in client.transport.sent
        assert client.responses.statuses == [200] and client.transport.is_closed

    @on_loop
    async def test_a_request_for_another_protocol_is_answered_as_it_is(self) -> None:
        client = Server(echo).connect()
        await client.send(GET.replace(b"Host: x", b"Connection: upgrade\r\nUpgrade: h2c") + PUT)
        assert client.responses.statuses == [200]
        assert b"connection: close\r\n" in client.transport.sent

    @on_loop
    async def test_a_body_is_asked_for_when_the_application_wants_it(self) -> None:
        client = Server(echo).connect()
        head, body = PUT[:-5].replace(b"Host: x", b"Expect: 100-continue"), PUT[-5:]
        await client.send(head)
        assert client.transport.sent == b"HTTP/1.1 100 Continue\r\n\r\n"
        await client.send(body)
        assert client.transport.sent.count(b"200 OK") == 1


class TestBounds:
    @pytest.mark.parametrize(
        ("sent", "refusal", "status"),
        [
            (ENDLESS_HEADER, Refusal.HEAD_TOO_LARGE, 431),
            (b"GET /" + b"a" * MAX_HEAD_BYTES * 2, Refusal.HEAD_TOO_LARGE, 431),
            (b"\r\n" * MAX_HEAD_BYTES, Refusal.HEAD_TOO_LARGE, 431),
            (MANY_HEADERS, Refusal.HEAD_TOO_LARGE, 431),
            (CHUNKED_HEAD + b"1;" + b"e" * MAX_HEAD_BYTES * 2, Refusal.FRAMING_TOO_LARGE, 413),
            (CHUNKED_PUT[:-2] + b"T: t\r\n" * MAX_HEADERS, Refusal.HEAD_TOO_LARGE, 431),
            (CHUNKED_HEAD + b"1\r\nx\r\n" * MAX_HEAD_BYTES, Refusal.FRAMING_TOO_LARGE, 413),
            (PUT.replace(b"5\r", b"90000\r") + b"x" * 90_000, Refusal.BODY_TOO_LARGE, 413),
            (b"\x16\x03\x01 no HTTP\r\n\r\n", Refusal.MALFORMED, 400),
            (b"GET http://[ HTTP/1.1\r\n\r\n", Refusal.MALFORMED, 400),
        ],
    )  # fmt: skip
    @on_loop
    async def test_a_request_without_end_is_refused_and_its_connection_closed(
        self, sent: bytes, refusal: Refusal, status: int
    ) -> None:
        client = (server := Server(echo)).connect()
        await client.send(sent)
        assert client.responses.statuses == [status]
        assert client.transport.is_half_closed
        assert server.connections.counts.refused == {refusal: 1}

    @on_loop
    async def test_a_refused_client_that_keeps_sending_is_cut_off(self) -> None:
        client = (server := Server(echo)).connect()
        assert await client.send(ENDLESS_HEADER + b"a" * 1_000_000) < 200_000
        assert client.transport.is_closed and not server.connections.open_count

    @on_loop
    async def test_a_body_that_the_application_does_not_take_is_not_read(self) -> None:
        gate = Gate()
        client = Server(gate, HttpLimits(max_body_bytes=1_000_000)).connect()
        head = b"PUT / HTTP/1.1\r\nContent-Length: 500000\r\n\r\n"
        assert await client.send(head + b"x" * 500_000) < 40_000
        gate.opened.set()
        await client.settle()
        assert not client.transport.is_reading_paused

    @on_loop
    async def test_one_slice_is_read_while_a_request_is_in_progress(self) -> None:
        gate = Gate()
        client = Server(gate).connect()
        await client.send(GET)
        assert await client.send(GET * 1_000) == SLICE_BYTES
        assert gate.started == 1

    @on_loop
    async def test_the_next_request_waits_until_the_response_is_taken(self) -> None:
        client = Server(echo).connect()
        client.connection.pause_writing()
        assert await client.send(GET * 1_000, len(GET)) <= SLICE_BYTES + len(GET)
        assert not client.transport.sent
        client.connection.resume_writing()
        await client.settle()
        assert client.responses.statuses

    @on_loop
    async def test_too_many_pipelined_requests_are_refused_after_the_first_are_answered(
        self,
    ) -> None:
        client = Server(echo).connect()
        await client.send(b"GET / HTTP/1.1\r\n\r\n" * 200)
        for _ in range(MAX_PIPELINED_REQUESTS):
            await client.settle()
        assert client.responses.statuses == [200] * MAX_PIPELINED_REQUESTS + [503]

    @on_loop
    async def test_a_malformed_request_after_others_is_refused_in_order(self) -> None:
        client = Server(echo).connect()
        await client.send(GET + GET + b"\0\r\n")
        assert client.responses.statuses == [200, 200, 400]

    @on_loop
    async def test_costly_input_is_read_less_often(self) -> None:
        server = Server(echo)
        client = server.connect()
        server.slice_cost_s = FREE_PARSE_S
        await client.send(CHUNKED_HEAD)
        assert not client.transport.is_reading_paused
        await client.send(b"1\r\nx\r\n")
        assert client.transport.is_reading_paused


class TestCrowds:
    @on_loop
    async def test_a_new_connection_displaces_the_one_that_waited_longest(self) -> None:
        server = Server(echo, HttpLimits(max_connections=3))
        first, stalled, third = (server.connect() for _ in range(3))
        server.now += 1
        await first.send(GET)
        await stalled.send(STALLED_PUT)
        newest = server.connect()
        await newest.send(GET)
        assert newest.responses.statuses == [200]
        assert stalled.transport.is_closed
        assert not first.transport.is_closed and not third.transport.is_closed
        assert server.connections.open_count == 3

    @on_loop
    async def test_requests_in_progress_are_not_displaced(self) -> None:
        server = Server(gate := Gate(), HttpLimits(max_connections=2))
        clients = [server.connect() for _ in range(2)]
        for client in clients:
            await client.send(GET)
        server.now += 1
        newest = server.connect()
        assert newest.transport.is_closed
        gate.opened.set()
        await clients[0].settle()
        assert [client.responses.statuses for client in clients] == [[200], [200]]
        assert server.connections.counts.closed == {Close.LIMIT: 1}

    @on_loop
    async def test_a_connection_has_time_to_send_before_it_is_displaced(self) -> None:
        server = Server(echo, HttpLimits(max_connections=1))
        ordinary = server.connect()
        assert server.connect().transport.is_closed
        await ordinary.send(GET)
        assert ordinary.responses.statuses == [200]
        server.now += MIN_WAIT_S
        assert not server.connect().transport.is_closed

    @on_loop
    async def test_metrics_count_connections_and_refusals_by_reason(self) -> None:
        server = Server(echo)
        server.connect()
        await (refused := server.connect()).send(b"\0")
        refused.connection.connection_lost(None)
        text = render_metrics(collect_listener_metrics({"test": server.connections}))
        assert 'godwitpass_http_connections{listener="test"} 1\n' in text
        assert 'godwitpass_http_connections_opened_total{listener="test"} 2\n' in text
        assert 'connections_closed_total{listener="test",reason="refused"} 1\n' in text
        assert 'requests_refused_total{listener="test",reason="malformed"} 1\n' in text

    @on_loop
    async def test_each_client_address_is_logged_once_a_minute(self) -> None:
        server = Server(echo)
        for client in ("127.0.0.2", "127.0.0.3", "127.0.0.2"):
            await server.connect(client).send(b"\0")
        assert [fields["client"] for _, fields in server.events] == ["127.0.0.2", "127.0.0.3"]
        server.now += LOG_INTERVAL_S
        await server.connect().send(b"\0")
        assert len(server.events) == 3


class TestTimeouts:
    @pytest.mark.parametrize(
        ("sent", "limits", "refusals"),
        [
            (b"", HttpLimits(idle_timeout_s=3), {}),
            (GET, HttpLimits(idle_timeout_s=3), {}),
            (GET[:9], HttpLimits(head_timeout_s=3), {Refusal.HEAD_TIMEOUT: 1}),
            (b"\r\n", HttpLimits(head_timeout_s=3), {Refusal.HEAD_TIMEOUT: 1}),
            (STALLED_PUT, HttpLimits(body_timeout_s=3), {Refusal.BODY_TIMEOUT: 1}),
        ],
    )
    @on_loop
    async def test_a_client_that_stops_sending_is_closed(
        self, sent: bytes, limits: HttpLimits, refusals: dict[Refusal, int]
    ) -> None:
        client = (server := Server(echo, limits)).connect()
        await client.send(sent)
        server.advance(2.9)
        assert not client.transport.is_closed and not client.transport.is_half_closed
        server.advance(0.1)
        server.advance(2.0)
        assert client.transport.is_closed and server.connections.counts.refused == refusals

    @on_loop
    async def test_bytes_that_trickle_in_do_not_extend_the_time_for_a_head(self) -> None:
        client = (server := Server(echo, HttpLimits(head_timeout_s=3))).connect()
        for byte in GET[:4]:
            await client.send(bytes([byte]))
            server.advance(1.0)
        assert client.responses.statuses == [408]

    @on_loop
    async def test_a_response_that_is_not_taken_ends_the_connection(self) -> None:
        client = (server := Server(echo, HttpLimits(response_timeout_s=3))).connect()
        await client.send(GET)
        client.connection.pause_writing()
        server.advance(3.0)
        assert client.transport.is_closed
        assert server.connections.counts.closed == {Close.RESPONSE_NOT_TAKEN: 1}

    @on_loop
    async def test_a_long_request_is_not_timed_out(self) -> None:
        client = (server := Server(gate := Gate())).connect()
        await client.send(GET)
        server.advance(1_000.0)
        gate.opened.set()
        await client.settle()
        assert client.responses.statuses == [200]


class TestFailures:
    @on_loop
    async def test_an_application_that_fails_gives_an_internal_error_and_a_log_line(self) -> None:
        async def fail(scope: Scope, receive: Receive, send: Send) -> None:
            raise ZeroDivisionError("secret")

        client = (server := Server(fail)).connect()
        await client.send(GET)
        assert client.responses.statuses == [500]
        assert server.events == [
            ("http-application-failed", {"listener": "test", "error": "ZeroDivisionError"})
        ]

    @on_loop
    async def test_a_response_that_breaks_off_can_not_be_taken_for_a_whole_one(self) -> None:
        async def fail(scope: Scope, receive: Receive, send: Send) -> None:
            await send({"type": "http.response.start", "status": 200, "headers": []})
            await send({"type": "http.response.body", "body": b"part", "more_body": True})

        client = Server(fail).connect()
        await client.send(GET)
        assert client.transport.is_closed and not client.transport.sent.endswith(b"0\r\n\r\n")

    @on_loop
    async def test_a_client_that_leaves_does_not_cancel_its_request(self) -> None:
        client = (server := Server(gate := Gate())).connect()
        await client.send(STALLED_PUT)
        client.connection.connection_lost(None)
        gate.opened.set()
        await client.settle()
        assert gate.has_ended and not server.connections.tasks
        assert server.connections.counts.closed == {Close.CLIENT: 1}

    @on_loop
    async def test_a_stop_answers_the_request_in_progress_and_closes_idle_connections(self) -> None:
        server = Server(gate := Gate())
        busy, idle = server.connect(), server.connect()
        await busy.send(GET)
        server.connections.is_stopping = True
        server.connections.close_idle()
        assert idle.transport.is_closed and not busy.transport.is_closed
        gate.opened.set()
        await busy.settle()
        assert b"connection: close\r\n" in busy.transport.sent and busy.transport.is_closed
