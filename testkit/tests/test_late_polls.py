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
class TestReadersWithoutTheStore:
    @pytest.mark.parametrize("are_polls_silent", [False, True])
    def test_a_version_is_in_time_if_only_other_daemons_than_the_readers_reach_the_store(
        self, zone_count: int, are_polls_silent: bool
    ) -> None:
        for offset_s in OFFSETS_S:
            fleet = start_fleet(zone_count)
            fleet.queue.run(fleet.queue.now + offset_s)
            readers = next(iter(fleet.views.values())).rank_readers().readers
            assert len(readers) == 2 * zone_count
            fleet.store.is_cut_off = readers.__contains__
            if are_polls_silent:
                fleet.store.silence_watches(fleet.queue)
            fleet.store.write(KEY, build_value(3))
            lateness_s = measure_lateness(fleet, 3)
            assert lateness_s < IN_FORCE_S, f"{lateness_s:.2f} s, {offset_s:.2f} s after another"

    def test_substitutes_read_as_long_as_readers_can_not_and_no_longer(
        self, zone_count: int
    ) -> None:
        fleet = start_fleet(zone_count)
        fleet.queue.run(30.0)
        assert not fleet.queue.message_counts["Handover"]
        ranking = next(iter(fleet.views.values())).rank_readers()
        fleet.store.is_cut_off = lambda address: address in ranking.readers
        for version in range(3, 13):
            fleet.queue.run(fleet.queue.now + 2.7)
            fleet.store.write(KEY, build_value(version))
            assert measure_lateness(fleet, version) < IN_FORCE_S
        fleet.store.is_cut_off = lambda address: False
        fleet.queue.run(fleet.queue.now + 6.0)
        before = fleet.store.calls.total()
        fleet.queue.run(fleet.queue.now + 20.0)
        assert fleet.store.calls.total() - before <= 11 * len(ranking.readers)


class TestPromotedSubstitutes:
    def test_a_substitute_that_became_a_reader_goes_on_after_a_failure(self) -> None:
        fleet = start_fleet(1)
        (view,) = fleet.views.values()
        ranking = view.rank_readers()
        fleet.store.is_cut_off = ranking.readers.__contains__
        fleet.store.write(KEY, build_value(3))
        measure_lateness(fleet, 3)
        fleet.kill(ranking.readers)
        fleet.sync_membership()
        fleet.queue.run(fleet.queue.now + 0.5)
        fleet.store.silence_watches(fleet.queue)
        fleet.queue.run(fleet.queue.now + 4.0)
        fleet.store.write(KEY, build_value(4))
        assert measure_lateness(fleet, 4) < IN_FORCE_S


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
