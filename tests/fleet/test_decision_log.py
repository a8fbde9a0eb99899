"""The decision log never blocks, and its volume is bounded."""

import contextlib
import json
import os
import time
from unittest import mock

from radishd.process import decision_log


def test_a_stalled_reader_does_not_block_the_writer() -> None:
    """Guards against requests that hang while a pager shows the logs.

    The reader of standard output stops reading and the pipe fills up, so a
    blocking write would block the process.
    """
    read_fd, write_fd = os.pipe()
    try:
        log = decision_log.DecisionLog(write_fd, vm="edge-1")
        for number in range(3_000):
            log.must("request", request="x" * 300, number=number)
        assert log.dropped > 0
        with contextlib.suppress(BlockingIOError):
            os.set_blocking(read_fd, False)
            while os.read(read_fd, 65_536):
                log.flush()
    finally:
        os.close(read_fd)
        os.close(write_fd)


def test_lines_over_the_rate_limit_are_dropped_and_counted() -> None:
    """The next written line contains the number of dropped lines."""
    read_fd, write_fd = os.pipe()
    try:
        log = decision_log.DecisionLog(write_fd, vm="edge-1")
        # A pause of the test would refill the limit, and the next line would
        # take over the number of dropped ones.
        now_ns = time.monotonic_ns()
        with mock.patch.object(time, "monotonic_ns", return_value=now_ns):
            for number in range(10 * round(decision_log.BURST_LINES)):
                log.write("request", request=str(number))
        dropped = log.dropped
        assert dropped >= 8 * decision_log.BURST_LINES
        log.must("stop")
        last = json.loads(os.read(read_fd, 1_000_000).splitlines()[-1])
        assert last["event"] == "stop" and last["dropped_lines"] == dropped
    finally:
        os.close(read_fd)
        os.close(write_fd)
