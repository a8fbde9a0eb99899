"""Field types and validation problems for the document and the settings."""

import dataclasses
import enum
from typing import Annotated
from typing import Any

import pydantic

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
ADDRESS_PATTERN = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
DEFAULT_RETRY_WINDOW_MS = 120_000

Name = Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]
Address = Annotated[str, pydantic.Field(pattern=ADDRESS_PATTERN)]


class TargetKind(enum.StrEnum):
    """What a target process serves: a model engine or a plain service."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One validation error in a document or in settings.

    Attributes:
        path: Path of the value, for example ``services.booking.timeout_ms``.
        value: The invalid value, shortened.
        fix: How to correct the value.
    """

    path: str
    value: str
    fix: str

    def __str__(self) -> str:
        """Returns the problem as one readable line."""
        return f"{self.path}: {self.value}: {self.fix}"


def shorten(value: object, limit: int = 60) -> str:
    """Renders a value for a message, at most ``limit`` characters."""
    text = repr(value)
    return text if len(text) <= limit else text[: limit - 1] + "…"


def explain(error: pydantic.ValidationError) -> tuple[Problem, ...]:
    """Converts a pydantic error to problems with path, value and fix."""
    return tuple(_explain_one(detail) for detail in error.errors())


def _explain_one(detail: Any) -> Problem:
    path = ".".join(str(part) for part in detail["loc"]) or "(whole)"
    fix = detail["msg"]
    match detail["type"]:
        case "unexpected_keyword_argument" | "extra_forbidden":
            fix = "unknown key; remove it or correct its spelling"
        case "missing" | "missing_argument" | "missing_keyword_only_argument":
            return Problem(path, "(missing)", "add this key")
        case "string_pattern_mismatch":
            fix = f"write a text that matches {detail['ctx']['pattern']}"
    return Problem(path, shorten(detail["input"]), fix)
