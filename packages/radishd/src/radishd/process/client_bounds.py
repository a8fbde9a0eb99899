"""Bounds on what clients send, and on what their connections hold.

They apply to each HTTP port of each program. Clients that ignore the limits
could otherwise use up the memory or the descriptors of the process.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum
import resource

MS_PER_S = 1_000
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
DEFAULT_HEADER_TIMEOUT_MS = 10_000
DEFAULT_BODY_TIMEOUT_MS = 60_000
DEFAULT_SEND_TIMEOUT_MS = 30_000
DEFAULT_IDLE_TIMEOUT_MS = 5_000
DEFAULT_SEND_BUFFER_BYTES = 128 * 1024
# A quarter of the 256 MB that a process has. A body is held once while its
# request is served and once more while it is sent to a slow target.
DEFAULT_MAX_HELD_BYTES = 64 * 1024 * 1024
# Connections to ports that are not for callers: scrapers, health checks, peers.
DEFAULT_MAX_CONTROL_CONNECTIONS = 16
DEFAULT_CALLERS_FILES_FRACTION = 0.7
# Request line, empty lines before it, and separators between headers, on top of
# the names and values of headers.
MAX_REQUEST_LINE_BYTES = 8 * 1024
SEPARATORS_FACTOR = 2
# Approximate memory of a parsed header beyond its bytes.
HEADER_OVERHEAD_BYTES = 160
# Bytes that are received at once, also while memory is low.
READ_BYTES = 32 * 1024
LOW_MEMORY_READ_BYTES = 4 * 1024
# Reading pauses above this many bytes of requests that wait for an earlier one.
HIGH_WATER_BYTES = 16 * 1024
# Requests below this size are not counted, as the number of connections bounds
# their sum, and are read on while memory is low.
SMALL_BYTES = 8 * 1024


class Reason(enum.StrEnum):
    """Why a client was refused or its connection closed; a label of metrics."""

    TOO_MANY_CONNECTIONS = "too_many_connections"
    SILENT = "silent"
    HEAD_TOO_LARGE = "head_too_large"
    HEAD_TIMEOUT = "head_timeout"
    BODY_TIMEOUT = "body_timeout"
    SEND_TIMEOUT = "send_timeout"
    MALFORMED = "malformed"


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits for the clients of one port.

    Attributes:
        max_header_bytes: Names and values of a request's headers.
        header_timeout_ms: From the first byte of a head to its end.
        body_timeout_ms: From the end of a head to the end of its body.
        send_timeout_ms: How long a client may take none of the bytes of a
            response that waits for it.
        idle_timeout_ms: How long a connection without a request stays open.
        max_connections: Maximum number of open connections.
        send_buffer_bytes: Size of the kernel's send buffer of a connection.
    """

    max_header_bytes: int = DEFAULT_MAX_HEADER_BYTES
    header_timeout_ms: int = DEFAULT_HEADER_TIMEOUT_MS
    body_timeout_ms: int = DEFAULT_BODY_TIMEOUT_MS
    send_timeout_ms: int = DEFAULT_SEND_TIMEOUT_MS
    idle_timeout_ms: int = DEFAULT_IDLE_TIMEOUT_MS
    max_connections: int = DEFAULT_MAX_CONTROL_CONNECTIONS
    send_buffer_bytes: int = DEFAULT_SEND_BUFFER_BYTES

    @property
    def max_head_bytes(self) -> int:
        """Maximum size of a head with everything between its headers."""
        return (
            SEPARATORS_FACTOR * self.max_header_bytes + MAX_REQUEST_LINE_BYTES
        )


class Hold:
    """The bytes in memory that belong to one connection.

    Attributes:
        size_bytes: Number of bytes.
    """

    __slots__ = ("_account", "on_room", "size_bytes")

    def __init__(self, account: Account, on_room: Callable[[], None]) -> None:
        """Starts without bytes.

        Args:
            account: The account of the process.
            on_room: Called when the connection may be read again.
        """
        self._account = account
        self.on_room = on_room
        self.size_bytes = 0

    def resize(self, size_bytes: int) -> None:
        """Changes the number of bytes."""
        added_bytes = size_bytes - self.size_bytes
        if added_bytes:
            self.size_bytes = size_bytes
            self._account.add(added_bytes)

    def may_grow(self) -> bool:
        """Whether the rest of a request may be read now."""
        return self.size_bytes < SMALL_BYTES or self._account.may_grow(self)

    def settle(self) -> None:
        """Records that the request was read, and will end without reading."""
        if self.size_bytes >= SMALL_BYTES:
            self._account.settle(self)

    def release(self) -> None:
        """Gives all bytes back."""
        self.resize(0)
        self._account.forget(self)


