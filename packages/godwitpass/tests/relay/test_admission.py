import random
from collections.abc import Iterator

import msgspec
import pytest

from godwitpass.ids import CustomerName, RouteName
from godwitpass.internal.relay.admission import (
    NESTED_CALL_PRIORITY,
    ScheduledCall,
    SchedulingDecision,
    SlotScheduler,
    combine_priorities,
)

READ = RouteName("read")
ORDER = RouteName("order")


def build_call(
    call_id: int,
    now: float,
    priority: int = 1,
    objective_s: float = 0.5,
    timeout_s: float = 2.0,
    route: RouteName = READ,
) -> ScheduledCall:
    return ScheduledCall(call_id, route, priority, now + objective_s, now + timeout_s, now)


class TestSlotLimit:
    def test_a_call_starts_at_once_while_a_slot_is_free(self) -> None:
        scheduler = SlotScheduler(2)
        decision = scheduler.submit(build_call(1, 0.0), 0.0)
        assert [call.call_id for call in decision.started] == [1]

    def test_no_more_calls_run_than_there_are_slots(self) -> None:
        scheduler = SlotScheduler(2)
        for call_id in range(5):
            scheduler.submit(build_call(call_id, 0.0), 0.0)
        assert (len(scheduler.running), len(scheduler.waiting)) == (2, 3)

    def test_a_freed_slot_goes_to_the_call_with_the_earliest_objective(self) -> None:
        scheduler = SlotScheduler(1)
        scheduler.submit(build_call(1, 0.0), 0.0)
        scheduler.submit(build_call(2, 0.0, objective_s=0.9), 0.0)
        scheduler.submit(build_call(3, 0.0, objective_s=0.4), 0.0)
        decision = scheduler.release(1, 0.1, is_completed=True)
        assert [call.call_id for call in decision.started] == [3]

    def test_a_removed_call_is_not_started(self) -> None:
        scheduler = SlotScheduler(1)
        scheduler.submit(build_call(1, 0.0), 0.0)
        scheduler.submit(build_call(2, 0.0), 0.0)
        assert scheduler.remove_waiting(2)
        assert not scheduler.release(1, 0.1, is_completed=True).started


class TestPriority:
    def test_a_nested_call_runs_before_all_others(self) -> None:
        scheduler = SlotScheduler(1)
        scheduler.submit(build_call(1, 0.0), 0.0)
        scheduler.submit(build_call(2, 0.0, priority=0, objective_s=0.2), 0.0)
        scheduler.submit(build_call(3, 0.0, priority=NESTED_CALL_PRIORITY, objective_s=0.4), 0.0)
        decision = scheduler.release(1, 0.05, is_completed=True)
        assert [call.call_id for call in decision.started] == [3]

    def test_a_nested_call_past_its_objective_still_runs_first(self) -> None:
        scheduler = SlotScheduler(1)
        scheduler.submit(build_call(1, 0.0), 0.0)
        scheduler.submit(
            build_call(2, 0.0, priority=NESTED_CALL_PRIORITY, objective_s=0.1, timeout_s=0.6), 0.0
        )
        scheduler.submit(build_call(3, 0.15, priority=1, objective_s=1.0), 0.15)
        decision = scheduler.release(1, 0.2, is_completed=True)
        assert [call.call_id for call in decision.started] == [2]

    def test_a_call_that_can_meet_its_objective_runs_before_a_late_one(self) -> None:
        scheduler = SlotScheduler(1)
        scheduler.submit(build_call(1, 0.0), 0.0)
        scheduler.submit(build_call(2, 0.0, objective_s=0.2, timeout_s=4.0), 0.0)
        scheduler.submit(build_call(3, 0.2, objective_s=0.5), 0.2)
        decision = scheduler.release(1, 0.25, is_completed=True)
        assert [call.call_id for call in decision.started] == [3]

    def test_a_lower_priority_value_runs_before_an_earlier_objective(self) -> None:
        scheduler = SlotScheduler(1)
        scheduler.submit(build_call(1, 0.0), 0.0)
        scheduler.submit(build_call(2, 0.0, priority=2, objective_s=0.3), 0.0)
        scheduler.submit(build_call(3, 0.0, priority=1, objective_s=0.9), 0.0)
        decision = scheduler.release(1, 0.1, is_completed=True)
        assert [call.call_id for call in decision.started] == [3]


