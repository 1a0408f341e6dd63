"""Inputs of `Membership`: the daemon's identity, and events other than messages and timers."""

import msgspec

from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, SoftwareVersion, ZoneId
from godwitpass.mesh import UpstreamState


class Identity(msgspec.Struct, frozen=True):
    """Who this daemon is; `started_s` is the wall clock at its start, in whole seconds.

    `started_s` is the first incarnation and sequence number, so that the records of a restarted
    daemon win over its earlier ones at once. If the clock was set back, the daemon receives its
    earlier records from others and raises its numbers above theirs.
    """

    instance: InstanceId
    zone: ZoneId
    region: RegionId
    address: Address
    started_s: int
    service: ServiceName | None = None
    upstream: Address | None = None
    slots: int = 12
    link_class: int = 0

    def __post_init__(self) -> None:
        if (self.service is None) != (self.upstream is None):
            raise ValueError("give both the service and the address of the upstream, or neither")


class Start(msgspec.Struct, frozen=True):
    """Event: the daemon has started; `seeds` are addresses of daemons that may already run."""

    seeds: tuple[Address, ...] = ()


class Announce(msgspec.Struct, frozen=True):
    """Event: the upstream beside this daemon is in `state`; fields that are None don't change."""

    state: UpstreamState
    slots: int | None = None
    service: ServiceName | None = None
    software_version: SoftwareVersion | None = None
    canary_share: float | None = None


class Leave(msgspec.Struct, frozen=True):
    """Event: the daemon is about to stop."""
