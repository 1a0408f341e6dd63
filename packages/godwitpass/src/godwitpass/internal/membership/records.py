"""What is held of one member, and how an update changes it."""

import sys
from enum import Enum

import msgspec

from godwitpass.ids import RegionId, ServiceName, ZoneId
from godwitpass.internal.membership.messages import MemberMetadata, MemberUpdate
from godwitpass.mesh import Member, MemberState, Upstream

_encoder = msgspec.msgpack.Encoder()

GONE_STATES = (MemberState.DEAD, MemberState.LEFT)


class Outcome(Enum):
    """What an update did."""

    CHANGED = "changed"
    KNOWN = "known"
    OUTDATED = "outdated"
    INCOMPLETE = "incomplete"


class Record(msgspec.Struct, gc=False):
    """One member as this daemon believes it to be."""

    key: int
    incarnation: int
    state: MemberState
    sequence: int
    content: MemberMetadata

    @property
    def is_gone(self) -> bool:
        """Tell whether the member counts as dead or left."""
        return self.state in GONE_STATES


def merge_update(record: Record, update: MemberUpdate) -> Outcome:
    """Apply `update` to `record`; the result doesn't depend on the order of updates.

    `INCOMPLETE` means that the update speaks of a content that was not sent; nothing is applied.
    """
    assert record.key == update.key
    if update.content is None and update.sequence > record.sequence:
        return Outcome.INCOMPLETE
    liveness = _compare_liveness(record, update)
    content = _compare_content(record, update)
    if liveness > 0:
        record.incarnation = update.incarnation
        record.state = update.state
    if content > 0:
        assert update.content is not None
        record.sequence = update.sequence
        record.content = intern_content(update.content)
    if liveness > 0 or content > 0:
        return Outcome.CHANGED
    return Outcome.OUTDATED if liveness < 0 or content < 0 else Outcome.KNOWN


def build_record(update: MemberUpdate) -> Record | None:
    """Build the record of a member that was not known; None without its content."""
    if update.content is None:
        return None
    content = intern_content(update.content)
    return Record(update.key, update.incarnation, update.state, update.sequence, content)


def build_update(record: Record, with_content: bool) -> MemberUpdate:
    """Build the update that tells others of `record`."""
    state = MemberState.SUSPECT if record.state is MemberState.DEAD else record.state
    content = record.content if with_content else None
    return MemberUpdate(record.key, record.incarnation, state, record.sequence, content)


def build_member(record: Record) -> Member:
    """Build the public view of `record`."""
    content = record.content
    return Member(
        content.instance,
        content.zone,
        content.region,
        content.address,
        record.incarnation,
        record.sequence,
        record.state,
        build_upstream(content),
        content.link_class,
    )


def build_upstream(content: MemberMetadata) -> Upstream | None:
    """Build the public view of the upstream in `content`."""
    announced = content.upstream
    if announced is None:
        return None
    return Upstream(
        content.instance,
        announced.service,
        announced.address,
        content.zone,
        content.region,
        announced.state,
        announced.slots,
    )


def intern_content(content: MemberMetadata) -> MemberMetadata:
    """Return `content` with the strings shared that many members have in common."""
    upstream = content.upstream
    if upstream is not None:
        service = ServiceName(sys.intern(upstream.service))
        upstream = msgspec.structs.replace(upstream, service=service)
    return msgspec.structs.replace(
        content,
        zone=ZoneId(sys.intern(content.zone)),
        region=RegionId(sys.intern(content.region)),
        upstream=upstream,
    )


def _compare_liveness(record: Record, update: MemberUpdate) -> int:
    held = (record.incarnation, record.state.value)
    told = (update.incarnation, update.state.value)
    return (told > held) - (told < held)


def _compare_content(record: Record, update: MemberUpdate) -> int:
    if update.sequence != record.sequence:
        return 1 if update.sequence > record.sequence else -1
    if update.content is None or update.content == record.content:
        return 0
    # Two lives of one daemon within a second: any choice will do if all make the same.
    return 1 if _encoder.encode(update.content) > _encoder.encode(record.content) else -1
