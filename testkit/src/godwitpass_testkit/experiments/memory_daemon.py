"""The daemon that the memory experiment measures; it imports little beside the daemon's own."""

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
    TARGET_REGION,
    TARGET_UPSTREAMS,
    build_remote_summaries,
    build_local_spec,
)
from godwitpass_testkit.experiments.membership_mesh import build_member_update

SETTLE_S = 3.0
VERSION_LIMIT_S = 60.0

T = TypeVar("T")


async def run_measured(settings: Settings) -> None:
    """Run a daemon, wait for the document, hand it the whole mesh and print the memory."""
    kernel = build_kernel(settings)
    print(read_resident_bytes())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(kernel.run)
        distribution = kernel.find("distribution", DistributionService)
        with anyio.fail_after(VERSION_LIMIT_S):
            while distribution.snapshot() is None:  # noqa: ASYNC110 - a poll is enough here
                await anyio.sleep(SETTLE_S)
        await anyio.sleep(SETTLE_S)
        print(read_resident_bytes())
        introduce_mesh(kernel)
        await anyio.sleep(SETTLE_S)
        assert len(kernel.find("membership", MembershipService).members()) >= TARGET_REGION
        print(read_resident_bytes())
        kernel.request_stop()


def introduce_mesh(kernel: Kernel) -> None:
    """Make membership hold the target's members and sums.

    They exist nowhere, so the daemon is silenced first: nothing may be sent to their addresses.
    """
    peers = kernel.find("peers", PeerTransport)
    peers.send = _send_nothing  # type: ignore[method-assign]
    state = kernel.find("membership", MembershipService)._membership._state
    now = anyio.current_time()
    for number in range(TARGET_REGION):
        state.table.merge(_copy(build_member_update(build_local_spec(number)), MemberUpdate), now)
    for held in build_remote_summaries(TARGET_UPSTREAMS - TARGET_REGION):
        state.regions.merge_summary(_copy(held, SummaryUpdate))


def _send_nothing(channel: Channel, to: Address, payload: bytes) -> None:
    """Drop the message."""


def _copy(update: T, kind: type[T]) -> T:
    """Return a copy with strings of its own, as it comes from the wire."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=kind)


if __name__ == "__main__":
    anyio.run(run_measured, read_settings(Path(sys.argv[1])), backend_options={"use_uvloop": True})
