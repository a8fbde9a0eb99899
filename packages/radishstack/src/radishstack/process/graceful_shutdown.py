"""Times of a graceful shutdown, and which requests are taken in it."""

import dataclasses

# The balancer removes a VM after two failed checks a second apart. It opens new
# connections until then, so a draining process accepts them for this long.
UNREADY_MS = 2_600
EXIT_MARGIN_MS = 700
# Time before the exit in which the last answers are sent.
ANSWER_MARGIN_MS = 300
# Fraction of the shutdown time for which a request may wait for its adapter;
# the rest is for its response.
ADAPTER_WAIT_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Schedule:
    """Times of one shutdown, on the boot clock.

    Attributes:
        accepts_until_ms: Until when new connections are accepted.
        waits_end_at_ms: Until when a request may wait for its adapter.
        answers_due_at_ms: When each request gets its answer at the latest. One
            that got none would be cut by the exit, although it was read.
        exits_at_ms: When the process exits at the latest.
    """

    accepts_until_ms: int
    waits_end_at_ms: int
    answers_due_at_ms: int
    exits_at_ms: int

    def takes(self, now_ms: int, deadline_at_ms: int) -> bool:
        """Whether a request that was just read is passed on.

        Until the balancer has removed the VM, all are: most end long before
        their deadline. Later, another VM serves a request that may not end in
        time; only its caller's retry is needed.

        Args:
            now_ms: Now.
            deadline_at_ms: Deadline of the request.
        """
        is_listed = now_ms < self.accepts_until_ms
        return is_listed or deadline_at_ms <= self.answers_due_at_ms


def make_schedule(now_ms: int, shutdown_ms: int) -> Schedule:
    """Makes the schedule of a shutdown that begins now.

    Args:
        now_ms: Now.
        shutdown_ms: Time between the signal and the forced exit.
    """
    exits_at_ms = now_ms + shutdown_ms - EXIT_MARGIN_MS
    return Schedule(
        now_ms + UNREADY_MS,
        now_ms + round(ADAPTER_WAIT_FRACTION * shutdown_ms),
        exits_at_ms - ANSWER_MARGIN_MS,
        exits_at_ms,
    )
