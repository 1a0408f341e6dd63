"""Bound on how long a call waits until a daemon that has just started has a configuration.

A daemon receives its configuration within a few tenths of a second after its start. A call that
waits is served sooner than one that is refused, and callers retry only once or twice.
"""

from godwitpass.internal.relay.admission import MAX_WAIT_SHARE

DEFAULT_WAIT_S = 0.3
"""Wait of a call without a timeout; most daemons have a configuration by then."""


def compute_configuration_wait_s(timeout_ms: int | None) -> float:
    """Return the seconds that a call may wait for a configuration.

    The share of the timeout is the one that a call may spend in the queue for a slot.

    >>> compute_configuration_wait_s(4000), compute_configuration_wait_s(None)
    (0.6, 0.3)
    """
    return DEFAULT_WAIT_S if timeout_ms is None else MAX_WAIT_SHARE * timeout_ms / 1000
