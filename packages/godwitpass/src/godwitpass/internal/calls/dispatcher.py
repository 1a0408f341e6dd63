"""The dispatcher of one service: admits calls, chooses upstreams, learns from outcomes."""

import math
import random

import msgspec

from godwitpass.events import FieldValue
from godwitpass.ids import InstanceId, RegionId, RouteName, ServiceName, ZoneId
from godwitpass.internal.actions import RecordEvent, SetTimer
from godwitpass.internal.admission.queue import FairQueue
from godwitpass.internal.balancing.choice import choose_upstream
from godwitpass.internal.balancing.ejection import eject_failing, eject_unreachable
from godwitpass.internal.balancing.record import Tier, UpstreamRecord, measure_tier
from godwitpass.internal.balancing.subset import choose_subset, plan_subset_size
from godwitpass.internal.calls import events
from godwitpass.internal.calls.latency import LatencyBook
from godwitpass.internal.calls.messages import (
    Abandoned,
    Action,
    AttemptArrived,
    AttemptId,
    AttemptEnded,
    Event,
    RefuseAttempt,
    AttemptResult,
    Resumed,
    Stalled,
    StartAttempt,
    Tick,
    UpstreamsChanged,
)
from godwitpass.internal.calls.outcomes import Reason
from godwitpass.internal.retrying.budget import RetryBudget
from godwitpass.mesh import UpstreamState

SLOW_RATIO = 2.0
"""An upstream whose answers take this many times the usual latency gets fewer calls at a time."""

