"""Stand-in for an application server beside a daemon."""

import asyncio
import json
import time

from stand_ins.http import Message, Reader, Writer, encode, exchange, read_message, split_address
from stand_ins.record import Record

DEFAULT_SLOTS = 12
HEARTBEAT_S = 1.5
KEEP_ALIVE_S = 10


class Server:
    """Runs requests that name it or no server, and reports itself to the daemon beside it.

    Requests and health checks wait for one of its slots. It goes on with a request whose connection
    is closed.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        service: str,
        address: str,
        control: str,
        slots: int = DEFAULT_SLOTS,
    ) -> None:
        self.name = name
        self.service = service
        self.born = int(time.time() * 1000)
        self.work_s = 0.05
        self.body_bytes = 0
        self.is_leaving = False
        self.slots = slots
        self.sequence = 0
        self.arrivals: list[tuple[float, str]] = []
        self.runs: list[tuple[float, str, Message]] = []
        self._record = record
        self._address = address
        self._control = control
        self._answered = asyncio.Event()
        self._free_slots = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._heartbeats: asyncio.Task[None] | None = None
        self._writers: set[Writer] = set()

    async def start(self) -> None:
        """Start to listen and to send heartbeats."""
        self._server = await asyncio.start_server(self._serve, *split_address(self._address))
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def stop(self) -> None:
        """End as after a crash: nothing is said, and all connections are reset."""
        self.stop_heartbeats()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def stop_heartbeats(self) -> None:
        """Send no further heartbeats."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    def build_heartbeat(self, phase: str = "ready") -> bytes:
        """Return the next heartbeat as a request."""
        self.sequence += 1
        body = {
            "address": self._address,
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "a", "slots": self.slots},
            "status": {"phase": phase, "sequence": self.sequence, "coldRemaining": "0ms"},
        }
        headers = {"Host": self._control, "Content-Type": "application/json"}
        path = f"/godwitpass/instances/{self.name}"
        return encode(f"PUT {path} HTTP/1.1", headers, json.dumps(body).encode())

    async def deregister(self) -> int:
        """Say that the server is gone, stop heartbeats and return the status of the response."""
        self.is_leaving = True
        self.stop_heartbeats()
        data = encode(f"DELETE /godwitpass/instances/{self.name} HTTP/1.1", {"Host": self._control})
        response = await exchange(self._control, data)
        return response.status if response is not None else 0

    async def wait_for_heartbeat(self) -> None:
        """Wait until the next heartbeat has been answered."""
        self._answered.clear()
        async with asyncio.timeout(2 * HEARTBEAT_S):
            await self._answered.wait()

    async def _send_heartbeats(self) -> None:
        while True:
            data = self.build_heartbeat()
            try:
                response = await exchange(self._control, data, 1.0)
                status = response.status if response is not None else 0
            except (OSError, TimeoutError):
                status = 0
            self._answered.set()
            if status != 200:
                self._record.write(f"server {self.name}: heartbeat answered {status}")
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(request, writer)
                await writer.drain()
                if self.body_bytes:
                    self._record.write(f"server {self.name} has written a response")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message, writer: Writer) -> None:
        headers = {"X-Godwitpass-Instance-Id": self.name, "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        if request.start_line.startswith("GET /healthz "):
            async with self._free_slots:
                status = 503 if self.is_leaving else 200
            self._record.write(f"server {self.name}: health check answered {status}")
            writer.write(encode(f"HTTP/1.1 {status} X", headers))
            return
        if request.headers.get("x-godwitpass-target-instance", self.name) != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        request_id = request.headers.get("x-godwitpass-attempt-id", "")
        self.arrivals.append((time.monotonic(), request_id))
        self._record.write(f"server {self.name}: {request_id} arrives")
        async with self._free_slots:
            await self._run(request, request_id)
        headers["X-Godwitpass-Attempt-Id"] = request_id
        headers["X-Godwitpass-Response-Seal"] = f"seal.{self.name}.{request_id}"
        body = f"{self.name} {request_id} ".encode().ljust(self.body_bytes, b"x")
        writer.write(encode("HTTP/1.1 200 OK", headers, body))

    async def _run(self, request: Message, request_id: str) -> None:
        self.runs.append((time.monotonic(), request_id, request))
        caller = request.headers.get("x-godwitpass-caller-service", "")
        self._record.write(
            f"server {self.name} ({self.service}) runs {request_id}: {request.start_line},"
            f" caller service {caller!r}"
        )
        await asyncio.sleep(self.work_s)
