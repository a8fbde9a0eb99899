"""Extracts complete events from a server-sent event stream, each one once.

A target can fail in the middle of an event, and a stream that is resumed at
another target may repeat events that the caller already has. Only complete
events are forwarded, so the caller always has a prefix of the stream.
"""

import re

ID_FIELD = b"id:"
# An unfinished event that is larger than this is not buffered any further.
MAX_EVENT_BYTES = 1024 * 1024
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# An empty line, with the end of the line before it. A line ends with LF, CR or
# both; a CR before an LF ends no line by itself.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)")
MAX_EVENT_END_BYTES = 4


class EventStream:
    """Splits a byte stream into events and drops repeated ones."""

    __slots__ = ("_has_events", "_pending", "_searched_bytes", "last_id")

    def __init__(self) -> None:
        """Initializes an empty stream."""
        self._pending = b""
        self._searched_bytes = 0
        self._has_events = False
        self.last_id = b""

    def restart(self) -> None:
        """Discards a partial event before another response is read."""
        self._pending = b""
        self._searched_bytes = 0

    def feed(self, data: bytes) -> bytes:
        """Adds bytes of a response.

        Args:
            data: The next bytes.

        Returns:
            The events that are complete now, without those returned before.
        """
        self._pending += data
        new_events = []
        while match := _EVENT_END.search(self._pending, self._searched_bytes):
            event = self._pending[: match.end()]
            self._pending = self._pending[match.end() :]
            self._searched_bytes = 0
            if self._is_new(event):
                new_events.append(event)
        # The end of an event may be split over two reads.
        self._searched_bytes = max(
            0, len(self._pending) - MAX_EVENT_END_BYTES + 1
        )
        self._has_events = self._has_events or bool(new_events)
        return b"".join(new_events)

    @property
    def is_oversized(self) -> bool:
        """Whether an unfinished event is larger than ``MAX_EVENT_BYTES``."""
        return len(self._pending) > MAX_EVENT_BYTES

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes so far end in the middle of an event."""
        return bool(self._pending.removeprefix(BYTE_ORDER_MARK).strip(b"\r\n"))

    @property
    def is_empty(self) -> bool:
        """Whether the caller has received no event of the stream."""
        return not (self._has_events or self.last_id)

    @property
    def unfinished_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._pending)

    def rest(self) -> bytes:
        """Returns the bytes after the last event of a complete response."""
        rest, self._pending = self._pending, b""
        return rest

    def _is_new(self, event: bytes) -> bool:
        number = _event_id(event)
        if number is None:
            return True
        if self.last_id.isdigit() and number.isdigit():
            if _magnitude(number) <= _magnitude(self.last_id):
                return False
        elif number == self.last_id:
            return False
        self.last_id = number
        return True


def _magnitude(digits: bytes) -> tuple[int, bytes]:
    """Returns a key that orders numbers of any length."""
    significant = digits.lstrip(b"0")
    return len(significant), significant


def _event_id(event: bytes) -> bytes | None:
    for line in event.removeprefix(BYTE_ORDER_MARK).splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return None
