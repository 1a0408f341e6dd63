"""Tests of reading documents that another system stores, and of announcing them."""

import random

import pytest

from godwitpass.document import Document, Route, Service
from godwitpass.errors import Finding, InvalidDocument
from godwitpass.ids import (
    Address,
    ChangeId,
    InstanceId,
    RegionId,
    Revision,
    RouteName,
    ServiceName,
    Version,
    ZoneId,
)
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, TimerFired
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.internal.distribution.delta import DocumentCodec
from godwitpass.internal.distribution.distributor import Distributor
from godwitpass.internal.distribution.events import (
    CHANGE_MISSED,
    DOCUMENT_REJECTED,
    STORE_REGAINED,
    SUBSTITUTION_STARTED,
)
from godwitpass.internal.distribution.interface import Action, ViewChanged
from godwitpass.internal.distribution.messages import Announce, Handover, Message
from godwitpass.internal.distribution.reader import (
    DocumentSource,
    ReadingFailed,
    StoredVersion,
    StoreReader,
    VersionFound,
)
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache
from godwitpass.internal.distribution.view import View
from godwitpass.internal.distribution.view import build_view as build_member_view
from godwitpass.internal.requests import EntriesRead, EntryRead, Get, RequestFailed, Watch
from godwitpass.mesh import Member, MemberState
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry, EntryList

KEY = "elsewhere/document"
STORE_CALL_TIMEOUT_S = 1.5
WATCH_ANSWER_TIMEOUT_S = 0.7
IN_TOUCH_S = 3.0
"""Time after the loss of its connections from which a daemon must apply versions in time again."""


def parse_entry(entry: Entry) -> Snapshot:
    assert entry.value is not None
    if entry.value.startswith(b"bad"):
        raise InvalidDocument([Finding("", "not a document", "")])
    version = Version(int(entry.value))
    service = Service(ServiceName(f"s{version}"))
    route = Route(RouteName("r"), "/", service.name)
    document = Document(1, (service,), (route,))
    content_hash = hash_content(encode_canonical(document))
    return Snapshot(version, ChangeId(str(version)), content_hash, document)


def parse_version(entry: Entry) -> Version | None:
    digits = (entry.value or b"").removeprefix(b"bad")
    return Version(int(digits)) if digits else None


def build_reader() -> tuple[StoreReader, SnapshotCache]:
    cache = SnapshotCache(DocumentCodec())
    source = DocumentSource(KEY, parse_entry, parse_version)
    return StoreReader(cache, DocumentCodec(), random.Random(1), source), cache


def build_entry(version: int | str, revision: int, store_revision: int = 0) -> Entry:
    return Entry(KEY, str(version).encode(), Revision(revision), Revision(store_revision))


def add_found_versions(actions: list[object], cache: SnapshotCache) -> None:
    for action in actions:
        if isinstance(action, VersionFound):
            cache.add(action.snapshot)


def build_view(*names: str) -> View:
    members = [
        Member(
            InstanceId(name),
            ZoneId("a"),
            RegionId("r"),
            Address(f"{name}:1"),
            1,
            1,
            MemberState.ALIVE,
        )
        for name in names
    ]
    return build_member_view(members, ZoneId("a"))


class TestJoiningMembers:
    def test_a_version_is_announced_to_a_member_that_joins_just_after_its_push(self) -> None:
        ranked_members = build_view("one", "two", "three").ranked_members
        root, child = ranked_members[0], ranked_members[1]
        names = [address.partition(":")[0] for address in ranked_members]
        source = DocumentSource(KEY, parse_entry)
        distributor = Distributor(root, random.Random(1), source=source)
        distributor.handle(ViewChanged(build_view(names[0])), 0.0)
        (get,) = [
            action for action in distributor.handle(TimerFired(), 2.0) if isinstance(action, Get)
        ]
        distributor.handle(EntryRead(get.tag, build_entry(7, 40, 900)), 2.1)
        actions = distributor.handle(ViewChanged(build_view(*names)), 2.2)
        announced_versions = {
            action.to: action.message.version
            for action in actions
            if isinstance(action, Send) and isinstance(action.message, Announce)
        }
        assert announced_versions[child] == 7


