"""Identifies the upstream beside a daemon that has just started."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Awaitable, Callable

from godwitpass.ids import InstanceId
from godwitpass.internal.relay import events as kinds
from godwitpass.internal.relay.identification import HealthCheck, Identification
from godwitpass.internal.relay.registration import Heartbeat
from godwitpass_daemon.relay.call_log import Emit
from godwitpass_daemon.relay.probe import Health

CHECK_INTERVAL_S = 1.0
"""Time after which a health check that confirmed nothing is repeated."""

SendCheck = Callable[[Heartbeat | None], Awaitable[Health | None]]
"""Sends a health check to the address of a claim; returns None without an answer."""


class UpstreamIdentifier:
    """Checks the upstream's health until a heartbeat is confirmed; see `Identification`."""

    def __init__(
        self,
        now: Callable[[], float],
        has_health_check: Callable[[Heartbeat | None], bool],
        send_check: SendCheck,
        register: Callable[[Heartbeat], object],
        is_foreign: Callable[[Heartbeat], bool],
        emit: Emit,
    ) -> None:
        self.check_counts: Counter[str] = Counter()
        self._now = now
        self._has_health_check = has_health_check
        self._send_check = send_check
        self._register = register
        self._is_foreign = is_foreign
        self._emit = emit
        self._identification = Identification()
        self._changed = asyncio.Event()
        self._checked = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Return whether an upstream is registered."""
        return self._identification.is_complete

    def receive(self, heartbeat: Heartbeat, has_health_check: bool) -> bool:
        """Return whether a heartbeat is confirmed; an unconfirmed one leads to a health check."""
        if self._identification.is_complete:
            return True
        self._changed.set()
        return self._identification.receive(heartbeat, has_health_check)

    def withdraw(self, upstream: InstanceId) -> None:
        """Drop what is known of an upstream that leaves."""
        self._identification.withdraw(upstream, self._now())

    def finish(self) -> None:
        """End the identification, as an upstream is registered."""
        self._identification.is_complete = True
        self._changed.set()
        self._checked.set()

    def discard_foreign_claims(self) -> None:
        """Drop the claims that the first configuration shows to be of no use."""
        self._identification.discard_claims(self._is_foreign)
        self._changed.set()

    async def wait_until_checked(self) -> None:
        """Wait until one health check has ended, or the upstream is registered."""
        await self._checked.wait()

    async def run(self) -> None:
        """Check the upstream's health until it is registered."""
        identification = self._identification
        while not identification.is_complete:
            self._changed.clear()
            if self._can_check():
                await self._check()
            if not identification.is_complete:
                await self._wait_for_change(CHECK_INTERVAL_S if self._can_check() else None)

    def _can_check(self) -> bool:
        identification = self._identification
        return identification.needs_check and self._has_health_check(identification.newest_claim)

    async def _wait_for_change(self, timeout_s: float | None) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    async def _check(self) -> None:
        sent_at = self._now()
        claim = self._identification.newest_claim
        health = await self._send_check(claim)
        result = _describe_result(health)
        self.check_counts[result] += 1
        self._emit(
            kinds.UPSTREAM_IDENTITY_CHECKED,
            {
                "upstream": health.upstream if health else "",
                "result": result,
                "claimed": claim.upstream if claim else "",
                "claimed_service": claim.service if claim else "",
            },
        )
        has_answer = health is not None and not health.head.is_not_run
        confirmed = self._identification.record_check(
            HealthCheck(
                InstanceId(health.upstream if health and has_answer else ""),
                health is not None and health.is_healthy,
                sent_at,
            )
        )
        if confirmed is not None:
            self._register(confirmed)
        self._checked.set()


def _describe_result(health: Health | None) -> str:
    if health is None:
        return "no answer"
    if health.head.is_not_run:
        return "busy"
    return "healthy" if health.is_healthy else "unhealthy"
