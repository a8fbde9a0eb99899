"""Two parsers find the same requests in the same bytes, or refuse them."""

import asyncio

from tests.clients import parser_comparison

COUNT = 2_000


def test_no_body_is_taken_for_a_request() -> None:
    """Guards against parsers that disagree on where a request ends.

    The target of a request would run a part of its body as another request.
    """
    problems, outcomes = asyncio.run(parser_comparison.compare(COUNT, 7))
    assert not problems, "\n".join(problems[:3])
    assert outcomes["delivered, h11 finds"] > COUNT / 10, outcomes
    assert outcomes["uncertain"] > COUNT / 10, outcomes


def test_nothing_is_run_behind_an_answer_that_closes() -> None:
    """Guards against a request that is read and gets no answer.

    The connection is closing and still has unsent bytes, as in a planned stop.
    """
    data = b"GET /first HTTP/1.1\r\nHost: h\r\n\r\n" + parser_comparison.SECOND

    async def play() -> None:
        for closes, count in ((True, 1), (False, 2)):
            port = parser_comparison.Port(closes=closes)
            found = await port.parse([data])
            assert len(found) == count, (closes, found)

    asyncio.run(play())


def test_the_comparison_finds_disagreements() -> None:
    """Guards against a comparison that accepts whatever is delivered."""
    one = parser_comparison.Input(b"", b"body", True)
    first = parser_comparison.Found(b"POST", b"/first", b"body")
    smuggled = parser_comparison.Found(b"POST", b"/smuggled", b"x")
    cut = parser_comparison.Found(b"POST", b"/first", b"bo")
    judge = parser_comparison.judge
    assert not judge(one, [first], [first])
    assert not judge(one, [], [first])
    assert judge(one, [first, smuggled], None)
    assert judge(one, [cut], None)
    assert judge(one, [first, first, first], None)
    assert judge(one, [first, first], [first])
    unsure = parser_comparison.Input(b"", b"body", False)
    assert judge(unsure, [first, first], None)
    assert not judge(unsure, [], None)