class TestExternalDocumentSource:
    def test_after_a_version_is_read_the_watch_starts_at_the_revision_of_the_store(self) -> None:
        reader, cache = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        assert get.key == KEY
        add_found_versions(
            list(reader.handle(EntryRead(get.tag, build_entry(7, 40, 900)), 0.1)), cache
        )
        assert cache.version == 7
        (watch,) = reader.run_due(reader.deadline)
        assert isinstance(watch, Watch) and watch.after == 900

    def test_a_document_that_can_not_be_parsed_changes_nothing(self) -> None:
        reader, cache = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        actions = reader.handle(EntryRead(get.tag, build_entry("bad", 40, 900)), 0.1)
        assert not any(isinstance(action, VersionFound) for action in actions)
        assert isinstance(actions[-1], Watch)
        assert cache.current is None

    def test_a_rejected_document_is_reported_once_until_a_valid_one_replaces_it(self) -> None:
        reader, _ = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        actions = reader.handle(EntryRead(get.tag, build_entry("bad", 40)), 0.1)
        assert [action.kind for action in actions if isinstance(action, RecordEvent)] == [
            DOCUMENT_REJECTED
        ]
        assert reader.rejected_document is not None
        assert reader.rejected_document.revision == 40
        assert "not a document" in reader.rejected_document.reason
        watch = actions[-1]
        assert isinstance(watch, Watch)
        listed = EntriesRead(watch.tag, EntryList(Revision(40), (build_entry("bad", 40),)))
        actions = reader.handle(listed, 0.2)
        assert not any(isinstance(action, RecordEvent) for action in actions)
        watch = actions[-1]
        assert isinstance(watch, Watch)
        listed = EntriesRead(watch.tag, EntryList(Revision(50), (build_entry(3, 50),)))
        reader.handle(listed, 0.3)
        assert reader.rejected_document is None

    def test_the_stored_version_is_known_also_if_the_newest_document_is_unusable(self) -> None:
        """A proof for too low a version would keep withdrawn keys valid."""
        reader, _ = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        *_, watch = reader.handle(EntryRead(get.tag, build_entry(7, 40)), 0.1)
        assert reader.stored_version == StoredVersion(Revision(40), Version(7))
        (watch,) = reader.run_due(reader.deadline)
        assert isinstance(watch, Watch)
        listed = EntriesRead(watch.tag, EntryList(Revision(50), (build_entry("bad9", 50),)))
        reader.handle(listed, 1.0)
        assert reader.stored_version == StoredVersion(Revision(50), Version(8))
        (get,) = reader.read_now(1.1)
        assert isinstance(get, Get)
        reader.handle(EntryRead(get.tag, build_entry("bad", 60)), 1.2)
        assert reader.stored_version is None
        reader.stop()
        assert reader.read_now(1.3) == []

    def test_a_reader_that_falls_behind_reads_the_newest_until_nothing_is_newer(self) -> None:
        reader, cache = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        add_found_versions(
            list(reader.handle(EntryRead(get.tag, build_entry(1, 10, 10)), 0.1)), cache
        )
        (watch,) = reader.run_due(reader.deadline)
        assert isinstance(watch, Watch)
        entries = tuple(build_entry(version, version * 10) for version in (2, 3, 4))
        listed = EntriesRead(watch.tag, EntryList(Revision(40), entries))
        add_found_versions(list(reader.handle(listed, 1.0)), cache)
        assert cache.version == 4
        (second_read,) = reader.run_due(reader.deadline)
        assert isinstance(second_read, Get)
        add_found_versions(
            list(reader.handle(EntryRead(second_read.tag, build_entry(9, 90, 95)), 2.0)), cache
        )
        (third_read,) = reader.run_due(reader.deadline)
        assert isinstance(third_read, Get)
        (watch_after,) = reader.handle(EntryRead(third_read.tag, build_entry(9, 90, 99)), 3.0)
        assert isinstance(watch_after, Watch) and watch_after.after == 90


def answer_as_a_healthy_store(reader: StoreReader, get: Get, revision: int, now: float) -> Watch:
    actions = reader.handle(EntryRead(get.tag, build_entry(0, revision, revision)), now)
    assert isinstance(actions[-1], Watch)
    return actions[-1]


