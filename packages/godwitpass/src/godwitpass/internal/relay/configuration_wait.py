"""What a daemon that holds no configuration yet does with calls.

A daemon that has just started holds one within a few tenths of a second. A call that waits for it
is served sooner than one that is refused and comes back, and callers come back only once or twice.
"""

from godwitpass.internal.relay.admission import PATIENCE

UNTIMED_WAIT_S = 0.3
"""Wait of a call without a timeout; most daemons hold a version by then."""


def decide_wait(timeout_ms: int | None) -> float:
    """Return the seconds that a call may wait for a configuration; the share is that of a queue.

    >>> decide_wait(4000), decide_wait(None)
    (0.6, 0.3)
    """
    return UNTIMED_WAIT_S if timeout_ms is None else PATIENCE * timeout_ms / 1000
