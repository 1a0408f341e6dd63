"""Free loopback ports for the processes of an experiment."""

import os
import random
import socket

LOWEST_PORT = 10_000
HIGHEST_PORT = 30_000
"""Below the range from which the system takes ports for outgoing connections."""


class PortAllocator:
    """Hands out ports that are free for both TCP and UDP, each once."""

    def __init__(self) -> None:
        self._random = random.Random(os.getpid())
        self._given: set[int] = set()

    def allocate(self) -> int:
        """Return a port that nothing listens on."""
        while True:
            port = self._random.randrange(LOWEST_PORT, HIGHEST_PORT)
            if port not in self._given and _is_free(port):
                self._given.add(port)
                return port


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
