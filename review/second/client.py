"""A client of the platform, and what it received."""

import asyncio
import dataclasses
import secrets

from second import wire

HOST = "ficu95.example"


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client received for one request.

    Attributes:
        attempt: Id of the attempt.
        status: HTTP status, 0 if there was no head.
        headers: Headers by name in lower case.
        body: The part of the body that arrived.
        complete: Whether the answer is complete as HTTP has it.
        ended: How the channel or the answer ended.
    """

    attempt: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    ended: str = ""

    @property
    def events(self) -> list[int]:
        """Ids of the whole events of a stream, in order."""
        ids = []
        for event in self.body.split(b"\n\n")[:-1]:
            for line in event.splitlines():
                if line.startswith(b"id: "):
                    ids.append(int(line[4:]))
        return ids


class Client:
    """One channel to a daemon."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Wraps an open channel."""
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str) -> "Client":
        """Opens a channel."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def close(self) -> None:
        """Closes the channel."""
        self.writer.close()

    async def ask(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        left_ms: int = 3_000,
        headers: wire.Headers | None = None,
        attempt: str = "",
    ) -> Answer:
        """Sends a request and reads its answer to the end."""
        answer = Answer(attempt or secrets.token_hex(8))
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {answer.attempt}",
            f"X-Deadline-Ms: {left_ms}",
        ]
        lines += [f"{name}: {value}" for name, value in headers or []]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.writer.write(head.encode() + body)
        return await self.read(answer, left_ms)

    async def read(self, answer: Answer, left_ms: int) -> Answer:
        """Reads an answer to its end, until its client's time is over."""
        try:
            async with asyncio.timeout(left_ms / 1_000 + 1):
                await self._read(answer)
        except TimeoutError:
            answer.ended = "no end within its time"
        except asyncio.IncompleteReadError as error:
            answer.body += error.partial
            answer.ended = "the channel closed"
        except OSError as error:
            answer.ended = f"the channel broke: {error}"
        return answer

    async def _read(self, answer: Answer) -> None:
        first, headers = await wire.read_head(self.reader)
        answer.status = int(first.split(" ")[1])
        answer.headers = named = dict(headers)
        if "chunked" in named.get("transfer-encoding", ""):
            while True:
                line = await self.reader.readuntil(b"\r\n")
                size = int(line.split(b";")[0], 16)
                data = await self.reader.readexactly(size + 2)
                answer.body += data[:size]
                if not size:
                    break
        else:
            length = int(named.get("content-length", 0))
            answer.body = await self.reader.readexactly(length)
        answer.complete = True
        answer.ended = "complete"


async def ask_once(
    address: str,
    method: str,
    target: str,
    *,
    body: bytes = b"",
    left_ms: int = 3_000,
    headers: wire.Headers | None = None,
) -> Answer:
    """Sends one request on a channel of its own."""
    client = await Client.open(address)
    try:
        return await client.ask(
            method, target, body=body, left_ms=left_ms, headers=headers
        )
    finally:
        client.close()
