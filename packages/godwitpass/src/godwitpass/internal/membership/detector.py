"""SWIM failure detection: direct and indirect probes, suspicion and its timeout."""

from enum import Enum

import msgspec

from godwitpass.ids import Address
from godwitpass.internal.actions import RecordEvent, Send
from godwitpass.internal.membership.events import MEMBER_DEAD, MEMBER_SUSPECTED
from godwitpass.internal.membership.messages import IndirectAck, Message, PingRequest
from godwitpass.internal.membership.records import MemberRecord
from godwitpass.internal.membership.state import SharedState
from godwitpass.mesh import MemberState

MAX_RELAYED_PROBES = 64
"""Probes in progress on behalf of other daemons; further requests are ignored."""

MAX_DEAD_PROBE_SHARE = 0.1
"""Largest share of probe intervals in which a dead member is probed as well."""

Action = Send[Message] | RecordEvent


class _Stage(Enum):
    """Whether a probe has asked its target only, or other members as well."""

    DIRECT = 0
    INDIRECT = 1


class _Probe(msgspec.Struct):
    """The probe that this daemon has in progress."""

    key: int
    nonce: int
    started_at: float
    stage: _Stage = _Stage.DIRECT


class _RelayedProbe(msgspec.Struct, frozen=True):
    """A probe on behalf of `requester`; `nonce` is that of its `PingRequest`."""

    requester: Address
    nonce: int
    expires_at: float


class FailureDetector:
    """Probes one random member per interval.

    All daemons of the region probe independently, so together they cover every member. A member
    that answers neither a direct nor an indirect probe is suspected, and declared dead unless it
    refutes the suspicion in time.
    """

    def __init__(self, state: SharedState) -> None:
        self._state = state
        self._probe: _Probe | None = None
        self._relayed_probes: dict[int, _RelayedProbe] = {}
        self._locally_suspected: set[int] = set()

    def start_probe(self, now: float, is_suspended: bool) -> list[Action]:
        """Evaluate the previous probe and start another one.

        While `is_suspended`, an unanswered probe raises no suspicion.
        """
        actions = self._finish_probe(now, is_suspended)
        state = self._state
        for record in state.table.choose_peers(state.rng, 1):
            nonce = state.draw_nonce()
            self._probe = _Probe(record.key, nonce, now)
            actions.append(state.build_ping(record.metadata.address, record.key, nonce))
        return actions + self._probe_dead_member()

    def next_indirect_probe_at(self) -> float | None:
        """Return when to request indirect probes of the current target, None if not needed."""
        if self._probe is None or self._probe.stage is not _Stage.DIRECT:
            return None
        return self._probe.started_at + self._state.tuning.probe_timeout_s

    def request_indirect_probes(self) -> list[Action]:
        """Ask other members to probe the target that has not answered."""
        probe, state = self._probe, self._state
        assert probe is not None
        probe.stage = _Stage.INDIRECT
        record = state.table.get(probe.key)
        if record is None or record.is_gone:
            return []
        request = PingRequest(probe.nonce, record.key, record.metadata.address)
        helpers = state.table.choose_peers(
            state.rng, state.tuning.indirect_probe_count, exclude=probe.key
        )
        return [Send(helper.metadata.address, request) for helper in helpers]

    def relay_probe(self, requester: Address, request: PingRequest, now: float) -> list[Action]:
        """Probe the target of `request` on behalf of `requester`."""
        self._relayed_probes = {
            nonce: relayed
            for nonce, relayed in self._relayed_probes.items()
            if relayed.expires_at > now
        }
        if len(self._relayed_probes) >= MAX_RELAYED_PROBES:
            return []
        nonce = self._state.draw_nonce()
        expires_at = now + self._state.tuning.probe_interval_s
        self._relayed_probes[nonce] = _RelayedProbe(requester, request.nonce, expires_at)
        return [self._state.build_ping(request.address, request.target, nonce)]

    def record_ack(self, nonce: int) -> list[Action]:
        """Record the answer to an own probe, or pass it on to the requester of the probe."""
        if self._probe is not None and self._probe.nonce == nonce:
            self._probe = None
        relayed = self._relayed_probes.pop(nonce, None)
        return [] if relayed is None else [Send(relayed.requester, IndirectAck(relayed.nonce))]

    def expire_suspicions(self, now: float, is_suspended: bool) -> list[Action]:
        """Declare dead the suspects whose suspicion timeout has passed.

        While `is_suspended`, cancel the current probe and restart all timeouts instead.
        """
        state = self._state
        if is_suspended:
            self.cancel_probe()
            self.restart_suspicion_timers(now)
            return []
        actions: list[Action] = []
        for key in [key for key, deadline in state.suspicion_deadlines.items() if deadline <= now]:
            del state.suspicion_deadlines[key]
            record = state.table.get(key)
            if record is not None and record.state is MemberState.SUSPECT:
                state.table.set_state(record, MemberState.DEAD, now)
                actions += self._report_dead(record)
        return actions

    def restart_suspicion_timers(self, now: float) -> None:
        """Give every suspect the full suspicion timeout again."""
        deadline = now + self._state.tuning.suspicion_timeout_s
        self._state.suspicion_deadlines = dict.fromkeys(self._state.suspicion_deadlines, deadline)

    def cancel_probe(self) -> None:
        """Drop the current probe without evaluating it."""
        self._probe = None

    def _finish_probe(self, now: float, is_suspended: bool) -> list[Action]:
        probe, self._probe = self._probe, None
        if probe is None or is_suspended:
            return []
        record = self._state.table.get(probe.key)
        if record is None or record.state is not MemberState.ALIVE:
            return []
        self._state.mark_suspect(record, now)
        self._locally_suspected.add(record.key)
        return [RecordEvent(MEMBER_SUSPECTED, {"member": record.metadata.instance})]

    def _report_dead(self, record: MemberRecord) -> list[Action]:
        if record.key not in self._locally_suspected:
            return []
        self._locally_suspected.discard(record.key)
        return [RecordEvent(MEMBER_DEAD, {"member": record.metadata.instance})]

    def _probe_dead_member(self) -> list[Action]:
        """Occasionally probe a dead member, since a network partition may have healed.

        The more members are dead compared with the live ones, the more often one is probed, up to
        `MAX_DEAD_PROBE_SHARE`.
        """
        state = self._state
        dead_count, live_count = len(state.table.dead_members), len(state.table.live_peers)
        if not dead_count or state.rng.random() >= min(
            MAX_DEAD_PROBE_SHARE, dead_count / max(live_count, 1)
        ):
            return []
        record = state.table.choose_dead_member(state.rng)
        assert record is not None
        return [state.build_ping(record.metadata.address, record.key, state.draw_nonce())]
