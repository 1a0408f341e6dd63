"""What a shard's holder asks of the store, and the answers."""

from enum import Enum

import msgspec

from godwitpass.ids import Revision
from godwitpass.internal.claims.keys import ShardId
from godwitpass.store import Entry, WriteResult, EntryList


class StoreFailure(Enum):
    """How a call to the store failed."""

    UNAVAILABLE = 1
    UNKNOWN = 2


class StoreGet(msgspec.Struct, frozen=True):
    """Reads one key; `step` comes back with the answer."""

    shard: ShardId
    request_id: int
    key: str


class StoreList(msgspec.Struct, frozen=True):
    """Reads all keys below a prefix."""

    shard: ShardId
    request_id: int
    prefix: str


class StorePut(msgspec.Struct, frozen=True):
    """Writes a key if it is at revision `expected`."""

    shard: ShardId
    request_id: int
    key: str
    value: bytes
    expected: Revision


class StoreDelete(msgspec.Struct, frozen=True):
    """Deletes a key that is no longer referred to; no answer is awaited."""

    key: str


class StoreAnswered(msgspec.Struct, frozen=True):
    """The answer to the call of number `step`."""

    shard: ShardId
    request_id: int
    answer: Entry | EntryList | WriteResult | StoreFailure


StoreCall = StoreGet | StoreList | StorePut
