"""Records of crashes as the store keeps them, an object of our own kind."""

from typing import Annotated
from typing import Any

import pydantic
from radishstack import result
from radishstack.process import crash_evidence
from radishstack.process import incarnation

from radishd.process import checked

# Kind of the objects.
KIND = "crashes"

_Text = Annotated[str, pydantic.Field(min_length=1, pattern=r"^[!-~]+$")]


class _Observation(checked.StrictModel):
    target: _Text
    born_ms: checked.StartTimeMs
    began_unix_ms: int
    ended_unix_ms: int


class _CrashRecord(checked.StrictModel):
    fingerprint: Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{32}$")]
    observations: Annotated[list[_Observation], pydantic.Field(max_length=64)]


def encode(
    record: crash_evidence.Record, now_ms: int, unix_ms: int
) -> dict[str, Any]:
    """Encodes what is known against a request, for the store to keep.

    Args:
        record: What is known.
        now_ms: This VM's clock.
        unix_ms: The wall clock, by which another VM can read it.
    """
    observations = [
        {
            "target": one.start.name,
            "born_ms": one.start.born_ms,
            "began_unix_ms": one.began_at_ms - now_ms + unix_ms,
            "ended_unix_ms": one.ended_at_ms - now_ms + unix_ms,
        }
        for one in record.observations
    ]
    return {"fingerprint": record.fingerprint, "observations": observations}


def decode(
    spec: Any, now_ms: int, unix_ms: int
) -> result.Outcome[crash_evidence.Record]:
    """Decodes what the store keeps of a request.

    Args:
        spec: The object's content.
        now_ms: This VM's clock.
        unix_ms: The wall clock. A crash that lies in its future by another
            VM's clock is taken for one of now.

    Returns:
        The record, or what could not be read.
    """
    try:
        entry = _CrashRecord.model_validate(spec)
    except ValueError as error:
        return checked.invalid_object("crash", error)
    return crash_evidence.Record(
        entry.fingerprint,
        tuple(
            crash_evidence.Observation(
                incarnation.Start(one.target, one.born_ms),
                now_ms - max(0, unix_ms - one.began_unix_ms),
                now_ms - max(0, unix_ms - one.ended_unix_ms),
            )
            for one in entry.observations
        ),
    )
