"""Health requests to targets, and the incarnation that answers them."""

from radishstack.process import incarnation
from radishstack.process import roster as roster_lib
from radishstack.request import response_end

from radishd.connection import http_client
from radishd.platform import front
from radishd.platform import wire

# Engines answer it at any load; the answer contains their start time.
REPORT_PATH = "/-/report"

TargetState = response_end.TargetState


def encode(listing: roster_lib.Listing, path: str) -> bytes:
    """Encodes a request for the health of a target."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {listing.address}\r\n"
        f"X-Target-Instance: {listing.instance}\r\n\r\n"
    ).encode()


def decode(
    answer: http_client.Answer, listing: roster_lib.Listing, path: str
) -> TargetState:
    """Returns whether the listed incarnation gave an answer.

    A target that is full, unhealthy or draining rejects the request, and is
    alive all the same.
    """
    if answer.head.status == front.HTTP_MISDIRECTED or front.is_other_instance(
        answer.head, listing.instance
    ):
        return TargetState.REPLACED
    report = wire.report(answer.body) if path == REPORT_PATH else None
    born_ms = getattr(report, "born_ms", 0)
    if incarnation.start_times_differ(born_ms, listing.born_ms):
        return TargetState.REPLACED
    return TargetState.ANSWERS
