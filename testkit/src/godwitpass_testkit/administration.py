"""Serve the administration API over in-memory fakes, to test the API and its clients."""

import contextlib
import threading
from collections.abc import Iterator, Sequence

import anyio
import anyio.to_thread

from godwitpass.administration import Spread, VersionRecord
from godwitpass.document import Document
from godwitpass.errors import VersionConflict
from godwitpass.events import EventKind, FieldValue, TimelineEvent
from godwitpass.ids import (
    Address,
    ChangeId,
    ContentHash,
    InstanceId,
    RegionId,
    ServiceName,
    Version,
    ZoneId,
)
from godwitpass.mesh import UpstreamState
from godwitpass.snapshot import Snapshot
from godwitpass_daemon.admin.meter import RequestMeter
from godwitpass_daemon.admin.ports import Ports
from godwitpass_daemon.admin.service import AdminService
from godwitpass_daemon.settings import ListenSettings, Settings, UpstreamSettings

ADMIN_TOKEN = "experiment-token-not-a-secret"
DUMMY_ADDRESS = Address("127.0.0.1:1")
"""Fills settings that are required but never used; nothing listens there."""

START_TIMEOUT_S = 60.0


class FakeDaemon:
    """Fake of every service that the administration API calls.

    Accepts a document without delay. Set `failure` to raise that exception instead.
    """

    def __init__(self) -> None:
        self.versions: list[tuple[VersionRecord, Document]] = []
        self.failure: Exception | None = None
        self.emitted_names: list[str] = []
        self.events: list[TimelineEvent] = []
        self.announced_states: list[UpstreamState] = []
        self.holder_count = 1

    async def accept(
        self, document: Document, change: ChangeId, if_version: Version | None
    ) -> VersionRecord:
        """Create a version, or return the one that `change` already created.

        Raises `VersionConflict` when `if_version` is not the newest version.
        """
        if self.failure is not None:
            raise self.failure
        for record, _ in self.versions:
            if record.change == change:
                return record
        if if_version is not None and if_version != len(self.versions):
            raise VersionConflict(Version(len(self.versions)), self.versions[-1][0].change)
        record = VersionRecord(Version(len(self.versions) + 1), change, ContentHash("00"))
        self.versions.append((record, document))
        return record

    async def history(self) -> Sequence[VersionRecord]:
        """Return the versions, oldest first."""
        if self.failure is not None:
            raise self.failure
        return [record for record, _ in self.versions]

    async def content(self, version: Version) -> Document | None:
        """Return the document of `version`; None when it does not exist."""
        return self.versions[version - 1][1] if version <= len(self.versions) else None

    def emit(self, kind: EventKind, /, **fields: FieldValue) -> None:
        """Record the name of the event."""
        self.emitted_names.append(kind.name)

    def list_events(self, after: int = 0) -> Sequence[TimelineEvent]:
        """Return the events that a test put into `events`, later than sequence number `after`."""
        return [event for event in self.events if event.sequence > after]

    def build_snapshot(self) -> Snapshot | None:
        """Return the newest version; None before the first one."""
        if not self.versions:
            return None
        record, document = self.versions[-1]
        return Snapshot(record.version, record.change, record.content_hash, document)

    def build_spread(self) -> Spread:
        """Return a spread in which `holder_count` of three daemons hold the newest version."""
        return Spread(Version(len(self.versions)), self.holder_count, 3)

    def drain(self) -> None:
        """Record that the upstream was announced as draining."""
        self.announced_states.append(UpstreamState.DRAINING)

    def build_ports(self, meter: RequestMeter) -> Ports:
        """Return the ports of the administration API, all served by this object."""
        return Ports(self, self, self.build_snapshot, self.build_spread, self.drain, meter.collect)


def build_settings(admin_address: Address) -> Settings:
    """Return settings whose administration API listens at `admin_address`."""
    listen = ListenSettings(DUMMY_ADDRESS, DUMMY_ADDRESS, admin_address, DUMMY_ADDRESS)
    upstream = UpstreamSettings(ServiceName("maal"), DUMMY_ADDRESS)
    return Settings(
        InstanceId("one"),
        ZoneId("lakes-a"),
        RegionId("great-lakes"),
        listen,
        (DUMMY_ADDRESS,),
        ADMIN_TOKEN,
        ADMIN_TOKEN,
        upstream,
    )


@contextlib.contextmanager
def run_admin(daemon: FakeDaemon, admin_address: Address) -> Iterator[None]:
    """Serve the administration API of `daemon` in a thread while the block runs."""
    stop_requested = threading.Event()
    started = threading.Event()

    async def serve() -> None:
        meter = RequestMeter()
        service = AdminService(build_settings(admin_address), daemon.build_ports(meter), meter)
        async with anyio.create_task_group() as tasks:
            await service.start(tasks)
            started.set()
            await anyio.to_thread.run_sync(stop_requested.wait)
            await service.stop()

    thread = threading.Thread(target=anyio.run, args=(serve,))
    thread.start()
    try:
        assert started.wait(START_TIMEOUT_S), "the administration API did not start"
        yield
    finally:
        stop_requested.set()
        thread.join()
