"""One attempt of a request at one target process."""

import dataclasses

from radishstack.version import document as document_lib


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A request as an entry daemon submits it to a target process.

    Attributes:
        attempt_id: 16 random bytes, never reused.
        request_id: Id of the caller's request, for logs.
        version: Configuration version it was resolved against.
        service: Service name.
        customer: Customer name.
        adapter: ``name@version``, empty for a plain service.
        key: Idempotency key, empty if there is none.
        digest: Digest of the body, to detect a key reused with another body.
        accepted_at_ms: When the entry daemon accepted the request, on the
            target's clock as estimated by the connection.
        deadline_at_ms: When the caller stops waiting, on the target's clock.
        method: HTTP method for the target.
        path: Path and query for the target.
        content_type: Content type of the body.
        body: The body, with the exact adapter version in its model field.
        streams: Whether the caller requested an event stream.
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
