"""The decision to repeat a failed attempt."""

from enum import Enum

import msgspec

from godwitpass.document import Execution
from godwitpass.internal.retrying.budget import RetryBudget
from godwitpass.policy import ResolvedPolicy

MAX_UNSENT_ATTEMPTS = 3
"""Attempts of one call that failed before anything was sent; they cost upstreams nothing."""


class ExecutionCertainty(Enum):
    """What is known of a failed attempt."""

    UNSENT = 0
    """No byte reached the wire."""

    REFUSED = 1
    """The upstream said that it did not run the request."""

    UNCERTAIN = 2
    """It may have run, in part or whole."""


class FailedAttempt(msgspec.Struct, frozen=True):
    """One attempt that brought no answer; `replayable` means that its body is still held whole.

    `is_retry` marks calls that some hop above sends again: the hop nearest to the failure decides,
    so that retries don't multiply along the depth.
    """

    certainty: ExecutionCertainty
    sent: int
    unsent: int
    replayable: bool
    is_retry: bool


def may_retry(failed: FailedAttempt, policy: ResolvedPolicy, budget: RetryBudget) -> bool:
    """Tell whether to send the call once more; draws on `budget` where upstreams pay for it."""
    assert failed.sent + failed.unsent >= 1, "an attempt was made"
    if not failed.replayable:
        return False
    if failed.certainty is ExecutionCertainty.UNSENT:
        return failed.unsent < MAX_UNSENT_ATTEMPTS
    if failed.is_retry or failed.sent >= policy.attempts:
        return False
    if policy.execution is Execution.ONCE:
        return False
    if failed.certainty is ExecutionCertainty.UNCERTAIN and policy.execution is not Execution.IDEMPOTENT:
        return False
    return budget.withdraw()


def may_hedge(policy: ResolvedPolicy, method: str, is_retry: bool) -> bool:
    """Tell whether a second attempt may run beside a slow first one."""
    reads = method in ("GET", "HEAD")
    idempotent = policy.execution is Execution.IDEMPOTENT
    return reads and idempotent and policy.attempts > 1 and not is_retry