TIMER_SLACK_S = 0.002
"""Timers may fire this much too early."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 5.0
NO_UPSTREAM_RETRY_AFTER_S = 1.0
SHEDDING_CLEARS_AFTER_S = 1.0


class DaemonLocation(msgspec.Struct, frozen=True):
    """Where the deciding daemon is."""

    instance: InstanceId
    zone: ZoneId
    region: RegionId


class _Started(msgspec.Struct):
    """An attempt in flight."""

    record: UpstreamRecord
    route: RouteName
    upload: bool
    stalled: bool = False


class Dispatcher:
    """Pure decisions for the calls of one service."""

    def __init__(self, service: ServiceName, place: DaemonLocation, rng: random.Random) -> None:
        self.service = service
        self.budget = RetryBudget()
        self.latencies = LatencyBook()
        self._place = place
        self._rng = rng
        self._records: dict[InstanceId, UpstreamRecord] = {}
        self._tiers: tuple[list[UpstreamRecord], ...] = ([], [], [])
        self._queue = FairQueue()
        self._started: dict[AttemptId, _Started] = {}
        self._shed_at: float | None = None
        self._wake_at = math.inf

    @property
    def in_flight(self) -> int:
        """Attempts started and not ended."""
        return len(self._started)

    @property
    def waiting(self) -> int:
        """Attempts in the queue."""
        return len(self._queue)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take in one event and return what to do."""
        match event:
            case AttemptArrived():
                return self._admit(event, now)
            case AttemptEnded():
                return self._end(event, now)
            case Abandoned():
                self._queue.remove(event.call)
                return []
            case Stalled():
                return self._stall(event.call, now)
            case Resumed():
                return self._resume(event.call)
            case UpstreamsChanged():
                return self._change_upstreams(event, now)
            case Tick():
                if now + TIMER_SLACK_S >= self._wake_at:
                    self._wake_at = math.inf
                return self._serve_queue(now)

    def _admit(self, event: AttemptArrived, now: float) -> list[Action]:
        if not self._records:
            return [RefuseAttempt(event.call, Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER_S)]
        if len(self._queue) == 0:
            record = choose_upstream(self._tiers, now, self._rng, event.upload, event.avoid)
            if record is not None:
                return [self._start(event, record)]
        return self._enqueue(event, now)

    def _enqueue(self, event: AttemptArrived, now: float) -> list[Action]:
        wait = self._estimate_wait(event.route)
        usual = self.latencies.estimate(event.route)
        latest = min(event.queue_until, event.deadline - usual)
        if now + wait >= latest:
            return self._refuse(event, now, wait)
        evicted = self._queue.push(event)
        actions = self._refuse(evicted, now, wait) if evicted is not None else []
        if evicted is not event:
            actions += self._request_wake(now, latest)
        return actions

    def _request_wake(self, now: float, latest: float) -> list[Action]:
        """Ask for a tick when a pause ends or a call expires, unless one comes sooner."""
        pauses = (
            max(record.limit.paused_until, record.ejected_until)
            for record in self._records.values()
            if not record.is_usable(now)
        )
        at = min((latest, *(at for at in pauses if at > now)))
        if at >= self._wake_at:
            return []
        self._wake_at = at
        return [SetTimer(at)]

    def _refuse(self, event: AttemptArrived, now: float, wait: float) -> list[Action]:
        retry_after = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, 2.0 * wait))
        actions: list[Action] = [
            RefuseAttempt(event.call, Reason.OVERLOADED, retry_after * self._rng.uniform(0.75, 1.25))
        ]
        if self._shed_at is None:
            actions.append(RecordEvent(events.SHEDDING, {"service": self.service}))
        self._shed_at = now
        return actions

    def _estimate_wait(self, route: RouteName) -> float:
        """Return the expected wait behind the queue, in seconds."""
        width = sum(int(record.limit.value) for record in self._records.values())
        return self.latencies.estimate(route) * (len(self._queue) + 1) / max(1, width)

    def _start(self, event: AttemptArrived, record: UpstreamRecord) -> StartAttempt:
        record.in_flight += 1
        record.uploads += event.upload
        self._started[event.call] = _Started(record, event.route, event.upload)
        return StartAttempt(event.call, record.upstream)

    def _end(self, event: AttemptEnded, now: float) -> list[Action]:
        started = self._started.pop(event.call)
        record = started.record
        in_flight = record.in_flight
        if not started.stalled:
            record.in_flight -= 1
        record.uploads -= started.upload
        actions = self._learn(started, event, in_flight, now)
        if len(self._queue):
            actions += self._serve_queue(now)
        return actions

    def _learn(self, started: _Started, event: AttemptEnded, in_flight: int, now: float) -> list[Action]:
        record = started.record
        if event.result is AttemptResult.ANSWERED:
            self._learn_answer(started, event.latency_s, in_flight, now)
            return self._end_shedding(now)
        if event.result is AttemptResult.SHED:
            window = self.latencies.estimate(started.route)
            record.limit.record_shed(now, window, self._rng)
            return []
        if event.result is AttemptResult.CANCELLED:
            return []
        record.record_failure(now)
        eject = eject_unreachable if event.result is AttemptResult.UNREACHABLE else eject_failing
        if not eject(record, self._records.values(), now, self._rng):
            return []
        seconds = round(record.ejected_until - now, 3)
        fields: dict[str, FieldValue] = {
            "service": self.service,
            "upstream": record.upstream.instance,
            "seconds": seconds,
        }
        return [RecordEvent(events.UPSTREAM_EJECTED, fields)]

    def _learn_answer(
        self, started: _Started, latency_s: float, in_flight: int, now: float
    ) -> None:
        record = started.record
        record.record_answer(self.latencies.compare(started.route, latency_s), now)
        if record.slowness > SLOW_RATIO:
            record.limit.record_slow(now, 2.0 * latency_s)
        else:
            record.limit.record_answer(in_flight)
            record.ejections = 0

    def _end_shedding(self, now: float) -> list[Action]:
        if self._shed_at is None or now < self._shed_at + SHEDDING_CLEARS_AFTER_S:
            return []
        self._shed_at = None
        return [RecordEvent(events.SHEDDING_ENDED, {"service": self.service})]

    def _stall(self, call: AttemptId, now: float) -> list[Action]:
        started = self._started[call]
        assert started.upload and not started.stalled, "only a moving upload can stall"
        started.stalled = True
        started.record.in_flight -= 1
        return self._serve_queue(now)

    def _resume(self, call: AttemptId) -> list[Action]:
        started = self._started[call]
        assert started.stalled, "only a stalled upload resumes"
        started.stalled = False
        started.record.in_flight += 1
        return []

    def _serve_queue(self, now: float) -> list[Action]:
        actions = self._expire_waiting(now)
        while len(self._queue):
            waiting = self._queue.pop()
            record = choose_upstream(self._tiers, now, self._rng, waiting.upload, waiting.avoid)
            if record is None:
                self._queue.push_back(waiting)
                actions += self._request_wake(now, self._find_latest())
                break
            actions.append(self._start(waiting, record))
        return actions

    def _find_latest(self) -> float:
        return min(min(waiting.queue_until, waiting.deadline) for waiting in self._queue)

    def _expire_waiting(self, now: float) -> list[Action]:
        expired = [
            waiting
            for waiting in self._queue
            if now >= min(waiting.queue_until, waiting.deadline - self._usual(waiting))
        ]
        actions: list[Action] = []
        for waiting in expired:
            self._queue.remove(waiting.call)
            actions += self._refuse(waiting, now, self._estimate_wait(waiting.route))
        return actions

    def _usual(self, waiting: AttemptArrived) -> float:
        return self.latencies.estimate(waiting.route)

    def _change_upstreams(self, event: UpstreamsChanged, now: float) -> list[Action]:
        place = self._place
        ready = [found for found in event.upstreams if found.state is UpstreamState.READY]
        size = plan_subset_size(len(ready), event.daemons, event.connections)
        used = choose_subset(place.instance, place.zone, place.region, ready, size)
        records: dict[InstanceId, UpstreamRecord] = {}
        for upstream in used:
            tier = measure_tier(upstream, place.zone, place.region)
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
        return [report, *self._serve_queue(now)]
