"""A caller: single requests for tests, and load at a fixed rate."""

import asyncio
import time
from collections import Counter
from typing import cast

import httptools
import msgspec
from hdrh.histogram import HdrHistogram

from godwitpass.ids import Address

MAX_LATENCY_US = 60_000_000


class Answer(msgspec.Struct):
    """What a caller received; `is_complete` is False when the connection ended inside the answer."""

    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    is_complete: bool = False
    is_closed: bool = False

    @property
    def outcome(self) -> str:
        """Return the typed outcome, empty for an upstream's own answer."""
        return self.headers.get("godwit-outcome", "")

    @property
    def reason(self) -> str:
        """Return the reason of a typed outcome."""
        return self.headers.get("godwit-reason", "")


class CallerProtocol(asyncio.Protocol):
    """One connection to a daemon or an upstream; answers come in the order of requests."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiting: list[asyncio.Future[Answer]] = []
        self._answer = Answer(headers={})
        self.closed = False

    def send(self, data: bytes) -> asyncio.Future[Answer]:
        """Send raw bytes and return the next answer."""
        assert self.transport is not None
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if self.closed:
            self._fail_waiting()
        else:
            self.transport.write(data)
        return future

    def write(self, data: bytes) -> None:
        """Send raw bytes of a request that was begun with `send`."""
        assert self.transport is not None
        self.transport.write(data)

    def close(self) -> None:
        """Leave at once."""
        assert self.transport is not None
        self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse answers."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            assert self.transport is not None
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Hand over what came, as not whole."""
        self.closed = True
        self._fail_waiting()

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._answer = Answer(headers={})

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._answer.headers[name.decode().lower()] = value.decode()

    def on_body(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._answer.body += chunk

    def on_headers_complete(self) -> None:
        """Keep the status."""
        self._answer.status = self._parser.get_status_code()

    def on_message_complete(self) -> None:
        """Hand the answer over; interim ones are dropped."""
        if self._answer.status < 200:
            return
        answer = self._answer
        answer.is_complete = True
        answer.is_closed = answer.headers.get("connection", "").lower() == "close"
        if self._waiting:
            future = self._waiting.pop(0)
            if not future.done():
                future.set_result(answer)
        self._answer = Answer(headers={})

    def _fail_waiting(self) -> None:
        for future in self._waiting:
            if not future.done():
                future.set_result(msgspec.structs.replace(self._answer, is_closed=True))
        self._waiting.clear()


async def connect(address: Address) -> CallerProtocol:
    """Open one connection."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(CallerProtocol, host, int(port))
    return protocol


def encode_request(
    path: str,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    host: str = "mesh.test",
) -> bytes:
    """Encode a request with a whole body."""
    lines = [f"{method} {path} HTTP/1.1", f"host: {host}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body:
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def request(
    address: Address,
    path: str,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Answer:
    """Send one request on its own connection."""
    connection = await connect(address)
    answer = await connection.send(encode_request(path, method, headers, body))
    connection.close()
    return answer


class LoadReport(msgspec.Struct):
    """Outcome of a load; latencies are in microseconds and count from the planned send time."""

    sent: int
    outcomes: dict[str, int]
    p50_us: int
    p99_us: int
    p999_us: int
    seconds: float


async def send_load(
    address: Address,
    path: str,
    rate: float,
    seconds: float,
    connections: int = 1,
    headers: dict[str, str] | None = None,
    method: str = "GET",
) -> LoadReport:
    """Send `rate` calls a second for `seconds`, spread over keep-alive connections."""
    loop = asyncio.get_running_loop()
    pool = [await connect(address) for _ in range(connections)]
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    outcomes: Counter[str] = Counter()
    pending: set[asyncio.Task[None]] = set()
    data = encode_request(path, method, headers)

    async def send_one(index: int, planned: float) -> None:
        slot = index % connections
        if pool[slot].closed:
            pool[slot] = await connect(address)
        answer = await pool[slot].send(data)
        elapsed = time.perf_counter() - planned
        kind = answer.outcome or ("cut" if not answer.is_complete else str(answer.status))
        outcomes[kind] += 1
        if answer.is_complete and answer.status == 200:
            histogram.record_value(max(1, int(elapsed * 1_000_000)))

    started = time.perf_counter()
    total = int(rate * seconds)
    for index in range(total):
        planned = started + index / rate
        delay = planned - time.perf_counter()
        if delay > 0:
            await asyncio.sleep(delay)
        task = loop.create_task(send_one(index, planned if delay <= 0 else time.perf_counter()))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)
    elapsed = time.perf_counter() - started
    for connection in pool:
        connection.close()
    return LoadReport(
        sent=total,
        outcomes=dict(outcomes),
        p50_us=int(histogram.get_value_at_percentile(50)),
        p99_us=int(histogram.get_value_at_percentile(99)),
        p999_us=int(histogram.get_value_at_percentile(99.9)),
        seconds=elapsed,
    )
