"""Routes of one version, compiled for lookups by host and longest path prefix."""

import msgspec

from godwitpass.document import CallerLimits, Execution, Route, Service
from godwitpass.ids import RouteName, ServiceName, Version
from godwitpass.internal.customers.directory import CustomerDirectory, compile_customers
from godwitpass.policy import ResolvedPolicy, resolve_policies
from godwitpass.snapshot import Snapshot


class RelayRoute(msgspec.Struct, frozen=True):
    """A route with its policy and the services that share its calls, with their weights.

    The calls of an anonymous route need no key.
    """

    name: RouteName
    policy: ResolvedPolicy
    shares: tuple[tuple[ServiceName, int], ...]
    is_anonymous: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether a call may run more than once."""
        return self.policy.execution is Execution.IDEMPOTENT

    def compute_timeout_s(self, requested_ms: int | None) -> float:
        """Return the timeout of a call, which its caller may shorten."""
        timeout_ms = self.policy.timeout_ms
        return (timeout_ms if requested_ms is None else min(timeout_ms, requested_ms)) / 1000


class RelayTable(msgspec.Struct, frozen=True):
    """Immutable routing table of one version; each path prefix ends with a slash."""

    version: Version
    limits: CallerLimits
    hosts: dict[str, dict[str, RelayRoute]]
    services: dict[ServiceName, Service]
    customers: CustomerDirectory = CustomerDirectory()

    def find(self, host: str, path: str) -> RelayRoute | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        for name in (host, ""):
            prefixes = self.hosts.get(name)
            if prefixes is None:
                continue
            end = path.rfind("/")
            while end >= 0:
                route = prefixes.get(path[: end + 1])
                if route is not None:
                    return route
                end = path.rfind("/", 0, end)
        return None


def compile_routes(snapshot: Snapshot) -> RelayTable:
    """Compile the routes of `snapshot`, once per version."""
    document = snapshot.document
    policies = resolve_policies(document)
    hosts: dict[str, dict[str, RelayRoute]] = {}
    for route in document.routes:
        compiled = RelayRoute(
            route.name, policies[route.policy], _list_shares(route), route.anonymous
        )
        prefix = route.path_prefix.rstrip("/") + "/"
        hosts.setdefault(route.host, {})[prefix] = compiled
    services = {service.name: service for service in document.services}
    customers = compile_customers(document.customers)
    return RelayTable(snapshot.version, document.limits, hosts, services, customers)


def _list_shares(route: Route) -> tuple[tuple[ServiceName, int], ...]:
    shares = tuple((share.service, share.weight) for share in route.shares if share.weight)
    return shares or ((route.service, 1),)
