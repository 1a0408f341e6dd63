"""Why connections are closed and requests are refused."""

from enum import Enum


class Close(Enum):
    """Why a connection was closed."""

    CLIENT = "client"
    """The client closed it."""

    ANSWERED = "answered"
    """The last response was sent."""

    REFUSED = "refused"
    """A request was refused."""

    IDLE = "idle"
    STOPPING = "stopping"
    FAILED = "failed"
    """The application failed after the start of its response."""

    LIMIT = "limit"
    """Too many connections were open; it was closed unread."""

    DISPLACED = "displaced"
    """Too many connections were open, and this one had waited longest for its client."""

    RESPONSE_NOT_TAKEN = "response-not-taken"


class Refusal(Enum):
    """Why a request was refused."""

    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head-too-large"
    FRAMING_TOO_LARGE = "framing-too-large"
    BODY_TOO_LARGE = "body-too-large"
    HEAD_TIMEOUT = "head-timeout"
    BODY_TIMEOUT = "body-timeout"
    TOO_MANY_PIPELINED = "too-many-pipelined"


STATUS_BY_REFUSAL = {
    Refusal.MALFORMED: 400,
    Refusal.HEAD_TOO_LARGE: 431,
    Refusal.FRAMING_TOO_LARGE: 413,
    Refusal.BODY_TOO_LARGE: 413,
    Refusal.HEAD_TIMEOUT: 408,
    Refusal.BODY_TIMEOUT: 408,
    Refusal.TOO_MANY_PIPELINED: 503,
}
