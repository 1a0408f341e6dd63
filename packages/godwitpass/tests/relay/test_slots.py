import random
from collections.abc import Iterator

import msgspec

from godwitpass.ids import RouteName
from godwitpass.internal.relay.admission import CALLED_RANK, Slots, Ticket

READ = RouteName("read")
ORDER = RouteName("order")


def build_ticket(
    number: int,
    now: float,
    rank: int = 1,
    objective_s: float = 0.5,
    timeout_s: float = 2.0,
    route: RouteName = READ,
) -> Ticket:
    return Ticket(number, route, rank, now + objective_s, now + timeout_s, now)


class TestRoom:
    def test_a_call_starts_at_once_while_a_slot_is_free(self) -> None:
        slots = Slots(2)
        decision = slots.offer(build_ticket(1, 0.0), 0.0)
        assert [ticket.number for ticket in decision.start] == [1]

    def test_no_more_calls_run_than_there_are_slots(self) -> None:
        slots = Slots(2)
        for number in range(5):
            slots.offer(build_ticket(number, 0.0), 0.0)
        assert (len(slots.running), len(slots.waiting)) == (2, 3)

    def test_a_freed_slot_goes_to_the_call_with_the_earliest_objective(self) -> None:
        slots = Slots(1)
        slots.offer(build_ticket(1, 0.0), 0.0)
        slots.offer(build_ticket(2, 0.0, objective_s=0.9), 0.0)
        slots.offer(build_ticket(3, 0.0, objective_s=0.4), 0.0)
        decision = slots.finish(1, 0.1, completed=True)
        assert [ticket.number for ticket in decision.start] == [3]

    def test_a_withdrawn_call_leaves_the_queue(self) -> None:
        slots = Slots(1)
        slots.offer(build_ticket(1, 0.0), 0.0)
        slots.offer(build_ticket(2, 0.0), 0.0)
        assert slots.withdraw(2)
        assert not slots.finish(1, 0.1, completed=True).start


class TestOrder:
    def test_a_call_of_a_running_upstream_goes_before_all_others(self) -> None:
        slots = Slots(1)
        slots.offer(build_ticket(1, 0.0), 0.0)
        slots.offer(build_ticket(2, 0.0, rank=0, objective_s=0.2), 0.0)
        slots.offer(build_ticket(3, 0.0, rank=CALLED_RANK, objective_s=0.4), 0.0)
        decision = slots.finish(1, 0.05, completed=True)
        assert [ticket.number for ticket in decision.start] == [3]

    def test_a_called_call_past_its_objective_still_goes_first(self) -> None:
        slots = Slots(1)
        slots.offer(build_ticket(1, 0.0), 0.0)
        slots.offer(build_ticket(2, 0.0, rank=CALLED_RANK, objective_s=0.1, timeout_s=0.6), 0.0)
        slots.offer(build_ticket(3, 0.15, rank=1, objective_s=1.0), 0.15)
        decision = slots.finish(1, 0.2, completed=True)
        assert [ticket.number for ticket in decision.start] == [2]

    def test_a_call_that_can_still_meet_its_objective_goes_before_a_late_one(self) -> None:
        slots = Slots(1)
        slots.offer(build_ticket(1, 0.0), 0.0)
        slots.offer(build_ticket(2, 0.0, objective_s=0.2, timeout_s=4.0), 0.0)
        slots.offer(build_ticket(3, 0.2, objective_s=0.5), 0.2)
        decision = slots.finish(1, 0.25, completed=True)
        assert [ticket.number for ticket in decision.start] == [3]

    def test_rank_decides_between_kinds(self) -> None:
        slots = Slots(1)
        slots.offer(build_ticket(1, 0.0), 0.0)
        slots.offer(build_ticket(2, 0.0, rank=2, objective_s=0.3), 0.0)
        slots.offer(build_ticket(3, 0.0, rank=1, objective_s=0.9), 0.0)
        decision = slots.finish(1, 0.1, completed=True)
        assert [ticket.number for ticket in decision.start] == [3]


