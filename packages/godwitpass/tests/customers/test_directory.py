"""Guards against calls that run for the wrong customer, or without a valid key."""

import pytest

from godwitpass.customers import digest_key
from godwitpass.document import Customer
from godwitpass.ids import CustomerName
from godwitpass.internal.customers.counts import (
    MAX_COUNTED_CUSTOMERS,
    OTHER_CUSTOMERS,
    AdmissionEvent,
    CustomerCounts,
)
from godwitpass.internal.customers.directory import (
    CallerKind,
    CustomerDirectory,
    NestedCall,
    compile_customers,
)
from godwitpass.internal.relay.ended_calls import MAX_ENDED_CALLS, EndedCalls

NORTH = Customer(CustomerName("north"), (digest_key("n1"), digest_key("n2")), priority=3)
SOUTH = Customer(CustomerName("south"), (digest_key("s1"),))
DIRECTORY = compile_customers([NORTH, SOUTH])
NONE, RUNNING, ENDED = NestedCall


@pytest.mark.parametrize(
    ("key_digest", "is_anonymous", "nested", "expected"),
    [
        (digest_key("n2"), False, NONE, CallerKind.CUSTOMER),
        (digest_key("n1"), True, RUNNING, CallerKind.CUSTOMER),
        (digest_key("x"), False, RUNNING, CallerKind.UNKNOWN_KEY),
        (digest_key("x"), True, NONE, CallerKind.ANONYMOUS),
        ("", False, ENDED, CallerKind.UNKNOWN_KEY),
        (None, False, NONE, CallerKind.MISSING_KEY),
        (None, True, NONE, CallerKind.ANONYMOUS),
        (None, False, RUNNING, CallerKind.NESTED),
        (None, False, ENDED, CallerKind.ENDED_PARENT),
    ],
)
def test_a_caller_is_identified_by_key_route_and_outer_call(
    key_digest: str | None, is_anonymous: bool, nested: NestedCall, expected: CallerKind
) -> None:
    caller = DIRECTORY.identify(key_digest, is_anonymous, nested)
    assert caller.kind is expected
    assert (caller.customer is not None) == (expected is CallerKind.CUSTOMER)


def test_a_key_of_two_customers_is_valid_for_neither() -> None:
    directory = compile_customers([NORTH, Customer(CustomerName("copy"), (digest_key("n1"),))])
    assert directory.identify(digest_key("n1"), False, NONE).kind is CallerKind.UNKNOWN_KEY
    assert directory.identify(digest_key("n2"), False, NONE).customer is NORTH


def test_customers_without_keys_still_require_one() -> None:
    directory = compile_customers([Customer(CustomerName("empty"))])
    assert directory.identify(None, False, NONE).kind is CallerKind.MISSING_KEY
    assert CustomerDirectory().identify(None, False, NONE).kind is CallerKind.ANONYMOUS


def test_the_priority_of_a_customer_goes_before_the_default() -> None:
    assert DIRECTORY.identify(digest_key("n1"), False, NONE).priority == 3
    assert DIRECTORY.identify(digest_key("s1"), False, NONE).priority == 1
    assert DIRECTORY.identify(None, False, RUNNING).priority < 0


def test_counts_have_a_bounded_number_of_customers() -> None:
    counts = CustomerCounts()
    for number in range(MAX_COUNTED_CUSTOMERS + 3):
        counts.record(CustomerName(f"c{number}"), AdmissionEvent.ADMITTED, 5.0)
    assert counts.totals[(OTHER_CUSTOMERS, AdmissionEvent.ADMITTED)] == 3
    assert len(counts.totals) == MAX_COUNTED_CUSTOMERS + 1
    assert counts.compute_rate_per_s(CustomerName("c1"), 10.0) == pytest.approx(0.1)
    assert counts.compute_rate_per_s(CustomerName("c1"), 15.0) == pytest.approx(1 / 15)
    assert counts.compute_rate_per_s(CustomerName("c1"), 45.0) == 0.0


def test_ended_calls_are_forgotten_and_bounded() -> None:
    calls = EndedCalls(0.0)
    assert calls.may_contain("unknown", 14.9)
    for number in range(MAX_ENDED_CALLS + 1):
        calls.record(str(number), 20.0)
    assert not calls.may_contain("0", 20.0)
    assert calls.may_contain("1", 34.9)
    assert not calls.may_contain("1", 35.0)
