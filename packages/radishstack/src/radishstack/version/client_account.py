"""Client accounts: who may call, with which API keys, and how much."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib

from radishstack.process import usage_cap

# What a request without credentials has in place of a key's digest.
NO_KEY = b""


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """One client account.

    Attributes:
        name: Its name, which targets are told.
        priority: Rank of its requests, 0 the most urgent; None leaves it to
            the route.
        cap: Its usage cap, None if its use is not limited.
        key_count: How many API keys it has.
    """

    name: str
    priority: int | None = None
    cap: usage_cap.UsageCap | None = None
    key_count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Directory:
    """All client accounts, found by API key.

    Keys are kept as digests only, so that neither memory nor a report of the
    directory reveals one.

    Attributes:
        accounts: Accounts by name.
        names_by_digest: Name of the account that holds a key, by the key's
            digest.
    """

    accounts: Mapping[str, ClientAccount]
    names_by_digest: Mapping[bytes, str] = dataclasses.field(repr=False)

    def find(self, key_digest: bytes) -> ClientAccount | None:
        """Returns the account that holds a key, None if none does."""
        name = self.names_by_digest.get(key_digest)
        return None if name is None else self.accounts[name]


def digest_of(key: bytes) -> bytes:
    """Returns the digest under which an API key is kept."""
    return hashlib.sha256(key).digest()


def make_directory(
    entries: Iterable[tuple[ClientAccount, Iterable[bytes]]],
) -> tuple[Directory, frozenset[bytes]]:
    """Builds a directory.

    Args:
        entries: Accounts with the digests of their keys. Of two accounts
            with one name, the later one counts.

    Returns:
        The directory, and the digests that several accounts claim. Such a
        key admits nobody: whose requests it would bring is not known.
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
