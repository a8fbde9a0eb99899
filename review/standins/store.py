"""The platform's store: lists in pages, watches, objects by kind and name."""

import asyncio
import json
import time
from typing import Any
from urllib import parse

from standins import http
from standins import record as record_lib

# The pages of the protocol allow about 500 objects in one answer.
PAGE_SIZE = 500
PREFIX = "/-/objects/"
MS_PER_S = 1_000.0


class Store:
    """A store that loses nothing; every answer tells the present state.

    Attributes:
        answer_s: How long each answer takes; the sheet says 4 ms.
        refuses: Whether it answers every call with 503.
        revision: Its revision counter.
    """

    def __init__(self, record: record_lib.Record) -> None:
        """Creates an empty store."""
        self._record = record
        self.answer_s = 0.004
        self.revision = 100
        self.refuses = False
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._channels: set[http.Channel] = set()
        self._silent: set[http.Channel] = set()

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> int:
        """Writes an object; returns the revision of the change."""
        kinds = self._objects.setdefault(kind, {})
        known = kinds.get(name)
        if known is not None and known["spec"] == spec:
            return self.revision
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        kinds[name] = {"metadata": metadata, "spec": spec, "status": {}}
        self._add_event(kind, kinds[name], deleted=False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        gone = self._objects.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            self._add_event(kind, gone, deleted=True)

    def fail(self) -> None:
        """Answers every call with 503 from now on, open watches too."""
        self.refuses = True
        self._wake()

    def recover(self) -> None:
        """Answers calls again."""
        self.refuses = False

    def silence(self) -> None:
        """Lets all open channels fall silent for good; new ones work."""
        self._silent |= self._channels

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _add_event(
        self, kind: str, item: dict[str, Any], *, deleted: bool
    ) -> None:
        event = {"object": item, "deleted": deleted}
        self._events.append((self.revision, kind, event))
        self._wake()

    async def handle(
        self, request: http.Request, channel: http.Channel
    ) -> None:
        """Answers one call."""
        self._channels.add(channel)
        url = parse.urlsplit(request.target)
        query = dict(parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        # Half of the time passes on the way, half on the way back.
        await asyncio.sleep(self.answer_s / 2)
        status, body = 200, {}
        if self.refuses:
            status = 503
        elif request.method == "POST":
            status, body = self._create(kind, json.loads(request.body))
        elif request.method == "DELETE":
            self.delete(kind, name)
        elif request.method != "GET":
            status = 400
        elif name:
            body = self._objects.get(kind, {}).get(name, {})
            status = 200 if body else 404
        elif "watch" in query:
            status, body = await self._watch(kind, query)
        else:
            body = self._page(kind, query.get("after", ""))
        await asyncio.sleep(self.answer_s / 2)
        if channel in self._silent:
            await asyncio.Event().wait()
        headers = {"Content-Type": "application/json"}
        data = json.dumps(body).encode()
        await channel.write(http.encode(status, headers, data))

    def _create(
        self, kind: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        name = body["metadata"]["name"]
        known = self._objects.get(kind, {}).get(name)
        if known is not None:
            return 409, known
        self.put(kind, name, body.get("spec") or {})
        return 201, self._objects[kind][name]

    def _page(self, kind: str, after: str) -> dict[str, Any]:
        kinds = self._objects.get(kind, {})
        names = sorted(name for name in kinds if name > after)
        page = names[:PAGE_SIZE]
        more = len(names) > len(page)
        if after or more:
            self._record.write(
                "page", kind=kind, after=after, more=more, at=self.revision
            )
        return {
            "items": [kinds[name] for name in page],
            "hasMore": more,
            "at": self.revision,
        }

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        since = int(query["watch"])
        until_s = time.monotonic() + int(query.get("waitMs", 0)) / MS_PER_S
        while not self.refuses:
            changed = self._changed
            events = [
                event
                for revision, event_kind, event in self._events
                if revision > since and event_kind == kind
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue
        return 503, {}
