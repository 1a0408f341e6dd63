"""The memory that requests take together."""

import msgspec

from godwitpass_daemon.relay.request_budget import RequestBudget

LIMIT_BYTES = 1_000_000
LARGE_BYTES = 3_000_000
MAX_SINGLE_BYTES = 4_000_000
SMALL_BYTES = 10_000


class Request(msgspec.Struct, eq=False):
    """A request that is complete and holds memory."""

    held_bytes: int


def hold(budget: RequestBudget, size_bytes: int) -> tuple[Request, bool]:
    """Hold memory for a further request; return the request and whether there was room."""
    budget.held_bytes += size_bytes
    request = Request(size_bytes)
    return request, budget.has_room(size_bytes, request)


def release(budget: RequestBudget, request: Request) -> None:
    budget.held_bytes -= request.held_bytes
    request.held_bytes = 0


class TestSingleLargeRequest:
    def test_a_request_larger_than_the_budget_is_served_and_leaves_room_for_others(self) -> None:
        budget = RequestBudget(LIMIT_BYTES, MAX_SINGLE_BYTES)
        assert hold(budget, LARGE_BYTES)[1]
        assert hold(budget, SMALL_BYTES)[1]

    def test_a_second_one_has_to_wait_for_the_end_of_the_first(self) -> None:
        budget = RequestBudget(LIMIT_BYTES, MAX_SINGLE_BYTES)
        first, _ = hold(budget, LARGE_BYTES)
        second, is_served = hold(budget, LARGE_BYTES)
        assert not is_served
        release(budget, second)
        release(budget, first)
        assert hold(budget, LARGE_BYTES)[1]

    def test_a_request_beyond_its_bound_is_refused(self) -> None:
        budget = RequestBudget(LIMIT_BYTES, MAX_SINGLE_BYTES)
        assert not hold(budget, MAX_SINGLE_BYTES + 1)[1]
