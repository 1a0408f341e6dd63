"""Measures the goodput of many daemons that share upstreams, under virtual time.

The daemons use the real dispatcher and retry decisions; upstreams are simulated as queues with
slots. The naive baseline selects upstreams round robin, sets no limit and repeats a failed call up
to three times. In both cases an upstream sheds a call if its slots and its short backlog are full.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from godwitpass.document import Execution
from godwitpass.ids import Address, InstanceId, RegionId, RouteName, ServiceName, ZoneId
from godwitpass.internal.actions import SetTimer
from godwitpass.internal.calls.dispatcher import DaemonLocation, Dispatcher
from godwitpass.internal.calls.messages import (
    Action,
    AttemptArrived,
    AttemptEnded,
    AttemptId,
    AttemptResult,
    CallerKey,
    RefuseAttempt,
    StartAttempt,
    Tick,
    UpstreamsChanged,
)
from godwitpass.internal.retrying.decision import ExecutionCertainty, FailedAttempt, may_retry
from godwitpass.mesh import Upstream, UpstreamState
from godwitpass.policy import ResolvedPolicy
from godwitpass_testkit.measurements import Param, Row, publish_rows

SLOTS = 12
SERVICE_TIME_S = 0.02
SHED_TIME_S = 0.002
"""Time for which a shed call uses as much CPU as a running call."""

MAX_BACKLOG_CALLS = 24
UPSTREAM_CONNECTIONS = 110
TIMEOUT_S = 0.5
QUEUE_TIMEOUT_S = 0.1
NAIVE_RETRIES = 3
DURATION_S = 6.0
SETTLE_S = 10
"""Time for which nothing is offered, so that the last calls end."""

SLOW_SERVER_FACTOR = 20.0
MIN_GOODPUT_SHARE = 0.9
MAX_RETRY_SHARE = 0.2
POLICY = ResolvedPolicy(Execution.IDEMPOTENT, 500, 500, 2, 100)
SERVICE, ROUTE = ServiceName("status-desk"), RouteName("status")
ZONES, REGION = ("lakes-a", "lakes-b", "lakes-c"), RegionId("great-lakes")


class VirtualLoop:
    """Runs callbacks in the order of virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Run `callback` at the time `at`, or now if that has passed."""
        heapq.heappush(self._timers, (max(at, self.now), next(self._sequence), callback))

    def run(self, end: float) -> None:
        """Run all callbacks that are due until the time `end`."""
        while self._timers and self._timers[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._timers)
            callback()


class Server:
    """A simulated upstream with slots and a backlog; the cost of shed calls delays other calls."""

    def __init__(self, loop: VirtualLoop, rng: random.Random, slots: int = SLOTS) -> None:
        self.loop = loop
        self.rng = rng
        self.slots = slots
        self.busy_slots = 0
        self.backlog: list[Callable[[], None]] = []
        self.calls = 0
        self.is_down = False
        self.slowdown = 1.0
        self.busy_time_s = 0.0
        self.unapplied_shed_s = 0.0

    def send(self, on_done: Callable[[bool], None]) -> None:
        """Run, queue or shed a call, then call `on_done` with whether it ran."""
        self.calls += 1
        if self.is_down or (
            self.busy_slots >= self.slots and len(self.backlog) >= MAX_BACKLOG_CALLS
        ):
            self.unapplied_shed_s += SHED_TIME_S
            self.loop.call_at(self.loop.now + SHED_TIME_S, lambda: on_done(False))
        elif self.busy_slots >= self.slots:
            self.backlog.append(lambda: self._run(on_done))
        else:
            self._run(on_done)

    def _run(self, on_done: Callable[[bool], None]) -> None:
        self.busy_slots += 1
        duration_s = self.rng.expovariate(1 / SERVICE_TIME_S) * self.slowdown
        # The CPU time spent on shed calls delays the calls that run.
        shed_delay_s = min(self.unapplied_shed_s, duration_s)
        self.unapplied_shed_s -= shed_delay_s
        self.busy_time_s += duration_s

        def finish() -> None:
            self.busy_slots -= 1
            if self.backlog:
                self.backlog.pop(0)()
            on_done(True)

        self.loop.call_at(self.loop.now + duration_s + shed_delay_s, finish)


class Scenario(msgspec.Struct, frozen=True):
    """Offered load and its conditions.

    `load` is a multiple of the capacity of all servers. With `has_outage` all servers are down in
    the second half; with `has_slow_server` one server is slow throughout.
    """

    load: float
    daemons: int = 30
    servers: int = 6
    duration_s: float = DURATION_S
    has_outage: bool = False
    has_slow_server: bool = False


class Totals(msgspec.Struct):
    """Counts of calls and attempts, and the latencies of answered calls."""

    offered: int = 0
    good: int = 0
    not_run: int = 0
    failed: int = 0
    attempts: int = 0
    outage_offered: int = 0
    outage_attempts: int = 0
    latencies_s: list[float] = []


class GoodputSimulation:
    """Runs one scenario: offers calls to daemons, and counts attempts and answers."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.servers = [Server(self.loop, self.rng) for _ in range(scenario.servers)]
        if scenario.has_slow_server:
            self.servers[0].slowdown = SLOW_SERVER_FACTOR
        self.totals = Totals(latencies_s=[])

    @property
    def is_in_outage(self) -> bool:
        """Tell whether the servers are down."""
        return self.scenario.has_outage and self.loop.now > self.scenario.duration_s / 2

    def run(self, start_call: Callable[[int], None]) -> Totals:
        """Call `start_call` with random daemons at random times, and run until all calls end."""
        capacity_per_s = len(self.servers) * SLOTS / SERVICE_TIME_S
        rate_per_s = capacity_per_s * self.scenario.load
        at = 0.0
        while at < self.scenario.duration_s:
            at += self.rng.expovariate(rate_per_s)
            daemon = self.rng.randrange(self.scenario.daemons)
            self.loop.call_at(at, lambda daemon=daemon: self._count_offered(start_call, daemon))  # type: ignore[misc]
        if self.scenario.has_outage:
            self.loop.call_at(self.scenario.duration_s / 2, self._take_servers_down)
        self.loop.run(self.scenario.duration_s + SETTLE_S)
        return self.totals

    def send(self, server: int, on_done: Callable[[bool], None]) -> None:
        """Send one attempt to `server`."""
        self.totals.attempts += 1
        self.totals.outage_attempts += self.is_in_outage
        self.servers[server].send(on_done)

    def count_answer(self, started_at: float) -> None:
        """Count an answer; it is good within the deadline and while calls are still offered."""
        elapsed_s = self.loop.now - started_at
        self.totals.latencies_s.append(elapsed_s)
        if elapsed_s > TIMEOUT_S:
            self.totals.failed += 1
        elif self.loop.now <= self.scenario.duration_s:
            self.totals.good += 1

    def _count_offered(self, start_call: Callable[[int], None], daemon: int) -> None:
        self.totals.offered += 1
        self.totals.outage_offered += self.is_in_outage
        start_call(daemon)

    def _take_servers_down(self) -> None:
        for server in self.servers:
            server.is_down = True


