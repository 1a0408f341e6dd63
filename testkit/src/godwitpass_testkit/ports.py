"""Free loopback addresses for the processes of an experiment."""

import ipaddress
import os
import random
import socket

from godwitpass.ids import Address

LOWEST_PORT = 10_000
HIGHEST_PORT = 30_000
"""Below the range from which the system takes ports for outgoing connections."""

FIRST_HOST = ipaddress.IPv4Address("127.1.0.1")
HOSTS = 2**22
"""Numbers of the loopback range to choose from; process ids are smaller on Linux."""


class AddressAllocator:
    """Hands out addresses that are free for both TCP and UDP, each once.

    Each process uses a loopback number of its own, so that test runs side by side can't take a
    port between its choice and its use.
    """

    def __init__(self) -> None:
        process = os.getpid()
        self.host = str(FIRST_HOST + process % HOSTS)
        self._random = random.Random(process)
        self._given: set[int] = set()

    def allocate(self) -> Address:
        """Return an address that nothing listens on."""
        while True:
            port = self._random.randrange(LOWEST_PORT, HIGHEST_PORT)
            if port not in self._given and _is_free(self.host, port):
                self._given.add(port)
                return Address(f"{self.host}:{port}")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
