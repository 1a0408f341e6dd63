"""Polls of the store that end late, without a change or not at all, on all readers at once."""

import pytest

from godwitpass.document import Document, Route, Service
from godwitpass.ids import ChangeId, RouteName, ServiceName, Version
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.internal.distribution import events
from godwitpass.internal.distribution.distributor import Distributor
from godwitpass.internal.distribution.reader import DocumentSource
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry
from godwitpass_testkit.fleet import Fleet

KEY = "elsewhere/document"
IN_FORCE_S = 2.0
"""Time from the acknowledgement of a version by which it must be in force everywhere."""

STORE_DELAY_S = 0.05
HEARTBEAT_INTERVAL_S = 0.5
OFFSETS_S = [0.05 * step for step in range(41)]
"""Times between two versions; together they cover the time of one poll."""

ZONE_COUNTS = (1, 2, 3)


def read_document(entry: Entry) -> Snapshot:
    assert entry.value is not None
    version = Version(int(entry.value))
    service = Service(ServiceName(f"s{version}"))
    document = Document(1, (service,), (Route(RouteName("r"), "/", service.name),))
    content_hash = hash_content(encode_canonical(document))
    return Snapshot(version, ChangeId(str(version)), content_hash, document)


def build_value(version: int) -> bytes:
    return str(version).encode()


def start_fleet(zone_count: int) -> Fleet:
    """Start six daemons for each zone, which hold version 2 of a document in the store."""
    source = DocumentSource(KEY, read_document)
    fleet = Fleet(
        6 * zone_count,
        zone_count,
        build_node=lambda address, generator, codec: Distributor(
            address, generator, codec, source=source
        ),
    )
    fleet.store.delay_s = STORE_DELAY_S
    fleet.store.write(KEY, build_value(1))
    fleet.start_all()

    def write_heartbeat() -> None:
        fleet.store.write("servers/heartbeat", b"")
        fleet.queue.call_at(fleet.queue.now + HEARTBEAT_INTERVAL_S, write_heartbeat)

    write_heartbeat()
    fleet.queue.run(10.3)
    fleet.store.write(KEY, build_value(2))
    return fleet


def measure_lateness(fleet: Fleet, version: int) -> float:
    """Return the seconds until all daemons hold `version`, which was written now."""
    written_s = fleet.queue.now
    assert fleet.queue.run_until(
        lambda: fleet.is_held(Version(version)), written_s + 60.0
    ), f"version {version} is not in force after 60 s"
    return fleet.queue.now - written_s


@pytest.mark.parametrize("zone_count", ZONE_COUNTS)
class TestPollsOfAllReaders:
    def test_a_version_is_in_time_if_polls_are_answered_only_when_their_time_is_over(
        self, zone_count: int
    ) -> None:
        for offset_s in OFFSETS_S:
            fleet = start_fleet(zone_count)
            fleet.queue.run(fleet.queue.now + offset_s)
            fleet.store.answers_watches_late = True
            fleet.store.write(KEY, build_value(3))
            lateness_s = measure_lateness(fleet, 3)
            assert lateness_s < IN_FORCE_S, f"{lateness_s:.2f} s, {offset_s:.2f} s after another"

    def test_a_version_is_in_time_if_answers_to_all_polls_cover_but_do_not_list_it(
        self, zone_count: int
    ) -> None:
        for offset_s in OFFSETS_S[4:]:
            fleet = start_fleet(zone_count)
            fleet.queue.run(fleet.queue.now + offset_s)
            fleet.store.listing_delay_s = 0.4
            fleet.store.write_unlisted(fleet.queue, KEY, build_value(3))
            lateness_s = measure_lateness(fleet, 3)
            assert lateness_s < IN_FORCE_S, f"{lateness_s:.2f} s, {offset_s:.2f} s after another"
            assert any(
                event.kind == events.CHANGE_MISSED for _, _, event in fleet.queue.recorded_events
            )

    def test_a_version_is_in_time_if_the_connections_of_all_polls_go_silent(
        self, zone_count: int
    ) -> None:
        for offset_s in OFFSETS_S:
            fleet = start_fleet(zone_count)
            fleet.queue.run(fleet.queue.now + offset_s)
            fleet.store.silence_watches(fleet.queue)
            fleet.store.write(KEY, build_value(3))
            lateness_s = measure_lateness(fleet, 3)
            assert lateness_s < IN_FORCE_S, f"{lateness_s:.2f} s, {offset_s:.2f} s after another"
