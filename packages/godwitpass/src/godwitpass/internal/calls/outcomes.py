"""Outcomes of calls that got no upstream response, with their HTTP statuses and headers."""

from enum import Enum

OUTCOME_HEADER = b"godwit-outcome"
REASON_HEADER = b"godwit-reason"
CALL_HEADER = b"godwit-call"
NOT_RUN_HEADER = b"godwit-not-run"
DEADLINE_HEADER = b"godwit-deadline-ms"
DEPTH_HEADER = b"godwit-depth"
RETRY_HEADER = b"godwit-retry"

RESERVED_PREFIX = b"godwit-"
"""Headers with this prefix are reserved for daemons; those from elsewhere are not forwarded."""


class Outcome(Enum):
    """Whether a request that got no upstream response may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    """The request itself is at fault; it did not run and won't run when it is sent again."""


class Reason(Enum):
    """Why a request got no upstream response; the values are part of the protocol."""

    NO_CONFIGURATION = "no-configuration"
    DRAINING = "draining"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    UPSTREAM_REFUSED = "upstream-refused"
    CONNECT_FAILED = "connect-failed"
    DEADLINE = "deadline"
    UPSTREAM_BROKEN = "upstream-broken"
    UPSTREAM_INVALID = "upstream-invalid"
    STALLED = "stalled"
    CLAIM_REFUSED = "claim-refused"
    CRASH_SUSPECT = "crash-suspect"
    TOO_DEEP = "too-deep"
    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head-too-large"
    HEAD_TIMEOUT = "head-timeout"
    HTTP_VERSION = "http-version"
    UNSUPPORTED = "unsupported"
    TARGET = "target"
    HOST = "host"
    INVALID_DEADLINE = "invalid-deadline"
    INVALID_IDEMPOTENCY_KEY = "invalid-idempotency-key"
    NO_ROUTE = "no-route"
    METHOD = "method"


REFUSED_STATUSES: dict[Reason, int] = {
    Reason.MALFORMED: 400,
    Reason.TARGET: 400,
    Reason.HOST: 400,
    Reason.INVALID_DEADLINE: 400,
    Reason.INVALID_IDEMPOTENCY_KEY: 400,
    Reason.NO_ROUTE: 404,
    Reason.METHOD: 405,
    Reason.HEAD_TIMEOUT: 408,
    Reason.HEAD_TOO_LARGE: 431,
    Reason.UNSUPPORTED: 501,
    Reason.HTTP_VERSION: 505,
    Reason.TOO_DEEP: 508,
    Reason.CRASH_SUSPECT: 422,
}

NOT_RUN_STATUS = 503
UNKNOWN_STATUS = 502
UNKNOWN_DEADLINE_STATUS = 504
STALLED_STATUS = 408


def choose_status(outcome: Outcome, reason: Reason) -> int:
    """Return the HTTP status of a response that the daemon generates.

    >>> choose_status(Outcome.UNKNOWN, Reason.DEADLINE)
    504
    """
    if reason is Reason.STALLED:
        return STALLED_STATUS
    if outcome is Outcome.NOT_RUN:
        return NOT_RUN_STATUS
    if outcome is Outcome.UNKNOWN:
        return UNKNOWN_DEADLINE_STATUS if reason is Reason.DEADLINE else UNKNOWN_STATUS
    return REFUSED_STATUSES[reason]
