"""The codec for typed frames and datagrams between processes.

A frame on a stream socket is a four-byte little-endian length and one Cap'n
Proto message. A datagram is one message. Decoding validates both.
"""

import dataclasses
import functools
import pathlib

import capnp

from radishstack import load as load_lib
from radishstack import result

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 17 * 1024 * 1024
ATTEMPT_ID_BYTES = 16
MAX_DRAINING_NAMES = 64

_wire = capnp.load(str(pathlib.Path(__file__).with_name("wire.capnp")))
_TRAVERSAL_LIMIT_WORDS = MAX_FRAME_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The first frame that each side of a connection sends.

    Attributes:
        process: 8 random bytes that identify the sending process.
        version: Configuration version that it holds.
        sent_at_ms: Send time on its monotonic clock.
    """

    process: bytes
    version: int
    sent_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Submit:
    """Asks a target process to run an attempt.

    Times are on the sender's clock.
    """

    attempt_id: bytes
    request_id: str
    version: int
    service: str
    customer: str
    adapter: str
    key: str
    digest: bytes
    sent_at_ms: int
    accepted_at_ms: int
    deadline_at_ms: int
    method: str
    path: str
    content_type: str
    body: bytes
    streams: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """Resumes an attempt on another connection, from a given chunk."""

    attempt_id: bytes
    next_number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The start of a response, which is followed by its chunks.

    Attributes:
        status: HTTP status.
        content_type: Content type.
        load: The load that the target reports.
        adapter: The adapter that ran, ``name@version``. A response stored for
            an idempotency key may be from an earlier version than a retry
            requested.
    """

    status: int
    content_type: str
    load: load_lib.Load
    adapter: str


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A chunk of the response."""

    number: int
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The explicit end of a response; ``code`` 0 means that it is complete."""

    total: int
    code: int
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Reports that an attempt got no response here, with the result code."""

    code: int
    message: str
    retry_after_ms: int
    load: load_lib.Load
    executed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Acknowledges the chunks before a number."""

    acked: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Cancels an attempt because its caller disconnected."""


@dataclasses.dataclass(frozen=True, slots=True)
class Seal:
    """Asks a former target never to run a key that it has not run yet.

    Attributes:
        service: The service.
        key: The idempotency key.
        asker: Name of the target that is to run it.
    """

    service: str
    key: str
    asker: str


@dataclasses.dataclass(frozen=True, slots=True)
class Sealed:
    """A former target's reply to a seal request; see ``ledger.SealReply``."""

    answer: int


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks a target process for its load, over UDP."""

    adapter: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Digest:
    """Reports the configuration version that a process holds, over UDP.

    Attributes:
        version: Configuration version held.
        reply: Whether this is a reply to another digest.
        leaving: Names of targets reported as draining.
    """

    version: int
    reply: bool
    leaving: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PushedCommit:
    """Sends a peer the commit of its next version, over UDP."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Fetch:
    """Requests the whole document that a target process holds."""


