"""Interface between the admission of calls and the rate limits of customers."""

from collections.abc import Callable
from typing import NewType, Protocol

import msgspec

from godwitpass.ids import CustomerName

Permit = NewType("Permit", int)
"""Identifies the share of a rate limit that an admitted call uses; chosen by the gate."""


class QuotaAdmitted(msgspec.Struct, frozen=True):
    """The call may run; `permit` is released if the call never reaches an upstream."""

    permit: Permit


class QuotaRefused(msgspec.Struct, frozen=True):
    """The call is refused with `status` and may come back after `retry_after_s`."""

    status: int
    reason: str
    retry_after_s: float


QuotaDecision = QuotaAdmitted | QuotaRefused
OnQuotaDecision = Callable[[QuotaDecision], None]


class QuotaGate(Protocol):
    """Decides whether a call is within the rate limit of its customer."""

    def acquire(self, customer: CustomerName, on_decision: OnQuotaDecision) -> QuotaDecision | None:
        """Return the decision; None if `on_decision` is called with it later, exactly once.

        A caller that has left by then releases the permit.
        """
        ...

    def release(self, customer: CustomerName, permit: Permit) -> None:
        """Return the permit of a call that never reached an upstream."""
        ...
