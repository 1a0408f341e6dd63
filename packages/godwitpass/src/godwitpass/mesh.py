"""Daemons and upstreams as the rest of the system sees them."""

import math
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


MAX_LINK_CLASS = 6
"""Links of 64 Mbit/s and more are alike: they carry a megabyte in an eighth of a second."""


def classify_link(mbps: float) -> int:
    """Return the class of a link by its rate in megabits a second.

    >>> [classify_link(mbps) for mbps in (0.5, 2.5, 5, 50, 100, 1000)]
    [0, 1, 2, 5, 6, 6]
    """
    return max(0, min(MAX_LINK_CLASS, int(math.log2(mbps)))) if mbps > 1 else 0


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
    """One daemon; (`incarnation`, `sequence`) decides which of two records is newer.

    `link_class` is that of its link; see `classify_link`.
    """

    instance: InstanceId
    zone: ZoneId
    region: RegionId
    address: Address
    incarnation: int
    sequence: int
    state: MemberState
    upstream: Upstream | None = None
    link_class: int = 0
