"""Stand-in for the platform's store: keys, ranges, watches and transactions; it never fails."""

import asyncio
import base64
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from stand_ins_3.http import Message, encode, read_message, split_address


class Store:
    """Keeps all items and their history in memory."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._last_lease = 0
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> None:
        """Listen on `address`."""
        ip, port = split_address(address)
        self._server = await asyncio.start_server(self._serve, ip, port, limit=1 << 22)

    def write(self, key: str, value: object) -> None:
        """Write a value as the operator does."""
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def read(self, key: str) -> Any:
        """Return the value at `key`; None if there is none."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until anything is written, at most `timeout_s`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()

    def _put(self, key: str, value: str, lease: int) -> None:
        self.revision += 1
        previous = self.items.get(key)
        created = previous["created"] if previous else self.revision
        item = {"key": key, "value": value, "revision": self.revision}
        self.items[key] = {**item, "created": created, "lease": lease}
        self._record(self.items[key])

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "removed": True})

    def _record(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                status, content = await self._execute(request)
                headers = {"Content-Type": "application/json"}
                body = json.dumps(content).encode()
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            # The client has left, or the run has ended.
            pass
        finally:
            writer.close()

    async def _execute(self, request: Message) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name, _, _ = parts.path.removeprefix("/godwitpass/").partition("/")
        content = json.loads(request.body) if request.body else {}
        match name:
            case "kv-key":
                item = self.items.get(query["key"])
                return (200 if item else 404), {**(item or {}), "asOf": self.revision}
            case "kv-range":
                prefix, after = query["pathPrefix"], query.get("after", "")
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
                items = [self.items[key] for key in keys]
                return 200, {"items": items, "morePages": False, "asOf": self.revision}
            case "kv-watch":
                return await self._watch(query)
            case "kv-txn":
                return self._run_transaction(content)
            case "kv-lease":
                self._last_lease += 1
                return 200, {"lease": self._last_lease, "ttl_time": content["ttl_time"]}
            case "kv-keep":
                return 200, {"ttl_time": "3000ms"}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(query["waitMs"]) / 1000
        prefix, after = query["pathPrefix"], int(query["after"])
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events or loop.time() >= deadline:
                return 200, {"events": events, "asOf": self.revision}
            await self.wait_for_change(deadline - loop.time())

    def _run_transaction(self, content: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in content.get("precondition", ()):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                rows = [item for row in content["precondition"] if (item := self._find(row["key"]))]
                return 412, {"items": rows}
        for put in content.get("puts", ()):
            if put["key"].startswith(("op/", "servers/")):
                return 403, {}
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in content.get("deletes", ()):
            self._delete(key)
        return 200, {"revision": self.revision}

    def _find(self, key: str) -> dict[str, Any]:
        return self.items.get(key, {"key": key, "value": "", "revision": 0})
