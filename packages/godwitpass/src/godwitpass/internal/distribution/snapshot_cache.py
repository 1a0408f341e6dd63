"""The versions that a daemon holds, and the encoded updates that bring others up to date."""

from collections import deque

from godwitpass.document import Document
from godwitpass.errors import Finding
from godwitpass.ids import NO_VERSION, ContentHash, Version
from godwitpass.internal.distribution.delta import DocumentCodec, InvalidContent
from godwitpass.internal.distribution.messages import MAX_BASES, Update
from godwitpass.snapshot import Snapshot

NO_BASE = NO_VERSION
"""Base version of an update that carries the full document instead of a delta."""


def find_dangling_references(document: Document) -> list[Finding]:
    """Return a finding for each reference to a service or policy that `document` lacks."""
    services = {service.name for service in document.services}
    policies = {policy.name for policy in document.policies}
    findings = [
        Finding(f"/routes/{index}/service", f"unknown service {route.service!r}")
        for index, route in enumerate(document.routes)
        if route.service not in services
    ]
    findings += [
        Finding(f"/routes/{index}/shares/{share_index}", f"unknown service {share.service!r}")
        for index, route in enumerate(document.routes)
        for share_index, share in enumerate(route.shares)
        if share.service not in services
    ]
    findings += [
        Finding(f"/routes/{index}/policy", f"unknown policy {route.policy!r}")
        for index, route in enumerate(document.routes)
        if route.policy is not None and route.policy not in policies
    ]
    findings += [
        Finding(f"/policies/{index}/extends", f"unknown policy {policy.extends!r}")
        for index, policy in enumerate(document.policies)
        if policy.extends is not None and policy.extends not in policies
    ]
    return findings


def encode_digest(content_hash: ContentHash) -> bytes:
    """Return the binary form of a content hash, which messages use."""
    return bytes.fromhex(content_hash)


class SnapshotCache:
    """Holds the newest version and a few earlier ones, which serve as bases of deltas.

    Documents share their unchanged entries, so that an earlier version takes little memory.
    """

    def __init__(self, codec: DocumentCodec) -> None:
        self._codec = codec
        self._snapshots: dict[Version, Snapshot] = {}
        self._update_bodies: dict[Version, bytes] = {}
        # Fewer than `MAX_BASES`, so that there always is a version to evict.
        self._pushed_versions: deque[Version] = deque(maxlen=MAX_BASES // 2)
        self.current: Snapshot | None = None

    @property
    def version(self) -> Version:
        """Return the newest version held, or `NO_VERSION`."""
        return self.current.version if self.current else NO_VERSION

    @property
    def digest(self) -> bytes:
        """Return the binary content hash of the newest version held, or an empty one."""
        return encode_digest(self.current.content_hash) if self.current else b""

    def list_bases(self) -> tuple[Version, ...]:
        """Return the versions that can serve as base of a delta, the newest last."""
        return tuple(self._snapshots)

    def find(self, version: Version) -> Snapshot | None:
        """Return the snapshot of `version`, or None if it is not held."""
        return self._snapshots.get(version)

    def add(self, snapshot: Snapshot, update: Update | None = None) -> None:
        """Make a later version the current one; `update` is the message that brought it, if any."""
        assert snapshot.version > self.version, "a daemon never moves to a lower version"
        self._snapshots[snapshot.version] = snapshot
        self._update_bodies.clear()
        if update is not None:
            # The body was verified when it was decoded, so it can be passed on unchanged.
            self._update_bodies[update.base] = update.body
        self.current = snapshot
        while len(self._snapshots) > MAX_BASES:
            del self._snapshots[self._choose_version_to_evict()]

    def mark_pushed(self) -> None:
        """Retain the newest version longer, since other daemons hold it as a base."""
        self._pushed_versions.append(self.version)

    def _choose_version_to_evict(self) -> Version:
        return next(version for version in self._snapshots if version not in self._pushed_versions)

    def choose_base(self, bases: tuple[Version, ...]) -> Version:
        """Return the newest of `bases` that this daemon holds too, or `NO_BASE`."""
        return max((base for base in bases if base in self._snapshots), default=NO_BASE)

    def build_update(self, base: Version) -> Update:
        """Return a delta update from version `base`, or a full one if `base` is not held."""
        assert self.current is not None, "an update needs a current version"
        if base not in self._snapshots or base >= self.version:
            base = NO_BASE
        if base not in self._update_bodies:
            self._update_bodies[base] = self._encode_body(base)
        current = self.current
        return Update(current.version, current.change, self.digest, base, self._update_bodies[base])

    def decode_update(self, update: Update) -> Snapshot:
        """Return the version that `update` carries; raises `InvalidContent` if it is corrupt."""
        expected = ContentHash(update.digest.hex())
        if update.base == NO_BASE:
            document = self._codec.decode_full(update.body, expected)
        else:
            base = self._snapshots.get(update.base)
            if base is None:
                raise InvalidContent(f"base version {update.base} is not held")
            document = self._codec.decode_delta(base.document, update.body, expected)
        return Snapshot(update.version, update.change, expected, document)

    def _encode_body(self, base: Version) -> bytes:
        assert self.current is not None
        if base == NO_BASE:
            return self._codec.encode_full(self.current.document)
        return self._codec.encode_delta(self._snapshots[base].document, self.current.document)