Body = (
    Hello
    | Submit
    | Attach
    | Accepted
    | Chunk
    | End
    | Refusal
    | Ack
    | Cancel
    | Seal
    | Sealed
    | Fetch
)
DatagramBody = Probe | load_lib.Load | Digest | PushedCommit


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One frame of one stream."""

    stream: int
    body: Body


@dataclasses.dataclass(frozen=True, slots=True)
class Datagram:
    """A datagram; the nonce matches a report to its probe."""

    nonce: int
    body: DatagramBody


def encode(stream: int, body: Body) -> bytes:
    """Encodes a frame with its length prefix.

    Args:
        stream: Stream id.
        body: The body.

    Returns:
        The bytes for the socket.
    """
    message = _wire.Frame.new_message(stream=stream)
    _fill(body, message)
    data = message.to_bytes()
    return len(data).to_bytes(LENGTH_BYTES, "little") + data


def encode_chunk(stream: int, number: int, payload: bytes) -> bytes:
    """Encodes a chunk frame on the hot path, without creating a ``Chunk``."""
    message = _wire.Frame.new_message(stream=stream)
    chunk = message.init("chunk")
    chunk.number = number
    chunk.payload = payload
    data = message.to_bytes()
    return len(data).to_bytes(LENGTH_BYTES, "little") + data


@functools.singledispatch
def _fill(body: object, message: object) -> None:
    raise TypeError(f"not a frame body: {body!r}")


def _camel(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.title() for part in tail)


def _register_flat(body_type: type, union_name: str) -> None:
    names = [field.name for field in dataclasses.fields(body_type)]
    pairs = [(name, _camel(name)) for name in names if name != "load"]
    has_load = "load" in names

    def fill(body: object, message: object) -> None:
        struct = message.init(union_name)
        for name, wire_name in pairs:
            setattr(struct, wire_name, getattr(body, name))
        if has_load:
            _fill_load(body.load, struct.init("load"))

    def read(struct: object) -> object:
        values = [
            _read_load(struct.load)
            if name == "load"
            else getattr(struct, _camel(name))
            for name in names
        ]
        return body_type(*values)

    _fill.register(body_type, fill)
    _READERS[union_name] = read


def _fill_load(load: load_lib.Load, struct: object) -> None:
    for name, wire_name in _LOAD_FIELDS:
        setattr(struct, wire_name, getattr(load, name))


def _read_load(struct: object) -> load_lib.Load:
    return load_lib.Load(
        *(getattr(struct, wire_name) for _, wire_name in _LOAD_FIELDS)
    )


_LOAD_FIELDS = [
    (f.name, _camel(f.name)) for f in dataclasses.fields(load_lib.Load)
]
_READERS = {
    "ack": Ack,
    "cancel": lambda _: Cancel(),
    "fetch": lambda _: Fetch(),
    "chunk": lambda struct: Chunk(struct.number, struct.payload),
}

for _type, _name in [
    (Hello, "hello"),
    (Submit, "submit"),
    (Attach, "attach"),
    (Accepted, "accepted"),
    (End, "end"),
    (Refusal, "refusal"),
    (Seal, "seal"),
    (Sealed, "sealed"),
]:
    _register_flat(_type, _name)


@_fill.register
def _fill_chunk(body: Chunk, message: object) -> None:
    chunk = message.init("chunk")
    chunk.number = body.number
    chunk.payload = body.payload


@_fill.register
def _fill_ack(body: Ack, message: object) -> None:
    message.ack = body.acked


@_fill.register
def _fill_fetch(body: Fetch, message: object) -> None:
    message.fetch = None


@_fill.register
def _fill_cancel(body: Cancel, message: object) -> None:
    message.cancel = None


def decode(data: bytes) -> result.Outcome[Frame]:
    """Decodes and validates the message of one frame.

    Args:
        data: The message, without its length prefix.

    Returns:
        The frame, or why the connection must be closed.
    """
    try:
        with _wire.Frame.from_bytes(
            data, traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS
        ) as message:
            kind = str(message.which)
            body = _READERS[kind](getattr(message, kind))
            frame = Frame(message.stream, body)
    except (capnp.KjException, KeyError, ValueError, AttributeError) as error:
        return result.Failure(
            result.FRAME_MALFORMED, str(error).partition("\n")[0][:200]
        )
    return _check(frame)


def _check(frame: Frame) -> result.Outcome[Frame]:
    match frame.body:
        case Submit(attempt_id=identity) | Attach(attempt_id=identity):
            if len(identity) != ATTEMPT_ID_BYTES:
                return result.Failure(
                    result.FRAME_MALFORMED,
                    f"attempt id of {len(identity)} bytes",
                )
    return frame


class Splitter:
    """Splits a byte stream into the messages of its frames."""

    __slots__ = ("_buffer", "max_frame_bytes")

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Creates a splitter with an empty buffer."""
        self._buffer = bytearray()
        self.max_frame_bytes = max_frame_bytes

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of the frame that is being received."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes] | result.Failure:
        """Adds bytes from the socket.

        Args:
            data: The bytes.

        Returns:
            The complete messages, or why the connection must be closed.
        """
        buffer = self._buffer
        buffer += data
        messages = []
        frame_start = 0
        while len(buffer) - frame_start >= LENGTH_BYTES:
            message_start = frame_start + LENGTH_BYTES
            length = int.from_bytes(buffer[frame_start:message_start], "little")
            if length > self.max_frame_bytes:
                return result.Failure(
                    result.FRAME_TOO_LARGE,
                    f"{length} bytes, at most {self.max_frame_bytes}",
                )
            if len(buffer) - message_start < length:
                break
            messages.append(
                bytes(buffer[message_start : message_start + length])
            )
            frame_start = message_start + length
        del buffer[:frame_start]
        return messages


def encode_datagram(nonce: int, body: DatagramBody) -> bytes:
    """Encodes a datagram, packed because most of its bytes are zero."""
    message = _wire.Datagram.new_message(nonce=nonce)
    match body:
        case Probe():
            probe = message.init("probe")
            probe.adapter, probe.version = body.adapter, body.version
        case load_lib.Load():
            _fill_load(body, message.init("report"))
        case Digest():
            digest = message.init("digest")
            digest.version, digest.reply = body.version, body.reply
            digest.leaving = list(body.leaving[:MAX_DRAINING_NAMES])
        case PushedCommit():
            message.commit = body.data
    return message.to_bytes_packed()


def decode_datagram(data: bytes) -> result.Outcome[Datagram]:
    """Decodes a datagram.

    Args:
        data: The datagram.

    Returns:
        The datagram, or why it is ignored.
    """
    try:
        message = _wire.Datagram.from_bytes_packed(data)
        kind = str(message.which)
        struct = getattr(message, kind)
        match kind:
            case "probe":
                body = Probe(struct.adapter, struct.version)
            case "report":
                body = _read_load(struct)
            case "commit":
                body = PushedCommit(struct)
            case _:
                body = Digest(
                    struct.version, struct.reply, tuple(struct.leaving)
                )
        return Datagram(message.nonce, body)
    except (capnp.KjException, ValueError, AttributeError) as error:
        return result.Failure(
            result.FRAME_MALFORMED, str(error).partition("\n")[0][:200]
        )
