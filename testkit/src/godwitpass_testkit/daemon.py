"""Combine the decision objects of membership and distribution into one per daemon."""

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

COMPONENT_COUNT = 2
MEMBERSHIP, DISTRIBUTION = range(COMPONENT_COUNT)
"""Numbers of the components, in envelopes and as remainders of request tags."""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Message with the number of the component that receives it."""

    component: int
    message: Any


class Daemon:
    """Membership and distribution of one daemon.

    Passes each event to its component, and changed members from membership to distribution.
    Messages are wrapped in an `Envelope`; tags of store requests carry the component's number.
    """

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
        self._viewed_generation = -1

    @property
    def current(self) -> Snapshot | None:
        """Return the version in force."""
        return self.distributor.current

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle `event` and return the actions of both components."""
        actions: list[Any] = []
        if isinstance(event, TimerFired):
            actions += self._tag_actions(MEMBERSHIP, self.membership.handle(event, now))
            actions += self._tag_actions(DISTRIBUTION, self.distributor.handle(event, now))
        elif isinstance(event, MessageReceived):
            actions += self._receive(event, now)
        elif isinstance(event, EntryRead | WriteDone | EntriesRead | RequestFailed):
            actions += self._handle_store_answer(event, now)
        else:
            assert isinstance(event, Start)
            actions += self._tag_actions(MEMBERSHIP, self.membership.handle(event, now))
        return actions + self._update_view(now)

    def _receive(self, event: MessageReceived[Envelope], now: float) -> list[Any]:
        received = MessageReceived(event.sender, event.message.message)
        component = self.membership if event.message.component == MEMBERSHIP else self.distributor
        return self._tag_actions(event.message.component, component.handle(received, now))

    def _handle_store_answer(self, event: Answer, now: float) -> list[Any]:
        number = event.tag % COMPONENT_COUNT
        answer = msgspec.structs.replace(event, tag=event.tag // COMPONENT_COUNT)
        component = self.membership if number == MEMBERSHIP else self.distributor
        return self._tag_actions(number, component.handle(answer, now))

    def _update_view(self, now: float) -> list[Any]:
        if self._viewed_generation == self.membership.generation:
            return []
        self._viewed_generation = self.membership.generation
        own_member = build_own_member(self.identity)
        other_members = (
            member for member in self.membership.members() if member.address != own_member.address
        )
        view = build_view([own_member, *other_members], own_member.zone)
        return self._tag_actions(DISTRIBUTION, self.distributor.handle(ViewChanged(view), now))

    def _tag_actions(self, component: int, actions: list[Any]) -> list[Any]:
        return [_tag_action(component, action) for action in actions]


def build_own_member(identity: Identity) -> Member:
    """Return the daemon's own member record, which membership doesn't list before it has joined."""
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


def _tag_action(component: int, action: Any) -> Any:
    if isinstance(action, Send):
        return Send(action.to, Envelope(component, action.message))
    if isinstance(action, Get | Put | Delete | List | Watch):
        return msgspec.structs.replace(action, tag=action.tag * COMPONENT_COUNT + component)
    return action
