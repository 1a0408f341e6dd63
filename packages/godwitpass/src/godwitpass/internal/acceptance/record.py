"""The root record: the newest accepted version, recent deltas and the history before it."""

import msgspec

from godwitpass.ids import NO_VERSION, ChangeId, ContentHash, Version
from godwitpass.store import MAX_VALUE_BYTES, Entry

ROOT_KEY = "config/root"
CONTENT_PREFIX = "config/content/"
MAX_HISTORY_VERSIONS = 64
MAX_PART_BYTES = MAX_VALUE_BYTES - 64
MAX_TOTAL_DELTA_BYTES = 8 * 1024
"""Size of all deltas in a root record; a larger one is read as content instead."""


class AcceptedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version that the store has; `time` is seconds since the epoch."""

    version: Version
    change: ChangeId
    content_hash: ContentHash
    time: float = 0.0


class VersionDelta(msgspec.Struct, frozen=True, array_like=True):
    """Leads from version `base` to the version after it."""

    base: Version
    body: bytes


class RootRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record whose compare-and-swap accepts a version; `history` has the newest last."""

    history: tuple[AcceptedVersion, ...] = ()
    deltas: tuple[VersionDelta, ...] = ()

    @property
    def version(self) -> Version:
        """Return the newest accepted version."""
        return self.history[-1].version if self.history else NO_VERSION

    @property
    def newest(self) -> AcceptedVersion:
        """Return the newest accepted version with its change and hash."""
        return self.history[-1] if self.history else NO_ACCEPTED_VERSION

    def find_change(self, change: ChangeId) -> AcceptedVersion | None:
        """Return the version that `change` made, if the history still has it."""
        return next((record for record in self.history if record.change == change), None)

    def find_version(self, version: Version) -> AcceptedVersion | None:
        """Return the record of `version`, if the history still has it."""
        return next((record for record in self.history if record.version == version), None)


NO_ACCEPTED_VERSION = AcceptedVersion(NO_VERSION, ChangeId(""), ContentHash(""))


class ContentPart(msgspec.Struct, frozen=True, array_like=True):
    """One of the `count` stored parts of a content."""

    count: int
    body: bytes


def append_version(root: RootRecord, accepted: AcceptedVersion, delta: bytes | None) -> RootRecord:
    """Return the record that follows `root`; an unknown `delta` ends the run of deltas.

    `delta` leads from the version just before the accepted one.
    """
    assert accepted.version > root.version, "versions only grow"
    history = (*root.history, accepted)[-MAX_HISTORY_VERSIONS:]
    if delta is None or len(delta) > MAX_TOTAL_DELTA_BYTES:
        return RootRecord(history)
    base = Version(accepted.version - 1)
    earlier = root.deltas if base == root.version else ()
    deltas = (*earlier, VersionDelta(base, delta))
    while sum(len(item.body) for item in deltas) > MAX_TOTAL_DELTA_BYTES:
        deltas = deltas[1:]
    return RootRecord(history, deltas)


def encode_root(root: RootRecord) -> bytes:
    """Encode the root record."""
    return msgspec.msgpack.encode(root)


def decode_root(entry: Entry) -> RootRecord:
    """Decode the root record; an absent one has accepted nothing."""
    if entry.value is None:
        return RootRecord()
    return msgspec.msgpack.decode(entry.value, type=RootRecord)


def build_content_key(content_hash: ContentHash, part: int = 0) -> str:
    """Return the key of one part of a content."""
    return f"{CONTENT_PREFIX}{content_hash}.{part}"


def split_content(body: bytes) -> tuple[bytes, ...]:
    """Split an encoded document into values that the store takes."""
    pieces = [body[at : at + MAX_PART_BYTES] for at in range(0, len(body), MAX_PART_BYTES)]
    return tuple(msgspec.msgpack.encode(ContentPart(len(pieces), piece)) for piece in pieces)


def decode_part(value: bytes) -> ContentPart:
    """Decode one stored part."""
    return msgspec.msgpack.decode(value, type=ContentPart)
