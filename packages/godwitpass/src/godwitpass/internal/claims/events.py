"""Numbered events of claims."""

from godwitpass.events import EventKind, Level

SHARD_LOADED = EventKind(500, "claims-shard-loaded", "A daemon began to serve a shard of claims.")
SHARD_CONFLICT = EventKind(
    501, "claims-shard-conflict", "Another daemon wrote the shard first; it is read again."
)
SHARD_UNSETTLED = EventKind(
    502,
    "claims-shard-unsettled",
    "A write's answer was lost; the shard is read back before any claim is granted.",
    Level.WARNING,
)
SHARD_UNAVAILABLE = EventKind(
    503,
    "claims-store-unavailable",
    "The store did not answer; at-most-once calls are answered as not run.",
    Level.WARNING,
)
SHARD_ROLLED_BACK = EventKind(
    504,
    "claims-shard-rolled-back",
    "The store shows an older shard than was seen; keys made before now are refused.",
    Level.ERROR,
)
SEGMENT_MISSING = EventKind(
    505,
    "claims-segment-missing",
    "A part of a shard is missing in the store; the keys it may have held are refused.",
    Level.ERROR,
)
SHARD_CORRUPT = EventKind(
    506, "claims-shard-corrupt", "A shard can't be decoded; no claim is granted.", Level.ERROR
)
ALL_KINDS = (
    SHARD_LOADED,
    SHARD_CONFLICT,
    SHARD_UNSETTLED,
    SHARD_UNAVAILABLE,
    SHARD_ROLLED_BACK,
    SEGMENT_MISSING,
    SHARD_CORRUPT,
)
