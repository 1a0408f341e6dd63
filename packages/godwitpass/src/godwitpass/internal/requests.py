"""Requests that decision objects make of the store, and the events that answer them.

A request carries a `tag` chosen by the decision object; its answer carries the same tag.
"""

import msgspec

from godwitpass.ids import Revision
from godwitpass.store import Entry, WriteResult, EntryList


class Get(msgspec.Struct, frozen=True):
    """Action: reads the entry at `key`; answered by `EntryRead` or `RequestFailed`."""

    tag: int
    key: str


class Put(msgspec.Struct, frozen=True):
    """Action: writes if the entry is at revision `expected`; answered by `WriteDone` or failure."""

    tag: int
    key: str
    value: bytes
    expected: Revision | None


class Delete(msgspec.Struct, frozen=True):
    """Action: deletes if the entry is at revision `expected`; answered by `WriteDone` or failure."""

    tag: int
    key: str
    expected: Revision | None


class List(msgspec.Struct, frozen=True):
    """Action: reads all entries below `prefix`; answered by `Listed` or `RequestFailed`."""

    tag: int
    prefix: str


class Watch(msgspec.Struct, frozen=True):
    """Action: waits up to `timeout` seconds for changes; answered by `Listed` or failure."""

    tag: int
    prefix: str
    after: Revision
    timeout_s: float


class EntryRead(msgspec.Struct, frozen=True):
    """Event: the entry that a `Get` asked for; an absent one has no value."""

    tag: int
    entry: Entry


class WriteDone(msgspec.Struct, frozen=True):
    """Event: the outcome of a `Put` or `Delete`."""

    tag: int
    result: WriteResult


class EntriesRead(msgspec.Struct, frozen=True):
    """Event: the outcome of a `List` or `Watch`."""

    tag: int
    result: EntryList


class RequestFailed(msgspec.Struct, frozen=True):
    """Event: the request failed; `unknown` when a write may have taken effect all the same."""

    tag: int
    unknown: bool = False


Request = Get | Put | Delete | List | Watch
Answer = EntryRead | WriteDone | EntriesRead | RequestFailed
