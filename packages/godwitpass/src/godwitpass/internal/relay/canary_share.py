"""Divides the calls of one daemon between the servers in service and the canaries of a roll-out."""

import random
from collections.abc import Sequence
from typing import TypeVar

from godwitpass.ids import ServiceName
from godwitpass.mesh import Upstream

T = TypeVar("T")


class CanaryShares:
    """Sends a share of the calls to canaries by error diffusion, with a random start.

    So a daemon never exceeds the share by a whole call, and all daemons together don't on average.
    The remainder of a service is kept when canaries come and go.
    """

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._remainders: dict[ServiceName, float] = {}

    def takes_canary(self, service: ServiceName, share: float) -> bool:
        """Count a call to `service`; return whether it goes to a canary."""
        remainder = self._remainders.get(service)
        if remainder is None:
            remainder = self._random.random()
        remainder += share
        is_taken = remainder >= 1
        self._remainders[service] = remainder - 1 if is_taken else remainder
        return is_taken

    def choose_group(
        self,
        service: ServiceName,
        ordinary: Sequence[T],
        canaries: Sequence[tuple[T, Upstream]],
        is_repeated: bool,
    ) -> Sequence[T]:
        """Return the upstreams among which a call is sent; it may be empty.

        A repeated attempt goes to an upstream in service. No other call than those of the share
        goes to a canary, even if there is no other upstream, unless the share is 1.
        """
        share = max(upstream.canary_share for _, upstream in canaries)
        stats = [item for item, _ in canaries]
        if share >= 1:
            return ordinary if is_repeated and ordinary else stats
        if is_repeated or not self.takes_canary(service, share):
            return ordinary
        return stats
