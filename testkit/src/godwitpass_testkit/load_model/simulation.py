"""Callers of a simulated fleet, and the outcomes of their calls."""

import random
from collections.abc import Callable
from enum import Enum

import msgspec

from godwitpass_testkit.load_model.experiment import ClassSpec, Experiment, FaultKind
from godwitpass_testkit.load_model.fleet import SimulatedDaemon, build_fleet
from godwitpass_testkit.load_model.virtual_loop import VirtualLoop

MIN_BACKOFF_S, MAX_BACKOFF_S = 0.02, 0.08
"""Bounds of the time that a caller waits before it repeats a call that failed."""

MIN_ATTEMPT_S = 0.05
"""A caller with less time left than this doesn't repeat a call."""


class Outcome(Enum):
    """How a call ended for its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class CallResult(msgspec.Struct, frozen=True):
    """One call of a caller, all of its attempts included; times in seconds."""

    class_name: str
    zone: str
    started_at: float
    took_s: float
    outcome: Outcome
    attempts: int


class Result(msgspec.Struct, frozen=True):
    """What a simulation brought about; the runs are those of each service's upstreams."""

    experiment: Experiment
    calls: tuple[CallResult, ...]
    runs_by_service: dict[str, tuple[int, ...]]
    arrivals_by_service: dict[str, int]
    most_running_by_service: dict[str, int]
    handovers: int
    extra_requests: int = 0


class _Call:
    """A call of a caller, which repeats it as the callers of the users do."""

    def __init__(
        self,
        loop: VirtualLoop,
        rng: random.Random,
        daemons: list[SimulatedDaemon],
        spec: ClassSpec,
        experiment: Experiment,
        number: int,
        record: Callable[[CallResult], None],
    ) -> None:
        self._loop = loop
        self._rng = rng
        self._daemons = daemons
        self._daemon = rng.choice(daemons)
        self._spec = spec
        self._delay_s = experiment.caller_delay_s
        self._number = number
        self._record = record
        self._started_at = loop.time()
        self._deadline = self._started_at + spec.deadline_s
        self._attempts = 0

    def send(self) -> None:
        """Send an attempt."""
        self._attempts += 1
        request_id = f"{self._number}-{self._attempts}"
        self._loop.call_later(self._delay_s, self._arrive, request_id)

    def _arrive(self, request_id: str) -> None:
        timeout_s = self._deadline - self._loop.time()
        self._daemon.start_call(self._spec.name, request_id, timeout_s, self._answer)

    def _answer(self, status: int, retry_after_s: float | None) -> None:
        self._loop.call_later(self._delay_s, self._handle_answer, status, retry_after_s)

    def _handle_answer(self, status: int, retry_after_s: float | None) -> None:
        now, spec = self._loop.time(), self._spec
        if status == 200 and now <= self._deadline:
            is_in_time = now - self._started_at <= spec.objective_s
            self._end(Outcome.IN_TIME if is_in_time else Outcome.LATE)
            return
        was_refused = status in (429, 503)
        pause_s = self._rng.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S)
        if was_refused and retry_after_s is not None:
            pause_s = retry_after_s
        may_repeat = (was_refused or spec.is_idempotent) and self._attempts <= spec.retries
        if may_repeat and now + pause_s + MIN_ATTEMPT_S < self._deadline:
            self._daemon = self._rng.choice(self._daemons)
            self._loop.call_later(pause_s, self.send)
        else:
            self._end(Outcome.REFUSED if was_refused else Outcome.FAILED)

    def _end(self, outcome: Outcome) -> None:
        now = self._loop.time()
        self._record(
            CallResult(
                self._spec.name,
                self._daemon.zone,
                self._started_at,
                now - self._started_at,
                outcome,
                self._attempts,
            )
        )


def simulate(experiment: Experiment, seed: int = 1) -> Result:
    """Play `experiment` to the end of its last call."""
    loop, rng = VirtualLoop(), random.Random(seed)
    daemons = build_fleet(experiment, loop, seed)
    results: list[CallResult] = []
    number = 0

    def arrive(spec: ClassSpec) -> None:
        nonlocal number
        if loop.time() >= experiment.duration_s:
            return
        number += 1
        _Call(loop, rng, daemons, spec, experiment, number, results.append).send()
        schedule_next(spec)

    def schedule_next(spec: ClassSpec) -> None:
        rate_per_s = spec.rate_per_s * _find_burst_factor(experiment, loop.time())
        loop.call_later(rng.expovariate(rate_per_s), arrive, spec)

    for spec in experiment.classes:
        if spec.rate_per_s:
            schedule_next(spec)
    longest_deadline_s = max(spec.deadline_s for spec in experiment.classes)
    loop.run_until(experiment.duration_s + longest_deadline_s + 1.0)
    return _collect(experiment, daemons, results)


def _find_burst_factor(experiment: Experiment, now: float) -> float:
    factor = 1.0
    for fault in experiment.faults:
        if fault.kind is FaultKind.BURST and fault.at_s <= now < fault.at_s + fault.for_s:
            factor *= fault.strength
    return factor


def _collect(
    experiment: Experiment, daemons: list[SimulatedDaemon], results: list[CallResult]
) -> Result:
    runs: dict[str, tuple[int, ...]] = {}
    arrivals: dict[str, int] = {}
    most_running: dict[str, int] = {}
    for service in experiment.services:
        upstreams = [daemon.upstream for daemon in daemons if daemon.service == service.name]
        runs[service.name] = tuple(upstream.run_count for upstream in upstreams)
        arrivals[service.name] = sum(upstream.arrival_count for upstream in upstreams)
        most_running[service.name] = max(upstream.most_running for upstream in upstreams)
    handovers = sum(daemon.core.counts["retry"] for daemon in daemons)
    extra = sum(daemon.core.counts["extra-request"] for daemon in daemons)
    return Result(experiment, tuple(results), runs, arrivals, most_running, handovers, extra)
