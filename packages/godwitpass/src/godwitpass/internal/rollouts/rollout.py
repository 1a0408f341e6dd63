"""The roll-out of one service, as its controller sees it."""

import math
from collections.abc import Iterable, Sequence

import msgspec
import xxhash

from godwitpass.events import FieldValue
from godwitpass.ids import NO_REVISION, InstanceId, Revision, RouteName, ServiceName
from godwitpass.internal.actions import RecordEvent
from godwitpass.internal.requests import (
    Answer as StoreAnswer,
)
from godwitpass.internal.requests import (
    EntryRead,
    Get,
    Put,
    RequestFailed,
    WriteDone,
)
from godwitpass.internal.rollouts import events
from godwitpass.internal.rollouts.counts import subtract_counts
from godwitpass.internal.rollouts.judgement import Judgement
from godwitpass.internal.rollouts.messages import Answer, Report, RouteCounts
from godwitpass.internal.rollouts.records import (
    InvalidOrder,
    Order,
    Phase,
    Record,
    RolloutSource,
    Step,
)
from godwitpass.mesh import Upstream, UpstreamState
from godwitpass.store import Entry

SHARE_FACTOR = 0.8
"""Part of the agreed share that canaries get; the rest is for calls sent around a change."""

MIN_SHARE = 0.001
"""Smaller shares can't be announced: a server with share 0 counts as being in service."""

SWITCH_MARGIN_S = 2.5
"""Time before the deadline at which the target takes all calls."""

MAX_SWITCH_SHARE = 0.25
"""The same at most as a share of the duration."""

MIN_SWITCH_S = 0.9
"""Time that old servers need to close and report; a switch that starts later would end too late."""

MAX_OVERRUN_S = 3.5
"""Time after the deadline at which a switch that can't end is rolled back; calls last 3.1 s."""

GIVE_UP_MARGIN_S = 0.35
"""Time before the deadline from which a silent daemon no longer delays the completion."""

RECENT_S = 1.5
"""A daemon that reported within this time counts as reachable."""

CLOSED_VALID_S = 1.0
"""A report that an old server is closed counts this long; such a server stays closed longer."""

COLD_START_S = 1.5
"""Durations don't count for this long after a server's first response."""

MIN_BASELINE_CALLS, MIN_TARGET_CALLS = 200, 5
"""With so many calls at the old version, a target with fewer calls is taken to be unreachable."""

MIN_REQUEST_TIMEOUT_S, MAX_REQUEST_TIMEOUT_S = 0.6, 4.0
"""Time after which the record is read anew; it doubles, for a store that is slow."""

RETRY_S = 0.3


class AgentStatus(msgspec.Struct):
    """The newest report of one agent, and what was counted from its earlier ones."""

    report: Report
    received_at: float
    epoch: int = -1
    first_counted_at: float = math.inf
    counts: dict[RouteName, RouteCounts] = {}
    told: Phase = Phase.NONE


