"""Connections of a client to the store."""

from collections import Counter
from collections.abc import Mapping

import anyio
import httpcore

MAX_CONNECTIONS = 8
MAX_IDLE_CONNECTIONS = 2
IDLE_CONNECTION_TIMEOUT_S = 4.0


class StoreConnections:
    """A pool of connections, which is replaced after a request that was not answered.

    What silences one connection may have silenced all, so later requests open new ones.
    """

    def __init__(self) -> None:
        self._pool = _open_pool()
        self._request_counts: Counter[httpcore.AsyncConnectionPool] = Counter()

    async def request(
        self,
        method: str,
        url: str,
        headers: Mapping[str | bytes, str | bytes] | None,
        content: bytes | None,
        timeouts: Mapping[str, float],
    ) -> httpcore.Response:
        """Send a request and return its response in full; `timeouts` are those of httpcore."""
        pool = self._pool
        self._request_counts[pool] += 1
        try:
            return await pool.request(
                method,
                url,
                headers=headers,
                content=content,
                extensions={"timeout": dict(timeouts)},
            )
        except (httpcore.ReadTimeout, httpcore.WriteTimeout):
            if pool is self._pool:
                self._pool = _open_pool()
            raise
        finally:
            self._request_counts[pool] -= 1
            if not self._request_counts[pool]:
                del self._request_counts[pool]
                if pool is not self._pool:
                    with anyio.CancelScope(shield=True):
                        await pool.aclose()

    async def close(self) -> None:
        """Close all connections."""
        for pool in {self._pool, *self._request_counts}:
            await pool.aclose()


def _open_pool() -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_IDLE_CONNECTIONS,
        keepalive_expiry=IDLE_CONNECTION_TIMEOUT_S,
    )
