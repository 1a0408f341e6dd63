"""When a daemon tries a request again whose crashes may have been those of another one."""

import hashlib
import math
from collections.abc import Iterable

from godwitpass.ids import Address
from godwitpass.internal.crashes.fingerprint import Fingerprint

FIRST_TRIAL_S = 6.0
"""Time since its latest crash after which the first daemon tries a request again."""

TRIAL_DOUBLING_S = 1.0
"""Time in which the number of daemons doubles that may try the request."""

TRIAL_TIMEOUT_S = 6.0
"""Time after which a trial without a known end no longer prevents the next one.

It is the time in which a daemon learns from heartbeats that its upstream has started anew.
"""

DIGEST_BYTES = 8


def compute_rank(
    own_address: Address, fingerprint: Fingerprint, competitors: Iterable[Address]
) -> int:
    """Return how many of the daemons that can try a request come before this one.

    The order is a different one for each request, and daemons that know each other agree on it.
    """
    own = (_hash(own_address, fingerprint), own_address)
    return sum(
        (_hash(address, fingerprint), address) < own
        for address in competitors
        if address != own_address
    )


def compute_trial_delay_s(rank: int) -> float:
    """Return the time since its latest crash after which the daemon of `rank` tries a request.

    The first daemon has it for itself until its report has reached the others.

    >>> [compute_trial_delay_s(rank) for rank in (0, 1, 3)]
    [6.0, 7.0, 8.0]
    """
    return FIRST_TRIAL_S + TRIAL_DOUBLING_S * math.log2(rank + 1)


def _hash(address: Address, fingerprint: Fingerprint) -> bytes:
    return hashlib.blake2b(address.encode() + fingerprint, digest_size=DIGEST_BYTES).digest()
