"""Renders the catalogue of events from the `events` modules of all packages."""

import importlib
import pkgutil
from types import ModuleType

import godwitpass
import godwitpass_daemon
from godwitpass.errors import GodwitpassError
from godwitpass.events import EventKind

NUMBERS_PER_AREA = 100
AREAS = {
    1: "Process",
    2: "Distribution and acceptance",
    3: "Membership",
    4: "Calls",
    5: "Claims and crashes",
    6: "Administration",
    7: "Store and peer transport",
}
"""Titles of the areas; the numbers of area 1 start at 100."""


class CatalogueError(GodwitpassError):
    """Two events share a number or a name, or a number belongs to no area."""


def list_events() -> list[EventKind]:
    """Return all declared events ordered by number.

    Raises `CatalogueError` if a number or name is used twice or a number belongs to no area.
    """
    kinds: dict[int, EventKind] = {}
    taken_names: set[str] = set()
    for module in _import_event_modules():
        for kind in vars(module).values():
            if not isinstance(kind, EventKind):
                continue
            if kind.number in kinds or kind.name in taken_names:
                raise CatalogueError(
                    f"{module.__name__}: {kind.number} {kind.name} is already declared"
                )
            if kind.number // NUMBERS_PER_AREA not in AREAS:
                raise CatalogueError(f"{module.__name__}: {kind.number} belongs to no area")
            kinds[kind.number] = kind
            taken_names.add(kind.name)
    return [kinds[number] for number in sorted(kinds)]


def render_catalogue() -> str:
    """Return a section with a table of events for each area."""
    sections: list[str] = []
    for area, title in AREAS.items():
        rows = [
            f"| {kind.number} | `{kind.name}` | {kind.level.value.lower()} | {kind.summary} |"
            for kind in list_events()
            if kind.number // NUMBERS_PER_AREA == area
        ]
        heading = ["| Number | Name | Level | Meaning |", "| --- | --- | --- | --- |"]
        sections.append("\n".join([f"## {title}", "", *heading, *rows, ""]))
    return "\n".join(sections)


def _import_event_modules() -> list[ModuleType]:
    modules = []
    for package in (godwitpass, godwitpass_daemon):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if module.name.endswith(".events"):
                modules.append(importlib.import_module(module.name))
    return modules
