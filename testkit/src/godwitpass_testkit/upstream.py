"""A stand-in upstream with slots, cold start, shedding, drain and faults on request.

Requests steer it with headers: `x-work-ms` occupies a slot for that time, `x-fault` names a
`Fault`. Each answer echoes the request's `x-request` header and the length of its body, so that
a test can tell whose answer it is.
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
LATE_S = 0.2
LARGE_ANSWER_BYTES = 32 * 1024 * 1024
"""More than the sockets on the way hold together."""
RUNS_PATH = b"/runs"
"""Asked directly, an upstream answers how often it ran each `x-request`, as JSON."""


class Fault(Enum):
    """What goes wrong with one request."""

    CRASH = b"crash"
    """The process dies; inside a test, every connection breaks and the port closes."""

    ABORT = b"break"
    TRUNCATE = b"truncate"
    TRUNCATE_CHUNKED = b"truncate-chunked"
    STALL = b"stall"
    STALL_ANSWER = b"stall-answer"
    """The answer stops in the middle and the connection stays open."""

    LATE = b"late"
    GARBAGE = b"garbage"
    TWO_ANSWERS = b"two-answers"
    CLOSE_DELIMITED = b"unmarked"
    ERROR = b"error"
    FALSE_NOT_RUN = b"false-not-run"
    LARGE_ANSWER = b"big"
    CLOSE_AFTER = b"close-after"


class UpstreamOptions(msgspec.Struct, frozen=True):
    """Behaviour of the stand-in; times are in seconds."""

    slots: int = 12
    connections: int = 110
    work_s: float = 0.0
    sheds: bool = True
    cold_s: float = 0.0
    cold_factor: float = 10.0
    is_failing: bool = False
    idle_timeout_s: float = IDLE_TIMEOUT_S


class _Connection(asyncio.Protocol):
    def __init__(self, upstream: "StandInUpstream") -> None:
        self.upstream = upstream
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.work: asyncio.TimerHandle | None = None
        self.idle: asyncio.TimerHandle | None = None
        self.url = b""
        self.headers: dict[bytes, bytes] = {}
        self.body_bytes = 0
        self.holds_slot = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        upstream = self.upstream
        if len(upstream.connections) >= upstream.options.connections:
            upstream.counts["connections-refused"] += 1
            self.transport.abort()
            return
        upstream.connections.add(self)
        upstream.peak_connections = max(upstream.peak_connections, len(upstream.connections))
        self.wait_idle()

    def wait_idle(self) -> None:
        assert self.transport is not None
        loop = self.upstream.loop
        self.idle = loop.call_later(self.upstream.options.idle_timeout_s, self.transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        self.upstream.connections.discard(self)
        if self.idle is not None:
            self.idle.cancel()
        if self.work is not None:
            self.work.cancel()
            self.upstream.counts["cancelled"] += 1
        self.leave_slot()

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
        if self.idle is not None:
            self.idle.cancel()

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
        if upstream.slots_in_use >= upstream.options.slots and upstream.options.sheds:
            upstream.counts["shed"] += 1
            self.answer(503, b"", not_run=True)
            return
        self.run()

    def run(self) -> None:
        upstream = self.upstream
        upstream.begin(self)
        work_s = upstream.measure_work(self.headers)
        fault = self.headers.get(b"x-fault")
        if fault == Fault.STALL.value:
            work_s = 3600.0
        if fault == Fault.LATE.value:
            work_s = LATE_S
        if work_s > 0:
            self.work = upstream.loop.call_later(work_s, self.finish)
        else:
            self.finish()

    def finish(self) -> None:
        self.work = None
        self.leave_slot()
        fault = self.headers.get(b"x-fault")
        if fault is not None:
            self.apply_fault(Fault(fault))
        elif self.upstream.options.is_failing:
            self.answer(500, b"failed")
        else:
            self.answer(200, self.echo())

    def echo(self) -> bytes:
        return b"%b %b %d" % (self.headers.get(b"x-request", b""), self.url, self.body_bytes)

    def leave_slot(self) -> None:
        if self.holds_slot:
            self.holds_slot = False
            self.upstream.slots_in_use -= 1

    def answer(self, status: int, body: bytes, not_run: bool = False) -> None:
        assert self.transport is not None
        extra = b""
        if not_run:
            extra = b"%b: %b\r\n" % (NOT_RUN_HEADER, self.headers.get(CALL_HEADER, b""))
        closing = self.upstream.draining
        if closing:
            extra += b"connection: close\r\n"
        self.transport.write(
            b"HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b" % (status, extra, len(body), body)
        )
        if closing:
            self.transport.close()
        else:
            self.wait_idle()

    def apply_fault(self, fault: Fault) -> None:
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
                one = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"
                echo = self.echo()
                write((one % (len(echo), echo)) + (one % (5, b"other")))
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
                self.answer(200, self.echo())
                self.transport.close()
            case Fault.STALL | Fault.LATE:
                self.answer(200, self.echo())


class StandInUpstream:
    """One upstream; counts what it ran."""

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
        self.draining = False
        self.address = Address("")
        self._exit_on_crash = exit_on_crash
        self._server: asyncio.Server | None = None
        self._started_at = 0.0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Listen; returns the address."""
        self._server = await self.loop.create_server(lambda: _Connection(self), host, port)
        self._started_at = self.loop.time()
        bound = self._server.sockets[0].getsockname()
        self.address = Address(f"{host}:{bound[1]}")
        return self.address

    def begin(self, connection: _Connection) -> None:
        """Count a request that runs."""
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
            del self.deadlines_ms[:-100]

    def measure_work(self, headers: dict[bytes, bytes]) -> float:
        """Return the seconds that a request works, more while the upstream is cold."""
        asked = headers.get(b"x-work-ms")
        work_s = float(asked) / 1000 if asked is not None else self.options.work_s
        cold = self.loop.time() - self._started_at < self.options.cold_s
        return work_s * self.options.cold_factor if cold else work_s

    def drain(self) -> None:
        """Take no new connections; close each after its answer, idle ones at once."""
        self.draining = True
        assert self._server is not None
        self._server.close()
        for connection in list(self.connections):
            if not connection.holds_slot and connection.transport is not None:
                connection.transport.close()

    def crash(self) -> None:
        """Die as a process does: every connection breaks."""
        self.counts["crashed"] += 1
        if self._exit_on_crash:
            os._exit(1)
        self.close()

    def close(self) -> None:
        """Close the port and break every connection."""
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
    """Serve on `host` until the process is ended; prints the address."""

    async def serve() -> None:
        options = UpstreamOptions(slots=slots, work_s=work_ms / 1000, sheds=sheds)
        upstream = StandInUpstream(options, exit_on_crash=True)
        print(await upstream.start(host, port), flush=True)
        await asyncio.Event().wait()

    uvloop.run(serve())


if __name__ == "__main__":
    typer.run(main)
