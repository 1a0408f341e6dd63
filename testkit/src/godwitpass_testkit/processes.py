"""Processes of one experiment: started together, ended together, by their own ids."""

import contextlib
import subprocess
import sys
from collections.abc import Iterator

import psutil

from godwitpass.ids import Address

STOP_TIMEOUT_S = 10.0


class Processes:
    """Starts modules that print their address once they serve."""

    def __init__(self) -> None:
        self._running: dict[Address, subprocess.Popen[str]] = {}

    def start(self, module: str, *arguments: str) -> Address:
        """Start `module` and wait for its address."""
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        address = Address(process.stdout.readline().strip())
        assert address, f"{module} ended before it printed its address"
        self._running[address] = process
        return address

    def measure_cpu_s(self, address: Address) -> float:
        """Return the processor seconds spent so far by the process at `address`."""
        times = psutil.Process(self._running[address].pid).cpu_times()
        return float(times.user + times.system)

    def stop(self) -> None:
        """End every process that was started here."""
        for process in self._running.values():
            process.kill()
        for process in self._running.values():
            process.wait(STOP_TIMEOUT_S)
            if process.stdout is not None:
                process.stdout.close()


@contextlib.contextmanager
def run_processes() -> Iterator[Processes]:
    """Give processes that end with the block."""
    processes = Processes()
    try:
        yield processes
    finally:
        processes.stop()
