import random
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitpass.document import Document, Service
from godwitpass.ids import Address, ChangeId, ServiceName, Version
from godwitpass.internal.acceptance.acceptor import (
    DEADLINE_S,
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


def build_document(mark: int) -> Document:
    return Document(1, (Service(ServiceName("maal"), slots=mark + 1),))


class Desk:
    """Proposes changes over a store that fails on demand, and keeps the outcomes."""

    def __init__(self, seed: int = 1) -> None:
        self.store = VirtualStore()
        self.queue = VirtualQueue(seed, perform=self._perform)
        self.outcomes: dict[str, Outcome] = {}
        self.swaps: list[Put] = []

    def propose(
        self,
        change: str,
        mark: int = 1,
        if_version: int | None = None,
        held: Snapshot | None = None,
    ) -> Address:
        address = Address(f"{change}/{self.queue.random.random()}")
        wanted = None if if_version is None else Version(if_version)
        proposal = Proposal(build_document(mark), ChangeId(change), wanted, held, self.queue.now)
        self.queue.attach(address, Acceptor(proposal, random.Random(mark)))
        self.queue.post(address, proposal)
        return address

    def settle(self, change: str, mark: int = 1, **given: Any) -> Outcome:
        self.propose(change, mark, **given)
        self.queue.run(self.queue.now + 2 * DEADLINE_S)
        return self.outcomes[change]

    @property
    def root(self) -> RootRecord:
        return decode_root(self.store.memory.get(ROOT_KEY))

    def _perform(self, queue: VirtualQueue, address: Address, action: Any) -> None:
        if isinstance(action, Finished):
            self.outcomes[address.partition("/")[0]] = action.outcome
        else:
            if isinstance(action, Put) and action.key == ROOT_KEY:
                self.swaps.append(action)
            self.store.perform(queue, address, action)


class TestAcceptance:
    def test_versions_follow_one_another_and_each_has_its_content(self) -> None:
        desk = Desk()
        for mark in range(3):
            desk.settle(f"change-{mark}", mark)
        assert [record.version for record in desk.root.history] == [1, 2, 3]
        for record in desk.root.history:
            assert desk.store.memory.list(CONTENT_PREFIX + record.content_hash).entries

    def test_the_same_change_sent_again_makes_no_second_version(self) -> None:
        desk = Desk()
        assert desk.settle("change", 1) == desk.settle("change", 1)
        assert len(desk.root.history) == 1

    def test_the_loser_of_a_race_learns_who_won(self) -> None:
        desk = Desk()
        desk.propose("one", 1)
        desk.propose("two", 2)
        desk.queue.run(DEADLINE_S)
        accepted = [name for name, got in desk.outcomes.items() if isinstance(got, AcceptedVersion)]
        (loser,) = {"one", "two"} - set(accepted)
        assert desk.outcomes[loser] == Conflict(Version(1), ChangeId(accepted[0]))

    def test_a_change_built_on_an_old_version_is_refused(self) -> None:
        desk = Desk()
        desk.settle("one", 1)
        assert desk.settle("two", 2, if_version=0) == Conflict(Version(1), ChangeId("one"))

    def test_a_lost_answer_is_settled_by_the_change_id(self) -> None:
        desk = Desk()
        desk.store.lost_answers = 2
        assert isinstance(desk.settle("change"), AcceptedVersion)
        assert len(desk.root.history) == 1

    def test_without_the_store_nothing_is_accepted(self) -> None:
        desk = Desk()
        desk.store.set_down(True)
        assert desk.settle("change") == NotAccepted()

    def test_an_unsettled_swap_is_called_unknown_and_settles_later(self) -> None:
        desk = Desk()
        desk.propose("change")
        assert desk.queue.run_until(lambda: bool(desk.swaps), DEADLINE_S)
        desk.store.lost_answers = 1
        while not desk.root.version:
            desk.queue.run(desk.queue.now + 0.0005)
        desk.store.set_down(True)
        desk.queue.run(2 * DEADLINE_S)
        assert desk.outcomes["change"] == OutcomeUnknown()
        desk.store.set_down(False)
        assert isinstance(desk.settle("change"), AcceptedVersion)
        assert len(desk.root.history) == 1

    def test_a_swap_still_unanswered_at_the_deadline_is_called_unknown(self) -> None:
        desk = Desk()
        desk.propose("change")
        assert desk.queue.run_until(lambda: bool(desk.swaps), DEADLINE_S)
        desk.store.delay_s = 4 * DEADLINE_S
        desk.queue.run(2 * DEADLINE_S)
        assert desk.root.find_change(ChangeId("change")) is not None
        assert desk.outcomes["change"] == OutcomeUnknown()

    def test_a_proposer_that_was_paused_can_not_undo_what_happened_meanwhile(self) -> None:
        desk = Desk()
        paused = desk.propose("paused", 1)
        assert desk.queue.run_until(lambda: desk.store.calls["Put"] > 0, DEADLINE_S)
        desk.queue.pause(paused)
        desk.settle("other", 2)
        desk.queue.resume(paused)
        desk.queue.run(desk.queue.now + DEADLINE_S)
        assert not isinstance(desk.outcomes["paused"], AcceptedVersion)
        assert [record.change for record in desk.root.history] == ["other"]

    def test_a_restored_store_accepts_only_a_change_built_on_the_version_in_force(self) -> None:
        desk = Desk()
        for mark in range(2):
            desk.settle(f"change-{mark}", mark)
        document = build_document(7)
        digest = hash_content(encode_canonical(document))
        held = Snapshot(Version(5), ChangeId("lost"), digest, document)
        assert desk.settle("plain", 8, held=held) == StoreRegressed(Version(5), Version(2))
        mended = desk.settle("mend", 8, held=held, if_version=5)
        assert isinstance(mended, AcceptedVersion) and mended.version == 6

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
    def test_no_outcome_is_ever_false(self, steps: list[tuple[str, int, int]]) -> None:
        desk = Desk()
        for step, number, wait_ms in steps:
            if step == "propose":
                desk.propose(f"change-{number}", number)
            elif step in ("down", "up"):
                desk.store.set_down(step == "down")
            elif step == "lose":
                desk.store.lost_answers += 1
            else:
                desk.store.delay_s = 0.9 if step == "slow" else 0.003
            desk.queue.run(desk.queue.now + wait_ms / 1000)
        desk.queue.run(desk.queue.now + 3 * DEADLINE_S)
        made = [record.change for record in desk.root.history]
        assert len(made) == len(set(made))
        for change, outcome in desk.outcomes.items():
            if isinstance(outcome, AcceptedVersion):
                assert outcome in desk.root.history
            elif not isinstance(outcome, OutcomeUnknown) and _proposals(steps, change) == 1:
                assert change not in made


def _proposals(steps: list[tuple[str, int, int]], change: str) -> int:
    return sum(step == "propose" and change == f"change-{number}" for step, number, _ in steps)


class TestCollection:
    def sweep(self, desk: Desk, version: int, before_root: Any = lambda: None) -> None:
        collector = ContentCollector()
        memory = desk.store.memory
        for listing in collector.start(Version(version)):
            found = memory.list(listing.prefix)
            for _ in collector.handle(EntriesRead(listing.tag, found), 0.0):
                before_root()
                root = EntryRead(1, memory.get(ROOT_KEY))
                for action in collector.handle(root, 0.0):
                    if isinstance(action, Delete):
                        memory.put(action.key, None, action.expected)

    def test_contents_beyond_the_history_are_bounded(self) -> None:
        desk = Desk()
        for mark in range(MAX_HISTORY_VERSIONS + 30):
            desk.settle(f"change-{mark}", mark)
        for version in range(SWEEP_PARTITIONS):
            self.sweep(desk, version)
        kept = {entry.key for entry in desk.store.memory.list(CONTENT_PREFIX).entries}
        assert len(kept) == MAX_HISTORY_VERSIONS
        assert all(CONTENT_PREFIX + item.content_hash + ".0" in kept for item in desk.root.history)

    def test_a_content_written_for_a_swap_to_come_is_kept(self) -> None:
        desk = Desk()
        desk.settle("first", 1)
        desk.propose("second", 2)
        assert desk.queue.run_until(lambda: bool(desk.swaps[1:]), desk.queue.now + DEADLINE_S)
        for version in range(SWEEP_PARTITIONS):
            self.sweep(desk, version)
        desk.queue.run(desk.queue.now + DEADLINE_S)
        accepted = desk.outcomes["second"]
        assert isinstance(accepted, AcceptedVersion)
        assert desk.store.memory.list(CONTENT_PREFIX + accepted.content_hash).entries