class TestRefusal:
    def test_a_call_that_would_wait_too_long_is_refused_at_once(self) -> None:
        scheduler = SlotScheduler(1)
        refused: list[int] = []
        for call_id in range(20):
            decision = scheduler.submit(build_call(call_id, 0.0), 0.0)
            refused += [call.call_id for call, _ in decision.refused]
        assert refused
        assert len(scheduler.waiting) + len(scheduler.running) + len(refused) == 20

    def test_callers_refused_together_are_asked_to_return_at_different_times(self) -> None:
        # Guards against refused callers that come back together and are refused again.
        scheduler = SlotScheduler(1)
        times = [
            retry_after_s
            for call_id in range(1, 60)
            for _, retry_after_s in scheduler.submit(build_call(call_id, 0.0), 0.0).refused
        ]
        assert len(times) > 20 and len(set(times)) == len(times)
        assert max(times) > 2.0 * min(times)

    def test_a_refusal_carries_a_retry_after_time(self) -> None:
        scheduler = SlotScheduler(1)
        for call_id in range(20):
            for _, retry_after_s in scheduler.submit(build_call(call_id, 0.0), 0.0).refused:
                assert 0.0 < retry_after_s < 2.0

    def test_a_waiting_call_is_refused_once_it_would_start_too_late(self) -> None:
        scheduler = SlotScheduler(1)
        scheduler.submit(build_call(1, 0.0, timeout_s=10.0), 0.0)
        scheduler.submit(build_call(2, 0.0, objective_s=0.3, timeout_s=0.6), 0.0)
        latest_start = 0.3 - scheduler.estimate_service_time_s(READ)
        assert not scheduler.reschedule(latest_start - 0.05).refused
        assert [call.call_id for call, _ in scheduler.reschedule(latest_start + 0.01).refused] == [
            2
        ]


class TestDelivery:
    """Calls with an objective of 1 s, a timeout of 8 s and a service time of 0.1 s."""

    def accepts(self, delay_s: float, transfer_s: float, priority: int = 1) -> bool:
        call = build_call(1, 0.0, priority, objective_s=1.0, timeout_s=8.0)
        return SlotScheduler(1).accepts_delivery(call, 0.0, delay_s, transfer_s)

    def test_a_response_that_the_link_delays_beyond_the_objective_is_not_accepted(self) -> None:
        assert self.accepts(delay_s=0.5, transfer_s=0.1)
        assert not self.accepts(delay_s=0.9, transfer_s=0.1)

    def test_a_response_that_is_late_by_any_link_may_wait_a_share_of_the_timeout(self) -> None:
        assert self.accepts(delay_s=1.1, transfer_s=1.0)
        assert not self.accepts(delay_s=1.3, transfer_s=1.0)

    def test_a_nested_call_is_accepted_until_its_deadline(self) -> None:
        assert self.accepts(delay_s=7.8, transfer_s=0.1, priority=NESTED_CALL_PRIORITY)
        assert not self.accepts(delay_s=8.0, transfer_s=0.1, priority=NESTED_CALL_PRIORITY)


class Arrival(msgspec.Struct):
    arrived_at: float
    call_id: int
    priority: int
    route: RouteName
    service_time_s: float
    objective_s: float
    timeout_s: float


def generate_arrivals(seed: int, duration_s: float, load: float, slots: int) -> Iterator[Arrival]:
    """Generate Poisson arrivals that need `load` times the available slots."""
    rng = random.Random(seed)
    mean_service_time_s = 0.2
    rate = load * slots / mean_service_time_s
    at, call_id = 0.0, 0
    while at < duration_s:
        at += rng.expovariate(rate)
        call_id += 1
        service_time_s = rng.uniform(0.1, 0.3)
        yield Arrival(at, call_id, 1, READ, service_time_s, 0.6, 2.0)


