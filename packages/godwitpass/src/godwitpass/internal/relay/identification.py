"""Which upstream stands beside a daemon that has just started."""

import math
from collections.abc import Callable

import msgspec

from godwitpass.ids import InstanceId
from godwitpass.internal.relay.registration import Heartbeat, is_newer_heartbeat

MAX_CLAIMS = 8
"""Upstreams whose unconfirmed heartbeats are kept; the one heard of least recently is dropped."""


class HealthCheck(msgspec.Struct, frozen=True):
    """Result of a health check that was sent at `sent_at`, in seconds of the event loop's clock.

    `upstream` is empty if the check was not answered or the answer names no instance.
    """

    upstream: InstanceId
    is_healthy: bool
    sent_at: float


class Identification:
    """Confirms the first registration after a start of the daemon.

    The process before this one may have acknowledged that an upstream leaves, and the address may
    have gone to an upstream of another service. A heartbeat may be older than both, so it is only a
    claim until a health check names its upstream. A health check names no service, so it needs a
    claim. An upstream without a health check is confirmed by its second heartbeat.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._claims: dict[InstanceId, Heartbeat] = {}
        self._healthy: InstanceId | None = None
        self._valid_from = -math.inf
        self._has_unchecked_claim = False
        self._was_checked = False

    @property
    def needs_check(self) -> bool:
        """Return whether a health check may bring something new."""
        return not self.is_complete and (self._has_unchecked_claim or not self._was_checked)

    @property
    def newest_claim(self) -> Heartbeat | None:
        """Return the claim that was received last; None without one."""
        return next(reversed(self._claims.values()), None)

    def receive(self, heartbeat: Heartbeat, has_health_check: bool) -> bool:
        """Keep a heartbeat as a claim; return whether it is confirmed."""
        previous = self._claims.get(heartbeat.upstream)
        if previous is not None and not is_newer_heartbeat(heartbeat, previous):
            return False
        self._claims.pop(heartbeat.upstream, None)
        self._claims[heartbeat.upstream] = heartbeat
        while len(self._claims) > MAX_CLAIMS:
            del self._claims[next(iter(self._claims))]
        if not has_health_check:
            return previous is not None and previous.started_ms == heartbeat.started_ms
        if heartbeat.upstream == self._healthy:
            return True
        self._has_unchecked_claim = True
        return False

    def record_check(self, check: HealthCheck) -> Heartbeat | None:
        """Record a health check; return the claim that it confirms."""
        self._was_checked = True
        if self.is_complete or not check.upstream or check.sent_at < self._valid_from:
            return None
        self._healthy = check.upstream if check.is_healthy else None
        if self._healthy is None:
            return None
        # Claims of other upstreams are late heartbeats until they send the next one.
        self._has_unchecked_claim = False
        return self._claims.get(self._healthy)

    def withdraw(self, upstream: InstanceId, now: float) -> None:
        """Drop what is known of an upstream that leaves; checks sent before `now` don't count."""
        self._claims.pop(upstream, None)
        self._valid_from = now
        if self._healthy == upstream:
            self._healthy = None

    def discard_claims(self, is_unusable: Callable[[Heartbeat], bool]) -> None:
        """Drop the claims that can't be used."""
        self._claims = {
            upstream: claim for upstream, claim in self._claims.items() if not is_unusable(claim)
        }
