"""Validation of stored objects, which any client of the store may write."""

from typing import Annotated

import pydantic
from radishstack import result

# The writer's clock may be wrong, but the value must fit the 64-bit integer
# in which it is forwarded.
StartTimeMs = Annotated[int, pydantic.Field(ge=0, lt=2**63)]


class StrictModel(pydantic.BaseModel):
    """A stored object of an untrusted writer; each field is validated.

    An invalid entry could route requests to an address that serves nothing.
    Unknown fields are ignored, since writers may run a newer version.
    """

    model_config = pydantic.ConfigDict(
        strict=True, extra="ignore", frozen=True, defer_build=True
    )


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
