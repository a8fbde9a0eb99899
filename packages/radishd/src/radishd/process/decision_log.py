"""Decision log: rate-limited, non-blocking JSON lines on standard output.

A stalled reader must not block the process, and a flood of requests must not
spend its CPU time on logging. Lines over the rate limit and lines that do not
fit the buffer are dropped, and the next line contains their count.
"""

import collections
import contextlib
import json
import os
import sys
import time
from typing import Any

# Rate limit of a process, and its burst: twice the requests of one gateway at
# the planned peak.
MAX_LINES_PER_S = 60.0
BURST_LINES = 240.0
# Buffer for a slow reader.
MAX_PENDING_BYTES = 256 * 1024
NS_PER_S = 1_000_000_000


class DecisionLog:
    """The decision log of one process."""

    def __init__(self, fd: int, **constant_fields: str) -> None:
        """Makes the descriptor non-blocking.

        Args:
            fd: Descriptor that lines are written to.
            **constant_fields: Fields of every line.
        """
        self._fd = fd
        self._constant_fields = constant_fields
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._tokens = BURST_LINES
        self._refilled_ns = time.monotonic_ns()
        self.dropped = 0
        self.written = 0
        with contextlib.suppress(OSError):
            os.set_blocking(fd, False)

    def write(self, event: str, **fields: Any) -> None:
        """Logs one decision, or drops it if it exceeds the rate limit."""
        if not self._take_token():
            self.dropped += 1
            return
        self.must(event, **fields)

    def must(self, event: str, **fields: Any) -> None:
        """Logs a rare event, such as a start or a lost dependency.

        The rate limit does not apply to it, but a full buffer still drops it.
        """
        if self.dropped:
            fields["dropped_lines"] = self.dropped
            self.dropped = 0
        at_ms = time.time_ns() // 1_000_000
        line = {
            "at_ms": at_ms,
            "event": event,
            **self._constant_fields,
            **fields,
        }
        data = json.dumps(line, separators=(",", ":"), default=str)
        self._enqueue(data.encode() + b"\n")

    def _take_token(self) -> bool:
        now_ns = time.monotonic_ns()
        refill = (now_ns - self._refilled_ns) / NS_PER_S * MAX_LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_ns = now_ns
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _enqueue(self, data: bytes) -> None:
        if self._pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        self._pending.append(data)
        self._pending_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until the descriptor would block."""
        while self._pending:
            data = self._pending[0]
            try:
                size = os.write(self._fd, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; nothing more can be logged.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= size
            if size < len(data):
                self._pending[0] = data[size:]
                return
            self._pending.popleft()
            self.written += 1


def open_log(**constant_fields: str) -> DecisionLog:
    """Opens the decision log on standard output.

    Args:
        **constant_fields: Fields of every line, for example ``vm``.

    Returns:
        The log.
    """
    return DecisionLog(sys.stdout.fileno(), **constant_fields)
