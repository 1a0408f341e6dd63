"""Invariants of the configuration, as checks for tests and running daemons."""

from collections.abc import Hashable

from godwitpass.errors import GodwitpassError
from godwitpass.ids import NO_VERSION, ContentHash, Version
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.internal.distribution.snapshot_cache import find_dangling_references
from godwitpass.snapshot import Snapshot


class InvariantViolation(GodwitpassError):
    """An invariant of the configuration does not hold."""


class ConfigurationInvariants:
    """Checks every activation of a version by one or more daemons.

    Any hashable key identifies a daemon. After `restart`, it may activate lower versions again.
    """

    def __init__(self) -> None:
        self._accepted_hashes: dict[Version, ContentHash] = {}
        self._active_versions: dict[Hashable, Version] = {}
        self._checked_documents: dict[int, Snapshot] = {}

    def restart(self, daemon: Hashable) -> None:
        """Forget which version the daemon activated, because it restarts."""
        self._active_versions.pop(daemon, None)

    def check_accepted(self, version: Version, content_hash: ContentHash) -> None:
        """Check that `version` was not accepted earlier with different content."""
        previous = self._accepted_hashes.setdefault(version, content_hash)
        if previous != content_hash:
            raise InvariantViolation(f"version {version} was accepted with two different contents")

    def check_activation(self, daemon: Hashable, snapshot: Snapshot) -> None:
        """Check that a daemon may switch to `snapshot`."""
        active = self._active_versions.get(daemon, NO_VERSION)
        if snapshot.version <= active:
            raise InvariantViolation(
                f"daemon {daemon} moved from version {active} to {snapshot.version}"
            )
        self._active_versions[daemon] = snapshot.version
        self.check_accepted(snapshot.version, snapshot.content_hash)
        self._check_content(snapshot)

    def _check_content(self, snapshot: Snapshot) -> None:
        """Check once per document object that it matches its hash and its references resolve."""
        previous = self._checked_documents.get(id(snapshot.document))
        if previous is not None and previous.content_hash == snapshot.content_hash:
            return
        if hash_content(encode_canonical(snapshot.document)) != snapshot.content_hash:
            raise InvariantViolation(f"version {snapshot.version} does not match its content hash")
        findings = find_dangling_references(snapshot.document)
        if findings:
            raise InvariantViolation(f"version {snapshot.version}: {findings[0].render()}")
        self._checked_documents[id(snapshot.document)] = snapshot
