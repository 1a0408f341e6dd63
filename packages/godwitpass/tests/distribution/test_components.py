"""Tests of the components of distribution, each without the others."""

import random

import msgspec
import pytest

from godwitpass.document import Document, Policy, Route, Service
from godwitpass.ids import (
    Address,
    ChangeId,
    ContentHash,
    InstanceId,
    PolicyName,
    RegionId,
    Revision,
    RouteName,
    ServiceName,
    Version,
    ZoneId,
)
from godwitpass.internal.acceptance.record import (
    ROOT_KEY,
    AcceptedVersion,
    RootRecord,
    append_version,
    encode_root,
)
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.internal.distribution.delta import (
    DocumentCodec,
    InvalidContent,
    decode_delta,
    decode_full,
    encode_delta,
    encode_full,
)
from godwitpass.internal.distribution.events import ROOT_WENT_BACK
from godwitpass.internal.distribution.fetcher import BOOTSTRAP_GRACE_S, FETCH_TIMEOUT_S, Fetcher
from godwitpass.internal.distribution.messages import Announce, Fetch, decode_message
from godwitpass.internal.distribution.rate_limiter import SnapshotRateLimiter
from godwitpass.internal.distribution.reader import ReaderAction, StoreReader
from godwitpass.internal.distribution.snapshot_cache import SnapshotCache, find_dangling_references
from godwitpass.internal.distribution.tuning import BOOTSTRAP_PEERS, SNAPSHOTS_BURST
from godwitpass.internal.distribution.view import (
    View,
    build_view,
    find_parent_position,
    list_child_positions,
)
from godwitpass.internal.invariants import ConfigurationInvariants, InvariantViolation
from godwitpass.internal.requests import EntriesRead, EntryRead, Get, Watch
from godwitpass.mesh import Member, MemberState, classify_link
from godwitpass.snapshot import Snapshot
from godwitpass.store import Entry, EntryList


def build_document(*services: str) -> Document:
    names = [ServiceName(service) for service in services]
    routes = tuple(Route(RouteName(name), f"/{name}", name) for name in names)
    return Document(1, tuple(Service(name) for name in names), routes)


def hash_document(document: Document) -> ContentHash:
    return hash_content(encode_canonical(document))


def build_snapshot(version: int, document: Document) -> Snapshot:
    change = ChangeId(f"change-{version}")
    return Snapshot(Version(version), change, hash_document(document), document)


def build_root_entry(version: int) -> Entry:
    root = RootRecord()
    for number in range(1, version + 1):
        content_hash = hash_document(build_document(f"service-{number}"))
        accepted = AcceptedVersion(Version(number), ChangeId(f"change-{number}"), content_hash)
        root = append_version(root, accepted, None)
    return Entry(ROOT_KEY, encode_root(root), Revision(version))


class TestDelta:
    def test_removals_and_additions_lead_to_the_same_content(self) -> None:
        old, new = build_document("maal", "stoffbok"), build_document("stoffbok", "tilskjaering")
        result = decode_delta(old, encode_delta(old, new), hash_document(new))
        assert hash_document(result) == hash_document(new)

    def test_a_delta_applied_to_another_base_is_refused(self) -> None:
        old, new = build_document("maal"), build_document("maal", "stoffbok")
        with pytest.raises(InvalidContent):
            decode_delta(build_document("other"), encode_delta(old, new), hash_document(new))

    @pytest.mark.parametrize("length", [0, 1, 7, 30])
    def test_truncated_bodies_are_refused(self, length: int) -> None:
        old, new = build_document("maal"), build_document("maal", "stoffbok")
        with pytest.raises(InvalidContent):
            decode_delta(old, encode_delta(old, new)[:length], hash_document(new))
        with pytest.raises(InvalidContent):
            decode_full(encode_full(new)[:length], hash_document(new))


