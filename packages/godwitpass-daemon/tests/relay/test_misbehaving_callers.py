"""Callers' input that would take memory or time without bound, and odd input within the limits."""

import random
from typing import Any, cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.ids import InstanceId, ZoneId
from godwitpass.internal.relay.retry_budget import RetryBudgetSettings
from godwitpass_daemon.relay.core import RelayCore
from godwitpass_daemon.relay.ingress import CallerConnection
from godwitpass_daemon.relay.input_turns import COSTLY_INPUT_BURST_S, TURN_S, InputTurns
from godwitpass_daemon.relay.intake import MAX_LOGGED_CLIENTS, LimitLog
from godwitpass_daemon.relay.limits import HEAD_READ_BYTES, MAX_PIPELINED_REQUESTS, READ_BYTES
from godwitpass_daemon.relay.request_budget import RequestBudget
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner
from godwitpass_daemon.resources import MIN_DESCRIPTORS, MIN_MEMORY_MB, Resources
from godwitpass_testkit.load_model.virtual_loop import VirtualLoop
from godwitpass_testkit.relay import HEADER_NAMES

HOST = b"Host: shop.example\r\n"
POST = b"POST /read/1 HTTP/1.1\r\n" + HOST
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET /read/1 HTTP/1.1\r\n" + HOST + b"\r\n"
ENDLESS_BYTES = 512 * 1024


class FakeTransport:
    """Records what is written, and whether reading is paused."""

    def __init__(self) -> None:
        self.output = b""
        self.is_paused = False
        self.is_closed = False

    def write(self, data: bytes) -> None:
        self.output += data

    def pause_reading(self) -> None:
        self.is_paused = True

    def resume_reading(self) -> None:
        self.is_paused = False

    def abort(self) -> None:
        self.is_closed = True

    close = write_eof = abort

    def is_closing(self) -> bool:
        return self.is_closed

    def can_write_eof(self) -> bool:
        return True

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 100_000

    def get_extra_info(self, name: str) -> tuple[str, int]:
        return "127.0.0.1", 1


class Client:
    """A caller's connection to `core`, on which bytes arrive while reading isn't paused."""

    def __init__(self, core: RelayCore) -> None:
        self.loop = cast(VirtualLoop, core.loop)
        self.connection, self.transport = CallerConnection(core), FakeTransport()
        self.connection.connection_made(cast(Any, self.transport))

    def send(self, data: bytes, part_bytes: int = READ_BYTES) -> int:
        """Send `data` in parts until the connection stops reading; return the bytes read."""
        position = 0
        while position < len(data) and not self.transport.is_closed:
            if self.transport.is_paused:
                self.loop.run_until(self.loop.time() + 0.001)
                if self.transport.is_paused:
                    break
            buffer = self.connection.get_buffer(-1)
            part = data[position : position + min(part_bytes, len(buffer))]
            buffer[: len(part)] = part
            self.connection.buffer_updated(len(part))
            position += len(part)
        return position

    def status(self) -> bytes:
        return self.transport.output[9:12]


def build_core(memory_mb: int = MIN_MEMORY_MB) -> RelayCore:
    """Return a core without a configuration, so that complete requests wait in it."""
    loop = VirtualLoop()
    runner = UpstreamRunner(HEADER_NAMES, loop.time, lambda *_: None, 1.0, 1e9)
    core = RelayCore(
        cast(Any, loop),
        runner,
        InstanceId("own"),
        ZoneId("a"),
        HEADER_NAMES,
        RetryBudgetSettings(0.2, 10.0, 64.0),
        random.Random(1),
        lambda _: [],
        lambda: 1,
        lambda *_: None,
        resources=Resources(memory_mb, MIN_DESCRIPTORS),
    )
    core.intake.turns._clock = loop.time
    core.intake.turns._refilled_at = 0.0
    return core


def list_requests(core: RelayCore) -> list[tuple[bytes, bytes]]:
    return [
        (request.head.encoded, request.body)
        for request in core.requests_awaiting_configuration
        if request.head is not None
    ]


def encode_chunks(body: bytes, chunk_bytes: int, extension: bytes = b"") -> bytes:
    chunks = [body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes)]
    return b"".join(b"%x%b\r\n%b\r\n" % (len(c), extension, c) for c in chunks)


def encode_lines(count: int) -> bytes:
    return b"".join(b"x-%d: %d\r\n" % (number, number) for number in range(count))


