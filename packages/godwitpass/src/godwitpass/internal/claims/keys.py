"""Parse idempotency keys into a digest, a creation time and a shard."""

import hashlib
from typing import Annotated, NewType
from uuid import UUID

import msgspec

from godwitpass.errors import GodwitpassError

Digest = NewType("Digest", bytes)
ShardId = NewType("ShardId", int)

SHARD_COUNT = 16
"""Part of the stored format: changing it requires a new key prefix in the store."""

DIGEST_BYTES = 12
TIME_ORDERED_UUID_VERSION = 7
KEY_LIFETIME_S = 3600
"""Maximum age of an accepted key, counted from the creation time that it contains."""

MAX_CLOCK_SKEW_S = 10
"""How far ahead of the local clock the creation time of an accepted key may be."""

MIN_RETRY_AGE_S = 2
"""Age from which a key that can't be looked up is treated as a possible retry."""


class InvalidKey(GodwitpassError):
    """An idempotency key is malformed; nothing was claimed or sent for it."""


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """An idempotency key within its scope.

    `digest` is a hash of the key and its scope; `created_at` is the creation time that the key
    contains, in seconds since the epoch.
    """

    digest: Annotated[Digest, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)]
    created_at: int

    @property
    def shard(self) -> ShardId:
        """Return the shard that records claims of this key."""
        return ShardId(int.from_bytes(self.digest[:2], "big") % SHARD_COUNT)


def parse_key(text: str, scope: str) -> ClaimKey:
    """Parse an idempotency key, a UUID of version 7; raises `InvalidKey`.

    `scope` separates equal keys of different operations, e.g. the request's method and path.

    >>> parse_key("01890a5d-ac96-774b-bcce-b302099a8057", "POST /approvals").created_at
    1688096058
    """
    try:
        parsed = UUID(text.strip().strip('"'))
    except ValueError as error:
        raise InvalidKey(
            f"idempotency key {text[:64]!r} is not a UUID; send a UUID of version 7"
        ) from error
    if parsed.version != TIME_ORDERED_UUID_VERSION:
        raise InvalidKey(
            f"idempotency key is a UUID of version {parsed.version}, which has no usable timestamp;"
            " send a UUID of version 7"
        )
    hashed = hashlib.blake2b(parsed.bytes + scope.encode(), digest_size=DIGEST_BYTES)
    # The upper 48 of the 128 bits are the creation time in milliseconds.
    return ClaimKey(Digest(hashed.digest()), (parsed.int >> 80) // 1000)


def may_be_retry(key: ClaimKey, wall_time: float) -> bool:
    """Tell from its age alone whether `key` may have been sent before `wall_time`.

    Callers create a key for a request and send it at once, so an older key indicates a retry.

    >>> key = parse_key("01890a5d-ac96-774b-bcce-b302099a8057", "POST /approvals")
    >>> may_be_retry(key, key.created_at + 0.5), may_be_retry(key, key.created_at + 30.0)
    (False, True)
    """
    return wall_time - key.created_at >= MIN_RETRY_AGE_S
