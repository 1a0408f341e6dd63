"""The slots of one upstream: which calls run, wait or are refused.

The daemon beside an upstream sees all its calls, so it knows the slots in use exactly and lets no
more run than there are. A call waits only if it can still be answered in time by what is known of
the work before it; otherwise it is refused at once.
"""

import math
from collections.abc import Iterable

import msgspec

from godwitpass.ids import RouteName
from godwitpass.internal.relay.moving_averages import RouteMeans

INITIAL_WORK_S = 0.1
"""Time that a call is expected to take on a route of which none was seen."""

WORK_GAIN = 0.1
"""Weight of the newest call in the mean time of its route."""

CALLED_RANK = -1
"""Rank of calls that a running upstream makes: turning one away wastes the work of its caller."""

PATIENCE = 0.15
"""Share of its time that a call may wait, where its objective leaves less than that.

Longer queues serve no more calls under lasting overload, and all of them late.
"""

RETRY_FLOOR_S = 0.05
"""Shortest time after which a refused caller is told to come back."""


class Ticket(msgspec.Struct):
    """One call at the upstream; times are those of the daemon's steady clock in seconds.

    Calls of a lower `rank` go first. `objective_at` is when the answer loses most of its worth and
    `deadline` when it loses all of it.
    """

    number: int
    route: RouteName
    rank: int
    objective_at: float
    deadline: float
    arrived_at: float
    started_at: float = 0.0


class Decision(msgspec.Struct, frozen=True):
    """Tickets that may start now, and those refused with the time after which to come back."""

    start: tuple[Ticket, ...] = ()
    refuse: tuple[tuple[Ticket, float], ...] = ()


class Slots:
    """Decides who runs; `limit` is the number of calls that the upstream runs at a time."""

    def __init__(self, limit: int = 1) -> None:
        self.limit = limit
        self.running: dict[int, Ticket] = {}
        self.waiting: dict[int, Ticket] = {}
        self._work_s = RouteMeans(WORK_GAIN)

    def expect_work(self, route: RouteName) -> float:
        """Return the time that a call on `route` is expected to take once it runs."""
        return self._work_s.get(route, INITIAL_WORK_S)

    def expect_wait(self, rank: int, now: float) -> float:
        """Return the time that a new call of `rank` would wait."""
        ahead = [ticket for ticket in self.waiting.values() if ticket.rank <= rank]
        return self._project_start(ahead, now)

    def offer(self, ticket: Ticket, now: float) -> Decision:
        """Take in a new call."""
        if len(self.running) < self.limit and not self.waiting:
            return Decision(start=(self._start(ticket, now),))
        self.waiting[ticket.number] = ticket
        return self.review(now)

    def is_hopeless(self, ticket: Ticket, start_at: float) -> bool:
        """Tell whether a call that starts at `start_at` is refused rather than kept waiting."""
        return start_at > self._latest_start(ticket)

    def withdraw(self, number: int) -> bool:
        """Drop a call that waits; False if it doesn't."""
        return self.waiting.pop(number, None) is not None

    def finish(self, number: int, now: float, completed: bool) -> Decision:
        """Free the slot of a call; the time of a `completed` one is learned from."""
        ticket = self.running.pop(number, None)
        if ticket is not None and completed:
            self._work_s.learn(ticket.route, now - ticket.started_at)
        return self.review(now)

    def review(self, now: float) -> Decision:
        """Start what there is room for and refuse what can't be answered in time."""
        started: list[Ticket] = []
        refused: list[tuple[Ticket, float]] = []
        queue = self._order(self.waiting.values(), now)
        ahead: list[Ticket] = []
        for ticket in queue:
            if len(self.running) < self.limit:
                if now > self._latest_start(ticket):
                    refused.append(self._refuse(ticket, now))
                    continue
                del self.waiting[ticket.number]
                started.append(self._start(ticket, now))
                continue
            if now + self._project_start(ahead, now) > self._latest_start(ticket):
                refused.append(self._refuse(ticket, now))
            else:
                ahead.append(ticket)
        return Decision(tuple(started), tuple(refused))

    def next_review(self) -> float:
        """Return when the next waiting call becomes hopeless."""
        return min(
            (self._latest_start(ticket) for ticket in self.waiting.values()), default=math.inf
        )

    def clear_waiting(self) -> list[Ticket]:
        """Drop and return all calls that wait."""
        dropped = list(self.waiting.values())
        self.waiting.clear()
        return dropped

    def _order(self, tickets: Iterable[Ticket], now: float) -> list[Ticket]:
        """Order by rank; those that can still meet their objective first, the earliest ahead."""

        def key(ticket: Ticket) -> tuple[int, bool, float]:
            if ticket.rank == CALLED_RANK:
                return ticket.rank, False, ticket.deadline
            late = now + self.expect_work(ticket.route) > ticket.objective_at
            return ticket.rank, late, ticket.objective_at

        return sorted(tickets, key=key)

    def _latest_start(self, ticket: Ticket) -> float:
        work_s = self.expect_work(ticket.route)
        last = ticket.deadline - work_s
        if ticket.rank == CALLED_RANK:
            return last
        patience_s = PATIENCE * (ticket.deadline - ticket.arrived_at)
        return min(last, max(ticket.objective_at - work_s, ticket.arrived_at + patience_s))

    def _project_start(self, ahead: list[Ticket], now: float) -> float:
        """Return the time until a slot is free for whoever comes after `ahead`."""
        free = self.limit - len(self.running) - len(ahead)
        if free > 0:
            return 0.0
        work = sum(self.expect_work(ticket.route) for ticket in ahead)
        for ticket in self.running.values():
            expected = self.expect_work(ticket.route)
            elapsed = now - ticket.started_at
            # The longer a call has run, the less is known of its end.
            work += max(expected - elapsed, 0.25 * expected)
        return work / max(1, self.limit)

    def _refuse(self, ticket: Ticket, now: float) -> tuple[Ticket, float]:
        del self.waiting[ticket.number]
        wait = self.expect_wait(ticket.rank, now)
        return ticket, max(RETRY_FLOOR_S, wait)

    def _start(self, ticket: Ticket, now: float) -> Ticket:
        ticket.started_at = now
        self.running[ticket.number] = ticket
        return ticket
