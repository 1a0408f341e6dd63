"""HTTP listeners, and the types of ASGI applications."""

import asyncio
import socket

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from godwitpass.events import EventKind
from godwitpass.ids import Address
from godwitpass_daemon.http.applications import Application, Receive, Scope, Send
from godwitpass_daemon.http.connection import HttpConnection
from godwitpass_daemon.http.connections import Connections, Emit
from godwitpass_daemon.http.limits import TIMEOUT_CHECK_INTERVAL_S, HttpLimits

__all__ = ["Application", "HttpListener", "Receive", "Scope", "Send", "split_address"]

LISTEN_BACKLOG = 1024
STOP_POLL_INTERVAL_S = 0.01


def split_address(address: Address) -> tuple[str, int]:
    """Split an address into host and port.

    >>> split_address(Address("127.0.0.1:8080"))
    ('127.0.0.1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def log_event(kind: EventKind, fields: dict[str, str]) -> None:
    """Log an event of a listener that belongs to no daemon."""
    logger.log(kind.level.value, f"{kind.number} {kind.name} {fields}")


class HttpListener:
    """Serves an ASGI application over HTTP at one address.

    `connections` is available after `start`.
    """

    def __init__(
        self,
        application: Application,
        address: Address,
        name: str = "http",
        limits: HttpLimits | None = None,
        emit: Emit = log_event,
    ) -> None:
        self.connections: Connections | None = None
        self._application = application
        self._name = name
        self._limits = limits or HttpLimits()
        self._emit = emit
        self._socket = socket.create_server(split_address(address), backlog=LISTEN_BACKLOG)
        self._server: asyncio.Server | None = None
        self._stop_requested = anyio.Event()
        self._finished = anyio.Event()

    async def start(self, tasks: TaskGroup) -> None:
        """Start serving, and return once requests are accepted."""
        loop = asyncio.get_running_loop()
        connections = Connections(self._name, self._application, self._limits, loop, self._emit)
        self.connections = connections
        self._server = await loop.create_server(
            lambda: HttpConnection(connections), sock=self._socket, backlog=LISTEN_BACKLOG
        )
        tasks.start_soon(self._run, self._server, connections)

    def request_stop(self) -> None:
        """Stop accepting requests, without waiting for those in progress."""
        self._stop_requested.set()
        if self._server is not None:
            self._server.close()
        if self.connections is not None:
            self.connections.is_stopping = True
            self.connections.close_idle()

    async def stop(self) -> None:
        """Stop accepting requests and wait for those in progress."""
        self.request_stop()
        await self._finished.wait()

    async def _run(self, server: asyncio.Server, connections: Connections) -> None:
        try:
            while not self._stop_requested.is_set():
                with anyio.move_on_after(TIMEOUT_CHECK_INTERVAL_S):
                    await self._stop_requested.wait()
                connections.check_timeouts()
            while connections.open_count or connections.tasks:
                await anyio.sleep(STOP_POLL_INTERVAL_S)
                connections.check_timeouts()
        finally:
            server.close()
            self._socket.close()
            self._finished.set()
