"""The versions that a daemon holds, and the bodies that carry them to others."""

from collections import deque

from godwitpass.document import Document
from godwitpass.errors import Finding
from godwitpass.ids import NO_VERSION, ContentHash, Version
from godwitpass.internal.distribution.delta import DocumentCodec, InvalidContent
from godwitpass.internal.distribution.messages import MAX_BASES, Update
from godwitpass.snapshot import Snapshot

NO_BASE = NO_VERSION
"""Base of an update that carries the whole version."""


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
        Finding(f"/routes/{index}/shares/{position}", f"unknown service {share.service!r}")
        for index, route in enumerate(document.routes)
        for position, share in enumerate(route.shares)
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
    """Return the raw form of a content hash, as messages carry it."""
    return bytes.fromhex(content_hash)


class SnapshotCache:
    """The newest version, and a few before it as bases of deltas.

    Documents share the entries that did not change, so that an older one costs little memory.
    """

    def __init__(self, codec: DocumentCodec) -> None:
        self._codec = codec
        self._held: dict[Version, Snapshot] = {}
        self._bodies: dict[Version, bytes] = {}
        self._pushed: deque[Version] = deque(maxlen=MAX_BASES // 2)
        self.current: Snapshot | None = None

    @property
    def version(self) -> Version:
        """Return the newest version held, or 0."""
        return self.current.version if self.current else NO_VERSION

    @property
    def digest(self) -> bytes:
        """Return the raw content hash of the newest version held."""
        return encode_digest(self.current.content_hash) if self.current else b""

    def bases(self) -> tuple[Version, ...]:
        """Return the versions that a delta may start from, the newest last."""
        return tuple(self._held)

    def find(self, version: Version) -> Snapshot | None:
        """Return `version` if it is still held."""
        return self._held.get(version)

    def add(self, snapshot: Snapshot, update: Update | None = None) -> None:
        """Switch to a later version, whole and in one reference; `update` is what brought it."""
        assert snapshot.version > self.version, "a daemon never moves to a lower version"
        self._held[snapshot.version] = snapshot
        self._bodies.clear()
        if update is not None:
            # A verified body serves others as it is.
            self._bodies[update.base] = update.body
        self.current = snapshot
        while len(self._held) > MAX_BASES:
            del self._held[self._choose_superfluous()]

    def mark_pushed(self) -> None:
        """Keep the newest version longer than others, since other daemons build on it."""
        self._pushed.append(self.version)

    def _choose_superfluous(self) -> Version:
        return next(version for version in self._held if version not in self._pushed)

    def choose_base(self, bases: tuple[Version, ...]) -> Version:
        """Return the newest of `bases` that is also held, or `FULL`."""
        return max((base for base in bases if base in self._held), default=NO_BASE)

    def build_update(self, base: Version) -> Update:
        """Return the update from `base`, or a whole one if `base` is not held."""
        assert self.current is not None, "there is nothing to send"
        if base not in self._held or base >= self.version:
            base = NO_BASE
        if base not in self._bodies:
            self._bodies[base] = self._encode_body(base)
        current = self.current
        return Update(current.version, current.change, self.digest, base, self._bodies[base])

    def decode_update(self, update: Update) -> Snapshot:
        """Return the version that `update` carries; raises `InvalidContent`."""
        expected = ContentHash(update.digest.hex())
        if update.base == NO_BASE:
            document = self._codec.decode_full(update.body, expected)
        else:
            base = self._held.get(update.base)
            if base is None:
                raise InvalidContent(f"base version {update.base} is not held")
            document = self._codec.decode_delta(base.document, update.body, expected)
        return Snapshot(update.version, update.change, expected, document)

    def _encode_body(self, base: Version) -> bytes:
        assert self.current is not None
        if base == NO_BASE:
            return self._codec.encode_full(self.current.document)
        return self._codec.encode_delta(self._held[base].document, self.current.document)
