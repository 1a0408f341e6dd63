"""One call at the daemon that took it: from a whole request to its final answer."""

import asyncio
from typing import TYPE_CHECKING

from godwitpass.ids import InstanceId, ServiceName
from godwitpass.internal.relay.frames import (
    Answered,
    Body,
    Failed,
    Failure,
    Open,
    Refused,
)
from godwitpass.internal.relay.routes import RelayRoute
from godwitpass.mesh import Upstream
from godwitpass_daemon.relay.headers import RequestHead, encode_answer, encode_own
from godwitpass_daemon.relay.limits import DEADLINE_MARGIN_S, MAX_HANDOVERS
from godwitpass_daemon.relay.links import Link

if TYPE_CHECKING:
    from godwitpass_daemon.relay.core import RelayCore
    from godwitpass_daemon.relay.pipelining import Turn

DEFAULT_RETRY_S = 0.2
"""When to come back while nothing is known of the time in which room appears."""

MAX_RETRY_SHARE = 1 / 3
"""Callers wait at most this share of the time they have left."""

MIN_USEFUL_S = 0.005
"""With less time left than this a call is not handed over any more."""


class Exchange:
    """State of one call in progress."""

    __slots__ = (
        "_avoid",
        "_body",
        "_core",
        "_deadline",
        "_ended",
        "_handovers",
        "_link",
        "_number",
        "_objective_at",
        "_rank",
        "_refusal",
        "_repeats",
        "_retry_s",
        "_servers",
        "_service",
        "_streaming",
        "_timer",
        "_turn",
        "_upstream",
        "arrived_at",
        "head",
        "route",
    )

    def __init__(
        self, core: "RelayCore", turn: "Turn", head: RequestHead, route: RelayRoute
    ) -> None:
        self._core = core
        self._turn = turn
        self.head = head
        self.route = route
        self.arrived_at = turn.arrived_at
        policy = route.policy
        timeout_s = policy.timeout_ms / 1000
        if head.timeout_ms is not None:
            timeout_s = min(timeout_s, head.timeout_ms / 1000)
        self._deadline = self.arrived_at + timeout_s - DEADLINE_MARGIN_S
        self._objective_at = self.arrived_at + policy.objective_ms / 1000
        self._rank = core.choose_rank(route, head.request_id)
        self._service = ServiceName("")
        self._body = b""
        self._avoid: set[InstanceId] = set()
        self._handovers = 0
        self._servers = 0
        self._repeats = 0
        self._retry_s: float | None = None
        self._refusal = ""
        self._link: Link | None = None
        self._number = 0
        self._upstream: Upstream | None = None
        self._streaming = False
        self._ended = False
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, body: bytes) -> None:
        """Hand the call over; its body is whole."""
        core = self._core
        self._body = body
        self._service = core.splitter.choose(self.route)
        self._timer = core.loop.call_at(self._deadline, self._expire)
        core.count_first(self._service)
        self._try()

    def cancel(self) -> None:
        """Drop the call; its caller is gone."""
        if not self._ended:
            self._drop_stream()
            self._end("cancelled", 0)

    # Called by the link.

    def take_refused(self, frame: Refused) -> None:
        """Try another upstream, or refuse the call."""
        now = self._core.now()
        upstream = self._leave(now)
        if frame.arrived:
            self._servers += 1
            self._core.placement.note_failure(upstream.instance, now)
        self._avoid.add(upstream.instance)
        self._refusal = f"refused: {frame.reason.name.lower()}"
        if frame.retry_ms:
            retry_s = frame.retry_ms / 1000
            self._retry_s = retry_s if self._retry_s is None else min(self._retry_s, retry_s)
        if self._may_hand_over(repeated=frame.arrived, now=now):
            self._core.note_retry(self, upstream, frame.reason.name.lower())
            self._try()
        else:
            self._refuse(self._refusal)

    def take_failed(self, frame: Failed) -> None:
        """Try another upstream if the call may run twice."""
        core, now = self._core, self._core.now()
        upstream = self._leave(now)
        self._servers += 1
        core.placement.note_failure(upstream.instance, now)
        self._avoid.add(upstream.instance)
        self._repeat_or_fail(upstream, frame.reason.name.lower(), now, frame.reason)

    def take_lost(self, sent: bool) -> None:
        """Try another upstream if the call did not leave or may run twice."""
        now = self._core.now()
        upstream = self._leave(now)
        self._avoid.add(upstream.instance)
        if sent:
            if self._streaming:
                self._break_off("link lost")
                return
            self._servers += 1
            self._repeat_or_fail(upstream, "link lost", now, Failure.RESET)
        elif self._may_hand_over(repeated=False, now=now):
            self._core.note_retry(self, upstream, "not connected")
            self._try()
        else:
            self._refuse("not connected")

    def take_answered(self, frame: Answered) -> None:
        """Pass the answer on."""
        core, now = self._core, self._core.now()
        upstream = self._upstream
        assert upstream is not None
        failed = frame.status >= 500
        core.placement.note_answer(
            upstream.instance,
            self.route.name,
            frame.service_ms / 1000,
            len(frame.body),
            failed,
            now,
        )
        bodyless = self.head.method == b"HEAD" or frame.status in (204, 304)
        close = self._turn.decide_close()
        head = encode_answer(frame.status, frame.head, frame.body_bytes, close, bodyless)
        if frame.last:
            self._leave(now)
            self._end("answered", frame.status, frame)
            self._turn.answer(head + frame.body, last=True)
            return
        self._streaming = True
        chunk = self._frame_body(frame.body, frame.body_bytes)
        self._turn.chunked = frame.body_bytes < 0
        self._turn.answer(head + chunk, last=False)

    def take_body(self, frame: Body) -> None:
        """Pass a further part of the answer on."""
        chunked = self._turn.chunked
        data = self._frame_body(frame.data, -1 if chunked else 0)
        if not frame.last:
            self._turn.answer(data, last=False)
            return
        self._leave(self._core.now())
        self._end("answered", 200)
        self._turn.answer(data + (b"0\r\n\r\n" if chunked else b""), last=True)

    def take_cut(self) -> None:
        """Cut the answer to the caller short, so that it can't pass for whole."""
        self._leave(self._core.now())
        self._break_off("answer cut")

    def _try(self) -> None:
        core, now = self._core, self._core.now()
        left_s = self._deadline - now
        if left_s < MIN_USEFUL_S:
            self._refuse("no time left")
            return
        upstream = core.placement.choose(
            self._service, self.route.name, now, len(self._body), self._avoid
        )
        if upstream is None:
            self._refuse(self._refusal or "no upstream")
            return
        self._upstream = upstream
        self._handovers += 1
        core.placement.note_sent(upstream.instance, len(self._body))
        opened = Open(
            0,
            self._service,
            self.route.name,
            self.head.encoded,
            int(left_s * 1000),
            int((self._objective_at - now) * 1000),
            self._rank,
            self.route.is_idempotent,
            len(self._body),
            b"",
            self.head.request_id,
        )
        link = core.find_link(upstream, len(self._body))
        self._link = link
        self._number = link.open(self, opened, self._body)

    def _may_hand_over(self, repeated: bool, now: float) -> bool:
        """Tell whether the call goes to another upstream; a repeat draws on the budget."""
        if self._core.refusing or self._handovers >= MAX_HANDOVERS:
            return False
        if self._deadline - now < MIN_USEFUL_S:
            return False
        if self._servers >= self.route.policy.attempts:
            return False
        return not repeated or self._core.try_repeat(self._service)

    def _repeat_or_fail(
        self, upstream: Upstream, reason: str, now: float, failure: Failure
    ) -> None:
        idempotent = self.route.is_idempotent
        if idempotent and failure is not Failure.TIMEOUT and self._may_hand_over(True, now):
            self._repeats += 1
            self._core.note_retry(self, upstream, reason)
            self._try()
            return
        self._answer_own(504 if failure is Failure.TIMEOUT else 502, reason, None)

    def _refuse(self, reason: str) -> None:
        """Answer that the call has not run, unless an earlier send may have."""
        if self._repeats:
            self._answer_own(502, reason, None)
            return
        left_s = max(0.0, self._deadline - self._core.now())
        retry_s = DEFAULT_RETRY_S if self._retry_s is None else self._retry_s
        self._answer_own(503, reason, min(retry_s, left_s * MAX_RETRY_SHARE))

    def _expire(self) -> None:
        """Answer a call whose time is over."""
        if self._ended:
            return
        if self._streaming:
            self._drop_stream()
            self._break_off("deadline")
            return
        running = self._link is not None
        self._drop_stream()
        if running or self._repeats:
            self._answer_own(504, "deadline", None)
        else:
            self._refuse("deadline")

    def _answer_own(self, status: int, reason: str, retry_s: float | None) -> None:
        request_id = self.head.request_id.encode("latin-1")
        close = self._turn.decide_close()
        names = self._core.names
        self._end(reason, status)
        self._turn.answer(
            encode_own(status, reason, request_id, names.request_id, retry_s, close), last=True
        )

    def _break_off(self, reason: str) -> None:
        self._end(reason, 0)
        self._turn.break_off()

    def _leave(self, now: float) -> Upstream:
        """Note that the call is no longer at its upstream."""
        upstream = self._upstream
        assert upstream is not None
        self._link = None
        self._core.placement.note_done(upstream.instance)
        return upstream

    def _drop_stream(self) -> None:
        if self._link is not None and self._upstream is not None:
            link, self._link = self._link, None
            self._core.placement.note_done(self._upstream.instance)
            link.cancel(self._number)

    def _end(self, outcome: str, status: int, frame: Answered | None = None) -> None:
        assert not self._ended, "a call ends once"
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        upstream = self._upstream
        self._core.note_end(
            self,
            {
                "outcome": outcome,
                "status": status,
                "upstream": upstream.instance if upstream else "",
                "handovers": self._handovers,
                "wait_ms": frame.wait_ms if frame else -1,
                "service_ms": frame.service_ms if frame else -1,
            },
        )

    def _frame_body(self, data: bytes, body_bytes: int) -> bytes:
        if body_bytes >= 0 or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)
