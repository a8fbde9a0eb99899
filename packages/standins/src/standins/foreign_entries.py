"""Entries that a client of the store other than the targets may write."""

from collections.abc import Iterator
import json
from typing import Any

from standins import platform_store

Form = tuple[str, platform_store.RawJson]

DEPTH = 20_000
# Depths around the limits of parsers and encoders.
SMALL_DEPTHS = (100, 300, 900, 990)
# Names that need percent-encoding in a path or a query.
NAMES = (
    "i-a&b",
    "i-a+b",
    "i-a#b",
    "i-a%41b",
    "i-a%",
    "i-a b",
    "i-a?b=c",
    "i-a=b",
    "i-a/b",
    'i-a"b',
    "i-\u00e9",
)
NUMBERS = ("slots", "sequence", "coldRemainingMs", "remainingMs", "born")
TOO_LARGE = ("9" * 30, "9" * 5_000, "1e999", "-" + "9" * 30)
WRONG_TYPES = ("true", '"6"', "6.5", "[6]", "{}", "NaN", "-Infinity")


def with_field(
    spec: dict[str, Any], field: str, value: str
) -> platform_store.RawJson:
    """Returns a target's entry with one field of any JSON text."""
    members = {name: json.dumps(one) for name, one in spec.items()}
    members[field] = value
    text = ", ".join(f'"{name}": {one}' for name, one in members.items())
    return platform_store.RawJson("{" + text + "}")


def nested(spec: dict[str, Any]) -> Iterator[Form]:
    """Yields entries that are nested too deeply.

    Args:
        spec: The entry of a target.
    """
    arrays = "[" * DEPTH + "]" * DEPTH
    objects = '{"a":' * DEPTH + "1" + "}" * DEPTH
    mixed = '[{"]":' * DEPTH + '"}"' + "}]" * DEPTH
    yield "arrays", platform_store.RawJson(arrays)
    yield "objects", platform_store.RawJson(objects)
    yield "mixed", platform_store.RawJson(mixed)
    yield "in an unknown field", with_field(spec, "x", arrays)
    yield "in a known field", with_field(spec, "models", arrays)
    for depth in SMALL_DEPTHS:
        few = "[" * depth + "]" * depth
        yield f"{depth} levels", with_field(spec, "x", few)


def with_invalid_numbers(spec: dict[str, Any]) -> Iterator[Form]:
    """Yields entries with a number out of range or of another type.

    Args:
        spec: The entry of a target.
    """
    for field in NUMBERS:
        for value in (*TOO_LARGE, *WRONG_TYPES):
            # A time may have a fraction.
            if not (field.endswith("Ms") and value == "6.5"):
                yield f"{field} {value[:9]}", with_field(spec, field, value)
    for value in (*TOO_LARGE, *WRONG_TYPES):
        model = f'[{{"name": "base7", "version": {value}, "adapters": []}}]'
        yield f"model {value[:9]}", with_field(spec, "models", model)
    for version in ("9" * 30, "9" * 5_000, "x", "-1"):
        model = f'[{{"name": "base7", "adapters": ["a1@{version}"]}}]'
        yield f"adapter {version[:9]}", with_field(spec, "models", model)


def all_entries(
    spec: dict[str, Any],
) -> Iterator[tuple[str, dict[str, Any] | platform_store.RawJson]]:
    """Yields name and value of one entry of each form.

    Args:
        spec: The entry of a target.
    """
    forms = (*nested(spec), *with_invalid_numbers(spec))
    for number, (_, value) in enumerate(forms):
        yield f"i-other{number}", value
    for name in NAMES:
        yield name, spec
        yield f"{name}0", platform_store.RawJson("[]")
