"""Peers that ignore the limits, at the port of a target for other processes."""

import struct

from radishstack.connection import frame

from tests.clients import fixtures

_UNFINISHED_BYTES = 16 * 1024 * 1024
_UNFINISHED_CROWD = 20
_LENGTH = struct.pack("<I", frame.MAX_FRAME_BYTES)


def test_frames_without_their_ends() -> None:
    """Guards against frames inside the limit that exceed the memory in sum."""
    form = fixtures.Form(_LENGTH + _UNFINISHED_BYTES * b"a")
    fixtures.check_frames(form, _UNFINISHED_CROWD)


def test_frames_over_the_limit() -> None:
    """Guards against a length that is waited for."""
    form = fixtures.Form(4 * b"\xff", 65_536 * b"a")
    fixtures.check_frames(form, fixtures.CROWD)


def test_connections_without_a_frame() -> None:
    """Guards against peers that take all descriptors for good."""
    fixtures.check_frames(fixtures.Form(), fixtures.LARGE_CROWD)


def test_connections_with_part_of_a_frame() -> None:
    """Guards against a byte now and then that restarts a timeout."""
    form = fixtures.Form(_LENGTH, b"a", pause_s=0.1)
    fixtures.check_frames(form, fixtures.LARGE_CROWD)
