"""Requests that offer to upgrade the protocol, on connections of callers."""

import itertools

import anyio
import hypothesis
import hypothesis.strategies as st
from radishd.connection import http_client
from standins import platform_site

from tests.fleet import fixtures

OFFERS = (
    "Connection: Upgrade\r\nUpgrade: h2c\r\n",
    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n",
    "Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n",
    "Upgrade: foo/2, bar\r\nconnection: upgrade\r\n",
)
SMUGGLED = platform_site.request("POST", "/book/evil", "evil", body=b"x")


def _request(offer: str, attempt: str, body: bytes, *, chunked: bool) -> bytes:
    length = f"Content-Length: {len(body)}\r\n"
    if chunked:
        length = "Transfer-Encoding: chunked\r\n"
        body = f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    head = (
        f"POST /book/1 HTTP/1.1\r\nHost: {platform_site.HOST}\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\n{offer}{length}\r\n"
    )
    return head.encode() + body


_numbers = iter(range(1_000_000))


async def _play(
    fleet: fixtures.Fleet, offer: str, cuts: list[int], *, chunked: bool
) -> None:
    """Sends two requests in pieces; the target must see both unchanged."""
    [target] = fleet.targets.values()
    connection = await http_client.open_connection(
        fleet.gateway.own.listen, 2_000
    )
    for _ in range(2):
        attempt = f"u{next(_numbers)}"
        data = _request(offer, attempt, SMUGGLED, chunked=chunked)
        bounds = sorted({0, len(data), *(cut % len(data) for cut in cuts)})
        pieces = [data[start:end] for start, end in itertools.pairwise(bounds)]
        connection.send(pieces[0])
        for piece in pieces[1:]:
            # Lets the gateway read what was sent so far.
            await anyio.sleep(0)
            connection._transport.write(piece)
        answer = await http_client.read_answer(connection)
        assert isinstance(answer, http_client.Answer), answer
        assert answer.head.status == 200, answer
        assert connection.finish()
        received = target.seen.pop()
        assert received.attempt_id == attempt
        assert received.body == SMUGGLED, received
        assert "upgrade" not in received.headers
        assert "http2-settings" not in received.headers
        assert not target.seen
    connection.close()


def test_a_body_after_an_upgrade_offer_is_part_of_its_request() -> None:
    """Guards against a body that is lost, or run as a request of its own."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            for offer in OFFERS:
                for chunked in (False, True):
                    head = len(_request(offer, "u0", b"", chunked=False))
                    for cuts in ([], [head], [head + 20], [5, head - 2]):
                        await _play(fleet, offer, cuts, chunked=chunked)

    fixtures.run(play)


def test_any_split_of_an_upgrade_offer_gives_one_request() -> None:
    """Guards against a parser state that depends on how bytes arrive."""
    cases: list[tuple[str, list[int], bool]] = []

    @hypothesis.settings(
        max_examples=150, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        offer=st.sampled_from(OFFERS),
        cuts=st.lists(st.integers(0, 400), max_size=6),
        chunked=st.booleans(),
    )
    def collect(offer: str, cuts: list[int], chunked: bool) -> None:
        cases.append((offer, cuts, chunked))

    collect()

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            for offer, cuts, chunked in cases:
                await _play(fleet, offer, cuts, chunked=chunked)

    fixtures.run(play)


def test_connect_is_rejected() -> None:
    """Guards against a tunnel whose bytes nobody parses."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            connection = await http_client.open_connection(
                fleet.gateway.own.listen, 2_000
            )
            connection.send(
                b"CONNECT shop.example:80 HTTP/1.1\r\n"
                b"Host: shop.example\r\n\r\n" + SMUGGLED
            )
            answer = await http_client.read_answer(connection)
            assert answer.head.status == 400, answer
            [target] = fleet.targets.values()
            assert not target.seen
            connection.close()

    fixtures.run(play)
