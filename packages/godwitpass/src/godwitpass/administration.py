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
    InstanceId,
    RegionId,
    Version,
    ZoneId,
)
from godwitpass.mesh import UpstreamState

CHANGE_HEADER = "Godwitpass-Change-Id"
"""Header that makes a repeated write take effect once."""

MAX_CHANGE_ID_CHARS = 64


class ProblemKind(Enum):
    """Why a request was refused or failed."""

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


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Answer to a request that was not done.

    After a `version-conflict`, `current` and `winner` name the version that won and its change,
    and `differences` what separates it from the document sent.
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
    """Answer for a valid document: what it would change in the version in force."""

    content_hash: ContentHash
    differences: tuple[Difference, ...]


class History(msgspec.Struct, frozen=True):
    """Accepted versions, newest first."""

    versions: tuple[VersionRecord, ...]


class Comparison(msgspec.Struct, frozen=True):
    """What differs between two versions."""

    older: Version
    newer: Version
    differences: tuple[Difference, ...]


class RollbackRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Asks for a new version with the content of an earlier one."""

    to_version: Version


class Lag(msgspec.Struct, frozen=True):
    """A daemon that does not hold the newest version, and why as far as is known."""

    instance: InstanceId
    zone: ZoneId
    version: Version
    reason: str


class ZoneSpread(msgspec.Struct, frozen=True):
    """How many of an availability zone's daemons hold the newest version."""

    zone: ZoneId
    region: RegionId
    holding: int
    total: int


class Spread(msgspec.Struct, frozen=True):
    """How far `version` has spread; `lagging` names some of the rest."""

    version: Version
    holding: int
    total: int
    zones: tuple[ZoneSpread, ...] = ()
    lagging: tuple[Lag, ...] = ()


class Status(msgspec.Struct, frozen=True):
    """What one daemon holds and knows of the others."""

    instance: InstanceId
    zone: ZoneId
    region: RegionId
    version: Version
    spread: Spread


class Timeline(msgspec.Struct, frozen=True):
    """Events that one daemon keeps, oldest first."""

    events: tuple[TimelineEvent, ...]


class DrainResult(msgspec.Struct, frozen=True):
    """State that the daemon now announces for its upstream."""

    instance: InstanceId
    state: UpstreamState
