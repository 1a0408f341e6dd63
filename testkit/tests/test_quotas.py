"""Rate limits of many daemons in virtual time: the bound under faults, and what is refused."""

import random
from collections import Counter
from functools import partial

import pytest

from godwitpass.ids import CustomerName, Version
from godwitpass.internal.quotas.buckets import RateLimit, compute_bucket_size
from godwitpass.internal.quotas.electorate import rank_coordinators
from godwitpass.internal.quotas.interface import QuotaAdmitted
from godwitpass.internal.quotas.settings import QuotaSettings
from godwitpass_testkit.quota_histories import QuotaHistory
from godwitpass_testkit.quotas import LimitsInForce, NetworkConditions, SimulatedFleet, find_excess

SETTINGS = QuotaSettings(5, 0.1, 20)
CALLS_PER_S = 900
ZONES = 3
USUAL = {CustomerName(f"c{n}"): 1 / n**1.2 for n in range(1, 88)}
USUAL = {name: CALLS_PER_S * weight / sum(USUAL.values()) for name, weight in USUAL.items()}
LIMITS = {name: RateLimit(1.6 * rate, 0) for name, rate in USUAL.items()}
GREEDY = CustomerName("c3")
"""Sends 7.5 times its usual rate from second 8 to 15."""


def replay(killed_at: float | None = None, end: float = 18.0) -> SimulatedFleet:
    """Replay calls of 87 customers over 89 daemons; most of them move to another zone every 5 s."""
    rng = random.Random(3)
    fleet = SimulatedFleet(3, 89, SETTINGS, NetworkConditions(lost=0.001))
    addresses = list(fleet.daemons)
    coordinators = (addresses[0], addresses[1])
    for daemon in fleet.daemons.values():
        daemon.start(Version(1), LIMITS, coordinators, len(addresses))
    callers = [item for item in addresses if killed_at is None or item != coordinators[0]]
    for customer, rate in USUAL.items():
        at = 3.0
        while at < end:
            is_greedy = customer == GREEDY and 8 <= at < 15
            at += rng.expovariate(rate * (7.5 if is_greedy else 1))
            zone = int(at / 5) % ZONES if rng.random() < 0.6 else rng.randrange(ZONES)
            daemon = fleet.daemons[rng.choice(callers[zone::ZONES])]
            fleet.schedule(at, partial(daemon.run, partial(daemon.call, customer)))
    if killed_at is not None:
        fleet.schedule(killed_at, fleet.daemons[coordinators[0]].kill)
    fleet.run_until(end + 0.5)
    return fleet


def count_refused(fleet: SimulatedFleet, start: float, end: float) -> tuple[int, int]:
    """Return how many calls of customers within their limits were refused, and all of these."""
    calls = [
        item
        for item in fleet.outcomes
        if start <= item.arrived_at < end and (item.customer != GREEDY or item.arrived_at < 8)
    ]
    return sum(not isinstance(item.decision, QuotaAdmitted) for item in calls), len(calls)


class TestReplay:
    def test_customers_within_their_limits_are_served_and_the_greedy_one_is_bounded(self) -> None:
        """Guards against grants that are too slow, too small or too large."""
        fleet = replay()
        refused, total = count_refused(fleet, 4, 18)
        assert refused < total / 100
        excess, _ = find_excess(fleet.outcomes, [LimitsInForce(0, 1e9, LIMITS)], SETTINGS)
        assert excess <= 0
        greedy = [item for item in fleet.outcomes if item.customer == GREEDY]
        admitted = [item for item in greedy if 8 <= item.decided_at < 15 and item.is_used]
        assert len(admitted) > 0.95 * 7 * compute_bucket_size(LIMITS[GREEDY], SETTINGS).rate_per_s
        # Two coordinators with 2.15 cores each, a tenth of which handles 4,300 messages of 0.1 ms.
        assert fleet.message_count / 18 < 4300

    def test_a_killed_owner_costs_less_than_half_a_second(self) -> None:
        """Guards against a new owner that is asked late, or has no credit for long."""
        fleet = replay(killed_at=9.0, end=12.0)
        coordinators = list(fleet.daemons)[:2]
        owned_per_s = sum(
            rate
            for name, rate in USUAL.items()
            if name != GREEDY and rank_coordinators(name, coordinators)[0] == coordinators[0]
        )
        refused, _ = count_refused(fleet, 9.0, 12.0)
        assert refused < 0.5 * owned_per_s
        later_refused, later = count_refused(fleet, 9.6, 12.0)
        assert later_refused < later / 100
        excess, _ = find_excess(fleet.outcomes, [LimitsInForce(0, 1e9, LIMITS)], SETTINGS)
        assert excess <= 0

    def test_calls_of_large_customers_rarely_wait(self) -> None:
        """Guards against a round trip for each call of a customer that has many at one daemon."""
        customer, fleet = CustomerName("big"), SimulatedFleet(1, 9, SETTINGS, NetworkConditions())
        addresses = list(fleet.daemons)
        limits = {customer: RateLimit(320, 0)}
        for daemon in fleet.daemons.values():
            daemon.start(Version(1), limits, (addresses[0], addresses[1]), len(addresses))
        rng, at = random.Random(1), 3.0
        while (at := at + rng.expovariate(200)) < 10:
            daemon = fleet.daemons[rng.choice(addresses)]
            fleet.schedule(at, partial(daemon.call, customer))
        fleet.run_until(11)
        settled = [item for item in fleet.outcomes if item.arrived_at > 5]
        waits = Counter(item.decided_at > item.arrived_at for item in settled)
        assert all(item.is_used for item in settled)
        assert waits[True] < 0.1 * len(settled)


class TestHistories:
    @pytest.mark.parametrize("seed", range(60))
    def test_no_customer_exceeds_its_bound(self, seed: int) -> None:
        """Guards against each fault that lets owners grant more than the limit together."""
        assert QuotaHistory(seed).run() <= 0
