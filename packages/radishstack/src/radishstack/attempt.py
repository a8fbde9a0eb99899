"""One attempt of a request at one target process."""

import dataclasses

from radishstack.version import document as document_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """What an entry daemon submits to a target process.

    Attributes:
        attempt_id: 16 random bytes, never used again.
        request_id: The caller's request, for logs.
        version: Configuration version it was resolved against.
        service: Service name.
        customer: Customer name.
        adapter: ``name@version``, empty for a plain service.
        key: Idempotency key, empty if there is none.
        digest: Digest of the body, for keys used again with another one.
        accepted_at_ms: When the entry daemon accepted the request, on the
            target's clock as the connection estimates it.
        deadline_at_ms: When the caller stops waiting, on the target's clock.
        method: HTTP method for the target.
        path: Path and query for the target.
        content_type: Content type of the body.
        body: The body, its model field already exact.
        streams: Whether the caller reads a stream of events.
    """

    attempt_id: bytes
    request_id: str
    version: int
    service: str
    customer: str
    adapter: str
    key: str
    digest: bytes
    accepted_at_ms: int
    deadline_at_ms: int
    method: str
    path: str
    content_type: str
    body: bytes
    streams: bool


PRIORITY_RANK = {
    document_lib.Priority.URGENT: 0,
    document_lib.Priority.NORMAL: 1,
    document_lib.Priority.BACKGROUND: 2,
}
