import socket
from collections.abc import Iterator

import pytest

from godwitpass.events import EventKind, FieldValue
from godwitpass.ids import Address


class EventRecorder:
    def __init__(self) -> None:
        self.events: list[tuple[EventKind, dict[str, FieldValue]]] = []

    def __call__(self, kind: EventKind, /, **fields: FieldValue) -> None:
        self.events.append((kind, fields))


@pytest.fixture
def recorder() -> EventRecorder:
    return EventRecorder()


@pytest.fixture
def addresses() -> Iterator[tuple[Address, Address]]:
    """Return two loopback addresses with ports that were free a moment ago."""
    with socket.socket() as first, socket.socket() as second:
        for bound_socket in (first, second):
            bound_socket.bind(("127.0.0.1", 0))
        ports = [bound_socket.getsockname()[1] for bound_socket in (first, second)]
    yield Address(f"127.0.0.1:{ports[0]}"), Address(f"127.0.0.1:{ports[1]}")
