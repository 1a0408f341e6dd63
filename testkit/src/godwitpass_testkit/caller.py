"""HTTP client for tests and experiments: single requests, and load at a fixed rate."""

import asyncio
import time
from collections import Counter
from typing import cast

import httptools
import msgspec
from hdrh.histogram import HdrHistogram

from godwitpass.ids import Address

MAX_LATENCY_US = 60_000_000
"""Upper end of the latency histogram."""


class Answer(msgspec.Struct):
    """Response as the caller received it.

    `is_complete` is False when the connection ended before the end of the response. `is_closed`
    is True when the connection can't be used for another request. Header names are in lower case.
    """

    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""
    is_complete: bool = False
    is_closed: bool = False

    @property
    def outcome(self) -> str:
        """Return the outcome that a daemon reports; empty for a response of an upstream."""
        return self.headers.get("godwit-outcome", "")

    @property
    def reason(self) -> str:
        """Return the reason that a daemon gives for the outcome; empty without one."""
        return self.headers.get("godwit-reason", "")


class CallerProtocol(asyncio.Protocol):
    """HTTP/1.1 client connection to a daemon or an upstream.

    Requests may be pipelined; answers arrive in the order of the requests.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._pending: list[asyncio.Future[Answer]] = []
        self._answer = Answer(headers={})
        self._body = bytearray()
        self.is_closed = False

    def send(self, data: bytes) -> asyncio.Future[Answer]:
        """Send the raw bytes of a request and return a future of its answer.

        The future never fails: a lost connection yields an incomplete answer.
        """
        assert self.transport is not None
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self._pending.append(future)
        if self.is_closed:
            self._complete_pending()
        else:
            self.transport.write(data)
        return future

    def write(self, data: bytes) -> None:
        """Send more raw bytes of a request that was started with `send`."""
        assert self.transport is not None
        self.transport.write(data)

    def close(self) -> None:
        """Abort the connection."""
        assert self.transport is not None
        self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; abort the connection when the answer is malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            assert self.transport is not None
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete all pending requests with what has arrived, as incomplete answers."""
        self.is_closed = True
        self._complete_pending()

    def on_message_begin(self) -> None:
        """Start a new answer."""
        self._answer = Answer(headers={})
        self._body = bytearray()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._answer.headers[name.decode().lower()] = value.decode()

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self._body += chunk

    def on_headers_complete(self) -> None:
        """Store the status."""
        self._answer.status = self._parser.get_status_code()

    def on_message_complete(self) -> None:
        """Deliver the answer to its request; interim answers (1xx) are dropped."""
        if self._answer.status < 200:
            return
        answer = self._answer
        answer.body = bytes(self._body)
        answer.is_complete = True
        answer.is_closed = answer.headers.get("connection", "").lower() == "close"
        if self._pending:
            future = self._pending.pop(0)
            if not future.done():
                future.set_result(answer)
        self._answer = Answer(headers={})
        self._body = bytearray()

    def _complete_pending(self) -> None:
        self._answer.body = bytes(self._body)
        for future in self._pending:
            if not future.done():
                future.set_result(msgspec.structs.replace(self._answer, is_closed=True))
        self._pending.clear()


async def connect(address: Address) -> CallerProtocol:
    """Open a connection to `address`."""
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
    """Encode a request; a body gets a content-length header."""
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
    """Send one request on a new connection."""
    connection = await connect(address)
    answer = await connection.send(encode_request(path, method, headers, body))
    connection.close()
    return answer


class LoadReport(msgspec.Struct):
    """Result of `send_load`.

    The latency of a call that is sent behind schedule is measured from the planned send time, so
    that a late sender does not hide delays (coordinated omission). Latencies cover complete answers
    with status 200 only. `outcomes` counts calls by outcome, by status, or as `cut` when the answer
    was incomplete.
    """

    sent: int
    outcomes: dict[str, int]
    p50_us: int
    p99_us: int
    p999_us: int
    elapsed_s: float


async def send_load(
    address: Address,
    path: str,
    rate: float,
    seconds: float,
    connections: int = 1,
    headers: dict[str, str] | None = None,
    method: str = "GET",
) -> LoadReport:
    """Send `rate` calls a second for `seconds`, in turn over `connections` persistent connections.

    Calls are sent on schedule, whether or not earlier ones were answered (open loop).
    """
    loop = asyncio.get_running_loop()
    pool = [await connect(address) for _ in range(connections)]
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    outcomes: Counter[str] = Counter()
    pending: set[asyncio.Task[None]] = set()
    data = encode_request(path, method, headers)

    async def send_one(index: int, planned_s: float) -> None:
        position = index % connections
        if pool[position].is_closed:
            pool[position] = await connect(address)
        answer = await pool[position].send(data)
        latency_s = time.perf_counter() - planned_s
        outcome = answer.outcome or ("cut" if not answer.is_complete else str(answer.status))
        outcomes[outcome] += 1
        if answer.is_complete and answer.status == 200:
            histogram.record_value(max(1, int(latency_s * 1_000_000)))

    started_s = time.perf_counter()
    total = int(rate * seconds)
    for index in range(total):
        planned_s = started_s + index / rate
        delay_s = planned_s - time.perf_counter()
        if delay_s > 0:
            await asyncio.sleep(delay_s)
        # The overshoot of the sleep doesn't count as latency; a sender behind schedule does.
        task = loop.create_task(send_one(index, planned_s if delay_s <= 0 else time.perf_counter()))
        pending.add(task)
        task.add_done_callback(pending.discard)
    await asyncio.gather(*pending)
    elapsed_s = time.perf_counter() - started_s
    for connection in pool:
        connection.close()
    return LoadReport(
        sent=total,
        outcomes=dict(outcomes),
        p50_us=int(histogram.get_value_at_percentile(50)),
        p99_us=int(histogram.get_value_at_percentile(99)),
        p999_us=int(histogram.get_value_at_percentile(99.9)),
        elapsed_s=elapsed_s,
    )
