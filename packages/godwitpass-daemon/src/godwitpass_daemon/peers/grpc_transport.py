"""gRPC side of the peer transport, for large payloads: one unary call per message."""

import asyncio
import time
from collections.abc import Callable

import grpc
import grpc.aio
import msgspec

from godwitpass.ids import Address
from godwitpass_daemon.resources import Resources

SERVICE = "godwitpass.Peers"
METHOD = "Deliver"
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
MAX_CONNECTIONS = 16
MAX_CONCURRENT_INCOMING_CALLS = 32
"""Incoming calls at once; fewer where the memory has no room for as many messages."""

MAX_METADATA_BYTES = 8 * 1024
MAX_PING_STRIKES = 2
STREAM_WINDOW_BYTES = 64 * 1024
HANDSHAKE_TIMEOUT_S = 5.0
MAX_INCOMING_IDLE_S = 30.0
"""More than `IDLE_CONNECTION_S`, so that the sender closes its connection first."""

MAX_INCOMING_AGE_S = 60.0
INCOMING_AGE_GRACE_S = 5.0
"""After its age a connection takes no new call, and after the grace it is closed."""

MS_PER_SECOND = 1000
MAX_BYTES_IN_FLIGHT = 8 * 1024 * 1024
IDLE_CONNECTION_S = 20.0
CALL_TIMEOUT_S = 5.0
STOP_GRACE_S = 0.1
_EMPTY_RESPONSE = b""
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # A second process on the same address fails to listen, and peers are reached without a proxy.
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
)


class TlsIdentity(msgspec.Struct, frozen=True):
    """PEM-encoded material for mutual TLS.

    The certificate of every daemon has the DNS name `name`; `authority` is the CA certificate.
    """

    certificate: bytes
    private_key: bytes
    authority: bytes
    name: str


class SendFailure(msgspec.Struct, frozen=True):
    """A frame that was not delivered to `peer`: lower-case status code and times in seconds.

    The connection last answered `silent_s` ago; it is None if it never has.
    """

    peer: Address
    reason: str
    waited_s: float
    silent_s: float | None


class _Connection(msgspec.Struct):
    """A client connection to one daemon."""

    address: Address
    channel: grpc.aio.Channel
    last_used_at: float
    answered_at: float | None = None
    calls_in_flight: int = 0


