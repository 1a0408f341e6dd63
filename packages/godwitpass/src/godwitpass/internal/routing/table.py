"""Routing table: one version of the configuration, compiled for fast lookups."""

from enum import Enum

import msgspec

from godwitpass.document import Route, Service
from godwitpass.ids import ServiceName, Version
from godwitpass.internal.routing.target import Target, fold_path
from godwitpass.policy import ResolvedPolicy, resolve_policies
from godwitpass.snapshot import Snapshot

ANY_HOST = ""


class Listener(Enum):
    """The listener that received a request; only the inner one reaches internal routes."""

    OUTER = "outer"
    INNER = "inner"


class Mismatch(Enum):
    """Why no route matches: no path prefix does, or the longest one doesn't take the method."""

    NO_ROUTE = "no-route"
    METHOD = "method"


class CompiledRoute(msgspec.Struct, frozen=True):
    """A route with its resolved service and policy."""

    route: Route
    service: Service
    policy: ResolvedPolicy
    is_internal: bool


class HostRoutes(msgspec.Struct, frozen=True):
    """The routes of one host, by path prefix.

    `internal_by_folded_prefix` tells for each prefix, folded by `fold_path`, if it is internal.
    """

    routes_by_prefix: dict[str, tuple[CompiledRoute, ...]]
    internal_by_folded_prefix: dict[str, bool]
    has_internal: bool
    max_segments: int

    def find_route(self, path: str, method: str) -> CompiledRoute | Mismatch:
        """Return the route with the longest matching prefix, regardless of the listener."""
        for prefix in _list_prefixes(path, self.max_segments):
            routes = self.routes_by_prefix.get(prefix)
            if routes is None:
                continue
            for candidate in routes:
                if not candidate.route.methods or method in candidate.route.methods:
                    return candidate
            return Mismatch.METHOD
        return Mismatch.NO_ROUTE

    def is_internal_path(self, path: str) -> bool:
        """Return whether the most lenient reading of `path` matches an internal route."""
        if not self.has_internal:
            return False
        for prefix in _list_prefixes(fold_path(path), self.max_segments):
            is_internal = self.internal_by_folded_prefix.get(prefix)
            if is_internal is not None:
                return is_internal
        return False


class RoutingTable(msgspec.Struct, frozen=True):
    """Immutable routes of one version; a call uses the same table from start to end."""

    version: Version
    services: dict[ServiceName, Service]
    routes_by_host: dict[str, HostRoutes]

    def find_route(
        self, target: Target, method: str, listener: Listener
    ) -> CompiledRoute | Mismatch:
        """Return the route of a request; routes of its host take precedence over those of any."""
        for host in (target.host, ANY_HOST):
            host_routes = self.routes_by_host.get(host)
            if host_routes is None:
                continue
            if listener is Listener.OUTER and host_routes.is_internal_path(target.path):
                return Mismatch.NO_ROUTE
            result = host_routes.find_route(target.path, method)
            if result is not Mismatch.NO_ROUTE:
                return result
        return Mismatch.NO_ROUTE


def compile_table(snapshot: Snapshot) -> RoutingTable:
    """Compile the routes of `snapshot`; needed once per version."""
    document = snapshot.document
    services = {service.name: service for service in document.services}
    policies = resolve_policies(document)
    by_host: dict[str, list[CompiledRoute]] = {}
    for route in document.routes:
        service = services[route.service]
        is_internal = service.internal or route.internal
        compiled = CompiledRoute(route, service, policies[route.policy], is_internal)
        by_host.setdefault(route.host.lower(), []).append(compiled)
    hosts = {host: _compile_host(routes) for host, routes in by_host.items()}
    return RoutingTable(snapshot.version, services, hosts)


def _compile_host(routes: list[CompiledRoute]) -> HostRoutes:
    prefixes: dict[str, list[CompiledRoute]] = {}
    internal_by_folded_prefix: dict[str, bool] = {}
    for compiled in routes:
        prefix = compiled.route.path_prefix.rstrip("/")
        prefixes.setdefault(prefix, []).append(compiled)
        folded_prefix = fold_path(prefix)
        internal_by_folded_prefix[folded_prefix] = (
            compiled.is_internal or internal_by_folded_prefix.get(folded_prefix, False)
        )
    return HostRoutes(
        routes_by_prefix={
            prefix: _sort_any_method_last(group) for prefix, group in prefixes.items()
        },
        internal_by_folded_prefix=internal_by_folded_prefix,
        has_internal=any(internal_by_folded_prefix.values()),
        max_segments=max(prefix.count("/") for prefix in prefixes),
    )


def _sort_any_method_last(routes: list[CompiledRoute]) -> tuple[CompiledRoute, ...]:
    """Put routes for any method last, so that routes that name the method take precedence."""
    return tuple(sorted(routes, key=lambda compiled: not compiled.route.methods))


def _list_prefixes(path: str, max_segments: int) -> list[str]:
    """List the prefixes of `path` at segment boundaries, from the longest to the empty one.

    >>> _list_prefixes("/a/b/c", 2)
    ['/a/b', '/a', '']
    """
    boundaries = [0]
    position = path.find("/", 1)
    while position != -1 and len(boundaries) <= max_segments:
        boundaries.append(position)
        position = path.find("/", position + 1)
    if len(boundaries) <= max_segments:
        boundaries.append(len(path))
    return [path[:boundary] for boundary in reversed(boundaries)]
