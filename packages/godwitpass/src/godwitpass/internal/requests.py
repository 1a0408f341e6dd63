"""Store requests of decision objects, and the events that answer them.

The decision object chooses the `tag` of a request; the answer carries the same tag.
"""

import msgspec

from godwitpass.ids import Revision
from godwitpass.store import Entry, EntryList, WriteResult


class Get(msgspec.Struct, frozen=True):
    """Action: reads the entry at `key`; answered by `EntryRead` or `RequestFailed`."""

    tag: int
    key: str


class Put(msgspec.Struct, frozen=True):
    """Action: writes if the entry is at revision `expected`; None writes unconditionally.

    Answered by `WriteDone` or `RequestFailed`.
    """

    tag: int
    key: str
    value: bytes
    expected: Revision | None


class Delete(msgspec.Struct, frozen=True):
    """Action: deletes if the entry is at revision `expected`; None deletes unconditionally.

    Answered by `WriteDone` or `RequestFailed`.
    """

    tag: int
    key: str
    expected: Revision | None


class List(msgspec.Struct, frozen=True):
    """Action: reads all entries below `prefix`; answered by `EntriesRead` or `RequestFailed`."""

    tag: int
    prefix: str


class Confirm(msgspec.Struct, frozen=True):
    """Action: checks by a linearizable read whether the entry at `key` is at `revision`.

    Answered by `Confirmed` or `RequestFailed`.
    """

    tag: int
    key: str
    revision: Revision


class Watch(msgspec.Struct, frozen=True):
    """Action: waits up to `timeout_s` for changes below `prefix` after revision `after`.

    Answered by `EntriesRead` or `RequestFailed`.
    """

    tag: int
    prefix: str
    after: Revision
    timeout_s: float


class EntryRead(msgspec.Struct, frozen=True):
    """Event: the entry that a `Get` requested; an absent one has the value None."""

    tag: int
    entry: Entry


class WriteDone(msgspec.Struct, frozen=True):
    """Event: the outcome of a `Put` or `Delete`."""

    tag: int
    result: WriteResult


class Confirmed(msgspec.Struct, frozen=True):
    """Event: the outcome of a `Confirm`."""

    tag: int
    is_current: bool


class EntriesRead(msgspec.Struct, frozen=True):
    """Event: the outcome of a `List` or `Watch`."""

    tag: int
    result: EntryList


class RequestFailed(msgspec.Struct, frozen=True):
    """Event: the request failed; a write with `is_outcome_unknown` may have taken effect.

    `is_history_ended` means that the store answered, but has no history from the revision of a
    watch.
    """

    tag: int
    is_outcome_unknown: bool = False
    reason: str = ""
    is_history_ended: bool = False


Request = Get | Put | Delete | List | Confirm | Watch
Answer = EntryRead | WriteDone | EntriesRead | Confirmed | RequestFailed
