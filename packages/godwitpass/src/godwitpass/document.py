"""The configuration document: routes, services and policies."""

from enum import Enum
from typing import Annotated

import msgspec
from msgspec import Meta

from godwitpass.ids import CustomerName, PolicyName, RouteName, ServiceName

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
MAX_KEYS = 256
MAX_RATE_PER_S = 1e9

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}(?!\n)$"
HOST_PATTERN = r"^([a-z0-9][a-z0-9.-]{0,252})?(?!\n)$"
METHOD_PATTERN = r"^[A-Z]{1,16}(?!\n)$"
PATH_PATTERN = r"^/$|^(/(?!\.{1,2}(/|$))[A-Za-z0-9._~!$&'()*+,;=:@-]+){1,32}(?!\n)$"
"""`/` or a normalized path: no empty, `.` or `..` segment, no escapes, no trailing slash."""

DIGEST_PATTERN = r"^[0-9a-f]{32}(?!\n)$"
PATTERN_REMEDIES = {
    NAME_PATTERN: "use 1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit",
    HOST_PATTERN: "write a lower-case host name without a port",
    METHOD_PATTERN: "write an HTTP method in upper case, such as GET",
    DIGEST_PATTERN: "write the first 32 hexadecimal digits of the SHA-256 hash of the key",
    PATH_PATTERN: "write '/' or a path such as '/orders/new', without escapes or a trailing '/'",
}
"""Remedy reported for a string that does not match a pattern."""


class Favour(Enum):
    """What distribution optimizes for: a short convergence time, or little traffic."""

    CONVERGENCE = "convergence"
    BYTES = "bytes"


class Execution(Enum):
    """Whether a call on a route may be executed more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "at-most-once"
    UNSAFE = "unsafe"


class Distribution(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """How new versions are distributed to the daemons."""

    favour: Annotated[
        Favour, Meta(description="`convergence` sends sooner, `bytes` sends less data.")
    ] = Favour.CONVERGENCE


class CallerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """Limits on the size and duration of the requests that a caller sends on a connection."""

    head_bytes: Annotated[
        int,
        Meta(
            ge=256, le=MAX_HEAD_BYTES, description="Maximum size of a request line and its headers."
        ),
    ] = (
        32 * 1024
    )
    body_bytes: Annotated[
        int, Meta(ge=0, le=MAX_BODY_BYTES, description="Maximum size of a request body.")
    ] = (16 * 1024 * 1024)
    head_timeout_ms: Annotated[
        int, Meta(ge=1, le=MAX_TIMEOUT_MS, description="Maximum time to receive a request's head.")
    ] = 10_000
    idle_timeout_ms: Annotated[
        int, Meta(ge=1, le=MAX_TIMEOUT_MS, description="Maximum idle time between two requests.")
    ] = 75_000


class Policy(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """How the calls on a route are handled; an unset field is inherited from `extends`."""

    name: Annotated[
        PolicyName, Meta(pattern=NAME_PATTERN, description="Unique among the policies.")
    ]
    extends: Annotated[
        PolicyName | None, Meta(description="Policy from which unset fields are inherited.")
    ] = None
    execution: Annotated[
        Execution | None,
        Meta(
            description="Whether a call may run more than once; `at-most-once` is never sent twice."
        ),
    ] = None
    timeout_ms: Annotated[
        Annotated[int, Meta(ge=1, le=MAX_TIMEOUT_MS)] | None,
        Meta(description="Maximum time until the first byte of the response."),
    ] = None
    stall_timeout_ms: Annotated[
        Annotated[int, Meta(ge=1, le=MAX_TIMEOUT_MS)] | None,
        Meta(description="Maximum time that a transfer may go without progress."),
    ] = None
    attempts: Annotated[
        Annotated[int, Meta(ge=1, le=MAX_ATTEMPTS)] | None,
        Meta(description="Maximum number of attempts of one call, including the first."),
    ] = None
    queue_ms: Annotated[
        Annotated[int, Meta(ge=0, le=MAX_QUEUE_MS)] | None,
        Meta(description="Maximum wait for a free slot of an upstream."),
    ] = None
    objective_ms: Annotated[
        Annotated[int, Meta(ge=1, le=MAX_TIMEOUT_MS)] | None,
        Meta(description="Response time within which a response has its full value to the caller."),
    ] = None
    priority: Annotated[
        Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] | None,
        Meta(description="Priority when there is no room for all calls; 0 is served first."),
    ] = None
    uploads: Annotated[bool | None, Meta(description="Whether request bodies are large.")] = None
    extra_request_share: Annotated[
        Annotated[float, Meta(ge=0, le=1)] | None,
        Meta(
            description="Share of the calls that may get a second, extra request while the first is"
            " slow; 0 for none. Unset, the daemon's own setting applies, which is 0 by default."
        ),
    ] = None


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A group of interchangeable upstreams."""

    name: Annotated[
        ServiceName, Meta(pattern=NAME_PATTERN, description="Unique among the services.")
    ]
    internal: Annotated[
        bool, Meta(description="Whether only callers inside the mesh can reach the service.")
    ] = False
    slots: Annotated[
        int, Meta(ge=1, le=MAX_SLOTS, description="Calls that one upstream runs concurrently.")
    ] = 12
    connections: Annotated[
        int,
        Meta(ge=1, le=MAX_CONNECTIONS, description="Connections that one upstream can hold open."),
    ] = 110
    health_path: Annotated[
        str,
        Meta(max_length=512, description="Path of an upstream's health check; may be empty."),
    ] = ""


