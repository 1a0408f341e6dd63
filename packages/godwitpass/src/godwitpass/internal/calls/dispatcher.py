"""Dispatcher of one service: admits attempts, balances them over upstreams, records results."""

import math
import random

import msgspec

from godwitpass.events import FieldValue
from godwitpass.ids import InstanceId, RegionId, RouteName, ServiceName, ZoneId
from godwitpass.internal.actions import RecordEvent, SetTimer
from godwitpass.internal.admission.queue import FairQueue
from godwitpass.internal.balancing.choice import choose_upstream
from godwitpass.internal.balancing.ejection import eject_failing, eject_unreachable
from godwitpass.internal.balancing.record import Tier, UpstreamRecord, classify_tier
from godwitpass.internal.balancing.subset import choose_subset, compute_subset_size
from godwitpass.internal.calls import events
from godwitpass.internal.calls.latency import LatencyTracker
from godwitpass.internal.calls.messages import (
    Action,
    AttemptAbandoned,
    AttemptArrived,
    AttemptEnded,
    AttemptId,
    AttemptResult,
    Event,
    RefuseAttempt,
    StartAttempt,
    Tick,
    UploadResumed,
    UploadStalled,
    UpstreamsChanged,
)
from godwitpass.internal.calls.outcomes import Reason
from godwitpass.internal.retrying.budget import RetryBudget
from godwitpass.internal.retrying.extra_requests import ExtraRequests
from godwitpass.mesh import UpstreamState

SLOW_UPSTREAM_RATIO = 2.0
"""Slowness above which an upstream's concurrency limit is decreased."""

