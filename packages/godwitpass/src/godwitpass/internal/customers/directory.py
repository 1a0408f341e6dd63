"""The customers of one version, found by the digests of their keys."""

from collections.abc import Iterable
from enum import Enum

import msgspec

from godwitpass.document import Customer
from godwitpass.ids import CustomerName
from godwitpass.internal.relay.admission import NESTED_CALL_PRIORITY
from godwitpass.policy import DEFAULT_PRIORITY


class CallerKind(Enum):
    """Who sent a request, as far as its key and its route tell.

    `NESTED` is a call that an upstream makes while it runs another one. `ENDED_PARENT` is one whose
    outer call has ended. `MISSING_KEY` and `UNKNOWN_KEY` are requests that need a valid key.
    """

    CUSTOMER = "customer"
    ANONYMOUS = "anonymous"
    NESTED = "nested"
    ENDED_PARENT = "ended-parent"
    MISSING_KEY = "missing-key"
    UNKNOWN_KEY = "unknown-key"


class Caller(msgspec.Struct, frozen=True):
    """The sender of a request; `customer` is set for the kind `CUSTOMER` only."""

    kind: CallerKind
    customer: Customer | None = None

    @property
    def priority(self) -> int:
        """Return the priority that goes before that of the route."""
        if self.kind is CallerKind.NESTED:
            return NESTED_CALL_PRIORITY
        if self.customer is None or self.customer.priority is None:
            return DEFAULT_PRIORITY
        return self.customer.priority


class NestedCall(Enum):
    """What the id of a request tells about the call that it is part of."""

    NONE = 0
    OUTER_IN_PROGRESS = 1
    OUTER_MAY_HAVE_ENDED = 2


class CustomerDirectory(msgspec.Struct, frozen=True):
    """The customers of one version by the digest of each of their keys, and by name."""

    by_digest: dict[str, Customer] = {}
    by_name: dict[CustomerName, Customer] = {}

    @property
    def has_customers(self) -> bool:
        """Return whether requests need a key."""
        return bool(self.by_name)

    def identify(
        self, key_digest: str | None, is_route_anonymous: bool, nested: NestedCall
    ) -> Caller:
        """Tell who sent a request; `key_digest` is None without a key, "" for an unusable one.

        An unknown key is not excused by the request's id, which its sender chooses.
        """
        customer = self.by_digest.get(key_digest) if key_digest else None
        if customer is not None:
            return Caller(CallerKind.CUSTOMER, customer)
        if key_digest is None and nested is NestedCall.OUTER_IN_PROGRESS:
            return Caller(CallerKind.NESTED)
        if is_route_anonymous or not self.has_customers:
            return Caller(CallerKind.ANONYMOUS)
        if key_digest is not None:
            return Caller(CallerKind.UNKNOWN_KEY)
        if nested is NestedCall.OUTER_MAY_HAVE_ENDED:
            return Caller(CallerKind.ENDED_PARENT)
        return Caller(CallerKind.MISSING_KEY)


def compile_customers(customers: Iterable[Customer]) -> CustomerDirectory:
    """Compile the customers of a version; a key that several hold is valid for none of them.

    Either of them might otherwise be charged for the calls of the other one.
    """
    by_digest: dict[str, Customer] = {}
    ambiguous_digests: set[str] = set()
    by_name: dict[CustomerName, Customer] = {}
    for customer in customers:
        by_name[customer.name] = customer
        for digest in customer.key_digests:
            if by_digest.setdefault(digest, customer) is not customer:
                ambiguous_digests.add(digest)
    for digest in ambiguous_digests:
        del by_digest[digest]
    return CustomerDirectory(by_digest, by_name)
