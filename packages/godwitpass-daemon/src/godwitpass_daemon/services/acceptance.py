"""Accepts documents from operators; performs the I/O for `internal.acceptance.acceptor`."""

import random
import time
from collections.abc import Callable, Sequence
from typing import assert_never

import anyio
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from godwitpass.document import Document
from godwitpass.errors import (
    AcceptanceUnknown,
    StoreUnavailable,
    StoreWentBack,
    VersionConflict,
)
from godwitpass.ids import ChangeId, Version
from godwitpass.internal.acceptance.acceptor import (
    Acceptor,
    Action,
    Conflict,
    Finished,
    NotAccepted,
    Outcome,
    OutcomeUnknown,
    Proposal,
    StoreRegressed,
)
from godwitpass.internal.acceptance.collector import ContentCollector
from godwitpass.internal.acceptance.record import (
    ROOT_KEY,
    AcceptedVersion,
    build_content_key,
    decode_part,
    decode_root,
)
from godwitpass.internal.actions import RecordEvent, SetTimer, TimerFired
from godwitpass.internal.distribution.delta import decode_full
from godwitpass.internal.requests import Answer, Delete, Get, List, Put
from godwitpass.snapshot import Snapshot
from godwitpass.store import Store
from godwitpass_daemon.eventlog.service import EventLog
from godwitpass_daemon.services.store_requests import perform_request

TIMER_SLACK_S = 0.001
"""Added to each timer: timers may fire slightly early, and an acceptor ignores those."""

EVENT_BUFFER_SIZE = 16

EventStream = MemoryObjectSendStream[Answer | TimerFired]


class AcceptanceService:
    """Accepts documents as new versions, and reads accepted versions from the store.

    `get_held_snapshot` returns the active version of this daemon.
    """

    def __init__(
        self, store: Store, events: EventLog, get_held_snapshot: Callable[[], Snapshot | None]
    ) -> None:
        self._store = store
        self._events = events
        self._get_held_snapshot = get_held_snapshot
        self._random = random.Random()
        self._tasks: TaskGroup | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Allow the deletion of unused content in the background."""
        self._tasks = tasks

    async def stop(self) -> None:
        """Start no further deletions."""
        self._tasks = None

    async def accept(
        self, document: Document, change: ChangeId, if_version: Version | None
    ) -> AcceptedVersion:
        """Accept `document` as the next version.

        Raises `VersionConflict` if another change was accepted first, `StoreUnavailable` if
        nothing was accepted, and `AcceptanceUnknown` if the outcome is unknown. The same `change`
        may be submitted again at any time.
        """
        proposal = Proposal(document, change, if_version, self._get_held_snapshot(), time.time())
        outcome = await self._run_acceptor(Acceptor(proposal, self._random), proposal)
        match outcome:
            case AcceptedVersion():
                if self._tasks is not None:
                    self._tasks.start_soon(self._delete_unused_content, outcome.version)
                return outcome
            case Conflict():
                raise VersionConflict(outcome.current, outcome.winner)
            case StoreRegressed():
                raise StoreWentBack(outcome.held_version, outcome.stored_version)
            case NotAccepted():
                raise StoreUnavailable(
                    "the change was not accepted: the store did not respond in time"
                )
            case OutcomeUnknown():
                raise AcceptanceUnknown(change)
        assert_never(outcome)

    async def list_versions(self) -> Sequence[AcceptedVersion]:
        """Return the latest accepted versions, oldest first."""
        return decode_root(await self._store.get(ROOT_KEY)).history

    async def load_document(self, version: Version) -> Document | None:
        """Return the document of `version`, or None if the store no longer has it."""
        record = decode_root(await self._store.get(ROOT_KEY)).find_version(version)
        if record is None:
            return None
        body = bytearray()
        part_index, part_count = 0, 1
        while part_index < part_count:
            entry = await self._store.get(build_content_key(record.content_hash, part_index))
            if entry.value is None:
                return None
            part = decode_part(entry.value)
            body += part.body
            part_index, part_count = part_index + 1, part.count
        return decode_full(bytes(body), record.content_hash)

    async def _run_acceptor(self, acceptor: Acceptor, proposal: Proposal) -> Outcome:
        sender, receiver = anyio.create_memory_object_stream[Answer | TimerFired](EVENT_BUFFER_SIZE)
        with sender, receiver:
            async with anyio.create_task_group() as tasks:
                actions = acceptor.handle(proposal, anyio.current_time())
                while True:
                    outcome = self._perform_actions(actions, tasks, sender)
                    if outcome is not None:
                        tasks.cancel_scope.cancel()
                        return outcome
                    event = await receiver.receive()
                    actions = acceptor.handle(event, anyio.current_time())
        raise AssertionError("an acceptor always finishes with an outcome")

    def _perform_actions(
        self, actions: Sequence[Action], tasks: TaskGroup, events: EventStream
    ) -> Outcome | None:
        for action in actions:
            match action:
                case Finished():
                    return action.outcome
                case RecordEvent():
                    self._events.emit(action.kind, **action.fields)
                case SetTimer():
                    tasks.start_soon(_fire_timer_at, action.at, events)
                case _:
                    tasks.start_soon(self._perform_request, action, events)
        return None

    async def _perform_request(self, action: Get | Put, events: EventStream) -> None:
        await events.send(await perform_request(self._store, action))

    async def _delete_unused_content(self, version: Version) -> None:
        """Delete the unused content in the partition that `version` selects."""
        collector = ContentCollector()
        pending_actions = list[object](collector.start(version))
        while pending_actions:
            action = pending_actions.pop(0)
            if isinstance(action, RecordEvent):
                self._events.emit(action.kind, **action.fields)
            elif isinstance(action, Get | Delete | List):
                answer = await perform_request(self._store, action)
                pending_actions += collector.handle(answer, anyio.current_time())


async def _fire_timer_at(at: float, events: EventStream) -> None:
    await anyio.sleep_until(at + TIMER_SLACK_S)
    await events.send(TimerFired())
