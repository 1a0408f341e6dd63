"""Messages of the administration API, which the daemon serves and `godwitctl` calls."""

from enum import Enum

import msgspec

from godwitpass.difference import Difference
from godwitpass.document import Document
from godwitpass.errors import Finding
from godwitpass.events import TimelineEvent
from godwitpass.ids import (
    NO_VERSION,
    ChangeId,
    ContentHash,
    CustomerName,
    InstanceId,
    RegionId,
    Version,
    ZoneId,
)
from godwitpass.mesh import UpstreamState

CHANGE_HEADER = "Godwitpass-Change-Id"
"""Header with the idempotency key of a write: a repeated write takes effect once."""

MAX_CHANGE_ID_CHARS = 64

CUSTOMERS_PATH = "/v1/customers"
"""Path of the state of the customers, which a relay serves on the address of its metrics."""


class ProblemKind(Enum):
    """Why a request was rejected or failed."""

    INVALID_DOCUMENT = "invalid-document"
    INVALID_REQUEST = "invalid-request"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not-found"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    TOO_LARGE = "too-large"
    TOO_SLOW = "too-slow"
    BUSY = "busy"
    VERSION_CONFLICT = "version-conflict"
    NOT_READY = "not-ready"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_WENT_BACK = "store-went-back"
    OUTCOME_UNKNOWN = "outcome-unknown"
    INTERNAL = "internal"


class CustomerStatus(msgspec.Struct, frozen=True):
    """A customer at one daemon; limits and keys are those of its version.

    `key_fingerprints` are the first digits of the keys' digests, `calls_per_s` the rate of its
    requests in the last 10 to 20 s, and `counts` its requests by what became of them since the
    daemon was started.
    """

    name: CustomerName
    priority: int | None
    rate_per_s: float
    burst: float
    key_fingerprints: tuple[str, ...]
    calls_per_s: float
    counts: dict[str, int]


class CustomersStatus(msgspec.Struct, frozen=True):
    """The customers at one daemon; `proof_age_s` is -1 if its version may not be the newest.

    `other_counts` are the requests without a valid key, and of customers that are not listed.
    """

    instance: InstanceId
    version: Version
    proof_age_s: float
    customers: tuple[CustomerStatus, ...]
    other_counts: dict[str, int]


class CustomersReport(msgspec.Struct, frozen=True):
    """The customers at several daemons."""

    daemons: tuple[CustomersStatus, ...]


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to a request that was rejected or failed.

    After a `version-conflict`, `current` is the version that was accepted first, `winner` the
    change that created it, and `differences` lists how it differs from the submitted document.
    """

    kind: ProblemKind
    message: str
    remedy: str = ""
    findings: tuple[Finding, ...] = ()
    current: Version = NO_VERSION
    winner: ChangeId = ChangeId("")
    change: ChangeId = ChangeId("")
    differences: tuple[Difference, ...] = ()


class VersionRecord(msgspec.Struct, frozen=True):
    """One accepted version."""

    version: Version
    change: ChangeId
    content_hash: ContentHash


class VersionedDocument(msgspec.Struct, frozen=True):
    """The content of an accepted version."""

    version: Version
    document: Document


class ValidationResult(msgspec.Struct, frozen=True):
    """Response for a valid document: how it differs from the active version."""

    content_hash: ContentHash
    differences: tuple[Difference, ...]


class History(msgspec.Struct, frozen=True):
    """Accepted versions, newest first."""

    versions: tuple[VersionRecord, ...]


class Comparison(msgspec.Struct, frozen=True):
    """Differences between two versions."""

    older: Version
    newer: Version
    differences: tuple[Difference, ...]


class RollbackRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request for a new version with the content of an earlier one."""

    to_version: Version


class Lag(msgspec.Struct, frozen=True):
    """A daemon that does not hold the newest version, and the known reason."""

    instance: InstanceId
    zone: ZoneId
    version: Version
    reason: str


class ZoneSpread(msgspec.Struct, frozen=True):
    """How many daemons of an availability zone hold the newest version."""

    zone: ZoneId
    region: RegionId
    holding: int
    total: int


class Spread(msgspec.Struct, frozen=True):
    """How many daemons hold `version`; `lagging` names some of those that don't."""

    version: Version
    holding: int
    total: int
    zones: tuple[ZoneSpread, ...] = ()
    lagging: tuple[Lag, ...] = ()


class Status(msgspec.Struct, frozen=True):
    """Active version of one daemon, and what it knows about the other daemons."""

    instance: InstanceId
    zone: ZoneId
    region: RegionId
    version: Version
    spread: Spread


class Timeline(msgspec.Struct, frozen=True):
    """Events that one daemon retains, oldest first."""

    events: tuple[TimelineEvent, ...]


class DrainResult(msgspec.Struct, frozen=True):
    """State that a daemon now announces for its upstream."""

    instance: InstanceId
    state: UpstreamState
