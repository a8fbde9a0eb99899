"""Decodes JSON whose parts have different writers.

A parser gives up a whole document for one value that is nested too deeply or
has too many digits. Here, such a value is decoded as ``Unreadable``, and the
others as usual.
"""

import dataclasses
import json
import math
import re
from typing import Any

# Deeper values would exceed the recursion limit of what handles them next, such
# as an encoder. The documents of this system have less than ten levels.
MAX_DEPTH = 64
# What other systems and the codec of datagrams can hold as an integer.
INTEGERS = range(-(2**63), 2**63)

_DECODER = json.JSONDecoder(strict=False)
_SPACE = re.compile(r"[ \t\n\r]*+")
_STRING = r'"(?:[^"\\]++|\\.)*+"'
_SCALAR = re.compile(rf"{_STRING}|[^\s,\[\]{{}}:\"]++", re.DOTALL)
# Strings are matched as a whole, since they may contain brackets.
_BRACKETS = re.compile(rf"{_STRING}|[\[{{]++|[\]}}]++", re.DOTALL)


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """Stands in place of a value that cannot be decoded or used.

    Attributes:
        reason: Why, without the value itself.
    """

    reason: str


def decode(data: bytes, *, isolated_levels: int) -> Any:
    """Decodes a document; invalid UTF-8 affects only its own string.

    Args:
        data: The document.
        isolated_levels: Number of levels whose values are decoded one by one if
            the whole document cannot be decoded.

    Raises:
        ValueError: If it is no JSON document.
    """
    text = data.decode("utf-8", "replace")
    try:
        return _DECODER.decode(text)
    except (ValueError, RecursionError):
        value, end = _Reader(text).read(_skip_space(text, 0), isolated_levels)
        if _skip_space(text, end) != len(text):
            raise ValueError("text after the document") from None
        return value


def is_too_deep(value: Any) -> bool:
    """Whether a decoded value is nested more than ``MAX_DEPTH`` levels deep."""
    containers = [[value]]
    for _ in range(MAX_DEPTH + 1):
        containers = [
            member
            for container in containers
            for member in (
                container.values() if type(container) is dict else container
            )
            if type(member) is dict or type(member) is list
        ]
        if not containers:
            return False
    return True


def find_problem(value: Any, max_size: float = math.inf) -> str:
    """Returns why a decoded value cannot be used, empty if it can.

    It may be nested too deeply, contain a number that is out of range, or be
    too large to be kept.

    Args:
        value: The value.
        max_size: Maximum number of values and characters in it.
    """
    if isinstance(value, Unreadable):
        return value.reason
    size = 0
    containers = [[value]]
    for _ in range(MAX_DEPTH + 1):
        deeper: list[Any] = []
        for container in containers:
            members = (
                container.values() if type(container) is dict else container
            )
            size += len(members)
            for member in members:
                kind = type(member)
                if kind is str:
                    size += len(member)
                elif kind is dict or kind is list:
                    deeper.append(member)
                elif kind is int:
                    if member not in INTEGERS:
                        return "an integer has more than 64 bits"
                elif kind is float and not math.isfinite(member):
                    return "a number is not finite"
                elif kind is Unreadable:
                    return member.reason
        if size > max_size:
            return f"more than {max_size} values and characters"
        if not deeper:
            return ""
        containers = deeper
    return f"nested more than {MAX_DEPTH} levels deep"


class _Reader:
    """Reads values of a document one by one."""

    def __init__(self, text: str) -> None:
        self._text = text

    def read(self, start: int, isolated_levels: int) -> tuple[Any, int]:
        """Reads the value at a position; returns it and where it ends."""
        try:
            return _DECODER.raw_decode(self._text, start)
        except (ValueError, RecursionError) as error:
            opening = self._text[start : start + 1]
            if isolated_levels and opening == "{":
                return self._read_object(start, isolated_levels - 1)
            if isolated_levels and opening == "[":
                return self._read_array(start, isolated_levels - 1)
            return Unreadable(_reason(error)), self._skip(start)

    def _read_object(self, start: int, levels: int) -> tuple[Any, int]:
        fields: dict[str, Any] = {}
        at = _skip_space(self._text, start + 1)
        while not self._text.startswith("}", at):
            name, at = self.read(at, 0)
            at = _skip_space(self._text, self._expect(":", at))
            value, at = self.read(at, levels)
            if isinstance(name, str):
                fields[name] = value
            at = self._next_member("}", at)
        return fields, at + 1

    def _read_array(self, start: int, levels: int) -> tuple[Any, int]:
        values: list[Any] = []
        at = _skip_space(self._text, start + 1)
        while not self._text.startswith("]", at):
            value, at = self.read(at, levels)
            values.append(value)
            at = self._next_member("]", at)
        return values, at + 1

    def _next_member(self, closing: str, at: int) -> int:
        """Returns where the next member begins, or the closing bracket is."""
        at = _skip_space(self._text, at)
        if self._text.startswith(closing, at):
            return at
        return _skip_space(self._text, self._expect(",", at))

    def _expect(self, mark: str, at: int) -> int:
        at = _skip_space(self._text, at)
        if not self._text.startswith(mark, at):
            raise ValueError(f"no {mark!r} at {at}")
        return at + 1

    def _skip(self, start: int) -> int:
        """Returns where a value ends, whatever its depth."""
        if not self._text.startswith(("[", "{"), start):
            scalar = _SCALAR.match(self._text, start)
            if scalar is None:
                raise ValueError(f"no value at {start}")
            return scalar.end()
        depth = 0
        for token in _BRACKETS.finditer(self._text, start):
            brackets = token.group()
            if brackets[0] in "[{":
                depth += len(brackets)
            elif brackets[0] != '"':
                depth -= len(brackets)
                if depth <= 0:
                    # The run may close values around this one, too.
                    return token.end() + depth
        raise ValueError(f"no end of the value at {start}")


def _skip_space(text: str, at: int) -> int:
    return _SPACE.match(text, at).end()


def _reason(error: Exception) -> str:
    if isinstance(error, RecursionError):
        return f"nested more than {MAX_DEPTH} levels deep"
    if isinstance(error, json.JSONDecodeError):
        return "no JSON value"
    return "a number has too many digits"
