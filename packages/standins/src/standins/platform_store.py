"""The object store of the users' platform: lists, watches and outages."""

import collections
from collections.abc import Callable
import copy
import dataclasses
import json
import random
import time
from typing import Any

import anyio

from standins import web

MS_PER_S = 1_000.0
PAGE_SIZE = 50
# A page ends with the object that reaches this size.
PAGE_BYTES = 1_000_000
PATH_PREFIX = "/-/objects/"


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that a test turns on while the store runs.

    Attributes:
        loses_answers: Whether writes succeed but are never answered.
        refuses: Whether every call returns 503.
        silent: Whether calls, including open watches, are accepted but never
            answered.
        holds: Whether watches are answered only after this is cleared, as by
            a paused store.
        delay_ms: How late each answer is.
        throttled_fraction: Fraction of the calls that return 429.
    """

    loses_answers: bool = False
    refuses: bool = False
    silent: bool = False
    holds: bool = False
    delay_ms: float = 0.0
    throttled_fraction: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class RawJson:
    """JSON that is stored as text, such as a value that Python cannot hold."""

    text: str


def encode(body: dict[str, Any]) -> bytes:
    """Encodes an answer of the store, which may contain ``RawJson``."""
    raw: list[str] = []

    def mark(value: RawJson) -> str:
        raw.append(value.text)
        return f"\0raw {len(raw) - 1}\0"

    text = json.dumps(body, default=mark)
    for number, value in enumerate(raw):
        text = text.replace(json.dumps(f"\0raw {number}\0"), value)
    return text.encode()


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A copy of the store's objects at a revision."""

    objects: dict[str, dict[str, dict[str, Any]]]
    revision: int


