"""Store calls of a shard owner, and the store's answers."""

from enum import Enum

import msgspec

from godwitpass.ids import Revision
from godwitpass.internal.claims.keys import ShardId
from godwitpass.store import Entry, EntryList, WriteResult


class StoreFailure(Enum):
    """How a store call failed: without effect, or with an unknown effect."""

    UNAVAILABLE = 1
    UNKNOWN = 2


class StoreGet(msgspec.Struct, frozen=True):
    """Read one key; `request_id` is returned with the answer."""

    shard: ShardId
    request_id: int
    key: str


class StoreList(msgspec.Struct, frozen=True):
    """Read all keys with a prefix."""

    shard: ShardId
    request_id: int
    prefix: str


class StorePut(msgspec.Struct, frozen=True):
    """Write a key if it is at revision `expected`."""

    shard: ShardId
    request_id: int
    key: str
    value: bytes
    expected: Revision


class StoreDelete(msgspec.Struct, frozen=True):
    """Delete a key that no head refers to; the store's answer is not reported."""

    key: str


class StoreAnswered(msgspec.Struct, frozen=True):
    """Event: the store answered the call `request_id`, or the call failed."""

    shard: ShardId
    request_id: int
    answer: Entry | EntryList | WriteResult | StoreFailure


StoreCall = StoreGet | StoreList | StorePut
