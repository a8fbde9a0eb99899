"""A caller's request as a gateway received it."""

import dataclasses

from radishd.connection import http_client


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A caller's request.

    Attributes:
        attempt_id: The caller's id of this attempt.
        method: HTTP method.
        target: Path and query as sent.
        path: Path without the query.
        host: Host header.
        left_ms: Time until the caller's deadline, 0 if not stated.
        adapter: ``model/name``, or a base model, empty for a plain service.
        last_event_id: Event after which a stream resumes.
        resumed_attempt_id: The attempt that began the stream, empty if none.
        headers: Headers that are forwarded to the target.
        key_digest: Digest of the API key, ``client_account.NO_KEY`` if there
            is no single well-formed one. The key itself is not forwarded.
        token_count: Prompt plus maximum output tokens, None if not stated.
        prompt_blocks: Ids of its prompt's blocks, the broadest first.
    """

    attempt_id: str
    method: str
    target: bytes
    path: str
    host: str
    left_ms: int
    adapter: str
    last_event_id: bytes
    resumed_attempt_id: str
    headers: http_client.Headers
    key_digest: bytes = dataclasses.field(repr=False)
    token_count: int | None
    prompt_blocks: tuple[bytes, ...]
