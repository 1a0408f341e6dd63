"""What a daemon that holds no configuration yet does with calls.

A daemon that has just started holds one within a few tenths of a second. A call that waits for it
is served sooner than one that is refused and comes back, and callers come back only once or twice.
"""

from godwitpass.internal.relay.admission import MAX_WAIT_SHARE

DEFAULT_WAIT_S = 0.3
"""Wait of a call without a timeout; most daemons hold a version by then."""


def compute_configuration_wait(timeout_ms: int | None) -> float:
    """Return the seconds that a call may wait for a configuration; the share is that of a queue.

    >>> compute_configuration_wait(4000), compute_configuration_wait(None)
    (0.6, 0.3)
    """
    return DEFAULT_WAIT_S if timeout_ms is None else MAX_WAIT_SHARE * timeout_ms / 1000
