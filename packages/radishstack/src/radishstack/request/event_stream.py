"""Extracts complete events from a server-sent event stream, each one once.

A target can fail in the middle of an event, and a stream that is resumed at
another target may repeat events that the caller already has. Only complete
events are forwarded, so the caller always has a prefix of the stream.
"""

ID_FIELD = b"id:"
# Intended size above which a partial event is no longer buffered. It is not
# enforced.
MAX_EVENT_BYTES = 1024 * 1024


class EventStream:
    """Splits a byte stream into events and drops repeated ones."""

    __slots__ = ("_pending", "last_id")

    def __init__(self) -> None:
        """Initializes an empty stream."""
        self._pending = b""
        self.last_id = b""

    def restart(self) -> None:
        """Discards a partial event before another response is read."""
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Adds bytes of a response.

        Args:
            data: The next bytes.

        Returns:
            The events that are complete now, without those returned before.
        """
        self._pending += data
        new_events = []
        while True:
            size_bytes = _event_end(self._pending)
            if size_bytes == 0:
                break
            event = self._pending[:size_bytes]
            self._pending = self._pending[size_bytes:]
            if self._is_new(event):
                new_events.append(event)
        return b"".join(new_events)

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
            if int(number) <= int(self.last_id):
                return False
        elif number == self.last_id:
            return False
        self.last_id = number
        return True


def _event_end(data: bytes) -> int:
    ends = [
        position + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := data.find(separator)) >= 0
    ]
    return min(ends, default=0)


def _event_id(event: bytes) -> bytes | None:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return None
