"""Chooses the upstream of a call from what its daemons say and from own experience."""

import random
from collections.abc import Iterable, Set

import msgspec

from godwitpass.events import FieldValue
from godwitpass.ids import InstanceId, RouteName, ServiceName, ZoneId
from godwitpass.internal.relay.frames import Load
from godwitpass.internal.relay.moving_averages import RouteMeans
from godwitpass.mesh import Upstream, UpstreamState

REMOTE_COST_S = 0.012
"""Time that a call may be expected to wait longer before it leaves its availability zone."""

REMOTE_COST_S_PER_BYTE = 4e-6
"""The same for each byte of request and answer, since bytes between zones are paid for."""

BYTES_GAIN = 0.05
INITIAL_ANSWER_BYTES = 2_000

LOCAL_GAIN_S = 0.01
"""Advantage of the upstream beside this daemon."""

FAILURE_COST_S = 1.0
"""Time that a failed call costs its caller."""

FAILURE_GAIN = 0.15
FAILURE_HALF_LIFE_S = 2.0
SPEED_GAIN = 0.1
WORK_GAIN = 0.05
INITIAL_WORK_S = 0.1
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 2.0
"""Bounds of the time that an unreachable upstream is left alone, which doubles each time."""

MIN_SPEED, MAX_SPEED = 0.2, 8.0
MIN_WORK_S = 0.001


class Peer(msgspec.Struct):
    """One upstream as this daemon sees it; `slowness` is relative to the others."""

    upstream: Upstream
    own: int = 0
    load: Load | None = None
    load_at: float = 0.0
    sent_since: int = 0
    bytes_since: int = 0
    slowness: float = 1.0
    failures: float = 0.0
    failures_at: float = 0.0
    paused_until: float = 0.0
    pause_s: float = 0.0

    def expect_failure(self, now: float) -> float:
        """Return the share of calls that lately failed here."""
        age = now - self.failures_at
        return float(self.failures * 0.5 ** (age / FAILURE_HALF_LIFE_S))


