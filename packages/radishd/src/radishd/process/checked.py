"""Validation of objects of the store, which anybody may have written."""

from typing import Annotated

import pydantic
from radishstack import result

# Clocks may be wrong, but a birth has to fit where it is passed on.
StartTimeMs = Annotated[int, pydantic.Field(ge=0, lt=2**63)]


class StrictModel(pydantic.BaseModel):
    """An object that anybody may have written: each field is checked.

    Sent to what such an entry names, requests would go where nobody answers
    for them. Fields that are not known here pass; writers may be newer.
    """

    model_config = pydantic.ConfigDict(
        strict=True, extra="ignore", frozen=True, defer_build=True
    )


def invalid_object(what: str, error: Exception) -> result.Failure:
    """Returns why an object cannot be used, without its content.

    Args:
        what: The object.
        error: What its validation raised.
    """
    reason = repr(error)
    if isinstance(error, pydantic.ValidationError):
        reason = "; ".join(
            f"{'.'.join(map(str, one['loc']))}: {one['msg']}"
            for one in error.errors(include_url=False, include_input=False)
        )
    return result.Failure(result.STORE_CORRUPT, f"{what}: {reason}")
