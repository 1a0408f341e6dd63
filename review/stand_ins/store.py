"""Stand-in for the platform's key-value store."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from stand_ins.http import Message, Reader, Writer, encode, read_message, split_address

FIRST_REVISION = 100


class Store:
    """Keeps all entries and the whole history; leases never end."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()
        self._last_lease = 0

    async def start(self, address: str) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, *split_address(address))

    def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def put(self, key: str, value: bytes) -> int:
        """Write an entry and return its revision, as the operator or another writer does."""
        self.revision += 1
        created = self._items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self._items[key] = item
        self._record(item)
        return self.revision

    def list_keys(self) -> list[str]:
        """Return the keys of all entries."""
        return sorted(self._items)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "removed": True})

    def _record(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                status, content = await self._handle(request)
                body = json.dumps(content).encode()
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message) -> tuple[int, Any]:
        _, target, _ = request.start_line.split()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path.removeprefix("/godwitpass/")
        body = json.loads(request.body) if request.body else {}
        if call == "kv-key":
            item = self._items.get(query["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if call == "kv-range":
            items = self._select(query["pathPrefix"])
            return 200, {"items": items, "morePages": False, "asOf": self.revision}
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-txn":
            return self._run_transaction(body)
        if call == "kv-lease":
            self._last_lease += 1
            return 200, {"lease": self._last_lease, "ttl_time": body["ttl_time"]}
        return 200, {"ttl_time": "3000ms"}

    def _select(self, prefix: str) -> list[dict[str, Any]]:
        return [self._items[key] for key in sorted(self._items) if key.startswith(prefix)]

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        prefix, after = query["pathPrefix"], int(query["after"])
        deadline = asyncio.get_running_loop().time() + int(query["waitMs"]) / 1000
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            if events:
                break
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                break
        return 200, {"events": events, "asOf": self.revision}

    def _run_transaction(self, body: dict[str, Any]) -> tuple[int, Any]:
        for row in body.get("precondition", ()):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                items = [self._items[r["key"]] for r in body["precondition"] if r["key"] in self]
                return 412, {"items": items}
        for row in body.get("puts", ()):
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            self.put(row["key"], base64.b64decode(row["value"]))
        for key in body.get("deletes", ()):
            self._delete(key)
        return 200, {"revision": self.revision}

    def __contains__(self, key: str) -> bool:
        return key in self._items
