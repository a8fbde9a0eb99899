"""Client accounts: who may call, with which API keys, and how much."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib

from radishstack.process import usage_cap

# Stands for the key digest in a request without credentials.
NO_KEY = b""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """One client account.

    Attributes:
        name: Its name, which is sent to targets.
        priority: Priority of its requests, 0 the most urgent; None to use the
            route's.
        cap: Its usage cap, None if its usage is unlimited.
        key_count: Number of its API keys.
    """

    name: str
    priority: int | None = None
    cap: usage_cap.UsageCap | None = None
    key_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """All client accounts, found by API key.

    Keys are stored as digests only, so neither memory nor a report of the
    directory reveals a key.

    Attributes:
        accounts: Accounts by name.
        names_by_digest: Name of the account that owns a key, by the key's
            digest.
    """

    accounts: Mapping[str, ClientAccount]
    names_by_digest: Mapping[bytes, str] = dataclasses.field(repr=False)

    def find(self, key_digest: bytes) -> ClientAccount | None:
        """Returns the account that owns a key, or None."""
        name = self.names_by_digest.get(key_digest)
        return None if name is None else self.accounts[name]


def digest_of(key: bytes) -> bytes:
    """Returns the digest under which an API key is stored."""
    return hashlib.sha256(key).digest()


def make_directory(
    entries: Iterable[tuple[ClientAccount, Iterable[bytes]]],
) -> tuple[Directory, frozenset[bytes]]:
    """Builds a directory.

    Args:
        entries: Accounts with the digests of their keys. Of two accounts
            with the same name, the later one is used.

    Returns:
        The directory, and the digests that several accounts list. These keys
        are rejected, because the account of a request would be ambiguous.
    """
    accounts: dict[str, ClientAccount] = {}
    owners: dict[bytes, str] = {}
    ambiguous: set[bytes] = set()
    for account, digests in entries:
        key_digests = frozenset(digests)
        accounts[account.name] = dataclasses.replace(
            account, key_count=len(key_digests)
        )
        for digest in key_digests:
            if owners.setdefault(digest, account.name) != account.name:
                ambiguous.add(digest)
    for digest in ambiguous:
        del owners[digest]
    return Directory(accounts, owners), frozenset(ambiguous)
