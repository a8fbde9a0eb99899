"""Aborted connections between processes, on real sockets."""

import socket
import threading

from standins import answer as answer_lib

from tests.daemon import fixtures
from tests.daemon import relay as relay_lib

TOKENS = 80


def test_aborted_connections_resume_the_same_run() -> None:
    """Guards against a truncated answer and one that is generated twice.

    The connection between entry daemon and target is aborted twice while
    chunks are in transit. Unless the run is resumed, it is lost with its
    connection, or the entry daemon submits it again.
    """
    with fixtures.running_site(
        engines=1, plain_targets=0, entries=1, step_ms=15.0
    ) as site:
        host = site.hosts["engine-1"]
        relay_address = (host, fixtures.PORT + 10)
        with relay_lib.open_relay(
            relay_address, (host, fixtures.PORT)
        ) as relay:
            changed = site.radishctl(
                "target",
                "set",
                "engine-1",
                "address",
                f"{relay_address[0]}:{relay_address[1]}",
            )
            assert changed.returncode == 0, changed
            site.wait_in_force(2)
            answers: list[fixtures.Answer] = []

            def send_request() -> None:
                answers.append(
                    site.complete(
                        "entry-1",
                        "adapter-1",
                        "long",
                        stream=True,
                        max_tokens=TOKENS,
                    )
                )

            caller = threading.Thread(target=send_request)
            caller.start()
            for _ in range(2):
                relayed_before = relay.relayed_bytes
                fixtures.wait_until(
                    lambda relayed_before=relayed_before: (
                        relay.relayed_bytes > relayed_before + 2_000
                    ),
                    "some chunks were relayed",
                )
                assert relay.abort_connections() >= 1
            caller.join()
        assert answers[0].whole, answers
        fields = {"prompt": "long", "max_tokens": TOKENS}
        expected = answer_lib.expected_text("adapter-1@1", fields)
        assert fixtures.text_of_stream(answers[0].body) == expected
        assert len(site.state("engine-1-behind")["executions"]) == 1


def test_garbage_on_a_connection_closes_only_that_connection() -> None:
    """Bytes that are not a frame close only their sender's connection."""
    with fixtures.running_site(engines=1, plain_targets=0, entries=1) as site:
        address = (site.hosts["engine-1"], fixtures.PORT)
        for garbage in (b"\xff" * 64, b"\x08\0\0\0garbage!", b"GET / HTTP/1"):
            with socket.create_connection(address) as connection:
                connection.sendall(garbage)
                connection.shutdown(socket.SHUT_WR)
                while connection.recv(4_096):
                    pass
        assert site.complete("entry-1", "adapter-1", "x").status == 200
        assert site.ready("engine-1")
