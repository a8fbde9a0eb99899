"""Computes fingerprints of requests and of the blocks of their prompts.

Bodies are large and private, so they are neither stored nor sent to other
processes nor logged; this digest of fixed size is used instead.
"""

from collections.abc import Sequence
import hashlib

SIZE_BYTES = 16
_FIELD_END = b"\0"
# Blocks of a prompt that are told apart; fewer requests share later ones.
MAX_PROMPT_BLOCKS = 8
# Keeps fingerprints of blocks apart from those of requests.
_BLOCK_DOMAIN = b"prompt block"


def of_request(
    method: str, host: str, target: bytes, body: bytes, account: str = ""
) -> str:
    """Returns the fingerprint of a request.

    The attempt id, the deadline and the caller's address are left out because
    they differ when the same request is sent again.

    Args:
        method: HTTP method.
        host: Requested host.
        target: Path and query.
        body: The whole body.
        account: Name of the client account, which does not change when an API
            key is replaced.

    Returns:
        ``2 * SIZE_BYTES`` hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=SIZE_BYTES)
    for field in (method.encode(), host.encode(), target, account.encode()):
        digest.update(field)
        digest.update(_FIELD_END)
    digest.update(body)
    return digest.hexdigest()


def of_shared_blocks(block_ids: Sequence[bytes]) -> tuple[str, ...]:
    """Returns the fingerprints of the blocks that a prompt shares with others.

    The last block belongs to the request itself or to its session.

    Args:
        block_ids: The ids by which callers name the blocks, the broadest first.

    Returns:
        ``2 * SIZE_BYTES`` hexadecimal digits for each block, in order, without
        repetitions; of ``MAX_PROMPT_BLOCKS`` at most.
    """
    shared = (one.lower() for one in block_ids[:-1])
    distinct = dict.fromkeys(one for one in shared if one)
    return tuple(
        hashlib.blake2b(
            one, digest_size=SIZE_BYTES, person=_BLOCK_DOMAIN
        ).hexdigest()
        for one in tuple(distinct)[-MAX_PROMPT_BLOCKS:]
    )
