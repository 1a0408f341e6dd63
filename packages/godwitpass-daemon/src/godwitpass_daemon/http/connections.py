"""Open connections of one listener: bounds, counts and log lines."""

import asyncio
import math
import time
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from godwitpass.events import EventKind
from godwitpass_daemon.http.applications import Application
from godwitpass_daemon.http.events import APPLICATION_FAILED, CLIENT_LIMITED
from godwitpass_daemon.http.limits import (
    BODY_SLICE_BYTES,
    LOG_INTERVAL_S,
    MAX_CONNECTIONS,
    MAX_LOGGED_CLIENTS,
    MIN_WAIT_S,
    HttpLimits,
)
from godwitpass_daemon.http.parse_share import ParseShare
from godwitpass_daemon.http.reasons import Close, Refusal

Emit = Callable[[EventKind, dict[str, str]], None]
Clock = Callable[[], float]


class Connection(Protocol):
    """The part of a connection that the set of connections uses."""

    @property
    def waiting_since(self) -> float:
        """When the connection began to wait for its client."""
        ...

    def abort(self, reason: Close) -> None:
        """Close at once."""
        ...

    def check_timeouts(self, now: float) -> None:
        """Refuse or close what takes too long."""
        ...

    def close_if_idle(self) -> None:
        """Close unless a request is in progress."""
        ...


class ListenerCounts:
    """What a listener did with connections and requests since its start."""

    def __init__(self) -> None:
        self.opened = 0
        self.requests = 0
        self.closed: Counter[Close] = Counter()
        self.refused: Counter[Refusal] = Counter()


class Connections:
    """The connections of one listener, with what they share.

    `read_buffer` serves all connections, since each slice is parsed before the next is read.
    """

    def __init__(
        self,
        name: str,
        application: Application,
        limits: HttpLimits,
        loop: asyncio.AbstractEventLoop,
        emit: Emit,
        clock: Clock | None = None,
        parse_clock: Clock = time.perf_counter,
    ) -> None:
        self.application = application
        self.limits = limits
        self.loop = loop
        self.now = clock or loop.time
        self.parse_clock = parse_clock
        self.counts = ListenerCounts()
        self.parse_share = ParseShare()
        self.read_buffer = bytearray(BODY_SLICE_BYTES)
        self.is_stopping = False
        self.tasks: set[asyncio.Task[None]] = set()
        self._name = name
        self._emit = emit
        self._open: dict[Connection, None] = {}
        self._waiting: dict[Connection, None] = {}
        self._logged_clients: set[str] = set()
        self._logged_until = -math.inf

    @property
    def open_count(self) -> int:
        """How many connections are open."""
        return len(self._open)

    def add(self, connection: Connection) -> bool:
        """Add a connection, in place of the one that waits longest if there are too many.

        Returns False if each of the others has a request in progress or is new.
        """
        self.counts.opened += 1
        if len(self._open) >= min(self.limits.max_connections, MAX_CONNECTIONS):
            longest = next(iter(self._waiting), None)
            if longest is None or longest.waiting_since + MIN_WAIT_S > self.now():
                return False
            longest.abort(Close.DISPLACED)
        self._open[connection] = None
        return True

    def remove(self, connection: Connection) -> None:
        """Forget a connection."""
        self._open.pop(connection, None)
        self._waiting.pop(connection, None)

    def mark_waiting(self, connection: Connection) -> None:
        """Record that `connection` waits for its client from now on."""
        if connection in self._open:
            self._waiting.pop(connection, None)
            self._waiting[connection] = None

    def mark_busy(self, connection: Connection) -> None:
        """Record that a request of `connection` is in progress."""
        self._waiting.pop(connection, None)

    def check_timeouts(self) -> None:
        """Refuse or close what takes too long."""
        now = self.now()
        for connection in list(self._open):
            connection.check_timeouts(now)

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self._open):
            connection.close_if_idle()

    def report_limit(self, client: str, reason: Close | Refusal) -> None:
        """Log that a client met a limit, unless it was logged within the last minute."""
        now = self.now()
        if now >= self._logged_until:
            self._logged_clients.clear()
            self._logged_until = now + LOG_INTERVAL_S
        if client in self._logged_clients or len(self._logged_clients) >= MAX_LOGGED_CLIENTS:
            return
        self._logged_clients.add(client)
        fields = {"listener": self._name, "client": client, "reason": reason.value}
        self._emit(CLIENT_LIMITED, fields)

    def report_failure(self, error: BaseException) -> None:
        """Log an exception of the application, without its message, which may hold secrets."""
        self._emit(APPLICATION_FAILED, {"listener": self._name, "error": type(error).__name__})