class TestSnapshotCache:
    def test_a_lower_version_can_not_be_added(self) -> None:
        cache = SnapshotCache(DocumentCodec())
        cache.add(build_snapshot(2, build_document("maal")))
        with pytest.raises(AssertionError, match="lower"):
            cache.add(build_snapshot(1, build_document("stoffbok")))

    def test_references_to_missing_services_and_policies_are_found(self) -> None:
        route = Route(RouteName("r"), "/", ServiceName("gone"), policy=PolicyName("gone"))
        policy = Policy(PolicyName("p"), extends=PolicyName("gone"))
        document = Document(1, routes=(route,), policies=(policy,))
        pointers = [finding.pointer for finding in find_dangling_references(document)]
        assert pointers == ["/routes/0/service", "/routes/0/policy", "/policies/0/extends"]


class TestStoreReader:
    def answer_watch_with_outdated_version(self, stored: int) -> list[ReaderAction]:
        """Answer a watch with version 1 after peers sent version 2, then a read with `stored`."""
        cache = SnapshotCache(DocumentCodec())
        reader = StoreReader(cache, DocumentCodec(), random.Random(1))
        reader.start(0.0)
        absent = Entry(ROOT_KEY, None, Revision(0))
        (watch,) = reader.handle(EntryRead(1, absent), 0.0)
        assert isinstance(watch, Watch)
        for version in (1, 2):
            cache.add(build_snapshot(version, build_document(f"service-{version}")))
        outdated = EntryList(Revision(1), (build_root_entry(1),))
        (read,) = reader.handle(EntriesRead(watch.tag, outdated), 1.0)
        assert isinstance(read, Get)
        return reader.handle(EntryRead(read.tag, build_root_entry(stored)), 1.0)

    def test_a_watch_that_lags_behind_the_peers_reports_no_regression(self) -> None:
        assert [type(action) for action in self.answer_watch_with_outdated_version(2)] == [Watch]

    def test_a_read_that_returns_a_lower_version_reports_a_regression(self) -> None:
        report, watch = self.answer_watch_with_outdated_version(1)
        assert isinstance(report, RecordEvent) and report.kind == ROOT_WENT_BACK
        assert isinstance(watch, Watch)


class TestFetcher:
    def build_fetcher(self) -> tuple[Fetcher, View]:
        """Return a fetcher without a version, and its view."""
        members = [
            Member(
                InstanceId(f"instance-{index}"),
                ZoneId("bergen"),
                RegionId("vest"),
                Address(f"127.0.0.1:{index}"),
                1,
                1,
                MemberState.ALIVE,
            )
            for index in range(20)
        ]
        fetcher = Fetcher(members[0].address, SnapshotCache(DocumentCodec()), random.Random(1))
        return fetcher, build_view(members, ZoneId("bergen"))

    def build_bootstrapping_fetcher(self) -> tuple[Fetcher, list[Address]]:
        """Return a fetcher that has asked several peers at time 0, and those peers."""
        fetcher, view = self.build_fetcher()
        return fetcher, [send.to for send in fetcher.start_bootstrap(view, 0.0)]

    def test_peers_that_do_not_answer_delay_a_known_version_by_the_grace_time_only(self) -> None:
        fetcher, peers = self.build_bootstrapping_fetcher()
        assert len(peers) == BOOTSTRAP_PEERS
        assert fetcher.record_holder(Address("127.0.0.1:15"), Version(7), 0.05) == []
        assert fetcher.deadline == pytest.approx(0.05 + BOOTSTRAP_GRACE_S)
        (fetch,) = fetcher.run_due(None, 0.16)
        assert isinstance(fetch, Send) and isinstance(fetch.message, Fetch)
        assert fetch.to == Address("127.0.0.1:15")

    def test_the_highest_version_of_the_peers_that_answer_is_fetched(self) -> None:
        fetcher, peers = self.build_bootstrapping_fetcher()
        for peer, version in zip(peers[:2], (3, 9), strict=True):
            assert fetcher.record_holder(peer, Version(version), 0.02) == []
        (fetch,) = fetcher.record_holder(peers[2], Version(5), 0.04)
        assert fetch.to == peers[1]

    def test_other_daemons_are_asked_once_the_only_known_holder_has_not_answered(self) -> None:
        # Guards against waiting for the next periodic announcement.
        fetcher, view = self.build_fetcher()
        holder, other = Address("127.0.0.1:15"), Address("127.0.0.1:16")
        (fetch,) = fetcher.record_holder(holder, Version(7), 0.0)
        assert fetch.to == holder and isinstance(fetch.message, Fetch)
        searches = [
            action for action in fetcher.run_due(view, FETCH_TIMEOUT_S) if isinstance(action, Send)
        ]
        assert len(searches) == BOOTSTRAP_PEERS
        for search in searches:
            assert isinstance(search.message, Announce) and search.message.wants_reply
        assert fetcher.deadline > FETCH_TIMEOUT_S
        (fetch,) = fetcher.record_holder(other, Version(7), FETCH_TIMEOUT_S + 0.01)
        assert fetch.to == other and isinstance(fetch.message, Fetch)


