"""Client for the platform's object store."""

from collections.abc import Callable
import json
from typing import Any

from radishstack import result
from radishstack.process import availability

from radishd import store_client
from radishd.connection import http_client
from radishd.platform import entries
from radishd.process import header_numbers
from radishd.process import metrics as metrics_lib
from radishd.process import paged_read
from radishd.process import stored
from radishd.process import untrusted_json

HTTP_SUCCESS = range(200, 300)
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
PATH_PREFIX = "/-/objects/"
_ERA_HEADER = b"store-era"
# Wait time of a watch that is repeated.
SECOND_WAIT_MS = 50


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

        async def read_page(mark: str) -> result.Outcome[paged_read.Page]:
            fields = ["staleOk=1"] if stale else []
            if mark:
                fields.append(f"after={entries.encode_name(mark)}")
            query = "?" + "&".join(fields) if fields else ""
            body = await self._client.read(
                store_client.Read(kind, f"{PATH_PREFIX}{kind}{query}"),
                self._interpret,
            )
            if isinstance(body, result.Failure):
                return body
            is_answer = isinstance(body, stored.Answer)
            items = body.entries("items") if is_answer else None
            if items is None or body.revision is None:
                return result.Failure(result.STORE_CORRUPT, f"list of {kind}")
            return paged_read.Page(
                [entries.record(kind, raw, body.era) for raw in items],
                [entries.name(raw) for raw in items],
                body.revision,
                body.era,
                bool(body.fields.get("hasMore")),
            )

        return await paged_read.read_all(kind, read_page)

    async def watch(
        self, kind: str, revision: int, wait_ms: int
    ) -> result.Outcome[stored.Batch] | stored.Expired:
        """Waits for changes since a revision.

        Args:
            kind: Kind of object.
            revision: Returns changes after this revision.
            wait_ms: Maximum time that the store holds the call.

        Returns:
            The changes, possibly none, or that they have to be read from a
            list: their history has expired, or cannot be read as a whole.
        """
        path = f"{PATH_PREFIX}{kind}?watch={revision}&waitMs="
        body = await self._client.read(
            store_client.Read(
                kind, f"{path}{wait_ms}", f"{path}{SECOND_WAIT_MS}", wait_ms
            ),
            self._interpret,
        )
        if isinstance(body, result.Failure):
            if body.code is result.STORE_CORRUPT:
                # The answer to another watch would contain the same bytes.
                return stored.Expired()
            return body
        if isinstance(body, stored.Expired):
            return body
        events = body.entries("events") or []
        at = revision if body.revision is None else body.revision
        changes = [entries.change(kind, raw, body.era) for raw in events]
        return stored.make_batch(changes, at, body.era)

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
            "DELETE",
            kind,
            f"{kind}/{entries.encode_name(name)}",
            settled=HTTP_NOT_FOUND,
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
    return header_numbers.decimal(head.get(_ERA_HEADER) or b"") or 0


def _fields(data: bytes) -> result.Outcome[dict[str, Any]]:
    """Decodes an answer; unreadable values affect only their entries."""
    try:
        body = untrusted_json.decode(
            data, isolated_levels=entries.ISOLATED_LEVELS
        )
    except ValueError as error:
        return result.Failure(result.STORE_CORRUPT, repr(error))
    if not isinstance(body, dict):
        return result.Failure(result.STORE_CORRUPT, "not an object")
    return body
