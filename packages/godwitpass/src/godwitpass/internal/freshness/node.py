"""Decision logic of freshness proofs in one daemon.

All times are on CLOCK_BOOTTIME, which goes on while the process or the machine is suspended.
"""

import math
import random
from typing import TypeVar

import msgspec

from godwitpass.ids import NO_VERSION, Address, Revision, Version
from godwitpass.internal.actions import MessageReceived, RecordEvent, Send, SetTimer, TimerFired
from godwitpass.internal.distribution.view import View, find_parent_position
from godwitpass.internal.freshness import events
from godwitpass.internal.freshness.messages import (
    MAX_AGE_MS,
    Message,
    ProofRequest,
    ProofResponse,
    convert_age_ms,
)
from godwitpass.internal.freshness.settings import FreshnessSettings
from godwitpass.internal.requests import Confirm, Confirmed, RequestFailed

K = TypeVar("K")
V = TypeVar("V")

NONCE_BITS = 63
FALLBACK_PEERS = 3
FALLBACK_INTERVAL_S = 0.25
"""Time that a peer has to answer before others are asked; daemons answer in milliseconds."""

REQUEST_TIMEOUT_SHARE = 1.5
"""A parent is asked again after this many intervals; it has news once an interval."""

MIN_GAIN_SHARE = 0.5
"""Share of an interval by which a proof must be newer to be worth an answer.

Without it, a link with a long delay would carry a request each round trip.
"""

MAX_WAITING_REQUESTS = 64
"""Bound on the requests of other daemons that are held; the tree has a fan-out of 8."""

MAX_PENDING = 32
"""Bound on requests and confirmations without an answer."""

MAX_LATER_PROOFS = 8
"""Bound on the proofs of versions that are not held yet."""


class Proof(msgspec.Struct, frozen=True):
    """`version` was the newest in the store at `proven_at` or later."""

    version: Version
    proven_at: float


class VersionHeld(msgspec.Struct, frozen=True):
    """Event: this daemon holds `version`; `needs_proofs` tells whether it asks for proofs."""

    version: Version
    needs_proofs: bool


class VersionRead(msgspec.Struct, frozen=True):
    """Event: this daemon, a reader, has read `version` at `revision` of the configuration's key."""

    revision: Revision
    version: Version


class ReadingStopped(msgspec.Struct, frozen=True):
    """Event: this daemon is no reader, or can't tell which version the store holds."""


class MembersChanged(msgspec.Struct, frozen=True):
    """Event: the known members and the distribution tree have changed."""

    view: View


class ReadStore(msgspec.Struct, frozen=True):
    """Action: reads the store at once, since it holds another revision than the last one read."""


class HolderFound(msgspec.Struct, frozen=True):
    """Action: fetches a later `version` from the daemon at `address`."""

    address: Address
    version: Version


Event = (
    VersionHeld
    | VersionRead
    | ReadingStopped
    | MembersChanged
    | MessageReceived[Message]
    | TimerFired
    | Confirmed
    | RequestFailed
)
Action = Send[Message] | SetTimer | RecordEvent | Confirm | ReadStore | HolderFound


class _WaitingRequest(msgspec.Struct, frozen=True):
    nonce: int
    received_at: float
    proven_at: float


class _SentRequest(msgspec.Struct, frozen=True):
    peer: Address
    sent_at: float


