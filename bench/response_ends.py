"""Compares how the end of an answer is judged.

Run it with ``python -m bench.response_ends``. All ways get the same answers,
breaks, crashes, exits and link faults, in virtual time. Some streams have
neither a length nor chunks. A target breaks off single answers, at any byte, or
crashes with all answers that it has under way; its operating system then closes
its sockets in any order, mostly after a whole event. A draining target closes
its listening socket before its last answers, and exits; it may crash as well.
Figures: broken-off answers that pass for complete, complete ones that count as
cut, requests for the health of targets, and calls of the store. Limits: events
have one size; a check takes no time.
"""

from collections.abc import Callable
import dataclasses
import random

import click
from radishstack.request import response_end

from bench import report

ANSWER_COUNT = 400_000
# Answers that one target has under way without a length or chunks.
UNDER_WAY_COUNT = 32
# Fractions of the answers that a target breaks off, that it has under way as it
# crashes, and that it ends as it exits; and of the last ones those of targets
# that crash all the same.
BROKEN_FRACTION = 0.02
CRASHED_FRACTION = 0.02
EXIT_FRACTION = 0.04
CRASHED_EXIT_FRACTION = 0.02
# Fraction of crashes that close connections after a whole event, in which the
# listening socket is closed after the connection, and of checks that fail as
# the link to a sound target fails.
AT_EVENT_FRACTION = 0.8
LISTENER_LAST_FRACTION = 0.5
LINK_FAULT_FRACTION = 0.001
# Fraction of exits at which the store does not answer or the caller leaves no
# time to wait for the removal of the entry.
UNKNOWN_FRACTION = 0.05
# Probability that another answer of an exiting target ends at the same time.
SAME_TIME_FRACTION = 0.05
EVENT_COUNT = 10
EVENT_BYTES = 120

