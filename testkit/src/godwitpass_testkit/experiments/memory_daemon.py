"""Runs the daemon that the memory experiment measures, with few imports of its own."""

import sys
from pathlib import Path
from typing import TypeVar

import anyio
import msgspec

from godwitpass.ids import Address
from godwitpass.internal.membership.messages import MemberUpdate, SummaryUpdate
from godwitpass_daemon.admin.meter import read_resident_bytes
from godwitpass_daemon.composition import build_kernel
from godwitpass_daemon.kernel import Kernel
from godwitpass_daemon.peers import Channel, PeerTransport
from godwitpass_daemon.services.distribution import DistributionService
from godwitpass_daemon.services.membership import MembershipService
from godwitpass_daemon.settings import Settings, read_settings
from godwitpass_testkit.experiments.membership_memory import (
    TARGET_REGION_DAEMONS,
    TARGET_UPSTREAMS,
    build_local_spec,
    build_remote_summaries,
)
from godwitpass_testkit.experiments.membership_mesh import build_member_update

SETTLE_TIME_S = 3.0
VERSION_TIMEOUT_S = 60.0

T = TypeVar("T")


async def run_measured(settings: Settings) -> None:
    """Run a daemon, wait for the document, install the mesh and print the memory at each stage."""
    kernel = build_kernel(settings)
    print(read_resident_bytes())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(kernel.run)
        distribution = kernel.find("distribution", DistributionService)
        with anyio.fail_after(VERSION_TIMEOUT_S):
            while distribution.snapshot() is None:  # noqa: ASYNC110 - polling is precise enough
                await anyio.sleep(SETTLE_TIME_S)
        await anyio.sleep(SETTLE_TIME_S)
        print(read_resident_bytes())
        install_mesh(kernel)
        await anyio.sleep(SETTLE_TIME_S)
        assert len(kernel.find("membership", MembershipService).members()) >= TARGET_REGION_DAEMONS
        print(read_resident_bytes())
        kernel.request_stop()


def install_mesh(kernel: Kernel) -> None:
    """Install the members of a region and the summaries of the others at the target size.

    These daemons don't exist, so the daemon is first kept from sending messages to any address.
    """
    peers = kernel.find("peers", PeerTransport)
    peers.send = _drop_message  # type: ignore[method-assign]
    state = kernel.find("membership", MembershipService)._membership._state
    now = anyio.current_time()
    for number in range(TARGET_REGION_DAEMONS):
        state.table.merge(
            _decode_copy(build_member_update(build_local_spec(number)), MemberUpdate), now
        )
    for summary in build_remote_summaries(TARGET_UPSTREAMS - TARGET_REGION_DAEMONS):
        state.regions.merge_summary(_decode_copy(summary, SummaryUpdate))


def _drop_message(channel: Channel, to: Address, payload: bytes) -> None:
    """Drop the message."""


def _decode_copy(update: T, update_type: type[T]) -> T:
    """Return a copy with strings of its own, as a decoded message has."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=update_type)


if __name__ == "__main__":
    anyio.run(run_measured, read_settings(Path(sys.argv[1])), backend_options={"use_uvloop": True})