class TestOddRequestsWithinTheLimits:
    @pytest.mark.parametrize("count", [101, 1_500])
    def test_the_number_of_header_lines_is_not_bounded(self, count: int) -> None:
        core = build_core()
        Client(core).send(POST + encode_lines(count) + b"\r\n")
        ((head, _),) = list_requests(core)
        assert head.count(b"\r\n") == count + 3

    def test_a_head_over_the_limit_is_refused(self) -> None:
        core = build_core()
        client = Client(core)
        client.send(POST + encode_lines(4_000) + b"\r\n")
        assert (client.status(), list_requests(core)) == (b"431", [])

    def test_a_body_in_chunks_of_one_byte_is_read(self) -> None:
        core = build_core()
        body = bytes(range(256)) * 4096
        client = Client(core)
        for start in range(0, len(data := CHUNKED + encode_chunks(body, 1)), READ_BYTES):
            while client.transport.is_paused:
                client.loop.run_until(client.loop.time() + 0.1)
            client.send(data[start : start + READ_BYTES])
        client.send(b"0\r\n\r\n")
        assert list_requests(core)[0][1] == body

    @pytest.mark.parametrize(
        ("before", "after"),
        [(b"\r\n\r\n", b"0\r\n\r\n"), (b"", b"0\r\nA: 1\r\nB: 2\r\n\r\n"), (b"", b"0;a=b\r\n\r\n")],
    )
    def test_empty_lines_trailers_and_extensions_are_read(
        self, before: bytes, after: bytes
    ) -> None:
        core = build_core()
        Client(core).send(before + CHUNKED + encode_chunks(b"abcdef", 4, b";x=1") + after)
        assert list_requests(core)[0][1] == b"abcdef"

    @settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @given(st.lists(st.integers(1, 900), min_size=1, max_size=40))
    def test_the_cuts_of_the_input_change_nothing(self, cuts: list[int]) -> None:
        stream = b"\r\n\r\n" + GET + CHUNKED + encode_chunks(b"z" * 90, 7, b";e=1")
        stream += b"0\r\nT: 1\r\n\r\n" + POST + b"A:\r\n" + encode_lines(150) + b"\r\n" + GET
        whole, cut = build_core(), build_core()
        Client(whole).send(stream)
        client = Client(cut)
        for size in cuts:
            client.send(stream[:size])
            stream = stream[size:]
        client.send(stream)
        assert len(list_requests(whole)) == 4
        assert list_requests(cut) == list_requests(whole)


class TestInputWithoutEnd:
    @pytest.mark.parametrize(
        ("start", "rest", "status"),
        [
            (b"", b"\r\n", b"400"),
            (POST, b"a:\r\n", b"431"),
            (POST, b"a: b\r\n", b"431"),
            (POST + b"a: ", b"b", b"431"),
            (POST + b"a: ", b" ", b"431"),
            (CHUNKED + b"1;", b"x", b"400"),
            (CHUNKED + b"1\r\na\r\n0\r\n", b"a: b\r\n", b"400"),
        ],
    )
    def test_it_is_refused_and_nothing_is_kept(
        self, start: bytes, rest: bytes, status: bytes
    ) -> None:
        core = build_core()
        client = Client(core)
        client.send(start + rest * (ENDLESS_BYTES // len(rest)))
        assert client.status() == status
        assert (core.intake.budget.held_bytes, client.connection._headers) == (0, [])
        assert client.connection._parser is None

    def test_pipelined_requests_are_not_read_beyond_their_limit(self) -> None:
        core = build_core()
        assert Client(core).send(GET * 10_000) < MAX_PIPELINED_REQUESTS * len(GET) + READ_BYTES

    def test_a_caller_that_reads_nothing_gets_no_further_responses(self) -> None:
        core = build_core()
        core.is_refusing = True
        client = Client(core)
        client.connection.pause_writing()
        assert client.send(GET * 10_000) <= READ_BYTES
        assert client.transport.output == b""
        client.connection.check_timeouts(0.0)
        client.connection.check_timeouts(core.idle_timeout_s + 1)
        assert client.transport.is_closed
        client.connection.connection_lost(None)
        assert core.intake.budget.held_bytes == 0

    def test_a_body_that_stops_is_refused_after_the_idle_timeout(self) -> None:
        core = build_core()
        client = Client(core)
        client.send(POST + b"Content-Length: 9\r\n\r\n1234")
        client.connection.check_timeouts(core.idle_timeout_s - 1)
        assert client.transport.output == b""
        client.connection.check_timeouts(core.idle_timeout_s + 1)
        assert client.status() == b"408"


class TestMemoryOfRequests:
    def test_the_incomplete_bodies_without_progress_make_room_for_others(self) -> None:
        core = build_core(memory_mb=512)
        limit_bytes = core.intake.budget.limit_bytes
        body_bytes = core.limits.body_bytes
        clients = [Client(core) for _ in range(3 * limit_bytes // body_bytes)]
        for client in clients:
            client.send(POST + b"Content-Length: %d\r\n\r\n" % body_bytes + b"b" * (body_bytes - 1))
            assert core.intake.budget.held_bytes <= limit_bytes
        assert clients[0].status() == b"503"
        clients[-1].send(b"b")
        Client(core).send(GET)
        assert len(list_requests(core)) == 2
        assert core.intake.limit_log.counts["memory"] > 0

    @settings(max_examples=40, derandomize=True, deadline=None, database=None)
    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 6)), max_size=60))
    def test_what_is_held_is_counted_and_given_back(self, steps: list[tuple[int, int]]) -> None:
        pieces = [GET, CHUNKED, b"5\r\nabcde\r\n", b"0\r\n\r\n", POST, b"a: b\r\n" * 700, b"\0"]
        core = build_core()
        clients = [Client(core) for _ in range(6)]
        for number, piece in steps:
            clients[number].send(pieces[piece])
            current = [client.connection._current_request for client in clients]
            requests = {r for client in clients for r in client.connection._requests}
            requests |= {request for request in current if request is not None}
            held_bytes = sum(request.held_bytes for request in requests)
            assert core.intake.budget.held_bytes == held_bytes >= 0
        for client in clients:
            client.connection.connection_lost(None)
        assert core.intake.budget.held_bytes == 0
        assert not core.intake.budget._incomplete

    def test_a_reserve_is_left_for_small_requests(self) -> None:
        budget = RequestBudget(1_000_000)
        budget.held_bytes = 950_000
        assert budget.has_room(1_000)
        assert not budget.has_room(100_000)


