"""Admission of callers' requests: who sends them, and whether they may be forwarded."""

from collections.abc import Callable

import msgspec

from godwitpass.document import Customer
from godwitpass.ids import Version
from godwitpass.internal.customers.directory import Caller, CallerKind, NestedCall
from godwitpass.internal.freshness.settings import FreshnessSettings
from godwitpass.internal.quotas.interface import (
    OnQuotaDecision,
    Permit,
    QuotaAdmitted,
    QuotaDecision,
    QuotaGate,
)
from godwitpass.internal.relay.routes import RelayRoute, RelayTable
from godwitpass_daemon.relay.headers import HeaderNames, RequestHead, RequestRejected

ANONYMOUS_CALLER = Caller(CallerKind.ANONYMOUS)
NO_PERMIT = Permit(-1)
"""Permit of a call without a rate limit."""

UNBOUNDED_MS = -1
"""A call without a bound on the time at which it may start."""

FindNestedCall = Callable[[str], NestedCall]
ComputeAge = Callable[[Version], float | None]
"""Returns how long ago a version is known to have been the newest, read from the clock now."""


class ProofSource(msgspec.Struct, frozen=True):
    """Freshness proofs, obtained while the document has customers or with `is_permanent`."""

    settings: FreshnessSettings
    compute_age: ComputeAge
    is_permanent: bool


class CallAdmission:
    """Identifies the sender of a request by its key, and decides whether the request may run.

    Without `proofs`, the version held counts as the newest. `waiting_count` is the number of
    requests that wait for a decision of the quota gate.
    """

    def __init__(self, header_names: HeaderNames, find_nested_call: FindNestedCall) -> None:
        self._header_names = header_names
        self._find_nested_call = find_nested_call
        self.proofs: ProofSource | None = None
        self.quota_gate: QuotaGate | None = None
        self.waiting_count = 0

    def identify(self, table: RelayTable, route: RelayRoute, head: RequestHead) -> Caller:
        """Return the sender of a request; raise `RequestRejected` if it lacks a valid key."""
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

    def check(self, table: RelayTable, route: RelayRoute, head: RequestHead) -> Caller:
        """Return the sender of a complete request; raise `RequestRejected` if it must not run."""
        try:
            caller = self.identify(table, route, head)
        except RequestRejected as rejection:
            raise self.confirm_rejection(rejection, table, table.version) from None
        if caller.customer is not None and not self._compute_permitted_ms(table):
            raise RequestRejected(503, "the version held may not be the newest")
        return caller

    def admit(self, table: RelayTable, route: RelayRoute, head: RequestHead) -> Caller:
        """Check a request that starts now, and put its customer's name in place of its key."""
        caller = self.check(table, route, head)
        if table.customers.has_customers:
            head.identify(_encode_name(caller.customer), self._header_names)
        return caller

    def confirm_rejection(
        self, rejection: RequestRejected, table: RelayTable | None, version: Version
    ) -> RequestRejected:
        """Return `rejection`, decided by `version`, or a refusal if a later one may allow it."""
        if rejection.status not in (401, 404) or table is None or not self.needs_proof(table):
            return rejection
        assert self.proofs is not None, "a proof is needed only where there are proofs"
        age_s = self.proofs.compute_age(version) if version == table.version else None
        if age_s is not None and age_s < self.proofs.settings.denial_s:
            return rejection
        return RequestRejected(503, f"{rejection.reason} in a version that may not be the newest")

    def needs_proof(self, table: RelayTable) -> bool:
        """Tell whether answers depend on the version held being the newest."""
        proofs = self.proofs
        return proofs is not None and (proofs.is_permanent or table.customers.has_customers)

    def compute_permitted_ms(self, caller: Caller, head: RequestHead, table: RelayTable) -> int:
        """Return how long a call may wait to start: 0 if it must not, -1 without a bound."""
        if caller.customer is None:
            return UNBOUNDED_MS
        customer = table.customers.by_digest.get(head.key_digest or "")
        if customer is None or customer.name != caller.customer.name:
            return 0
        return self._compute_permitted_ms(table)

    def _compute_permitted_ms(self, table: RelayTable) -> int:
        life_s = self.proofs.settings.permission_life_s if self.proofs is not None else None
        if self.proofs is None or life_s is None:
            return UNBOUNDED_MS
        age_s = self.proofs.compute_age(table.version)
        return 0 if age_s is None else max(0, int((life_s - age_s) * 1000))

    def acquire(self, caller: Caller, on_decision: OnQuotaDecision) -> QuotaDecision | None:
        """Return whether a call is within its customer's limit; None if that is decided later."""
        gate, customer = self.quota_gate, caller.customer
        if gate is None or customer is None or customer.rate_per_s <= 0:
            return QuotaAdmitted(NO_PERMIT)

        def handle_late_decision(decision: QuotaDecision) -> None:
            self.waiting_count -= 1
            on_decision(decision)

        decision = gate.acquire(customer.name, handle_late_decision)
        if decision is None:
            self.waiting_count += 1
        return decision

    def release(self, caller: Caller, permit: Permit) -> None:
        """Return the permit of a call that never reached an upstream."""
        if permit != NO_PERMIT and self.quota_gate is not None and caller.customer is not None:
            self.quota_gate.release(caller.customer.name, permit)


def _encode_name(customer: Customer | None) -> bytes:
    return customer.name.encode() if customer is not None else b""