class Account:
    """The bytes that all clients' connections of a process hold.

    Large requests are read on while there is room, and small ones always. If
    the requests that are being read have used up all room, none of them could
    be completed, so the oldest one is read on.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_HELD_BYTES) -> None:
        """Starts without bytes.

        Args:
            max_bytes: Bytes from which on memory is low.
        """
        self.max_bytes = max_bytes
        self.held_bytes = 0
        # Large requests that are being read, in the order of their growth, and
        # those that were read and are being served.
        self._growing: dict[Hold, None] = {}
        self._settled: set[Hold] = set()

    @property
    def is_low(self) -> bool:
        """Whether so many bytes are held that memory is low."""
        return self.held_bytes >= self.max_bytes

    def add(self, added_bytes: int) -> None:
        """Changes the number of held bytes."""
        self.held_bytes += added_bytes
        if added_bytes < 0 and self._growing:
            self._resume()

    def may_grow(self, hold: Hold) -> bool:
        """Whether the rest of a large request may be read now."""
        self._growing.setdefault(hold)
        if not self.is_low:
            return True
        return not self._settled and next(iter(self._growing)) is hold

    def settle(self, hold: Hold) -> None:
        """Records that a large request was read."""
        self._growing.pop(hold, None)
        self._settled.add(hold)

    def forget(self, hold: Hold) -> None:
        """Records that a request has ended."""
        self._growing.pop(hold, None)
        self._settled.discard(hold)
        if self._growing:
            self._resume()

    def _resume(self) -> None:
        """Reads on as many large requests as there is room for."""
        room_bytes = max(0, self.max_bytes - self.held_bytes)
        if not room_bytes and self._settled:
            return
        count = 1 + room_bytes // READ_BYTES
        for hold, _ in zip(list(self._growing), range(count), strict=False):
            hold.on_room()


class ClientBounds:
    """The bounds of one port, and its connections that were never used.

    Attributes:
        limits: Limits of the port; changes apply to open connections.
        account: The account of the process.
        on_refused: Called with the reason when a client is refused.
        open_count: Number of open connections.
        unused: Connections that have sent nothing yet, the oldest first, with
            an action that closes each.
        read_buffer: Where received bytes are placed until they are parsed.
    """

    def __init__(
        self,
        limits: Limits | None = None,
        account: Account | None = None,
        on_refused: Callable[[Reason], None] = lambda _: None,
    ) -> None:
        """Starts without connections.

        Args:
            limits: Limits of the port.
            account: The account of the process.
            on_refused: Called with the reason when a client is refused.
        """
        self.limits = limits or Limits()
        self.account = account or Account()
        self.on_refused = on_refused
        self.open_count = 0
        self.unused: dict[object, Callable[[], bool]] = {}
        self.read_buffer = memoryview(bytearray(READ_BYTES))

    def admit(self) -> bool:
        """Returns whether a new connection is kept, and counts it.

        Its client may try elsewhere, as nothing was read. Connections that are
        kept open are preferred to a new one, as a client that loses one comes
        back, but not those that were never used.
        """
        if self.open_count >= self.limits.max_connections:
            oldest = next(iter(self.unused.values()), None)
            if oldest is None or not oldest():
                self.on_refused(Reason.TOO_MANY_CONNECTIONS)
                return False
        self.open_count += 1
        return True


def max_callers_connections(
    fraction: float = DEFAULT_CALLERS_FILES_FRACTION,
) -> int:
    """Returns the maximum number of callers' connections of this process.

    Args:
        fraction: Fraction of the process's file descriptors. Without a bound,
            a gateway that gets most new connections of a region would have
            none left to reach targets, and fail requests that it has read.
    """
    max_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return round(fraction * max_files)
