import random
from collections.abc import Iterator

import msgspec

from godwitpass.ids import RouteName
from godwitpass.internal.relay.admission import NESTED_CALL_PRIORITY, ScheduledCall, SlotScheduler

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


class TestRoom:
    def test_a_call_starts_at_once_while_a_slot_is_free(self) -> None:
        slots = SlotScheduler(2)
        decision = slots.submit(build_call(1, 0.0), 0.0)
        assert [call.call_id for call in decision.started] == [1]

    def test_no_more_calls_run_than_there_are_slots(self) -> None:
        slots = SlotScheduler(2)
        for call_id in range(5):
            slots.submit(build_call(call_id, 0.0), 0.0)
        assert (len(slots.running), len(slots.waiting)) == (2, 3)

    def test_a_freed_slot_goes_to_the_call_with_the_earliest_objective(self) -> None:
        slots = SlotScheduler(1)
        slots.submit(build_call(1, 0.0), 0.0)
        slots.submit(build_call(2, 0.0, objective_s=0.9), 0.0)
        slots.submit(build_call(3, 0.0, objective_s=0.4), 0.0)
        decision = slots.release(1, 0.1, is_completed=True)
        assert [call.call_id for call in decision.started] == [3]

    def test_a_withdrawn_call_leaves_the_queue(self) -> None:
        slots = SlotScheduler(1)
        slots.submit(build_call(1, 0.0), 0.0)
        slots.submit(build_call(2, 0.0), 0.0)
        assert slots.remove_waiting(2)
        assert not slots.release(1, 0.1, is_completed=True).started


class TestOrder:
    def test_a_call_of_a_running_upstream_goes_before_all_others(self) -> None:
        slots = SlotScheduler(1)
        slots.submit(build_call(1, 0.0), 0.0)
        slots.submit(build_call(2, 0.0, priority=0, objective_s=0.2), 0.0)
        slots.submit(build_call(3, 0.0, priority=NESTED_CALL_PRIORITY, objective_s=0.4), 0.0)
        decision = slots.release(1, 0.05, is_completed=True)
        assert [call.call_id for call in decision.started] == [3]

    def test_a_called_call_past_its_objective_still_goes_first(self) -> None:
        slots = SlotScheduler(1)
        slots.submit(build_call(1, 0.0), 0.0)
        slots.submit(
            build_call(2, 0.0, priority=NESTED_CALL_PRIORITY, objective_s=0.1, timeout_s=0.6), 0.0
        )
        slots.submit(build_call(3, 0.15, priority=1, objective_s=1.0), 0.15)
        decision = slots.release(1, 0.2, is_completed=True)
        assert [call.call_id for call in decision.started] == [2]

    def test_a_call_that_can_still_meet_its_objective_goes_before_a_late_one(self) -> None:
        slots = SlotScheduler(1)
        slots.submit(build_call(1, 0.0), 0.0)
        slots.submit(build_call(2, 0.0, objective_s=0.2, timeout_s=4.0), 0.0)
        slots.submit(build_call(3, 0.2, objective_s=0.5), 0.2)
        decision = slots.release(1, 0.25, is_completed=True)
        assert [call.call_id for call in decision.started] == [3]

    def test_rank_decides_between_kinds(self) -> None:
        slots = SlotScheduler(1)
        slots.submit(build_call(1, 0.0), 0.0)
        slots.submit(build_call(2, 0.0, priority=2, objective_s=0.3), 0.0)
        slots.submit(build_call(3, 0.0, priority=1, objective_s=0.9), 0.0)
        decision = slots.release(1, 0.1, is_completed=True)
        assert [call.call_id for call in decision.started] == [3]


