"""Allocate free loopback addresses for the processes of an experiment."""

import ipaddress
import os
import random
import socket

from godwitpass.ids import Address

LOWEST_PORT = 10_000
HIGHEST_PORT = 30_000
"""Ports stay below the range that Linux uses for outgoing connections."""

FIRST_HOST = ipaddress.IPv4Address("127.1.0.1")
HOST_COUNT = 2**22
"""Size of the range of loopback hosts; process ids on Linux are smaller."""


class AddressAllocator:
    """Allocates addresses that are free for both TCP and UDP, each at most once.

    Each process uses a loopback host of its own, derived from its process id, so that concurrent
    test runs can't take a port between its allocation and its use.
    """

    def __init__(self) -> None:
        process_id = os.getpid()
        self.host = str(FIRST_HOST + process_id % HOST_COUNT)
        self._random = random.Random(process_id)
        self._allocated_ports: set[int] = set()

    def allocate(self) -> Address:
        """Return an unused address."""
        while True:
            port = self._random.randrange(LOWEST_PORT, HIGHEST_PORT)
            if port not in self._allocated_ports and _is_free(self.host, port):
                self._allocated_ports.add(port)
                return Address(f"{self.host}:{port}")


def _is_free(host: str, port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
