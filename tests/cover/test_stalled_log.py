"""A real daemon whose log nobody reads."""

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
    encode_call,
    exchange,
    settle,
)
from godwitpass_platform_stand_ins.deployment import Machine, probe
from godwitpass_platform_stand_ins.store import StoreStandIn

PORT = 27_000
PIPE_BYTES = 4096
"""The smallest pipe there is; a few lines fill it."""

CALLS = 120
ANSWER_LIMIT_S = 2.0
MOST_OF_THE_PIPE = 0.9


def start_unread(settings: Path) -> subprocess.Popen[bytes]:
    """Start a daemon whose standard output is a pipe that nobody reads."""
    daemon = subprocess.Popen(
        [sys.executable, "-m", "godwitpass_platform"],
        env=os.environ | {"GODWITPASS_NODE_FILE": str(settings)},
        stdout=subprocess.PIPE,
    )
    assert daemon.stdout is not None
    fcntl.fcntl(daemon.stdout, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
    return daemon


def count_unread(daemon: subprocess.Popen[bytes]) -> int:
    """Return the bytes that wait in the pipe."""
    assert daemon.stdout is not None
    (unread,) = struct.unpack("i", fcntl.ioctl(daemon.stdout, termios.FIONREAD, b"    "))
    return int(unread)


async def send_calls(folder: Path) -> int:
    """Send calls that each write a line, stop the daemon, and return what was left unread."""
    store, address = StoreStandIn(), Address(f"127.0.81.8:{PORT}")
    store.write_configuration(build_configuration(1, {"read": build_route("/read/", "desk")}))
    listener = HttpListener(store.answer, address)
    machine = Machine(folder, 42, "desk", address, PORT)
    async with anyio.create_task_group() as tasks:
        await listener.start(tasks)
        daemon = start_unread(machine.settings_path)
        try:
            await settle(lambda: probe(machine.readiness))
            for number in range(CALLS):
                with anyio.fail_after(ANSWER_LIMIT_S):
                    call = encode_call("/nowhere/", f"unrouted{number}")
                    assert (await exchange(machine.outbound, call)).status == 404
            unread = count_unread(daemon)
            daemon.send_signal(signal.SIGTERM)
            with anyio.fail_after(10.0):
                await anyio.to_thread.run_sync(daemon.wait)
        finally:
            daemon.kill()
            daemon.communicate()
        listener.request_stop()
        tasks.cancel_scope.cancel()
    return unread


class TestStalledReader:
    def test_a_reader_that_stops_delays_no_request_and_no_stop(self, tmp_path: Path) -> None:
        unread = anyio.run(send_calls, tmp_path)
        assert unread > MOST_OF_THE_PIPE * PIPE_BYTES
