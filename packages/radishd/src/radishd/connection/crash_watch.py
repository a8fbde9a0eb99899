"""Tells targets that ended from connections that only broke.

An answer that breaks off proves little: a link, a limit on connections or a
lost answer looks the same. A target that has ended has no connection left, and
refuses new ones until it is started again, seconds later.
"""

from collections.abc import Callable
import dataclasses

import anyio
from radishstack.process import crash as crash_lib
from radishstack.process import incarnation
from radishstack.process import roster as roster_lib

from radishd.connection import http_client
from radishd.connection import pool as pool_lib
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import metrics as metrics_lib

MS_PER_S = 1_000
# All answers of a target that ends break at the same moment; those that are
# noticed within this time are looked into together.
COALESCE_MS = 10
CONNECT_TIMEOUT_MS = 400
# Fingerprints that a line of the log holds.
MAX_LOGGED_FINGERPRINTS = 8

OnCrash = Callable[[crash_lib.Crash], None]


@dataclasses.dataclass(slots=True)
class _AbortedSends:
    address: str
    at_ms: int
    suspects: dict[str, crash_lib.Suspect]


class CrashWatch:
    """The sends of one gateway that broke, by start of a target."""

    def __init__(
        self,
        pool: pool_lib.Pool,
        log: decision_log.DecisionLog,
        metrics: metrics_lib.Metrics,
        on_crash: OnCrash,
    ) -> None:
        """Starts with none.

        Args:
            pool: Connections to targets that are kept.
            log: Where crashes are logged.
            metrics: Where they are counted.
            on_crash: Told of each start that was seen to have ended.
        """
        self._pool = pool
        self._log = log
        self._metrics = metrics
        self._on_crash = on_crash
        self._broken: dict[incarnation.IncarnationId, _AbortedSends] = {}
        self._wake = anyio.Event()

    @property
    def is_investigating(self) -> bool:
        """Whether a broken send is yet to be looked into."""
        return bool(self._broken)

    def record_abort(
        self, member: roster_lib.Member, fingerprint: str, began_at_ms: int
    ) -> None:
        """Records that a target aborted a response.

        Args:
            member: The target.
            fingerprint: The request's.
            began_at_ms: When the request was sent.
        """
        listing = member.listing
        broken = self._broken.setdefault(
            listing.incarnation_id,
            _AbortedSends(listing.address, clock.boot_ms(), {}),
        )
        broken.suspects[fingerprint] = crash_lib.Suspect(
            fingerprint, began_at_ms
        )
        self._wake.set()

    async def run(self) -> None:
        """Looks into broken sends until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                await anyio.sleep(COALESCE_MS / MS_PER_S)
                broken, self._broken = self._broken, {}
                for incarnation_id, sends in broken.items():
                    tasks.start_soon(self._investigate, incarnation_id, sends)

    async def _investigate(
        self, incarnation_id: incarnation.IncarnationId, broken: _AbortedSends
    ) -> None:
        reason = await self._termination_reason(broken.address)
        ended = bool(reason)
        suspects = tuple(broken.suspects.values())
        self._metrics.crashes.inc({"ended": "yes" if ended else "no"})
        self._log.write(
            "target_broke_off",
            target=incarnation_id.name,
            born_ms=incarnation_id.born_ms,
            ended=ended,
            reason=reason or "it can be connected to",
            age_ms=clock.boot_ms() - broken.at_ms,
            suspects=len(suspects),
            fingerprints=[
                one.fingerprint for one in suspects[:MAX_LOGGED_FINGERPRINTS]
            ],
        )
        if ended:
            self._on_crash(
                crash_lib.Crash(incarnation_id, broken.at_ms, suspects)
            )

    async def _termination_reason(self, address: str) -> str:
        """Returns why a target is held to have ended, empty if it is not."""
        if self._pool.has_open(address):
            return ""
        connection = await http_client.open_connection(
            address, CONNECT_TIMEOUT_MS
        )
        if isinstance(connection, http_client.Lost):
            return connection.reason
        connection.close()
        return ""