class TestRefusal:
    def test_a_call_that_would_wait_past_its_bound_is_refused_at_once(self) -> None:
        slots = SlotScheduler(1)
        refused: list[int] = []
        for call_id in range(20):
            decision = slots.submit(build_call(call_id, 0.0), 0.0)
            refused += [call.call_id for call, _ in decision.refused]
        assert refused
        assert len(slots.waiting) + len(slots.running) + len(refused) == 20

    def test_a_refusal_says_when_room_is_expected(self) -> None:
        slots = SlotScheduler(1)
        for call_id in range(20):
            for _, retry_after_s in slots.submit(build_call(call_id, 0.0), 0.0).refused:
                assert 0.0 < retry_after_s < 2.0

    def test_a_waiting_call_is_refused_as_soon_as_it_is_hopeless(self) -> None:
        slots = SlotScheduler(1)
        slots.submit(build_call(1, 0.0, timeout_s=10.0), 0.0)
        slots.submit(build_call(2, 0.0, objective_s=0.3, timeout_s=0.6), 0.0)
        due = slots.find_next_expiry()
        assert due < 0.6
        assert [call.call_id for call, _ in slots.reschedule(due + 0.01).refused] == [2]


class Arrival(msgspec.Struct):
    at: float
    call_id: int
    priority: int
    route: RouteName
    work_s: float
    objective_s: float
    timeout_s: float


def draw_arrivals(seed: int, length_s: float, load: float, slots: int) -> Iterator[Arrival]:
    """Draw Poisson arrivals that need `load` times the slots there are."""
    rng = random.Random(seed)
    mean_work_s = 0.2
    rate = load * slots / mean_work_s
    at, call_id = 0.0, 0
    while at < length_s:
        at += rng.expovariate(rate)
        call_id += 1
        work_s = rng.uniform(0.1, 0.3)
        yield Arrival(at, call_id, 1, READ, work_s, 0.6, 2.0)


class Outcome(msgspec.Struct):
    in_time: int = 0
    late: int = 0
    refused: int = 0


def replay(arrivals: list[Arrival], slots: SlotScheduler) -> Outcome:
    """Run the arrivals through `slots` in virtual time."""
    outcome = Outcome()
    by_call_id = {arrival.call_id: arrival for arrival in arrivals}
    ends: list[tuple[float, int]] = []

    def take(decision_at: float, decision: object) -> None:
        assert hasattr(decision, "started") and hasattr(decision, "refused")
        for call in decision.started:
            ends.append((decision_at + by_call_id[call.call_id].work_s, call.call_id))
        outcome.refused += len(decision.refused)

    pending = list(arrivals)
    while pending or ends:
        ends.sort()
        if ends and (not pending or ends[0][0] <= pending[0].at):
            at, call_id = ends.pop(0)
            arrival = by_call_id[call_id]
            if at <= arrival.at + arrival.objective_s:
                outcome.in_time += 1
            else:
                outcome.late += 1
            take(at, slots.release(call_id, at, is_completed=True))
            continue
        arrival = pending.pop(0)
        call = ScheduledCall(
            arrival.call_id,
            arrival.route,
            arrival.priority,
            arrival.at + arrival.objective_s,
            arrival.at + arrival.timeout_s,
            arrival.at,
        )
        take(arrival.at, slots.submit(call, arrival.at))
    return outcome


class TestOverloadPattern:
    """A service at 130% of its room for 20 s."""

    def test_nearly_all_room_goes_to_answers_in_time(self) -> None:
        for seed in range(5):
            arrivals = list(draw_arrivals(seed, 20.0, 1.3, 12))
            outcome = replay(arrivals, SlotScheduler(12))
            served = outcome.in_time + outcome.late
            # The room is 1 / 1.3 of the calls, less what runs at the ends of the pattern.
            assert served > 0.74 * len(arrivals)
            assert outcome.in_time > 0.9 * served

    def test_below_its_room_a_service_refuses_almost_nothing(self) -> None:
        for seed in range(5):
            arrivals = list(draw_arrivals(seed, 20.0, 0.8, 12))
            outcome = replay(arrivals, SlotScheduler(12))
            assert outcome.refused <= 0.01 * len(arrivals)
