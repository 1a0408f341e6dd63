"""gRPC side of the peer transport, for large payloads: one unary call per message."""

import asyncio
import time
from collections.abc import Callable

import grpc
import grpc.aio
import msgspec

from godwitpass.ids import Address
from godwitpass_daemon.peers.connections import Connection, ConnectionPool
from godwitpass_daemon.resources import Resources

SERVICE = "godwitpass.Peers"
METHOD = "Deliver"
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
MAX_CONCURRENT_INCOMING_CALLS = 32
"""Incoming calls at once; fewer where the memory has no room for as many messages."""

MAX_METADATA_BYTES = 8 * 1024
MAX_PING_STRIKES = 2
STREAM_WINDOW_BYTES = 64 * 1024
HANDSHAKE_TIMEOUT_S = 5.0
MAX_INCOMING_IDLE_S = 30.0
"""More than `connections.MAX_IDLE_S`, so that the sender closes its connection first."""

MAX_INCOMING_AGE_S = 60.0
INCOMING_AGE_GRACE_S = 5.0
"""After its age a connection takes no new call, and after the grace it is closed."""

MS_PER_SECOND = 1000
MAX_BYTES_IN_FLIGHT = 8 * 1024 * 1024
CALL_TIMEOUT_S = 5.0
SILENCE_S = 0.3
"""Time without an answer after which another connection to the same daemon is opened."""

CONFIRMATION_S = 0.1
"""Time for which a call stays unanswered, with another connection ready, until it is repeated."""

STOP_GRACE_S = 0.1
_EMPTY_RESPONSE = b""
_OPTIONS = (
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", MAX_MESSAGE_BYTES),
    # A second process on the same address fails to listen, and peers are reached without a proxy.
    ("grpc.so_reuseport", 0),
    ("grpc.enable_http_proxy", 0),
    # Otherwise a new channel takes over the connection of an earlier one to the same address.
    ("grpc.use_local_subchannel_pool", 1),
)


class TlsIdentity(msgspec.Struct, frozen=True):
    """PEM-encoded material for mutual TLS.

    The certificate of every daemon has the DNS name `name`; `authority` is the CA certificate.
    """

    certificate: bytes
    private_key: bytes
    authority: bytes
    name: str


class CallFailed(Exception):
    """A call ended without an answer; the text is the reason."""


class SendFailure(msgspec.Struct, frozen=True):
    """A frame that was not delivered to `peer`: why, and times in seconds.

    The connection last answered `silent_s` ago; it is None if it never has.
    """

    peer: Address
    reason: str
    waited_s: float
    silent_s: float | None


class Replacement(msgspec.Struct, frozen=True):
    """A silent connection to `peer` that was replaced; it last answered `silent_s` ago."""

    peer: Address
    silent_s: float | None


