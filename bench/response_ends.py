"""Compares how the end of an answer is judged.

Run it with ``python -m bench.response_ends``. All ways get the same answers,
breaks, crashes and link faults, in virtual time. Some streams have neither a
length nor chunks. A target breaks off single answers, at any byte, or crashes
with all answers that it has under way; its operating system then closes their
connections, mostly after a whole event. Figures: broken-off answers that pass
for complete, complete ones that count as cut, and connections that are opened
only to check a target, which nobody reuses before they expire. Limits: events
have one size; a check takes no time.
"""

from collections.abc import Callable
import dataclasses
import random

import click
from radishstack.request import response_end

from bench import report

ANSWER_COUNT = 200_000
TARGET_COUNT = 20
ANSWERS_PER_S = 290.0
# Fraction of the answers that have neither a length nor chunks, and of those
# the fractions that a target breaks off or has under way as it crashes.
UNDELIMITED_FRACTION = 0.5
BROKEN_FRACTION = 0.02
CRASHED_FRACTION = 0.02
# Fraction of crashes that close connections after a whole event, and of checks
# that fail as the link to a sound target fails.
AT_EVENT_FRACTION = 0.8
LINK_FAULT_FRACTION = 0.001
EVENT_COUNT = 10
EVENT_BYTES = 120
# How long an idle connection is kept.
IDLE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """One answer without a length and chunks.

    Attributes:
        is_whole: Whether its target sent all of it.
        size_bytes: Number of bytes that arrived.
        target_accepts: Whether a check finds its target accepting connections.
    """

    is_whole: bool
    size_bytes: int
    target_accepts: bool


Judge = Callable[[Answer], response_end.End]


def _draw(source: random.Random) -> Answer:
    is_reachable = source.random() >= LINK_FAULT_FRACTION
    kind = source.random()
    all_bytes = EVENT_COUNT * EVENT_BYTES
    if kind < BROKEN_FRACTION:
        return Answer(False, source.randrange(all_bytes), is_reachable)
    if kind < BROKEN_FRACTION + CRASHED_FRACTION:
        size_bytes = source.randrange(all_bytes)
        if source.random() < AT_EVENT_FRACTION:
            size_bytes -= size_bytes % EVENT_BYTES
        return Answer(False, size_bytes, False)
    return Answer(True, all_bytes, is_reachable)


def _by_close(answer: Answer) -> response_end.End:
    del answer
    return response_end.End.CLOSED


def _by_bytes(answer: Answer) -> response_end.End:
    end = _judge_bytes(answer)
    if isinstance(end, response_end.Undecided):
        return response_end.End.CLOSED
    return end


def _by_target(answer: Answer) -> response_end.End:
    return response_end.judge_closed(target_accepts=answer.target_accepts)


def _by_both(answer: Answer) -> response_end.End:
    end = _judge_bytes(answer)
    if isinstance(end, response_end.Undecided):
        return response_end.judge_closed(target_accepts=answer.target_accepts)
    return end


def _judge_bytes(
    answer: Answer,
) -> response_end.End | response_end.Undecided:
    return response_end.judge(
        response_end.Ending(
            is_delimited=False,
            is_inside_event=answer.size_bytes % EVENT_BYTES > 0,
            lacks_events=answer.size_bytes < EVENT_BYTES,
        )
    )


def _never_complete(answer: Answer) -> response_end.End:
    del answer
    return response_end.End.LOST


WAYS: dict[str, tuple[Judge, bool]] = {
    "a close ends it": (_by_close, False),
    "bytes": (_by_bytes, False),
    "state of the target": (_by_target, True),
    "bytes, then state of the target": (_by_both, True),
    "never complete": (_never_complete, False),
}


def _unused_checks(source: random.Random, gateway_count: int) -> float:
    """Returns the fraction of checks whose connection expires unused."""
    pair_rate_per_s = ANSWERS_PER_S / gateway_count / TARGET_COUNT
    waits_s = (source.expovariate(pair_rate_per_s) for _ in range(10_000))
    return sum(wait_s > IDLE_S for wait_s in waits_s) / 10_000


def _play(judge: Judge, checks: bool, gateways: int, seed: int) -> list[float]:
    source = random.Random(seed)
    passed = cut = checked = broken = whole = 0
    for _ in range(round(ANSWER_COUNT * UNDELIMITED_FRACTION)):
        answer = _draw(source)
        end = judge(answer)
        broken += not answer.is_whole
        whole += answer.is_whole
        passed += end.is_complete and not answer.is_whole
        cut += answer.is_whole and not end.is_complete
        checked += checks and (
            judge is _by_target
            or isinstance(_judge_bytes(answer), response_end.Undecided)
        )
    unused = checked * _unused_checks(source, gateways)
    return [
        1_000 * passed / broken,
        1_000 * cut / whole,
        1_000 * unused / ANSWER_COUNT,
    ]


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Plays all ways with the same answers and prints their figures."""
    rows = []
    for gateways in (21, 390):
        for name, (judge, checks) in WAYS.items():
            figures = _play(judge, checks, gateways, seed)
            rows.append([gateways, name, *(f"{one:.1f}" for one in figures)])
    headings = [
        "gateways",
        "way",
        "passed of 1,000 broken",
        "cut of 1,000 whole",
        "unused connections per 1,000 answers",
    ]
    click.echo(report.table(headings, rows))


if __name__ == "__main__":
    main()
