"""What must always hold of configuration, as checks for tests and for running daemons."""

from collections.abc import Hashable

from godwitpass.errors import GodwitpassError
from godwitpass.ids import NO_VERSION, ContentHash, Version
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.internal.distribution.snapshot_cache import find_dangling_references
from godwitpass.snapshot import Snapshot


class InvariantViolation(GodwitpassError):
    """Something happened that must never happen."""


class ConfigurationInvariants:
    """Checks every activation of one or many daemons.

    A daemon is named by any hashable key; `restart` begins a new life of it.
    """

    def __init__(self) -> None:
        self._hashes: dict[Version, ContentHash] = {}
        self._held: dict[Hashable, Version] = {}
        self._checked: dict[int, Snapshot] = {}

    def restart(self, daemon: Hashable) -> None:
        """Forget the life of a daemon that died."""
        self._held.pop(daemon, None)

    def check_accepted(self, version: Version, content_hash: ContentHash) -> None:
        """Check that `version` was not accepted before with another content."""
        known = self._hashes.setdefault(version, content_hash)
        if known != content_hash:
            raise InvariantViolation(f"version {version} was accepted with two contents")

    def check_activation(self, daemon: Hashable, snapshot: Snapshot) -> None:
        """Check that a daemon may switch to `snapshot`."""
        held = self._held.get(daemon, NO_VERSION)
        if snapshot.version <= held:
            raise InvariantViolation(f"{daemon} moved from version {held} to {snapshot.version}")
        self._held[daemon] = snapshot.version
        self.check_accepted(snapshot.version, snapshot.content_hash)
        self._check_content(snapshot)

    def _check_content(self, snapshot: Snapshot) -> None:
        """Check once per document object that it is whole and closed."""
        known = self._checked.get(id(snapshot.document))
        if known is not None and known.content_hash == snapshot.content_hash:
            return
        if hash_content(encode_canonical(snapshot.document)) != snapshot.content_hash:
            raise InvariantViolation(f"version {snapshot.version} is not held whole")
        findings = find_dangling_references(snapshot.document)
        if findings:
            raise InvariantViolation(f"version {snapshot.version}: {findings[0].render()}")
        self._checked[id(snapshot.document)] = snapshot
