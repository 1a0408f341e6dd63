"""Start the processes of an experiment and stop all of them at its end."""

import contextlib
import subprocess
import sys
from collections.abc import Iterator

import psutil

from godwitpass.ids import Address

STOP_TIMEOUT_S = 10.0


class Processes:
    """Processes of modules that print their address once they are ready."""

    def __init__(self) -> None:
        self._process_by_address: dict[Address, subprocess.Popen[str]] = {}

    def start(self, module: str, *arguments: str) -> Address:
        """Start `module` and wait until it prints its address."""
        command = [sys.executable, "-m", module, *arguments]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert process.stdout is not None
        address = Address(process.stdout.readline().strip())
        assert address, f"{module} exited before it printed its address"
        self._process_by_address[address] = process
        return address

    def measure_cpu_s(self, address: Address) -> float:
        """Return the CPU seconds, user and system, that the process at `address` has used."""
        times = psutil.Process(self._process_by_address[address].pid).cpu_times()
        return float(times.user + times.system)

    def stop(self) -> None:
        """Kill every process that was started here."""
        for process in self._process_by_address.values():
            process.kill()
        for process in self._process_by_address.values():
            process.wait(STOP_TIMEOUT_S)
            if process.stdout is not None:
                process.stdout.close()


@contextlib.contextmanager
def run_processes() -> Iterator[Processes]:
    """Yield a `Processes` whose processes are killed at the end of the block."""
    processes = Processes()
    try:
        yield processes
    finally:
        processes.stop()