class Rollout:
    """Reads and writes the record, judges the target and answers reports.

    `upstreams` of the methods are all upstreams of the service on live daemons. `orders_revision`
    is the revision of the store as of which `order` is known, None before the orders were read.
    """

    def __init__(
        self, service: ServiceName, source: RolloutSource, exposure_share: float, now: float
    ) -> None:
        self.service = service
        self.order: Order | None = None
        self.orders_revision: Revision | None = None
        self.record: Record | None = None
        self.is_record_known = False
        self.judgement = Judgement()
        self.agents: dict[InstanceId, AgentStatus] = {}
        self.canaries: list[InstanceId] = []
        self.share = SHARE_FACTOR * exposure_share
        self.heard_at = now
        self.final_at = now
        self.delay_reason = ""
        self._source = source
        self._key = source.record_prefix + service
        self._revision: Revision = NO_REVISION
        self._tag = 0
        self._pending: Record | None = None
        self._is_waiting = False
        self._request_at = -math.inf
        self._request_timeout_s = MIN_REQUEST_TIMEOUT_S
        self._retry_at = -math.inf
        self._lost_completion_at: Revision | None = None
        self._baseline_calls = 0

    @property
    def is_running(self) -> bool:
        """Return whether the record says that a roll-out runs."""
        return self.record is not None and self.record.phase is Phase.RUNNING

    @property
    def is_waiting(self) -> bool:
        """Return whether a request to the store has not been answered."""
        return self._is_waiting

    @property
    def is_done(self) -> bool:
        """Return whether there is nothing to decide: no order, or one whose record is final."""
        if not self.is_record_known or self._is_waiting:
            return False
        if self.order is None:
            return not self.is_running
        record = self.record
        return record is not None and record.target == self.order.target and record.phase.is_final

    def set_order(self, order: Order | None, now: float) -> None:
        """Use a new order; None if it was deleted."""
        previous, self.order = self.order, order
        if order is not None and (previous is None or previous.target != order.target):
            self.heard_at = now

    @property
    def knows_order(self) -> bool:
        """Return whether the orders were read after the one that the record was written for.

        Until then, a missing or other order means only that another controller has read more.
        """
        if self.orders_revision is None:
            return False
        return self.record is None or self.record.order <= self.orders_revision

    def get_elapsed_s(self, now: float) -> float:
        """Return the longest time that anybody has known the roll-out."""
        elapsed_s = now - self.heard_at
        for status in self.agents.values():
            if self._acts_on_record(status.report):
                reported_s = status.report.elapsed_ms / 1000 + now - status.received_at
                elapsed_s = max(elapsed_s, reported_s)
        return elapsed_s

    # Reports.

    def receive_report(
        self, report: Report, upstreams: Sequence[Upstream], has_store: bool, now: float
    ) -> Answer | None:
        """Take the evidence of a report and return its answer, None while the record is unknown."""
        status = self.agents.get(report.instance)
        if status is None:
            status = self.agents[report.instance] = AgentStatus(report, now, counts={})
        status.report, status.received_at = report, now
        if self.is_running and self._acts_on_record(report):
            self._take_evidence(status, now)
        answer = self._build_answer(report, upstreams, has_store, now)
        if answer is not None:
            status.told = answer.phase
        return answer

    def _acts_on_record(self, report: Report) -> bool:
        record = self.record
        return record is not None and (report.target, report.order) == (record.target, record.order)

    def _take_evidence(self, status: AgentStatus, now: float) -> None:
        report, record = status.report, self.record
        assert record is not None, "a roll-out runs"
        if report.epoch != status.epoch:
            status.epoch, status.counts = report.epoch, {}
        is_target = report.version == record.target
        for counts in report.routes:
            previous = status.counts.get(counts.route)
            if previous is not None and previous.responses > counts.responses:
                # A report that arrives after a newer one.
                continue
            added = subtract_counts(counts, previous)
            status.counts[counts.route] = counts
            if not is_target:
                self._baseline_calls += added.responses
                self.judgement.add_baseline(added, now)
                continue
            if added.responses:
                status.first_counted_at = min(status.first_counted_at, now)
            is_warm = now - status.first_counted_at >= COLD_START_S
            self.judgement.add_target(added, is_warm)
        if is_target and report.is_stopped:
            self.judgement.add_local_stop()

    def _is_halted(self, now: float) -> bool:
        """Return whether the target may get no calls although the record still says running."""
        order, record = self.order, self.record
        if order is None or record is None or order.target != record.target:
            return True
        if self.judgement.verdict is not None:
            return True
        return record.step is Step.CANARY and self.get_elapsed_s(now) > order.duration_s

    def _build_answer(
        self, report: Report, upstreams: Sequence[Upstream], has_store: bool, now: float
    ) -> Answer | None:
        if not self.is_record_known:
            return None
        record = self.record
        if record is None:
            if self.order is not None:
                return None
            return Answer(report.nonce, report.service, False, has_store)
        may_lag = record.step is Step.CANARY and not has_store
        if record.phase is Phase.RUNNING and (may_lag or not self.knows_order):
            # Another controller may know of a rollback or a changed order.
            return Answer(report.nonce, report.service, False, False)
        answer = Answer(
            report.nonce,
            report.service,
            True,
            has_store,
            record.phase,
            record.step,
            record.target,
            record.order,
        )
        if record.phase is not Phase.RUNNING:
            return answer
        is_halted, is_switching = self._is_halted(now), record.step is Step.SWITCHING
        if report.version != record.target:
            closes = is_switching and (not is_halted or self._may_be_completed)
            return msgspec.structs.replace(answer, closes=closes)
        self._choose_canaries(upstreams, now)
        is_canary = report.instance in self.canaries and self.share >= MIN_SHARE
        permits = not is_halted and (is_switching or is_canary)
        share = 1.0 if is_switching else self.share
        return msgspec.structs.replace(answer, permits=permits, share=share if permits else 0.0)

    @property
    def _may_be_completed(self) -> bool:
        """Return whether a write of `completed` without an answer may still take effect."""
        pending = self._pending
        if pending is not None and pending.phase is Phase.COMPLETED:
            return True
        return self._lost_completion_at is not None and self._lost_completion_at == self._revision

    def _choose_canaries(self, upstreams: Sequence[Upstream], now: float) -> None:
        """Choose as few target servers as carry the share at the old servers' load for each slot.

        Chosen ones stay while they report, so that evidence is not spread over many cold servers.
        """
        assert self.record is not None, "a roll-out runs"
        target = self.record.target
        old_slots = sum(
            upstream.slots
            for upstream in upstreams
            if upstream.software_version != target and upstream.state is UpstreamState.READY
        )
        available = {
            upstream.instance: upstream.slots
            for upstream in upstreams
            if upstream.software_version == target
            and upstream.state is not UpstreamState.DRAINING
            and self._is_recent(upstream.instance, now)
        }
        self.canaries = [instance for instance in self.canaries if instance in available]
        carried = sum(available[instance] for instance in self.canaries)
        for instance in sorted(available, key=lambda name: xxhash.xxh64_intdigest(name.encode())):
            if self.canaries and carried >= self.share * old_slots:
                break
            if instance not in self.canaries:
                self.canaries.append(instance)
                carried += available[instance]

    def _is_recent(self, instance: InstanceId, now: float) -> bool:
        status = self.agents.get(instance)
        return status is not None and now - status.received_at <= RECENT_S

    # Decisions.

    def decide(
        self, upstreams: Sequence[Upstream], has_store: bool, tag: int, now: float
    ) -> list[Get | Put | RecordEvent]:
        """Return the next request to the store, if any, and what to log."""
        if self._is_waiting:
            if now - self._request_at < self._request_timeout_s:
                return []
            self._request_timeout_s = min(MAX_REQUEST_TIMEOUT_S, 2 * self._request_timeout_s)
            self._fail(now, is_outcome_unknown=True)
        if now < self._retry_at:
            return []
        if not self.is_record_known:
            self._is_waiting, self._tag, self._request_at = True, tag, now
            return [Get(tag, self._key)]
        if not has_store or not self.knows_order:
            return []
        next_record, actions = self._find_next_record(upstreams, now)
        if next_record is None:
            return actions
        self._is_waiting, self._tag, self._request_at = True, tag, now
        self._pending = next_record
        value = self._source.encode_record(next_record)
        return [*actions, Put(tag, self._key, value, self._revision)]

    def _find_next_record(
        self, upstreams: Sequence[Upstream], now: float
    ) -> tuple[Record | None, list[Get | Put | RecordEvent]]:
        order, record = self.order, self.record
        if order is None:
            if record is None or not self.is_running:
                return None, []
            return self._end(record, Phase.ROLLED_BACK, "order deleted"), []
        if record is None or record.target != order.target:
            if _serves_alone(upstreams, order):
                # There is nothing to move.
                reason, final = "in service already", Phase.COMPLETED
                return Record(final, order.target, order=order.revision, reason=reason), []
            return Record(Phase.RUNNING, order.target, Step.CANARY, order.revision), []
        if not self.is_running:
            return None, []
        verdict = self.judgement.verdict
        if verdict is not None:
            reason = f"{verdict.reason}, route {verdict.route}"
            fields: dict[str, FieldValue] = {
                "service": self.service,
                "target": record.target,
                "route": verdict.route,
                "reason": verdict.reason,
                "rate": verdict.target_rate,
                "baseline": verdict.baseline_rate,
                "responses": self.judgement.target_responses,
                "failures": self.judgement.target_failures,
            }
            event = RecordEvent(events.TARGET_JUDGED_BAD, fields)
            return self._end(record, Phase.ROLLED_BACK, reason), [event]
        elapsed_s = self.get_elapsed_s(now)
        remaining_s = order.duration_s - elapsed_s
        if record.step is Step.CANARY:
            if remaining_s < 0:
                reason = f"deadline passed: {self.delay_reason or 'not switched'}"
                return self._end(record, Phase.ROLLED_BACK, reason), []
            if remaining_s > min(SWITCH_MARGIN_S, MAX_SWITCH_SHARE * order.duration_s):
                return None, []
            reason = self._find_switch_obstacle(upstreams, remaining_s, now)
            if reason:
                return None, self._report_delay(reason, remaining_s)
            return msgspec.structs.replace(record, step=Step.SWITCHING), []
        reason = self._find_completion_obstacle(upstreams, remaining_s, now)
        if reason and remaining_s < -MAX_OVERRUN_S:
            return self._end(record, Phase.ROLLED_BACK, f"not completed in time: {reason}"), []
        if reason:
            return None, self._report_delay(reason, remaining_s)
        return self._end(record, Phase.COMPLETED, ""), []

    def _end(self, record: Record, phase: Phase, reason: str) -> Record:
        return msgspec.structs.replace(record, phase=phase, reason=reason)

    def _report_delay(self, reason: str, remaining_s: float) -> list[Get | Put | RecordEvent]:
        if reason == self.delay_reason:
            return []
        self.delay_reason = reason
        fields: dict[str, FieldValue] = {
            "service": self.service,
            "reason": reason,
            "left_ms": int(remaining_s * 1000),
        }
        return [RecordEvent(events.COMPLETION_DELAYED, fields)]

    def _split(self, upstreams: Iterable[Upstream]) -> tuple[list[Upstream], list[Upstream]]:
        """Return the old and the target servers, without those that have not reported a version."""
        assert self.record is not None, "a roll-out runs"
        known = [upstream for upstream in upstreams if upstream.software_version]
        target = self.record.target
        return (
            [upstream for upstream in known if upstream.software_version != target],
            [upstream for upstream in known if upstream.software_version == target],
        )

    def _find_switch_obstacle(
        self, upstreams: Sequence[Upstream], remaining_s: float, now: float
    ) -> str:
        """Return why the target can't take all calls yet, empty if it can."""
        old, targets = self._split(upstreams)
        if not any(self._is_recent(upstream.instance, now) for upstream in targets):
            return "no target server reports"
        if not self._hears_majority([*old, *targets], now):
            return "most servers don't report"
        target_calls = self.judgement.target_responses
        if self._baseline_calls >= MIN_BASELINE_CALLS and target_calls < MIN_TARGET_CALLS:
            return "the target got too few calls"
        if self.judgement.is_suspect:
            return "the target is suspect"
        if remaining_s < MIN_SWITCH_S:
            return "too late to complete in time"
        return ""

    def _hears_majority(self, servers: Sequence[Upstream], now: float) -> bool:
        """Return whether most servers report here; of two controllers, at most one hears them."""
        recent = sum(self._is_recent(upstream.instance, now) for upstream in servers)
        return 2 * recent > len(servers)

    def _find_completion_obstacle(
        self, upstreams: Sequence[Upstream], remaining_s: float, now: float
    ) -> str:
        """Return why the old servers may not stop yet, empty if they may."""
        old, targets = self._split(upstreams)
        if not any(self._is_recent(upstream.instance, now) for upstream in targets):
            return "no target server reports"
        if not self._hears_majority([*old, *targets], now):
            return "most servers don't report"
        silent = busy = 0
        for upstream in old:
            status = self.agents.get(upstream.instance)
            if status is None or now - status.received_at > RECENT_S:
                silent += 1
            elif not status.report.is_closed or now - status.received_at > CLOSED_VALID_S:
                busy += 1
        if busy:
            return "old servers have calls"
        if silent and remaining_s > GIVE_UP_MARGIN_S:
            return "old servers don't report"
        return ""

    # Answers of the store.

    def handle_answer(self, answer: StoreAnswer, now: float) -> list[RecordEvent]:
        """Apply the store's answer to the last request."""
        if answer.tag != self._tag or not self._is_waiting:
            return []
        if not isinstance(answer, RequestFailed):
            self._request_timeout_s = MIN_REQUEST_TIMEOUT_S
        match answer:
            case EntryRead():
                return self._adopt(answer.entry, now)
            case WriteDone():
                if not answer.result.written:
                    return self._adopt(answer.result.entry, now)
                written, self._pending = self._pending, None
                assert written is not None, "a write was sent"
                self._revision = answer.result.entry.revision
                self._set_record(written, now)
                return [RecordEvent(events.RECORD_WRITTEN, self.describe(now))]
            case RequestFailed():
                was_write = self._pending is not None
                self._fail(now, answer.is_outcome_unknown)
                if not was_write:
                    return []
                fields = {**self.describe(now), "error": answer.reason}
                return [RecordEvent(events.RECORD_NOT_WRITTEN, fields)]
        return []

    def _fail(self, now: float, is_outcome_unknown: bool) -> None:
        """Read the record again before anything else is written."""
        if is_outcome_unknown and self._may_be_completed:
            self._lost_completion_at = self._revision
        self._is_waiting, self._pending = False, None
        if self.record is None or not self.record.phase.is_final:
            self.is_record_known = False
        self._retry_at = now + RETRY_S

    def _adopt(self, entry: Entry, now: float) -> list[RecordEvent]:
        self._is_waiting, self._pending = False, None
        actions: list[RecordEvent] = []
        record = None
        if entry.value is not None:
            try:
                record = self._source.decode_record(entry.value)
            except InvalidOrder as error:
                fields: dict[str, FieldValue] = {"service": self.service, "reason": str(error)}
                actions.append(RecordEvent(events.ORDER_INVALID, fields))
        revision = NO_REVISION if entry.value is None else entry.revision
        has_changed = revision != self._revision
        self._revision = revision
        self.is_record_known = True
        self._set_record(record, now)
        if has_changed and record is not None:
            actions.append(RecordEvent(events.RECORD_ADOPTED, self.describe(now)))
        return actions

    def _set_record(self, record: Record | None, now: float) -> None:
        self._is_waiting = False
        previous, self.record = self.record, record
        self.is_record_known = True
        if record is None:
            return
        if previous is None or (previous.target, previous.order) != (record.target, record.order):
            self.judgement = Judgement()
            self.canaries = []
            self.delay_reason = ""
            self._baseline_calls = 0
            for status in self.agents.values():
                status.counts, status.epoch, status.first_counted_at = {}, -1, math.inf
        if record.phase.is_final and (previous is None or previous.phase is not record.phase):
            self.final_at = now

    def describe(self, now: float) -> dict[str, FieldValue]:
        """Return log fields: order, record, evidence and who reports."""
        order, record, judgement = self.order, self.record, self.judgement
        return {
            "service": self.service,
            "ordered": order.target if order else "",
            "target": record.target if record else "",
            "phase": record.phase.name.lower() if record else "none",
            "step": record.step.value if record else "",
            "reason": record.reason if record else "",
            "elapsed_ms": int(self.get_elapsed_s(now) * 1000),
            "revision": self._revision,
            "reporting": sum(self._is_recent(instance, now) for instance in self.agents),
            "canaries": len(self.canaries),
            "share": round(self.share, 4),
            "responses": judgement.target_responses,
            "failures": judgement.target_failures,
            "baseline": self._baseline_calls,
            "delay": self.delay_reason,
        }


def _serves_alone(upstreams: Iterable[Upstream], order: Order) -> bool:
    """Return whether only the target version is in service, so that there is nothing to move."""
    ready = [
        upstream
        for upstream in upstreams
        if upstream.state is UpstreamState.READY and not upstream.canary_share
    ]
    return bool(ready) and all(upstream.software_version == order.target for upstream in ready)
