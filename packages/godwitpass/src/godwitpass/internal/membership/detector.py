"""Failure detection: direct and indirect probes, and suspicions that run out."""

from enum import Enum

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.membership.events import MEMBER_DEAD, MEMBER_SUSPECTED
from godwitpass.internal.membership.messages import Message, PingRequest, Relayed
from godwitpass.internal.membership.records import Record
from godwitpass.internal.membership.state import State
from godwitpass.mesh import MemberState

MAX_RELAYS = 64
MAX_RECONNECT_SHARE = 0.1
"""Share of probe intervals in which a member that counts as dead is tried as well."""

Action = Send[Message] | RecordEvent


class _Stage(Enum):
    ASKED = 0
    HELP_ASKED = 1


class _Probe(msgspec.Struct):
    key: int
    nonce: int
    started_at: float
    stage: _Stage = _Stage.ASKED


class _Relay(msgspec.Struct, frozen=True):
    requester: Address
    nonce: int
    expires_at: float


class Detector:
    """Probes one random member an interval; several daemons together cover all of them."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._probe: _Probe | None = None
        self._relays: dict[int, _Relay] = {}
        self._accused: set[int] = set()

    def probe(self, now: float, withhold: bool) -> list[Action]:
        """End the last probe and begin another; `withhold` keeps a failed one from counting."""
        actions = self._conclude(now, withhold)
        state = self._state
        for record in state.table.choose(state.rng, 1):
            nonce = state.draw_nonce()
            self._probe = _Probe(record.key, nonce, now)
            actions.append(state.build_ping(record.content.address, record.key, nonce))
        return actions + self._reconnect()

    def help_due(self) -> float | None:
        """Return when the present probe needs helpers."""
        if self._probe is None or self._probe.stage is not _Stage.ASKED:
            return None
        return self._probe.started_at + self._state.tuning.probe_timeout_s

    def ask_help(self) -> list[Action]:
        """Ask other members to probe the one that has not answered."""
        probe, state = self._probe, self._state
        assert probe is not None
        probe.stage = _Stage.HELP_ASKED
        record = state.table.get(probe.key)
        if record is None or record.is_gone:
            return []
        request = PingRequest(probe.nonce, record.key, record.content.address)
        helpers = state.table.choose(state.rng, state.tuning.helpers, without=probe.key)
        return [Send(helper.content.address, request) for helper in helpers]

    def relay(self, requester: Address, request: PingRequest, now: float) -> list[Action]:
        """Probe a member on behalf of `requester`."""
        self._relays = {
            nonce: relay for nonce, relay in self._relays.items() if relay.expires_at > now
        }
        if len(self._relays) >= MAX_RELAYS:
            return []
        nonce = self._state.draw_nonce()
        expires_at = now + self._state.tuning.probe_interval_s
        self._relays[nonce] = _Relay(requester, request.nonce, expires_at)
        return [self._state.build_ping(request.address, request.target, nonce)]

    def note_answer(self, nonce: int) -> list[Action]:
        """Take the answer to a probe of this daemon's own or for another."""
        if self._probe is not None and self._probe.nonce == nonce:
            self._probe = None
        relay = self._relays.pop(nonce, None)
        return [] if relay is None else [Send(relay.requester, Relayed(relay.nonce))]

    def expire(self, now: float, withhold: bool) -> list[Action]:
        """Declare dead the suspects whose time to refute has run out."""
        state = self._state
        if withhold:
            self.restart()
            self.extend(now)
            return []
        actions: list[Action] = []
        for key in [key for key, due in state.suspects.items() if due <= now]:
            del state.suspects[key]
            record = state.table.get(key)
            if record is not None and record.state is MemberState.SUSPECT:
                state.table.set_state(record, MemberState.DEAD, now)
                actions += self._report_dead(record)
        return actions

    def extend(self, now: float) -> None:
        """Grant all suspects their whole time again."""
        due = now + self._state.tuning.suspicion_s
        self._state.suspects = dict.fromkeys(self._state.suspects, due)

    def restart(self) -> None:
        """Forget the probe under way."""
        self._probe = None

    def _conclude(self, now: float, withhold: bool) -> list[Action]:
        probe, self._probe = self._probe, None
        if probe is None or withhold:
            return []
        record = self._state.table.get(probe.key)
        if record is None or record.state is not MemberState.ALIVE:
            return []
        self._state.suspect(record, now)
        self._accused.add(record.key)
        return [RecordEvent(MEMBER_SUSPECTED, {"member": record.content.instance})]

    def _report_dead(self, record: Record) -> list[Action]:
        if record.key not in self._accused:
            return []
        self._accused.discard(record.key)
        return [RecordEvent(MEMBER_DEAD, {"member": record.content.instance})]

    def _reconnect(self) -> list[Action]:
        """Now and then try a member that counts as dead: a partition may have ended."""
        state = self._state
        lost, living = len(state.table.lost), len(state.table.others)
        if not lost or state.rng.random() >= min(MAX_RECONNECT_SHARE, lost / max(living, 1)):
            return []
        record = state.table.choose_lost(state.rng)
        assert record is not None
        return [state.build_ping(record.content.address, record.key, state.draw_nonce())]
