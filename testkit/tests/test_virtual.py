from typing import Any

from godwitpass.ids import NO_REVISION, Address
from godwitpass.internal.actions import MessageReceived, Send, TimerFired
from godwitpass.internal.requests import EntriesRead, EntryRead, Get, Put, RequestFailed, Watch
from godwitpass_testkit.virtual import DEFAULT_LINK, Link, VirtualQueue
from godwitpass_testkit.virtual_store import VirtualStore

A, B = Address("127.0.0.1:1"), Address("127.0.0.1:2")


class Recorder:
    def __init__(self) -> None:
        self.seen: list[Any] = []
        self.todo: list[Any] = []

    def handle(self, event: Any, now: float) -> list[Any]:
        self.seen.append(event)
        todo, self.todo = self.todo, []
        return todo


def build(
    link: Link = DEFAULT_LINK, store: VirtualStore | None = None
) -> tuple[VirtualQueue, Any, Any]:
    queue = VirtualQueue(1, link, (store or VirtualStore()).perform)
    first, second = Recorder(), Recorder()
    queue.attach(A, first)
    queue.attach(B, second)
    return queue, first, second


class TestVirtualQueue:
    def test_messages_overtake_one_another_and_arrive_twice(self) -> None:
        queue, first, second = build(Link(0.0, 1.0, duplication=1.0))
        first.todo = [Send(B, number) for number in range(20)]
        queue.post(A, TimerFired())
        queue.run(2.0)
        numbers = [event.message for event in second.seen]
        assert sorted(numbers) == sorted([*range(20), *range(20)])
        assert numbers != sorted(numbers)

    def test_a_paused_node_gets_its_events_late_and_a_dead_one_never(self) -> None:
        queue, first, second = build()
        queue.pause(B)
        first.todo = [Send(B, "hello")]
        queue.post(A, TimerFired())
        queue.run(1.0)
        assert second.seen == []
        queue.resume(B)
        assert second.seen == [MessageReceived(A, "hello")]
        first.todo = [Send(B, "again")]
        queue.post(A, TimerFired())
        queue.detach(B)
        queue.run(2.0)
        assert len(second.seen) == 1


class TestVirtualStore:
    def test_a_write_whose_answer_is_lost_took_effect(self) -> None:
        store = VirtualStore()
        store.lost_answers = 1
        queue, first, _ = build(store=store)
        first.todo = [Watch(1, "key", NO_REVISION, 10.0), Put(2, "key", b"value", NO_REVISION)]
        queue.post(A, TimerFired())
        queue.run(1.0)
        watched, failed = sorted(first.seen[1:], key=lambda event: int(event.tag))
        assert failed == RequestFailed(2, is_outcome_unknown=True)
        assert isinstance(watched, EntriesRead) and watched.result.entries[0].value == b"value"

    def test_an_outage_ends_waiting_watches_and_refuses_reads(self) -> None:
        store = VirtualStore()
        queue, first, _ = build(store=store)
        first.todo = [Watch(1, "key", NO_REVISION, 10.0)]
        queue.post(A, TimerFired())
        queue.run(1.0)
        store.set_down(True)
        first.todo = [Get(2, "key")]
        queue.run(2.0)
        assert first.seen[1:] == [RequestFailed(1), RequestFailed(2)]
        store.set_down(False)
        first.todo = [Get(3, "key")]
        queue.post(A, TimerFired())
        queue.run(3.0)
        assert isinstance(first.seen[-1], EntryRead)
