"""What one call asks of the guards, and what it tells them."""

from godwitpass.internal.calls.outcomes import Outcome
from godwitpass.internal.routing.table import CompiledRoute
from godwitpass_daemon.edge.bodies import RequestBody
from godwitpass_daemon.edge.guards import RequestDescriptor, ClaimGuard, CrashGuard, ClaimVerdict
from godwitpass_daemon.edge.heads import RequestHead
from godwitpass_daemon.edge.timers import CallTimers


class CallChecks:
    """The guards as one call sees them; facts are collected when the first guard needs them."""

    __slots__ = ("_body", "_claimed", "_claims", "_crashes", "_facts", "_head", "_route", "_timers")

    def __init__(
        self,
        claims: ClaimGuard | None,
        crashes: CrashGuard | None,
        head: RequestHead,
        body: RequestBody,
        route: CompiledRoute,
        timers: CallTimers,
    ) -> None:
        self._claims = claims
        self._crashes = crashes
        self._head = head
        self._body = body
        self._route = route
        self._timers = timers
        self._facts: RequestDescriptor | None = None
        self._claimed = False

    def is_refused(self) -> bool:
        """Whether the request crashed too many upstreams."""
        return self._crashes is not None and self._crashes.is_refused(self._collect_facts())

    def report_crash(self) -> None:
        """Tell that an upstream's connection broke while it ran the request."""
        if self._crashes is not None:
            self._crashes.report_crash(self._collect_facts())

    async def claim(self) -> ClaimVerdict:
        """Ask whether an at-most-once call may be sent."""
        if self._claims is None:
            return ClaimVerdict.UNAVAILABLE
        verdict = await self._claims.claim(self._collect_facts())
        self._claimed = verdict is ClaimVerdict.FIRST
        return verdict

    def settle(self, outcome: Outcome | None) -> None:
        """Tell how a claimed call ended; None means that it was answered."""
        if self._claimed and self._claims is not None:
            self._claimed = False
            self._claims.settle(self._collect_facts(), outcome)

    def _collect_facts(self) -> RequestDescriptor:
        if self._facts is None:
            remaining = self._timers.measure_remaining()
            timeout_s = self._route.policy.timeout_ms / 1000 if remaining is None else remaining
            self._facts = RequestDescriptor(
                service=self._route.service.name,
                route=self._route.route.name,
                method=self._head.method,
                target=self._head.target.raw,
                idempotency_key=self._head.idempotency_key,
                body=self._body.peek(),
                timeout_s=timeout_s,
            )
        return self._facts
