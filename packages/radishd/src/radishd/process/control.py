"""Datagrams between processes: load probes and reports, version digests."""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools

import anyio
import anyio.abc
from radishstack import load as load_lib
from radishstack import result
from radishstack.connection import frame

from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib

MS_PER_S = 1000.0
UDP_IP_HEADER_BYTES = 28
MAX_NONCE = 2**32

Address = tuple[str, int]
ProbeHandler = Callable[[frame.Probe], load_lib.Load]
ChangeHandler = Callable[
    [frame.Digest | frame.PushedCommit, Address], Awaitable[None]
]


class ControlSocket:
    """The control socket of a process, over UDP."""

    def __init__(
        self, socket: anyio.abc.UDPSocket, metrics: metrics_lib.Metrics
    ) -> None:
        """Wraps a bound socket."""
        self._socket = socket
        self._metrics = metrics
        self._send_lock = anyio.Lock()
        self._nonces = itertools.count(1)
        self._pending_probes: dict[int, tuple[Address, anyio.Event]] = {}
        self._probe_reports: dict[int, load_lib.Load] = {}
        self.on_probe: ProbeHandler | None = None
        self.on_change: ChangeHandler | None = None
        self.bytes_sent = 0
        self.bytes_received = 0

    async def run(self) -> None:
        """Receives and dispatches datagrams until cancelled."""
        async for data, (host, port) in self._socket:
            size_bytes = len(data) + UDP_IP_HEADER_BYTES
            self.bytes_received += size_bytes
            self._metrics.control_bytes.add({"direction": "in"}, size_bytes)
            datagram = frame.decode_datagram(data)
            if isinstance(datagram, result.Failure):
                continue
            await self._handle(datagram, (host, port))

    async def _handle(self, datagram: frame.Datagram, sender: Address) -> None:
        match datagram.body:
            case frame.Probe() if self.on_probe is not None:
                report = self.on_probe(datagram.body)
                await self.send(sender, datagram.nonce, report)
            case load_lib.Load():
                pending = self._pending_probes.get(datagram.nonce)
                # Only the probed address may answer: datagrams are easily
                # forged.
                if pending is not None and pending[0] == sender:
                    self._probe_reports[datagram.nonce] = datagram.body
                    pending[1].set()
            case frame.Digest() | frame.PushedCommit():
                if self.on_change is not None:
                    await self.on_change(datagram.body, sender)

    async def send(
        self, address: Address, nonce: int, body: frame.DatagramBody
    ) -> None:
        """Sends one datagram; a failed send counts as datagram loss."""
        data = frame.encode_datagram(nonce, body)
        size_bytes = len(data) + UDP_IP_HEADER_BYTES
        self.bytes_sent += size_bytes
        self._metrics.control_bytes.add({"direction": "out"}, size_bytes)
        try:
            async with self._send_lock:
                await self._socket.sendto(data, *address)
        except OSError:
            return

    async def probe(
        self, address: Address, adapter: str, version: int, timeout_ms: int
    ) -> load_lib.Load | None:
        """Probes a target process for its load.

        Args:
            address: Address of its control socket.
            adapter: The adapter of interest, empty for none.
            version: Configuration version held here.
            timeout_ms: How long to wait.

        Returns:
            The report, or None if none arrived in time.
        """
        nonce = next(self._nonces) % MAX_NONCE
        event = anyio.Event()
        self._pending_probes[nonce] = (address, event)
        try:
            await self.send(address, nonce, frame.Probe(adapter, version))
            with anyio.move_on_after(timeout_ms / MS_PER_S):
                await event.wait()
            report = self._probe_reports.pop(nonce, None)
        finally:
            del self._pending_probes[nonce]
        outcome = "answered" if report is not None else "lost"
        self._metrics.probes.inc({"outcome": outcome})
        return report


async def open_control_socket(
    address: str, metrics: metrics_lib.Metrics
) -> ControlSocket:
    """Binds the control socket of a process.

    Args:
        address: ``ip:port``.
        metrics: Where probes are counted.

    Returns:
        The socket; the caller runs it.
    """
    host, port = settings_lib.split_address(address)
    socket = await anyio.create_udp_socket(local_host=host, local_port=port)
    return ControlSocket(socket, metrics)
