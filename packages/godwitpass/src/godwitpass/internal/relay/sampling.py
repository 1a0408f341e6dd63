"""Which calls without trouble are logged: the same ones in all daemons."""

import xxhash

SAMPLED_ONE_IN = 16


def is_sampled(request_id: str) -> bool:
    """Tell whether a call is logged; those that its run makes go with it.

    >>> is_sampled("9c41d07be2a35f68") == is_sampled("9c41d07be2a35f68.1f")
    True
    """
    origin = request_id.partition(".")[0]
    return xxhash.xxh32_intdigest(origin.encode()) % SAMPLED_ONE_IN == 0
