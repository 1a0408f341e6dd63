"""Samples the successful calls to log; all daemons select the same calls."""

import xxhash

CALLS_PER_SAMPLE = 16
"""One call in this many is logged."""


def is_sampled(request_id: str) -> bool:
    """Tell whether a call is logged; its nested calls get the same result.

    >>> is_sampled("9c41d07be2a35f68") == is_sampled("9c41d07be2a35f68.1f")
    True
    """
    origin = request_id.partition(".")[0]
    return xxhash.xxh32_intdigest(origin.encode()) % CALLS_PER_SAMPLE == 0
