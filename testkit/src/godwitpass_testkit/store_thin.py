"""Stand-in key-value service: one process in memory, spoken to over HTTP."""

import asyncio
import sys
import time

import msgspec
import uvicorn

from godwitpass.ids import LeaseId, Revision
from godwitpass.store import Entry, PutResult, WatchResult

Scope = dict[str, object]


class StoreState:
    """Entries, leases and the change log of the stand-in."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, Entry] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.owned: dict[str, int] = {}
        self.changed = asyncio.Event()

    def get(self, key: str) -> Entry:
        """Return the entry at `key`."""
        return self.entries.get(key, Entry(key, None, Revision(0)))

    def list(self, prefix: str, after: int) -> WatchResult:
        """Return the entries below `prefix` changed after a revision."""
        found = [
            entry
            for entry in self.entries.values()
            if entry.key.startswith(prefix) and entry.revision > after
        ]
        found.sort(key=lambda entry: entry.revision)
        return WatchResult(Revision(self.revision), tuple(found))

    def put(
        self, key: str, value: bytes | None, expected: int | None, lease: int | None
    ) -> PutResult:
        """Write conditionally."""
        current = self.get(key)
        held = current.revision if current.value is not None else 0
        if expected is not None and expected != held:
            return PutResult(False, current)
        self.revision += 1
        entry = Entry(key, value, Revision(self.revision))
        self.entries[key] = entry
        self.owned.pop(key, None)
        if lease is not None:
            self.owned[key] = lease
        self.changed.set()
        self.changed = asyncio.Event()
        return PutResult(True, entry)

    def expire(self, now: float) -> None:
        """Delete the keys of lapsed leases."""
        for lease, (_, deadline) in list(self.leases.items()):
            if deadline <= now:
                self.drop_lease(lease)

    def drop_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        self.leases.pop(lease, None)
        for key in [key for key, owner in self.owned.items() if owner == lease]:
            self.put(key, None, None, None)


class Request(msgspec.Struct):
    """One call; fields unused by an operation stay unset."""

    operation: str
    key: str = ""
    value: bytes | None = None
    expected: int | None = None
    lease: int | None = None
    after: int = 0
    seconds: float = 0.0


async def answer(state: StoreState, request: Request) -> object:
    """Carry out one call."""
    now = time.monotonic()
    state.expire(now)
    match request.operation:
        case "get":
            return state.get(request.key)
        case "list":
            return state.list(request.key, 0)
        case "put" | "delete":
            return state.put(request.key, request.value, request.expected, request.lease)
        case "watch":
            return await wait_for_change(state, request)
        case "grant":
            lease = LeaseId(len(state.leases) + int(now * 1000))
            state.leases[lease] = (request.seconds, now + request.seconds)
            return lease
        case "renew":
            return renew(state, request, now)
        case "revoke":
            state.drop_lease(request.lease or 0)
            return None
        case _:
            raise ValueError(request.operation)


def renew(state: StoreState, request: Request, now: float) -> bool:
    """Renew a lease that has not lapsed."""
    lease = request.lease or 0
    if lease not in state.leases:
        return False
    ttl, _ = state.leases[lease]
    state.leases[lease] = (ttl, now + ttl)
    return True


async def wait_for_change(state: StoreState, request: Request) -> WatchResult:
    """Hold a watch until something below its prefix changed."""
    deadline = time.monotonic() + request.seconds
    while True:
        result = state.list(request.key, request.after)
        remaining = deadline - time.monotonic()
        if result.entries or remaining <= 0:
            return result
        try:
            async with asyncio.timeout(min(remaining, 1.0)):
                await state.changed.wait()
        except TimeoutError:
            state.expire(time.monotonic())


def build_application(state: StoreState):  # type: ignore[no-untyped-def]
    """Build the ASGI application."""

    async def application(scope, receive, send) -> None:  # type: ignore[no-untyped-def]
        if scope["type"] != "http":
            return
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        reply = await answer(state, msgspec.msgpack.decode(body, type=Request))
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": msgspec.msgpack.encode(reply)})

    return application


def main() -> None:
    """Serve on the port given as the first argument."""
    state = StoreState()
    uvicorn.run(build_application(state), port=int(sys.argv[1]), log_level="warning")


if __name__ == "__main__":
    main()
