"""Check of addresses that other programs have written."""

import ipaddress
import re
from functools import lru_cache

MAX_PORT = 65_535
_ADDRESS = re.compile(r"(?P<host>\[[0-9A-Fa-f:.]+\]|[0-9.]+):(?P<port>[1-9][0-9]{0,4})")


@lru_cache(maxsize=16_384)
def is_connectable(address: str) -> bool:
    """Tell whether an address consists of an IP address and a port, so that it can be used.

    >>> [is_connectable(text) for text in ("10.0.0.1:80", "[::1]:80", "host:80", "10.0.0.1:99999")]
    [True, True, False, False]
    """
    match = _ADDRESS.fullmatch(address)
    if match is None or int(match["port"]) > MAX_PORT:
        return False
    try:
        ipaddress.ip_address(match["host"].strip("[]"))
    except ValueError:
        return False
    return True
