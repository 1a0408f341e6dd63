import socket
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from datetime import UTC, datetime, timedelta
from functools import partial

import anyio
import msgspec
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from godwitpass.ids import Address
from godwitpass_daemon.peers import Channel, PeerTransport, TlsIdentity
from godwitpass_daemon.peers.events import PEER_MESSAGES_DROPPED
from godwitpass_daemon.peers.frames import seal_frame
from godwitpass_daemon.peers.transport import (
    MAX_DATAGRAM_BYTES,
    MAX_DATAGRAM_PAYLOAD_BYTES,
    MAX_PAYLOAD_BYTES,
    _read_clock_us,
)
from godwitpass_daemon.resources import MIN_DESCRIPTORS, Resources

from .conftest import EventRecorder

KEY = b"k" * 32
WAIT_LIMIT_S = 20
AddressPair = tuple[Address, Address]


@asynccontextmanager
async def run_transports(transports: Sequence[PeerTransport]) -> AsyncIterator[None]:
    async with anyio.create_task_group() as tasks:
        for transport in transports:
            await transport.start(tasks)
        try:
            yield
        finally:
            for transport in transports:
                await transport.stop()
            tasks.cancel_scope.cancel()


def build_identity(name: str) -> TlsIdentity:
    """Return an identity with a self-signed certificate that is its own CA."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    start = datetime.now(UTC) - timedelta(days=1)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(start)
        .not_valid_after(start + timedelta(days=3))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(name)]), critical=False)
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .sign(key, hashes.SHA256())
        .public_bytes(serialization.Encoding.PEM)
    )
    private_key = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    return TlsIdentity(certificate, private_key, certificate, name)


async def wait_until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(WAIT_LIMIT_S):
        while not condition():
            await anyio.sleep(0.01)


class Inbox:
    def __init__(self) -> None:
        self.messages: list[tuple[Address, bytes]] = []

    def __call__(self, sender: Address, payload: bytes) -> None:
        if payload == b"unreadable":
            raise msgspec.DecodeError("unreadable")
        self.messages.append((sender, payload))

    async def wait(self, count: int) -> None:
        await wait_until(lambda: len(self.messages) >= count)


def has_failed_or_arrived(sender: PeerTransport, inbox: Inbox) -> bool:
    return sender.dropped_outgoing.totals["unavailable"] > 0 or bool(inbox.messages)


class TestPeerTransport:
    async def deliver(
        self, addresses: AddressPair, recorder: EventRecorder, payload: bytes
    ) -> None:
        sender, receiver = (PeerTransport(address, [KEY], recorder) for address in addresses)
        inbox = Inbox()
        receiver.subscribe(Channel.CLAIMS, inbox)
        async with run_transports([sender, receiver]):
            sender.send(Channel.CLAIMS, addresses[1], payload)
            await inbox.wait(1)
        assert inbox.messages == [(addresses[0], payload)]
        sent, received = sender.sent[Channel.CLAIMS], receiver.received[Channel.CLAIMS]
        assert sent == received
        assert sent.bytes > len(payload)
        assert not sender.sent[Channel.MEMBERSHIP].bytes

    @pytest.mark.parametrize("size", [0, MAX_DATAGRAM_PAYLOAD_BYTES, 1201, MAX_PAYLOAD_BYTES])
    def test_payloads_of_every_size_arrive_with_their_sender(
        self, addresses: AddressPair, recorder: EventRecorder, size: int
    ) -> None:
        anyio.run(self.deliver, addresses, recorder, b"x" * size)

    def test_with_tls_only_a_trusted_certificate_delivers_large_payloads(
        self, addresses: AddressPair, recorder: EventRecorder
    ) -> None:
        identity, untrusted = build_identity("peer.example"), build_identity("peer.example")

        async def deliver() -> None:
            receiver = PeerTransport(addresses[1], [KEY], recorder, identity)
            inbox = Inbox()
            receiver.subscribe(Channel.CLAIMS, inbox)
            async with run_transports([receiver]):
                for tls in (untrusted, None, identity):
                    sender = PeerTransport(addresses[0], [KEY], recorder, tls)
                    async with run_transports([sender]):
                        sender.send(Channel.CLAIMS, addresses[1], b"x" * 5_000)
                        await wait_until(partial(has_failed_or_arrived, sender, inbox))
                    assert len(inbox.messages) == (tls is identity)

        anyio.run(deliver)

    def test_sending_an_oversize_payload_raises_an_error(
        self, addresses: AddressPair, recorder: EventRecorder
    ) -> None:
        transport = PeerTransport(addresses[0], [KEY], recorder)
        with pytest.raises(ValueError, match="split"):
            transport.send(Channel.CLAIMS, addresses[1], b"x" * (MAX_PAYLOAD_BYTES + 1))

    def test_invalid_messages_are_dropped_and_counted_with_one_event_per_reason(
        self, addresses: AddressPair, recorder: EventRecorder
    ) -> None:
        async def send_invalid_messages() -> None:
            receiver = PeerTransport(addresses[1], [KEY], recorder)
            sender = PeerTransport(addresses[0], [KEY], recorder)
            inbox = Inbox()
            receiver.subscribe(Channel.CLAIMS, inbox)
            sent_us = receiver._now_us()
            valid = seal_frame(KEY, Channel.CLAIMS, addresses[0], addresses[1], sent_us, b"once")
            forged = seal_frame(b"f" * 32, Channel.CLAIMS, addresses[0], addresses[1], sent_us, b"")
            reflected = seal_frame(KEY, Channel.CLAIMS, addresses[1], addresses[0], sent_us, b"")
            datagrams = [
                b"",
                b"garbage",
                valid[:-1],
                valid[:9],
                forged,
                reflected,
                valid,
                valid,
                valid,
            ]
            async with run_transports([receiver, sender]):
                host, port = addresses[1].rsplit(":", 1)
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as attacker:
                    for data in datagrams:
                        attacker.sendto(data, (host, int(port)))
                sender.send(Channel.CLAIMS, addresses[1], b"unreadable")
                sender.send(Channel.CRASHES, addresses[1], b"no handler")
                sender.send(Channel.CLAIMS, addresses[1], b"last")
                await inbox.wait(2)
            assert sorted(payload for _, payload in inbox.messages) == [b"last", b"once"]
            expected = {"malformed": 4, "forged": 3, "replayed": 2, "unhandled": 1}
            assert receiver.dropped_incoming.totals == expected
            reasons = [str(fields["reason"]) for _, fields in recorder.events]
            assert sorted(reasons) == sorted(expected)
            assert {kind for kind, _ in recorder.events} == {PEER_MESSAGES_DROPPED}

        anyio.run(send_invalid_messages)

    def test_datagrams_that_no_daemon_sends_are_dropped_unread(
        self, addresses: AddressPair, recorder: EventRecorder
    ) -> None:
        receiver = PeerTransport(addresses[1], [KEY], recorder)
        sent_us = receiver._now_us()
        payload = bytes(MAX_DATAGRAM_BYTES)
        frame = seal_frame(KEY, Channel.CLAIMS, addresses[0], addresses[1], sent_us, payload)
        receiver._handle_datagram(frame)
        assert receiver.dropped_incoming.totals == {"oversize": 1}

    def test_connections_beyond_the_bound_are_closed(
        self, addresses: AddressPair, recorder: EventRecorder
    ) -> None:
        resources = Resources(descriptors=MIN_DESCRIPTORS)
        excess = 20

        async def connect_and_count_closed() -> int:
            receiver = PeerTransport(addresses[0], [KEY], recorder, resources=resources)
            host, port = addresses[0].rsplit(":", 1)
            closed: set[int] = set()

            async def watch(number: int) -> None:
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                        while True:
                            await stream.receive()
                    closed.add(number)

            async with run_transports([receiver]), anyio.create_task_group() as tasks:
                for number in range(resources.peer_connections + excess):
                    tasks.start_soon(watch, number)
                await wait_until(lambda: len(closed) >= excess)
                count = len(closed)
                tasks.cancel_scope.cancel()
            return count

        assert anyio.run(connect_and_count_closed) == excess

    def test_sends_to_an_absent_daemon_and_after_the_stop_are_counted_as_dropped(
        self, addresses: AddressPair, recorder: EventRecorder
    ) -> None:
        async def send_to_absent_daemon() -> None:
            sender = PeerTransport(addresses[0], [KEY], recorder)
            async with run_transports([sender]):
                for size in (10, 10, 5000):
                    sender.send(Channel.CLAIMS, addresses[1], b"x" * size)
                await wait_until(lambda: sender.dropped_outgoing.totals["unavailable"] > 0)
            sender.send(Channel.CLAIMS, addresses[1], b"late")
            assert sender.dropped_outgoing.totals["backlog"] == 1

        anyio.run(send_to_absent_daemon)

    @pytest.mark.parametrize("address", ["host:80", "10.0.0.1:99999", "10.0.0.1:", ""])
    def test_sends_to_an_address_that_can_t_be_used_are_counted_as_dropped(
        self, addresses: AddressPair, recorder: EventRecorder, address: str
    ) -> None:
        # Guards against addresses of other writers that end the daemon.
        async def send() -> None:
            sender = PeerTransport(addresses[0], [KEY], recorder)
            async with run_transports([sender]):
                sender.send(Channel.MEMBERSHIP, Address(address), b"x")
                assert sender.dropped_outgoing.totals["invalid address"] == 1

        anyio.run(send)


def test_a_step_of_the_time_of_day_does_not_separate_a_daemon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Frames of a time that differs by more than 30 s are dropped."""
    before_us = _read_clock_us()
    stepped_ns = time.time_ns() + 2_400 * 10**9
    monkeypatch.setattr(time, "time_ns", lambda: stepped_ns)
    monkeypatch.setattr(time, "time", lambda: stepped_ns / 10**9)
    assert 0 <= _read_clock_us() - before_us < 10 * 10**6