class Placement:
    """Keeps one `Peer` for each known upstream."""

    def __init__(self, own: InstanceId, zone: ZoneId, rng: random.Random) -> None:
        self._own = own
        self._zone = zone
        self._rng = rng
        self._peers: dict[InstanceId, Peer] = {}
        self._services: dict[ServiceName, list[Peer]] = {}
        self._work_s = RouteMeans(WORK_GAIN)
        self._answer_bytes = RouteMeans(BYTES_GAIN)

    def update(self, service: ServiceName, upstreams: Iterable[Upstream]) -> None:
        """Take in the upstreams of `service`; what was learned of known ones is kept."""
        peers: list[Peer] = []
        for upstream in upstreams:
            peer = self._peers.get(upstream.instance)
            if peer is None or peer.upstream.service != upstream.service:
                peer = Peer(upstream)
                self._peers[upstream.instance] = peer
            peer.upstream = upstream
            if upstream.state is UpstreamState.READY:
                peers.append(peer)
        self._services[service] = peers

    def keep_only(self, instances: set[InstanceId]) -> None:
        """Forget the upstreams that are gone."""
        for instance in [known for known in self._peers if known not in instances]:
            del self._peers[instance]

    def choose(
        self,
        service: ServiceName,
        route: RouteName,
        now: float,
        body_bytes: int = 0,
        avoid: Set[InstanceId] = frozenset(),
    ) -> Upstream | None:
        """Return the upstream whose answer is expected first; None if there is none to try."""
        ready = [
            peer for peer in self._services.get(service, ()) if peer.upstream.instance not in avoid
        ]
        reachable = [peer for peer in ready if peer.paused_until <= now] or ready
        if not reachable:
            return None
        work = self._work_s.get(route, INITIAL_WORK_S)
        moved = body_bytes + self._answer_bytes.get(route, INITIAL_ANSWER_BYTES)
        remote = REMOTE_COST_S + REMOTE_COST_S_PER_BYTE * moved

        def score(peer: Peer) -> float:
            transfer_s = self._expect_transfer(peer, body_bytes, now)
            return self._score(peer, work, remote, now) + transfer_s

        best = min(reachable, key=score)
        return best.upstream

    def count_ready(self, service: ServiceName) -> int:
        """Return the number of upstreams of `service` that calls can go to."""
        return len(self._services.get(service, ()))

    def describe(self, instance: InstanceId, now: float) -> dict[str, FieldValue]:
        """Return what is known of an upstream, for the log; ages are in milliseconds."""
        peer = self._peers.get(instance)
        if peer is None:
            return {"known": False}
        fields: dict[str, FieldValue] = {
            "own": peer.own,
            "slowness": round(peer.slowness, 2),
            "failures": round(peer.expect_failure(now), 2),
        }
        if peer.load is not None:
            fields["running"] = peer.load.running
            fields["waiting"] = peer.load.waiting
            fields["load_age_ms"] = int((now - peer.load_at) * 1000)
        return fields

    def note_sent(self, instance: InstanceId, body_bytes: int = 0) -> None:
        """Count a call handed to the daemon of `instance`."""
        peer = self._peers.get(instance)
        if peer is not None:
            peer.own += 1
            peer.sent_since += 1
            peer.bytes_since += body_bytes

    def note_done(self, instance: InstanceId) -> None:
        """Count the end of a call at `instance`, however it ended."""
        peer = self._peers.get(instance)
        if peer is not None:
            peer.own = max(0, peer.own - 1)

    def note_load(self, instance: InstanceId, load: Load, now: float) -> None:
        """Take in what the daemon beside `instance` says of it."""
        peer = self._peers.get(instance)
        if peer is not None:
            peer.load = load
            peer.load_at = now
            peer.sent_since = 0
            peer.bytes_since = 0
            peer.pause_s = 0.0
            peer.paused_until = 0.0

    def note_answer(
        self,
        instance: InstanceId,
        route: RouteName,
        service_s: float,
        answer_bytes: int,
        failed: bool,
        now: float,
    ) -> None:
        """Learn from an answer how fast and how sound the upstream is."""
        peer = self._peers.get(instance)
        work = max(self._work_s.get(route, service_s), MIN_WORK_S)
        if not failed:
            self._work_s.learn(route, service_s)
            self._answer_bytes.learn(route, answer_bytes)
        if peer is None:
            return
        if not failed:
            ratio = min(max(service_s / work, MIN_SPEED), MAX_SPEED)
            peer.slowness += SPEED_GAIN * (ratio - peer.slowness)
        self._note_outcome(peer, failed, now)

    def note_failure(self, instance: InstanceId, now: float) -> None:
        """Learn that a call failed at `instance`."""
        peer = self._peers.get(instance)
        if peer is not None:
            self._note_outcome(peer, True, now)

    def note_unreachable(self, instance: InstanceId, now: float) -> None:
        """Leave the daemon of `instance` alone for a while."""
        peer = self._peers.get(instance)
        if peer is None or peer.paused_until > now:
            return
        peer.pause_s = min(MAX_PAUSE_S, max(MIN_PAUSE_S, 2 * peer.pause_s))
        peer.paused_until = now + peer.pause_s * self._rng.uniform(0.75, 1.25)

    def _note_outcome(self, peer: Peer, failed: bool, now: float) -> None:
        held = peer.expect_failure(now)
        peer.failures = held + FAILURE_GAIN * ((1.0 if failed else 0.0) - held)
        peer.failures_at = now

    def _score(self, peer: Peer, work: float, remote: float, now: float) -> float:
        """Return the expected time to an answer, with what it costs elsewhere as time."""
        upstream = peer.upstream
        slots = max(1, upstream.slots)
        speed_work = work * peer.slowness
        wait = self._expect_wait(peer, slots, speed_work, now)
        score = wait + speed_work + FAILURE_COST_S * peer.expect_failure(now)
        if upstream.zone != self._zone:
            score += remote
        elif upstream.instance == self._own:
            score -= LOCAL_GAIN_S
        # Senders that see the same loads must not all take the same upstream.
        return score + self._rng.random() * 0.1 * work

    def _expect_transfer(self, peer: Peer, body_bytes: int, now: float) -> float:
        """Return the time until a body of this size is at the peer's daemon."""
        load = peer.load
        if load is None or not body_bytes or peer.upstream.instance == self._own:
            return 0.0
        ahead_s = max(0.0, load.inbound_ms / 1000 - (now - peer.load_at))
        return ahead_s + (peer.bytes_since + body_bytes) / (1000 * load.bytes_per_ms)

    def _expect_wait(self, peer: Peer, slots: int, work: float, now: float) -> float:
        load = peer.load
        if load is None:
            busy = float(peer.own)
        else:
            # What was running when the load was told has partly ended since.
            told = (load.running + load.waiting) * 0.5 ** ((now - peer.load_at) / max(work, 0.01))
            busy = max(told + peer.sent_since, float(peer.own))
        over = busy + 1 - slots
        queued = over * work / slots if over > 0 else 0.0
        # A server near its bound is slower, and more likely full when the call arrives.
        return queued + 0.3 * work * (busy / slots) ** 2