class TestRefusal:
    def test_a_call_that_would_wait_past_its_bound_is_refused_at_once(self) -> None:
        slots = Slots(1)
        refused: list[int] = []
        for number in range(20):
            decision = slots.offer(build_ticket(number, 0.0), 0.0)
            refused += [ticket.number for ticket, _ in decision.refuse]
        assert refused
        assert len(slots.waiting) + len(slots.running) + len(refused) == 20

    def test_a_refusal_says_when_room_is_expected(self) -> None:
        slots = Slots(1)
        for number in range(20):
            for _, retry_s in slots.offer(build_ticket(number, 0.0), 0.0).refuse:
                assert 0.0 < retry_s < 2.0

    def test_a_waiting_call_is_refused_as_soon_as_it_is_hopeless(self) -> None:
        slots = Slots(1)
        slots.offer(build_ticket(1, 0.0, timeout_s=10.0), 0.0)
        slots.offer(build_ticket(2, 0.0, objective_s=0.3, timeout_s=0.6), 0.0)
        due = slots.next_review()
        assert due < 0.6
        assert [ticket.number for ticket, _ in slots.review(due + 0.01).refuse] == [2]


class Arrival(msgspec.Struct):
    at: float
    number: int
    rank: int
    route: RouteName
    work_s: float
    objective_s: float
    timeout_s: float


def draw_arrivals(seed: int, length_s: float, load: float, slots: int) -> Iterator[Arrival]:
    """Draw Poisson arrivals that need `load` times the slots there are."""
    rng = random.Random(seed)
    mean_work_s = 0.2
    rate = load * slots / mean_work_s
    at, number = 0.0, 0
    while at < length_s:
        at += rng.expovariate(rate)
        number += 1
        work_s = rng.uniform(0.1, 0.3)
        yield Arrival(at, number, 1, READ, work_s, 0.6, 2.0)


class Outcome(msgspec.Struct):
    in_time: int = 0
    late: int = 0
    refused: int = 0


def replay(arrivals: list[Arrival], slots: Slots) -> Outcome:
    """Run the arrivals through `slots` in virtual time."""
    outcome = Outcome()
    by_number = {arrival.number: arrival for arrival in arrivals}
    ends: list[tuple[float, int]] = []

    def take(decision_at: float, decision: object) -> None:
        assert hasattr(decision, "start") and hasattr(decision, "refuse")
        for ticket in decision.start:
            ends.append((decision_at + by_number[ticket.number].work_s, ticket.number))
        outcome.refused += len(decision.refuse)

    pending = list(arrivals)
    while pending or ends:
        ends.sort()
        if ends and (not pending or ends[0][0] <= pending[0].at):
            at, number = ends.pop(0)
            arrival = by_number[number]
            if at <= arrival.at + arrival.objective_s:
                outcome.in_time += 1
            else:
                outcome.late += 1
            take(at, slots.finish(number, at, completed=True))
            continue
        arrival = pending.pop(0)
        ticket = Ticket(
            arrival.number,
            arrival.route,
            arrival.rank,
            arrival.at + arrival.objective_s,
            arrival.at + arrival.timeout_s,
            arrival.at,
        )
        take(arrival.at, slots.offer(ticket, arrival.at))
    return outcome


class TestOverloadPattern:
    """A service at 130% of its room for 20 s."""

    def test_nearly_all_room_goes_to_answers_in_time(self) -> None:
        for seed in range(5):
            arrivals = list(draw_arrivals(seed, 20.0, 1.3, 12))
            outcome = replay(arrivals, Slots(12))
            served = outcome.in_time + outcome.late
            # The room is 1 / 1.3 of the calls, less what runs at the ends of the pattern.
            assert served > 0.74 * len(arrivals)
            assert outcome.in_time > 0.9 * served

    def test_below_its_room_a_service_refuses_almost_nothing(self) -> None:
        for seed in range(5):
            arrivals = list(draw_arrivals(seed, 20.0, 0.8, 12))
            outcome = replay(arrivals, Slots(12))
            assert outcome.refused <= 0.01 * len(arrivals)
