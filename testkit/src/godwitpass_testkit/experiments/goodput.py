"""Goodput of many daemons that share upstreams, in virtual time.

The daemons' dispatchers and retry decisions are the real ones; upstreams are queues with slots.
The naive version beside them picks upstreams in turn, sets no limit and sends a failed call three
more times. Upstreams of both shed when their slots and their short backlog are full.
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
WORK_S = 0.02
SHED_COST_S = 0.002
"""A shed call still takes a slot's worth of processor for this long."""

BACKLOG = 24
TIMEOUT_S = 0.5
QUEUE_S = 0.1
NAIVE_RETRIES = 3
MIN_GOODPUT_SHARE = 0.9
MAX_RETRY_SHARE = 0.2
POLICY = ResolvedPolicy(Execution.IDEMPOTENT, 500, 500, 2, 100)
SERVICE, ROUTE = ServiceName("status-desk"), RouteName("status")
ZONES, REGION = ("lakes-a", "lakes-b", "lakes-c"), RegionId("great-lakes")


class Loop:
    """Virtual time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Run `callback` at time `at`."""
        heapq.heappush(self._timers, (max(at, self.now), next(self._order), callback))

    def run(self, until: float) -> None:
        """Run everything up to `until`."""
        while self._timers and self._timers[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._timers)
            callback()


class Server:
    """An upstream with slots and a backlog; a shed call costs it a little work too."""

    def __init__(self, loop: Loop, rng: random.Random, slots: int = SLOTS) -> None:
        self.loop = loop
        self.rng = rng
        self.slots = slots
        self.busy = 0
        self.backlog: list[Callable[[], None]] = []
        self.calls = 0
        self.down = False
        self.slowness = 1.0
        self.busy_seconds = 0.0
        self.debt_s = 0.0

    def send(self, done: Callable[[bool], None]) -> None:
        """Run a call; `done` tells whether it ran or was shed."""
        self.calls += 1
        if self.down or (self.busy >= self.slots and len(self.backlog) >= BACKLOG):
            self.debt_s += SHED_COST_S
            self.loop.call_at(self.loop.now + SHED_COST_S, lambda: done(False))
        elif self.busy >= self.slots:
            self.backlog.append(lambda: self._run(done))
        else:
            self._run(done)

    def _run(self, done: Callable[[bool], None]) -> None:
        self.busy += 1
        duration = self.rng.expovariate(1 / WORK_S) * self.slowness
        # What shedding costs slows the calls that run.
        paid = min(self.debt_s, duration)
        self.debt_s -= paid
        self.busy_seconds += duration

        def end() -> None:
            self.busy -= 1
            if self.backlog:
                self.backlog.pop(0)()
            done(True)

        self.loop.call_at(self.loop.now + duration + paid, end)


class Scenario(msgspec.Struct, frozen=True):
    """What is offered, for how long; `outage` takes the servers down from half-time on."""

    load: float
    daemons: int = 30
    servers: int = 6
    seconds: float = 6.0
    outage: bool = False
    slow: bool = False


class Totals(msgspec.Struct):
    """What callers got, and what upstreams received."""

    offered: int = 0
    good: int = 0
    not_run: int = 0
    failed: int = 0
    attempts: int = 0
    outage_offered: int = 0
    outage_attempts: int = 0
    latencies: list[float] = []


