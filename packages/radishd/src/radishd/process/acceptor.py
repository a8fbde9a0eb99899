"""Accepts clients' connections, no more than a port may have."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import socket

from radishd.process import client_bounds
from radishd.process import logs

# Connections that are accepted before other work is done.
ACCEPTS_PER_TURN = 16
# Pause after an error such as a lack of descriptors.
RETRY_DELAY_S = 0.2


class Acceptor:
    """A listening socket.

    ``asyncio`` accepts all waiting connections at once and only then creates
    their protocols, so it may use up the descriptors of the process before a
    protocol can refuse a connection.
    """

    def __init__(
        self,
        listener: socket.socket,
        make_protocol: Callable[[], asyncio.BaseProtocol],
        bounds: client_bounds.ClientBounds,
    ) -> None:
        """Starts to accept connections.

        Args:
            listener: The socket, which listens and does not block.
            make_protocol: Makes the protocol of a connection.
            bounds: Bounds on the clients of the port.
        """
        self._listener = listener
        self._make_protocol = make_protocol
        self._bounds = bounds
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._resume_timer: asyncio.TimerHandle | None = None
        self._resume()

    @property
    def sockets(self) -> list[socket.socket]:
        """The listening socket, as servers of ``asyncio`` have it."""
        return [self._listener]

    def close(self) -> None:
        """Stops accepting connections; open ones stay open."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
        if self._listener.fileno() >= 0:
            self._loop.remove_reader(self._listener)
            self._listener.close()

    async def wait_closed(self) -> None:
        """Returns at once, as nothing is left to be done."""

    def _resume(self) -> None:
        self._loop.add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
            try:
                connection, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                logs.info("accept_failed", reason=str(error))
                self._loop.remove_reader(self._listener)
                self._resume_timer = self._loop.call_later(
                    RETRY_DELAY_S, self._resume
                )
                return
            if self._bounds.admit():
                connection.setblocking(False)
                task = self._loop.create_task(self._open(connection))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            else:
                connection.close()

    async def _open(self, connection: socket.socket) -> None:
        try:
            await self._loop.connect_accepted_socket(
                self._make_protocol, connection
            )
        except OSError as error:
            # The client has gone, or no descriptor is left.
            logs.info("accept_failed", reason=str(error))
            self._bounds.open_count -= 1
            connection.close()


def open_listener(
    host: str, port: int, backlog: int, send_buffer_bytes: int
) -> socket.socket:
    """Opens a listening socket that does not block.

    Args:
        host: IP number to listen on.
        port: Port to listen on.
        backlog: Maximum number of connections that wait to be accepted.
        send_buffer_bytes: Size of the kernel's send buffer of a connection.
            The kernel grows it to megabytes otherwise, and thousands of
            responses fit into it that nobody reads.

    Raises:
        OSError: If the address cannot be listened on.
    """
    # asyncio disables Nagle's algorithm only for sockets that name TCP.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes
        )
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener
