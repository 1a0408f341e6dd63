"""The routing table: one version of the configuration, compiled for lookups."""

from enum import Enum

import msgspec

from godwitpass.document import Route, Service
from godwitpass.ids import ServiceName, Version
from godwitpass.internal.routing.target import Target, fold_path
from godwitpass.policy import ResolvedPolicy, resolve_policies
from godwitpass.snapshot import Snapshot

ANY_HOST = ""


class Listener(Enum):
    """Where a request came in; only the inner one reaches internal routes."""

    OUTER = "outer"
    INNER = "inner"


class Mismatch(Enum):
    """Why no route was found."""

    NO_ROUTE = "no-route"
    METHOD = "method"


class CompiledRoute(msgspec.Struct, frozen=True):
    """A route with its service and policy resolved."""

    route: Route
    service: Service
    policy: ResolvedPolicy
    internal: bool


class HostTable(msgspec.Struct, frozen=True):
    """The routes of one host by prefix; `folded` tells of each folded prefix if it is internal."""

    prefixes: dict[str, tuple[CompiledRoute, ...]]
    folded: dict[str, bool]
    has_internal: bool
    max_segments: int

    def find(self, path: str, method: str) -> CompiledRoute | Mismatch:
        """Return the route with the longest prefix of `path`, whatever its listener."""
        for prefix in _list_prefixes(path, self.max_segments):
            routes = self.prefixes.get(prefix)
            if routes is None:
                continue
            for candidate in routes:
                if not candidate.route.methods or method in candidate.route.methods:
                    return candidate
            return Mismatch.METHOD
        return Mismatch.NO_ROUTE

    def is_hidden(self, path: str) -> bool:
        """Whether the loosest reading of `path` leads to an internal route."""
        if not self.has_internal:
            return False
        for prefix in _list_prefixes(fold_path(path), self.max_segments):
            internal = self.folded.get(prefix)
            if internal is not None:
                return internal
        return False


class RoutingTable(msgspec.Struct, frozen=True):
    """Immutable lookup of the routes of one version; a call keeps the table it began with."""

    version: Version
    services: dict[ServiceName, Service]
    hosts: dict[str, HostTable]

    def find(self, target: Target, method: str, listener: Listener) -> CompiledRoute | Mismatch:
        """Return the route for a request; the named host's routes go before those of any host."""
        for host in (target.host, ANY_HOST):
            table = self.hosts.get(host)
            if table is None:
                continue
            if listener is Listener.OUTER and table.is_hidden(target.path):
                return Mismatch.NO_ROUTE
            found = table.find(target.path, method)
            if found is not Mismatch.NO_ROUTE:
                return found
        return Mismatch.NO_ROUTE


def compile_table(snapshot: Snapshot) -> RoutingTable:
    """Compile the routes of `snapshot`; done once a version."""
    document = snapshot.document
    services = {service.name: service for service in document.services}
    policies = resolve_policies(document)
    by_host: dict[str, list[CompiledRoute]] = {}
    for route in document.routes:
        service = services[route.service]
        internal = service.internal or route.internal
        compiled = CompiledRoute(route, service, policies[route.policy], internal)
        by_host.setdefault(route.host.lower(), []).append(compiled)
    hosts = {host: _compile_host(routes) for host, routes in by_host.items()}
    return RoutingTable(snapshot.version, services, hosts)


def _compile_host(routes: list[CompiledRoute]) -> HostTable:
    prefixes: dict[str, list[CompiledRoute]] = {}
    folded: dict[str, bool] = {}
    for compiled in routes:
        prefix = compiled.route.path_prefix.rstrip("/")
        prefixes.setdefault(prefix, []).append(compiled)
        loose = fold_path(prefix)
        folded[loose] = compiled.internal or folded.get(loose, False)
    return HostTable(
        prefixes={prefix: _order_by_method(found) for prefix, found in prefixes.items()},
        folded=folded,
        has_internal=any(folded.values()),
        max_segments=max(prefix.count("/") for prefix in prefixes),
    )


def _order_by_method(routes: list[CompiledRoute]) -> tuple[CompiledRoute, ...]:
    """Put routes for any method last, so that a named method decides first."""
    return tuple(sorted(routes, key=lambda compiled: not compiled.route.methods))


def _list_prefixes(path: str, max_segments: int) -> list[str]:
    """List the prefixes of `path` at segment borders, longest first, the empty one last.

    >>> _list_prefixes("/a/b/c", 2)
    ['/a/b', '/a', '']
    """
    ends = [0]
    position = path.find("/", 1)
    while position != -1 and len(ends) <= max_segments:
        ends.append(position)
        position = path.find("/", position + 1)
    if len(ends) <= max_segments:
        ends.append(len(path))
    return [path[:end] for end in reversed(ends)]
