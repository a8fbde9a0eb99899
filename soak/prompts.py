"""Prompts of requests, as the header that names their blocks."""

from collections.abc import Mapping
import secrets

# First block of all prompts, and the number of blocks that sound ones continue
# with.
FIRST_BLOCK = "5c1e07a2"
SOUND_BLOCK_COUNT = 6
# Prefix of the ids of blocks that crash targets.
POISON_PREFIX = "dead"
_HEADER = "X-Prompt-Prefix"


def header(block: str) -> tuple[str, str]:
    """Returns the header of a prompt with a block and one of its own."""
    own = secrets.token_hex(4)
    return _HEADER, f"{FIRST_BLOCK}:800,{block}:410,{own}:250"


def sound_block(number: int) -> str:
    """Returns the id of a block that crashes no target."""
    return f"cafe{number}"


def new_poison_block() -> str:
    """Returns the id of a new block that crashes targets."""
    return f"{POISON_PREFIX}{secrets.token_hex(4)}"


def is_poison(headers: Mapping[str, str]) -> bool:
    """Whether the prompt of a request has a block that crashes targets."""
    blocks = headers.get(_HEADER.lower(), "").split(",")
    return any(one.startswith(POISON_PREFIX) for one in blocks)
