"""Crowds of clients that send without end and stay open, at each port of a `godwitd` process."""

import asyncio
import contextlib
import itertools
import socket
import struct
from collections.abc import Iterator
from enum import Enum
from functools import partial
from pathlib import Path

import anyio
import msgspec
import psutil
import pytest

from godwitpass.document import Document, Execution, Policy, Route, Service
from godwitpass.ids import Address, InstanceId, PolicyName, RouteName, ServiceName
from godwitpass_daemon.resources import BYTES_PER_MB, Resources
from godwitpass_daemon.settings import Settings
from godwitpass_testkit.deployment import Deployment, call_admin, request, run_deployment
from godwitpass_testkit.misbehaving_clients import Behaviour, Crowd, Target, send_crowd

RESOURCES = Resources(memory_mb=128, descriptors=400)
CLIENTS = 24
IDLE_CLIENTS = 500
SENT_BYTES = 2 * BYTES_PER_MB
LONG_SENT_BYTES = 16 * BYTES_PER_MB
SENDING_S = 4.0
CALL_ATTEMPTS = 3
"""An ordinary client repeats an idempotent call after a refusal or a closed connection."""

INSTANCE, DAEMON = InstanceId("desk-1"), "daemon-desk-1"
SERVICE, POLICY, HOST = ServiceName("status-desk"), PolicyName("read"), "mesh.test"
DOCUMENT = Document(
    1,
    services=(Service(SERVICE),),
    routes=(Route(RouteName("status"), "/status", SERVICE, policy=POLICY),),
    policies=(Policy(POLICY, execution=Execution.IDEMPOTENT, timeout_ms=5_000, attempts=2),),
)

HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
DATA, HEADERS, SETTINGS, PING, CONTINUATION = 0, 1, 4, 6, 9
END_HEADERS = 4
REQUEST_HEADERS = b"\x83\x86\x44\x01/\x41\x01h\x5f\x10application/grpc\x40\x02te\x08trailers"
"""HPACK: POST, http, path, authority, content type and `te`, without references to a table."""

LITERAL_HEADER = b"\x00\x01a\x01b"
DATAGRAM_BYTES = 1200


class Http2Behaviour(Enum):
    """What a client of the peer port sends after the preface."""

    SETTINGS = "settings without end"
    PINGS = "pings without end"
    STREAMS = "streams without end"
    LONG_HEADERS = "headers of one stream without end"
    MANY_LINES = "streams with many short headers"
    MESSAGES = "messages that stop before their end, on many streams"


def encode_frame(kind: int, flags: int, stream: int, payload: bytes) -> bytes:
    return struct.pack("!I", len(payload))[1:] + struct.pack("!BBI", kind, flags, stream) + payload


def encode_frames(behaviour: Http2Behaviour) -> Iterator[bytes]:
    """Yield the frames that one client sends, without end."""
    if behaviour is Http2Behaviour.LONG_HEADERS:
        yield encode_frame(HEADERS, 0, 1, REQUEST_HEADERS)
    for number in itertools.count():
        stream = 2 * number + 1
        match behaviour:
            case Http2Behaviour.SETTINGS:
                yield encode_frame(SETTINGS, 0, 0, struct.pack("!HI", 4, 65_535 + number % 2))
            case Http2Behaviour.PINGS:
                yield encode_frame(PING, 0, 0, struct.pack("!Q", number))
            case Http2Behaviour.STREAMS:
                yield encode_frame(HEADERS, END_HEADERS, stream, REQUEST_HEADERS)
            case Http2Behaviour.LONG_HEADERS:
                yield encode_frame(CONTINUATION, 0, 1, LITERAL_HEADER * 1000)
            case Http2Behaviour.MANY_LINES:
                lines = REQUEST_HEADERS + LITERAL_HEADER * 1000
                yield encode_frame(HEADERS, END_HEADERS, stream, lines)
            case Http2Behaviour.MESSAGES:
                yield encode_frame(HEADERS, END_HEADERS, stream, REQUEST_HEADERS)
                message = struct.pack("!BI", 0, SENT_BYTES) + bytes(16 * 1024 - 5)
                yield encode_frame(DATA, 0, stream, message)


def encode_http2_bytes(behaviour: Http2Behaviour, sent_bytes: int) -> bytes:
    """Return what one client sends: the preface and frames of `sent_bytes`."""
    data = bytearray(HTTP2_PREFACE + encode_frame(SETTINGS, 0, 0, b""))
    for frame in encode_frames(behaviour):
        if len(data) + len(frame) > sent_bytes:
            return bytes(data)
        data += frame
    raise AssertionError("frames have no end")


async def send_http2_crowd(
    address: Address, behaviour: Http2Behaviour, sent_bytes: int
) -> list[socket.socket]:
    """Let `CLIENTS` send at once; return their sockets, which are still open."""
    data = encode_http2_bytes(behaviour, sent_bytes)
    sockets: list[socket.socket] = []
    async with anyio.create_task_group() as tasks:
        for _ in range(CLIENTS):
            client = socket.socket()
            client.setblocking(False)
            sockets.append(client)
            tasks.start_soon(_send_bytes, client, address, data)
    return sockets


async def _send_bytes(client: socket.socket, address: Address, data: bytes) -> None:
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError), anyio.move_on_after(SENDING_S):
        await loop.sock_connect(client, (host, int(port)))
        await loop.sock_sendall(client, data)


