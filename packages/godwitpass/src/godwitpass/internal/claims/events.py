"""Events reported by shard owners."""

from godwitpass.events import EventKind, Level

SHARD_LOADED = EventKind(500, "claims-shard-loaded", "The daemon loaded a shard of claims.")
SHARD_CONFLICT = EventKind(
    501,
    "claims-shard-conflict",
    "Another daemon wrote the shard first; this daemon reads it again.",
)
SHARD_UNSETTLED = EventKind(
    502,
    "claims-shard-unsettled",
    "The result of a write to a shard is unknown; the shard is read back before any claim is"
    " granted.",
    Level.WARNING,
)
STORE_UNAVAILABLE = EventKind(
    503,
    "claims-store-unavailable",
    "A store call for a shard failed; at-most-once calls that need the shard are not run.",
    Level.WARNING,
)
SHARD_ROLLED_BACK = EventKind(
    504,
    "claims-shard-rolled-back",
    "The stored shard is older than a generation seen before; keys created until now are refused.",
    Level.ERROR,
)
SEGMENT_MISSING = EventKind(
    505,
    "claims-segment-missing",
    "A segment of a shard is missing in the store; keys that it may have contained are refused.",
    Level.ERROR,
)
SHARD_CORRUPT = EventKind(
    506,
    "claims-shard-corrupt",
    "The stored shard can't be decoded; none of its claims is granted.",
    Level.ERROR,
)
ALL_KINDS = (
    SHARD_LOADED,
    SHARD_CONFLICT,
    SHARD_UNSETTLED,
    STORE_UNAVAILABLE,
    SHARD_ROLLED_BACK,
    SEGMENT_MISSING,
    SHARD_CORRUPT,
)
