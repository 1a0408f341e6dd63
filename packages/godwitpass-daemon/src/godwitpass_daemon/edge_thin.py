"""Takes calls over HTTP and forwards each to an upstream."""

import itertools

import httpcore
from anyio.abc import TaskGroup

from godwitpass.document import Route
from godwitpass.ids import Address
from godwitpass.mesh import UpstreamState
from godwitpass_daemon.listeners import Listener, Receive, Scope, Send
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.services.membership import MembershipService


class EdgeService:
    """Forwards calls round robin over the ready upstreams of the route's service."""

    def __init__(
        self, address: Address, distribution: DistributionService, membership: MembershipService
    ) -> None:
        self._address = address
        self._distribution = distribution
        self._membership = membership
        self._pool = httpcore.AsyncConnectionPool(max_connections=100)
        self._counter = itertools.count()
        self._listener: Listener | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Listen for calls."""
        self._listener = Listener(self._answer, self._address)
        await self._listener.start(tasks)

    async def stop(self) -> None:
        """Finish calls in progress."""
        if self._listener is not None:
            await self._listener.stop()
        await self._pool.aclose()

    async def _answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        route = self._find_route(scope["path"])
        address = None if route is None else self._choose(route)
        if address is None:
            status = 404 if route is None and self._distribution.snapshot() else 503
            await respond(send, status, b"not run\n", [(b"godwit-outcome", b"not-run")])
            return
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        try:
            reply = await self._pool.request(
                scope["method"],
                f"http://{address}{scope['path']}",
                headers=[item for item in scope["headers"] if item[0] not in (b"connection",)],
                content=body,
            )
        except httpcore.ConnectError:
            await respond(send, 503, b"not run\n", [(b"godwit-outcome", b"not-run")])
            return
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            await respond(send, 502, b"outcome unknown\n", [(b"godwit-outcome", b"unknown")])
            return
        headers = [item for item in reply.headers if item[0].lower() != b"content-length"]
        await respond(send, reply.status, reply.content, headers)

    def _find_route(self, path: str) -> Route | None:
        snapshot = self._distribution.snapshot()
        if snapshot is None:
            return None
        matching = [
            route for route in snapshot.document.routes if path.startswith(route.path_prefix)
        ]
        return max(matching, key=lambda route: len(route.path_prefix), default=None)

    def _choose(self, route: Route) -> Address | None:
        ready = [
            upstream
            for upstream in self._membership.upstreams(route.service)
            if upstream.state is UpstreamState.READY
        ]
        return ready[next(self._counter) % len(ready)].address if ready else None


async def respond(send: Send, status: int, body: bytes, headers: list[tuple[bytes, bytes]]) -> None:
    """Send a whole answer."""
    length = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers + length})
    await send({"type": "http.response.body", "body": body})
