"""A whole daemon's control decisions as one object: membership and distribution together."""

import random
from typing import Any

import msgspec

from godwitpass.internal.actions import MessageReceived, Send, TimerFired
from godwitpass.internal.distribution.delta import DocumentCodec
from godwitpass.internal.distribution.distributor import Distributor
from godwitpass.internal.distribution.interface import ViewChanged
from godwitpass.internal.distribution.view import build_view
from godwitpass.internal.membership import Identity, Membership, Start
from godwitpass.internal.membership.tuning import Tuning as MembershipTuning
from godwitpass.internal.requests import (
    Answer,
    Delete,
    EntriesRead,
    EntryRead,
    Get,
    List,
    Put,
    RequestFailed,
    Watch,
    WriteDone,
)
from godwitpass.mesh import Member, MemberState
from godwitpass.snapshot import Snapshot

PARTS = 2
MEMBERSHIP, DISTRIBUTION = range(PARTS)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with the number of the part that it is for."""

    part: int
    message: Any


class Daemon:
    """Hands each event to the part it is for, and changes of members on to distribution."""

    def __init__(
        self,
        identity: Identity,
        generator: random.Random,
        codec: DocumentCodec,
        tuning: MembershipTuning,
    ) -> None:
        self.identity = identity
        self.membership = Membership(identity, generator, tuning)
        self.distributor = Distributor(identity.address, generator, codec)
        self._generation = -1

    @property
    def current(self) -> Snapshot | None:
        """Return the version in force."""
        return self.distributor.current

    def handle(self, event: Any, now: float) -> list[Any]:
        """Decide on `event`."""
        actions: list[Any] = []
        if isinstance(event, TimerFired):
            actions += self._label(MEMBERSHIP, self.membership.handle(event, now))
            actions += self._label(DISTRIBUTION, self.distributor.handle(event, now))
        elif isinstance(event, MessageReceived):
            actions += self._receive(event, now)
        elif isinstance(event, EntryRead | WriteDone | EntriesRead | RequestFailed):
            actions += self._take_answer(event, now)
        else:
            assert isinstance(event, Start)
            actions += self._label(MEMBERSHIP, self.membership.handle(event, now))
        return actions + self._follow_members(now)

    def _receive(self, event: MessageReceived[Envelope], now: float) -> list[Any]:
        inner = MessageReceived(event.sender, event.message.message)
        part = self.membership if event.message.part == MEMBERSHIP else self.distributor
        return self._label(event.message.part, part.handle(inner, now))

    def _take_answer(self, event: Answer, now: float) -> list[Any]:
        number = event.tag % PARTS
        inner = msgspec.structs.replace(event, tag=event.tag // PARTS)
        part = self.membership if number == MEMBERSHIP else self.distributor
        return self._label(number, part.handle(inner, now))

    def _follow_members(self, now: float) -> list[Any]:
        if self._generation == self.membership.generation:
            return []
        self._generation = self.membership.generation
        own = build_own_member(self.identity)
        others = (item for item in self.membership.members() if item.address != own.address)
        view = build_view([own, *others], own.zone)
        return self._label(DISTRIBUTION, self.distributor.handle(ViewChanged(view), now))

    def _label(self, part: int, actions: list[Any]) -> list[Any]:
        return [_label_action(part, action) for action in actions]


def build_own_member(identity: Identity) -> Member:
    """Return the record of a daemon that membership does not list yet."""
    return Member(
        identity.instance,
        identity.zone,
        identity.region,
        identity.address,
        0,
        0,
        MemberState.ALIVE,
        link_class=identity.link_class,
    )


def _label_action(part: int, action: Any) -> Any:
    if isinstance(action, Send):
        return Send(action.to, Envelope(part, action.message))
    if isinstance(action, Get | Put | Delete | List | Watch):
        return msgspec.structs.replace(action, tag=action.tag * PARTS + part)
    return action
