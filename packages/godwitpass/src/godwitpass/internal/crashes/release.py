"""When a daemon admits a request again whose crashes may have been those of another one."""

import hashlib
import math

from godwitpass.ids import Address
from godwitpass.internal.crashes.fingerprint import Fingerprint

MAX_PROVISIONAL_REFUSAL_S = 10.0
MIN_PROVISIONAL_REFUSAL_S = 2.0
RELEASE_DOUBLING_S = 1.0
"""Time in which the number of daemons doubles that admit the request again."""

DIGEST_BYTES = 4


def compute_provisional_refusal_s(own_address: Address, fingerprint: Fingerprint) -> float:
    """Return for how long a daemon refuses a request whose crashes are a single burst.

    The times of all daemons are distributed so that the number of those that admit the request
    grows exponentially. However many there are, few have admitted it when the first one reports
    that it has crashed again.
    """
    digest = hashlib.blake2b(own_address.encode() + fingerprint, digest_size=DIGEST_BYTES).digest()
    share = (int.from_bytes(digest, "big") + 1) / 256**DIGEST_BYTES
    delay_s = MAX_PROVISIONAL_REFUSAL_S + RELEASE_DOUBLING_S * math.log2(share)
    return max(MIN_PROVISIONAL_REFUSAL_S, delay_s)
