"""Connections to targets, against a raw socket."""

import socket

import anyio
from radishd.connection import http_client
from radishd.connection import pool as pool_lib

from tests.fleet import fixtures

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _listen() -> tuple[socket.socket, str]:
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    return listener, f"127.0.0.1:{listener.getsockname()[1]}"


async def _accept(listener: socket.socket) -> socket.socket:
    await anyio.wait_readable(listener)
    peer, _ = listener.accept()
    peer.setblocking(False)
    return peer


async def _read(peer: socket.socket) -> bytes:
    await anyio.wait_readable(peer)
    return peer.recv(65_536)


def test_a_request_that_is_cut_off_is_reset() -> None:
    """Guards against a run that starts after its caller disconnected.

    The target's VM is paused with the request in its buffers, the caller
    disconnects, and the VM resumes seconds later. With a plain close the bytes
    would still arrive.
    """

    async def play() -> None:
        listener, address = _listen()
        connection = await http_client.open_connection(address, 1_000)
        peer = await _accept(listener)
        connection.send(REQUEST)
        connection.close()
        try:
            while await _read(peer):
                pass
        except ConnectionResetError:
            pass
        else:
            raise AssertionError("connection was closed without a reset")
        finally:
            peer.close()
            listener.close()

    fixtures.run(play)


def test_bytes_on_an_idle_connection_close_it() -> None:
    """A late second response would be returned to the next request."""

    async def play() -> None:
        listener, address = _listen()
        pool = pool_lib.Pool(1_000)
        first = await pool.acquire(address, fresh=True)
        peer = await _accept(listener)
        first.send(REQUEST)
        await _read(peer)
        peer.sendall(ANSWER)
        answer = await http_client.read_answer(first)
        assert answer.body == b"ok"
        assert first.finish()
        pool.release(address, first, 0)
        peer.sendall(ANSWER)
        while first.is_open:
            await anyio.sleep(0)
        second = await pool.acquire(address, fresh=True)
        assert second is not first
        second.close()
        peer.close()
        listener.close()

    fixtures.run(play)


def test_a_reset_answer_without_length_is_not_whole() -> None:
    """Guards against a truncated response that counts as complete.

    The target crashes while it sends a response that is delimited by the end
    of its connection. The reset was treated as that end.
    """

    async def play(reset: bool) -> http_client.Answer | http_client.Lost:
        listener, address = _listen()
        connection = await http_client.open_connection(address, 1_000)
        peer = await _accept(listener)
        connection.send(REQUEST)
        await _read(peer)
        peer.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        head = await connection.head()
        assert isinstance(head, http_client.Head)
        assert await connection.chunk() == b"half"
        if reset:
            peer.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, http_client._RESET
            )
        peer.close()
        listener.close()
        return await connection.chunk()

    async def both() -> None:
        assert await play(reset=False) == b""
        assert isinstance(await play(reset=True), http_client.Lost)

    fixtures.run(both)


def test_an_answer_without_length_is_not_ended_by_this_process() -> None:
    """Guards against a connection that one task closes while another reads."""

    async def play() -> None:
        listener, address = _listen()
        connection = await http_client.open_connection(address, 1_000)
        peer = await _accept(listener)
        connection.send(REQUEST)
        await _read(peer)
        peer.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await connection.head()
        assert await connection.chunk() == b"half"
        connection.close()
        assert isinstance(await connection.chunk(), http_client.Lost)
        peer.close()
        listener.close()

    fixtures.run(play)


def test_an_answer_before_the_body_was_read_is_accepted() -> None:
    """A target may reject a large request once it has read the headers."""

    async def play() -> None:
        listener, address = _listen()
        connection = await http_client.open_connection(address, 1_000)
        peer = await _accept(listener)
        connection.send(REQUEST + b"x" * 8_000_000)
        await _read(peer)
        peer.sendall(ANSWER)
        answer = await http_client.read_answer(connection)
        assert answer.head.status == 200
        connection.close()
        peer.close()
        listener.close()

    fixtures.run(play)
