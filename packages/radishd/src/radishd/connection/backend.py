"""Network backend for httpcore with low overhead per read.

Each token of a stream is one read. The stock backend opens a cancel scope and
maps exceptions around every read, which costs more than the read itself. This
backend opens no cancel scope for a read without a timeout. Callers that read
without a timeout detect stalls by other means.
"""

from collections.abc import Iterable
import select
import ssl
from typing import Any

import anyio
import anyio.abc
import httpcore


class Stream(httpcore.AsyncNetworkStream):
    """One connected socket."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        """Wraps a connected socket."""
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Reads available bytes; returns empty bytes at end of stream."""
        try:
            if timeout is None:
                return await self._stream.receive(max_bytes)
            with anyio.fail_after(timeout):
                return await self._stream.receive(max_bytes)
        except anyio.EndOfStream:
            return b""
        except TimeoutError as error:
            raise httpcore.ReadTimeout from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.ReadError from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Writes a whole buffer."""
        if not buffer:
            return
        try:
            with anyio.fail_after(timeout):
                await self._stream.send(buffer)
        except TimeoutError as error:
            raise httpcore.WriteTimeout from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise httpcore.WriteError from error

    async def aclose(self) -> None:
        """Closes the socket."""
        await anyio.aclose_forcefully(self._stream)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Is not implemented; connections on the VM's loopback use no TLS."""
        raise NotImplementedError

    def get_extra_info(self, info: str) -> Any:
        """Returns whether the socket is readable, None for other queries."""
        if info != "is_readable":
            return None
        socket = self._stream.extra(anyio.abc.SocketAttribute.raw_socket)
        return _is_readable(socket.fileno())


def _is_readable(descriptor: int) -> bool:
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class Backend(httpcore.AsyncNetworkBackend):
    """Opens TCP connections for httpcore."""

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Connects to a target."""
        del local_address, socket_options
        try:
            with anyio.fail_after(timeout):
                stream = await anyio.connect_tcp(host, port)
        except TimeoutError as error:
            raise httpcore.ConnectTimeout from error
        except OSError as error:
            raise httpcore.ConnectError from error
        return Stream(stream)

    async def sleep(self, seconds: float) -> None:
        """Sleeps between httpcore's connection retries."""
        await anyio.sleep(seconds)
