"""Review of a document beyond its validity: entries without effect, and limits that contradict."""

from collections.abc import Callable, Iterator

import msgspec

from godwitpass.document import CallerLimits, Document, Execution, Route
from godwitpass.errors import Finding, InvalidDocument
from godwitpass.ids import PolicyName, RouteName, ServiceName
from godwitpass.internal.validation.findings import Findings
from godwitpass.internal.validation.line_locator import LineLocator
from godwitpass.internal.validation.reader import read_checked_document
from godwitpass.internal.validation.text import decode_text, parse_text
from godwitpass.policy import ResolvedPolicy, resolve_policies

MAX_REFILL_S = 60.0
"""A burst that its rate refills more slowly is taken for a mistake in one of the two."""

REQUEST_LINE_BYTES = len("GET  HTTP/1.1\r\nhost: \r\n\r\n")
"""Bytes of the shortest request head beside its path and its host."""

Rule = Callable[[Document, Findings], None]


class UnreadableDocument(InvalidDocument):
    """The input is no JSON, so nothing of it can be reviewed."""


class Review(msgspec.Struct, frozen=True):
    """The findings about a document, which is None if it is invalid."""

    document: Document | None
    findings: list[Finding]


def review_document(content: bytes | str, source: str = "") -> Review:
    """Return all findings about the document in `content`; raises `UnreadableDocument`.

    >>> review_document('{"format": 1, "policies": [{"name": "p"}]}').findings[0].render()
    "line 1: /policies/0: no route uses policy 'p'; refer to it or remove it"
    """
    findings = Findings()
    text = decode_text(content, findings)
    parsed = parse_text(text, findings) if text is not None else None
    if parsed is None:
        raise UnreadableDocument(findings.locate(lambda _: 0, source))
    try:
        document = read_checked_document(content, source)
    except InvalidDocument as error:
        return Review(None, list(error.findings))
    for rule in RULES:
        rule(document, findings)
    return Review(document, findings.locate(LineLocator(parsed.json_text).find_line, source))


def _check_shadowed_routes(document: Document, findings: Findings) -> None:
    """Report routes that differ in their methods only, which the relay doesn't look at."""
    last: dict[tuple[str, str], RouteName] = {}
    for route in document.routes:
        last[route.host, route.path_prefix] = route.name
    for index, route in enumerate(document.routes):
        winner = last[route.host, route.path_prefix]
        if winner != route.name:
            message = f"route {winner!r} has the same host and path prefix; the relay uses only it"
            findings.add(f"/routes/{index}", message, "give them different path prefixes")
    for index, route in enumerate(document.routes):
        needed_bytes = REQUEST_LINE_BYTES + len(route.host) + len(route.path_prefix)
        if needed_bytes > document.limits.head_bytes:
            message = f"no request matches: its head has {needed_bytes} bytes or more"
            remedy = f"raise limits.head_bytes of {document.limits.head_bytes}"
            findings.add(f"/routes/{index}/path_prefix", message, remedy)


def _check_shares(document: Document, findings: Findings) -> None:
    called: set[ServiceName] = set()
    for index, route in enumerate(document.routes):
        called.update(_list_called_services(route))
        for position, share in enumerate(route.shares):
            if not share.weight:
                message = f"service {share.service!r} gets no calls by a share of weight 0"
                pointer = f"/routes/{index}/shares/{position}"
                findings.add(pointer, message, "give it a weight or remove it")
    for index, service in enumerate(document.services):
        if service.name not in called:
            message = f"no route sends calls to service {service.name!r}"
            findings.add(f"/services/{index}", message, "give it a share or remove it")


def _list_called_services(route: Route) -> Iterator[ServiceName]:
    if not route.shares:
        yield route.service
    yield from (share.service for share in route.shares if share.weight)


def _check_unused_policies(document: Document, findings: Findings) -> None:
    parents = {policy.name: policy.extends for policy in document.policies}
    used: set[PolicyName] = set()
    for route in document.routes:
        name = route.policy
        while name is not None and name not in used:
            used.add(name)
            name = parents[name]
    for index, policy in enumerate(document.policies):
        if policy.name not in used:
            message = f"no route uses policy {policy.name!r}"
            findings.add(f"/policies/{index}", message, "refer to it or remove it")


def _check_policies(document: Document, findings: Findings) -> None:
    resolved = resolve_policies(document)
    for index, policy in enumerate(document.policies):
        for message, remedy in _list_contradictions(resolved[policy.name]):
            findings.add(f"/policies/{index}", message, remedy)


def _list_contradictions(policy: ResolvedPolicy) -> Iterator[tuple[str, str]]:
    if policy.objective_ms > policy.timeout_ms:
        message = f"objective_ms {policy.objective_ms} is over timeout_ms {policy.timeout_ms}"
        yield message, "lower the objective or raise the timeout"
    if policy.queue_ms > policy.timeout_ms:
        message = f"queue_ms {policy.queue_ms} is over timeout_ms {policy.timeout_ms}"
        yield message, "lower the wait or raise the timeout"
    if policy.execution is Execution.UNSAFE and policy.attempts > 1:
        message = (
            f"attempts is {policy.attempts}, but unsafe calls that may have run aren't retried"
        )
        yield message, "set attempts to 1 or choose another execution"
    if policy.extra_request_share:
        if policy.execution is not Execution.IDEMPOTENT:
            message = "extra_request_share has no effect, as calls may not run more than once"
            yield message, "set execution to idempotent or the share to 0"
        elif policy.attempts < 2:
            message = "extra_request_share has no effect with attempts of 1"
            yield message, "raise attempts or set the share to 0"


def _check_limits(document: Document, findings: Findings) -> None:
    limits: CallerLimits = document.limits
    if limits.head_timeout_ms > limits.idle_timeout_ms:
        message = (
            f"head_timeout_ms {limits.head_timeout_ms} is over idle_timeout_ms"
            f" {limits.idle_timeout_ms}"
        )
        findings.add("/limits", message, "a head may not take longer than the wait for it")


def _check_customers(document: Document, findings: Findings) -> None:
    for index, customer in enumerate(document.customers):
        rate_per_s, burst = customer.rate_per_s, customer.burst
        # Validation reports a burst without a rate.
        if rate_per_s and burst > MAX_REFILL_S * rate_per_s:
            message = (
                f"rate_per_s {rate_per_s:g} takes {burst / rate_per_s:.0f} s to refill a burst of"
                f" {burst:g}"
            )
            remedy = f"raise the rate or lower the burst, to {MAX_REFILL_S:.0f} s or less"
            findings.add(f"/customers/{index}/rate_per_s", message, remedy)


RULES: tuple[Rule, ...] = (
    _check_shadowed_routes,
    _check_shares,
    _check_unused_policies,
    _check_policies,
    _check_limits,
    _check_customers,
)
