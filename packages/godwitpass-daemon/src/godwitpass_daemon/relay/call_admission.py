"""Admission of callers' requests: who sends them, and whether they may be forwarded."""

from collections.abc import Callable

from godwitpass.document import Customer
from godwitpass.internal.customers.directory import Caller, CallerKind, NestedCall
from godwitpass.internal.relay.routes import RelayRoute, RelayTable
from godwitpass_daemon.relay.headers import HeaderNames, RequestHead, RequestRejected

ANONYMOUS_CALLER = Caller(CallerKind.ANONYMOUS)

FindNestedCall = Callable[[str], NestedCall]


class CallAdmission:
    """Identifies the sender of a request by its key, and decides whether the request may run."""

    def __init__(self, header_names: HeaderNames, find_nested_call: FindNestedCall) -> None:
        self._header_names = header_names
        self._find_nested_call = find_nested_call

    def check(self, table: RelayTable, route: RelayRoute, head: RequestHead) -> Caller:
        """Return the sender of a request; raise `RequestRejected` if it must not run."""
        if not table.customers.has_customers:
            return ANONYMOUS_CALLER
        nested = self._find_nested_call(head.request_id)
        caller = table.customers.identify(head.key_digest, route.is_anonymous, nested)
        if caller.kind is CallerKind.MISSING_KEY:
            raise RequestRejected(401, "no key")
        if caller.kind is CallerKind.UNKNOWN_KEY:
            raise RequestRejected(401, "unknown key")
        if caller.kind is CallerKind.ENDED_PARENT:
            raise RequestRejected(503, "the outer call has ended")
        return caller

    def admit(self, table: RelayTable, route: RelayRoute, head: RequestHead) -> Caller:
        """Check a request that starts now, and put its customer's name in place of its key."""
        caller = self.check(table, route, head)
        if table.customers.has_customers:
            head.identify(_encode_name(caller.customer), self._header_names)
        return caller


def _encode_name(customer: Customer | None) -> bytes:
    return customer.name.encode() if customer is not None else b""
