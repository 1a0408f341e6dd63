"""Apply claims and status updates to a shard's table.

A grant takes effect only after the changed table is written to the store.
"""

import msgspec

from godwitpass.internal.claims.keys import KEY_LIFETIME_S, MAX_CLOCK_SKEW_S, ClaimKey
from godwitpass.internal.claims.messages import (
    STATUS_ANSWERED,
    STATUS_PENDING,
    STATUS_RELEASED,
    ClaimOutcome,
    ClaimRequest,
    StatusUpdate,
)
from godwitpass.internal.claims.table import Claim, ShardTable

IN_PROGRESS_LIMIT_S = 60
"""Age up to which a pending claim is reported as in progress instead of unknown."""


class Decision(msgspec.Struct, frozen=True):
    """Outcome of a claim; with `has_changed_table` it holds only once the table is written."""

    outcome: ClaimOutcome
    status: int = 0
    has_changed_table: bool = False


def is_acceptable(key: ClaimKey, wall_time: float) -> bool:
    """Tell whether a key is neither expired nor too far in the future."""
    return wall_time - KEY_LIFETIME_S < key.created_at <= wall_time + MAX_CLOCK_SKEW_S


def apply_claim(table: ShardTable, request: ClaimRequest, wall_time: float) -> Decision:
    """Decide a claim, and record it in `table` if it is granted."""
    key = request.key
    if key.created_at <= table.low_watermark or not is_acceptable(key, wall_time):
        return Decision(ClaimOutcome.EXPIRED)
    recorded = table.find(key.digest)
    if recorded is None:
        return _grant(table, request, wall_time)
    if recorded.status == STATUS_RELEASED:
        if recorded.token == request.token:
            return Decision(ClaimOutcome.UNAVAILABLE)
        return _grant(table, request, wall_time)
    if recorded.status == STATUS_PENDING and recorded.token == request.token:
        return Decision(ClaimOutcome.GRANTED)
    return _decide_recorded(recorded, wall_time)


def find_earlier_attempt(
    table: ShardTable, request: ClaimRequest, wall_time: float
) -> Decision | None:
    """Return the outcome of an earlier attempt with the same key, None if none is known.

    `table` may be out of date, so the outcome is never `GRANTED`.
    """
    recorded = table.find(request.key.digest)
    if recorded is None or recorded.status == STATUS_RELEASED or recorded.token == request.token:
        return None
    return _decide_recorded(recorded, wall_time)


def apply_status_update(table: ShardTable, update: StatusUpdate, wall_time: float) -> bool:
    """Record the status of a claim and return whether `table` changed."""
    if update.key.created_at <= table.low_watermark:
        return False
    recorded = table.find(update.key.digest)
    if recorded is None:
        # A release may overtake its claim: recording it prevents the claim from being granted.
        table.record(_build_claim(update, wall_time))
        return True
    if update.status == STATUS_RELEASED:
        return _release(table, recorded, update)
    if recorded.status >= STATUS_ANSWERED:
        return False
    table.record(_build_claim(update, wall_time))
    return True


def _decide_recorded(recorded: Claim, wall_time: float) -> Decision:
    if recorded.status >= STATUS_ANSWERED:
        return Decision(ClaimOutcome.RAN, recorded.status)
    if wall_time - recorded.claimed_at < IN_PROGRESS_LIMIT_S:
        return Decision(ClaimOutcome.IN_PROGRESS)
    return Decision(ClaimOutcome.UNKNOWN)


def _grant(table: ShardTable, request: ClaimRequest, wall_time: float) -> Decision:
    key = request.key
    table.record(Claim(key.digest, request.token, key.created_at, int(wall_time), STATUS_PENDING))
    return Decision(ClaimOutcome.GRANTED, has_changed_table=True)


def _release(table: ShardTable, recorded: Claim, update: StatusUpdate) -> bool:
    # A sealed claim has token 0, which no status update has, so it can't be released any more.
    if recorded.token != update.token or recorded.status != STATUS_PENDING:
        return False
    table.replace(msgspec.structs.replace(recorded, status=STATUS_RELEASED))
    return True


def _build_claim(update: StatusUpdate, wall_time: float) -> Claim:
    return Claim(
        update.key.digest, update.token, update.key.created_at, int(wall_time), update.status
    )