class Daemon:
    """Sends calls through one daemon's dispatcher and retries them as the edge does."""

    def __init__(
        self, simulation: GoodputSimulation, index: int, attempt_ids: "itertools.count[int]"
    ) -> None:
        self.simulation = simulation
        zone = ZoneId(ZONES[index % len(ZONES)])
        location = DaemonLocation(InstanceId(f"d{index}"), zone, REGION)
        self.dispatcher = Dispatcher(SERVICE, location, random.Random(index))
        self._attempt_ids = attempt_ids
        self._calls: dict[AttemptId, tuple[float, int, InstanceId | None]] = {}
        upstreams = tuple(make_upstream(number) for number in range(len(simulation.servers)))
        daemons = simulation.scenario.daemons
        self.perform_actions(
            self.dispatcher.handle(UpstreamsChanged(upstreams, daemons, UPSTREAM_CONNECTIONS), 0.0)
        )

    def start_call(self) -> None:
        """Start a new call."""
        self.dispatcher.retry_budget.deposit()
        self._send_attempt(self.simulation.loop.now, attempt=1, avoid=None)

    def perform_actions(self, actions: list[Action]) -> None:
        """Perform the actions of the dispatcher."""
        for action in actions:
            match action:
                case StartAttempt():
                    self._start_attempt(action)
                case RefuseAttempt():
                    del self._calls[action.attempt_id]
                    self.simulation.totals.not_run += 1
                case SetTimer():
                    self.simulation.loop.call_at(action.at, self._tick)

    def _tick(self) -> None:
        self.perform_actions(self.dispatcher.handle(Tick(), self.simulation.loop.now))

    def _send_attempt(self, started_at: float, attempt: int, avoid: InstanceId | None) -> None:
        now = self.simulation.loop.now
        attempt_id = AttemptId(next(self._attempt_ids))
        self._calls[attempt_id] = (started_at, attempt, avoid)
        queue_until = now + QUEUE_TIMEOUT_S if attempt == 1 else now
        arrived = AttemptArrived(
            attempt_id, CallerKey("app"), ROUTE, queue_until, started_at + TIMEOUT_S, avoid=avoid
        )
        self.perform_actions(self.dispatcher.handle(arrived, now))

    def _start_attempt(self, start: StartAttempt) -> None:
        sent_at = self.simulation.loop.now
        server = int(start.upstream.instance[1:])
        self.simulation.send(server, lambda has_run: self._end_attempt(start, sent_at, has_run))

    def _end_attempt(self, start: StartAttempt, sent_at: float, has_run: bool) -> None:
        now = self.simulation.loop.now
        started_at, attempt, _ = self._calls.pop(start.attempt_id)
        result = AttemptResult.ANSWERED if has_run else AttemptResult.SHED
        self.perform_actions(
            self.dispatcher.handle(AttemptEnded(start.attempt_id, result, now - sent_at), now)
        )
        if has_run:
            self.simulation.count_answer(started_at)
            return
        failed = FailedAttempt(ExecutionCertainty.REFUSED, attempt, 0, True, False)
        if may_retry(failed, POLICY, self.dispatcher.retry_budget):
            self._send_attempt(started_at, attempt + 1, start.upstream.instance)
        else:
            self.simulation.totals.not_run += 1


