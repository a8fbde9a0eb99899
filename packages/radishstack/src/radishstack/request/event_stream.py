"""Whole events of a server-sent event stream, each exactly once.

A target can stop in the middle of an event, and a stream that goes on at
another target may begin with events that the caller has. Only whole events
are passed on, so that what the caller has is always a prefix of the stream.
"""

ID_FIELD = b"id:"
# An event larger than this is not held back any longer for its end.
MAX_EVENT_BYTES = 1024 * 1024


class EventStream:
    """Cuts a byte stream into events and drops repeated ones."""

    __slots__ = ("_pending", "last_id")

    def __init__(self) -> None:
        """Starts before the first event."""
        self._pending = b""
        self.last_id = b""

    def restart(self) -> None:
        """Begins to read another answer of the same stream."""
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Adds bytes of a response.

        Args:
            data: The next bytes.

        Returns:
            The whole events among what was taken so far, without those that
            were returned before.
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

    def rest(self) -> bytes:
        """Returns what is left after the last event of a whole response."""
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
