"""Decoding an invalid frame returns a failure and never raises."""

import hypothesis
from hypothesis import strategies as st
from radishstack import load as load_lib
from radishstack import result
from radishstack.connection import frame

_SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=300, deadline=None, database=None
)
_LOAD = load_lib.Load(1, False, 3, 4, 5, 6, 7, b"12345678", True)
_BODIES = (
    frame.Hello(b"1", 2, 3),
    frame.Submit(
        b"x" * 16,
        "r",
        1,
        "s",
        "c",
        "a@1",
        "k",
        b"d",
        1,
        2,
        3,
        "POST",
        "/p",
        "t",
        b"body",
        True,
    ),
    frame.Attach(b"x" * 16, 3),
    frame.Accepted(200, "text", _LOAD, "a@1"),
    frame.Chunk(3, b"payload"),
    frame.End(3, 0, ""),
    frame.Refusal(2001, "m", 5, _LOAD, 0),
    frame.Ack(3),
    frame.Cancel(),
    frame.Seal("s", "k", "t"),
    frame.Sealed(1),
    frame.Fetch(),
)
_DATAGRAMS = (
    frame.Probe("a@1", 3),
    _LOAD,
    frame.Digest(1, True, ("a", "b")),
    frame.PushedCommit(b"{}"),
)


def test_every_frame_round_trips() -> None:
    """Decoding inverts encoding for every kind of frame and datagram."""
    splitter = frame.Splitter()
    data = b"".join(frame.encode(9, body) for body in _BODIES)
    messages = []
    for index in range(0, len(data), 7):
        messages += splitter.feed(data[index : index + 7])
    decoded = [frame.decode(message) for message in messages]
    assert decoded == [frame.Frame(9, body) for body in _BODIES]
    for body in _DATAGRAMS:
        encoded = frame.encode_datagram(5, body)
        assert frame.decode_datagram(encoded) == frame.Datagram(5, body)


@_SETTINGS
@hypothesis.given(st.binary(max_size=400))
def _any_bytes(data: bytes) -> None:
    for decoded in (frame.decode(data), frame.decode_datagram(data)):
        assert isinstance(
            decoded, result.Failure | frame.Frame | frame.Datagram
        )


@_SETTINGS
@hypothesis.given(
    st.sampled_from(_BODIES), st.integers(0, 10_000), st.integers(0, 255)
)
def _flipped_byte(body: frame.Body, position: int, value: int) -> None:
    data = bytearray(frame.encode(3, body)[frame.LENGTH_BYTES :])
    data[position % len(data)] = value
    decoded = frame.decode(bytes(data))
    assert isinstance(decoded, result.Failure | frame.Frame)


def test_arbitrary_bytes_are_a_frame_or_a_failure() -> None:
    """Fuzzed input decodes to a frame or to a failure with a result code."""
    _any_bytes()
    _flipped_byte()


def test_oversized_and_malformed_frames_are_rejected() -> None:
    """Frame sizes and attempt ids are validated when a frame is read."""
    splitter = frame.Splitter(max_frame_bytes=100)
    failure = splitter.feed((101).to_bytes(4, "little"))
    assert failure.code is result.FRAME_TOO_LARGE
    short = frame.encode(1, frame.Attach(b"short", 0))[frame.LENGTH_BYTES :]
    assert frame.decode(short).code is result.FRAME_MALFORMED