class TestLostConnections:
    def test_a_watch_on_a_silent_connection_is_given_up_while_a_version_is_still_in_time(
        self,
    ) -> None:
        for seed in range(200):
            reader = StoreReader(
                SnapshotCache(DocumentCodec()),
                DocumentCodec(),
                random.Random(seed),
                DocumentSource(KEY, parse_entry),
            )
            (get,) = reader.start(0.0)
            assert isinstance(get, Get)
            watch = answer_as_a_healthy_store(reader, get, 40, 0.0)
            # The connection goes silent at 0.0, so that only the client's timeout ends the watch.
            now = watch.timeout_s + WATCH_ANSWER_TIMEOUT_S
            actions = list(reader.handle(RequestFailed(watch.tag), now))
            while not any(isinstance(action, Get) for action in actions):
                now = reader.deadline
                actions = list(reader.run_due(now))
            assert now < IN_TOUCH_S, f"seed {seed}: the store is read again after {now:.1f} s"

    def test_a_store_that_returns_is_read_while_a_version_is_still_in_time(self) -> None:
        for seed in range(200):
            reader, _ = build_reader()
            reader._random.seed(seed)
            (get,) = reader.start(0.0)
            assert isinstance(get, Get)
            watch = answer_as_a_healthy_store(reader, get, 40, 0.0)
            actions = list(reader.handle(RequestFailed(watch.tag), 0.1))
            now, longest_s = 0.1, 0.0
            while now < 60.0:
                longest_s = max(longest_s, reader.deadline - now)
                now = reader.deadline
                actions = list(reader.run_due(now))
                (read,) = [action for action in actions if isinstance(action, Get)]
                # A read that was sent just before the store returned is not answered.
                now += STORE_CALL_TIMEOUT_S
                reader.handle(RequestFailed(read.tag), now)
            assert longest_s + STORE_CALL_TIMEOUT_S < IN_TOUCH_S, f"seed {seed}: {longest_s:.1f} s"

    def test_a_store_that_fails_each_watch_at_once_is_not_called_without_a_pause(self) -> None:
        reader, _ = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        now, calls = 0.0, 1
        watch = answer_as_a_healthy_store(reader, get, 40, now)
        while now < 10.0:
            reader.handle(RequestFailed(watch.tag), now)
            now = reader.deadline
            (get,) = [action for action in reader.run_due(now) if isinstance(action, Get)]
            calls += 2
            watch = answer_as_a_healthy_store(reader, get, 40, now)
        assert calls <= 2 * 10.0 / 0.25 + 1


class TestMissedChanges:
    def test_a_change_that_an_empty_answer_covered_is_reported_when_it_arrives(self) -> None:
        reader, _ = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        watch = answer_as_a_healthy_store(reader, get, 40, 0.0)
        empty = EntriesRead(watch.tag, EntryList(Revision(50), ()))
        reader.handle(empty, 2.0)
        assert reader.describe(3.0)["empty_polls"] == 1
        assert reader.describe(3.0)["heard_ms"] == 1000
        (get,) = reader.read_now(3.5)
        assert isinstance(get, Get)
        actions = reader.handle(EntryRead(get.tag, build_entry(7, 45, 60)), 3.5)
        (event,) = [action for action in actions if isinstance(action, RecordEvent)]
        assert event.kind == CHANGE_MISSED
        assert (event.fields["named"], event.fields["late_ms"]) == (50, 1500)
        assert event.fields["heard_ms"] == 1500


class TestStoreAge:
    def test_a_daemon_that_reads_nothing_knows_from_peers_when_the_store_last_answered(
        self,
    ) -> None:
        distributor = Distributor(Address("one:1"), random.Random(1))
        announce = Announce(Version(0), b"", store_age_ms=500)
        distributor.handle(MessageReceived(Address("two:1"), announce), 10.0)
        assert distributor.compute_store_age(10.5) == 1.0


class TestShortHistory:
    @pytest.mark.parametrize("history_s", [0.5, 1.5, 2.5, 3.5])
    def test_polls_do_not_fail_again_and_again_if_the_store_keeps_less_history_than_the_overlap(
        self, history_s: float
    ) -> None:
        reader, _ = build_reader()
        now, ended = 0.0, 0
        (get,) = reader.start(now)
        assert isinstance(get, Get)
        watch = answer_as_a_healthy_store(reader, get, 1000, now)
        while now < 60.0:
            # The store writes 1000 revisions a second and drops those older than `history_s`.
            if watch.after < 1000 + (now - history_s) * 1000:
                ended += 1
                (get,) = reader.handle(
                    RequestFailed(watch.tag, reason="history", is_history_ended=True), now
                )
                assert isinstance(get, Get)
                assert reader.is_store_reachable
                read = EntryRead(get.tag, build_entry(0, 1000, int(1000 + now * 1000)))
                answered = reader.handle(read, now)
            else:
                now += watch.timeout_s
                empty = EntriesRead(watch.tag, EntryList(Revision(int(1000 + now * 1000)), ()))
                answered = reader.handle(empty, now)
            assert isinstance(answered[-1], Watch)
            watch = answered[-1]
        assert ended <= 1

    def test_a_store_whose_history_ends_after_each_read_is_asked_with_a_back_off(self) -> None:
        reader, _ = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        watch = answer_as_a_healthy_store(reader, get, 1000, 0.0)
        (get,) = reader.handle(RequestFailed(watch.tag, is_history_ended=True), 1.0)
        assert isinstance(get, Get)
        read = EntryRead(get.tag, build_entry(0, 1000, 2000))
        *_, last = reader.handle(read, 1.0)
        assert isinstance(last, Watch)
        actions = reader.handle(RequestFailed(last.tag, is_history_ended=True), 1.0)
        assert any(isinstance(action, ReadingFailed) for action in actions)
        assert reader.deadline > 1.0


