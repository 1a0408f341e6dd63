"""Comparison of two documents, entry by entry."""

from collections.abc import Sequence
from enum import Enum

import msgspec

from godwitpass.document import Customer, Document, Policy, Route, Service

NamedEntry = Service | Route | Policy | Customer


class Alteration(Enum):
    """What happened to an entry between two documents."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


class Difference(msgspec.Struct, frozen=True, omit_defaults=True):
    """One entry that differs; `fields` names the changed fields of a changed entry."""

    section: str
    name: str
    alteration: Alteration
    fields: tuple[str, ...] = ()


def compare_documents(old: Document, new: Document) -> list[Difference]:
    """Return the changes from `old` to `new` by section and name, ignoring the order of entries.

    >>> compare_documents(Document(1), Document(1, services=(Service("maal"),)))
    [Difference(section='services', name='maal', alteration=<Alteration.ADDED: 'added'>, fields=())]
    """
    differences = [
        *_compare_entries("services", old.services, new.services),
        *_compare_entries("routes", old.routes, new.routes),
        *_compare_entries("policies", old.policies, new.policies),
        *_compare_entries("customers", old.customers, new.customers),
    ]
    if old.distribution != new.distribution:
        changed = _list_changed_fields(old.distribution, new.distribution)
        differences.append(Difference("distribution", "", Alteration.CHANGED, changed))
    return differences


def _compare_entries(
    section: str, old: Sequence[NamedEntry], new: Sequence[NamedEntry]
) -> list[Difference]:
    old_entries: dict[str, NamedEntry] = {entry.name: entry for entry in old}
    new_entries: dict[str, NamedEntry] = {entry.name: entry for entry in new}
    differences: list[Difference] = []
    for name in sorted(old_entries.keys() | new_entries.keys()):
        if name not in old_entries:
            differences.append(Difference(section, name, Alteration.ADDED))
        elif name not in new_entries:
            differences.append(Difference(section, name, Alteration.REMOVED))
        elif old_entries[name] != new_entries[name]:
            changed = _list_changed_fields(old_entries[name], new_entries[name])
            differences.append(Difference(section, name, Alteration.CHANGED, changed))
    return differences


def _list_changed_fields(old: msgspec.Struct, new: msgspec.Struct) -> tuple[str, ...]:
    fields = old.__struct_fields__
    return tuple(name for name in fields if getattr(old, name) != getattr(new, name))
