"""HTTP listeners, built on uvicorn, and the types of ASGI applications."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import uvicorn
from anyio.abc import TaskGroup

from godwitpass.ids import Address

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

LISTEN_BACKLOG = 1024
START_POLL_INTERVAL_S = 0.01


def split_address(address: Address) -> tuple[str, int]:
    """Split an address into host and port.

    >>> split_address(Address("127.0.0.1:8080"))
    ('127.0.0.1', 8080)
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


class HttpListener:
    """Serves an ASGI application over HTTP at one address."""

    def __init__(self, application: Application, address: Address) -> None:
        host, port = split_address(address)
        config = uvicorn.Config(
            application,
            interface="asgi3",
            http="httptools",
            lifespan="off",
            log_level="warning",
            access_log=False,
            proxy_headers=False,
            server_header=False,
        )
        self._socket = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        self._server = uvicorn.Server(config)
        self._finished = anyio.Event()

    async def start(self, tasks: TaskGroup) -> None:
        """Start serving, and return once requests are accepted."""
        tasks.start_soon(self._run)
        while not self._server.started:  # noqa: ASYNC110 - uvicorn offers no event for it
            await anyio.sleep(START_POLL_INTERVAL_S)

    def request_stop(self) -> None:
        """Stop accepting requests, without waiting for those in progress."""
        self._server.should_exit = True

    async def stop(self) -> None:
        """Stop accepting requests and wait for those in progress."""
        self.request_stop()
        await self._finished.wait()

    async def _run(self) -> None:
        # `serve` would install signal handlers, but the entry point of the process handles signals.
        try:
            await self._server._serve([self._socket])
        finally:
            # Uvicorn leaves its servers open when the task is cancelled.
            for server in getattr(self._server, "servers", []):
                server.close()
            self._socket.close()
            self._finished.set()