class Outcome(msgspec.Struct):
    in_time: int = 0
    late: int = 0
    refused: int = 0


def simulate(arrivals: list[Arrival], scheduler: SlotScheduler) -> Outcome:
    """Run the arrivals through `scheduler` in virtual time."""
    outcome = Outcome()
    by_call_id = {arrival.call_id: arrival for arrival in arrivals}
    completions: list[tuple[float, int]] = []

    def apply_decision(decided_at: float, decision: object) -> None:
        assert hasattr(decision, "started") and hasattr(decision, "refused")
        for call in decision.started:
            completions.append((decided_at + by_call_id[call.call_id].service_time_s, call.call_id))
        outcome.refused += len(decision.refused)

    pending = list(arrivals)
    while pending or completions:
        completions.sort()
        if completions and (not pending or completions[0][0] <= pending[0].arrived_at):
            at, call_id = completions.pop(0)
            arrival = by_call_id[call_id]
            if at <= arrival.arrived_at + arrival.objective_s:
                outcome.in_time += 1
            else:
                outcome.late += 1
            apply_decision(at, scheduler.release(call_id, at, is_completed=True))
            continue
        arrival = pending.pop(0)
        call = ScheduledCall(
            arrival.call_id,
            arrival.route,
            arrival.priority,
            arrival.arrived_at + arrival.objective_s,
            arrival.arrived_at + arrival.timeout_s,
            arrival.arrived_at,
        )
        apply_decision(arrival.arrived_at, scheduler.submit(call, arrival.arrived_at))
    return outcome


class TestOverload:
    """Simulates 20 s of calls at 130% and at 80% of a service's capacity."""

    def test_nearly_all_capacity_serves_calls_that_meet_their_objective(self) -> None:
        for seed in range(5):
            arrivals = list(generate_arrivals(seed, 20.0, 1.3, 12))
            outcome = simulate(arrivals, SlotScheduler(12))
            served = outcome.in_time + outcome.late
            # The capacity is 1 / 1.3 of the calls, less the calls cut off at both ends of the load.
            assert served > 0.74 * len(arrivals)
            assert outcome.in_time > 0.9 * served

    def test_with_uneven_service_times_most_calls_that_run_still_meet_a_tight_objective(
        self,
    ) -> None:
        for seed in range(5):
            rng = random.Random(seed)
            arrivals = [
                msgspec.structs.replace(
                    arrival,
                    service_time_s=0.115 * rng.lognormvariate(-0.125, 0.5),
                    objective_s=0.3,
                )
                for arrival in generate_arrivals(seed, 20.0, 1.3 * 0.2 / 0.115, 16)
            ]
            outcome = simulate(arrivals, SlotScheduler(16))
            served = outcome.in_time + outcome.late
            assert served > 0.74 * len(arrivals)
            assert outcome.in_time > 0.85 * served

    def test_below_its_capacity_a_service_refuses_almost_no_calls(self) -> None:
        for seed in range(5):
            arrivals = list(generate_arrivals(seed, 20.0, 0.8, 12))
            outcome = simulate(arrivals, SlotScheduler(12))
            assert outcome.refused <= 0.01 * len(arrivals)


class SummingScheduler(SlotScheduler):
    """The reference: sums over the queue anew for each call."""

    def reschedule(self, now: float) -> SchedulingDecision:
        started: list[ScheduledCall] = []
        refused: list[tuple[ScheduledCall, float]] = []
        ahead: list[ScheduledCall] = []
        for call in self._sort(self.waiting.values(), now):
            latest_start = self._find_latest_start(call)
            if len(self.running) < self.limit and now <= latest_start:
                del self.waiting[call.call_id]
                started.append(self._start(call, now))
            elif now + self.sum_delay_s(ahead, now) > latest_start:
                del self.waiting[call.call_id]
                before = [one for one in self.waiting.values() if one.priority <= call.priority]
                refused.append((call, self._spread_retry_after_s(self.sum_delay_s(before, now))))
            else:
                ahead.append(call)
        return SchedulingDecision(tuple(started), tuple(refused))

    def sum_delay_s(self, ahead: list[ScheduledCall], now: float) -> float:
        if self.limit - len(self.running) - len(ahead) > 0:
            return 0.0
        total_s = sum(self.estimate_service_time_s(call.route) for call in ahead)
        for call in self.running.values():
            expected_s = self.estimate_service_time_s(call.route)
            total_s += max(expected_s - (now - call.started_at), 0.25 * expected_s)
        return total_s / self.limit


