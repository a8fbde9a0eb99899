"""Crash records as objects of the store, of a kind defined here."""

from typing import Annotated
from typing import Any

import pydantic
from radishstack import result
from radishstack.process import incarnation
from radishstack.process import suspicion

from radishd.process import checked

KIND = "crashes"

# Fits the 64-bit field in which the age of such a time is reported.
_UnixMs = Annotated[int, pydantic.Field(ge=-(2**62), lt=2**62)]


class _Observation(checked.StrictModel):
    target: checked.Text
    born_ms: checked.StartTimeMs
    began_unix_ms: _UnixMs
    ended_unix_ms: _UnixMs


class _CrashRecord(checked.StrictModel):
    fingerprint: Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{32}$")]
    observations: Annotated[list[_Observation], pydantic.Field(max_length=64)]
    # 0 for a whole request.
    block_position: Annotated[int, pydantic.Field(ge=0, le=255)] = 0


def encode(
    record: suspicion.Record, now_ms: int, unix_ms: int
) -> dict[str, Any]:
    """Encodes a crash record for the store.

    Args:
        record: The record.
        now_ms: The boot clock, the reference of the record's times.
        unix_ms: The wall clock, the reference of the stored times.
    """
    observations = [
        {
            "target": one.incarnation_id.name,
            "born_ms": one.incarnation_id.born_ms,
            "began_unix_ms": one.began_at_ms - now_ms + unix_ms,
            "ended_unix_ms": one.ended_at_ms - now_ms + unix_ms,
        }
        for one in record.observations
    ]
    return {
        "fingerprint": record.fingerprint,
        "observations": observations,
        "block_position": record.block_position,
    }


def decode(
    spec: Any, now_ms: int, unix_ms: int
) -> result.Outcome[suspicion.Record]:
    """Decodes a crash record from the store.

    Args:
        spec: The object's content.
        now_ms: The boot clock, the reference of the record's times.
        unix_ms: The wall clock. Times in its future, which another VM's clock
            may produce, count as now.

    Returns:
        The record, or why it is invalid.
    """
    try:
        entry = _CrashRecord.model_validate(spec)
    except ValueError as error:
        return checked.invalid_object("crash", error)
    return suspicion.Record(
        entry.fingerprint,
        tuple(
            suspicion.Observation(
                incarnation.IncarnationId(one.target, one.born_ms),
                now_ms - max(0, unix_ms - one.began_unix_ms),
                now_ms - max(0, unix_ms - one.ended_unix_ms),
            )
            for one in entry.observations
        ),
        block_position=entry.block_position,
    )
