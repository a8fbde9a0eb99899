"""The platform's store: objects, lists and watches, as PROTOCOL.md has them."""

import asyncio
from collections.abc import Callable
import contextlib
import json
import time
from typing import Any

from second import wire

PREFIX = "/-/objects/"
PAGE = 500
# Entries of runners go after three check-in intervals of silence.
HEARTBEAT_S = 1.2
EXPIRY_S = 3 * HEARTBEAT_S


class Store:
    """Objects by kind and name, with one revision counter.

    Attributes:
        loses: Whether the answer to a call is lost, by the call and the address
            that it came to. Its channel returns nothing further.
        lost_count: Number of answers that were lost.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.loses: Callable[[wire.Request, str], bool] = lambda call, own: (
            False
        )
        self.lost_count = 0
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._renewed_at: dict[str, float] = {}
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts listening at an address, the first one or a further one."""
        server = await asyncio.start_server(self._serve, host, port)
        self._servers.append(server)
        if not self._tasks:
            self._tasks.add(asyncio.create_task(self._expire()))

    async def stop(self) -> None:
        """Stops listening and ends its tasks."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.sleep(0)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object; returns its revision."""
        kinds = self.objects.setdefault(kind, {})
        before = kinds.get(name)
        if kind == "servers":
            self._renewed_at[name] = time.monotonic()
        if before is not None and before["spec"] == spec:
            return before["metadata"]["revision"]
        self.revision += 1
        created = before["metadata"]["created"] if before else self.revision
        kinds[name] = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._record(kind, {"object": kinds[name], "deleted": False})
        return self.revision

    def delete(self, kind: str, name: str) -> bool:
        """Removes an object; returns whether there was one."""
        gone = self.objects.get(kind, {}).pop(name, None)
        if gone is None:
            return False
        self.revision += 1
        self._record(kind, {"object": gone, "deleted": True})
        return True

    def _record(self, kind: str, event: dict[str, Any]) -> None:
        self._history.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for name in list(self.objects.get("servers", {})):
                if now - self._renewed_at[name] > EXPIRY_S:
                    self.delete("servers", name)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        own = writer.get_extra_info("sockname")[0]
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while request := await wire.read_request(reader):
                status, body = await self._answer(request)
                if self.loses(request, own):
                    self.lost_count += 1
                    await reader.read()
                    break
                writer.write(wire.json_answer(status, body))
                await writer.drain()
        writer.close()

    async def _answer(self, request: wire.Request) -> tuple[int, Any]:
        kind, _, name = request.path.removeprefix(PREFIX).partition("/")
        objects = self.objects.setdefault(kind, {})
        if request.method == "GET":
            if name:
                found = objects.get(name)
                return (200, found) if found else (404, {})
            if "watch" in request.query:
                return await self._watch(kind, request.query)
            names = sorted(objects)
            after = request.query.get("after", "")
            page = [one for one in names if one > after][:PAGE]
            more = bool(page) and page[-1] != names[-1]
            items = [objects[one] for one in page]
            return 200, {"items": items, "hasMore": more, "at": self.revision}
        if request.method == "DELETE":
            return (200, {}) if self.delete(kind, name) else (404, {})
        body = json.loads(request.body)
        name = name.removesuffix("/status") or body["metadata"]["name"]
        if request.method == "POST" and name in objects:
            return 409, objects[name]
        self.put(kind, name, body.get("spec"))
        return (201 if request.method == "POST" else 200), objects[name]

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [
                event
                for revision, its_kind, event in self._history
                if revision > since and its_kind == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
