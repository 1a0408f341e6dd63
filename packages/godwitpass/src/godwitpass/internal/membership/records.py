"""The record of one member, and how an update is merged into it."""

import sys
from enum import Enum

import msgspec

from godwitpass.ids import RegionId, ServiceName, ZoneId
from godwitpass.internal.membership.messages import MemberMetadata, MemberUpdate
from godwitpass.mesh import Member, MemberState, Upstream

_encoder = msgspec.msgpack.Encoder()

PERMILLE = 1000
GONE_STATES = (MemberState.DEAD, MemberState.LEFT)


class MergeOutcome(Enum):
    """What merging an update did to a record.

    `CHANGED`: it is newer and was applied. `KNOWN`: it says nothing new or is ignored. `OUTDATED`:
    the record is newer. `INCOMPLETE`: it has a newer sequence number but lacks the metadata.
    """

    CHANGED = "changed"
    KNOWN = "known"
    OUTDATED = "outdated"
    INCOMPLETE = "incomplete"


class MemberRecord(msgspec.Struct, gc=False):
    """What this daemon currently believes about one member."""

    key: int
    incarnation: int
    state: MemberState
    sequence: int
    metadata: MemberMetadata

    @property
    def is_gone(self) -> bool:
        """Return whether the member is dead or has left."""
        return self.state in GONE_STATES


def merge_update(record: MemberRecord, update: MemberUpdate) -> MergeOutcome:
    """Merge `update` into `record`; the result doesn't depend on the order of updates.

    An `INCOMPLETE` update isn't applied at all.
    """
    assert record.key == update.key
    if update.metadata is None and update.sequence > record.sequence:
        return MergeOutcome.INCOMPLETE
    liveness_order = _compare_liveness(record, update)
    metadata_order = _compare_metadata(record, update)
    if liveness_order > 0:
        record.incarnation = update.incarnation
        record.state = update.state
    if metadata_order > 0:
        assert update.metadata is not None
        record.sequence = update.sequence
        record.metadata = intern_metadata(update.metadata)
    if liveness_order > 0 or metadata_order > 0:
        return MergeOutcome.CHANGED
    return MergeOutcome.OUTDATED if liveness_order < 0 or metadata_order < 0 else MergeOutcome.KNOWN


def build_record(update: MemberUpdate) -> MemberRecord | None:
    """Build the record of a new member; None if `update` lacks the metadata."""
    if update.metadata is None:
        return None
    metadata = intern_metadata(update.metadata)
    return MemberRecord(update.key, update.incarnation, update.state, update.sequence, metadata)


def build_update(record: MemberRecord, with_metadata: bool) -> MemberUpdate:
    """Build the update that sends `record` to others; a dead member is sent as a suspect."""
    state = MemberState.SUSPECT if record.state is MemberState.DEAD else record.state
    metadata = record.metadata if with_metadata else None
    return MemberUpdate(record.key, record.incarnation, state, record.sequence, metadata)


def build_member(record: MemberRecord) -> Member:
    """Build the public view of `record`."""
    metadata = record.metadata
    return Member(
        metadata.instance,
        metadata.zone,
        metadata.region,
        metadata.address,
        record.incarnation,
        record.sequence,
        record.state,
        build_upstream(metadata),
        metadata.link_class,
    )


def build_upstream(metadata: MemberMetadata) -> Upstream | None:
    """Build the public view of the upstream in `metadata`, None without one."""
    announced = metadata.upstream
    if announced is None:
        return None
    return Upstream(
        metadata.instance,
        announced.service,
        announced.address,
        metadata.zone,
        metadata.region,
        announced.state,
        announced.slots,
        announced.software_version,
        announced.canary_permille / PERMILLE,
    )


def intern_metadata(metadata: MemberMetadata) -> MemberMetadata:
    """Return `metadata` with its service, zone and region interned, to save memory."""
    upstream = metadata.upstream
    if upstream is not None:
        service = ServiceName(sys.intern(upstream.service))
        upstream = msgspec.structs.replace(upstream, service=service)
    return msgspec.structs.replace(
        metadata,
        zone=ZoneId(sys.intern(metadata.zone)),
        region=RegionId(sys.intern(metadata.region)),
        upstream=upstream,
    )


def _compare_liveness(record: MemberRecord, update: MemberUpdate) -> int:
    current = (record.incarnation, record.state.value)
    received = (update.incarnation, update.state.value)
    return (received > current) - (received < current)


def _compare_metadata(record: MemberRecord, update: MemberUpdate) -> int:
    if update.sequence != record.sequence:
        return 1 if update.sequence > record.sequence else -1
    if update.metadata is None or update.metadata == record.metadata:
        return 0
    # A daemon restarted within one second reuses a sequence number. Any choice between the two
    # versions will do, if all daemons make the same one.
    return 1 if _encoder.encode(update.metadata) > _encoder.encode(record.metadata) else -1
