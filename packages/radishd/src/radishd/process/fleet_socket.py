"""The UDP socket of gateways and sidecars."""

from collections.abc import Callable
from collections.abc import Iterable

import anyio
import anyio.abc
from radishstack import result
from radishstack.connection import fleet_wire

from radishd.process import logs
from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib

UDP_IP_HEADER_BYTES = 28

Address = tuple[str, int]
Handler = Callable[[fleet_wire.Datagram, Address], None]


class FleetSocket:
    """Sends and receives typed datagrams."""

    def __init__(
        self,
        socket: anyio.abc.UDPSocket,
        metrics: metrics_lib.Metrics,
        handler: Handler,
    ) -> None:
        """Wraps a bound socket.

        Args:
            socket: The socket.
            metrics: Where bytes are counted.
            handler: Called with each valid datagram and its sender.
        """
        self._socket = socket
        self._metrics = metrics
        self._handler = handler

    async def run(self) -> None:
        """Receives until cancelled."""
        while True:
            try:
                data, (host, port) = await self._socket.receive()
            except anyio.BrokenResourceError:
                # A datagram to a closed port of a peer causes an error here;
                # this socket remains usable.
                continue
            size_bytes = len(data) + UDP_IP_HEADER_BYTES
            self._metrics.control_bytes.add({"direction": "in"}, size_bytes)
            datagram = fleet_wire.decode(data)
            if isinstance(datagram, result.Failure):
                logs.warn("datagram_dropped", reason=datagram.message)
                continue
            self._handler(datagram, (host, port))

    async def send(
        self, address: Address, datagram: fleet_wire.Datagram
    ) -> None:
        """Sends one datagram; a failed send counts as datagram loss."""
        await self.send_all((address,), datagram)

    async def send_all(
        self, addresses: Iterable[Address], datagram: fleet_wire.Datagram
    ) -> None:
        """Sends the same datagram to several peers, encoded once.

        Encoding is most of the cost of a send; encoding for each peer would
        multiply that cost by the size of the fleet.
        """
        data = fleet_wire.encode(datagram)
        size_bytes = len(data) + UDP_IP_HEADER_BYTES
        for address in addresses:
            self._metrics.control_bytes.add({"direction": "out"}, size_bytes)
            try:
                await self._socket.sendto(data, *address)
            except (
                OSError,
                anyio.BusyResourceError,
                anyio.BrokenResourceError,
            ):
                self._metrics.control_lost.inc({})


async def open_socket(
    address: str, metrics: metrics_lib.Metrics, handler: Handler
) -> FleetSocket:
    """Binds the socket.

    Args:
        address: ``ip:port``.
        metrics: Where bytes are counted.
        handler: Called with each valid datagram and its sender.
    """
    host, port = settings_lib.split_address(address)
    socket = await anyio.create_udp_socket(local_host=host, local_port=port)
    return FleetSocket(socket, metrics, handler)
