"""Resolution of policies: inheritance and default values."""

from typing import TypeVar

import msgspec

from godwitpass.document import Document, Execution, Policy, Route
from godwitpass.ids import PolicyName

T = TypeVar("T")

DEFAULT_TIMEOUT_MS = 15_000
DEFAULT_STALL_TIMEOUT_MS = 5_000
DEFAULT_ATTEMPTS = 1
DEFAULT_IDEMPOTENT_ATTEMPTS = 2
DEFAULT_QUEUE_MS = 100
DEFAULT_PRIORITY = 1

MAX_EXTENDS_DEPTH = 16
"""Maximum length of a chain of policies that extend each other."""


class ResolvedPolicy(msgspec.Struct, frozen=True):
    """How the calls on one route are handled, with every field set.

    `timeout_ms` bounds the time until the first byte of the response, and `stall_timeout_ms` the
    time that a transfer may go without progress. `attempts` includes the first one, and `queue_ms`
    bounds the wait for a slot. `objective_ms` is the time within which a response has its full
    value; it defaults to the timeout. `extra_request_share` is None where the document leaves it to
    the daemon's setting.
    """

    execution: Execution
    timeout_ms: int
    stall_timeout_ms: int
    attempts: int
    queue_ms: int
    objective_ms: int = DEFAULT_TIMEOUT_MS
    priority: int = DEFAULT_PRIORITY
    uploads: bool = False
    extra_request_share: float | None = None


def resolve_policy(document: Document, route: Route) -> ResolvedPolicy:
    """Return the resolved policy of `route` in a validated `document`.

    >>> resolve_policy(Document(1), Route("status", "/status", "status-desk")).execution
    <Execution.UNSAFE: 'unsafe'>
    """
    return _fill_defaults(_follow_extends(document, route.policy))


def resolve_policies(document: Document) -> dict[PolicyName | None, ResolvedPolicy]:
    """Resolve every policy of a validated `document`; the key None stands for "no policy"."""
    names: list[PolicyName | None] = [None, *(policy.name for policy in document.policies)]
    by_name = {policy.name: policy for policy in document.policies}
    return {name: _fill_defaults(_list_ancestry(by_name, name)) for name in names}


def _follow_extends(document: Document, name: PolicyName | None) -> list[Policy]:
    if name is None:
        return []
    return _list_ancestry({policy.name: policy for policy in document.policies}, name)


def _list_ancestry(by_name: dict[PolicyName, Policy], name: PolicyName | None) -> list[Policy]:
    ancestry: list[Policy] = []
    while name is not None:
        assert len(ancestry) < MAX_EXTENDS_DEPTH, "validation bounds the length of `extends` chains"
        policy = by_name[name]
        ancestry.append(policy)
        name = policy.extends
    return ancestry


def _fill_defaults(ancestry: list[Policy]) -> ResolvedPolicy:
    execution = _first_not_none([policy.execution for policy in ancestry], Execution.UNSAFE)
    attempts = (
        DEFAULT_IDEMPOTENT_ATTEMPTS if execution is Execution.IDEMPOTENT else DEFAULT_ATTEMPTS
    )
    timeout_ms = _first_not_none([policy.timeout_ms for policy in ancestry], DEFAULT_TIMEOUT_MS)
    return ResolvedPolicy(
        execution=execution,
        timeout_ms=timeout_ms,
        stall_timeout_ms=_first_not_none(
            [policy.stall_timeout_ms for policy in ancestry], DEFAULT_STALL_TIMEOUT_MS
        ),
        attempts=_first_not_none([policy.attempts for policy in ancestry], attempts),
        queue_ms=_first_not_none([policy.queue_ms for policy in ancestry], DEFAULT_QUEUE_MS),
        objective_ms=_first_not_none([policy.objective_ms for policy in ancestry], timeout_ms),
        priority=_first_not_none([policy.priority for policy in ancestry], DEFAULT_PRIORITY),
        uploads=_first_not_none([policy.uploads for policy in ancestry], False),
        extra_request_share=next(
            (
                policy.extra_request_share
                for policy in ancestry
                if policy.extra_request_share is not None
            ),
            None,
        ),
    )


def _first_not_none(values: list[T | None], default: T) -> T:
    return next((value for value in values if value is not None), default)
