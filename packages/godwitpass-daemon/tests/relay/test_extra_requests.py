"""A call with two attempts in flight, under interleavings of frames, without a network."""

import itertools
import random
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from godwitpass.document import Document, Execution, Policy, Route, Service
from godwitpass.ids import (
    Address,
    ChangeId,
    ContentHash,
    InstanceId,
    PolicyName,
    RegionId,
    RouteName,
    ServiceName,
    Version,
    ZoneId,
)
from godwitpass.internal.relay.frames import (
    BodyChunk,
    Failed,
    Failure,
    Load,
    OpenStream,
    Refusal,
    Refused,
    Response,
)
from godwitpass.internal.relay.retry_budget import RetryBudgetSettings
from godwitpass.internal.retrying.extra_requests import MIN_SAMPLES
from godwitpass.mesh import Upstream, UpstreamState
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.relay.core import RelayCore
from godwitpass_daemon.relay.forwarded_attempts import Attempt
from godwitpass_daemon.relay.forwarded_calls import ForwardedCall
from godwitpass_daemon.relay.headers import RequestHead
from godwitpass_daemon.relay.upstream_runner import UpstreamRunner
from godwitpass_testkit.load_model.virtual_loop import VirtualLoop
from godwitpass_testkit.relay import HEADER_NAMES

DESK, READ = ServiceName("desk"), RouteName("read")
IDLE = Load(0, 0, 8, 0, 1_000)
USUAL_S = 0.1
NOT_RUN_EVENTS = ("refused", "crash suspect", "unsent")
EVENTS = (
    *("response", "server error", "first part", "last part", "aborted", "failed", "timeout"),
    *("refused by upstream", "link lost", *NOT_RUN_EVENTS),
)


class FakeStream:
    """One opened stream; it keeps its handler after its end, as a lost link may call it then.

    A response in parts is passed on at once if `is_streamed`, and collected else.
    """

    def __init__(self, attempt: Attempt, instance: InstanceId, is_streamed: bool) -> None:
        self.attempt, self.is_streamed = attempt, is_streamed
        self.marker = b"<%s>" % instance.encode()
        self.ends: list[str] = []
        self.is_withdrawn = False
        self.has_begun = False

    def play(self, event: str) -> None:
        attempt, is_open = self.attempt, not self.ends
        if event in ("first part", "last part"):
            if event == "first part" and not self.has_begun:
                self.has_begun = True
                attempt.handle_response(self._respond(200, is_last=False))
            else:
                if event == "last part" and self.has_begun:
                    self._end(event, is_open)
                attempt.handle_body(BodyChunk(1, self.marker, event == "last part"))
            return
        self._end(event, is_open)
        match event:
            case "response" | "server error":
                attempt.handle_response(self._respond(200 if event == "response" else 500, True))
            case "aborted":
                attempt.handle_aborted()
            case "failed" | "timeout":
                reason = Failure.TIMEOUT if event == "timeout" else Failure.RESET
                attempt.handle_failed(Failed(1, reason, IDLE))
            case "link lost" | "unsent":
                attempt.handle_link_lost(event == "link lost")
            case _:
                reached = event == "refused by upstream"
                reason_of = Refusal.CRASH_SUSPECT if event == "crash suspect" else Refusal.NO_ROOM
                attempt.handle_refused(Refused(1, reason_of, reached, 0, IDLE))

    def cancel(self) -> None:
        """Record a cancellation; a link ignores that of a stream whose last frame has come."""
        if self.ends in ([], ["cancelled"]):
            self.ends.append("cancelled")

    def _end(self, event: str, is_open: bool) -> None:
        if is_open:
            self.ends.append(event)

    def _respond(self, status: int, is_last: bool) -> Response:
        body_bytes = -1 if self.is_streamed else 2 * len(self.marker)
        body_bytes = len(self.marker) if is_last else body_bytes
        return Response(1, status, b"", self.marker, body_bytes, is_last, 0, 9, IDLE)


class FakeCore(RelayCore):
    """The relay's state with links that record what is sent on them."""

    streams: list[FakeStream]

    def get_link(self, upstream: Upstream, body_bytes: float) -> Any:
        def open_stream(attempt: Attempt, request: OpenStream, body: bytes) -> int:
            is_streamed = len(self.streams) % 2 == 0
            self.streams.append(FakeStream(attempt, upstream.instance, is_streamed))
            return len(self.streams) - 1

        return SimpleNamespace(
            open=open_stream,
            cancel=lambda number: self.streams[number].cancel(),
            withdraw=lambda number: setattr(self.streams[number], "is_withdrawn", True),
            extend_window=lambda number, size_bytes: None,
        )