class GrpcTransport:
    """Sends frames by unary calls, and passes received ones to `on_frame`.

    A frame may reach the other daemon twice. `on_failure` is called with each frame that was not
    delivered, `on_replacement` with each connection that was found silent.
    """

    def __init__(
        self,
        on_frame: Callable[[bytes], None],
        tls: TlsIdentity | None,
        on_failure: Callable[[SendFailure], None],
        on_replacement: Callable[[Replacement], None],
        resources: Resources,
    ) -> None:
        self._on_frame = on_frame
        self._tls = tls
        self._on_failure = on_failure
        self._on_replacement = on_replacement
        self._resources = resources
        self._server: grpc.aio.Server | None = None
        self._pool = ConnectionPool(self._build_channel)
        self._tasks: set[asyncio.Task[None]] = set()
        self._bytes_in_flight = 0

    async def open(self, address: Address) -> None:
        """Listen on `address`."""
        concurrent_calls = _count_concurrent_calls(self._resources)
        server = grpc.aio.server(
            maximum_concurrent_rpcs=concurrent_calls,
            options=_build_server_options(self._resources, concurrent_calls),
        )
        handler = grpc.unary_unary_rpc_method_handler(self._handle_call)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler}),)
        )
        if self._tls is None:
            server.add_insecure_port(address)
        else:
            server.add_secure_port(address, _build_server_credentials(self._tls))
        await server.start()
        self._server = server

    def send(self, to: Address, data: bytes) -> bool:
        """Start sending `data`; return False if stopped or too much is in flight."""
        if self._server is None or self._bytes_in_flight + len(data) > MAX_BYTES_IN_FLIGHT:
            return False
        connection = self._pool.acquire(to)
        if connection is None:
            return False
        self._bytes_in_flight += len(data)
        task = asyncio.get_running_loop().create_task(self._deliver(connection, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def close_idle(self) -> None:
        """Close the connections that no new call would use."""
        self._pool.close_idle()

    async def close(self) -> None:
        """Cancel calls in flight, close all connections and stop listening."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._pool.close()
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)
            self._server = None

    async def _handle_call(self, request: bytes, context: object) -> bytes:
        # The answer says that the frame has arrived; handling it may take long on a busy machine.
        asyncio.get_running_loop().call_soon(self._on_frame, request)
        return _EMPTY_RESPONSE

    def _build_channel(self, to: Address) -> grpc.aio.Channel:
        if self._tls is None:
            return grpc.aio.insecure_channel(to, options=_OPTIONS)
        options = (*_OPTIONS, ("grpc.ssl_target_name_override", self._tls.name))
        return grpc.aio.secure_channel(to, _build_channel_credentials(self._tls), options=options)

    async def _deliver(self, connection: Connection, data: bytes) -> None:
        """Send `data`, and send it again on another connection if this one is silent."""
        sent_at = time.monotonic()
        first_call = asyncio.ensure_future(self._call(connection, data))
        second_call: asyncio.Future[None] | None = None
        try:
            replacement = await self._replace_if_silent(connection, first_call)
            if replacement is None:
                await first_call
                return
            second_call = asyncio.ensure_future(self._call(replacement, data))
            await _wait_for_either(first_call, second_call)
        except CallFailed as error:
            now, answered_at = time.monotonic(), connection.answered_at
            silent_s = None if answered_at is None else now - answered_at
            self._on_failure(SendFailure(connection.address, str(error), now - sent_at, silent_s))
        finally:
            for call in (first_call, second_call):
                if call is not None:
                    call.cancel()
            self._bytes_in_flight -= len(data)

    async def _call(self, connection: Connection, data: bytes) -> None:
        try:
            await connection.channel.unary_unary(f"/{SERVICE}/{METHOD}")(
                data, timeout=CALL_TIMEOUT_S
            )
            connection.answered_at = time.monotonic()
        except grpc.aio.AioRpcError as error:
            # A channel that failed to connect waits ever longer before it tries again.
            self._pool.retire(connection)
            raise CallFailed(error.code().name.lower()) from error
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and not task.cancelling():
                raise CallFailed("connection closed") from None
            raise
        finally:
            self._pool.release(connection)

    async def _replace_if_silent(
        self, connection: Connection, call: asyncio.Future[None]
    ) -> Connection | None:
        """Return a connection for a second call, if `call` is unanswered and it is ready."""
        await asyncio.wait([call], timeout=SILENCE_S)
        while not call.done() and connection.is_connecting(time.monotonic()):
            await asyncio.wait([call], timeout=SILENCE_S)
        if call.done():
            return None
        self._pool.retire(connection)
        replacement = self._pool.acquire(connection.address)
        if replacement is None:
            return None
        is_used = False
        try:
            if await _is_ready_before(call, replacement.channel):
                # A path that is only slow delays the new connection as well.
                await asyncio.wait([call], timeout=CONFIRMATION_S)
                is_used = not call.done()
        finally:
            if not is_used:
                self._pool.release(replacement)
        if not is_used:
            return None
        answered_at = connection.answered_at
        silent_s = None if answered_at is None else time.monotonic() - answered_at
        self._on_replacement(Replacement(connection.address, silent_s))
        return replacement


async def _is_ready_before(call: asyncio.Future[None], channel: grpc.aio.Channel) -> bool:
    """Wait until `call` is done or `channel` is connected; return whether it is."""
    ready = asyncio.ensure_future(channel.channel_ready())
    try:
        await asyncio.wait([call, ready], return_when=asyncio.FIRST_COMPLETED)
        return ready.done() and ready.exception() is None
    finally:
        ready.cancel()


async def _wait_for_either(first: asyncio.Future[None], second: asyncio.Future[None]) -> None:
    """Return when one of two calls succeeds; raise the error of the second if both fail."""
    done, _ = await asyncio.wait([first, second], return_when=asyncio.FIRST_COMPLETED)
    if any(call.exception() is None for call in done):
        return
    await (second if first in done else first)


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