class GrpcTransport:
    """Sends frames by unary calls, and passes received ones to `on_frame`.

    `on_failure` is called with each frame that was not delivered.
    """

    def __init__(
        self,
        on_frame: Callable[[bytes], None],
        tls: TlsIdentity | None,
        on_failure: Callable[[SendFailure], None],
        resources: Resources,
    ) -> None:
        self._on_frame = on_frame
        self._tls = tls
        self._on_failure = on_failure
        self._resources = resources
        self._server: grpc.aio.Server | None = None
        self._connections: dict[Address, _Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._bytes_in_flight = 0

    async def open(self, address: Address) -> None:
        """Listen on `address`."""
        concurrent_calls = _count_concurrent_calls(self._resources)
        server = grpc.aio.server(
            maximum_concurrent_rpcs=concurrent_calls,
            options=_build_server_options(self._resources, concurrent_calls),
        )
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
        """Start sending `data`; return False if stopped or too much is in flight."""
        if self._server is None or self._bytes_in_flight + len(data) > MAX_BYTES_IN_FLIGHT:
            return False
        connection = self._get_connection(to, now)
        if connection is None:
            return False
        self._bytes_in_flight += len(data)
        task = asyncio.get_running_loop().create_task(self._call(connection, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def close_idle(self, now: float) -> None:
        """Close connections that have been unused for longer than `IDLE_CONNECTION_S`."""
        for address, connection in list(self._connections.items()):
            if (
                connection.calls_in_flight == 0
                and now - connection.last_used_at > IDLE_CONNECTION_S
            ):
                del self._connections[address]
                await connection.channel.close()

    async def close(self) -> None:
        """Cancel calls in flight, close all connections and stop listening."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in self._connections.values():
            await connection.channel.close()
        self._connections.clear()
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)
            self._server = None

    async def _deliver(self, request: bytes, context: object) -> bytes:
        self._on_frame(request)
        return _EMPTY_RESPONSE

    def _get_connection(self, to: Address, now: float) -> _Connection | None:
        connection = self._connections.get(to)
        if connection is None:
            if len(self._connections) >= MAX_CONNECTIONS and not self._evict_idle_connection():
                return None
            connection = _Connection(to, self._build_channel(to), now)
            self._connections[to] = connection
        connection.last_used_at = now
        return connection

    def _evict_idle_connection(self) -> bool:
        idle = [item for item in self._connections.items() if item[1].calls_in_flight == 0]
        if not idle:
            return False
        address, connection = min(idle, key=lambda item: item[1].last_used_at)
        del self._connections[address]
        task = asyncio.get_running_loop().create_task(connection.channel.close())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def _build_channel(self, to: Address) -> grpc.aio.Channel:
        if self._tls is None:
            return grpc.aio.insecure_channel(to, options=_OPTIONS)
        options = (*_OPTIONS, ("grpc.ssl_target_name_override", self._tls.name))
        return grpc.aio.secure_channel(to, _build_channel_credentials(self._tls), options=options)

    async def _call(self, connection: _Connection, data: bytes) -> None:
        connection.calls_in_flight += 1
        sent_at = time.monotonic()
        call = connection.channel.unary_unary(f"/{SERVICE}/{METHOD}")
        try:
            await call(data, timeout=CALL_TIMEOUT_S)
            connection.answered_at = time.monotonic()
        except grpc.aio.AioRpcError as error:
            now = time.monotonic()
            answered_at = connection.answered_at
            silent_s = None if answered_at is None else now - answered_at
            reason = error.code().name.lower()
            self._on_failure(SendFailure(connection.address, reason, now - sent_at, silent_s))
        finally:
            connection.calls_in_flight -= 1
            self._bytes_in_flight -= len(data)


def _count_concurrent_calls(resources: Resources) -> int:
    messages = resources.peer_message_bytes // MAX_MESSAGE_BYTES
    return max(1, min(MAX_CONCURRENT_INCOMING_CALLS, messages))


def _build_server_options(
    resources: Resources, concurrent_calls: int
) -> tuple[tuple[str, int], ...]:
    """Build the options that bound what clients of the listener may take."""
    return (
        *_OPTIONS,
        ("grpc.max_allowed_incoming_connections", resources.peer_connections),
        ("grpc.max_concurrent_streams", concurrent_calls),
        ("grpc.max_metadata_size", MAX_METADATA_BYTES),
        ("grpc.absolute_max_metadata_size", MAX_METADATA_BYTES),
        ("grpc.http2.max_ping_strikes", MAX_PING_STRIKES),
        ("grpc.http2.lookahead_bytes", STREAM_WINDOW_BYTES),
        # Otherwise the windows grow with the rate of the sender.
        ("grpc.http2.bdp_probe", 0),
        ("grpc.server_handshake_timeout_ms", int(HANDSHAKE_TIMEOUT_S * MS_PER_SECOND)),
        ("grpc.max_connection_idle_ms", int(MAX_INCOMING_IDLE_S * MS_PER_SECOND)),
        ("grpc.max_connection_age_ms", int(MAX_INCOMING_AGE_S * MS_PER_SECOND)),
        ("grpc.max_connection_age_grace_ms", int(INCOMING_AGE_GRACE_S * MS_PER_SECOND)),
    )


def _build_server_credentials(tls: TlsIdentity) -> grpc.ServerCredentials:
    return grpc.ssl_server_credentials(
        [(tls.private_key, tls.certificate)], tls.authority, require_client_auth=True
    )


def _build_channel_credentials(tls: TlsIdentity) -> grpc.ChannelCredentials:
    return grpc.ssl_channel_credentials(tls.authority, tls.private_key, tls.certificate)