def build_substitute() -> tuple[Distributor, MessageReceived[Message]]:
    view = build_view("one", "two", "three", "four")
    source = DocumentSource(KEY, parse_entry)
    distributor = Distributor(view.ranked_members[2], random.Random(1), source=source)
    distributor.handle(ViewChanged(view), 0.0)
    return distributor, MessageReceived(view.ranked_members[0], Handover())


def find_get(actions: list[Action]) -> Get:
    (get,) = [action for action in actions if isinstance(action, Get)]
    return get


class TestSubstitutes:
    def test_a_substitute_that_failed_before_records_its_next_start_once(self) -> None:
        distributor, handover = build_substitute()
        get = find_get(distributor.handle(handover, 10.0))
        distributor.handle(RequestFailed(get.tag, reason="503"), 10.1)
        actions = distributor.handle(handover, 3610.0)
        read = EntryRead(find_get(actions).tag, build_entry(7, 40, 900))
        actions += distributor.handle(read, 3610.1)
        recorded = [action for action in actions if isinstance(action, RecordEvent)]
        kinds = [action.kind for action in recorded]
        assert kinds.count(SUBSTITUTION_STARTED) == 1
        (regained,) = [action for action in recorded if action.kind is STORE_REGAINED]
        assert regained.fields["lost_ms"] == 99

    def test_a_substitute_that_fails_stops_at_once(self) -> None:
        distributor, handover = build_substitute()
        get = find_get(distributor.handle(handover, 10.0))
        distributor.handle(RequestFailed(get.tag, reason="503"), 10.1)
        actions = distributor.handle(TimerFired(), 18.0)
        assert not any(isinstance(action, Get) for action in actions)
        find_get(distributor.handle(handover, 19.0))

    def test_a_reader_tells_another_substitute_at_each_attempt(self) -> None:
        ranking = build_view("one", "two", "three", "four", "five", "six").rank_readers()
        told = [
            {ranking.choose_substitute(reader, attempt) for attempt in range(8)}
            for reader in ranking.readers
        ]
        assert told == [set(ranking.substitutes)] * len(ranking.readers)


class TestForgottenRevisions:
    def test_a_watch_after_a_failure_starts_at_what_was_read_after_it(self) -> None:
        reader, _ = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        watch = answer_as_a_healthy_store(reader, get, 1000, 0.0)
        reader.handle(RequestFailed(watch.tag, reason="503"), 0.1)
        (get,) = reader.run_due(reader.deadline)
        assert isinstance(get, Get)
        now = 2.0
        *_, watch_after = reader.handle(EntryRead(get.tag, build_entry(0, 900, 2000)), now)
        assert isinstance(watch_after, Watch) and watch_after.after == 2000

    def test_a_store_that_went_back_is_not_reported_for_a_missed_change(self) -> None:
        reader, _ = build_reader()
        (get,) = reader.start(0.0)
        assert isinstance(get, Get)
        *_, watch = reader.handle(EntryRead(get.tag, build_entry(0, 40, 900)), 0.0)
        assert isinstance(watch, Watch)
        actions = reader.handle(EntriesRead(watch.tag, EntryList(Revision(500), ())), 1.0)
        (get,) = [action for action in actions if isinstance(action, Get)]
        actions = reader.handle(EntryRead(get.tag, build_entry(0, 450, 500)), 1.1)
        kinds = [action.kind for action in actions if isinstance(action, RecordEvent)]
        assert CHANGE_MISSED not in kinds
