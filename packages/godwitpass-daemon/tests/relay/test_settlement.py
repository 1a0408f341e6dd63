"""Guards against calls that run although their caller's daemon was told that they won't."""

import random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from godwitpass.ids import InstanceId, RouteName, ServiceName
from godwitpass.internal.relay.frames import (
    Frame,
    FrameDecoder,
    Load,
    OpenStream,
    Refusal,
    Refused,
    SettleStreams,
    StreamsSettled,
    encode_frame,
)
from godwitpass.internal.relay.stream_records import (
    IDLE_AFTER_S,
    MAX_LOST_LINKS,
    MAX_REFUSED_STREAMS,
    RETENTION_S,
    StreamRecords,
    is_same_process,
)
from godwitpass_daemon.relay.inbound_peers import InboundLinks, InboundPeerConnection
from godwitpass_daemon.relay.request_budget import RequestBudget
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner

LOAD = Load(0, 0, 1, 0, 1)
LINK_ID = 7


class Transport:
    """Keeps what is written until it is aborted."""

    def __init__(self) -> None:
        self.frames: list[Frame] = []
        self.is_aborted = False
        self._decoder = FrameDecoder()

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def is_closing(self) -> bool:
        return self.is_aborted

    def write(self, data: bytes) -> None:
        self.frames += self._decoder.decode(data)

    def abort(self) -> None:
        self.is_aborted = True


class Call:
    """A call that waits until it is sent to the upstream, where it runs."""

    def __init__(self, runner: "Runner", connection: InboundPeerConnection, stream_id: int) -> None:
        self.runner, self.connection, self.stream_id = runner, connection, stream_id
        self.has_ended = False

    def send(self) -> None:
        if not self.has_ended and self.stream_id not in self.runner.ran:
            self.runner.ran.append(self.stream_id)

    def refuse(self) -> None:
        if not self.has_ended and self.stream_id not in self.runner.ran:
            self.has_ended = True
            self.connection.remove_stream(self.stream_id)
            self.connection.send(Refused(self.stream_id, Refusal.NO_ROOM, False, 0, LOAD))

    cancel = refuse


class Runner:
    """Accepts each call, and refuses a few at once."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.is_stopping = False
        self.budget = RequestBudget(1_000_000)
        self.now = lambda: 0.0
        self.response_sender = SimpleNamespace(drop_channel=lambda channel: None)
        self.calls: list[Call] = []
        self.ran: list[int] = []

    def open_call(self, connection: InboundPeerConnection, request: OpenStream) -> Call:
        call = Call(self, connection, request.stream_id)
        self.calls.append(call)
        if self.rng.random() < 0.2:
            call.refuse()
        return call


def encode_open(stream_id: int) -> bytes:
    request = OpenStream(
        stream_id, ServiceName("desk"), RouteName("read"), b"", 1, 1, 1, False, 0, link_id=LINK_ID
    )
    return encode_frame(request)


def connect(runner: Runner, links: InboundLinks) -> tuple[InboundPeerConnection, Transport]:
    connection, transport = InboundPeerConnection(cast(UpstreamRunner, runner), links), Transport()
    connection.connection_made(cast(Any, transport))
    return connection, transport


def settle(runner: Runner, links: InboundLinks) -> StreamsSettled:
    connection, transport = connect(runner, links)
    connection.data_received(encode_frame(SettleStreams(LINK_ID)))
    (answer,) = transport.frames
    assert isinstance(answer, StreamsSettled)
    return answer


def run_history(seed: int) -> int:
    """Deliver, send, refuse, lose and settle in random order; return how many were settled."""
    rng = random.Random(seed)
    now = [0.0]
    links = InboundLinks(InstanceId("i"), lambda: now[0])
    runner = Runner(rng)
    connection, _ = connect(runner, links)
    stream_ids = range(1, rng.randint(2, 12))
    unread = b"".join(encode_open(stream_id) for stream_id in stream_ids)
    not_run: set[int] = set()

    def deliver() -> None:
        nonlocal unread
        size = rng.randint(1, 300)
        data, unread = unread[:size], unread[size:]
        if data:
            connection.data_received(data)

    def ask() -> None:
        answer = settle(runner, links)
        not_run.update(item for item in stream_ids if answer.has_not_run(item))

    def start_call() -> None:
        if runner.calls:
            rng.choice(runner.calls).send()

    def refuse_call() -> None:
        if runner.calls:
            rng.choice(runner.calls).refuse()

    steps = [deliver] * 4 + [start_call] * 3 + [refuse_call, ask]
    for _ in range(rng.randint(5, 40)):
        now[0] += rng.uniform(0.0, 0.5)
        rng.choice(steps)()
        if rng.random() < 0.02:
            connection.connection_lost(None)
    ask()
    while unread:
        deliver()
    for call in runner.calls:
        call.send()
    assert not not_run & set(runner.ran), f"seed {seed}: said not to have run, and ran"
    return len(not_run)


class TestHistories:
    def test_no_call_that_was_said_not_to_run_has_run(self) -> None:
        assert sum(run_history(seed) for seed in range(10_000)) > 10_000


class TestStreamRecords:
    def test_a_link_is_not_accepted_after_it_was_settled(self) -> None:
        runner = Runner(random.Random(1))
        links = InboundLinks(InstanceId("i"), lambda: 0.0)
        assert settle(runner, links).has_not_run(1)
        connection, transport = connect(runner, links)
        connection.data_received(encode_open(1))
        assert transport.is_aborted and not runner.calls

    def test_nothing_is_said_of_links_once_some_were_forgotten(self) -> None:
        records = StreamRecords(0.0)
        for link_id in range(1, MAX_LOST_LINKS + 2):
            record = records.open(link_id)
            assert record is not None
            record.record_opened(1, 1.0)
            records.close(link_id, 1.0)
        assert records.settle(1, 2.0).last_stream_id > 1
        assert records.settle(MAX_LOST_LINKS + 5, 2.0).last_stream_id > 1
        assert records.settle(MAX_LOST_LINKS, 2.0).last_stream_id == 1
        assert records.settle(MAX_LOST_LINKS + 6, 2.0 + RETENTION_S).last_stream_id == 0

    def test_a_link_that_was_idle_is_forgotten_at_its_end(self) -> None:
        records = StreamRecords(0.0)
        for link_id in range(1, MAX_LOST_LINKS + 3):
            record = records.open(link_id)
            assert record is not None
            record.record_opened(1, 1.0)
            records.close(link_id, 1.0 + IDLE_AFTER_S)
        assert records.settle(MAX_LOST_LINKS + 5, 30.0).last_stream_id == 0

    def test_only_the_newest_refused_streams_are_remembered(self) -> None:
        record = StreamRecords(0.0).open(LINK_ID)
        assert record is not None
        for stream_id in range(1, MAX_REFUSED_STREAMS + 2):
            record.record_opened(stream_id, 0.0)
            record.record_refused(stream_id)
        assert record.list_refused() == tuple(range(2, MAX_REFUSED_STREAMS + 2))


@pytest.mark.parametrize(
    ("uptime_s", "expected"), [(0.5, False), (1.99, False), (2.04, False), (2.1, True), (99, True)]
)
def test_a_daemon_that_started_after_the_link_does_not_know_its_calls(
    uptime_s: float, expected: bool
) -> None:
    assert is_same_process(opened_at=10.0, answered_at=12.0, uptime_s=uptime_s) is expected
