"""Tests of resolving policies."""

from godwitpass.document import Document, Execution, Policy, Route
from godwitpass.ids import PolicyName, RouteName, ServiceName
from godwitpass.policy import DEFAULT_QUEUE_MS, resolve_policies, resolve_policy

BASE = Policy(PolicyName("base"), execution=Execution.IDEMPOTENT, timeout_ms=900)
CHILD = Policy(PolicyName("child"), extends=BASE.name, timeout_ms=200, attempts=3)
ROUTE = Route(RouteName("r"), "/", ServiceName("maal"), policy=CHILD.name)


class TestResolvedPolicy:
    def test_the_nearest_set_field_wins_over_ancestors_and_defaults(self) -> None:
        resolved = resolve_policy(Document(1, policies=(CHILD, BASE)), ROUTE)
        assert (resolved.timeout_ms, resolved.attempts) == (200, 3)
        assert resolved.execution is Execution.IDEMPOTENT
        assert resolved.queue_ms == DEFAULT_QUEUE_MS

    def test_resolving_all_policies_agrees_with_resolving_each(self) -> None:
        document = Document(1, policies=(CHILD, BASE), routes=(ROUTE,))
        assert resolve_policies(document)[CHILD.name] == resolve_policy(document, ROUTE)
        assert resolve_policies(document)[None].attempts == 1
