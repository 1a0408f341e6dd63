"""What membership is told: its identity and the events beside messages and timers."""

import msgspec

from godwitpass.ids import Address, InstanceId, RegionId, ServiceName, ZoneId
from godwitpass.mesh import UpstreamState


class Identity(msgspec.Struct, frozen=True):
    """Who this daemon is; `started_s` is the wall clock at its start, in whole seconds.

    The clock only makes a restarted daemon's records win at once. If it was set back, the daemon
    hears of its earlier records and raises its numbers above them.
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
    """Event: the daemon has started; `seeds` are daemons that may be there already."""

    seeds: tuple[Address, ...] = ()


class Announce(msgspec.Struct, frozen=True):
    """Event: the upstream beside this daemon is in `state`; what is None stays as it was."""

    state: UpstreamState
    slots: int | None = None
    service: ServiceName | None = None


class Leave(msgspec.Struct, frozen=True):
    """Event: the daemon is about to stop."""