class TestConnectionsOfCallers:
    def test_the_longest_idle_connection_makes_room_and_no_busy_one(self) -> None:
        core = build_core()
        clients = [Client(core) for _ in range(core.intake.max_connections)]
        clients[0].send(GET)
        late = Client(core)
        assert [c.transport.is_closed for c in clients[:3]] == [False, True, False]
        assert not late.transport.is_closed
        for client in clients:
            client.send(GET)
        late.send(GET)
        assert Client(core).transport.is_closed

    def test_a_client_that_meets_limits_is_logged_once_a_minute(self) -> None:
        now, logged = [0.0], list[str]()
        log = LimitLog(lambda: now[0], lambda kind, fields: logged.append(str(fields["client"])))
        for _ in range(2):
            for number in range(2 * MAX_LOGGED_CLIENTS):
                log.record("memory", str(number))
        assert (len(logged), log.counts["memory"]) == (MAX_LOGGED_CLIENTS, 4 * MAX_LOGGED_CLIENTS)
        now[0] = 60.0
        log.record("memory", "0")
        assert logged[-1] == "0"


class TestCostlyInput:
    def test_a_crowd_takes_its_share_of_the_time_and_everyone_gets_turns(self) -> None:
        loop = VirtualLoop()
        turns = InputTurns(cast(Any, loop), loop.time)
        counts = [0] * 50

        class CostlyReader:
            def __init__(self, number: int) -> None:
                self.number = number

            def take_turn(self) -> bool:
                counts[self.number] += 1
                turns.defer(self, 0.001)
                return True

        for number in range(len(counts)):
            turns.defer(CostlyReader(number), 0.001)
        while turns._level_s > 0:
            loop.run_until(loop.time() + 0.000_001)
        start, spent_s = loop.time(), -sum(counts) * 0.001
        loop.run_until(start + 20.0)
        spent_s += sum(counts) * 0.001
        assert spent_s == pytest.approx(0.25 * 20.0, rel=0.05)
        assert max(counts) - min(counts) <= 1
        assert start < COSTLY_INPUT_BURST_S

    def test_a_head_of_many_lines_waits_for_turns_on_new_connections_too(self) -> None:
        core = build_core()
        client = Client(core)
        client.connection.receive((POST + b"a:\r\n" * 500)[:HEAD_READ_BYTES])
        assert (client.transport.is_paused, core.intake.turns.waiting_count) == (True, 1)
        client.send(b"a:\r\n" * 500 + b"\r\n")
        assert len(list_requests(core)) == 1

    def test_time_spent_without_turns_is_not_made_up_for_without_bound(self) -> None:
        loop = VirtualLoop()
        turns = InputTurns(cast(Any, loop), loop.time)
        reader = Client(build_core()).connection
        for _ in range(1_000):
            turns.defer(reader, 0.1)
        loop.run_until(1.0)
        assert turns.waiting_count < 1_000

    def test_connections_that_are_closed_use_up_no_turns(self) -> None:
        core = build_core()
        for number in range(200):
            client = Client(core)
            client.connection.receive((POST + b"a:\r\n" * 500)[:HEAD_READ_BYTES])
            assert client.transport.is_paused
            if number < 199:
                client.connection.connection_lost(None)
        core.intake.turns._level_s = 2 * TURN_S
        client.loop.run_until(0.000_001)
        assert (client.transport.is_paused, core.intake.turns.waiting_count) == (False, 0)

    def test_a_body_in_large_parts_needs_no_turns(self) -> None:
        core = build_core()
        client = Client(core)
        client.send(POST + b"Content-Length: 100000\r\n\r\n")
        for _ in range(4):
            client.send(b"b" * READ_BYTES)
            assert core.intake.turns.waiting_count == 0