class Share(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One of the services among which a route divides its calls, with its weight."""

    service: Annotated[
        ServiceName, Meta(pattern=NAME_PATTERN, description="Service that receives the share.")
    ]
    weight: Annotated[
        int,
        Meta(
            ge=0,
            le=MAX_WEIGHT,
            description="Share of the calls, relative to the sum of the route's weights.",
        ),
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
        PolicyName | None, Meta(description="Policy of the calls; unset for the defaults.")
    ] = None
    internal: Annotated[
        bool,
        Meta(description="Whether only callers inside the mesh can use it, whatever its service."),
    ] = False
    shares: Annotated[
        tuple[Share, ...],
        Meta(
            max_length=MAX_SHARES,
            description="Services that share the calls by weight; empty for `service` alone.",
        ),
    ] = ()
    anonymous: Annotated[
        bool, Meta(description="Whether calls need no key although the document has customers.")
    ] = False


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A customer whose callers identify themselves by a key."""

    name: Annotated[
        CustomerName, Meta(pattern=NAME_PATTERN, description="Unique among the customers.")
    ]
    key_digests: Annotated[
        tuple[Annotated[str, Meta(pattern=DIGEST_PATTERN)], ...],
        Meta(
            max_length=MAX_KEYS,
            description="The first 32 hexadecimal digits of the SHA-256 hash of each valid key.",
        ),
    ] = ()
    priority: Annotated[
        Annotated[int, Meta(ge=0, le=MAX_PRIORITY)] | None,
        Meta(description="Priority that goes before that of the route; 0 is served first."),
    ] = None
    rate_per_s: Annotated[
        float,
        Meta(ge=0, le=MAX_RATE_PER_S, description="Calls a second at all daemons; 0 is no limit."),
    ] = 0.0
    burst: Annotated[
        float,
        Meta(ge=0, le=MAX_RATE_PER_S, description="Calls beyond the rate after a pause."),
    ] = 0.0


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """The complete configuration of the mesh; accepted or rejected as a whole."""

    format: Annotated[int, Meta(description="Format number; this release reads 1.")]
    services: Annotated[
        tuple[Service, ...], Meta(description="Groups of upstreams that routes refer to.")
    ] = ()
    routes: Annotated[tuple[Route, ...], Meta(description="Mapping of requests to services.")] = ()
    policies: Annotated[
        tuple[Policy, ...], Meta(description="Call handling that routes refer to by name.")
    ] = ()
    distribution: Annotated[
        Distribution, Meta(description="What the distribution of versions optimizes for.")
    ] = Distribution()
    limits: Annotated[
        CallerLimits, Meta(description="Limits on the size and duration of callers' requests.")
    ] = CallerLimits()
    customers: Annotated[
        tuple[Customer, ...],
        Meta(description="Customers by key; without any, calls need no key."),
    ] = ()


def read_document(content: bytes | str, source: str = "") -> Document:
    """Parse and validate the document in `content`, which is JSON with comments.

    Raises `InvalidDocument` with all findings; each one names `source`.

    >>> read_document('{"format": 1} // empty').routes
    ()
    """
    # Imported here because the reader module imports the types of this one.
    from godwitpass.internal.validation.reader import read_checked_document

    return read_checked_document(content, source)
