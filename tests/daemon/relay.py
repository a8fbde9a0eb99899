"""A TCP relay between processes whose connections a test can abort."""

from collections.abc import Iterator
import contextlib
import socket
import threading

READ_BYTES = 65_536


class TcpRelay:
    """Relays TCP connections until they are aborted."""

    def __init__(
        self, listener: socket.socket, destination: tuple[str, int]
    ) -> None:
        """Starts to accept connections."""
        self._listener = listener
        self._destination = destination
        self._sockets: list[socket.socket] = []
        self._lock = threading.Lock()
        self.relayed_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection(self._destination)
            except OSError:
                return
            with self._lock:
                self._sockets += [client, server]
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                sink.sendall(data)
                self.relayed_bytes += len(data)
        for endpoint in (source, sink):
            with contextlib.suppress(OSError):
                endpoint.shutdown(socket.SHUT_RDWR)

    def abort_connections(self) -> int:
        """Aborts every connection and returns how many there were."""
        with self._lock:
            sockets, self._sockets = self._sockets, []
        for endpoint in sockets:
            with contextlib.suppress(OSError):
                endpoint.shutdown(socket.SHUT_RDWR)
            endpoint.close()
        return len(sockets) // 2


@contextlib.contextmanager
def open_relay(
    address: tuple[str, int], destination: tuple[str, int]
) -> Iterator[TcpRelay]:
    """Relays connections from one address to another.

    Args:
        address: Address to listen on.
        destination: Address to connect to.

    Yields:
        The relay.
    """
    with socket.create_server(address) as listener:
        relay = TcpRelay(listener, destination)
        try:
            yield relay
        finally:
            relay.abort_connections()