TIMER_SLACK_S = 0.002
"""A `Tick` that comes this much before the requested time still counts as on time."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
NO_UPSTREAM_RETRY_AFTER_S = 1.0
"""Retry-after time while the service has no ready upstream."""

SHEDDING_END_DELAY_S = 1.0
"""Shedding counts as over when a response comes at least this long after the last refusal."""


class DaemonLocation(msgspec.Struct, frozen=True):
    """Instance id, availability zone and region of the daemon."""

    instance: InstanceId
    zone: ZoneId
    region: RegionId


class _InFlightAttempt(msgspec.Struct):
    """An attempt that was started and has not ended, with the upstream that it uses.

    A stalled upload no longer counts as a call in flight at the upstream.
    """

    record: UpstreamRecord
    route: RouteName
    is_upload: bool
    is_stalled: bool = False


class Dispatcher:
    """Decides when and where the attempts of one service run; does no I/O and reads no clock."""

    def __init__(self, service: ServiceName, location: DaemonLocation, rng: random.Random) -> None:
        self.service = service
        self.retry_budget = RetryBudget()
        self.extra_requests = ExtraRequests()
        self.latencies = LatencyTracker()
        self._location = location
        self._rng = rng
        self._records: dict[InstanceId, UpstreamRecord] = {}
        self._tiers: tuple[list[UpstreamRecord], ...] = ([], [], [])
        self._queue = FairQueue()
        self._in_flight: dict[AttemptId, _InFlightAttempt] = {}
        self._last_shed_at: float | None = None
        self._next_tick_at = math.inf

    @property
    def in_flight(self) -> int:
        """Number of attempts started and not ended."""
        return len(self._in_flight)

    @property
    def queued(self) -> int:
        """Number of attempts in the queue."""
        return len(self._queue)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Update the state for one event at time `now`, and return the actions to perform."""
        match event:
            case AttemptArrived():
                return self._admit(event, now)
            case AttemptEnded():
                return self._handle_end(event, now)
            case AttemptAbandoned():
                self._queue.remove(event.attempt_id)
                return []
            case UploadStalled():
                return self._mark_stalled(event.attempt_id, now)
            case UploadResumed():
                return self._mark_resumed(event.attempt_id)
            case UpstreamsChanged():
                return self._update_upstreams(event, now)
            case Tick():
                if now + TIMER_SLACK_S >= self._next_tick_at:
                    self._next_tick_at = math.inf
                return self._start_queued(now)

    def _admit(self, event: AttemptArrived, now: float) -> list[Action]:
        if not self._records:
            return [RefuseAttempt(event.attempt_id, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_S)]
        if len(self._queue) == 0:
            record = choose_upstream(self._tiers, now, self._rng, event.is_upload, event.avoid)
            if record is not None:
                return [self._start(event, record)]
        return self._enqueue(event, now)

    def _enqueue(self, event: AttemptArrived, now: float) -> list[Action]:
        wait_s = self._estimate_wait_s(event.route)
        usual_latency_s = self.latencies.estimate_latency_s(event.route)
        start_by = min(event.queue_until, event.deadline - usual_latency_s)
        if now + wait_s >= start_by:
            return self._refuse(event, now, wait_s)
        evicted = self._queue.push(event)
        actions = self._refuse(evicted, now, wait_s) if evicted is not None else []
        if evicted is not event:
            actions += self._request_timer(now, start_by)
        return actions

    def _request_timer(self, now: float, start_by: float) -> list[Action]:
        """Request a `Tick` at `start_by` or when an upstream becomes usable, if none is sooner."""
        usable_times = (
            max(record.limit.backoff_until, record.ejected_until)
            for record in self._records.values()
            if not record.is_usable(now)
        )
        at = min((start_by, *(at for at in usable_times if at > now)))
        if at >= self._next_tick_at:
            return []
        self._next_tick_at = at
        return [SetTimer(at)]

    def _refuse(self, event: AttemptArrived, now: float, wait_s: float) -> list[Action]:
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, 2.0 * wait_s))
        actions: list[Action] = [
            RefuseAttempt(
                event.attempt_id, Reason.OVERLOADED, retry_after_s * self._rng.uniform(0.75, 1.25)
            )
        ]
        if self._last_shed_at is None:
            actions.append(RecordEvent(events.SHEDDING, {"service": self.service}))
        self._last_shed_at = now
        return actions

    def _estimate_wait_s(self, route: RouteName) -> float:
        """Return the expected time in the queue for a new attempt on `route`."""
        concurrency = sum(int(record.limit.value) for record in self._records.values())
        return (
            self.latencies.estimate_latency_s(route) * (len(self._queue) + 1) / max(1, concurrency)
        )

    def _start(self, event: AttemptArrived, record: UpstreamRecord) -> StartAttempt:
        record.in_flight += 1
        record.upload_count += event.is_upload
        self._in_flight[event.attempt_id] = _InFlightAttempt(record, event.route, event.is_upload)
        return StartAttempt(event.attempt_id, record.upstream)

    def _handle_end(self, event: AttemptEnded, now: float) -> list[Action]:
        attempt = self._in_flight.pop(event.attempt_id)
        record = attempt.record
        in_flight = record.in_flight
        if not attempt.is_stalled:
            record.in_flight -= 1
        record.upload_count -= attempt.is_upload
        actions = self._record_result(attempt, event, in_flight, now)
        if len(self._queue):
            actions += self._start_queued(now)
        return actions

    def _record_result(
        self, attempt: _InFlightAttempt, event: AttemptEnded, in_flight: int, now: float
    ) -> list[Action]:
        record = attempt.record
        if event.result is AttemptResult.ANSWERED:
            self._record_response(attempt, event.latency_s, in_flight, now)
            return self._end_shedding(now)
        if event.result is AttemptResult.SHED:
            window_s = self.latencies.estimate_latency_s(attempt.route)
            record.limit.record_shed(now, window_s, self._rng)
            return []
        if event.result is AttemptResult.CANCELLED:
            return []
        record.record_failure(now)
        eject = eject_unreachable if event.result is AttemptResult.UNREACHABLE else eject_failing
        if not eject(record, self._records.values(), now, self._rng):
            return []
        duration_s = round(record.ejected_until - now, 3)
        fields: dict[str, FieldValue] = {
            "service": self.service,
            "upstream": record.upstream.instance,
            "seconds": duration_s,
        }
        return [RecordEvent(events.UPSTREAM_EJECTED, fields)]

    def _record_response(
        self, attempt: _InFlightAttempt, latency_s: float, in_flight: int, now: float
    ) -> None:
        record = attempt.record
        record.record_response(self.latencies.record(attempt.route, latency_s), now)
        if record.slowness > SLOW_UPSTREAM_RATIO:
            record.limit.record_slow(now, 2.0 * latency_s)
        else:
            record.limit.record_response(in_flight)
            record.ejection_count = 0

    def _end_shedding(self, now: float) -> list[Action]:
        if self._last_shed_at is None or now < self._last_shed_at + SHEDDING_END_DELAY_S:
            return []
        self._last_shed_at = None
        return [RecordEvent(events.SHEDDING_ENDED, {"service": self.service})]

    def _mark_stalled(self, attempt_id: AttemptId, now: float) -> list[Action]:
        attempt = self._in_flight[attempt_id]
        assert attempt.is_upload and not attempt.is_stalled, "only an upload in progress can stall"
        attempt.is_stalled = True
        attempt.record.in_flight -= 1
        return self._start_queued(now)

    def _mark_resumed(self, attempt_id: AttemptId) -> list[Action]:
        attempt = self._in_flight[attempt_id]
        assert attempt.is_stalled, "only a stalled upload can resume"
        attempt.is_stalled = False
        attempt.record.in_flight += 1
        return []

    def _start_queued(self, now: float) -> list[Action]:
        actions = self._refuse_expired(now)
        while len(self._queue):
            queued = self._queue.pop()
            record = choose_upstream(self._tiers, now, self._rng, queued.is_upload, queued.avoid)
            if record is None:
                self._queue.push_front(queued)
                actions += self._request_timer(now, self._find_next_expiry())
                break
            actions.append(self._start(queued, record))
        return actions

    def _find_next_expiry(self) -> float:
        return min(min(queued.queue_until, queued.deadline) for queued in self._queue)

    def _refuse_expired(self, now: float) -> list[Action]:
        expired = [
            queued
            for queued in self._queue
            if now >= min(queued.queue_until, queued.deadline - self._estimate_latency_s(queued))
        ]
        actions: list[Action] = []
        for queued in expired:
            self._queue.remove(queued.attempt_id)
            actions += self._refuse(queued, now, self._estimate_wait_s(queued.route))
        return actions

    def _estimate_latency_s(self, queued: AttemptArrived) -> float:
        return self.latencies.estimate_latency_s(queued.route)

    def _update_upstreams(self, event: UpstreamsChanged, now: float) -> list[Action]:
        location = self._location
        ready = [upstream for upstream in event.upstreams if upstream.state is UpstreamState.READY]
        size = compute_subset_size(len(ready), event.daemons, event.connections)
        subset = choose_subset(location.instance, location.zone, location.region, ready, size)
        records: dict[InstanceId, UpstreamRecord] = {}
        for upstream in subset:
            tier = classify_tier(upstream, location.zone, location.region)
            record = self._records.get(upstream.instance)
            if record is None or record.upstream.address != upstream.address:
                record = UpstreamRecord(upstream, tier)
            record.upstream = upstream
            records[upstream.instance] = record
        self._records = records
        self._tiers = tuple(
            [record for record in records.values() if record.tier is tier] for tier in Tier
        )
        report = RecordEvent(
            events.UPSTREAMS_CHANGED, {"service": self.service, "upstreams": len(records)}
        )
        return [report, *self._start_queued(now)]
