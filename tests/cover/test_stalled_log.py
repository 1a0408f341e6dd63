"""A real daemon that logs to a pipe that nobody reads.

Guards against a full pipe that delays calls or the stop of the daemon.
"""

import fcntl
import os
import signal
import struct
import subprocess
import sys
import termios
from pathlib import Path

import anyio

from godwitpass.ids import Address
from godwitpass_daemon.listeners import HttpListener
from godwitpass_platform_stand_ins import (
    build_configuration,
    build_route,
    choose_network,
    encode_call,
    exchange,
    wait_until,
)
from godwitpass_platform_stand_ins.deployment import Machine, is_ready
from godwitpass_platform_stand_ins.store import StandInStore

BASE_PORT = 27_000
PIPE_BYTES = 4096
"""Smallest possible capacity of a pipe; a few log lines fill it."""

CALL_COUNT = 120
RESPONSE_TIMEOUT_S = 2.0
MIN_FILLED_SHARE = 0.9


def start_daemon_with_unread_log(settings: Path) -> subprocess.Popen[bytes]:
    """Start a daemon whose standard output is a pipe that nobody reads."""
    daemon = subprocess.Popen(
        [sys.executable, "-m", "godwitpass_platform"],
        env=os.environ | {"GODWITPASS_NODE_FILE": str(settings)},
        stdout=subprocess.PIPE,
    )
    assert daemon.stdout is not None
    fcntl.fcntl(daemon.stdout, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    return daemon


def count_unread_bytes(daemon: subprocess.Popen[bytes]) -> int:
    """Return the number of unread bytes in the pipe."""
    assert daemon.stdout is not None
    (unread_bytes,) = struct.unpack("i", fcntl.ioctl(daemon.stdout, termios.FIONREAD, b"    "))
    return int(unread_bytes)


async def run_calls_with_unread_log(folder: Path) -> int:
    """Send calls that each log a line, stop the daemon, and return the number of unread bytes."""
    store, address = StandInStore(), Address(f"{choose_network(BASE_PORT // 100)}.8:{BASE_PORT}")
    store.write_configuration(build_configuration(1, {"read": build_route("/read/", "desk")}))
    listener = HttpListener(store.handle_request, address)
    machine = Machine(folder, 42, "desk", address, BASE_PORT)
    async with anyio.create_task_group() as tasks:
        await listener.start(tasks)
        daemon = start_daemon_with_unread_log(machine.settings_path)
        try:
            await wait_until(lambda: is_ready(machine.readiness_address))
            for number in range(CALL_COUNT):
                with anyio.fail_after(RESPONSE_TIMEOUT_S):
                    call = encode_call("/nowhere/", f"unrouted{number}")
                    assert (await exchange(machine.outbound_address, call)).status == 404
            unread_bytes = count_unread_bytes(daemon)
            daemon.send_signal(signal.SIGTERM)
            with anyio.fail_after(10.0):
                await anyio.to_thread.run_sync(daemon.wait)
        finally:
            daemon.kill()
            daemon.communicate()
        listener.request_stop()
        tasks.cancel_scope.cancel()
    return unread_bytes


class TestStalledLogReader:
    def test_a_stalled_log_reader_delays_neither_requests_nor_the_stop(
        self, tmp_path: Path
    ) -> None:
        unread_bytes = anyio.run(run_calls_with_unread_log, tmp_path)
        assert unread_bytes > MIN_FILLED_SHARE * PIPE_BYTES