class NaiveDaemon:
    """The naive baseline: round robin, no limit, three retries."""

    def __init__(self, simulation: GoodputSimulation, index: int) -> None:
        self.simulation = simulation
        self._next_server = itertools.cycle(range(len(simulation.servers)))
        for _ in range(index):
            next(self._next_server)

    def start_call(self) -> None:
        """Start a new call."""
        self._send_attempt(self.simulation.loop.now, NAIVE_RETRIES)

    def _send_attempt(self, started_at: float, retries: int) -> None:
        def on_done(has_run: bool) -> None:
            if has_run:
                self.simulation.count_answer(started_at)
            elif retries:
                self._send_attempt(started_at, retries - 1)
            else:
                self.simulation.totals.failed += 1

        self.simulation.send(next(self._next_server), on_done)


def make_upstream(number: int) -> Upstream:
    """Return the upstream that stands for the server with `number`."""
    return Upstream(
        InstanceId(f"u{number}"),
        SERVICE,
        Address(f"127.0.0.1:{number}"),
        ZoneId(ZONES[number % len(ZONES)]),
        REGION,
        UpstreamState.READY,
        SLOTS,
    )


def run_dispatchers(scenario: Scenario, seed: int = 1) -> Totals:
    """Run a scenario with daemons that use the real dispatcher."""
    simulation = GoodputSimulation(scenario, seed)
    attempt_ids = itertools.count(1)
    daemons = [Daemon(simulation, index, attempt_ids) for index in range(scenario.daemons)]
    return simulation.run(lambda index: daemons[index].start_call())


def run_naive(scenario: Scenario, seed: int = 1) -> Totals:
    """Run a scenario with the naive baseline."""
    simulation = GoodputSimulation(scenario, seed)
    daemons = [NaiveDaemon(simulation, index) for index in range(scenario.daemons)]
    return simulation.run(lambda index: daemons[index].start_call())


def compute_percentile_ms(latencies_s: list[float], share: float) -> float:
    """Return the latency at the percentile `share`, from 0 to 1; 0 without latencies."""
    ordered = sorted(latencies_s)
    return ordered[int(len(ordered) * share)] * 1000 if ordered else 0.0


def measure() -> list[Row]:
    """Measure all scenarios with the dispatcher and with the naive baseline."""
    rows: list[Row] = []
    for name, run in (("ours", run_dispatchers), ("naive", run_naive)):
        good_counts: Counter[float] = Counter()
        for load in (0.5, 0.8, 1.0, 1.5, 2.0, 3.0):
            totals = run(Scenario(load))
            good_counts[load] = totals.good
            params: dict[str, Param] = {"version": name, "load": load}
            rows.append(Row("good", params, totals.good / DURATION_S, "calls/s"))
            p99_ms = compute_percentile_ms(totals.latencies_s, 0.99)
            rows.append(Row("p99", params, p99_ms, "ms"))
            attempts_per_call = totals.attempts / totals.offered
            rows.append(Row("attempts", params, attempts_per_call, "attempts/call"))
        kept_share = good_counts[3.0] / max(good_counts.values())
        rows.append(Row("kept_at_3x", {"version": name}, kept_share, "of peak"))
        outage = run(Scenario(0.8, has_outage=True))
        retry_share = outage.outage_attempts / outage.outage_offered - 1
        rows.append(Row("retry_share", {"version": name}, retry_share, "of offered"))
        slow = run(Scenario(0.4, has_slow_server=True))
        p99_ms = compute_percentile_ms(slow.latencies_s, 0.99)
        rows.append(Row("p99_one_slow", {"version": name}, p99_ms, "ms"))
    return rows


def main(output: Annotated[Path | None, typer.Option()] = None) -> None:
    """Measure all scenarios and write the rows."""
    publish_rows(measure(), output)


if __name__ == "__main__":
    typer.run(main)
