"""Stand-in for an application server beside a daemon."""

import asyncio
import json
import time
from collections.abc import Callable

from stand_ins_3.http import Message, encode, exchange, read_message, split_address

HEARTBEAT_S = 0.5


class Server:
    """Works on a request for as long as `choose_work_s` says, and answers with `choose_status`.

    `on_run` is called with each request that it begins to run. What `choose_extra_bytes` returns
    for an answer follows late on its connection, right before the next answer there.
    """

    def __init__(
        self, name: str, address: str, service: str, control: str, version: str = "v1"
    ) -> None:
        self.name = name
        self.address = address
        self.service = service
        self.version = version
        self.control = control
        self.slots = 12
        self.on_run: Callable[[Server, Message], None] = lambda server, request: None
        self.on_answer: Callable[[Server, Message, int], None] = (
            lambda server, request, status: None
        )
        self.choose_work_s: Callable[[Message], float] = lambda request: 0.02
        self.choose_status: Callable[[Message], int] = lambda request: 200
        self.choose_extra_bytes: Callable[[Message], bytes] = lambda request: b""
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._heartbeats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and send heartbeats."""
        ip, port = split_address(self.address)
        self._server = await asyncio.start_server(self._serve, ip, port)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def stop(self) -> None:
        """End at once, as a process that is stopped without draining."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _send_heartbeats(self) -> None:
        while True:
            self._sequence += 1
            body = {
                "address": self.address,
                "info": {
                    "service": self.service,
                    "version": self.version,
                    "zone": "a",
                    "slots": self.slots,
                },
                "status": {
                    "phase": "ready",
                    "sequence": self._sequence,
                    "coldRemaining": "0ms",
                },
                "born": self._born,
            }
            headers = {"Host": self.control, "Content-Type": "application/json"}
            start_line = f"PUT /godwitpass/instances/{self.name} HTTP/1.1"
            await exchange(
                self.control, encode(start_line, headers, json.dumps(body).encode()), 1.0
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        extra = b""
        try:
            while (request := await read_message(reader)) is not None:
                extra = await self._answer(request, writer, extra)
        except (ConnectionError, asyncio.CancelledError):
            # The daemon has closed the connection, or the run has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter, extra: bytes) -> bytes:
        """Answer one request behind `extra`; return the extra bytes that follow this answer."""
        if request.target == "/healthz":
            headers = {"X-Godwitpass-Instance-Id": self.name}
            writer.write(extra + encode("HTTP/1.1 200 OK", headers))
            return b""
        if request.headers.get("x-godwitpass-target-instance", self.name) != self.name:
            headers = {"X-Godwitpass-Instance-Id": self.name}
            writer.write(extra + encode("HTTP/1.1 421 Misdirected Request", headers))
            return b""
        self.on_run(self, request)
        await asyncio.sleep(self.choose_work_s(request))
        status = self.choose_status(request)
        self.on_answer(self, request, status)
        headers = {
            "X-Godwitpass-Attempt-Id": request.attempt_id,
            "X-Godwitpass-Response-Seal": f"{self.name}.{request.attempt_id}",
            "Keep-Alive": "timeout=10",
        }
        data = encode(f"HTTP/1.1 {status} X", headers, self.build_body(request))
        await self.write(request, writer, extra + data)
        return self.choose_extra_bytes(request)

    async def write(self, request: Message, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write the answer to `request`."""
        writer.write(data)
        await writer.drain()

    def build_body(self, request: Message) -> bytes:
        """Return the body of the answer to `request`."""
        return f"{self.name} {request.attempt_id}\n".encode()
