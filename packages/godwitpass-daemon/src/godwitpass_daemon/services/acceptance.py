"""Accepts documents on behalf of operators; the decisions are `acceptance.acceptor`'s."""

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
    Proposal,
    OutcomeUnknown,
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
"""Timers may fire slightly early; an acceptor ignores those."""

Events = MemoryObjectSendStream[Answer | TimerFired]


class AcceptanceService:
    """Makes documents versions, and reads versions that were accepted.

    `held` gives the version in force on this daemon.
    """

    def __init__(self, store: Store, events: EventLog, held: Callable[[], Snapshot | None]) -> None:
        self._store = store
        self._events = events
        self._held = held
        self._random = random.Random()
        self._tasks: TaskGroup | None = None

    async def start(self, tasks: TaskGroup) -> None:
        """Let unused contents be deleted in the background."""
        self._tasks = tasks

    async def stop(self) -> None:
        """Begin no further deletions."""
        self._tasks = None

    async def accept(
        self, document: Document, change: ChangeId, if_version: Version | None
    ) -> AcceptedVersion:
        """Make `document` the next version.

        Raises `VersionConflict` when another change came first, `StoreUnavailable` when nothing
        was accepted, and `AcceptanceUnknown` when that can't be known; the same `change` may be
        sent again at any time.
        """
        proposal = Proposal(document, change, if_version, self._held(), time.time())
        outcome = await self._drive(Acceptor(proposal, self._random), proposal)
        match outcome:
            case AcceptedVersion():
                if self._tasks is not None:
                    self._tasks.start_soon(self._collect, outcome.version)
                return outcome
            case Conflict():
                raise VersionConflict(outcome.current, outcome.winner)
            case StoreRegressed():
                raise StoreWentBack(outcome.held, outcome.stored)
            case NotAccepted():
                raise StoreUnavailable("not accepted: the store did not answer in time")
            case OutcomeUnknown():
                raise AcceptanceUnknown(change)
        assert_never(outcome)

    async def history(self) -> Sequence[AcceptedVersion]:
        """Return the latest accepted versions, the oldest first."""
        return decode_root(await self._store.get(ROOT_KEY)).history

    async def content(self, version: Version) -> Document | None:
        """Return the content of `version`, or None when it is not in the history."""
        record = decode_root(await self._store.get(ROOT_KEY)).find_version(version)
        if record is None:
            return None
        body = bytearray()
        part, count = 0, 1
        while part < count:
            entry = await self._store.get(build_content_key(record.content_hash, part))
            if entry.value is None:
                return None
            stored = decode_part(entry.value)
            body += stored.body
            part, count = part + 1, stored.count
        return decode_full(bytes(body), record.content_hash)

    async def _drive(self, acceptor: Acceptor, proposal: Proposal) -> Outcome:
        send, receive = anyio.create_memory_object_stream[Answer | TimerFired](16)
        with send, receive:
            async with anyio.create_task_group() as tasks:
                actions = acceptor.handle(proposal, anyio.current_time())
                while True:
                    outcome = self._perform(actions, tasks, send)
                    if outcome is not None:
                        tasks.cancel_scope.cancel()
                        return outcome
                    event = await receive.receive()
                    actions = acceptor.handle(event, anyio.current_time())
        raise AssertionError("an acceptor ends with an outcome")

    def _perform(
        self, actions: Sequence[Action], tasks: TaskGroup, events: Events
    ) -> Outcome | None:
        for action in actions:
            match action:
                case Finished():
                    return action.outcome
                case RecordEvent():
                    self._events.emit(action.kind, **action.fields)
                case SetTimer():
                    tasks.start_soon(_wake, action.at, events)
                case _:
                    tasks.start_soon(self._request, action, events)
        return None

    async def _request(self, action: Get | Put, events: Events) -> None:
        await events.send(await perform_request(self._store, action))

    async def _collect(self, version: Version) -> None:
        """Delete one share of the contents that no version uses."""
        collector = ContentCollector()
        pending = list[object](collector.start(version))
        while pending:
            action = pending.pop(0)
            if isinstance(action, RecordEvent):
                self._events.emit(action.kind, **action.fields)
            elif isinstance(action, Get | Delete | List):
                answer = await perform_request(self._store, action)
                pending += collector.handle(answer, anyio.current_time())


async def _wake(at: float, events: Events) -> None:
    await anyio.sleep_until(at + TIMER_SLACK_S)
    await events.send(TimerFired())
