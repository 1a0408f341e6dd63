"""Holds the configuration: every daemon watches the root record in the store."""

from collections.abc import Callable

import anyio
import msgspec
from anyio.abc import TaskGroup

from godwitpass.administration import Spread
from godwitpass.document import Document
from godwitpass.errors import StoreError
from godwitpass.ids import NO_REVISION, NO_VERSION
from godwitpass.internal.codec import decompress, hash_content
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry, Store
from godwitpass_daemon.services.acceptance import CONTENT_PREFIX, ROOT_KEY, decode_root

WATCH_S = 10.0
RETRY_S = 0.5


class DistributionService:
    """Keeps the newest accepted version."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._snapshot: Snapshot | None = None
        self._callbacks: list[Callable[[Snapshot], None]] = []

    async def start(self, tasks: TaskGroup) -> None:
        """Watch in the background."""
        tasks.start_soon(self._watch)

    async def stop(self) -> None:
        """Nothing to release."""

    def snapshot(self) -> Snapshot | None:
        """Return the version in force, if any is held."""
        return self._snapshot

    def subscribe(self, callback: Callable[[Snapshot], None]) -> None:
        """Call `callback` after each new version."""
        self._callbacks.append(callback)

    def status(self) -> Spread:
        """Return what this daemon alone holds."""
        version = NO_VERSION if self._snapshot is None else self._snapshot.version
        return Spread(version, 1, 1)

    async def _watch(self) -> None:
        after = NO_REVISION
        while True:
            try:
                result = await self._store.watch(ROOT_KEY, after, WATCH_S)
                for entry in result.entries:
                    await self._load(entry)
            except StoreError:
                await anyio.sleep(RETRY_S)
                continue
            after = result.revision

    async def _load(self, entry: Entry) -> None:
        root = decode_root(entry)
        if self._snapshot is not None and root.version <= self._snapshot.version:
            return
        stored = await self._store.get(CONTENT_PREFIX + root.content_hash)
        if stored.value is None:
            return
        content = decompress(stored.value)
        if hash_content(content) != root.content_hash:
            return
        document = msgspec.json.decode(content, type=Document)
        self._snapshot = Snapshot(root.version, root.change, root.content_hash, document)
        for callback in self._callbacks:
            callback(self._snapshot)
