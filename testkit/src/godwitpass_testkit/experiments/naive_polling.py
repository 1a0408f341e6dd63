"""The naive baseline: every daemon polls the store and reads the whole document."""

import random
from typing import Any

from godwitpass.ids import Address
from godwitpass.internal.acceptance.record import (
    ROOT_KEY,
    AcceptedVersion,
    build_content_key,
    decode_part,
    decode_root,
)
from godwitpass.internal.actions import SetTimer, TimerFired
from godwitpass.internal.distribution.delta import DocumentCodec
from godwitpass.internal.distribution.interface import Activate, ViewChanged
from godwitpass.internal.requests import EntryRead, Get
from godwitpass.snapshot import Snapshot

POLL_S = 2.0
"""Period that leaves time for a slow answer within the 6 s of the target."""


class PollingNode:
    """Reads the root and the content in each period, whether or not something changed."""

    def __init__(self, address: Address, generator: random.Random, codec: DocumentCodec) -> None:
        self._random = generator
        self._is_started = False
        self._codec = codec
        self._wanted: AcceptedVersion | None = None
        self._pieces: list[bytes] = []
        self.current: Snapshot | None = None

    def handle(self, event: Any, now: float) -> list[Any]:
        """Decide on `event`."""
        if isinstance(event, ViewChanged):
            is_first, self._is_started = not self._is_started, True
            return [SetTimer(now + self._random.random() * POLL_S)] if is_first else []
        if isinstance(event, TimerFired):
            return [Get(0, ROOT_KEY), SetTimer(now + POLL_S)]
        if isinstance(event, EntryRead) and event.entry.value is not None:
            return self._take_value(event)
        return []

    def _take_value(self, event: EntryRead) -> list[Any]:
        if event.tag == 0:
            self._wanted, self._pieces = decode_root(event.entry).newest, []
            return [Get(1, build_content_key(self._wanted.content_hash))]
        assert self._wanted is not None and event.entry.value is not None
        if not event.entry.key.startswith(build_content_key(self._wanted.content_hash)[:-1]):
            return []
        part = decode_part(event.entry.value)
        self._pieces.append(part.body)
        if len(self._pieces) < part.count:
            return [Get(1, build_content_key(self._wanted.content_hash, len(self._pieces)))]
        return self._activate(self._wanted)

    def _activate(self, wanted: AcceptedVersion) -> list[Any]:
        body, self._pieces = b"".join(self._pieces), []
        if self.current is not None and wanted.version <= self.current.version:
            return []
        document = self._codec.decode_full(body, wanted.content_hash)
        self.current = Snapshot(wanted.version, wanted.change, wanted.content_hash, document)
        return [Activate(self.current)]
