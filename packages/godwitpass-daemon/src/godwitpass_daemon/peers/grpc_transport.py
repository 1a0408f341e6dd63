"""The side of the peer transport for large payloads: one unary call a message over gRPC."""

import asyncio
from collections.abc import Callable

import grpc
import grpc.aio
import msgspec

from godwitpass.ids import Address

SERVICE = "godwitpass.Peers"
METHOD = "Deliver"
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
MAX_CHANNELS = 16
MAX_CALLS_RECEIVED = 32
MAX_BYTES_IN_FLIGHT = 8 * 1024 * 1024
IDLE_CHANNEL_S = 20.0
CALL_TIMEOUT_S = 5.0
STOP_GRACE_S = 0.1
_ACCEPTED = b""
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
)


class TlsIdentity(msgspec.Struct, frozen=True):
    """PEM content for mutual TLS; every daemon's certificate bears the DNS name `name`."""

    certificate: bytes
    private_key: bytes
    authority: bytes
    name: str


class _Connection(msgspec.Struct):
    channel: grpc.aio.Channel
    used_at: float
    calls: int = 0


class UnaryPort:
    """Sends frames by unary calls and hands those that arrive to `receive`."""

    def __init__(
        self,
        receive: Callable[[bytes], None],
        tls: TlsIdentity | None,
        fail: Callable[[str], None],
    ) -> None:
        self._receive = receive
        self._tls = tls
        self._fail = fail
        self._server: grpc.aio.Server | None = None
        self._connections: dict[Address, _Connection] = {}
        self._sending: set[asyncio.Task[None]] = set()
        self._bytes_in_flight = 0

    async def open(self, address: Address) -> None:
        """Listen on `address`."""
        server = grpc.aio.server(maximum_concurrent_rpcs=MAX_CALLS_RECEIVED, options=_OPTIONS)
        handler = grpc.unary_unary_rpc_method_handler(self._deliver)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
        )
        if self._tls is None:
            server.add_insecure_port(address)
        else:
            server.add_secure_port(address, _build_server_credentials(self._tls))
        await server.start()
        self._server = server

    def send(self, to: Address, data: bytes, now: float) -> bool:
        """Start sending `data`; False when too much is in flight already."""
        if self._server is None or self._bytes_in_flight + len(data) > MAX_BYTES_IN_FLIGHT:
            return False
        connection = self._connect(to, now)
        if connection is None:
            return False
        self._bytes_in_flight += len(data)
        task = asyncio.get_running_loop().create_task(self._call(connection, data))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)
        return True

    async def close_idle(self, now: float) -> None:
        """Close the connections that have been unused for `IDLE_CHANNEL_S`."""
        for address, connection in list(self._connections.items()):
            if connection.calls == 0 and now - connection.used_at > IDLE_CHANNEL_S:
                del self._connections[address]
                await connection.channel.close()

    async def close(self) -> None:
        """Abandon calls in flight, close all connections and stop listening."""
        for task in list(self._sending):
            task.cancel()
        await asyncio.gather(*self._sending, return_exceptions=True)
        for connection in self._connections.values():
            await connection.channel.close()
        self._connections.clear()
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)
            self._server = None

    async def _deliver(self, request: bytes, context: object) -> bytes:
        self._receive(request)
        return _ACCEPTED

    def _connect(self, to: Address, now: float) -> _Connection | None:
        connection = self._connections.get(to)
        if connection is None:
            if len(self._connections) >= MAX_CHANNELS and not self._evict():
                return None
            connection = _Connection(self._build_channel(to), now)
            self._connections[to] = connection
        connection.used_at = now
        return connection

    def _evict(self) -> bool:
        idle = [item for item in self._connections.items() if item[1].calls == 0]
        if not idle:
            return False
        address, connection = min(idle, key=lambda item: item[1].used_at)
        del self._connections[address]
        task = asyncio.get_running_loop().create_task(connection.channel.close())
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)
        return True

    def _build_channel(self, to: Address) -> grpc.aio.Channel:
        if self._tls is None:
            return grpc.aio.insecure_channel(to, options=_OPTIONS)
        options = (*_OPTIONS, ("grpc.ssl_target_name_override", self._tls.name))
        return grpc.aio.secure_channel(to, _build_channel_credentials(self._tls), options=options)

    async def _call(self, connection: _Connection, data: bytes) -> None:
        connection.calls += 1
        call = connection.channel.unary_unary(f"/{SERVICE}/{METHOD}")
        try:
            await call(data, timeout=CALL_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            self._fail(error.code().name.lower())
        finally:
            connection.calls -= 1
            self._bytes_in_flight -= len(data)


def _build_server_credentials(tls: TlsIdentity) -> grpc.ServerCredentials:
    return grpc.ssl_server_credentials(
        [(tls.private_key, tls.certificate)], tls.authority, require_client_auth=True
    )


def _build_channel_credentials(tls: TlsIdentity) -> grpc.ChannelCredentials:
    return grpc.ssl_channel_credentials(tls.authority, tls.private_key, tls.certificate)
