"""The root record in the store, with the latest accepted versions and the deltas between them."""

import msgspec

from godwitpass.ids import NO_VERSION, ChangeId, ContentHash, Version
from godwitpass.store import MAX_VALUE_BYTES, Entry

ROOT_KEY = "config/root"
CONTENT_PREFIX = "config/content/"
MAX_HISTORY_VERSIONS = 64
PART_HEADER_BYTES = 64
"""Space reserved for what the encoding of a part adds to its body."""
MAX_PART_BYTES = MAX_VALUE_BYTES - PART_HEADER_BYTES
MAX_TOTAL_DELTA_BYTES = 8 * 1024
"""Maximum total size of the deltas in a root record; without them, readers load full content."""


class AcceptedVersion(msgspec.Struct, frozen=True, array_like=True):
    """An accepted version; `accepted_at_s` is in seconds since the epoch."""

    version: Version
    change: ChangeId
    content_hash: ContentHash
    accepted_at_s: float = 0.0


class VersionDelta(msgspec.Struct, frozen=True, array_like=True):
    """Encoded delta from version `base_version` to the next version."""

    base_version: Version
    body: bytes


class RootRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record whose compare-and-swap accepts a version; the newest is last in `history`."""

    history: tuple[AcceptedVersion, ...] = ()
    deltas: tuple[VersionDelta, ...] = ()

    @property
    def version(self) -> Version:
        """Return the number of the newest accepted version, or `NO_VERSION`."""
        return self.history[-1].version if self.history else NO_VERSION

    @property
    def newest(self) -> AcceptedVersion:
        """Return the record of the newest accepted version, or `NO_ACCEPTED_VERSION`."""
        return self.history[-1] if self.history else NO_ACCEPTED_VERSION

    def find_change(self, change: ChangeId) -> AcceptedVersion | None:
        """Return the version that `change` created, or None if the history lacks it."""
        return next((record for record in self.history if record.change == change), None)

    def find_version(self, version: Version) -> AcceptedVersion | None:
        """Return the record of `version`, or None if the history lacks it."""
        return next((record for record in self.history if record.version == version), None)


NO_ACCEPTED_VERSION = AcceptedVersion(NO_VERSION, ChangeId(""), ContentHash(""))


class ContentPart(msgspec.Struct, frozen=True, array_like=True):
    """One of the `count` parts in which the content of a version is stored."""

    count: int
    body: bytes


def append_version(root: RootRecord, accepted: AcceptedVersion, delta: bytes | None) -> RootRecord:
    """Return the successor of `root`, which has `accepted` as its newest version.

    `delta` leads to it from the version before; if that is None or too large, no deltas are kept.
    """
    assert accepted.version > root.version, "each version is higher than the one before"
    history = (*root.history, accepted)[-MAX_HISTORY_VERSIONS:]
    if delta is None or len(delta) > MAX_TOTAL_DELTA_BYTES:
        return RootRecord(history)
    base_version = Version(accepted.version - 1)
    previous_deltas = root.deltas if base_version == root.version else ()
    deltas = (*previous_deltas, VersionDelta(base_version, delta))
    while sum(len(item.body) for item in deltas) > MAX_TOTAL_DELTA_BYTES:
        deltas = deltas[1:]
    return RootRecord(history, deltas)


def encode_root(root: RootRecord) -> bytes:
    """Encode the root record."""
    return msgspec.msgpack.encode(root)


def decode_root(entry: Entry) -> RootRecord:
    """Decode the root record; return an empty one if the entry is absent."""
    if entry.value is None:
        return RootRecord()
    return msgspec.msgpack.decode(entry.value, type=RootRecord)


def build_content_key(content_hash: ContentHash, part_index: int = 0) -> str:
    """Return the store key of one part of the content with this hash."""
    return f"{CONTENT_PREFIX}{content_hash}.{part_index}"


def split_content(body: bytes) -> tuple[bytes, ...]:
    """Split an encoded document into encoded parts that the store accepts as values."""
    chunks = [
        body[offset : offset + MAX_PART_BYTES] for offset in range(0, len(body), MAX_PART_BYTES)
    ]
    return tuple(msgspec.msgpack.encode(ContentPart(len(chunks), chunk)) for chunk in chunks)


def decode_part(value: bytes) -> ContentPart:
    """Decode one stored part."""
    return msgspec.msgpack.decode(value, type=ContentPart)
