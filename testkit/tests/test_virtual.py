from typing import Any

from godwitpass.ids import NO_REVISION, Address
from godwitpass.internal.actions import MessageReceived, Send, TimerFired
from godwitpass.internal.requests import EntriesRead, EntryRead, Get, Put, RequestFailed, Watch
from godwitpass_testkit.virtual import DEFAULT_LINK, Link, VirtualQueue
from godwitpass_testkit.virtual_store import VirtualStore

FIRST_ADDRESS, SECOND_ADDRESS = Address("127.0.0.1:1"), Address("127.0.0.1:2")


class RecordingNode:
    """Records its events; returns `next_actions` for the next one."""

    def __init__(self) -> None:
        self.received: list[Any] = []
        self.next_actions: list[Any] = []

    def handle(self, event: Any, now: float) -> list[Any]:
        self.received.append(event)
        actions, self.next_actions = self.next_actions, []
        return actions


def build_queue(
    link: Link = DEFAULT_LINK, store: VirtualStore | None = None
) -> tuple[VirtualQueue, Any, Any]:
    queue = VirtualQueue(1, link, (store or VirtualStore()).perform)
    first_node, second_node = RecordingNode(), RecordingNode()
    queue.attach(FIRST_ADDRESS, first_node)
    queue.attach(SECOND_ADDRESS, second_node)
    return queue, first_node, second_node


class TestVirtualQueue:
    def test_messages_arrive_out_of_order_and_twice(self) -> None:
        queue, first_node, second_node = build_queue(Link(0.0, 1.0, duplication=1.0))
        first_node.next_actions = [Send(SECOND_ADDRESS, number) for number in range(20)]
        queue.post(FIRST_ADDRESS, TimerFired())
        queue.run(2.0)
        numbers = [event.message for event in second_node.received]
        assert sorted(numbers) == sorted([*range(20), *range(20)])
        assert numbers != sorted(numbers)

    def test_a_paused_node_gets_its_events_after_resume_and_a_detached_one_never(self) -> None:
        queue, first_node, second_node = build_queue()
        queue.pause(SECOND_ADDRESS)
        first_node.next_actions = [Send(SECOND_ADDRESS, "hello")]
        queue.post(FIRST_ADDRESS, TimerFired())
        queue.run(1.0)
        assert second_node.received == []
        queue.resume(SECOND_ADDRESS)
        assert second_node.received == [MessageReceived(FIRST_ADDRESS, "hello")]
        first_node.next_actions = [Send(SECOND_ADDRESS, "again")]
        queue.post(FIRST_ADDRESS, TimerFired())
        queue.detach(SECOND_ADDRESS)
        queue.run(2.0)
        assert len(second_node.received) == 1


class TestVirtualStore:
    def test_a_write_takes_effect_although_its_answer_is_lost(self) -> None:
        store = VirtualStore()
        store.lost_answers = 1
        queue, first_node, _ = build_queue(store=store)
        first_node.next_actions = [
            Watch(1, "key", NO_REVISION, 10.0),
            Put(2, "key", b"value", NO_REVISION),
        ]
        queue.post(FIRST_ADDRESS, TimerFired())
        queue.run(1.0)
        watch_answer, put_answer = sorted(first_node.received[1:], key=lambda event: int(event.tag))
        assert put_answer == RequestFailed(2, is_outcome_unknown=True)
        assert (
            isinstance(watch_answer, EntriesRead)
            and watch_answer.result.entries[0].value == b"value"
        )

    def test_an_outage_fails_waiting_watches_and_reads(self) -> None:
        store = VirtualStore()
        queue, first_node, _ = build_queue(store=store)
        first_node.next_actions = [Watch(1, "key", NO_REVISION, 10.0)]
        queue.post(FIRST_ADDRESS, TimerFired())
        queue.run(1.0)
        store.set_down(True)
        first_node.next_actions = [Get(2, "key")]
        queue.run(2.0)
        assert first_node.received[1:] == [RequestFailed(1), RequestFailed(2)]
        store.set_down(False)
        first_node.next_actions = [Get(3, "key")]
        queue.post(FIRST_ADDRESS, TimerFired())
        queue.run(3.0)
        assert isinstance(first_node.received[-1], EntryRead)
