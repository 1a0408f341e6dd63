"""Applies claims and marks to a shard's table; nothing is granted before the table is written."""

import msgspec

from godwitpass.internal.claims.keys import KEY_LIFETIME_S, MAX_SKEW_S, ClaimKey
from godwitpass.internal.claims.messages import (
    ANSWERED,
    RELEASED,
    UNMARKED,
    ClaimOutcome,
    ClaimRequest,
    Mark,
)
from godwitpass.internal.claims.table import Claim, ShardTable

IN_PROGRESS_S = 60
"""Time for which a claim without a mark is answered as in progress rather than unknown."""


class Decision(msgspec.Struct, frozen=True):
    """Outcome of one claim; `changed` tells that the table has to be written first."""

    outcome: ClaimOutcome
    status: int = 0
    changed: bool = False


def is_acceptable(key: ClaimKey, wall: float) -> bool:
    """Tell whether a key is neither too old nor from the future."""
    return wall - KEY_LIFETIME_S < key.time <= wall + MAX_SKEW_S


def apply_claim(table: ShardTable, request: ClaimRequest, wall: float) -> Decision:
    """Decide one claim, recording it in `table` where it is granted."""
    key = request.key
    if key.time <= table.floor or not is_acceptable(key, wall):
        return Decision(ClaimOutcome.EXPIRED)
    found = table.find(key.digest)
    if found is None:
        return _grant(table, request, wall)
    if found.status == RELEASED:
        if found.token == request.token:
            return Decision(ClaimOutcome.UNAVAILABLE)
        return _grant(table, request, wall)
    if found.status == UNMARKED and found.token == request.token:
        return Decision(ClaimOutcome.GRANTED)
    return _describe(found, wall)


def recall(table: ShardTable, request: ClaimRequest, wall: float) -> Decision | None:
    """Tell what is known of an earlier sending from a table that may be out of date.

    It never grants; None means that nothing is known of the key.
    """
    found = table.find(request.key.digest)
    if found is None or found.status == RELEASED or found.token == request.token:
        return None
    return _describe(found, wall)


def apply_mark(table: ShardTable, mark: Mark, wall: float) -> bool:
    """Record what became of a claim; False when that changes nothing."""
    if mark.key.time <= table.floor:
        return False
    found = table.find(mark.key.digest)
    if found is None:
        # A release without its claim stays, so that a claim still on its way isn't granted.
        table.record(_build(mark, wall))
        return True
    if mark.status == RELEASED:
        return _release(table, found, mark)
    if found.status >= ANSWERED:
        return False
    table.record(_build(mark, wall))
    return True


def _describe(found: Claim, wall: float) -> Decision:
    if found.status >= ANSWERED:
        return Decision(ClaimOutcome.RAN, found.status)
    if wall - found.claimed_at < IN_PROGRESS_S:
        return Decision(ClaimOutcome.IN_PROGRESS)
    return Decision(ClaimOutcome.UNKNOWN)


def _grant(table: ShardTable, request: ClaimRequest, wall: float) -> Decision:
    key = request.key
    table.record(Claim(key.digest, request.token, key.time, int(wall), UNMARKED))
    return Decision(ClaimOutcome.GRANTED, changed=True)


def _release(table: ShardTable, found: Claim, mark: Mark) -> bool:
    # A sealed claim has token 0, which no mark carries: it can't be released any more.
    if found.token != mark.token or found.status != UNMARKED:
        return False
    table.replace(msgspec.structs.replace(found, status=RELEASED))
    return True


def _build(mark: Mark, wall: float) -> Claim:
    return Claim(mark.key.digest, mark.token, mark.key.time, int(wall), mark.status)
