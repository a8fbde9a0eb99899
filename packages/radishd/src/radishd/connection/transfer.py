"""Transfers a configuration version from a peer during a store outage."""

import json

import anyio
from radishstack import result
from radishstack.connection import frame
from radishstack.request import sequence
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib

from radishd.connection import inbox as inbox_lib
from radishd.connection import link as link_lib
from radishd.process import configuration as configuration_lib
from radishd.process import logs

CHUNK_BYTES = 65_536
ACK_EVERY_CHUNKS = 16
FETCH_TIMEOUT_S = 10.0
OBJECT_API_WAIT_MS = 1_000


def encode_chunks(held: holder_lib.HeldVersion) -> list[bytes]:
    """Splits a version into chunks; the first identifies it."""
    head = {"version": held.version, "write_id": held.write_id}
    data = json.dumps(document_lib.to_plain(held.document)).encode()
    return [
        json.dumps(head).encode(),
        *(
            data[start : start + CHUNK_BYTES]
            for start in range(0, len(data), CHUNK_BYTES)
        ),
    ]


def join(chunks: list[bytes]) -> result.Outcome[holder_lib.HeldVersion]:
    """Reassembles a version from its chunks."""
    try:
        head = json.loads(chunks[0])
        document = document_lib.parse(json.loads(b"".join(chunks[1:])))
        version, write_id = int(head["version"]), str(head["write_id"])
    except (
        ValueError,
        KeyError,
        IndexError,
        TypeError,
        OverflowError,
        RecursionError,
    ) as error:
        return result.Failure(result.STORE_CORRUPT, f"a peer's: {error!r}")
    if isinstance(document, tuple):
        return result.Failure(result.STORE_CORRUPT, f"a peer's: {document[0]}")
    return holder_lib.HeldVersion(version, write_id, document)


async def fetch_newest(
    links: link_lib.Links, seeds: tuple[str, ...]
) -> holder_lib.HeldVersion | None:
    """Queries several peers and returns their newest version.

    A single peer may be partitioned and outdated. Its answer alone could
    activate a version that was replaced long ago.

    Args:
        links: The connections of this process.
        seeds: Addresses of target processes.

    Returns:
        The newest version, or None if no peer returned one.
    """
    found: list[holder_lib.HeldVersion] = []

    async def ask(address: str) -> None:
        held = await _fetch(links, address)
        if isinstance(held, result.Failure):
            logs.warn("fetch_failed", peer=address, reason=held.message)
        elif held.version:
            found.append(held)

    async with anyio.create_task_group() as tasks:
        for address in seeds:
            tasks.start_soon(ask, address)
    return max(found, key=lambda held: held.version, default=None)


async def seed(
    configuration: configuration_lib.Configuration,
    links: link_lib.Links,
    seeds: tuple[str, ...],
) -> None:
    """Fetches the first version from peers if the object API is down.

    Args:
        configuration: Configuration that receives the version.
        links: The connections of this process.
        seeds: Addresses of target processes; may be empty.
    """
    while seeds:
        if await configuration.wait_for(1, OBJECT_API_WAIT_MS):
            return
        held = await fetch_newest(links, seeds)
        if held is not None:
            logs.info("config_from_peer", config_version=held.version)
            configuration.offer(held)


async def _fetch(
    links: link_lib.Links, address: str
) -> result.Outcome[holder_lib.HeldVersion]:
    link = await links.get(address, address)
    if isinstance(link, result.Failure):
        return link
    stream, inbox = link.open()
    try:
        with anyio.move_on_after(FETCH_TIMEOUT_S):
            link.send(stream, frame.Fetch())
            return await _collect(link, stream, inbox)
    finally:
        link.close(stream)
    return result.Failure(result.LINK_LOST, f"{address} took too long")


async def _collect(
    link: link_lib.Link, stream: int, inbox: inbox_lib.Inbox
) -> result.Outcome[holder_lib.HeldVersion]:
    order = sequence.Sequence()
    chunks: list[bytes] = []
    while True:
        item = await inbox.take()
        match item:
            case frame.Chunk(number=number, payload=payload):
                if order.take(number) is not sequence.Verdict.TAKE:
                    return result.Failure(result.CHUNK_GAP, "a chunk is gone")
                chunks.append(payload)
                if order.expected % ACK_EVERY_CHUNKS == 0:
                    link.send(stream, frame.Ack(order.expected))
            case frame.End(total=total):
                if not order.end(total):
                    return result.Failure(result.CHUNK_GAP, "its end is gone")
                return join(chunks)
            case frame.Accepted():
                continue
            case _:
                return inbox_lib.LINK_LOST