class TestView:
    def test_all_daemons_agree_on_a_tree_that_reaches_each_of_them_once(self) -> None:
        members = [
            Member(
                InstanceId(f"instance-{index}"),
                ZoneId("bergen"),
                RegionId("vest"),
                Address(f"127.0.0.1:{index}"),
                1,
                1,
                MemberState.DEAD if index == 7 else MemberState.ALIVE,
            )
            for index in range(100)
        ]
        view = build_view(members, ZoneId("bergen"))
        assert view == build_view(reversed(members), ZoneId("bergen"))
        reached = [child for position in range(99) for child in list_child_positions(position, 99)]
        assert reached == list(range(1, 99))
        assert all(find_parent_position(child) is not None for child in reached)
        assert Address("127.0.0.1:7") not in view.ranked_members

    def test_the_daemons_with_the_fastest_links_read_the_store(self) -> None:
        rates = {f"instance-{index}": 2.5 for index in range(20)} | {"wide": 50.0, "wider": 1e3}
        members = [
            Member(
                InstanceId(name),
                ZoneId("bergen"),
                RegionId("vest"),
                Address(f"127.0.0.1:{index}"),
                1,
                1,
                MemberState.ALIVE,
                link_class=classify_link(rate),
            )
            for index, (name, rate) in enumerate(rates.items())
        ]
        view = build_view(members, ZoneId("bergen"))
        assert [view.instances[address] for address in view.ranked_members[:2]] == ["wider", "wide"]


class TestSnapshotRateLimiter:
    def test_full_versions_beyond_the_burst_are_delayed(self) -> None:
        rate_limiter = SnapshotRateLimiter()
        waits = [rate_limiter.try_acquire(100.0) for _ in range(int(SNAPSHOTS_BURST) + 1)]
        assert waits[:-1] == [0.0] * int(SNAPSHOTS_BURST)
        assert waits[-1] > 0
        assert rate_limiter.try_acquire(100.0 + waits[-1]) == 0


class TestMessages:
    @pytest.mark.parametrize(
        "payload", [b"", b"\xff" * 40, b"\x93\x02\x01", b"\x92\x63\x01", b"\x93\x01\xff\xc4\x00"]
    )
    def test_malformed_messages_are_refused(self, payload: bytes) -> None:
        with pytest.raises(msgspec.MsgspecError):
            decode_message(payload)


class TestInvariants:
    def test_each_violated_invariant_raises(self) -> None:
        document = build_document("maal")
        invariants = ConfigurationInvariants()
        invariants.check_activation("a", build_snapshot(5, document))
        with pytest.raises(InvariantViolation, match="moved"):
            invariants.check_activation("a", build_snapshot(4, document))
        with pytest.raises(InvariantViolation, match="two different contents"):
            invariants.check_activation("b", build_snapshot(5, build_document("other")))
        mismatched = Snapshot(Version(6), ChangeId("c"), hash_document(document), Document(1))
        with pytest.raises(InvariantViolation, match="does not match its content hash"):
            invariants.check_activation("a", mismatched)
        dangling = Document(1, routes=document.routes)
        with pytest.raises(InvariantViolation, match="unknown service"):
            invariants.check_activation("a", build_snapshot(7, dangling))
