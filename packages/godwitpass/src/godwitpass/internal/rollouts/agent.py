"""The agent beside one upstream: decides whether its software version may run calls now.

Without an order it sends nothing. While a roll-out runs it reports to the controller, whose answer
permits the target version for a while from the moment at which the report was sent.
"""

import random
from collections import deque
from collections.abc import Callable, Sequence

import msgspec

from godwitpass.events import FieldValue
from godwitpass.ids import Address, InstanceId, RouteName, ServiceName, SoftwareVersion
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.rollouts import events
from godwitpass.internal.rollouts.counts import ResponseCounter
from godwitpass.internal.rollouts.established import EstablishedVersion
from godwitpass.internal.rollouts.messages import Answer, Message, Poke, Report
from godwitpass.internal.rollouts.records import Phase
from godwitpass.mesh import Upstream

REPORT_INTERVAL_S = 0.4
PERMISSION_S = 2.0
"""Life of a permission from the moment at which the report was sent."""

MAX_SILENT_REPORTS = 2
"""Reports without an answer after which the agent turns to the next candidate."""

MIN_SILENCE_S = 0.2
"""A report followed by another one sooner than this isn't counted as unanswered."""

CLOSE_DELAY_S = 0.5
"""Time between learning of the step `switching` and refusing calls to an old server.

Senders learn in that time that the target takes all calls.
"""

QUIET_S = 0.3
"""Time without a new call after which none is taken to be on its way."""

MAX_QUIET_WAIT_S = 1.0
"""Calls that still arrive this long after closing are refused and don't delay the completion."""

REOPEN_S, REOPEN_REPORTS = 3.0, 6
"""A closed old server opens again after this long, and so many reports, without an answer.

It is longer than `PERMISSION_S`, so the target has closed by then. The reports are counted because
a daemon that was paused has not tried to reach a controller.
"""

WINDOW_RESPONSES, WINDOW_FAILURES = 8, 6
"""An agent stops a target server by itself if so many of so many responses failed."""

RESET_MERGE_S = 0.5
"""Resets this close together count as one failure, as the end of a server resets all its calls."""

LONG_S, LONG_MERGE_S = 0.5, 0.1
"""Long or failed responses this close together count as one.

A server that was paused ends all its calls at once, which is one event and no evidence against a
version.
"""

CLOSING_POLL_S = 0.1
MAX_NONCE = 2**62


class UpstreamChanged(msgspec.Struct, frozen=True):
    """Event: the local upstream; `version` is None before it has reported one."""

    service: ServiceName
    version: SoftwareVersion | None


class MembersChanged(msgspec.Struct, frozen=True):
    """Event: the other upstreams of the service, which may have changed."""

    others: tuple[Upstream, ...]


class AvailabilityChanged(msgspec.Struct, frozen=True):
    """Action: whether the local version may run calls, and the share to announce (0: no canary)."""

    is_open: bool
    share: float


AgentEvent = UpstreamChanged | MembersChanged | MessageReceived[Message] | TimerFired
AgentAction = Send[Message] | SetTimer | RecordEvent | AvailabilityChanged


