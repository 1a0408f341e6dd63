"""Decisions whether to retry a call."""

from enum import Enum

import msgspec

from godwitpass.document import Execution
from godwitpass.internal.retrying.budget import RetryBudget
from godwitpass.policy import ResolvedPolicy

MAX_UNSENT_ATTEMPTS = 3
"""Attempts of one call that may fail before anything is sent; they put no load on upstreams."""


class ExecutionCertainty(Enum):
    """Whether a failed attempt may have run at the upstream."""

    UNSENT = 0
    """No byte was sent."""

    REFUSED = 1
    """The upstream declared that it did not run the request."""

    UNCERTAIN = 2
    """The request may have run, partly or completely."""


class FailedAttempt(msgspec.Struct, frozen=True):
    """A failed attempt of a call.

    `sent_attempts` and `unsent_attempts` count the attempts of the call so far, with and without
    any byte sent. `is_replayable` tells that the complete request body is still buffered.
    `is_retry` marks a call that is itself a retry or hedge of an earlier hop; it isn't retried
    again, so that retries don't multiply along a chain of calls.
    """

    certainty: ExecutionCertainty
    sent_attempts: int
    unsent_attempts: int
    is_replayable: bool
    is_retry: bool


def may_retry(failed: FailedAttempt, policy: ResolvedPolicy, budget: RetryBudget) -> bool:
    """Return whether to send the call again; spends `budget` if upstreams may see the retry."""
    assert failed.sent_attempts + failed.unsent_attempts >= 1, "count the failed attempt itself"
    if not failed.is_replayable:
        return False
    if failed.certainty is ExecutionCertainty.UNSENT:
        return failed.unsent_attempts < MAX_UNSENT_ATTEMPTS
    if failed.is_retry or failed.sent_attempts >= policy.attempts:
        return False
    if policy.execution is Execution.ONCE:
        return False
    if (
        failed.certainty is ExecutionCertainty.UNCERTAIN
        and policy.execution is not Execution.IDEMPOTENT
    ):
        return False
    return budget.withdraw()
