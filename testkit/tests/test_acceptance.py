import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.document import Document, Service
from godwitpass.ids import Address, ChangeId, ServiceName, Version
from godwitpass.internal.acceptance.acceptor import (
    ACCEPTANCE_TIMEOUT_S,
    Acceptor,
    Conflict,
    Finished,
    NotAccepted,
    Outcome,
    OutcomeUnknown,
    Proposal,
    StoreRegressed,
)
from godwitpass.internal.acceptance.collector import SWEEP_PARTITIONS, ContentCollector
from godwitpass.internal.acceptance.record import (
    CONTENT_PREFIX,
    MAX_HISTORY_VERSIONS,
    ROOT_KEY,
    AcceptedVersion,
    RootRecord,
    decode_root,
)
from godwitpass.internal.codec import encode_canonical, hash_content
from godwitpass.internal.requests import Delete, EntriesRead, EntryRead, Put
from godwitpass.snapshot import Snapshot
from godwitpass_testkit.virtual import VirtualQueue
from godwitpass_testkit.virtual_store import VirtualStore


def build_document(variant: int) -> Document:
    return Document(1, (Service(ServiceName("maal"), slots=variant + 1),))


class AcceptanceHarness:
    """Proposes changes over a simulated store with injected faults, and records the outcomes.

    `root_writes` holds all writes of the root record.
    """

    def __init__(self, seed: int = 1) -> None:
        self.store = VirtualStore()
        self.queue = VirtualQueue(seed, perform=self._perform)
        self.outcomes: dict[str, Outcome] = {}
        self.root_writes: list[Put] = []

    def propose(
        self,
        change: str,
        variant: int = 1,
        if_version: int | None = None,
        held: Snapshot | None = None,
    ) -> Address:
        address = Address(f"{change}/{self.queue.random.random()}")
        precondition = None if if_version is None else Version(if_version)
        proposal = Proposal(
            build_document(variant), ChangeId(change), precondition, held, self.queue.now
        )
        self.queue.attach(address, Acceptor(proposal, random.Random(variant)))
        self.queue.post(address, proposal)
        return address

    def propose_and_wait(self, change: str, variant: int = 1, **options: Any) -> Outcome:
        self.propose(change, variant, **options)
        self.queue.run(self.queue.now + 2 * ACCEPTANCE_TIMEOUT_S)
        return self.outcomes[change]

    @property
    def root(self) -> RootRecord:
        return decode_root(self.store.memory.get(ROOT_KEY))

    def _perform(self, queue: VirtualQueue, address: Address, action: Any) -> None:
        if isinstance(action, Finished):
            self.outcomes[address.partition("/")[0]] = action.outcome
        else:
            if isinstance(action, Put) and action.key == ROOT_KEY:
                self.root_writes.append(action)
            self.store.perform(queue, address, action)


