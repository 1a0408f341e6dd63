"""The naive baseline of distribution: each daemon polls the store for the whole document."""

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

POLL_INTERVAL_S = 2.0
"""Leaves time for a slow answer within the 6 s that the target allows."""

ROOT_TAG, CONTENT_TAG = 0, 1
"""Tags of the requests for the root record and for a part of the content."""


class PollingNode:
    """Reads the root record and the content in each interval, even if nothing changed."""

    def __init__(self, address: Address, rng: random.Random, codec: DocumentCodec) -> None:
        self._random = rng
        self._is_started = False
        self._codec = codec
        self._pending_version: AcceptedVersion | None = None
        self._parts: list[bytes] = []
        self.current: Snapshot | None = None

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle `event` at the time `now` and return the resulting actions."""
        if isinstance(event, ViewChanged):
            is_first, self._is_started = not self._is_started, True
            return [SetTimer(now + self._random.random() * POLL_INTERVAL_S)] if is_first else []
        if isinstance(event, TimerFired):
            return [Get(ROOT_TAG, ROOT_KEY), SetTimer(now + POLL_INTERVAL_S)]
        if isinstance(event, EntryRead) and event.entry.value is not None:
            return self._handle_value(event)
        return []

    def _handle_value(self, event: EntryRead) -> list[Any]:
        if event.tag == ROOT_TAG:
            self._pending_version, self._parts = decode_root(event.entry).newest, []
            return [Get(CONTENT_TAG, build_content_key(self._pending_version.content_hash))]
        assert self._pending_version is not None and event.entry.value is not None
        # The last character of the key of the first part is the index of the part.
        if not event.entry.key.startswith(
            build_content_key(self._pending_version.content_hash)[:-1]
        ):
            return []
        part = decode_part(event.entry.value)
        self._parts.append(part.body)
        if len(self._parts) < part.count:
            return [
                Get(
                    CONTENT_TAG,
                    build_content_key(self._pending_version.content_hash, len(self._parts)),
                )
            ]
        return self._activate(self._pending_version)

    def _activate(self, accepted: AcceptedVersion) -> list[Any]:
        body, self._parts = b"".join(self._parts), []
        if self.current is not None and accepted.version <= self.current.version:
            return []
        document = self._codec.decode_full(body, accepted.content_hash)
        self.current = Snapshot(accepted.version, accepted.change, accepted.content_hash, document)
        return [Activate(self.current)]