class TestQueueSums:
    @pytest.mark.parametrize("seed", range(5))
    def test_decisions_are_those_of_summing_for_each_call(self, seed: int) -> None:
        rng = random.Random(seed)
        schedulers = (SlotScheduler(4), SummingScheduler(4))
        now = 0.0
        for call_id in range(1_500):
            now += rng.expovariate(60.0)
            route, priority = rng.choice((READ, ORDER)), rng.choice((NESTED_CALL_PRIORITY, 1, 2))
            objective_s, timeout_s = rng.uniform(0.1, 1.0), rng.uniform(1.0, 4.0)
            finished = rng.choice(list(schedulers[0].running) or [0]) if rng.random() < 0.6 else 0
            decisions = []
            for scheduler in schedulers:
                call = build_call(call_id + 1, now, priority, objective_s, timeout_s, route)
                decisions.append(scheduler.submit(call, now))
                if finished:
                    decisions.append(scheduler.release(finished, now, is_completed=True))
            half = len(decisions) // 2
            for decision, reference in zip(decisions[:half], decisions[half:], strict=True):
                assert [call.call_id for call in decision.started] == [
                    call.call_id for call in reference.started
                ]
                assert [call.call_id for call, _ in decision.refused] == [
                    call.call_id for call, _ in reference.refused
                ]
                assert [retry_after_s for _, retry_after_s in decision.refused] == pytest.approx(
                    [retry_after_s for _, retry_after_s in reference.refused]
                )

    def test_the_work_for_each_waiting_call_does_not_grow_with_the_queue(self) -> None:
        class CountingScheduler(SlotScheduler):
            estimates = 0

            def estimate_service_time_s(self, route: RouteName) -> float:
                self.estimates += 1
                return super().estimate_service_time_s(route)

        scheduler = CountingScheduler(1)
        for call_id in range(300):
            scheduler.waiting[call_id] = build_call(call_id, 0.0, objective_s=90.0, timeout_s=900.0)
        scheduler.reschedule(0.0)
        assert len(scheduler.waiting) == 299
        assert scheduler.estimates < 10 * 300


class TestCustomers:
    def test_an_urgent_customer_keeps_its_slots_while_another_sends_beyond_the_capacity(
        self,
    ) -> None:
        # Guards against a busy customer that takes the slots of one with a higher priority: a
        # server with two slots, 100 ms a call, gets 60 calls a second of one and 5 of the other.
        scheduler = SlotScheduler(2)
        priorities = {
            name: combine_priorities(1, CustomerName(name), level)
            for name, level in (("urgent", 0), ("busy", 1))
        }
        names = ["urgent" if number % 13 == 0 else "busy" for number in range(260)]
        ends: list[tuple[float, int]] = []
        served, now = {"urgent": 0, "busy": 0}, 0.0
        for number, name in enumerate(names):
            now = number / 65
            while ends and ends[0][0] <= now:
                end, call_id = ends.pop(0)
                decision = scheduler.release(call_id, end, is_completed=True)
                served[names[call_id]] += 1
                ends += [(end + 0.1, call.call_id) for call in decision.started]
            decision = scheduler.submit(build_call(number, now, priorities[name]), now)
            ends += [(now + 0.1, call.call_id) for call in decision.started]
            ends.sort()
        assert served["urgent"] >= names.count("urgent") - 2
        assert served["busy"] >= 0.9 * (20 * now - served["urgent"])

    def test_calls_of_no_customer_have_the_default_priority(self) -> None:
        nobody, urgent, patient = (
            combine_priorities(5, CustomerName(name), level)
            for name, level in (("", 0), ("urgent", 0), ("patient", 2))
        )
        assert urgent < nobody < patient
