"""The configuration document: routes, services and policies."""

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from godwitpass.ids import PolicyName, RouteName, ServiceName

DOCUMENT_FORMAT = 1
"""Format number of the documents that this release reads."""


MAX_TIMEOUT_MS = 3_600_000
MAX_ATTEMPTS = 10
MAX_QUEUE_MS = 60_000
MAX_PRIORITY = 1_000
MAX_WEIGHT = 1_000_000
MAX_SHARES = 64
MAX_HEAD_BYTES = 1024 * 1024
MAX_BODY_BYTES = 1024 * 1024 * 1024
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}(?!\n)$"
HOST_PATTERN = r"^([a-z0-9][a-z0-9.-]{0,252})?(?!\n)$"
METHOD_PATTERN = r"^[A-Z]{1,16}(?!\n)$"
PATH_PATTERN = r"^/$|^(/(?!\.{1,2}(/|$))[A-Za-z0-9._~!$&'()*+,;=:@-]+){1,32}(?!\n)$"
"""A normal path prefix: no empty, `.` or `..` segment, no escape, no slash at the end."""
PATTERN_REMEDIES = {
    NAME_PATTERN: "use 1 to 63 letters, digits, '.', '_' and '-', a letter or digit first",
    HOST_PATTERN: "write a lower-case host name without a port",
    METHOD_PATTERN: "write an HTTP method in capitals, as GET",
    PATH_PATTERN: "write '/' or segments as '/orders/new', unescaped and with no '/' at the end",
}
"""How to mend a text that does not match a pattern."""


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

    favour: Annotated[
        Favour, Meta(description="`convergence` sends sooner, `bytes` sends less.")
    ] = Favour.CONVERGENCE


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """What a caller may send on a connection, and how long it may take."""

    head_bytes: Annotated[
        int,
        Meta(ge=256, le=MAX_HEAD_BYTES, description="Largest request line with its headers."),
    ] = (
        32 * 1024
    )
    body_bytes: Annotated[
        int, Meta(ge=0, le=MAX_BODY_BYTES, description="Largest request body.")
    ] = (16 * 1024 * 1024)
    head_timeout_ms: Annotated[
        int, Meta(ge=1, le=MAX_TIMEOUT_MS, description="Longest time for a request's head.")
    ] = 10_000
    idle_timeout_ms: Annotated[
        int, Meta(ge=1, le=MAX_TIMEOUT_MS, description="Longest time between two requests.")
    ] = 75_000


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Treatment of the calls on a route; an unset field is taken from `extends`."""

    name: Annotated[
        PolicyName, Meta(pattern=NAME_PATTERN, description="Unique among the policies.")
    ]
    extends: Annotated[
        PolicyName | None, Meta(description="Policy that gives the fields unset here.")
    ] = None
    execution: Annotated[
        Execution | None,
        Meta(description="How often a call may run; `at-most-once` is never sent twice."),
    ] = None
    timeout_ms: Annotated[
        Annotated[int, Meta(ge=1, le=MAX_TIMEOUT_MS)] | None,
        Meta(description="Longest time up to the first byte of an answer."),
    ] = None
    stall_timeout_ms: Annotated[
        Annotated[int, Meta(ge=1, le=MAX_TIMEOUT_MS)] | None,
        Meta(description="Longest time that a transfer may make no progress."),
    ] = None
    attempts: Annotated[
        Annotated[int, Meta(ge=1, le=MAX_ATTEMPTS)] | None,
        Meta(description="Attempts of one call, the first included."),
    ] = None
    queue_ms: Annotated[
        Annotated[int, Meta(ge=0, le=MAX_QUEUE_MS)] | None,
        Meta(description="Longest wait for a free slot of an upstream."),
    ] = None
    objective_ms: Annotated[
        Annotated[int, Meta(ge=1, le=MAX_TIMEOUT_MS)] | None,
        Meta(description="Time within which an answer is worth most to the caller."),
    ] = None
    priority: Annotated[
        Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] | None,
        Meta(description="Rank when there is not room for all calls; 0 goes first."),
    ] = None
    uploads: Annotated[bool | None, Meta(description="Whether request bodies are large.")] = None


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A group of interchangeable upstreams."""

    name: Annotated[
        ServiceName, Meta(pattern=NAME_PATTERN, description="Unique among the services.")
    ]
    internal: Annotated[
        bool, Meta(description="Whether only callers inside the mesh reach it.")
    ] = False
    slots: Annotated[
        int, Meta(ge=1, le=MAX_SLOTS, description="Calls that one upstream runs at a time.")
    ] = 12
    connections: Annotated[
        int, Meta(ge=1, le=MAX_CONNECTIONS, description="Connections that one upstream bears.")
    ] = 110
    health_path: Annotated[
        str,
        Meta(
            max_length=512, description="Path that tells whether an upstream is well; may be empty."
        ),
    ] = ""


class Share(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One of the services among which the calls of a route are divided."""

    service: Annotated[
        ServiceName, Meta(pattern=NAME_PATTERN, description="Service that receives the share.")
    ]
    weight: Annotated[
        int,
        Meta(ge=0, le=MAX_WEIGHT, description="Its part of the sum of all weights of the route."),
    ]


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Maps requests to a service; no two routes may match the same request equally well."""

    name: Annotated[RouteName, Meta(pattern=NAME_PATTERN, description="Unique among the routes.")]
    path_prefix: Annotated[
        str,
        Meta(
            pattern=PATH_PATTERN,
            max_length=512,
            description="Leading path segments; `/` matches any path.",
        ),
    ]
    service: Annotated[ServiceName, Meta(description="Service that receives the calls.")]
    host: Annotated[
        str,
        Meta(pattern=HOST_PATTERN, description="Lower-case host without a port; empty for any."),
    ] = ""
    methods: Annotated[
        tuple[Annotated[str, Meta(pattern=METHOD_PATTERN)], ...],
        Meta(description="Upper-case methods; empty for any."),
    ] = ()
    policy: Annotated[
        PolicyName | None, Meta(description="Treatment of the calls; unset for the defaults.")
    ] = None
    internal: Annotated[
        bool,
        Meta(description="Whether only callers inside the mesh reach it, whatever its service."),
    ] = False
    shares: Annotated[
        tuple[Share, ...],
        Meta(
            max_length=MAX_SHARES,
            description="Services that divide the calls by weight; empty for `service` alone.",
        ),
    ] = ()


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Everything that operators configure; accepted or refused as a whole."""

    format: Annotated[int, Meta(description="Format number; this release reads 1.")]
    services: Annotated[
        tuple[Service, ...], Meta(description="Groups of upstreams that routes lead to.")
    ] = ()
    routes: Annotated[tuple[Route, ...], Meta(description="Where requests go.")] = ()
    policies: Annotated[
        tuple[Policy, ...], Meta(description="Treatments of calls that routes share.")
    ] = ()
    distribution: Annotated[
        Distribution, Meta(description="What the spread of versions favours.")
    ] = Distribution()
    limits: Annotated[
        CallerLimits, Meta(description="What callers may send, and how long they may take.")
    ] = CallerLimits()


def read_document(content: bytes | str, source: str = "") -> Document:
    """Return the document in `content`, JSON with comments.

    Raises `InvalidDocument` with all findings, each naming `source`.

    >>> read_document('{"format": 1} // empty').routes
    ()
    """
    # The reader needs the types above.
    from godwitpass.internal.validation.reader import read_checked_document

    return read_checked_document(content, source)