class FreshnessNode:
    """Obtains proofs from the store or from other daemons, and passes them on at request.

    A proof of one version holds for every later one too, because only later versions replace the
    one that is held.
    """

    def __init__(
        self,
        own_address: Address,
        key: str,
        settings: FreshnessSettings,
        generator: random.Random,
    ) -> None:
        self._own_address = own_address
        self._key = key
        self._settings = settings
        self._random = generator
        self._version = NO_VERSION
        self._is_active = False
        self._proof: Proof | None = None
        self._later_proofs: dict[Version, float] = {}
        self._read: VersionRead | None = None
        self._view: View | None = None
        self._tag = 0
        self._confirmations: dict[int, tuple[Version, float]] = {}
        self._sent_requests: dict[int, _SentRequest] = {}
        self._waiting_requests: dict[Address, _WaitingRequest] = {}
        self._last_request_at = -math.inf
        self._next_request_at = math.inf
        self._next_confirmation_at = math.inf
        self._next_fallback_at = math.inf
        self._fallback_interval_s = FALLBACK_INTERVAL_S
        self._expired_at: float | None = None
        self._timer_at = math.inf

    def compute_age(self, version: Version, now: float) -> float | None:
        """Return how long ago `version` is known to have been the newest; None if it isn't."""
        proof = self._proof
        return None if proof is None or proof.version > version else now - proof.proven_at

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions that `event` causes."""
        actions = self._dispatch(event, now)
        if self._is_active:
            actions += self._run_due(now)
            actions += self._report_expiry(now)
        return actions + self._set_timer(now)

    def _dispatch(self, event: Event, now: float) -> list[Action]:
        match event:
            case MessageReceived(sender, ProofRequest() as request):
                return self._handle_request(sender, request, now)
            case MessageReceived(sender, ProofResponse() as response):
                return self._handle_response(sender, response, now)
            case Confirmed(tag, is_current):
                return self._handle_confirmation(tag, is_current, now)
            case RequestFailed(tag):
                self._confirmations.pop(tag, None)
            case VersionHeld():
                return self._hold_version(event, now)
            case VersionRead():
                if event != self._read:
                    self._read = event
                    self._next_confirmation_at = now
            case ReadingStopped():
                self._read = None
                self._next_confirmation_at = math.inf
            case MembersChanged(view):
                self._view = view
            case TimerFired():
                if now >= self._timer_at:
                    self._timer_at = math.inf
        return []

    def _hold_version(self, event: VersionHeld, now: float) -> list[Action]:
        self._version = event.version
        if event.needs_proofs and not self._is_active:
            self._next_request_at = self._next_fallback_at = now
            self._next_confirmation_at = now if self._read is not None else math.inf
        self._is_active = event.needs_proofs
        actions: list[Action] = []
        for version in [version for version in self._later_proofs if version <= event.version]:
            actions += self._add_proof(Proof(version, self._later_proofs.pop(version)), now)
        return actions

    def _run_due(self, now: float) -> list[Action]:
        actions: list[Action] = []
        if now >= self._next_confirmation_at and self._read is not None:
            actions.append(self._confirm(self._read, now))
        if now >= self._next_request_at:
            self._next_request_at = now + REQUEST_TIMEOUT_SHARE * self._settings.interval_s
            parent = self._find_parent()
            if parent is not None and self._read is None:
                self._last_request_at = now
                actions.append(self._request(parent, True, now))
        if now >= self._next_fallback_at:
            if self._get_age(now) < self._settings.fallback_age_s:
                self._fallback_interval_s = FALLBACK_INTERVAL_S
                self._next_fallback_at = self._find_fallback_time(now)
            else:
                self._next_fallback_at = now + self._fallback_interval_s
                self._fallback_interval_s = min(
                    2 * self._fallback_interval_s, self._settings.interval_s
                )
                actions += [self._request(peer, False, now) for peer in self._choose_peers()]
        return actions

    def _find_fallback_time(self, now: float) -> float:
        age_s = self._get_age(now)
        return now + max(0.0, self._settings.fallback_age_s - age_s)

    def _set_timer(self, now: float) -> list[Action]:
        if not self._is_active:
            return []
        due_at = min(self._next_request_at, self._next_fallback_at, self._next_confirmation_at)
        if self._proof is not None and self._expired_at is None:
            due_at = min(due_at, self._proof.proven_at + self._settings.life_s)
        if due_at >= self._timer_at:
            return []
        self._timer_at = max(due_at, now)
        return [SetTimer(self._timer_at)]

    def _get_age(self, now: float) -> float:
        return math.inf if self._proof is None else now - self._proof.proven_at

    # Confirmations by the store.

    def _confirm(self, read: VersionRead, now: float) -> Confirm:
        self._next_confirmation_at = now + self._settings.interval_s
        self._tag += 1
        self._confirmations[self._tag] = (read.version, now)
        _drop_oldest(self._confirmations, MAX_PENDING)
        return Confirm(self._tag, self._key, read.revision)

    def _handle_confirmation(self, tag: int, is_current: bool, now: float) -> list[Action]:
        confirmation = self._confirmations.pop(tag, None)
        if confirmation is None:
            return []
        version, sent_at = confirmation
        if not is_current:
            return [ReadStore()]
        return self._add_proof(Proof(version, sent_at), now)

    # Requests to other daemons and their answers.

    def _request(self, peer: Address, may_wait: bool, now: float) -> Send[Message]:
        nonce = self._random.getrandbits(NONCE_BITS)
        self._sent_requests[nonce] = _SentRequest(peer, now)
        _drop_oldest(self._sent_requests, MAX_PENDING)
        age_ms = convert_age_ms(min(self._get_age(now), MAX_AGE_MS / 1000))
        return Send(peer, ProofRequest(nonce, age_ms, may_wait))

    def _handle_response(
        self, sender: Address, response: ProofResponse, now: float
    ) -> list[Action]:
        request = self._sent_requests.get(response.nonce)
        if request is None or request.peer != sender:
            return []
        del self._sent_requests[response.nonce]
        proven_at = request.sent_at - response.age_ms / 1000
        if proven_at > now:
            # No daemon knows of a moment that is still to come; the message is wrong.
            return []
        actions: list[Action] = []
        if response.version > self._version:
            actions.append(HolderFound(sender, response.version))
        actions += self._add_proof(Proof(response.version, proven_at), now)
        if sender == self._find_parent():
            self._next_request_at = max(
                now, self._last_request_at + MIN_GAIN_SHARE * self._settings.interval_s
            )
        return actions

    def _handle_request(self, sender: Address, request: ProofRequest, now: float) -> list[Action]:
        waiting = _WaitingRequest(request.nonce, now, now - request.age_ms / 1000)
        answer = self._answer(sender, waiting, now)
        if answer is not None:
            self._waiting_requests.pop(sender, None)
            return [answer]
        if request.may_wait:
            self._waiting_requests.pop(sender, None)
            self._waiting_requests[sender] = waiting
            _drop_oldest(self._waiting_requests, MAX_WAITING_REQUESTS)
        return []

    def _answer(self, peer: Address, request: _WaitingRequest, now: float) -> Send[Message] | None:
        proof = self._proof
        if proof is None or now - proof.proven_at >= self._settings.life_s:
            return None
        if proof.proven_at - request.proven_at < MIN_GAIN_SHARE * self._settings.interval_s:
            return None
        age_ms = convert_age_ms(request.received_at - proof.proven_at)
        return Send(peer, ProofResponse(request.nonce, proof.version, age_ms))

    def _answer_waiting_requests(self, now: float) -> list[Action]:
        oldest = now - 2 * REQUEST_TIMEOUT_SHARE * self._settings.interval_s
        actions: list[Action] = []
        for peer, request in list(self._waiting_requests.items()):
            answer = self._answer(peer, request, now)
            if answer is not None:
                actions.append(answer)
            if answer is not None or request.received_at < oldest:
                del self._waiting_requests[peer]
        return actions

    def _add_proof(self, proof: Proof, now: float) -> list[Action]:
        if proof.version > self._version:
            known = self._later_proofs.pop(proof.version, -math.inf)
            self._later_proofs[proof.version] = max(known, proof.proven_at)
            _drop_oldest(self._later_proofs, MAX_LATER_PROOFS)
            return []
        if self._proof is not None and self._proof.proven_at >= proof.proven_at:
            return []
        self._proof = proof
        self._next_fallback_at = min(self._next_fallback_at, self._find_fallback_time(now))
        return self._answer_waiting_requests(now)

    def _find_parent(self) -> Address | None:
        view = self._view
        position = view.find_position(self._own_address) if view is not None else None
        parent = find_parent_position(position) if position else None
        return view.ranked_members[parent] if view is not None and parent is not None else None

    def _choose_peers(self) -> list[Address]:
        """Return some members: at most two of other zones, the others of the own one."""
        view = self._view
        if view is None:
            return []
        zones = [addresses for addresses in view.remote_members.values() if addresses]
        chosen = [
            self._random.choice(addresses)
            for addresses in self._random.sample(zones, min(len(zones), FALLBACK_PEERS - 1))
        ]
        neighbours = [address for address in view.ranked_members if address != self._own_address]
        count = min(len(neighbours), FALLBACK_PEERS - len(chosen))
        return chosen + self._random.sample(neighbours, count)

    def _report_expiry(self, now: float) -> list[Action]:
        """Report when the proof expires, and when there is one again."""
        proof = self._proof
        is_expired = self._get_age(now) >= self._settings.life_s
        if is_expired and self._expired_at is None:
            self._expired_at = now
            # Without any proof yet, the daemon has just started.
            fields = {
                "held": self._version,
                "age_ms": -1 if proof is None else int(self._get_age(now) * 1000),
                "reader": self._read is not None,
                "later": max(self._later_proofs, default=NO_VERSION),
            }
            return [RecordEvent(events.PROOF_EXPIRED, dict(fields))]
        if not is_expired and self._expired_at is not None:
            missing_ms = int((now - self._expired_at) * 1000)
            self._expired_at = None
            return [
                RecordEvent(
                    events.PROOF_RENEWED,
                    {
                        "held": self._version,
                        "missing_ms": missing_ms,
                        "age_ms": int(self._get_age(now) * 1000),
                    },
                )
            ]
        return []


def _drop_oldest(entries: dict[K, V], max_count: int) -> None:
    while len(entries) > max_count:
        del entries[next(iter(entries))]
