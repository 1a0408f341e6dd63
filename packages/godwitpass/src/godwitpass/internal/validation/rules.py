"""Rules of a document that span several of its fields."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Any, Generic, TypeVar

import msgspec

from godwitpass.document import DOCUMENT_FORMAT, Document, Execution, Policy, Route, Service
from godwitpass.ids import PolicyName
from godwitpass.internal.validation.findings import Findings, join_pointer
from godwitpass.policy import MAX_EXTENDS_DEPTH, resolve_policies

T = TypeVar("T", Service, Route, Policy)

SECTIONS = ("services", "routes", "policies")


class LocatedEntry(msgspec.Struct, Generic[T], frozen=True):
    """An entry of the document and its JSON pointer."""

    pointer: str
    entry: T


class EntryName(msgspec.Struct, frozen=True):
    """The name that an entry has at an index of its section, whether or not the rest fits."""

    index: int
    name: str


class Entries(msgspec.Struct, frozen=True):
    """What the rules look at: entries that fit their types, and all names that were given."""

    format: int
    services: list[LocatedEntry[Service]]
    routes: list[LocatedEntry[Route]]
    policies: list[LocatedEntry[Policy]]
    names: dict[str, list[EntryName]]
    used_services: frozenset[str]


def locate_entries(document: Document) -> Entries:
    """Return the entries of a document whose types fit."""
    sections = {name: getattr(document, name) for name in SECTIONS}
    names = {
        section: [EntryName(index, entry.name) for index, entry in enumerate(entries)]
        for section, entries in sections.items()
    }
    return Entries(
        document.format,
        _place("services", document.services),
        _place("routes", document.routes),
        _place("policies", document.policies),
        names,
        frozenset(_list_used(document.routes)),
    )


def collect_entries(value: dict[str, Any]) -> Entries:
    """Return those entries of a plain value whose types fit."""
    given = value.get("format")
    routes = _collect(value, "routes", Route)
    named = {item.name for item in _list_names(value, "routes", "service")}
    return Entries(
        given if isinstance(given, int) else DOCUMENT_FORMAT,
        _collect(value, "services", Service),
        routes,
        _collect(value, "policies", Policy),
        {section: _list_names(value, section) for section in SECTIONS},
        frozenset(named.union(_list_used([placed.entry for placed in routes]))),
    )


def check_entries(entries: Entries, findings: Findings) -> None:
    """Check all rules."""
    if entries.format != DOCUMENT_FORMAT:
        findings.add("/format", f"format {entries.format} is unknown", f"write {DOCUMENT_FORMAT}")
    for section in SECTIONS:
        _check_unique_names(section, entries.names[section], findings)
    _check_references(entries, findings)
    _check_used(entries, findings)
    _check_shares(entries.routes, findings)
    _check_overlaps(entries.routes, findings)
    if _check_ancestry(entries.policies, findings):
        _check_attempts(entries.policies, findings)


def _list_used(routes: Sequence[Route]) -> Iterator[str]:
    for route in routes:
        yield route.service
        yield from (share.service for share in route.shares)


def _place(section: str, entries: Sequence[T]) -> list[LocatedEntry[T]]:
    return [LocatedEntry(f"/{section}/{index}", entry) for index, entry in enumerate(entries)]


def _collect(value: dict[str, Any], section: str, kind: type[T]) -> list[LocatedEntry[T]]:
    placed: list[LocatedEntry[T]] = []
    for index, member in _list_members(value, section):
        try:
            entry = msgspec.convert(member, kind)
        except msgspec.ValidationError:
            continue
        placed.append(LocatedEntry(f"/{section}/{index}", entry))
    return placed


def _list_members(value: dict[str, Any], section: str) -> Iterator[tuple[int, Any]]:
    members = value.get(section)
    return enumerate(members if isinstance(members, list) else [])


def _list_names(value: dict[str, Any], section: str, key: str = "name") -> list[EntryName]:
    return [
        EntryName(index, member[key])
        for index, member in _list_members(value, section)
        if isinstance(member, dict) and isinstance(member.get(key), str)
    ]


def _check_unique_names(section: str, names: list[EntryName], findings: Findings) -> None:
    first: dict[str, int] = {}
    for item in names:
        if item.name in first:
            message = f"name {item.name!r} is taken by /{section}/{first[item.name]}"
            findings.add(f"/{section}/{item.index}/name", message, "rename one of the two")
        first.setdefault(item.name, item.index)


def _check_references(entries: Entries, findings: Findings) -> None:
    services = {item.name for item in entries.names["services"]}
    known = {item.name for item in entries.names["policies"]}
    for route in entries.routes:
        service, policy = route.entry.service, route.entry.policy
        if service not in services:
            message = f"service {service!r} is not in the document"
            findings.add(f"{route.pointer}/service", message, "add it to services or correct it")
        for index, share in enumerate(route.entry.shares):
            if share.service not in services:
                message = f"service {share.service!r} is not in the document"
                pointer = f"{route.pointer}/shares/{index}/service"
                findings.add(pointer, message, "add it to services or correct it")
        if policy is not None and policy not in known:
            message = f"policy {policy!r} is not in the document"
            findings.add(f"{route.pointer}/policy", message, "add it to policies or correct it")
    for placed in entries.policies:
        parent = placed.entry.extends
        if parent is not None and parent not in known:
            message = f"policy {parent!r} is not in the document"
            findings.add(f"{placed.pointer}/extends", message, "add it to policies or correct it")


def _check_used(entries: Entries, findings: Findings) -> None:
    for service in entries.services:
        if service.entry.name not in entries.used_services:
            message = f"no route leads to service {service.entry.name!r}"
            findings.add(service.pointer, message, "add a route to it or remove it")


def _check_shares(routes: list[LocatedEntry[Route]], findings: Findings) -> None:
    for route in routes:
        shares = route.entry.shares
        if shares and not any(share.weight for share in shares):
            message = "no share has a weight above 0"
            findings.add(f"{route.pointer}/shares", message, "give at least one share a weight")


def _check_overlaps(routes: list[LocatedEntry[Route]], findings: Findings) -> None:
    by_prefix: dict[tuple[str, str], list[LocatedEntry[Route]]] = defaultdict(list)
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


def _check_ancestry(policies: list[LocatedEntry[Policy]], findings: Findings) -> bool:
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


def _check_attempts(policies: list[LocatedEntry[Policy]], findings: Findings) -> None:
    document = Document(DOCUMENT_FORMAT, policies=tuple(placed.entry for placed in policies))
    resolved = resolve_policies(document)
    for placed in policies:
        policy = resolved[placed.entry.name]
        if policy.execution is Execution.ONCE and policy.attempts > 1:
            own = placed.entry.attempts is not None
            pointer = join_pointer(placed.pointer, "attempts") if own else placed.pointer
            message = f"an at-most-once policy with {policy.attempts} attempts"
            findings.add(pointer, message, "set attempts to 1 or another execution")
