"""Idempotency keys: their time, their digest and their shard."""

import hashlib
from typing import Annotated, NewType
from uuid import UUID

import msgspec

from godwitpass.errors import GodwitpassError

Digest = NewType("Digest", bytes)
ShardId = NewType("ShardId", int)

SHARDS = 16
"""Part of the stored form: a change of it needs a new prefix in the store."""

DIGEST_BYTES = 12
TIMED_UUID_VERSION = 7
KEY_LIFETIME_S = 3600
"""Age up to which a key is accepted, counted from the time inside it."""

MAX_SKEW_S = 10
"""Difference of clocks up to which a key from the future is accepted."""


FRESH_KEY_S = 2
"""Age from which a key that can't be looked up counts as possibly sent before."""


class InvalidKey(GodwitpassError):
    """An idempotency key was refused before anything was claimed or sent."""


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """A key within its scope; `time` is when the caller made it, in seconds since the epoch."""

    digest: Annotated[Digest, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
    time: int

    @property
    def shard(self) -> ShardId:
        """Return the shard that records this key."""
        return ShardId(int.from_bytes(self.digest[:2], "big") % SHARDS)


def parse_key(text: str, scope: str) -> ClaimKey:
    """Read an idempotency key, a UUID of version 7; raises `InvalidKey`.

    `scope` is what the key belongs to, such as the method and path of the request.

    >>> parse_key("01890a5d-ac96-774b-bcce-b302099a8057", "POST /approvals").time
    1688096058
    """
    try:
        value = UUID(text.strip().strip('"'))
    except ValueError as error:
        raise InvalidKey(
            f"idempotency key {text[:64]!r} is not a UUID; send a UUID of version 7"
        ) from error
    if value.version != TIMED_UUID_VERSION:
        raise InvalidKey(
            f"idempotency key is a UUID of version {value.version}, which holds no usable time;"
            " send a UUID of version 7"
        )
    hashed = hashlib.blake2b(value.bytes + scope.encode(), digest_size=DIGEST_BYTES)
    return ClaimKey(Digest(hashed.digest()), (value.int >> 80) // 1000)


def may_be_repeated(key: ClaimKey, wall: float) -> bool:
    """Tell whether `key` may have been sent before the time `wall`, judged by its age alone.

    Callers make a key for a request and send it at once; only a repeated sending comes later.

    >>> key = parse_key("01890a5d-ac96-774b-bcce-b302099a8057", "POST /approvals")
    >>> may_be_repeated(key, key.time + 0.5), may_be_repeated(key, key.time + 30.0)
    (False, True)
    """
    return wall - key.time >= FRESH_KEY_S
