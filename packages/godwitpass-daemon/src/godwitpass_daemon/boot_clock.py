"""The clock of permissions that must not outlast a pause of the process or the machine."""

import time


def read_boot_clock() -> float:
    """Return the seconds since the machine was started, including those in which it slept."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
