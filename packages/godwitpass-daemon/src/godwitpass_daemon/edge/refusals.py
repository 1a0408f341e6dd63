"""Error responses that the daemon generates when no upstream response is available."""

import math

import msgspec

from godwitpass.internal.calls.outcomes import (
    OUTCOME_HEADER,
    REASON_HEADER,
    Outcome,
    Reason,
    choose_status,
)
from godwitpass_daemon.edge.heads import Header, encode_local_response

DEFAULT_RETRY_AFTER_S = 1.0
REMEDIES = {
    Reason.INVALID_IDEMPOTENCY_KEY: "send a UUID of version 7, made anew for each new request",
}


class Refusal(msgspec.Struct, frozen=True):
    """JSON body of an error response.

    `retry_after_ms` is 0 when a retry is pointless; `remedy` says how to correct the request.
    """

    outcome: Outcome
    reason: Reason
    retry_after_ms: int = 0
    remedy: str = ""


def encode_refusal(
    outcome: Outcome, reason: Reason, retry_after_s: float | None, closes_connection: bool
) -> bytes:
    """Encode an error response; only `Outcome.NOT_RUN` tells the caller when to retry."""
    status = choose_status(outcome, reason)
    headers: list[Header] = [
        (OUTCOME_HEADER, outcome.value.encode()),
        (REASON_HEADER, reason.value.encode()),
    ]
    retry_after_ms = 0
    if outcome is Outcome.NOT_RUN:
        wait_s = retry_after_s if retry_after_s is not None else DEFAULT_RETRY_AFTER_S
        retry_after_ms = round(wait_s * 1000)
        headers.append((b"retry-after", b"%d" % max(1, math.ceil(wait_s))))
    body = msgspec.json.encode(Refusal(outcome, reason, retry_after_ms, REMEDIES.get(reason, "")))
    return encode_local_response(status, headers, body, closes_connection)
