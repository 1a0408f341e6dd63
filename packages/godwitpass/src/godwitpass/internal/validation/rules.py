"""Validation rules of a document that span several of its fields or entries."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Any, Generic, TypeVar

import msgspec

from godwitpass.document import (
    DOCUMENT_FORMAT,
    Customer,
    Document,
    Execution,
    Policy,
    Route,
    Service,
)
from godwitpass.ids import PolicyName
from godwitpass.internal.validation.customers import list_customer_findings
from godwitpass.internal.validation.findings import Findings, join_pointer
from godwitpass.policy import MAX_EXTENDS_DEPTH, resolve_policies

EntryT = TypeVar("EntryT", Service, Route, Policy, Customer)

SECTIONS = ("services", "routes", "policies", "customers")


class LocatedEntry(msgspec.Struct, Generic[EntryT], frozen=True):
    """An entry of the document with its JSON pointer."""

    pointer: str
    entry: EntryT


class EntryName(msgspec.Struct, frozen=True):
    """The name of the entry at `index` of its section, whose other fields may be invalid."""

    index: int
    name: str


class Entries(msgspec.Struct, frozen=True):
    """Input of the rules: all entries with valid types, and the names of all entries."""

    format: int
    services: list[LocatedEntry[Service]]
    routes: list[LocatedEntry[Route]]
    policies: list[LocatedEntry[Policy]]
    customers: list[LocatedEntry[Customer]]
    names: dict[str, list[EntryName]]
    used_services: frozenset[str]


def locate_entries(document: Document) -> Entries:
    """Return the entries of a document that was converted without findings."""
    sections = {name: getattr(document, name) for name in SECTIONS}
    names = {
        section: [EntryName(index, entry.name) for index, entry in enumerate(entries)]
        for section, entries in sections.items()
    }
    return Entries(
        document.format,
        _locate("services", document.services),
        _locate("routes", document.routes),
        _locate("policies", document.policies),
        _locate("customers", document.customers),
        names,
        frozenset(_list_used_services(document.routes)),
    )


def collect_entries(value: dict[str, Any]) -> Entries:
    """Return those entries of a plain value that have valid types."""
    format_number = value.get("format")
    routes = _collect_valid(value, "routes", Route)
    route_services = {item.name for item in _list_names(value, "routes", "service")}
    return Entries(
        format_number if isinstance(format_number, int) else DOCUMENT_FORMAT,
        _collect_valid(value, "services", Service),
        routes,
        _collect_valid(value, "policies", Policy),
        _collect_valid(value, "customers", Customer),
        {section: _list_names(value, section) for section in SECTIONS},
        frozenset(route_services.union(_list_used_services([located.entry for located in routes]))),
    )


def check_entries(entries: Entries, findings: Findings) -> None:
    """Check `entries` against all rules."""
    if entries.format != DOCUMENT_FORMAT:
        findings.add(
            "/format", f"format {entries.format} is not supported", f"write {DOCUMENT_FORMAT}"
        )
    for section in SECTIONS:
        _check_unique_names(section, entries.names[section], findings)
    _check_references(entries, findings)
    _check_unused_services(entries, findings)
    _check_shares(entries.routes, findings)
    _check_overlaps(entries.routes, findings)
    _check_customers(entries.customers, findings)
    if _check_extends_chains(entries.policies, findings):
        _check_attempts(entries.policies, findings)


def _list_used_services(routes: Sequence[Route]) -> Iterator[str]:
    for route in routes:
        yield route.service
        yield from (share.service for share in route.shares)


def _locate(section: str, entries: Sequence[EntryT]) -> list[LocatedEntry[EntryT]]:
    return [LocatedEntry(f"/{section}/{index}", entry) for index, entry in enumerate(entries)]


def _collect_valid(
    value: dict[str, Any], section: str, entry_type: type[EntryT]
) -> list[LocatedEntry[EntryT]]:
    located: list[LocatedEntry[EntryT]] = []
    for index, member in _list_members(value, section):
        try:
            entry = msgspec.convert(member, entry_type)
        except msgspec.ValidationError:
            continue
        located.append(LocatedEntry(f"/{section}/{index}", entry))
    return located


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
    first_index: dict[str, int] = {}
    for item in names:
        if item.name in first_index:
            message = f"name {item.name!r} is taken by /{section}/{first_index[item.name]}"
            findings.add(f"/{section}/{item.index}/name", message, "rename one of the two")
        first_index.setdefault(item.name, item.index)


def _check_references(entries: Entries, findings: Findings) -> None:
    services = {item.name for item in entries.names["services"]}
    policies = {item.name for item in entries.names["policies"]}
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
        if policy is not None and policy not in policies:
            message = f"policy {policy!r} is not in the document"
            findings.add(f"{route.pointer}/policy", message, "add it to policies or correct it")
    for located in entries.policies:
        parent = located.entry.extends
        if parent is not None and parent not in policies:
            message = f"policy {parent!r} is not in the document"
            findings.add(f"{located.pointer}/extends", message, "add it to policies or correct it")


def _check_unused_services(entries: Entries, findings: Findings) -> None:
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


def _check_customers(customers: list[LocatedEntry[Customer]], findings: Findings) -> None:
    entries = [(index, located.entry) for index, located in enumerate(customers)]
    for index, field, message, remedy in list_customer_findings(entries):
        findings.add(join_pointer(customers[index].pointer, field), message, remedy)


def _check_overlaps(routes: list[LocatedEntry[Route]], findings: Findings) -> None:
    by_prefix: dict[tuple[str, str], list[LocatedEntry[Route]]] = defaultdict(list)
    for route in routes:
        earlier_routes = by_prefix[(route.entry.host, route.entry.path_prefix)]
        conflicting = next(
            (other for other in earlier_routes if _have_common_method(other.entry, route.entry)),
            None,
        )
        if conflicting is not None:
            message = (
                f"matches the same requests as {conflicting.pointer} ({conflicting.entry.name!r})"
            )
            remedy = "give them different hosts, path prefixes or disjoint methods"
            findings.add(route.pointer, message, remedy)
        earlier_routes.append(route)


def _have_common_method(first: Route, second: Route) -> bool:
    if not first.methods or not second.methods:
        return True
    return not set(first.methods).isdisjoint(second.methods)


def _check_extends_chains(policies: list[LocatedEntry[Policy]], findings: Findings) -> bool:
    """Check the length and end of all `extends` chains; return whether all can be resolved."""
    parents = {located.entry.name: located.entry.extends for located in policies}
    is_resolvable = len(parents) == len(policies)
    for located in policies:
        chain = _follow_chain(parents, located.entry.name)
        pointer = f"{located.pointer}/extends"
        if len(chain) > 1 and chain[-1] == located.entry.name:
            message = f"policies extend each other in a cycle: {' -> '.join(chain)}"
            findings.add(pointer, message, "remove 'extends' from one of them")
        elif len(chain) > MAX_EXTENDS_DEPTH:
            message = f"extends more than {MAX_EXTENDS_DEPTH - 1} policies"
            findings.add(pointer, message, "shorten the chain")
        elif chain[-1] in parents and chain[-1] not in chain[:-1]:
            continue
        is_resolvable = False
    return is_resolvable


def _follow_chain(
    parents: dict[PolicyName, PolicyName | None], name: PolicyName
) -> list[PolicyName]:
    """Return `name` and its ancestors, up to the root, a repeated name or the length limit."""
    chain = [name]
    while len(chain) <= MAX_EXTENDS_DEPTH:
        parent = parents.get(chain[-1])
        if parent is None:
            break
        is_repeated = parent in chain
        chain.append(parent)
        if is_repeated:
            break
    return chain


def _check_attempts(policies: list[LocatedEntry[Policy]], findings: Findings) -> None:
    document = Document(DOCUMENT_FORMAT, policies=tuple(located.entry for located in policies))
    resolved_policies = resolve_policies(document)
    for located in policies:
        policy = resolved_policies[located.entry.name]
        if policy.execution is Execution.ONCE and policy.attempts > 1:
            is_own_field = located.entry.attempts is not None
            pointer = join_pointer(located.pointer, "attempts") if is_own_field else located.pointer
            message = f"an at-most-once policy can't have {policy.attempts} attempts"
            findings.add(pointer, message, "set attempts to 1 or choose another execution")
