"""Constants of distribution that the document's `distribution.favour` chooses."""

import msgspec

from godwitpass.document import Favour

FAN_OUT = 8
READERS_PER_ZONE = 2
MAX_READER_DELAY_S = 1.0
"""Longest time before a new reader begins, so that a herd learns of its members first."""

ZONE_LINKS = 2
"""Other availability zones that the root of a tree tells of a new version."""

MAX_TRIES = 2
"""Unanswered messages after which a daemon counts as silent and is bypassed."""

WATCH_TIMEOUT_S = 20.0
STORE_RETRY_MIN_S = 0.5
STORE_RETRY_MAX_S = 4.0
REMOTE_DIGEST_SHARE = 0.125
"""Share of the digests that go to another availability zone."""

SNAPSHOTS_PER_S = 8.0
SNAPSHOTS_BURST = 8.0
BOOTSTRAP_PEERS = 3
BOOTSTRAP_TIMEOUT_S = 0.5


class Tuning(msgspec.Struct, frozen=True):
    """Durations in seconds, sizes in bytes.

    `digest_interval_s` is the period of comparing digests, `push_interval_s` the least time between two pushes,
    `ack_timeout_s` the time before a push is repeated, `report_interval_s` the time between two reports of
    partial holdings, `publish_interval_s` the period of repeating an availability zone's holdings to the
    others, `tries` how often a daemon is told of a version, `max_push_bytes` the size above which an
    update is announced before it is sent.
    """

    digest_interval_s: float
    push_interval_s: float
    ack_timeout_s: float
    report_interval_s: float
    publish_interval_s: float
    tries: int
    max_push_bytes: int


CONVERGENCE_TUNING = Tuning(3.0, 0.1, 0.3, 1.0, 20.0, 5, 65_536)
BYTES_TUNING = Tuning(10.0, 2.0, 0.5, 3.0, 60.0, 4, 2_048)


def choose_tuning(favour: Favour) -> Tuning:
    """Return the constants for `favour`."""
    return CONVERGENCE_TUNING if favour is Favour.CONVERGENCE else BYTES_TUNING
