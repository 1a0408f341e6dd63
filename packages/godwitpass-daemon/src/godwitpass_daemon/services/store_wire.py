"""Messages between the store's client and the store: msgpack over HTTP."""

from enum import Enum

import msgspec

from godwitpass.ids import LeaseId, Revision

CALL_PATH = "/v1/call"


class Operation(Enum):
    """What a call asks of the store."""

    GET = "get"
    LIST = "list"
    PUT = "put"
    DELETE = "delete"
    WATCH = "watch"
    GRANT = "grant"
    RENEW = "renew"
    REVOKE = "revoke"


WRITES = frozenset(
    {Operation.PUT, Operation.DELETE, Operation.GRANT, Operation.RENEW, Operation.REVOKE}
)


class Request(msgspec.Struct, frozen=True, omit_defaults=True):
    """One call; fields that an operation doesn't use stay unset. `seconds` is a timeout or ttl."""

    operation: Operation
    key: str = ""
    value: bytes | None = None
    expected: Revision | None = None
    lease: LeaseId | None = None
    after: Revision = Revision(0)
    seconds: float = 0.0