class Agent:
    """Reports, and opens or closes the local version.

    `count_calls` returns the calls in progress, `list_candidates` the candidates for the control of
    a service by rank.
    """

    def __init__(
        self,
        instance: InstanceId,
        rng: random.Random,
        count_calls: Callable[[], int],
        list_candidates: Callable[[ServiceName], Sequence[Address]],
    ) -> None:
        self._instance = instance
        self._list_candidates = list_candidates
        self._random = rng
        self._count_calls = count_calls
        self._service = ServiceName("")
        self._version: SoftwareVersion | None = None
        self._established: EstablishedVersion | None = None
        self._others: tuple[Upstream, ...] = ()
        self._controller: Address | None = None
        self._silent_reports = 0
        self._unanswered_reports = 0
        self._has_reported_closed = False
        self._nonce = 0
        self._sent_at = 0.0
        self._next_report_at = 0.0
        self._answered_at = 0.0
        self._state: Answer | None = None
        self._heard_at = 0.0
        self._permitted_until = 0.0
        self._closing_since: float | None = None
        self._last_arrival_at = 0.0
        self._counter = ResponseCounter()
        self._epoch = 0
        self._window: deque[bool] = deque(maxlen=WINDOW_RESPONSES)
        self._last_bad_at = -RESET_MERGE_S
        self._is_stopped = False
        self._reported_stop = False
        self._announced = AvailabilityChanged(False, 0.0)
        self._wake_at = 0.0

    @property
    def share(self) -> float:
        """Return the share that is announced."""
        return self._announced.share

    @property
    def state(self) -> Answer | None:
        """Return what the controller said last, None before."""
        return self._state

    def may_run(self, now: float) -> bool:
        """Return whether a call may be handed to the local upstream now."""
        version, state = self._version, self._state
        if version is None or self._established is None:
            return False
        excluded: set[SoftwareVersion] = set()
        if state is not None and state.phase is not Phase.NONE:
            if state.phase is Phase.COMPLETED:
                return version == state.target
            if version == state.target:
                return (
                    state.phase is Phase.RUNNING
                    and not self._is_stopped
                    and now < self._permitted_until
                )
            excluded.add(state.target)
            if state.phase is Phase.RUNNING and self._is_closed(now):
                return False
        return self._established.find(excluded, now) == version

    def record_arrival(self, now: float) -> None:
        """Note that a call has arrived, whether it may run or not."""
        self._last_arrival_at = now

    def record_response(
        self, route: RouteName, duration_s: float, has_failed: bool, is_reset: bool, now: float
    ) -> list[AgentAction]:
        """Count a response, or the end of a call without one."""
        state = self._state
        if state is None or state.phase is not Phase.RUNNING:
            return []
        if has_failed or duration_s >= LONG_S:
            is_merged = now - self._last_bad_at < (RESET_MERGE_S if is_reset else LONG_MERGE_S)
            self._last_bad_at = now
            if is_merged:
                return []
        self._counter.record(route, duration_s, has_failed)
        if self._version != state.target or self._is_stopped:
            return []
        self._window.append(has_failed)
        if sum(self._window) < WINDOW_FAILURES:
            return []
        self._is_stopped = True
        fields: dict[str, FieldValue] = {
            "target": state.target,
            "failures": sum(self._window),
            "of": len(self._window),
        }
        return [
            RecordEvent(events.TARGET_STOPPED, fields),
            *self._report(now),
            *self._follow_up(now),
        ]

    def handle(self, event: AgentEvent, now: float) -> list[AgentAction]:
        """Handle an event and return the actions that follow."""
        actions: list[AgentAction] = []
        match event:
            case UpstreamChanged():
                self._change_upstream(event, now)
            case MembersChanged():
                self._others = event.others
                self._update_established(now)
            case MessageReceived(sender, message):
                actions += self._receive(sender, message, now)
            case TimerFired():
                if now >= self._wake_at:
                    self._wake_at = 0.0
        return actions + self._follow_up(now)

    def _change_upstream(self, event: UpstreamChanged, now: float) -> None:
        if event.service != self._service:
            self._service = event.service
            self._established = None
            self._state = None
        if event.version != self._version:
            # Another server has taken the place, to which no earlier permission or count applies.
            self._version = event.version
            self._permitted_until = 0.0
            self._is_stopped = False
            self._start_epoch()
        self._update_established(now)

    def _update_established(self, now: float) -> None:
        if self._version is None:
            return
        if self._established is None:
            self._established = EstablishedVersion(now)
        self._established.update(self._version, self._others, now)

    def _start_epoch(self) -> None:
        self._counter = ResponseCounter()
        self._epoch = self._random.randrange(MAX_NONCE)
        self._window.clear()

    def _receive(self, sender: Address, message: Message, now: float) -> list[AgentAction]:
        if message.service != self._service or self._version is None:
            return []
        if isinstance(message, Poke):
            return self._receive_poke(sender, now)
        if isinstance(message, Answer) and message.nonce == self._nonce and self._nonce:
            self._receive_answer(message, now)
        return []

    def _receive_poke(self, sender: Address, now: float) -> list[AgentAction]:
        candidates = self._list_candidates(self._service)
        current = self._controller
        if sender not in candidates:
            return []
        if current in candidates and current != sender:
            is_heard = now - self._answered_at < 3 * REPORT_INTERVAL_S
            has_store = self._state is not None and self._state.has_store
            is_preferred = candidates.index(current) < candidates.index(sender)
            if is_heard and has_store and is_preferred:
                # Of two controllers that are both heard, the one ranked first gets the reports.
                return []
        self._controller = sender
        self._silent_reports = 0
        return self._report(now)

    def _receive_answer(self, answer: Answer, now: float) -> None:
        self._nonce = 0
        self._silent_reports = 0
        if not answer.is_acting:
            if answer.has_store and self._established is not None:
                self._established.has_record = True
            self._turn_to_next_candidate()
            return
        was_reopened = self._is_reopened(now)
        self._answered_at = now
        self._unanswered_reports = 0
        if self._established is not None:
            self._established.has_record = True
        state = self._state
        is_same = state is not None and (state.target, state.order) == (answer.target, answer.order)
        if state is not None and is_same and state.phase.is_final and answer.phase != state.phase:
            # A final record is never undone; this answer comes from before it.
            return
        if not is_same:
            self._heard_at = now
            self._start_epoch()
            self._is_stopped = False
            self._closing_since = None
        self._state = answer
        if answer.phase is Phase.COMPLETED and self._established is not None:
            self._established.set(answer.target)
        if answer.permits:
            self._permitted_until = self._sent_at + PERMISSION_S
            if self._is_stopped and self._reported_stop:
                # The controller has judged the failures, which the old version has as well.
                self._is_stopped = False
                self._window.clear()
        else:
            self._permitted_until = 0.0
        if not answer.closes:
            self._closing_since = None
        elif self._closing_since is None or was_reopened:
            self._closing_since = now
            self._has_reported_closed = False

    def _turn_to_next_candidate(self) -> None:
        candidates = self._list_candidates(self._service)
        index = candidates.index(self._controller) + 1 if self._controller in candidates else 0
        self._controller = candidates[index % len(candidates)] if candidates else None

    def _is_closed(self, now: float) -> bool:
        """Return whether an old server refuses calls because the target takes them all."""
        since = self._closing_since
        if since is None or self._is_reopened(now):
            return False
        return now - since >= CLOSE_DELAY_S

    def _is_reopened(self, now: float) -> bool:
        is_silent = now - self._answered_at >= REOPEN_S
        return is_silent and self._unanswered_reports >= REOPEN_REPORTS

    def _is_quiet(self, now: float) -> bool:
        since = self._closing_since
        if since is None or not self._is_closed(now) or self._count_calls():
            return False
        closed_s = now - since - CLOSE_DELAY_S
        return closed_s >= QUIET_S and (
            now - self._last_arrival_at >= QUIET_S or closed_s >= MAX_QUIET_WAIT_S
        )

    def _needs_reports(self, now: float) -> bool:
        if self._version is None or self._established is None:
            return False
        state = self._state
        if state is not None and state.phase is Phase.RUNNING:
            return True
        established = self._established
        if state is not None and state.phase is Phase.COMPLETED:
            return False
        if established.is_contested(self._version) and self._announced.is_open:
            return True
        is_unknown = established.find(set(), now) is None and not established.has_ready
        return is_unknown and not established.has_record

    def _report(self, now: float) -> list[AgentAction]:
        if self._version is None:
            return []
        if self._controller not in self._list_candidates(self._service):
            self._controller = None
            self._turn_to_next_candidate()
        if self._nonce and now - self._sent_at >= MIN_SILENCE_S:
            self._silent_reports += 1
            if self._silent_reports >= MAX_SILENT_REPORTS:
                self._silent_reports = 0
                self._turn_to_next_candidate()
        self._next_report_at = now + REPORT_INTERVAL_S
        if self._controller is None:
            return []
        self._nonce = self._random.randrange(1, MAX_NONCE)
        self._sent_at = now
        self._unanswered_reports += 1
        self._has_reported_closed = self._is_quiet(now)
        self._reported_stop = self._is_stopped
        state = self._state or Answer(0, self._service, False, False)
        is_running = state.phase is Phase.RUNNING
        report = Report(
            self._nonce,
            self._service,
            self._instance,
            self._version,
            state.target,
            state.order,
            state.phase,
            int((now - self._heard_at) * 1000) if is_running else 0,
            self._epoch,
            self._count_calls(),
            self._has_reported_closed,
            self._is_stopped,
            self._counter.list_counts() if is_running else (),
        )
        return [Send(self._controller, report)]

    def _follow_up(self, now: float) -> list[AgentAction]:
        """Report if it is time, announce a changed availability, and set the next timer."""
        actions: list[AgentAction] = []
        needs_reports = self._needs_reports(now)
        has_closed = self._is_quiet(now) and not self._has_reported_closed
        if needs_reports and (now >= self._next_report_at or has_closed):
            actions += self._report(now)
        actions += self._announce(now)
        due_times = []
        if needs_reports:
            due_times.append(self._next_report_at)
        if self._established is not None and not self._announced.is_open:
            due_times.append(self._established.next_due_at())
        state = self._state
        if state is not None and state.phase is Phase.RUNNING:
            due_times.append(self._permitted_until)
            if self._closing_since is not None:
                due_times.append(self._closing_since + CLOSE_DELAY_S)
                if not self._has_reported_closed:
                    due_times.append(now + CLOSING_POLL_S)
        due_times = [due_at for due_at in due_times if due_at > now]
        if due_times and (not self._wake_at or min(due_times) < self._wake_at):
            self._wake_at = min(due_times)
            actions.append(SetTimer(self._wake_at))
        return actions

    def _announce(self, now: float) -> list[AgentAction]:
        is_open, state = self.may_run(now), self._state
        is_canary = is_open and state is not None and state.phase is Phase.RUNNING
        share = state.share if state and is_canary and self._version == state.target else 0.0
        announced = AvailabilityChanged(is_open, share)
        if announced == self._announced:
            return []
        was_open, self._announced = self._announced.is_open, announced
        actions: list[AgentAction] = [announced]
        if was_open != is_open:
            actions.append(
                RecordEvent(
                    events.VERSION_OPENED if is_open else events.VERSION_CLOSED,
                    {
                        "service": self._service,
                        "version": self._version or "",
                        "phase": state.phase.name.lower() if state else "",
                        "target": state.target if state else "",
                        "share": share,
                        "answered_ms_ago": int((now - self._answered_at) * 1000),
                    },
                )
            )
        return actions
