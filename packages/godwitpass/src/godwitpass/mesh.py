"""Records of the daemons and upstreams in the mesh."""

import math
from enum import Enum

import msgspec

from godwitpass.ids import (
    Address,
    InstanceId,
    RegionId,
    ServiceName,
    SoftwareVersion,
    ZoneId,
)


class MemberState(Enum):
    """Believed state of a daemon; within an incarnation, a later state overrides an earlier one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class UpstreamState(Enum):
    """State that an upstream announced; only a ready one receives new calls."""

    STARTING = 0
    READY = 1
    DRAINING = 2


MAX_LINK_CLASS = 6
"""Class of all links of 64 Mbit/s and more, which transfer a megabyte in an eighth of a second."""


def classify_link(mbps: float) -> int:
    """Return the class of a link: the binary logarithm of its rate, from 0 to `MAX_LINK_CLASS`.

    >>> [classify_link(mbps) for mbps in (0.5, 2.5, 5, 50, 100, 1000)]
    [0, 1, 2, 5, 6, 6]
    """
    return max(0, min(MAX_LINK_CLASS, int(math.log2(mbps)))) if mbps > 1 else 0


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """One server of a service; `slots` is the number of calls that it runs concurrently.

    `canary_share` is above 0 while the service moves to this server's software version: the share
    of all calls to the service that all servers of that version get together.
    """

    instance: InstanceId
    service: ServiceName
    address: Address
    zone: ZoneId
    region: RegionId
    state: UpstreamState
    slots: int
    software_version: SoftwareVersion = SoftwareVersion("")
    canary_share: float = 0.0


class Member(msgspec.Struct, frozen=True, array_like=True):
    """One daemon; (`incarnation`, `sequence`) decides which of two records is newer.

    `link_class` is the class of its network link, as returned by `classify_link`.
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
