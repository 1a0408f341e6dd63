"""Stand-in upstream with slots, cold start, load shedding, draining and injected faults.

Headers of a request control it: `x-work-ms` is the time for which the request occupies a slot,
`x-fault` names a `Fault`. Each answer echoes the request's `x-request` header, its path and the
length of its body, so that a test can match answers to requests.
"""

import asyncio
import os
from collections import Counter
from enum import Enum
from typing import Annotated, cast

import httptools
import msgspec
import typer
import uvloop

from godwitpass.ids import Address
from godwitpass.internal.calls.outcomes import CALL_HEADER, DEADLINE_HEADER, NOT_RUN_HEADER

IDLE_TIMEOUT_S = 5.0
LATE_ANSWER_DELAY_S = 0.2
STALL_S = 3600.0
"""Longer than any timeout in a test."""
LARGE_ANSWER_BYTES = 32 * 1024 * 1024
"""More than all socket buffers between upstream and caller hold."""

MAX_DEADLINES = 100
RUNS_PATH = b"/runs"
"""Path at which an upstream returns, as JSON, how often it ran each `x-request`."""


class Fault(Enum):
    """Fault of one request; the value is the content of its `x-fault` header."""

    CRASH = b"crash"
    """The process exits; within a test process, all connections and the port close instead."""

    ABORT = b"break"
    """The connection is aborted without an answer."""

    TRUNCATE = b"truncate"
    """The connection closes before the end of a body with a content length."""

    TRUNCATE_CHUNKED = b"truncate-chunked"
    """The connection closes before the last chunk of a body."""

    STALL = b"stall"
    """No answer is sent and the connection stays open."""

    STALL_ANSWER = b"stall-answer"
    """The answer stops in the middle and the connection stays open."""

    LATE = b"late"
    """The answer comes after `LATE_ANSWER_DELAY_S`."""

    GARBAGE = b"garbage"
    """The answer isn't HTTP."""

    TWO_ANSWERS = b"two-answers"
    """A second answer, which no request asked for, follows the first."""

    CLOSE_DELIMITED = b"unmarked"
    """The answer has neither content length nor chunks and ends with the connection."""

    ERROR = b"error"
    """The answer has status 500."""

    FALSE_NOT_RUN = b"false-not-run"
    """The answer claims that the call did not run, but doesn't echo the id of the call."""

    LARGE_ANSWER = b"big"
    """The answer has a body of `LARGE_ANSWER_BYTES`."""

    CLOSE_AFTER = b"close-after"
    """The connection closes after a complete answer that doesn't announce it."""


class UpstreamOptions(msgspec.Struct, frozen=True):
    """Behaviour of the stand-in.

    During the first `cold_start_s` seconds, work takes `cold_start_factor` times as long. With
    `is_shedding`, a request without a free slot is answered as not run; otherwise it runs at once.
    With `is_failing`, each request gets status 500.
    """

    slots: int = 12
    max_connections: int = 110
    work_s: float = 0.0
    is_shedding: bool = True
    cold_start_s: float = 0.0
    cold_start_factor: float = 10.0
    is_failing: bool = False
    idle_timeout_s: float = IDLE_TIMEOUT_S