class PlatformStore:
    """Objects by kind and name, with one revision counter.

    Attributes:
        era: Number of the store's history; each restore increments it.
        page_size: Maximum number of objects on a page of a list.
        loses: Whether the answer to a watch, by its kind and request, is lost;
            its connection stays open.
        on_page: Called with the kind after each page that is not the last, so
            that a test can change objects between pages.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.oldest = 0
        self.revision = 0
        self.era = 1
        self.page_size = PAGE_SIZE
        self.on_page: Callable[[str], None] = lambda kind: None
        self.loses: Callable[[str, web.Request], bool] = lambda kind, request: (
            False
        )
        self.calls: collections.Counter[str] = collections.Counter()
        self.faults = Faults()
        self._random = random.Random(1)
        self._changed = anyio.Event()
        self._cut_count = 0
        self._clients: set[tuple[str, int]] = set()
        self._silent_clients: set[tuple[str, int]] = set()

    def put(self, kind: str, name: str, spec: dict[str, Any] | RawJson) -> None:
        """Writes an object, as the operator or a target does."""
        self.revision += 1
        kinds = self.objects.setdefault(kind, {})
        before = kinds.get(name)
        created = self.revision
        if before is not None:
            created = before["metadata"]["created"]
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        kinds[name] = {"metadata": metadata, "spec": spec, "status": None}
        self._record_event(kind, {"object": kinds[name], "deleted": False})

    def delete(self, kind: str, name: str) -> None:
        """Removes an object if it exists."""
        gone = self.objects.get(kind, {}).pop(name, None)
        if gone is None:
            return
        self.revision += 1
        self._record_event(kind, {"object": gone, "deleted": True})

    def _record_event(self, kind: str, event: dict[str, Any]) -> None:
        self.history.append((self.revision, kind, event))
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def cut_watches(self) -> None:
        """Breaks the connections of open watches, and no others."""
        self._cut_count += 1
        self._notify_watches()

    def silence_connections(self) -> None:
        """Makes all connections so far silent for good; new ones work."""
        self._silent_clients |= self._clients
        self._clients.clear()
        self._notify_watches()

    def release(self) -> None:
        """Answers the watches that were held."""
        self.faults.holds = False
        self._notify_watches()

    def compact(self) -> None:
        """Drops the history."""
        self.history.clear()
        self.oldest = self.revision

    def snapshot(self) -> Snapshot:
        """Returns a copy of all objects."""
        return Snapshot(copy.deepcopy(self.objects), self.revision)

    def restore(self, snapshot: Snapshot) -> None:
        """Replaces the objects with a snapshot's and begins a new era.

        Revisions continue from the snapshot's, and so are reused. A watch
        from a later revision returns 410 until that revision is reached again.
        """
        self.objects = copy.deepcopy(snapshot.objects)
        self.revision = snapshot.revision
        self.history = [
            event for event in self.history if event[0] <= snapshot.revision
        ]
        self.oldest = min(self.oldest, snapshot.revision)
        self.era += 1
        self._notify_watches()

    async def handle(self, request: web.Request) -> None:
        """Handles one call, and adds the era to the response headers."""
        era = (b"store-era", str(self.era).encode())

        async def send(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start":
                message = message | {"headers": [*message["headers"], era]}
            await request.send(message)

        await self._handle(dataclasses.replace(request, send=send))

    async def _handle(self, request: web.Request) -> None:
        kind, _, name = request.path.removeprefix(PATH_PREFIX).partition("/")
        self.calls[kind] += 1
        self._clients.add(request.client)
        if self._is_silent(request):
            await anyio.sleep_forever()
        if self.faults.refuses:
            await request.reply({}, status=503)
            return
        await anyio.sleep(self.faults.delay_ms / MS_PER_S)
        if self._random.random() < self.faults.throttled_fraction:
            await request.reply({}, status=429)
            return
        if request.method == "POST":
            await self._create(request, kind)
            return
        if request.method == "DELETE":
            await self._remove(request, kind, name)
            return
        if "watch" in request.query:
            await self._watch(request, kind)
            return
        names = sorted(self.objects.get(kind, {}))
        after = request.query.get("after", "")
        page: list[str] = []
        items: list[dict[str, Any]] = []
        size_bytes = 0
        for name in names:
            if len(page) >= self.page_size or size_bytes >= PAGE_BYTES:
                break
            if name > after:
                page.append(name)
                items.append(self.objects[kind][name])
                size_bytes += len(encode(items[-1]))
        more = bool(page) and page[-1] != names[-1]
        body = {"items": items, "hasMore": more, "at": self.revision}
        body = copy.deepcopy(body)
        if more:
            self.on_page(kind)
        await request.reply(encode(body))

    def _is_silent(self, request: web.Request) -> bool:
        return self.faults.silent or request.client in self._silent_clients

    async def _create(self, request: web.Request, kind: str) -> None:
        body = request.json()
        name = body["metadata"]["name"]
        known = self.objects.get(kind, {}).get(name)
        if known is not None:
            await request.reply(encode(known), status=409)
            return
        self.put(kind, name, body["spec"])
        if self.faults.loses_answers:
            await anyio.sleep_forever()
        await request.reply(encode(self.objects[kind][name]), status=201)

    async def _remove(self, request: web.Request, kind: str, name: str) -> None:
        if name not in self.objects.get(kind, {}):
            await request.reply({}, status=404)
            return
        self.delete(kind, name)
        await request.reply({})

    async def _watch(self, request: web.Request, kind: str) -> None:
        since = int(request.query["watch"])
        wait_s = int(request.query.get("waitMs", 0)) / MS_PER_S
        until_s = time.monotonic() + wait_s
        cut_count = self._cut_count
        while True:
            if self._is_silent(request):
                await anyio.sleep_forever()
            if cut_count != self._cut_count:
                # The server closes a connection whose response is incomplete.
                await request.start(200, "text/plain", {"content-length": "9"})
                return
            if self.faults.refuses:
                await request.reply({}, status=503)
                return
            if not self.oldest <= since <= self.revision:
                await request.reply({}, status=410)
                return
            events = [
                event
                for revision, event_kind, event in self.history
                if revision > since and event_kind == kind
            ]
            remaining_s = until_s - time.monotonic()
            if self.faults.holds:
                await self._changed.wait()
                continue
            if events or remaining_s <= 0:
                if self.loses(kind, request):
                    await anyio.sleep_forever()
                body = {"events": events, "at": self.revision}
                await request.reply(encode(body))
                return
            with anyio.move_on_after(remaining_s):
                await self._changed.wait()
