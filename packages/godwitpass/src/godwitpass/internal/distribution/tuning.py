"""Constants of distribution; the document's `distribution.favour` selects some of them."""

import msgspec

from godwitpass.document import Favour

FAN_OUT = 8
READERS_PER_ZONE = 2
SUBSTITUTES_PER_READER = 2
"""Number of daemons that may read in place of a reader that can't reach the store."""

HANDOVER_S = 3.0
"""Time for which a substitute reads after a reader told it that it can't reach the store.

A reader that still can't repeats it after each attempt, with another substitute. A substitute that
can't either stops at once.
"""

OWN_READ_DELAY_S = 1.0
"""Time for which a daemon waits for a known later version before it reads the store itself.

It doubles with each attempt, up to `MAX_OWN_READ_DELAY_S`.
"""

MAX_OWN_READ_DELAY_S = 16.0
OWN_READS_PER_S = 40.0
"""Reads a second of all daemons of an availability zone that lack a version."""

MAX_READER_DELAY_S = 1.0
"""Maximum delay of a new reader, so that daemons that start together discover each other first."""

ANNOUNCED_ZONES = 2
"""Number of other availability zones to which the root of a tree announces a new version."""

ATTEMPTS_BEFORE_BYPASS = 2
"""Number of unanswered messages after which a daemon counts as silent and is bypassed."""

WATCH_TIMEOUT_S = 2.0
"""Time after which a poll ends without a change.

A connection may go silent without a reset, and then only the end of the poll shows it.
"""

MIN_WATCH_TIMEOUT_S = 0.1
"""A poll that would end sooner at the reader's phase lasts until that phase comes again."""

STORE_RETRY_MIN_S = 0.5
STORE_RETRY_MAX_S = 0.9
"""Bounds how late a reader notices that the store is back; there are two readers per zone."""

BOOTSTRAP_RETRY_MAX_S = 4.0
REMOTE_ANNOUNCE_FRACTION = 0.125
"""Fraction of the periodic announcements that are sent to another availability zone."""

SNAPSHOTS_PER_S = 8.0
SNAPSHOTS_BURST = 8.0
BOOTSTRAP_PEERS = 3
BOOTSTRAP_TIMEOUT_S = 0.5


class Tuning(msgspec.Struct, frozen=True):
    """Durations in seconds, sizes in bytes.

    The current version is announced to a random daemon every `announce_interval_s`.
    `push_interval_s` is the minimum time between two pushes. A push without an acknowledgement is
    repeated after `ack_timeout_s`; it is sent at most `push_attempts` times. Partial holdings are
    reported every `report_interval_s`, and those of an availability zone are repeated to the others
    every `publish_interval_s`. An update of more than `max_push_bytes` is announced first, and sent
    when the target fetches it.
    """

    announce_interval_s: float
    push_interval_s: float
    ack_timeout_s: float
    report_interval_s: float
    publish_interval_s: float
    push_attempts: int
    max_push_bytes: int


CONVERGENCE_TUNING = Tuning(3.0, 0.1, 0.3, 1.0, 20.0, 5, 65_536)
BYTES_TUNING = Tuning(10.0, 2.0, 0.5, 3.0, 60.0, 4, 2_048)


def choose_tuning(favour: Favour) -> Tuning:
    """Return the tuning that `favour` selects."""
    return CONVERGENCE_TUNING if favour is Favour.CONVERGENCE else BYTES_TUNING
