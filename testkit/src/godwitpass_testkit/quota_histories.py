"""Random histories of rate limits: load beyond the limits, with faults all the time."""

import random
from collections.abc import Callable
from functools import partial

from godwitpass.ids import Address, CustomerName, Version
from godwitpass.internal.quotas.buckets import RateLimit, compute_bucket_size
from godwitpass.internal.quotas.interface import QuotaAdmitted
from godwitpass.internal.quotas.settings import QuotaSettings
from godwitpass_testkit.quotas import (
    LimitsInForce,
    NetworkConditions,
    Outcome,
    SimulatedDaemon,
    SimulatedFleet,
    find_excess,
)

WINDOW_S = 2.0
"""A short window makes histories short. With an overage of 0.25, the share of the bound that pays
for the life of tokens and for overlaps is the same as with 5 s and 0.1."""

FAULT_KINDS = 8
VIEW_SPREAD_S = 1.0
"""Time in which a change of coordinators or limits reaches all daemons."""


class QuotaHistory:
    """One history; `run` returns the largest excess over a bound, which must not be positive."""

    def __init__(self, seed: int) -> None:
        self._rng = rng = random.Random(seed)
        self._settings = QuotaSettings(WINDOW_S, 0.25, rng.choice((2, 10)))
        network = NetworkConditions(
            (0.0005, rng.choice((0.002, 0.02, 0.08))),
            rng.choice((0.0, 0.01, 0.2)),
            rng.choice((0.0, 0.05, 0.3)),
            rng.choice((0.0, 0.02, 0.2)),
        )
        self.fleet = SimulatedFleet(
            rng.randrange(2**32), rng.randint(2, 9), self._settings, network
        )
        self.fleet.on_decision = self._release_some
        self._addresses = list(self.fleet.daemons)
        # Few, so that a daemon often becomes owner again while it still has credit.
        self._candidates = self._addresses[:3]
        self._fault_kinds = rng.sample(range(FAULT_KINDS), rng.randint(1, 3))
        self._coordinators = self._draw_coordinators()
        self._version = Version(1)
        self._limits = {
            CustomerName(name): RateLimit(rng.choice((4, 20, 60)), rng.choice((0, 10, 60)))
            for name in ("a", "b")
        }
        self._in_force = [LimitsInForce(0, 1e9, dict(self._limits))]
        self._end = rng.uniform(10, 18)

    def run(self) -> float:
        """Run the history and return the largest excess."""
        rng, fleet = self._rng, self.fleet
        for daemon in fleet.daemons.values():
            fleet.schedule(rng.uniform(0, 0.3), partial(self._start, daemon))
        for customer in self._limits:
            self._schedule_calls(customer)
        for _ in range(rng.randint(0, 9)):
            fleet.schedule(rng.uniform(3, self._end), self._cause_fault)
        fleet.run_until(self._end + 1)
        return find_excess(fleet.outcomes, self._in_force, self._settings)[0]

    def _schedule_calls(self, customer: CustomerName) -> None:
        """Alternate between silence, in which buckets fill, and several times the limit."""
        rng, limit = self._rng, self._limits[customer]
        size = compute_bucket_size(limit, self._settings)
        at = 0.0
        while at < self._end:
            silence_s, length_s = rng.uniform(0, 4), rng.uniform(0.3, 3)
            rate = (size.capacity / length_s + limit.rate_per_s) * rng.choice((0.5, 1.5, 4))
            callers = rng.sample(self._addresses, rng.randint(1, len(self._addresses)))
            call_at = at + silence_s
            at = min(call_at + length_s, self._end)
            while (call_at := call_at + rng.expovariate(rate)) < at:
                self.fleet.schedule(call_at, self._make_call(rng.choice(callers), customer))

    def _make_call(self, address: Address, customer: CustomerName) -> Callable[[], None]:
        daemon = self.fleet.daemons[address]
        return lambda: daemon.run(lambda: daemon.call(customer))

    def _release_some(self, daemon: SimulatedDaemon, outcome: Outcome) -> None:
        decision = outcome.decision
        if isinstance(decision, QuotaAdmitted) and self._rng.random() < 0.1:
            outcome.is_released = True
            at = self.fleet.now + self._rng.choice((0.0, 0.1, 0.4))
            self.fleet.schedule(
                at,
                lambda: daemon.run(lambda: daemon.release(outcome.customer, decision.permit)),
            )

    def _start(self, daemon: SimulatedDaemon) -> None:
        # A process that has just started knows few others.
        daemon.start(self._version, dict(self._limits), self._coordinators, 1)
        self.fleet.schedule(
            self.fleet.now + self._rng.uniform(0, 1.9),
            lambda: daemon.run(
                lambda: daemon.change_view(self._coordinators, len(self._addresses))
            ),
        )

    def _draw_coordinators(self) -> tuple[Address, ...]:
        count = self._rng.randint(1, len(self._candidates))
        return tuple(self._rng.sample(self._candidates, count))

    def _cause_fault(self) -> None:
        rng, fleet = self._rng, self.fleet
        target = rng.choice((*self._coordinators, rng.choice(self._addresses)))
        daemon = fleet.daemons[target]
        kind = rng.choice(self._fault_kinds)
        if kind == 0 and daemon.is_alive:
            daemon.kill()
            fleet.schedule(fleet.now + rng.choice((0.05, 1, 4)), lambda: self._start(daemon))
        elif kind == 1:
            daemon.paused_until = fleet.now + rng.choice((0.03, 0.15, 0.6, 3))
        elif kind == 2:
            for address in rng.sample(self._addresses, rng.randint(1, len(self._addresses))):
                fleet.daemons[address].paused_until = fleet.now + rng.uniform(0.05, 2)
        elif kind == 3:
            side = rng.sample(self._addresses, rng.randint(1, len(self._addresses) - 1))
            fleet.partition(side)
            fleet.schedule(fleet.now + rng.choice((0.1, 0.5, 1, 4)), fleet.cut.clear)
        elif kind == 4:
            # One way only.
            others = rng.sample(self._addresses, rng.randint(1, len(self._addresses)))
            fleet.cut = {(target, other) for other in others}
            fleet.schedule(fleet.now + rng.choice((0.1, 0.5, 1, 4)), fleet.cut.clear)
        elif kind in (5, 6):
            self._coordinators = self._draw_coordinators()
            for other in fleet.daemons.values():
                self._tell(other, lambda d: d.change_view(self._coordinators, len(self._addresses)))
        else:
            self._change_limits()

    def _change_limits(self) -> None:
        rng, fleet = self._rng, self.fleet
        version = self._version = Version(self._version + 1)
        customer = rng.choice(list(self._limits))
        previous = self._limits[customer]
        factor = rng.choice((0.1, 0.5, 2))
        self._limits[customer] = RateLimit(previous.rate_per_s * factor, previous.burst * factor)
        limits = dict(self._limits)
        # A paused daemon doesn't admit calls; it gets the version before it runs on.
        self._in_force[-1].end = max(
            fleet.now + VIEW_SPREAD_S,
            *(item.paused_until for item in fleet.daemons.values()),
        )
        self._in_force.append(LimitsInForce(fleet.now, 1e9, limits))
        for other in fleet.daemons.values():
            self._tell(other, lambda d: d.change_limits(version, limits))

    def _tell(self, daemon: SimulatedDaemon, tell: Callable[[SimulatedDaemon], None]) -> None:
        at = self.fleet.now + self._rng.uniform(0, VIEW_SPREAD_S)
        self.fleet.schedule(at, lambda: daemon.run(lambda: tell(daemon)))
