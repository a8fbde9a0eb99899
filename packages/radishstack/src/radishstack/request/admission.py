"""Decides whether a request is admitted, and for which client account.

The checks run in this order, and the first one that fails determines the
response:

1. a configuration is in force (503);
2. a route matches the host and path (404);
3. a client account holds the API key, unless the route is public (401);
4. the account is below its usage cap (429, ``process.usage_cap``);
5. the request is not quarantined for crashing targets (503,
   ``process.crash_evidence``).

This module makes the first three checks, from the request head alone. They
run again once the body has been read, and the third one before each send.
"""

import dataclasses

from radishstack import result
from radishstack.version import client_account
from radishstack.version import route_table


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The parts of a request head that admission uses.

    Attributes:
        host: Host header.
        path: Path without the query.
        key_digest: Digest of the API key, ``client_account.NO_KEY`` if there
            is not exactly one well-formed key.
    """

    host: str
    path: str
    key_digest: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """An admitted request.

    Attributes:
        route: The matching route.
        account: Client account that the request runs for, None if there is
            none.
        version: Configuration version that admitted the request.
    """

    route: route_table.Route
    account: client_account.ClientAccount | None
    version: int

    @property
    def account_name(self) -> str:
        """Name of the account, empty if there is none."""
        return "" if self.account is None else self.account.name

    @property
    def priority(self) -> int:
        """Priority rank of the request, 0 being the most urgent."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority


def admit(
    table: route_table.RouteTable, head: Head, *, retry_after_ms: int
) -> result.Outcome[Admission]:
    """Decides whether a request is admitted.

    Args:
        table: The route table in force.
        head: The request.
        retry_after_ms: Retry delay to report while no configuration is known.

    Returns:
        The admission, or why the request is rejected.
    """
    if not table.version:
        return result.Failure(
            result.NOT_READY, "no configuration yet", retry_after_ms
        )
    route = table.find(head.host, head.path)
    if route is None:
        return result.Failure(
            result.ROUTE_UNKNOWN, f"no route for {head.host}{head.path}"
        )
    account = authenticate(table, route, head.key_digest)
    if isinstance(account, result.Failure):
        return account
    return Admission(route, account, table.version)


def authenticate(
    table: route_table.RouteTable, route: route_table.Route, key_digest: bytes
) -> result.Outcome[client_account.ClientAccount | None]:
    """Finds the client account that a request runs for.

    Args:
        table: The route table in force.
        route: The route of the request.
        key_digest: Digest of its API key.

    Returns:
        The account, None if none is required, or why the request is rejected.
    """
    if table.accounts is None:
        return None
    account = table.accounts.find(key_digest)
    if account is not None or route.public:
        return account
    if key_digest == client_account.NO_KEY:
        return result.Failure(
            result.CREDENTIALS_MISSING, "no single well-formed API key"
        )
    return result.Failure(
        result.CREDENTIALS_UNKNOWN, "no client account holds this API key"
    )


def readmit(
    table: route_table.RouteTable, admission: Admission, key_digest: bytes
) -> result.Failure | None:
    """Checks a request again before it is sent after a wait.

    Args:
        table: The route table in force now.
        admission: Its earlier admission.
        key_digest: Digest of its API key.

    Returns:
        Why it may not be sent, None if it may be.
    """
    if table.version == admission.version:
        return None
    account = authenticate(table, admission.route, key_digest)
    if isinstance(account, result.Failure):
        return account
    name = "" if account is None else account.name
    if name == admission.account_name:
        return None
    return result.Failure(
        result.CREDENTIALS_UNKNOWN, "the API key has another account now"
    )
