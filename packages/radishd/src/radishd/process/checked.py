"""Validation of stored objects, which any client of the store may write."""

import ipaddress
import re
from typing import Annotated
from typing import Any

import pydantic
from radishstack import result

# The writer's clock may be wrong, but the value must fit the 64-bit integer
# in which it is forwarded.
StartTimeMs = Annotated[int, pydantic.Field(ge=0, lt=2**63)]
Count = Annotated[int, pydantic.Field(ge=0, lt=2**63)]
TimeMs = Annotated[float, pydantic.Field(ge=0, lt=2**63, allow_inf_nan=False)]
# Some name versions by date and time.
MAX_VERSION = 2**63 - 1
Version = Annotated[int, pydantic.Field(ge=0, le=MAX_VERSION)]
# A longer text would not fit into a datagram beside others.
Text = Annotated[
    str, pydantic.Field(min_length=1, max_length=256, pattern=r"^[!-~]+$")
]
_TEXT_VALIDATOR = pydantic.TypeAdapter(Text)
_COUNT_VALIDATOR = pydantic.TypeAdapter(Count)
_VERSION_DIGITS = re.compile(r"[0-9]{1,19}")
MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


class StrictModel(pydantic.BaseModel):
    """A stored object of an untrusted writer; each field is validated.

    An invalid entry could route requests to an address that serves nothing.
    Unknown fields are ignored, since writers may run a newer version.
    """

    model_config = pydantic.ConfigDict(
        strict=True, extra="ignore", frozen=True, defer_build=True
    )


def check_text(value: Any) -> str:
    """Returns a name that datagrams can hold.

    Raises:
        ValueError: If the value is none.
    """
    return _TEXT_VALIDATOR.validate_python(value, strict=True)


def check_count(value: Any) -> int:
    """Returns a count, 0 if the value is null.

    Raises:
        ValueError: If the value is none.
    """
    return _COUNT_VALIDATOR.validate_python(value or 0, strict=True)


def parse_version(digits: str) -> int:
    """Returns the version of an adapter or a model, 0 if the text is empty.

    Raises:
        ValueError: If it is none.
    """
    is_number = not digits or _VERSION_DIGITS.fullmatch(digits)
    if not is_number or int(digits or 0) > MAX_VERSION:
        raise ValueError("a version is no 64-bit number")
    return int(digits or 0)


def check_address(address: str) -> str:
    """Returns an address ``ip:port`` that can be connected to.

    Raises:
        ValueError: If it is none.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    is_number = port.isascii() and port.isdigit()
    if not (is_number and len(port) <= _MAX_PORT_DIGITS):
        raise ValueError("the port is no number")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError("the port is out of range")
    return address


def usable_path(value: Any) -> str:
    """Returns a path that a request line can contain, empty if it cannot."""
    if not isinstance(value, str) or not value.startswith("/"):
        return ""
    is_usable = value.isascii() and value.isprintable() and " " not in value
    return value if is_usable else ""


def invalid_object(what: str, error: Exception) -> result.Failure:
    """Returns why an object is invalid, without its content.

    Args:
        what: Description of the object.
        error: Exception that its validation raised.
    """
    reason = repr(error)
    if isinstance(error, pydantic.ValidationError):
        reason = "; ".join(
            f"{'.'.join(map(str, one['loc']))}: {one['msg']}"
            for one in error.errors(include_url=False, include_input=False)
        )
    return result.Failure(result.STORE_CORRUPT, f"{what}: {reason}")
