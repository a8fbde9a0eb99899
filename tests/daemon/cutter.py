"""A relay between processes whose connections a test can cut."""

from collections.abc import Iterator
import contextlib
import socket
import threading

RELAY_BYTES = 65_536


class Cutter:
    """Relays TCP connections until they are cut."""

    def __init__(self, listener: socket.socket, to: tuple[str, int]) -> None:
        """Starts to accept."""
        self._listener = listener
        self._to = to
        self._sockets: list[socket.socket] = []
        self._lock = threading.Lock()
        self.relayed_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
                far = socket.create_connection(self._to)
            except OSError:
                return
            with self._lock:
                self._sockets += [near, far]
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._relay, args=(source, sink), daemon=True
                ).start()

    def _relay(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(RELAY_BYTES):
                sink.sendall(data)
                self.relayed_bytes += len(data)
        for one in (source, sink):
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)

    def cut(self) -> int:
        """Cuts every connection and returns how many there were."""
        with self._lock:
            sockets, self._sockets = self._sockets, []
        for one in sockets:
            with contextlib.suppress(OSError):
                one.shutdown(socket.SHUT_RDWR)
            one.close()
        return len(sockets) // 2


@contextlib.contextmanager
def open_cutter(
    address: tuple[str, int], to: tuple[str, int]
) -> Iterator[Cutter]:
    """Relays from an address to another one.

    Args:
        address: Where to listen.
        to: Where to connect.

    Yields:
        The relay.
    """
    with socket.create_server(address) as listener:
        cutter = Cutter(listener, to)
        try:
            yield cutter
        finally:
            cutter.cut()
