"""The catalogue of events, from the `events` modules of all areas."""

import importlib
import pkgutil
from types import ModuleType

import godwitpass
import godwitpass_daemon
from godwitpass.errors import GodwitpassError
from godwitpass.events import EventKind

AREAS = {
    1: "Process",
    2: "Distribution and acceptance",
    3: "Membership",
    4: "Calls",
    5: "Claims and crashes",
    6: "Administration",
    7: "Store and peer transport",
}


class CatalogueError(GodwitpassError):
    """Two events share a number or a name, or one lies outside the areas."""


def list_events() -> list[EventKind]:
    """Return every declared event by number; raises `CatalogueError`."""
    kinds: dict[int, EventKind] = {}
    names: set[str] = set()
    for module in _find_modules():
        for kind in vars(module).values():
            if not isinstance(kind, EventKind):
                continue
            if kind.number in kinds or kind.name in names:
                raise CatalogueError(f"{module.__name__}: {kind.number} {kind.name} is taken")
            if kind.number // 100 not in AREAS:
                raise CatalogueError(f"{module.__name__}: {kind.number} lies outside the areas")
            kinds[kind.number] = kind
            names.add(kind.name)
    return [kinds[number] for number in sorted(kinds)]


def render_catalogue() -> str:
    """Return a table of events for each area."""
    sections: list[str] = []
    for area, title in AREAS.items():
        rows = [
            f"| {kind.number} | `{kind.name}` | {kind.level.value.lower()} | {kind.summary} |"
            for kind in list_events()
            if kind.number // 100 == area
        ]
        heading = ["| Number | Name | Level | Meaning |", "| --- | --- | --- | --- |"]
        sections.append("\n".join([f"## {title}", "", *heading, *rows, ""]))
    return "\n".join(sections)


def _find_modules() -> list[ModuleType]:
    found = []
    for package in (godwitpass, godwitpass_daemon):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if module.name.endswith(".events"):
                found.append(importlib.import_module(module.name))
    return found