class Scene:
    """One daemon whose route is slow from `USUAL_S` on, and one call that it forwards."""

    def __init__(self, share: float = 0.05, execution: Execution = Execution.IDEMPOTENT) -> None:
        self.loop = VirtualLoop()
        instances = [InstanceId(f"i-{number}") for number in range(4)]
        place = ZoneId("a"), RegionId("r"), UpstreamState.READY, 8
        upstreams = [Upstream(name, DESK, Address("h:1"), *place) for name in instances]
        runner = UpstreamRunner(HEADER_NAMES, self.loop.time, lambda *_: None, 1.0, 1e9)
        budget = RetryBudgetSettings(0.2, 10.0, 64.0)
        self.core = FakeCore(
            cast(Any, self.loop),
            *(runner, InstanceId("own"), ZoneId("a"), HEADER_NAMES, budget, random.Random(1)),
            *(lambda _: upstreams, lambda: 1, lambda *_: None, share),
        )
        self.core.streams = []
        policy = Policy(PolicyName("p"), None, execution, timeout_ms=2_000, attempts=3)
        route = Route(READ, "/", DESK, policy=policy.name)
        document = Document(1, (Service(DESK),), (route,), (policy,))
        snapshot = Snapshot(Version(1), ChangeId("c"), ContentHash("00"), document)
        self.core.apply_snapshot(snapshot)
        self.loop.run_until(20.0)
        for instance in instances:
            self.core.record_load(instance, IDLE)
        for _ in range(MIN_SAMPLES):
            self.core.extra_requests.record_latency(READ, USUAL_S, 1.0)
            self.core.extra_requests.count_call(DESK, share)
        self.output: list[bytes] = []
        self.is_done = False

    def start(self) -> ForwardedCall:
        """Start the call and wait until it is slow."""
        assert self.core.table is not None
        route = self.core.table.find("", "/x")
        assert route is not None
        head = RequestHead(b"GET", "", "/x", b"GET /x HTTP/1.1\r\n", "q", 2_000, False)
        request = SimpleNamespace(
            arrived_at=self.loop.time(),
            is_chunked=False,
            decide_close=lambda: False,
            abort=lambda: self._write(b"", True),
            write_response=self._write,
        )
        self.call = ForwardedCall(self.core, cast(Any, request), head, route)
        self.call.start(b"")
        self.loop.run_until(20.5)
        return self.call

    def play(self, steps: tuple[tuple[int, str], ...]) -> None:
        """Play events of streams by number; a negative number is the caller or the deadline."""
        for number, event in steps:
            if number < 0:
                if event == "cancel" and not self.is_done:
                    self.is_done = True
                    self.call.cancel()
                else:
                    self.loop.run_until(23.0)
            elif number < len(self.core.streams):
                self.core.streams[number].play(event)
        self.loop.run_until(30.0)

    def _write(self, data: bytes, is_last: bool) -> None:
        assert not self.is_done, f"after the end: {data!r}"
        self.output.append(data)
        self.is_done = is_last

    def check(self) -> None:
        """Check what must hold for any call once it has ended."""
        streams, text = self.core.streams, b"".join(self.output)
        assert self.is_done, "a call ends at its deadline at the latest"
        assert text.count(b"HTTP/1.1") <= 1, "one response"
        assert sum(stream.marker in text for stream in streams) <= 1, "from one upstream"
        assert [len(stream.ends) for stream in streams] == [1] * len(streams), "each ends once"
        assert self.core.calls_in_progress == 0
        selector = self.core.selector
        own = [selector.describe(InstanceId(f"i-{n}"), 0.0)["own"] for n in range(4)]
        assert own == [0] * 4, "the load counts of the selector are exact"
        assert self.core.counts["extra-request"] <= 1
        may_have_run = [
            s for s in streams if s.ends[0] not in (*NOT_RUN_EVENTS, "refused by upstream")
        ]
        if b" 503 " in text:
            assert not may_have_run, "503 promises that the call has not run"


SINGLE_STEPS = tuple(
    [(number, event) for number in (0, 1) for event in EVENTS] + [(-1, "cancel"), (-1, "deadline")]
)


class TestTwoAttempts:
    @pytest.mark.parametrize("first", SINGLE_STEPS)
    def test_all_short_interleavings_give_one_response_from_one_upstream(
        self, first: tuple[int, str]
    ) -> None:
        for rest in itertools.product(SINGLE_STEPS, repeat=2):
            scene = Scene()
            scene.start()
            assert len(scene.core.streams) == 2, "the call is slow"
            scene.play((first, *rest))
            scene.check()

    def test_long_interleavings_with_retries_give_one_response_from_one_upstream(self) -> None:
        rng = random.Random(11)
        steps = [(number, event) for number in range(4) for event in EVENTS]
        for _ in range(2_000):
            scene = Scene()
            scene.start()
            scene.play(tuple(rng.choices(steps, k=rng.randint(3, 12))))
            scene.check()

    def test_the_first_response_cancels_the_other_attempt_at_once(self) -> None:
        scene = Scene()
        scene.start()
        first, second = scene.core.streams
        assert first.is_withdrawn, "a call that still waits must not run twice"
        second.play("response")
        assert (first.ends, scene.output[0].endswith(second.marker)) == (["cancelled"], True)

    def test_a_server_error_waits_for_the_other_attempt(self) -> None:
        scene = Scene()
        scene.start()
        scene.core.streams[0].play("server error")
        assert not scene.output
        scene.core.streams[1].play("refused")
        assert scene.output[0].startswith(b"HTTP/1.1 500")

    @pytest.mark.parametrize("execution", [Execution.UNSAFE, Execution.ONCE])
    def test_an_unsafe_call_is_never_sent_twice(self, execution: Execution) -> None:
        for event in set(EVENTS) - {*NOT_RUN_EVENTS, "refused by upstream"}:
            scene = Scene(share=1.0, execution=execution)
            scene.start()
            scene.play(((0, event),))
            assert len(scene.core.streams) == 1, event

    def test_without_a_share_there_is_no_timer_and_no_extra_request(self) -> None:
        scene = Scene(share=0.0)
        scene.start()
        timers = [entry for entry in scene.loop._heap if not entry[2].is_cancelled]
        assert (len(scene.core.streams), len(timers)) == (1, 1), "only the deadline's timer"

    def test_no_extra_request_is_sent_to_a_service_without_room(self) -> None:
        scene = Scene()
        busy = msgspec.structs.replace(IDLE, running=7)
        for number in range(4):
            scene.core.record_load(InstanceId(f"i-{number}"), busy)
        scene.start()
        assert len(scene.core.streams) == 1
