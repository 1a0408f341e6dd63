"""Rules of a document that span several of its fields."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Any, Generic, TypeVar

import msgspec

from godwitpass.document import FORMAT, Document, Execution, Policy, Route, Service
from godwitpass.ids import PolicyName
from godwitpass.internal.validation.findings import Findings, join_pointer
from godwitpass.policy import MAX_EXTENDS_DEPTH, resolve_policies

T = TypeVar("T", Service, Route, Policy)


class Placed(msgspec.Struct, Generic[T], frozen=True):
    """An entry of the document and its JSON pointer."""

    pointer: str
    entry: T


def check_document(value: dict[str, Any], document: Document | None, findings: Findings) -> None:
    """Check the entries that fit their types, also when others do not and there is no document."""
    if document is None:
        services = _collect(value, "services", Service)
        routes = _collect(value, "routes", Route)
        policies = _collect(value, "policies", Policy)
    else:
        services = _place("services", document.services)
        routes = _place("routes", document.routes)
        policies = _place("policies", document.policies)
    _check_format(value, findings)
    for section in ("services", "routes", "policies"):
        _check_unique_names(value, section, findings)
    _check_references(value, routes, policies, findings)
    _check_used(value, services, findings)
    _check_overlaps(routes, findings)
    if _check_ancestry(policies, findings):
        _check_attempts(policies, findings)


def _collect(value: dict[str, Any], section: str, kind: type[T]) -> list[Placed[T]]:
    placed: list[Placed[T]] = []
    for index, member in _list_members(value, section):
        try:
            entry = msgspec.convert(member, kind)
        except msgspec.ValidationError:
            continue
        placed.append(Placed(f"/{section}/{index}", entry))
    return placed


def _place(section: str, entries: Sequence[T]) -> list[Placed[T]]:
    return [Placed(f"/{section}/{index}", entry) for index, entry in enumerate(entries)]


def _list_members(value: dict[str, Any], section: str) -> Iterator[tuple[int, Any]]:
    members = value.get(section)
    return enumerate(members if isinstance(members, list) else [])


def _list_names(value: dict[str, Any], section: str, key: str = "name") -> list[tuple[int, str]]:
    return [
        (index, member[key])
        for index, member in _list_members(value, section)
        if isinstance(member, dict) and isinstance(member.get(key), str)
    ]


def _check_format(value: dict[str, Any], findings: Findings) -> None:
    given = value.get("format")
    if isinstance(given, int) and given != FORMAT:
        findings.add("/format", f"format {given} is unknown", f"write {FORMAT}")


def _check_unique_names(value: dict[str, Any], section: str, findings: Findings) -> None:
    first: dict[str, int] = {}
    for index, name in _list_names(value, section):
        if name in first:
            message = f"name {name!r} is taken by /{section}/{first[name]}"
            findings.add(f"/{section}/{index}/name", message, "rename one of the two")
        first.setdefault(name, index)


def _check_references(
    value: dict[str, Any],
    routes: list[Placed[Route]],
    policies: list[Placed[Policy]],
    findings: Findings,
) -> None:
    services = {name for _, name in _list_names(value, "services")}
    known = {name for _, name in _list_names(value, "policies")}
    for route in routes:
        service, policy = route.entry.service, route.entry.policy
        if service not in services:
            message = f"service {service!r} is not in the document"
            findings.add(f"{route.pointer}/service", message, "add it to services or correct it")
        if policy is not None and policy not in known:
            message = f"policy {policy!r} is not in the document"
            findings.add(f"{route.pointer}/policy", message, "add it to policies or correct it")
    for placed in policies:
        parent = placed.entry.extends
        if parent is not None and parent not in known:
            message = f"policy {parent!r} is not in the document"
            findings.add(f"{placed.pointer}/extends", message, "add it to policies or correct it")


def _check_used(value: dict[str, Any], services: list[Placed[Service]], findings: Findings) -> None:
    used = {name for _, name in _list_names(value, "routes", "service")}
    for service in services:
        if service.entry.name not in used:
            message = f"no route leads to service {service.entry.name!r}"
            findings.add(service.pointer, message, "add a route to it or remove it")


def _check_overlaps(routes: list[Placed[Route]], findings: Findings) -> None:
    by_prefix: dict[tuple[str, str], list[Placed[Route]]] = defaultdict(list)
    for route in routes:
        earlier = by_prefix[(route.entry.host, route.entry.path_prefix)]
        rival = next((other for other in earlier if _share_method(other.entry, route.entry)), None)
        if rival is not None:
            message = f"matches the same requests as {rival.pointer} ({rival.entry.name!r})"
            remedy = "give them different hosts, path prefixes or disjoint methods"
            findings.add(route.pointer, message, remedy)
        earlier.append(route)


def _share_method(first: Route, second: Route) -> bool:
    if not first.methods or not second.methods:
        return True
    return not set(first.methods).isdisjoint(second.methods)


def _check_ancestry(policies: list[Placed[Policy]], findings: Findings) -> bool:
    """Check that chains of `extends` end soon; tell whether all policies can be resolved."""
    parents = {placed.entry.name: placed.entry.extends for placed in policies}
    sound = len(parents) == len(policies)
    for placed in policies:
        chain = _follow_chain(parents, placed.entry.name)
        pointer = f"{placed.pointer}/extends"
        if len(chain) > 1 and chain[-1] == placed.entry.name:
            message = f"policies extend in a cycle: {' -> '.join(chain)}"
            findings.add(pointer, message, "let one of them extend nothing")
        elif len(chain) > MAX_EXTENDS_DEPTH:
            message = f"extends more than {MAX_EXTENDS_DEPTH - 1} policies"
            findings.add(pointer, message, "shorten the chain")
        elif chain[-1] in parents and chain[-1] not in chain[:-1]:
            continue
        sound = False
    return sound


def _follow_chain(
    parents: dict[PolicyName, PolicyName | None], name: PolicyName
) -> list[PolicyName]:
    """Return `name` and its ancestors up to an end, a repeated or one name too many."""
    chain = [name]
    while len(chain) <= MAX_EXTENDS_DEPTH:
        parent = parents.get(chain[-1])
        if parent is None:
            break
        repeated = parent in chain
        chain.append(parent)
        if repeated:
            break
    return chain


def _check_attempts(policies: list[Placed[Policy]], findings: Findings) -> None:
    document = Document(FORMAT, policies=tuple(placed.entry for placed in policies))
    resolved = resolve_policies(document)
    for placed in policies:
        policy = resolved[placed.entry.name]
        if policy.execution is Execution.ONCE and policy.attempts > 1:
            own = placed.entry.attempts is not None
            pointer = join_pointer(placed.pointer, "attempts") if own else placed.pointer
            message = f"an at-most-once policy with {policy.attempts} attempts"
            findings.add(pointer, message, "set attempts to 1 or another execution")