class _Connection(asyncio.Protocol):
    """Connection of a caller to the upstream."""

    def __init__(self, upstream: "StandInUpstream") -> None:
        self.upstream = upstream
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.work_timer: asyncio.TimerHandle | None = None
        self.idle_timer: asyncio.TimerHandle | None = None
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body_bytes = 0
        self.holds_slot = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        upstream = self.upstream
        if len(upstream.connections) >= upstream.options.max_connections:
            upstream.counts["connections-refused"] += 1
            self.transport.abort()
            return
        upstream.connections.add(self)
        upstream.peak_connections = max(upstream.peak_connections, len(upstream.connections))
        self.start_idle_timer()

    def start_idle_timer(self) -> None:
        assert self.transport is not None
        loop = self.upstream.loop
        self.idle_timer = loop.call_later(
            self.upstream.options.idle_timeout_s, self.transport.close
        )

    def connection_lost(self, exc: Exception | None) -> None:
        self.upstream.connections.discard(self)
        if self.idle_timer is not None:
            self.idle_timer.cancel()
        if self.work_timer is not None:
            self.work_timer.cancel()
            self.upstream.counts["cancelled"] += 1
        self.release_slot()

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.upstream.counts["malformed"] += 1
            self.transport.abort()

    def on_message_begin(self) -> None:
        self.url = b""
        self.headers = {}
        self.body_bytes = 0
        if self.idle_timer is not None:
            self.idle_timer.cancel()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, chunk: bytes) -> None:
        self.body_bytes += len(chunk)

    def on_message_complete(self) -> None:
        upstream = self.upstream
        upstream.counts["requests"] += 1
        if self.url in (b"/health", b"/load"):
            self.answer(200, b"0")
            return
        if self.url == RUNS_PATH:
            runs = {request.decode("latin-1"): count for request, count in upstream.runs.items()}
            self.answer(200, msgspec.json.encode(runs))
            return
        if upstream.slots_in_use >= upstream.options.slots and upstream.options.is_shedding:
            upstream.counts["shed"] += 1
            self.answer(503, b"", is_not_run=True)
            return
        self.run_request()

    def run_request(self) -> None:
        upstream = self.upstream
        upstream.begin_request(self)
        work_s = upstream.compute_work_s(self.headers)
        fault = self.headers.get(b"x-fault")
        if fault == Fault.STALL.value:
            work_s = STALL_S
        if fault == Fault.LATE.value:
            work_s = LATE_ANSWER_DELAY_S
        if work_s > 0:
            self.work_timer = upstream.loop.call_later(work_s, self.finish_request)
        else:
            self.finish_request()

    def finish_request(self) -> None:
        self.work_timer = None
        self.release_slot()
        fault = self.headers.get(b"x-fault")
        if fault is not None:
            self.inject_fault(Fault(fault))
        elif self.upstream.options.is_failing:
            self.answer(500, b"failed")
        else:
            self.answer(200, self.build_echo())

    def build_echo(self) -> bytes:
        return b"%b %b %d" % (self.headers.get(b"x-request", b""), self.url, self.body_bytes)

    def release_slot(self) -> None:
        if self.holds_slot:
            self.holds_slot = False
            self.upstream.slots_in_use -= 1

    def answer(self, status: int, body: bytes, is_not_run: bool = False) -> None:
        assert self.transport is not None
        extra_headers = b""
        if is_not_run:
            extra_headers = b"%b: %b\r\n" % (NOT_RUN_HEADER, self.headers.get(CALL_HEADER, b""))
        is_closing = self.upstream.is_draining
        if is_closing:
            extra_headers += b"connection: close\r\n"
        self.transport.write(
            b"HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b"
            % (status, extra_headers, len(body), body)
        )
        if is_closing:
            self.transport.close()
        else:
            self.start_idle_timer()

    def inject_fault(self, fault: Fault) -> None:
        assert self.transport is not None
        write = self.transport.write
        match fault:
            case Fault.CRASH:
                self.upstream.crash()
            case Fault.ABORT:
                self.transport.abort()
            case Fault.TRUNCATE:
                write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
                self.transport.close()
            case Fault.STALL_ANSWER:
                write(b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf")
            case Fault.TRUNCATE_CHUNKED:
                write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")
                self.transport.close()
            case Fault.GARBAGE:
                write(b"not http at all\r\n\r\n")
            case Fault.TWO_ANSWERS:
                template = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"
                echo = self.build_echo()
                write((template % (len(echo), echo)) + (template % (5, b"other")))
            case Fault.CLOSE_DELIMITED:
                write(b"HTTP/1.1 200 OK\r\n\r\nno end")
                self.transport.close()
            case Fault.ERROR:
                self.answer(500, b"failed")
            case Fault.FALSE_NOT_RUN:
                write(
                    b"HTTP/1.1 503 X\r\ngodwit-not-run: other\r\ngodwit-outcome: not-run\r\n"
                    b"content-length: 0\r\n\r\n"
                )
            case Fault.LARGE_ANSWER:
                self.answer(200, bytes(LARGE_ANSWER_BYTES))
            case Fault.CLOSE_AFTER:
                self.answer(200, self.build_echo())
                self.transport.close()
            case Fault.STALL | Fault.LATE:
                self.answer(200, self.build_echo())


class StandInUpstream:
    """An upstream that counts the requests that it ran.

    `runs` counts them by `x-request`, `counts` counts events by name, and `deadlines_ms` holds the
    deadlines of the last requests that had one.
    """

    def __init__(self, options: UpstreamOptions | None = None, exit_on_crash: bool = False) -> None:
        self.options = options or UpstreamOptions()
        self.loop = asyncio.get_running_loop()
        self.counts: Counter[str] = Counter()
        self.runs: Counter[bytes] = Counter()
        self.deadlines_ms: list[int] = []
        self.connections: set[_Connection] = set()
        self.slots_in_use = 0
        self.peak_slots_in_use = 0
        self.peak_connections = 0
        self.is_draining = False
        self.address = Address("")
        self._exit_on_crash = exit_on_crash
        self._server: asyncio.Server | None = None
        self._started_at_s = 0.0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Listen, and return the address."""
        self._server = await self.loop.create_server(lambda: _Connection(self), host, port)
        self._started_at_s = self.loop.time()
        bound = self._server.sockets[0].getsockname()
        self.address = Address(f"{host}:{bound[1]}")
        return self.address

    def begin_request(self, connection: _Connection) -> None:
        """Occupy a slot for the request of `connection`, and count the request."""
        self.slots_in_use += 1
        connection.holds_slot = True
        self.peak_slots_in_use = max(self.peak_slots_in_use, self.slots_in_use)
        self.counts["run"] += 1
        headers = connection.headers
        request = headers.get(b"x-request")
        if request is not None:
            self.runs[request] += 1
        if DEADLINE_HEADER in headers:
            self.deadlines_ms.append(int(headers[DEADLINE_HEADER]))
            del self.deadlines_ms[:-MAX_DEADLINES]

    def compute_work_s(self, headers: dict[bytes, bytes]) -> float:
        """Return the duration of a request in seconds, which is longer during a cold start."""
        requested_ms = headers.get(b"x-work-ms")
        work_s = float(requested_ms) / 1000 if requested_ms is not None else self.options.work_s
        is_cold = self.loop.time() - self._started_at_s < self.options.cold_start_s
        return work_s * self.options.cold_start_factor if is_cold else work_s

    def drain(self) -> None:
        """Accept no new connections; close idle ones now and the others after their answer."""
        self.is_draining = True
        assert self._server is not None
        self._server.close()
        for connection in list(self.connections):
            if not connection.holds_slot and connection.transport is not None:
                connection.transport.close()

    def crash(self) -> None:
        """Exit the process, or within a test process close the port and abort all connections."""
        self.counts["crashed"] += 1
        if self._exit_on_crash:
            os._exit(1)
        self.close()

    def close(self) -> None:
        """Close the port and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            if connection.transport is not None:
                connection.transport.abort()


def main(
    port: Annotated[int, typer.Argument()] = 0,
    host: str = "127.0.0.1",
    slots: int = 12,
    work_ms: float = 0.0,
    sheds: bool = True,
) -> None:
    """Print the address and serve on `host` until the process is ended."""

    async def serve() -> None:
        options = UpstreamOptions(slots=slots, work_s=work_ms / 1000, is_shedding=sheds)
        upstream = StandInUpstream(options, exit_on_crash=True)
        print(await upstream.start(host, port), flush=True)
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    typer.run(main)
