"""Daemons and upstreams as the rest of the system sees them."""

from enum import Enum

import msgspec

from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, ZoneId


class MemberState(Enum):
    """What is believed of a daemon; a later state beats an earlier one of equal incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class UpstreamState(Enum):
    """What an upstream announced of itself; only a ready one receives new calls."""

    STARTING = 0
    READY = 1
    DRAINING = 2


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """One server of a service; `slots` is the number of calls it runs at a time."""

    instance: InstanceId
    service: ServiceName
    address: Address
    zone: ZoneId
    region: RegionId
    state: UpstreamState
    slots: int


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One daemon; (`incarnation`, `sequence`) decides which of two records is newer."""

    instance: InstanceId
    zone: ZoneId
    region: RegionId
    address: Address
    incarnation: int
    sequence: int
    state: MemberState
    upstream: Upstream | None = None
