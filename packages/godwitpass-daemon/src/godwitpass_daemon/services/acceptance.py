"""Accepts documents: one compare-and-swap of the root record."""

from collections.abc import Sequence

import msgspec
from anyio.abc import TaskGroup

from godwitpass.document import Document
from godwitpass.errors import VersionConflict
from godwitpass.ids import NO_REVISION, NO_VERSION, ChangeId, ContentHash, Revision, Version
from godwitpass.internal.codec import compress, decompress, encode_canonical, hash_content
from godwitpass.store import Entry, Store

ROOT_KEY = "config/root"
CONTENT_PREFIX = "config/content/"


class Root(msgspec.Struct, frozen=True, array_like=True):
    """The record whose compare-and-swap accepts a version."""

    version: Version
    change: ChangeId
    content_hash: ContentHash


class Accepted(msgspec.Struct, frozen=True):
    """A version that the store has."""

    version: Version
    change: ChangeId
    content_hash: ContentHash


class AcceptanceService:
    """Accepts documents on behalf of operators."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def start(self, tasks: TaskGroup) -> None:
        """Nothing to prepare."""

    async def stop(self) -> None:
        """Nothing to release."""

    async def accept(
        self, document: Document, change: ChangeId, if_version: Version | None
    ) -> Accepted:
        """Make `document` the next version; raises `VersionConflict` when another came first."""
        content = encode_canonical(document)
        digest = hash_content(content)
        await self._store.put(CONTENT_PREFIX + digest, compress(content), None)
        entry = await self._store.get(ROOT_KEY)
        root = decode_root(entry)
        if root.change == change:
            return Accepted(root.version, root.change, root.content_hash)
        if if_version is not None and if_version != root.version:
            raise VersionConflict(root.version, root.change)
        following = Root(Version(root.version + 1), change, digest)
        expected = entry.revision if entry.value is not None else Revision(0)
        result = await self._store.put(ROOT_KEY, msgspec.msgpack.encode(following), expected)
        if not result.written:
            winner = decode_root(result.entry)
            raise VersionConflict(winner.version, winner.change)
        return Accepted(following.version, following.change, following.content_hash)

    async def history(self) -> Sequence[Accepted]:
        """Return the newest version; older ones are not kept."""
        root = decode_root(await self._store.get(ROOT_KEY))
        return (Accepted(root.version, root.change, root.content_hash),) if root.version else ()

    async def content(self, version: Version) -> Document | None:
        """Return the content of `version` if it is the newest."""
        root = decode_root(await self._store.get(ROOT_KEY))
        entry = await self._store.get(CONTENT_PREFIX + root.content_hash)
        if root.version != version or entry.value is None:
            return None
        return msgspec.json.decode(decompress(entry.value), type=Document)


def decode_root(entry: Entry) -> Root:
    """Decode the root record; an absent one is version 0."""
    if entry.value is None:
        assert entry.revision >= NO_REVISION
        return Root(NO_VERSION, ChangeId(""), ContentHash(""))
    return msgspec.msgpack.decode(entry.value, type=Root)