Closing = response_end.Closing
Deregistration = response_end.Deregistration
End = response_end.End
TargetState = response_end.TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer without a length and chunks.

    Attributes:
        is_whole: Whether its target sent all of it.
        size_bytes: Number of bytes that arrived.
        accepts: Whether its target accepts a connection right after it.
        closing: What can be known of its target.
    """

    is_whole: bool
    size_bytes: int
    accepts: bool
    closing: Closing


@dataclasses.dataclass(slots=True)
class Costs:
    """Calls that a way makes.

    Attributes:
        health_requests: Requests for the health of a target.
        store_calls: Calls of the store.
    """

    health_requests: int = 0
    store_calls: int = 0


Judge = Callable[[Answer, Costs], End]


class Source:
    """Draws answers as one of many gateways receives them."""

    def __init__(self, seed: int, gateway_count: int) -> None:
        """Starts with a seed.

        Args:
            seed: Seed of the answers.
            gateway_count: Number of gateways, among which the answers that a
                target has under way are spread.
        """
        self._random = random.Random(seed)
        self._gateway_count = gateway_count

    def _draw(self, fraction: float) -> bool:
        return self._random.random() < fraction

    def _other_count(self) -> int:
        """Returns how many other answers of the target this gateway reads."""
        return sum(
            self._draw(1 / self._gateway_count)
            for _ in range(UNDER_WAY_COUNT - 1)
        )

    def _cut_bytes(self) -> int:
        size_bytes = self._random.randrange(EVENT_COUNT * EVENT_BYTES)
        if self._draw(AT_EVENT_FRACTION):
            size_bytes -= size_bytes % EVENT_BYTES
        return size_bytes

    def _crash(self, *, is_draining: bool) -> Answer:
        others = self._other_count()
        inside_event_count = sum(
            not self._draw(AT_EVENT_FRACTION) for _ in range(others)
        )
        deregistration = Deregistration.LISTED
        if self._draw(UNKNOWN_FRACTION):
            deregistration = Deregistration.UNKNOWN
        closing = Closing(
            target=TargetState.UNREACHABLE,
            is_draining=is_draining,
            cut_count=inside_event_count,
            closed_count=others - inside_event_count,
            deregistration=deregistration,
        )
        accepts = not is_draining and self._draw(LISTENER_LAST_FRACTION)
        return Answer(False, self._cut_bytes(), accepts, closing)

    def _exit(self) -> Answer:
        others = self._other_count()
        closed_count = sum(
            self._draw(SAME_TIME_FRACTION) for _ in range(others)
        )
        deregistration = Deregistration.REMOVED
        if self._draw(UNKNOWN_FRACTION):
            deregistration = Deregistration.UNKNOWN
        closing = Closing(
            target=TargetState.UNREACHABLE,
            is_draining=True,
            closed_count=closed_count,
            outlived_count=self._random.randint(0, others - closed_count),
            deregistration=deregistration,
        )
        return Answer(True, EVENT_COUNT * EVENT_BYTES, False, closing)

    def draw(self) -> Answer:
        """Returns the next answer."""
        is_reachable = not self._draw(LINK_FAULT_FRACTION)
        state = TargetState.ANSWERS if is_reachable else TargetState.UNREACHABLE
        sound = Closing(target=state)
        kind = self._random.random()
        if kind < BROKEN_FRACTION:
            size_bytes = self._random.randrange(EVENT_COUNT * EVENT_BYTES)
            return Answer(False, size_bytes, is_reachable, sound)
        kind -= BROKEN_FRACTION
        if kind < CRASHED_FRACTION:
            return self._crash(is_draining=False)
        if kind < CRASHED_FRACTION + EXIT_FRACTION:
            if self._draw(CRASHED_EXIT_FRACTION):
                return self._crash(is_draining=True)
            return self._exit()
        return Answer(True, EVENT_COUNT * EVENT_BYTES, is_reachable, sound)


def _judge_bytes(answer: Answer) -> End | response_end.Undecided:
    return response_end.judge(
        response_end.Ending(
            is_delimited=False,
            is_inside_event=answer.size_bytes % EVENT_BYTES > 0,
            lacks_events=answer.size_bytes < EVENT_BYTES,
        )
    )


def _by_close(answer: Answer, costs: Costs) -> End:
    del costs
    end = _judge_bytes(answer)
    return end if isinstance(end, End) else End.CLOSED


def _by_connection(answer: Answer, costs: Costs) -> End:
    del costs
    end = _judge_bytes(answer)
    if isinstance(end, End):
        return end
    return End.CLOSED if answer.accepts else End.UNREACHABLE


def _by_answer(answer: Answer, costs: Costs) -> End:
    end = _judge_bytes(answer)
    if isinstance(end, End):
        return end
    costs.health_requests += 1
    return End.CLOSED if answer.closing.target.is_alive else End.UNREACHABLE


def _unless_draining(answer: Answer, costs: Costs) -> End:
    end = _by_answer(answer, costs)
    if end is End.UNREACHABLE and answer.closing.is_draining:
        return End.CLOSED_BY_EXIT
    return end


def _by_all_evidence(answer: Answer, costs: Costs) -> End:
    end = _judge_bytes(answer)
    if isinstance(end, End):
        return end
    costs.health_requests += 1
    at_first = dataclasses.replace(
        answer.closing, deregistration=Deregistration.PENDING
    )
    end = response_end.judge_closed(at_first)
    if isinstance(end, End):
        return end
    costs.store_calls += 1
    return response_end.judge_closed(answer.closing)


WAYS: dict[str, Judge] = {
    "bytes alone": _by_close,
    "accepts a connection": _by_connection,
    "answers": _by_answer,
    "answers, or drains": _unless_draining,
    "all evidence": _by_all_evidence,
}


def _play(judge: Judge, gateways: int, seed: int) -> list[float]:
    source = Source(seed, gateways)
    costs = Costs()
    passed = cut = broken = whole = 0
    for _ in range(ANSWER_COUNT):
        answer = source.draw()
        end = judge(answer, costs)
        broken += not answer.is_whole
        whole += answer.is_whole
        passed += end.is_complete and not answer.is_whole
        cut += answer.is_whole and not end.is_complete
    return [
        1_000 * passed / broken,
        1_000 * cut / whole,
        1_000 * costs.health_requests / ANSWER_COUNT,
        1_000 * costs.store_calls / ANSWER_COUNT,
    ]


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Plays all ways with the same answers and prints their figures."""
    rows = []
    for gateways in (21, 390):
        for name, judge in WAYS.items():
            figures = _play(judge, gateways, seed)
            rows.append([gateways, name, *(f"{one:.2f}" for one in figures)])
    headings = [
        "gateways",
        "way",
        "passed of 1,000 broken",
        "cut of 1,000 whole",
        "health requests per 1,000 answers",
        "store calls per 1,000 answers",
    ]
    click.echo(report.table(headings, rows))


if __name__ == "__main__":
    main()
