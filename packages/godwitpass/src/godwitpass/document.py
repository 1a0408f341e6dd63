"""The configuration document: routes, services and policies."""

from enum import Enum

import msgspec

from godwitpass.ids import PolicyName, RouteName, ServiceName

FORMAT = 1
"""Format number of the documents that this release reads."""


class Favour(Enum):
    """What distribution spends: bytes to converge sooner, or time to send fewer bytes."""

    CONVERGENCE = "convergence"
    BYTES = "bytes"


class Execution(Enum):
    """How often a call on a route may run."""

    IDEMPOTENT = "idempotent"
    ONCE = "at-most-once"
    UNSAFE = "unsafe"


class Distribution(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """How versions spread."""

    favour: Favour = Favour.CONVERGENCE


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Treatment of the calls on a route; an unset field is taken from `extends`."""

    name: PolicyName
    extends: PolicyName | None = None
    execution: Execution | None = None
    timeout_ms: int | None = None
    stall_timeout_ms: int | None = None
    attempts: int | None = None
    queue_ms: int | None = None


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A group of interchangeable upstreams.

    `slots` is the number of calls that one upstream runs at a time and `connections` the number
    of connections that it bears.
    """

    name: ServiceName
    internal: bool = False
    slots: int = 12
    connections: int = 110


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Maps requests to a service; an empty `host` or `methods` matches any.

    An `internal` route is reached only from inside the mesh, whatever its service.
    """

    name: RouteName
    path_prefix: str
    service: ServiceName
    host: str = ""
    methods: tuple[str, ...] = ()
    policy: PolicyName | None = None
    internal: bool = False


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Everything that operators configure; accepted or refused as a whole."""

    format: int
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    policies: tuple[Policy, ...] = ()
    distribution: Distribution = Distribution()
