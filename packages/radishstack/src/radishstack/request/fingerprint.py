"""Computes a fingerprint that identifies repetitions of a request.

Bodies are large and private, so they are neither stored nor sent to other
processes nor logged; this digest of fixed size is used instead.
"""

import hashlib

SIZE_BYTES = 16
_FIELD_END = b"\0"


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
