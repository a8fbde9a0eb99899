"""Decides to which send a response on a reused connection belongs.

A target may send a second response to any request that it answered, late, in
place of the response to the next request on the same connection. Responses echo
the id of their attempt, which tells attempts apart, but not two sends of one
attempt. A response is therefore attributed only if its connection carried one
send of that attempt.
"""

import enum


class Attribution(enum.Enum):
    """The send that a response belongs to.

    Attributes:
        OWN: The last send on its connection.
        OTHER: A send of another attempt.
        UNKNOWN: Possibly an earlier send; it proves nothing about the last.
    """

    OWN = "own"
    OTHER = "other"
    UNKNOWN = "unknown"


def attribute(
    echoed_id: str | None, attempt_id: str, *, is_first_request: bool
) -> Attribution:
    """Attributes a response.

    Args:
        echoed_id: The attempt id that it echoes, None if it echoes none.
        attempt_id: The attempt that was sent last on its connection, and not
            before.
        is_first_request: Whether the connection carried no other request.
    """
    if echoed_id is None:
        return Attribution.OWN if is_first_request else Attribution.UNKNOWN
    if echoed_id != attempt_id:
        return Attribution.OTHER
    return Attribution.OWN