async def send_datagrams(address: Address, first_bytes: bytes) -> list[socket.socket]:
    """Send datagrams that begin with `first_bytes` as fast as the socket takes them."""
    host, _, port = address.rpartition(":")
    client = socket.socket(type=socket.SOCK_DGRAM)
    datagram = first_bytes.ljust(DATAGRAM_BYTES, b"\x01")
    for _ in range(CLIENTS * SENT_BYTES // DATAGRAM_BYTES):
        client.sendto(datagram, (host, int(port)))
    return [client]


class Daemon:
    """A daemon of low resources with a document in force, its upstream and its store."""

    def __init__(self, deployment: Deployment) -> None:
        self.settings: Settings = deployment.add_node(
            INSTANCE, "lakes-a", "great-lakes", SERVICE, resources=RESOURCES
        )
        self._deployment = deployment
        deployment.wait_until("the document is accepted", self._accepts_document)
        deployment.wait_until("an ordinary call is answered", self.answers_a_call)

    def list_targets(self) -> dict[str, Target]:
        """Return the ports by name, each with the request that its clients begin with."""
        listen = self.settings.listen
        addresses = {"outer": listen.outer, "inner": listen.inner, "peer": listen.peer}
        return {
            name: Target(address, "POST", "/status/1", HOST) for name, address in addresses.items()
        }

    def answers_a_call(self) -> bool:
        """Return whether one ordinary call is answered, which is repeated after a refusal."""
        for _ in range(CALL_ATTEMPTS):
            response = request("GET", self.settings.listen.outer, "/status/1")
            if response is not None and response.status == 200:
                return True
        return False

    def check(self) -> None:
        """Check that the daemon lives within its resources and answers an ordinary call."""
        is_answered = self.answers_a_call()
        assert self._deployment.is_running(DAEMON), "the daemon has ended"
        process_id = self._deployment.get_process_id(DAEMON)
        assert psutil.Process(process_id).num_fds() <= RESOURCES.descriptors
        assert read_peak_memory_mb(process_id) <= RESOURCES.memory_mb
        assert is_answered, "an ordinary call is not answered"

    def _accepts_document(self) -> bool:
        body = msgspec.json.encode(DOCUMENT)
        response = call_admin(self.settings, "PUT", "/v1/document", body)
        return response is not None and response.status == 200


def read_peak_memory_mb(process_id: int) -> float:
    """Return the highest resident memory that the process has had."""
    status = Path(f"/proc/{process_id}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0]) / 1024


@pytest.fixture()
def daemon(tmp_path: Path) -> Iterator[Daemon]:
    with run_deployment(tmp_path) as deployment:
        yield Daemon(deployment)


def close_all(clients: list[socket.socket]) -> None:
    for client in clients:
        client.close()


class TestCrowds:
    @staticmethod
    def check_http2(daemon: Daemon, behaviour: Http2Behaviour, sent_bytes: int) -> None:
        send = partial(send_http2_crowd, daemon.settings.listen.peer, behaviour, sent_bytes)
        clients = anyio.run(send, backend_options={"use_uvloop": True})
        try:
            daemon.check()
        finally:
            close_all(clients)

    @staticmethod
    def check(daemon: Daemon, listener: str, crowd: Crowd) -> None:
        target = daemon.list_targets()[listener]
        clients = anyio.run(send_crowd, target, crowd, backend_options={"use_uvloop": True})
        try:
            daemon.check()
        finally:
            close_all(clients)

    @pytest.mark.parametrize(
        "behaviour",
        [item for item in Behaviour if item is not Behaviour.IDLE],
        ids=lambda b: b.name,
    )
    def test_outer_clients_that_send_without_end_leave_room_for_ordinary_calls(
        self, daemon: Daemon, behaviour: Behaviour
    ) -> None:
        self.check(daemon, "outer", Crowd(behaviour, CLIENTS, SENT_BYTES, SENDING_S))

    @pytest.mark.parametrize(
        "behaviour",
        [Behaviour.ENDLESS_CHUNKS, Behaviour.PIPELINED, Behaviour.MANY_LINES],
        ids=lambda b: b.name,
    )
    def test_inner_clients_that_send_without_end_leave_room_for_ordinary_calls(
        self, daemon: Daemon, behaviour: Behaviour
    ) -> None:
        self.check(daemon, "inner", Crowd(behaviour, CLIENTS, SENT_BYTES, SENDING_S))

    @pytest.mark.parametrize("listener", ["outer", "inner", "peer"])
    def test_idle_connections_leave_descriptors_for_ordinary_calls(
        self, daemon: Daemon, listener: str
    ) -> None:
        self.check(daemon, listener, Crowd(Behaviour.IDLE, IDLE_CLIENTS, 0, SENDING_S))

    @pytest.mark.parametrize("behaviour", Http2Behaviour, ids=lambda b: b.name)
    def test_http2_clients_of_the_peer_port_leave_room_for_ordinary_calls(
        self, daemon: Daemon, behaviour: Http2Behaviour
    ) -> None:
        self.check_http2(daemon, behaviour, SENT_BYTES)

    @pytest.mark.parametrize("behaviour", Http2Behaviour, ids=lambda b: b.name)
    def test_http2_clients_that_send_more_leave_room_for_ordinary_calls(
        self, daemon: Daemon, behaviour: Http2Behaviour
    ) -> None:
        self.check_http2(daemon, behaviour, LONG_SENT_BYTES)

    @pytest.mark.parametrize("first_bytes", [b"\xff", b"\x01\x01"], ids=["garbage", "forged"])
    def test_datagrams_without_end_leave_room_for_ordinary_calls(
        self, daemon: Daemon, first_bytes: bytes
    ) -> None:
        clients = anyio.run(send_datagrams, daemon.settings.listen.peer, first_bytes)
        try:
            daemon.check()
        finally:
            close_all(clients)
