"""Admission of callers' requests: who sends them, and whether they may be forwarded."""

import time
from collections.abc import Callable

import msgspec

from godwitpass.document import Customer
from godwitpass.ids import CustomerName, Version
from godwitpass.internal.customers.counts import NO_CUSTOMER, AdmissionEvent, CustomerCounts
from godwitpass.internal.customers.directory import Caller, CallerKind, NestedCall
from godwitpass.internal.freshness.settings import FreshnessSettings
from godwitpass.internal.quotas.interface import (
    OnQuotaDecision,
    Permit,
    QuotaAdmitted,
    QuotaDecision,
    QuotaGate,
    QuotaRefused,
)
from godwitpass.internal.relay.routes import RelayRoute, RelayTable
from godwitpass_daemon.relay.headers import HeaderNames, RequestHead, RequestRejected

ANONYMOUS_CALLER = Caller(CallerKind.ANONYMOUS)
NO_PERMIT = Permit(-1)
"""Permit of a call without a rate limit."""

TOO_MANY_REQUESTS = 429
NO_PROOF_AGE_S = -1.0
UNBOUNDED_MS = -1
"""A call without a bound on the time at which it may start."""

MISSING_KEY_REASON = "no key"
UNKNOWN_KEY_REASON = "unknown key"
REJECTION_EVENTS = {
    MISSING_KEY_REASON: AdmissionEvent.MISSING_KEY,
    UNKNOWN_KEY_REASON: AdmissionEvent.UNKNOWN_KEY,
}

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

    def __init__(
        self,
        header_names: HeaderNames,
        find_nested_call: FindNestedCall,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._now = now
        self.counts = CustomerCounts()
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
            raise RequestRejected(401, MISSING_KEY_REASON)
        if caller.kind is CallerKind.UNKNOWN_KEY:
            raise RequestRejected(401, UNKNOWN_KEY_REASON)
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
            self._count(caller, AdmissionEvent.NO_PROOF)
            raise RequestRejected(503, "the version held may not be the newest")
        return caller

    def admit(self, table: RelayTable, route: RelayRoute, head: RequestHead) -> Caller:
        """Check a request that starts now, and put its customer's name in place of its key."""
        caller = self.check(table, route, head)
        if table.customers.has_customers:
            head.identify(_encode_name(caller.customer), self._header_names)
        return caller

    def record_start(self, caller: Caller) -> None:
        """Count a request that is forwarded, if the document has customers."""
        if caller is not ANONYMOUS_CALLER:
            is_nested = caller.kind is CallerKind.NESTED
            self._count(caller, AdmissionEvent.NESTED if is_nested else AdmissionEvent.ADMITTED)

    def confirm_rejection(
        self, rejection: RequestRejected, table: RelayTable | None, version: Version
    ) -> RequestRejected:
        """Return `rejection`, decided by `version`, or a refusal if a later one may allow it."""
        confirmed = self._confirm_rejection(rejection, table, version)
        event = REJECTION_EVENTS.get(confirmed.reason)
        if event is not None or confirmed is not rejection:
            self.counts.record(NO_CUSTOMER, event or AdmissionEvent.UNCERTAIN, self._now())
        return confirmed

    def _confirm_rejection(
        self, rejection: RequestRejected, table: RelayTable | None, version: Version
    ) -> RequestRejected:
        if rejection.status not in (401, 404) or table is None or not self.needs_proof(table):
            return rejection
        assert self.proofs is not None, "a proof is needed only where there are proofs"
        age_s = self.proofs.compute_age(version) if version == table.version else None
        if age_s is not None and age_s < self.proofs.settings.apply_s:
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

    def compute_proof_age_s(self, table: RelayTable | None) -> float:
        """Return the age of the proof for the version held; -1 if there is none."""
        if self.proofs is None or table is None:
            return NO_PROOF_AGE_S
        age_s = self.proofs.compute_age(table.version)
        return NO_PROOF_AGE_S if age_s is None else age_s

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
            self._count_refusal(caller, decision)
            on_decision(decision)

        decision = gate.acquire(customer.name, handle_late_decision)
        if decision is None:
            self.waiting_count += 1
        else:
            self._count_refusal(caller, decision)
        return decision

    def release(self, caller: Caller, permit: Permit) -> None:
        """Return the permit of a call that never reached an upstream."""
        if permit != NO_PERMIT and self.quota_gate is not None and caller.customer is not None:
            self.quota_gate.release(caller.customer.name, permit)

    def _count_refusal(self, caller: Caller, decision: QuotaDecision) -> None:
        if isinstance(decision, QuotaRefused):
            is_over_limit = decision.status == TOO_MANY_REQUESTS
            self._count(
                caller,
                AdmissionEvent.OVER_LIMIT if is_over_limit else AdmissionEvent.LIMIT_UNKNOWN,
            )

    def _count(self, caller: Caller, event: AdmissionEvent) -> None:
        name = CustomerName(NO_CUSTOMER) if caller.customer is None else caller.customer.name
        self.counts.record(name, event, self._now())


def _encode_name(customer: Customer | None) -> bytes:
    return customer.name.encode() if customer is not None else b""