class TestAcceptance:
    def test_versions_are_consecutive_and_each_has_its_content(self) -> None:
        harness = AcceptanceHarness()
        for variant in range(3):
            harness.propose_and_wait(f"change-{variant}", variant)
        assert [record.version for record in harness.root.history] == [1, 2, 3]
        for record in harness.root.history:
            assert harness.store.memory.list(CONTENT_PREFIX + record.content_hash).entries

    def test_a_change_proposed_twice_creates_one_version(self) -> None:
        harness = AcceptanceHarness()
        assert harness.propose_and_wait("change", 1) == harness.propose_and_wait("change", 1)
        assert len(harness.root.history) == 1

    def test_of_two_concurrent_changes_the_refused_one_learns_which_was_accepted(self) -> None:
        harness = AcceptanceHarness()
        harness.propose("one", 1)
        harness.propose("two", 2)
        harness.queue.run(ACCEPTANCE_TIMEOUT_S)
        accepted = [
            name
            for name, outcome in harness.outcomes.items()
            if isinstance(outcome, AcceptedVersion)
        ]
        (refused,) = {"one", "two"} - set(accepted)
        assert harness.outcomes[refused] == Conflict(Version(1), ChangeId(accepted[0]))

    def test_a_change_based_on_an_old_version_is_refused(self) -> None:
        harness = AcceptanceHarness()
        harness.propose_and_wait("one", 1)
        assert harness.propose_and_wait("two", 2, if_version=0) == Conflict(
            Version(1), ChangeId("one")
        )

    def test_the_outcome_of_a_write_without_an_answer_is_found_by_the_change_id(self) -> None:
        harness = AcceptanceHarness()
        harness.store.lost_answers = 2
        assert isinstance(harness.propose_and_wait("change"), AcceptedVersion)
        assert len(harness.root.history) == 1

    def test_no_change_is_accepted_while_the_store_is_down(self) -> None:
        harness = AcceptanceHarness()
        harness.store.set_down(True)
        assert harness.propose_and_wait("change") == NotAccepted()

    def test_a_root_write_with_unknown_outcome_is_reported_as_unknown_and_can_be_proposed_again(
        self,
    ) -> None:
        harness = AcceptanceHarness()
        harness.propose("change")
        assert harness.queue.run_until(lambda: bool(harness.root_writes), ACCEPTANCE_TIMEOUT_S)
        harness.store.lost_answers = 1
        while not harness.root.version:
            harness.queue.run(harness.queue.now + 0.0005)
        harness.store.set_down(True)
        harness.queue.run(2 * ACCEPTANCE_TIMEOUT_S)
        assert harness.outcomes["change"] == OutcomeUnknown()
        harness.store.set_down(False)
        assert isinstance(harness.propose_and_wait("change"), AcceptedVersion)
        assert len(harness.root.history) == 1

    def test_a_root_write_unanswered_at_the_deadline_is_reported_as_unknown(self) -> None:
        harness = AcceptanceHarness()
        harness.propose("change")
        assert harness.queue.run_until(lambda: bool(harness.root_writes), ACCEPTANCE_TIMEOUT_S)
        harness.store.delay_s = 4 * ACCEPTANCE_TIMEOUT_S
        harness.queue.run(2 * ACCEPTANCE_TIMEOUT_S)
        assert harness.root.find_change(ChangeId("change")) is not None
        assert harness.outcomes["change"] == OutcomeUnknown()

    def test_a_proposer_resumed_after_a_pause_does_not_undo_a_later_change(self) -> None:
        harness = AcceptanceHarness()
        paused = harness.propose("paused", 1)
        assert harness.queue.run_until(lambda: harness.store.calls["Put"] > 0, ACCEPTANCE_TIMEOUT_S)
        harness.queue.pause(paused)
        harness.propose_and_wait("other", 2)
        harness.queue.resume(paused)
        harness.queue.run(harness.queue.now + ACCEPTANCE_TIMEOUT_S)
        assert not isinstance(harness.outcomes["paused"], AcceptedVersion)
        assert [record.change for record in harness.root.history] == ["other"]

    def test_a_restored_store_accepts_only_a_change_based_on_the_version_in_force(self) -> None:
        harness = AcceptanceHarness()
        for variant in range(2):
            harness.propose_and_wait(f"change-{variant}", variant)
        document = build_document(7)
        content_hash = hash_content(encode_canonical(document))
        held = Snapshot(Version(5), ChangeId("lost"), content_hash, document)
        assert harness.propose_and_wait("plain", 8, held=held) == StoreRegressed(
            Version(5), Version(2)
        )
        repaired = harness.propose_and_wait("mend", 8, held=held, if_version=5)
        assert isinstance(repaired, AcceptedVersion) and repaired.version == 6

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["propose", "down", "up", "lose", "slow", "fast"]),
                st.integers(0, 5),
                st.integers(1, 1500),
            ),
            max_size=25,
        )
    )
    def test_every_reported_outcome_is_true(self, steps: list[tuple[str, int, int]]) -> None:
        harness = AcceptanceHarness()
        for step, number, wait_ms in steps:
            if step == "propose":
                harness.propose(f"change-{number}", number)
            elif step in ("down", "up"):
                harness.store.set_down(step == "down")
            elif step == "lose":
                harness.store.lost_answers += 1
            else:
                harness.store.delay_s = 0.9 if step == "slow" else 0.003
            harness.queue.run(harness.queue.now + wait_ms / 1000)
        harness.queue.run(harness.queue.now + 3 * ACCEPTANCE_TIMEOUT_S)
        accepted_changes = [record.change for record in harness.root.history]
        assert len(accepted_changes) == len(set(accepted_changes))
        for change, outcome in harness.outcomes.items():
            if isinstance(outcome, AcceptedVersion):
                assert outcome in harness.root.history
            elif not isinstance(outcome, OutcomeUnknown) and _count_proposals(steps, change) == 1:
                assert change not in accepted_changes


def _count_proposals(steps: list[tuple[str, int, int]], change: str) -> int:
    return sum(step == "propose" and change == f"change-{number}" for step, number, _ in steps)


class TestContentCollection:
    def sweep(
        self, harness: AcceptanceHarness, version: int, before_root_read: Any = lambda: None
    ) -> None:
        """Delete the contents that the collector of `version` finds unreferenced."""
        collector = ContentCollector()
        memory = harness.store.memory
        for listing in collector.start(Version(version)):
            entries = memory.list(listing.prefix)
            for _ in collector.handle(EntriesRead(listing.tag, entries), 0.0):
                before_root_read()
                root = EntryRead(1, memory.get(ROOT_KEY))
                for action in collector.handle(root, 0.0):
                    if isinstance(action, Delete):
                        memory.put(action.key, None, action.expected)

    def test_contents_of_versions_outside_the_history_are_deleted(self) -> None:
        harness = AcceptanceHarness()
        for variant in range(MAX_HISTORY_VERSIONS + 30):
            harness.propose_and_wait(f"change-{variant}", variant)
        for version in range(SWEEP_PARTITIONS):
            self.sweep(harness, version)
        stored_keys = {entry.key for entry in harness.store.memory.list(CONTENT_PREFIX).entries}
        assert len(stored_keys) == MAX_HISTORY_VERSIONS
        assert all(
            CONTENT_PREFIX + record.content_hash + ".0" in stored_keys
            for record in harness.root.history
        )

    def test_a_content_written_before_its_root_record_is_kept(self) -> None:
        harness = AcceptanceHarness()
        harness.propose_and_wait("first", 1)
        harness.propose("second", 2)
        assert harness.queue.run_until(
            lambda: bool(harness.root_writes[1:]), harness.queue.now + ACCEPTANCE_TIMEOUT_S
        )
        for version in range(SWEEP_PARTITIONS):
            self.sweep(harness, version)
        harness.queue.run(harness.queue.now + ACCEPTANCE_TIMEOUT_S)
        accepted = harness.outcomes["second"]
        assert isinstance(accepted, AcceptedVersion)
        assert harness.store.memory.list(CONTENT_PREFIX + accepted.content_hash).entries
