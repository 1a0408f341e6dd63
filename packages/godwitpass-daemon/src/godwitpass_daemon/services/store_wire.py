"""Messages from the store's client to the store, as msgpack over HTTP."""

from enum import Enum

import msgspec

from godwitpass.ids import LeaseId, Revision

CALL_PATH = "/v1/call"


class Operation(Enum):
    """Operation that a call requests."""

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
    """One call; fields that the operation doesn't use stay unset.

    `seconds` is the timeout of a watch, or the time to live of a granted lease.
    """

    operation: Operation
    key: str = ""
    value: bytes | None = None
    expected: Revision | None = None
    lease: LeaseId | None = None
    after: Revision = Revision(0)
    seconds: float = 0.0
