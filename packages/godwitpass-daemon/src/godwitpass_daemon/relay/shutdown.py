"""The end of a stopping relay: what it still owes, and how its connections close."""

from typing import TYPE_CHECKING

import anyio
import msgspec

if TYPE_CHECKING:
    from godwitpass_daemon.relay.core import RelayCore

FIRST_REQUEST_WAIT_S = 0.1
"""Time for the first request on a connection that was opened just before the listeners closed."""

LAST_CLOSE_S = 0.1
"""Time in which callers have to close their side of the connections that the daemon closes."""

LAST_CLOSE_POLL_S = 0.01


class Unfinished(msgspec.Struct, frozen=True):
    """Numbers of requests that end without a complete response if the process ends now.

    A request of a local caller is `receiving` while its body arrives, `waiting` until a
    configuration or a rate limit admits it, and in `calls` from then on. `jobs` are the calls at
    the local upstream, whichever daemon has taken them from their callers. `unsent` counts the
    connections whose other side has yet to take parts of responses.
    """

    receiving: int
    waiting: int
    calls: int
    jobs: int
    unsent: int

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is lost if the process ends now."""
        return not (self.receiving or self.waiting or self.calls or self.jobs or self.unsent)


def count_unfinished(core: "RelayCore") -> Unfinished:
    """Count what is unfinished; bodies count while their requests can still be run in time."""
    callers, peers = core.caller_connections, core.inbound_links.connections
    return Unfinished(
        receiving=sum(caller.receives_request_in_time for caller in callers),
        waiting=len(core.requests_awaiting_configuration) + core.admission.waiting_count,
        calls=core.calls_in_progress,
        jobs=core.runner.calls_in_progress,
        unsent=sum(caller.has_unsent_output for caller in callers)
        + sum(peer.has_unsent_output for peer in peers),
    )


async def close_caller_connections(core: "RelayCore") -> int:
    """Refuse what still arrives, close the connections, and return how many callers did not."""
    for connection in list(core.caller_connections):
        connection.refuse_incomplete_request()
    now = core.now()
    wait_until, close_until = now + FIRST_REQUEST_WAIT_S, now + FIRST_REQUEST_WAIT_S + LAST_CLOSE_S
    while core.caller_connections and core.now() < close_until:
        for connection in list(core.caller_connections):
            if not connection.is_new or core.now() >= wait_until:
                connection.close_if_idle()
        await anyio.sleep(LAST_CLOSE_POLL_S)
    return len(core.caller_connections)
