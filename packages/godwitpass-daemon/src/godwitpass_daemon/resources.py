"""How the memory and the descriptors of a daemon are shared among its listeners."""

import msgspec

BYTES_PER_MB = 1024 * 1024
DEFAULT_MEMORY_MB = 512
DEFAULT_DESCRIPTORS = 4096
MIN_MEMORY_MB = 96
MIN_DESCRIPTORS = 300
RESERVED_DESCRIPTORS = 200
"""Descriptors for files, and for connections that the daemon opens itself."""

CALLER_SHARE = 0.5
INBOUND_SHARE = 0.25
PEER_SHARE = 0.06
SERVICE_SHARE = 0.03
"""Share of each further HTTP listener: readiness, control, metrics and administration."""

PEER_MESSAGE_SHARE = 0.0625
"""Share of the memory that messages of other daemons may take while they arrive."""

BUFFER_SHARE = 0.25
"""Share of the memory that the requests of clients may take, over all listeners."""

SINGLE_REQUEST_SHARE = 0.25
"""Share of the memory that one large request may take beside them."""


class Resources(msgspec.Struct, frozen=True):
    """What the process may use; `memory_mb` is a bound of its resident memory."""

    memory_mb: int = DEFAULT_MEMORY_MB
    descriptors: int = DEFAULT_DESCRIPTORS

    @property
    def buffer_bytes(self) -> int:
        """Return how many bytes the requests of clients may take."""
        return int(self.memory_mb * BYTES_PER_MB * BUFFER_SHARE)

    @property
    def single_request_bytes(self) -> int:
        """Return the size of a request that is served though others fill their share."""
        return int(self.memory_mb * BYTES_PER_MB * SINGLE_REQUEST_SHARE)

    @property
    def peer_message_bytes(self) -> int:
        """Return how many bytes the incoming messages of other daemons may take."""
        return int(self.memory_mb * BYTES_PER_MB * PEER_MESSAGE_SHARE)

    @property
    def caller_connections(self) -> int:
        """Return how many connections of callers may be open."""
        return self._share_descriptors(CALLER_SHARE)

    @property
    def inbound_connections(self) -> int:
        """Return how many connections may be open on which other daemons forward calls."""
        return self._share_descriptors(INBOUND_SHARE)

    @property
    def peer_connections(self) -> int:
        """Return how many connections for large messages of other daemons may be open."""
        return self._share_descriptors(PEER_SHARE)

    @property
    def service_connections(self) -> int:
        """Return how many connections each further HTTP listener may have open."""
        return self._share_descriptors(SERVICE_SHARE)

    def _share_descriptors(self, share: float) -> int:
        return int((self.descriptors - RESERVED_DESCRIPTORS) * share)


DEFAULT_RESOURCES = Resources()
