"""A loopback TCP relay on the link to a target."""

import asyncio
import contextlib
import dataclasses

RELAY_BYTES = 65_536
POLL_S = 0.02
# Limit of the wait for bytes that are on their way.
FINISH_LIMIT_S = 2.0
MS_PER_S = 1_000


@dataclasses.dataclass(slots=True)
class Link:
    """Current faults of the relay.

    Attributes:
        silent: Whether bytes are withheld, without a reset.
        delay_ms: Delay of each chunk.
    """

    silent: bool = False
    delay_ms: int = 0


class Relay:
    """Forwards connections from one address to another."""

    def __init__(self, upstream: tuple[str, int]) -> None:
        """Creates a relay that does not listen yet.

        Args:
            upstream: Address that connections are forwarded to.
        """
        self.link = Link()
        self._upstream = upstream
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Starts listening."""
        self._server = await asyncio.start_server(self._accept, host, port)

    @property
    def is_open(self) -> bool:
        """Whether it listens."""
        return self._server is not None and self._server.is_serving()

    def reset(self) -> None:
        """Resets every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop_listening(self) -> None:
        """Stops listening; open connections are still forwarded."""
        if self._server is not None:
            self._server.close()

    async def finish(self) -> None:
        """Waits until everything that peers have sent was forwarded."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FINISH_LIMIT_S):
                while self._tasks:
                    await asyncio.sleep(POLL_S)

    def stop(self) -> None:
        """Stops listening and resets all connections; it can be restarted."""
        self.stop_listening()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._upstream
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, upstream_writer}
        links = ((reader, upstream_writer), (upstream_reader, writer))
        for source, sink in links:
            task = asyncio.create_task(self._copy(source, sink))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(RELAY_BYTES):
                await asyncio.sleep(self.link.delay_ms / MS_PER_S)
                while self.link.silent:
                    await asyncio.sleep(POLL_S)
                reset = reader.exception()
                if reset is not None:
                    # Bytes that are held up are lost if their sender resets
                    # the connection.
                    raise reset
                writer.write(data)
                await writer.drain()
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()
        except OSError:
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
