"""Events of acceptance and distribution, numbers 200 to 299."""

from godwitpass.events import EventKind, Level

VERSION_ACCEPTED = EventKind(200, "version-accepted", "The store accepted a new version.")
VERSION_REFUSED = EventKind(
    201,
    "version-refused",
    "A change was rejected because another one was accepted first.",
    Level.WARNING,
)
ACCEPTANCE_UNKNOWN = EventKind(
    202,
    "acceptance-unknown",
    "It could not be determined whether a change was accepted.",
    Level.ERROR,
)
VERSION_NOT_ACCEPTED = EventKind(
    204,
    "version-not-accepted",
    "A change was not accepted: the store did not respond.",
    Level.WARNING,
)
CONTENT_COLLECTED = EventKind(
    203, "content-collected", "Stored content that no version refers to was deleted.", Level.DEBUG
)
VERSION_ACTIVATED = EventKind(210, "version-activated", "The daemon activated a version.")
ROOT_WENT_BACK = EventKind(
    211, "root-went-back", "The store holds a lower version than the daemon.", Level.ERROR
)
VERSION_DIFFERS = EventKind(
    212,
    "version-differs",
    "A version was seen with different content; the daemon keeps its own.",
    Level.ERROR,
)
CONTENT_WRONG = EventKind(
    213,
    "content-wrong",
    "Received or stored content could not be decoded or verified.",
    Level.WARNING,
)
CONTENT_MISSING = EventKind(
    214, "content-missing", "The store lacks content that the root record refers to.", Level.ERROR
)
VERSION_NOT_CLOSED = EventKind(
    215, "version-not-closed", "A version with dangling references was not activated.", Level.ERROR
)
STORE_LOST = EventKind(216, "store-lost", "A reader can't reach the store.", Level.WARNING)
STORE_REGAINED = EventKind(217, "store-regained", "A reader reached the store again.")
PEER_SILENT = EventKind(
    218, "peer-silent", "A daemon does not acknowledge a version and is bypassed in the tree."
)
SNAPSHOT_DELAYED = EventKind(
    219, "snapshot-delayed", "A request for a full version was postponed.", Level.DEBUG
)
DOCUMENT_REJECTED = EventKind(
    221,
    "document-rejected",
    "The store holds a document that this daemon can't use; it keeps the version that it holds.",
    Level.ERROR,
)
STORE_WENT_BACK = EventKind(
    222,
    "store-went-back",
    "The store's revision is lower than one seen before; the daemon keeps the version it holds.",
    Level.WARNING,
)
DOCUMENT_REMARKS = EventKind(
    223,
    "document-remarks",
    "A new version is used although parts of its document are unknown or have no effect.",
    Level.WARNING,
)
CHANGE_MISSED = EventKind(
    224,
    "change-missed",
    "A change arrived that an earlier answer of the store did not list but covered.",
    Level.WARNING,
)
SUBSTITUTION_STARTED = EventKind(
    225,
    "substitution-started",
    "The daemon reads the store in place of a reader that can't reach it.",
)
SUBSTITUTION_ENDED = EventKind(
    226, "substitution-ended", "The daemon no longer reads the store in place of a reader."
)
VERSION_AWAITED = EventKind(
    227,
    "version-awaited",
    "The daemon has known for `known_ms` that others hold the version `later`, and lacks it.",
    Level.WARNING,
)
OWN_READ_STARTED = EventKind(
    228,
    "own-read-started",
    "The daemon reads the store itself, since no daemon delivered the later version that it knows "
    "of.",
)
ZONE_CONVERGED = EventKind(
    220, "zone-converged", "All daemons of the availability zone hold the version."
)
