"""Client for the platform's object store."""

from collections.abc import Callable
import dataclasses
import json
from typing import Any

from radishstack import result
from radishstack.process import availability
from radishstack.process import paged_list

from radishd import store_client
from radishd.connection import http_client
from radishd.platform import wire
from radishd.process import metrics as metrics_lib
from radishd.process import stored

HTTP_SUCCESS = range(200, 300)
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
PATH_PREFIX = "/-/objects/"
_ERA_HEADER = b"store-era"
# Wait time of a watch that is repeated.
SECOND_WAIT_MS = 50
MAX_PAGES = 1_000


class Store:
    """Reads and writes objects; counts every call, since each is billed.

    Attributes:
        on_restored: Called before an answer with a later era is returned.
        era: Latest era received from the store, 0 if none.
    """

    def __init__(self, address: str, metrics: metrics_lib.Metrics) -> None:
        """Creates the client without connecting.

        Args:
            address: ``ip:port`` of the store.
            metrics: Metrics that count the calls.
        """
        self._client = store_client.StoreClient(address, metrics)
        self._metrics = metrics
        self.on_restored: Callable[[], None] = lambda: None
        self.era = 0

    async def list(
        self, kind: str, *, stale: bool = False
    ) -> result.Outcome[stored.Batch]:
        """Reads all objects of a kind, page by page.

        Args:
            kind: Kind of object.
            stale: Whether data that is seconds old suffices; it costs less.
        """
        pages: paged_list.PagedList[stored.Record] = paged_list.PagedList()
        nameless_count = 0
        after = ""
        era: int | None = None
        for _ in range(MAX_PAGES):
            fields = ["staleOk=1"] if stale else []
            if after:
                fields.append(f"after={after}")
            query = "?" + "&".join(fields) if fields else ""
            body = await self._client.read(
                store_client.Read(kind, f"{PATH_PREFIX}{kind}{query}"),
                self._interpret,
            )
            if isinstance(body, result.Failure):
                return body
            if isinstance(body, stored.Expired):
                return result.Failure(result.STORE_CORRUPT, f"list of {kind}")
            era = body.era if era is None else era
            if body.era != era:
                return result.Failure(
                    result.STORE_UNAVAILABLE,
                    f"store restored while listing {kind}",
                )
            read = [_record(raw, era) for raw in body.entries("items")]
            page = [record for record in read if record is not None]
            nameless_count += len(read) - len(page)
            at = body.fields.get("at")
            if not isinstance(at, int):
                break
            pages.add_page(page, at)
            if not body.fields.get("hasMore") or not page:
                return stored.Batch(
                    tuple(pages.records), pages.revision, nameless_count, era
                )
            after = page[-1].name
        return result.Failure(
            result.STORE_CORRUPT, f"{kind}: no end, or no revision"
        )

    async def watch(
        self, kind: str, revision: int, wait_ms: int
    ) -> result.Outcome[stored.Batch] | stored.Expired:
        """Waits for changes since a revision.

        Args:
            kind: Kind of object.
            revision: Returns changes after this revision.
            wait_ms: Maximum time that the store holds the call.

        Returns:
            The changes, possibly none, or that their history has expired.
        """
        path = f"{PATH_PREFIX}{kind}?watch={revision}&waitMs="
        body = await self._client.read(
            store_client.Read(
                kind, f"{path}{wait_ms}", f"{path}{SECOND_WAIT_MS}", wait_ms
            ),
            self._interpret,
        )
        if isinstance(body, result.Failure | stored.Expired):
            return body
        read = [_change(raw, body.era) for raw in body.entries("events")]
        records = tuple(record for record in read if record is not None)
        at = body.fields.get("at")
        if not isinstance(at, int):
            at = revision
        return stored.Batch(records, at, len(read) - len(records), body.era)

    async def create(
        self, kind: str, name: str, spec: dict[str, Any]
    ) -> result.Failure | None:
        """Creates an object unless one of that name exists.

        An existing one counts as success: a repeat may follow a lost answer.

        Args:
            kind: Kind of object.
            name: Its name.
            spec: Its content.

        Returns:
            Why the object may not exist, None if it exists.
        """
        body = json.dumps({"metadata": {"name": name}, "spec": spec})
        return await self._change(
            "POST", kind, kind, body.encode(), settled=HTTP_CONFLICT
        )

    async def delete(self, kind: str, name: str) -> result.Failure | None:
        """Removes an object; returns why it may still exist, or None."""
        return await self._change(
            "DELETE", kind, f"{kind}/{name}", settled=HTTP_NOT_FOUND
        )

    async def _change(
        self,
        method: str,
        kind: str,
        path: str,
        body: bytes = b"",
        *,
        settled: int,
    ) -> result.Failure | None:
        """Sends a request that changes an object.

        Args:
            method: HTTP method.
            kind: Kind of object.
            path: Path below ``/-/objects/``.
            body: JSON, if any.
            settled: Status that reports the change as already made.
        """
        answer = await self._client.write(method, f"{PATH_PREFIX}{path}", body)
        if not isinstance(answer, result.Failure):
            answer = self._check_era(answer)
        failure = answer if isinstance(answer, result.Failure) else None
        if failure is None:
            status = answer.head.status
            if status not in HTTP_SUCCESS and status != settled:
                failure = result.Failure(
                    result.STORE_UNAVAILABLE, f"status {status}"
                )
        outcome = "answered" if failure is None else "failed"
        self._metrics.store_calls.inc({"outcome": outcome, "kind": kind})
        return failure

    def _interpret(
        self, answer: http_client.Answer
    ) -> result.Outcome[stored.Answer | stored.Expired]:
        checked = self._check_era(answer)
        if isinstance(checked, result.Failure):
            return checked
        if answer.head.status == HTTP_GONE:
            return stored.Expired()
        if answer.head.status != HTTP_OK:
            return result.Failure(
                result.STORE_UNAVAILABLE, f"status {answer.head.status}"
            )
        fields = _fields(answer.body)
        if isinstance(fields, result.Failure):
            return fields
        return stored.Answer(fields, _era(answer.head) or self.era)

    def _check_era(
        self, answer: http_client.Answer
    ) -> result.Outcome[http_client.Answer]:
        era = _era(answer.head) or self.era
        if era < self.era:
            # The answer was delayed from before the store was restored.
            return result.Failure(
                result.STORE_UNAVAILABLE,
                f"answer has era {era}, latest is {self.era}",
            )
        is_restored = 0 < self.era < era
        self.era = era
        if is_restored:
            self.on_restored()
        return answer

    def listen_for_outages(
        self, on_outage_ended: Callable[[str, availability.Outage], None]
    ) -> None:
        """Sets what is called with the requested kind when an outage ends.

        It is called before the first answer is returned.
        """
        self._client.on_outage_ended = on_outage_ended

    def drop_connections(self) -> None:
        """Closes all idle connections, as after a process pause."""
        self._client.drop_connections()


