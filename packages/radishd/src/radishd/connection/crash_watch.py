"""Distinguishes crashed targets from connections that were interrupted.

An aborted response alone does not prove a crash: a network fault, a connection
limit or a lost response looks the same. A crashed target answers nothing any
more, and refuses connections until it is restarted, seconds later.
"""

import collections
from collections.abc import Callable
import dataclasses

import anyio
from radishstack.process import crash as crash_lib
from radishstack.process import incarnation
from radishstack.process import roster as roster_lib

from radishd.connection import liveness_check as liveness_check_lib
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import metrics as metrics_lib

MS_PER_S = 1_000
# All responses of a crashing target are aborted at the same time. Those
# observed within this time are investigated together.
COALESCE_MS = 10
MAX_LOGGED_FINGERPRINTS = 8
MAX_LOGGED_PROMPT_BLOCKS = 24

OnCrash = Callable[[crash_lib.Crash], None]


@dataclasses.dataclass(slots=True)
class _AbortedSends:
    listing: roster_lib.Listing
    at_ms: int
    suspects: dict[str, crash_lib.Suspect]
    blocks: collections.Counter[str]


class CrashWatch:
    """Aborted sends of one gateway, by incarnation of a target."""

    def __init__(
        self,
        liveness_check: liveness_check_lib.LivenessCheck,
        log: decision_log.DecisionLog,
        metrics: metrics_lib.Metrics,
        on_crash: OnCrash,
    ) -> None:
        """Starts without aborted sends.

        Args:
            liveness_check: Checks whether a target runs.
            log: Decision log that records crashes.
            metrics: Metrics that count them.
            on_crash: Called for each incarnation that has crashed.
        """
        self._liveness_check = liveness_check
        self._log = log
        self._metrics = metrics
        self._on_crash = on_crash
        self._aborted: dict[incarnation.IncarnationId, _AbortedSends] = {}
        self._wake = anyio.Event()
        self._running_count = 0
        self._settled = anyio.Event()

    @property
    def is_investigating(self) -> bool:
        """Whether an aborted send has yet to be investigated."""
        return bool(self._aborted)

    async def wait_settled(self) -> None:
        """Waits until all aborted sends have been investigated."""
        while self._aborted or self._running_count:
            await self._settled.wait()

    def record_abort(
        self, member: roster_lib.Member, suspects: tuple[crash_lib.Suspect, ...]
    ) -> None:
        """Records that a target aborted a response.

        Args:
            member: The target.
            suspects: Features of the request.
        """
        listing = member.listing
        aborted = self._aborted.setdefault(
            listing.incarnation_id,
            _AbortedSends(listing, clock.boot_ms(), {}, collections.Counter()),
        )
        for suspect in suspects:
            if suspect.kind is crash_lib.FeatureKind.PROMPT_BLOCK:
                aborted.blocks[suspect.fingerprint] += 1
            known = aborted.suspects.get(suspect.fingerprint, suspect)
            aborted.suspects[suspect.fingerprint] = min(
                known, suspect, key=lambda one: one.began_at_ms
            )
        self._wake.set()

    async def run(self) -> None:
        """Investigates aborted sends until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                await anyio.sleep(COALESCE_MS / MS_PER_S)
                aborted, self._aborted = self._aborted, {}
                for incarnation_id, sends in aborted.items():
                    self._running_count += 1
                    tasks.start_soon(self._run_one, incarnation_id, sends)

    async def _run_one(
        self, incarnation_id: incarnation.IncarnationId, aborted: _AbortedSends
    ) -> None:
        try:
            await self._investigate(incarnation_id, aborted)
        finally:
            self._running_count -= 1
            settled, self._settled = self._settled, anyio.Event()
            settled.set()

    async def _investigate(
        self, incarnation_id: incarnation.IncarnationId, aborted: _AbortedSends
    ) -> None:
        observation = await self._liveness_check.observe(aborted.listing)
        ended = not observation.state.is_alive
        suspects = tuple(aborted.suspects.values())
        requests = [
            one for one in suspects if one.kind is crash_lib.FeatureKind.REQUEST
        ]
        self._metrics.crashes.inc({"ended": "yes" if ended else "no"})
        self._log.write(
            "target_broke_off",
            target=incarnation_id.name,
            born_ms=incarnation_id.born_ms,
            ended=ended,
            evidence=observation.state.value,
            reason=observation.reason,
            age_ms=clock.boot_ms() - aborted.at_ms,
            suspects=len(requests),
            fingerprints=[
                one.fingerprint for one in requests[:MAX_LOGGED_FINGERPRINTS]
            ],
            # With the number of requests whose prompts have the block.
            prompt_blocks=dict(
                aborted.blocks.most_common(MAX_LOGGED_PROMPT_BLOCKS)
            ),
        )
        if ended:
            self._on_crash(
                crash_lib.Crash(incarnation_id, aborted.at_ms, suspects)
            )