class World:
    """Servers, callers and totals of one run."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.loop = Loop()
        self.servers = [Server(self.loop, self.rng) for _ in range(scenario.servers)]
        if scenario.slow:
            self.servers[0].slowness = 20.0
        self.totals = Totals(latencies=[])

    @property
    def in_outage(self) -> bool:
        """Whether the servers are down."""
        return self.scenario.outage and self.loop.now > self.scenario.seconds / 2

    def run(self, offer: Callable[[int], None]) -> Totals:
        """Offer calls at random times, then let everything end."""
        capacity = len(self.servers) * SLOTS / WORK_S
        rate = capacity * self.scenario.load
        at = 0.0
        while at < self.scenario.seconds:
            at += self.rng.expovariate(rate)
            daemon = self.rng.randrange(self.scenario.daemons)
            self.loop.call_at(at, lambda daemon=daemon: self._offer(offer, daemon))  # type: ignore[misc]
        if self.scenario.outage:
            self.loop.call_at(self.scenario.seconds / 2, self._take_down)
        self.loop.run(self.scenario.seconds + 10)
        return self.totals

    def send(self, server: int, done: Callable[[bool], None]) -> None:
        """Send one attempt."""
        self.totals.attempts += 1
        self.totals.outage_attempts += self.in_outage
        self.servers[server].send(done)

    def finish(self, started: float) -> None:
        """Count an answer: good only inside the deadline."""
        elapsed = self.loop.now - started
        self.totals.latencies.append(elapsed)
        if elapsed > TIMEOUT_S:
            self.totals.failed += 1
        elif self.loop.now <= self.scenario.seconds:
            self.totals.good += 1

    def _offer(self, offer: Callable[[int], None], daemon: int) -> None:
        self.totals.offered += 1
        self.totals.outage_offered += self.in_outage
        offer(daemon)

    def _take_down(self) -> None:
        for server in self.servers:
            server.down = True


class Daemon:
    """One daemon's dispatcher in the world."""

    def __init__(self, world: World, index: int, numbers: "itertools.count[int]") -> None:
        self.world = world
        zone = ZoneId(ZONES[index % len(ZONES)])
        place = DaemonLocation(InstanceId(f"d{index}"), zone, REGION)
        self.dispatcher = Dispatcher(SERVICE, place, random.Random(index))
        self._numbers = numbers
        self._calls: dict[AttemptId, tuple[float, int, InstanceId | None]] = {}
        upstreams = tuple(make_upstream(number) for number in range(len(world.servers)))
        daemons = world.scenario.daemons
        self.act(self.dispatcher.handle(UpstreamsChanged(upstreams, daemons, 110), 0.0))

    def offer(self) -> None:
        """Begin a call."""
        self.dispatcher.retry_budget.deposit()
        self._try(self.world.loop.now, attempt=1, avoid=None)

    def act(self, actions: list[Action]) -> None:
        """Carry actions out."""
        for action in actions:
            match action:
                case StartAttempt():
                    self._start(action)
                case RefuseAttempt():
                    del self._calls[action.attempt_id]
                    self.world.totals.not_run += 1
                case SetTimer():
                    self.world.loop.call_at(action.at, self._tick)

    def _tick(self) -> None:
        self.act(self.dispatcher.handle(Tick(), self.world.loop.now))

    def _try(self, started: float, attempt: int, avoid: InstanceId | None) -> None:
        now = self.world.loop.now
        number = AttemptId(next(self._numbers))
        self._calls[number] = (started, attempt, avoid)
        queue_until = now + QUEUE_S if attempt == 1 else now
        arrived = AttemptArrived(
            number, CallerKey("app"), ROUTE, queue_until, started + TIMEOUT_S, avoid=avoid
        )
        self.act(self.dispatcher.handle(arrived, now))

    def _start(self, start: StartAttempt) -> None:
        began = self.world.loop.now
        server = int(start.upstream.instance[1:])
        self.world.send(server, lambda ran: self._end(start, began, ran))

    def _end(self, start: StartAttempt, began: float, ran: bool) -> None:
        now = self.world.loop.now
        started, attempt, _ = self._calls.pop(start.attempt_id)
        result = AttemptResult.ANSWERED if ran else AttemptResult.SHED
        self.act(self.dispatcher.handle(AttemptEnded(start.attempt_id, result, now - began), now))
        if ran:
            self.world.finish(started)
            return
        failed = FailedAttempt(ExecutionCertainty.REFUSED, attempt, 0, True, False)
        if may_retry(failed, POLICY, self.dispatcher.retry_budget):
            self._try(started, attempt + 1, start.upstream.instance)
        else:
            self.world.totals.not_run += 1


class NaiveDaemon:
    """Round robin, no limit, three retries."""

    def __init__(self, world: World, index: int) -> None:
        self.world = world
        self._turn = itertools.cycle(range(len(world.servers)))
        for _ in range(index):
            next(self._turn)

    def offer(self) -> None:
        """Begin a call."""
        self._try(self.world.loop.now, NAIVE_RETRIES)

    def _try(self, started: float, retries: int) -> None:
        def done(ran: bool) -> None:
            if ran:
                self.world.finish(started)
            elif retries:
                self._try(started, retries - 1)
            else:
                self.world.totals.failed += 1

        self.world.send(next(self._turn), done)


def make_upstream(number: int) -> Upstream:
    """Return the upstream of a server."""
    return Upstream(
        InstanceId(f"u{number}"),
        SERVICE,
        Address(f"127.0.0.1:{number}"),
        ZoneId(ZONES[number % len(ZONES)]),
        REGION,
        UpstreamState.READY,
        SLOTS,
    )


def run_ours(scenario: Scenario, seed: int = 1) -> Totals:
    """Run the dispatchers."""
    world = World(scenario, seed)
    numbers = itertools.count(1)
    daemons = [Daemon(world, index, numbers) for index in range(scenario.daemons)]
    return world.run(lambda index: daemons[index].offer())


def run_naive(scenario: Scenario, seed: int = 1) -> Totals:
    """Run the naive version."""
    world = World(scenario, seed)
    daemons = [NaiveDaemon(world, index) for index in range(scenario.daemons)]
    return world.run(lambda index: daemons[index].offer())


def find_percentile(latencies: list[float], share: float) -> float:
    """Return a percentile in milliseconds, 0 without any."""
    ordered = sorted(latencies)
    return ordered[int(len(ordered) * share)] * 1000 if ordered else 0.0


def measure() -> list[Row]:
    """Measure all scenarios with both versions."""
    rows: list[Row] = []
    for name, run in (("ours", run_ours), ("naive", run_naive)):
        goods: Counter[float] = Counter()
        for load in (0.5, 0.8, 1.0, 1.5, 2.0, 3.0):
            totals = run(Scenario(load))
            goods[load] = totals.good
            params: dict[str, Param] = {"version": name, "load": load}
            rows.append(Row("good", params, totals.good / 6.0, "calls/s"))
            p99 = find_percentile(totals.latencies, 0.99)
            rows.append(Row("p99", params, p99, "ms"))
            extra = totals.attempts / totals.offered
            rows.append(Row("attempts", params, extra, "attempts/call"))
        kept = goods[3.0] / max(goods.values())
        rows.append(Row("kept_at_3x", {"version": name}, kept, "of peak"))
        outage = run(Scenario(0.8, outage=True))
        share = outage.outage_attempts / outage.outage_offered - 1
        rows.append(Row("retry_share", {"version": name}, share, "of offered"))
        slow = run(Scenario(0.4, slow=True))
        p99 = find_percentile(slow.latencies, 0.99)
        rows.append(Row("p99_one_slow", {"version": name}, p99, "ms"))
    return rows


def main(output: Annotated[Path | None, typer.Option()] = None) -> None:
    """Measure and write rows."""
    publish_rows(measure(), output)


if __name__ == "__main__":
    typer.run(main)