def _era(head: http_client.Head) -> int:
    value = head.get(_ERA_HEADER) or b""
    return int(value) if value.isdigit() else 0


def _fields(data: bytes) -> result.Outcome[dict[str, Any]]:
    """Decodes an answer; invalid UTF-8 affects only its own field."""
    try:
        body = json.loads(data.decode("utf-8", "replace"), strict=False)
    except (ValueError, RecursionError) as error:
        return result.Failure(result.STORE_CORRUPT, repr(error))
    if not isinstance(body, dict):
        return result.Failure(result.STORE_CORRUPT, "not an object")
    return body


def _record(raw: Any, era: int) -> stored.Record | None:
    """Decodes an object; returns None without a valid name or revision."""
    try:
        metadata = raw["metadata"]
        name = metadata["name"]
        created = int(metadata.get("created") or 0)
        revision = int(metadata.get("revision") or 0)
    except (KeyError, TypeError, ValueError, AttributeError):
        return None
    if not isinstance(name, str):
        return None
    spec = wire.without_secrets(raw.get("spec"))
    return stored.Record(name, spec, created, revision, era=era)


def _change(raw: Any, era: int) -> stored.Record | None:
    if not isinstance(raw, dict):
        return None
    record = _record(raw.get("object"), era)
    if record is None or not raw.get("deleted"):
        return record
    return dataclasses.replace(record, deleted=True)
