"""Client of the platform's object API and VM list, over HTTP."""

import dataclasses
from typing import Any
import urllib.parse

import httpcore
from radishstack import result
from radishstack.version import commit as commit_lib
from radishstack.version import document as document_lib
from radishstack.version import holder as holder_lib
from radishstack.version import publish

from radishd.process import logs
from radishd.process import metrics as metrics_lib
from radishd.process import settings as settings_lib
from radishd.process import untrusted_json
from radishd.process import whole_response

MS_PER_S = 1000.0
# Levels of the list of VMs whose values are decoded one by one.
VM_LEVELS = 3
MAX_REVISION_DIGITS = 18
OK = 200
NOT_MODIFIED = 304
NOT_FOUND = 404
PRECONDITION_FAILED = 412
NETWORK_ERRORS = (
    OSError,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; revision 0 means that it does not exist."""

    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM of the platform's list.

    Attributes:
        name: Name of the VM, as in the settings of its processes.
        control: Where it receives datagrams, ``ip:port``.
        failure_domain: ``region/domain``.
        leaving: Whether the platform is about to remove it.
    """

    name: str
    control: str
    failure_domain: str
    leaving: bool


ABSENT = StoredObject(b"", 0)
UNCHANGED = "unchanged"


class Store:
    """Client of the platform; failures are returned, not raised."""

    def __init__(
        self,
        settings: settings_lib.PlatformSettings,
        metrics: metrics_lib.Metrics | None = None,
    ) -> None:
        """Opens no connection yet."""
        self._settings = settings
        self._metrics = metrics
        self._pool = httpcore.AsyncConnectionPool(max_connections=16)

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._pool.aclose()

    async def _call(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        wait_ms: int = 0,
    ) -> result.Outcome[whole_response.WholeResponse]:
        timeout_s = (self._settings.call_timeout_ms + wait_ms) / MS_PER_S
        try:
            response = await whole_response.request(
                self._pool,
                method,
                f"{self._settings.url}{path}",
                headers=headers or {},
                content=body,
                timeout_s=timeout_s,
            )
        except NETWORK_ERRORS as error:
            self._count("lost")
            return result.Failure(
                result.STORE_UNAVAILABLE,
                f"{method} {path}: {type(error).__name__} {error}".rstrip(),
            )
        self._count(str(response.status))
        return response

    def _count(self, outcome: str) -> None:
        if self._metrics is not None:
            self._metrics.store_calls.inc({"outcome": outcome})

    async def get(
        self, name: str, *, watch: int | None = None
    ) -> result.Outcome[StoredObject | str]:
        """Reads an object.

        Args:
            name: Its name.
            watch: Wait until its revision differs from this one.

        Returns:
            The object, ``ABSENT``, or ``UNCHANGED`` if a watch timed out.
        """
        path = f"/objects/{urllib.parse.quote(name)}"
        wait_ms = 0
        if watch is not None:
            wait_ms = self._settings.watch_ms
            path += f"?watch={watch}&timeout_ms={wait_ms}"
        response = await self._call("GET", path, wait_ms=wait_ms)
        if isinstance(response, result.Failure):
            return response
        if response.status == OK:
            return StoredObject(response.content, _revision(response))
        if response.status == NOT_FOUND:
            return ABSENT
        if response.status == NOT_MODIFIED:
            return UNCHANGED
        return result.Failure(
            result.STORE_UNAVAILABLE, f"GET {name}: {response.status}"
        )

    async def put(
        self, name: str, value: bytes, *, expected: int | None
    ) -> publish.Written | publish.Conflicted | publish.Uncertain:
        """Writes an object.

        Args:
            name: Its name.
            value: Its new value.
            expected: Revision that the object must still have, 0 to create
                it, None to write unconditionally.

        Returns:
            Whether the write took effect, as far as is known.
        """
        headers = {}
        if expected == 0:
            headers["If-None-Match"] = "*"
        elif expected is not None:
            headers["If-Match"] = str(expected)
        path = f"/objects/{urllib.parse.quote(name)}"
        response = await self._call("PUT", path, headers=headers, body=value)
        if isinstance(response, result.Failure):
            return publish.Uncertain()
        if response.status == OK:
            return publish.Written()
        if response.status == PRECONDITION_FAILED:
            return publish.Conflicted()
        return publish.Uncertain()

    async def list_vms(
        self, *, watch: int | None = None
    ) -> result.Outcome[tuple[int, tuple[Vm, ...]] | str]:
        """Reads the platform's list of VMs.

        Args:
            watch: Wait until the list's revision differs from this one.

        Returns:
            Revision and VMs, or ``UNCHANGED``.
        """
        path, wait_ms = "/vms", 0
        if watch is not None:
            wait_ms = self._settings.vms_poll_ms
            path += f"?watch={watch}&timeout_ms={wait_ms}"
        response = await self._call("GET", path, wait_ms=wait_ms)
        if isinstance(response, result.Failure):
            return response
        if response.status == NOT_MODIFIED:
            return UNCHANGED
        if response.status != OK:
            return result.Failure(
                result.STORE_UNAVAILABLE, f"GET /vms: {response.status}"
            )
        try:
            body = untrusted_json.decode(
                response.content, isolated_levels=VM_LEVELS
            )
            listed = list(body["vms"])
        except (ValueError, KeyError, TypeError) as error:
            return result.Failure(result.STORE_CORRUPT, f"/vms: {error!r}")
        vms = [vm for raw in listed if (vm := _vm(raw)) is not None]
        if len(vms) < len(listed):
            logs.warn("vms_refused", count=len(listed) - len(vms))
        return _revision(response), tuple(vms)


def _vm(raw: Any) -> Vm | None:
    """Decodes an entry of the list of VMs, None if it is invalid."""
    try:
        return Vm(
            name=str(raw["name"]),
            control=str(raw["control"]),
            failure_domain=str(raw["failure_domain"]),
            leaving=raw.get("state") == "leaving",
        )
    except (KeyError, TypeError, AttributeError):
        return None


def _revision(response: whole_response.WholeResponse) -> int:
    for name, value in response.headers:
        if name.lower() == b"etag":
            is_number = value.isdigit() and len(value) <= MAX_REVISION_DIGITS
            return int(value) if is_number else 0
    return 0


async def read_root(
    store: Store, *, watch: int | None = None
) -> result.Outcome[tuple[int, commit_lib.Root] | str]:
    """Reads the configuration's root.

    Args:
        store: The object API.
        watch: Wait until its revision differs from this one.

    Returns:
        Revision and root, or ``UNCHANGED``.
    """
    stored = await store.get(commit_lib.ROOT_NAME, watch=watch)
    if not isinstance(stored, StoredObject):
        return stored
    if stored.revision == 0:
        return 0, commit_lib.EMPTY_ROOT
    root = commit_lib.decode_root(stored.value)
    if isinstance(root, result.Failure):
        return root
    return stored.revision, root


async def read_commit(
    store: Store, name: str
) -> result.Outcome[commit_lib.Commit]:
    """Reads one commit by its object name."""
    stored = await store.get(name)
    if isinstance(stored, result.Failure):
        return stored
    if not isinstance(stored, StoredObject) or stored.revision == 0:
        return result.Failure(result.STORE_CORRUPT, f"{name} is missing")
    return commit_lib.decode_commit(stored.value)


async def read_snapshot(
    store: Store, root: commit_lib.Root
) -> result.Outcome[document_lib.Document]:
    """Reads the root's snapshot."""
    parts = []
    for name in root.snapshot_parts:
        stored = await store.get(name)
        if isinstance(stored, result.Failure):
            return stored
        if not isinstance(stored, StoredObject) or stored.revision == 0:
            return result.Failure(result.STORE_CORRUPT, f"{name} is missing")
        parts.append(stored.value)
    return commit_lib.decode_snapshot(parts)


async def catch_up(
    store: Store, held: holder_lib.HeldVersion, root: commit_lib.Root
) -> result.Outcome[holder_lib.HeldVersion]:
    """Reads the snapshot or commits needed to reach the root's version.

    Args:
        store: The object API.
        held: The version held.
        root: Root of the version in force.

    Returns:
        The root's version, or the version held if that is not older.
    """
    while True:
        plan = holder_lib.plan_catch_up(held, root)
        if plan is None:
            return held
        if isinstance(plan, holder_lib.ReadSnapshot):
            document = await read_snapshot(store, root)
            if isinstance(document, result.Failure):
                return document
            held = holder_lib.HeldVersion(
                plan.version, root.snapshot_write_id, document
            )
            continue
        for name in plan.names:
            commit = await read_commit(store, name)
            if isinstance(commit, result.Failure):
                return commit
            followed = holder_lib.follow(held, commit)
            if isinstance(followed, result.Failure):
                return followed
            held = followed


async def read_chain(
    store: Store, write_id: str, *, after: int, limit: int = 100_000
) -> result.Outcome[tuple[commit_lib.Commit, ...]]:
    """Reads the chain of commits backwards down to a version.

    Args:
        store: The object API.
        write_id: Write id of the newest commit, empty for none.
        after: Version before the oldest commit to return.
        limit: Maximum number of commits to read.

    Returns:
        The commits after ``after``, oldest first.
    """
    commits: list[commit_lib.Commit] = []
    while write_id and len(commits) < limit:
        commit = await read_commit(store, commit_lib.commit_name(write_id))
        if isinstance(commit, result.Failure):
            return commit
        if commit.version <= after:
            break
        commits.append(commit)
        write_id = commit.parent_id
    return tuple(reversed(commits))
