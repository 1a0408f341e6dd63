"""Use of the claim and crash guards by one call."""

from godwitpass.internal.calls.outcomes import Outcome
from godwitpass.internal.routing.table import CompiledRoute
from godwitpass_daemon.edge.bodies import RequestBody
from godwitpass_daemon.edge.guards import ClaimGuard, ClaimVerdict, CrashGuard, RequestDescriptor
from godwitpass_daemon.edge.heads import RequestHead
from godwitpass_daemon.edge.timers import CallTimers


class CallGuards:
    """Calls the guards for one request, whose descriptor is built on first use."""

    __slots__ = (
        "_body",
        "_claim_guard",
        "_crash_guard",
        "_descriptor",
        "_head",
        "_is_claimed",
        "_route",
        "_timers",
    )

    def __init__(
        self,
        claim_guard: ClaimGuard | None,
        crash_guard: CrashGuard | None,
        head: RequestHead,
        body: RequestBody,
        route: CompiledRoute,
        timers: CallTimers,
    ) -> None:
        self._claim_guard = claim_guard
        self._crash_guard = crash_guard
        self._head = head
        self._body = body
        self._route = route
        self._timers = timers
        self._descriptor: RequestDescriptor | None = None
        self._is_claimed = False

    def is_refused(self) -> bool:
        """Return whether the request crashed too many upstreams."""
        return self._crash_guard is not None and self._crash_guard.is_refused(
            self._build_descriptor()
        )

    def report_crash(self) -> None:
        """Report that an upstream's connection broke while it ran the request."""
        if self._crash_guard is not None:
            self._crash_guard.report_crash(self._build_descriptor())

    async def claim(self) -> ClaimVerdict:
        """Claim an at-most-once call; the verdict tells whether it may be sent."""
        if self._claim_guard is None:
            return ClaimVerdict.UNAVAILABLE
        verdict = await self._claim_guard.claim(self._build_descriptor())
        self._is_claimed = verdict is ClaimVerdict.FIRST
        return verdict

    def settle(self, outcome: Outcome | None) -> None:
        """Report how a call ended; None means that an upstream responded."""
        if self._is_claimed and self._claim_guard is not None:
            self._is_claimed = False
            self._claim_guard.settle(self._build_descriptor(), outcome)
        if outcome is None and self._crash_guard is not None:
            self._crash_guard.record_completed(
                self._route.service.name, self._head.method.encode(), self._head.target.raw
            )
            self._crash_guard.record_ended(self._build_descriptor(), has_succeeded=True)

    def _build_descriptor(self) -> RequestDescriptor:
        if self._descriptor is None:
            remaining_s = self._timers.compute_remaining_s()
            timeout_s = self._route.policy.timeout_ms / 1000 if remaining_s is None else remaining_s
            self._descriptor = RequestDescriptor(
                service=self._route.service.name,
                route=self._route.route.name,
                method=self._head.method,
                target=self._head.target.raw,
                idempotency_key=self._head.idempotency_key,
                body=self._body.read_buffered(),
                timeout_s=timeout_s,
            )
        return self._descriptor
