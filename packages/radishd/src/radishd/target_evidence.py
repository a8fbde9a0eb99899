"""Evidence about targets, from the requests that a gateway sends them."""

from collections.abc import Callable

import anyio
from radishstack.process import crash
from radishstack.process import incarnation
from radishstack.process import placement as placement_lib
from radishstack.process import roster as roster_lib
from radishstack.request import forwarding

from radishd.connection import crash_watch as crash_watch_lib
from radishd.connection import pool as pool_lib
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import target_signals

HTTP_SERVER_ERROR = 500
MS_PER_S = 1_000
# Limit of the wait for a crash check before a request is sent again. The check
# of a target that can be reached, or refuses connections, takes a round trip.
MAX_CRASH_CHECK_MS = 100

Outcome = forwarding.Outcome


class TargetEvidence:
    """Records outcomes of sends and the signals in targets' responses."""

    def __init__(
        self,
        roster: roster_lib.Roster,
        placement: placement_lib.Placement,
        pool: pool_lib.Pool,
        crash_watch: crash_watch_lib.CrashWatch,
        log: decision_log.DecisionLog,
        on_draining: Callable[[], None],
    ) -> None:
        """Starts without evidence.

        Args:
            roster: Keeps the health of targets.
            placement: Keeps which adapters targets hold.
            pool: Connections to targets, dropped if a target is unreachable.
            crash_watch: Checks whether a target crashed.
            log: Decision log.
            on_draining: Called when a target is first marked as draining.
        """
        self._roster = roster
        self._placement = placement
        self._pool = pool
        self._crash_watch = crash_watch
        self._log = log
        self._on_draining = on_draining

    def record_outcome(
        self, member: roster_lib.Member, outcome: Outcome, adapter: str
    ) -> None:
        """Records the outcome of a send without a response for the caller."""
        instance = member.listing.instance
        now_ms = clock.boot_ms()
        address = member.listing.address
        if not self._roster.is_current(member):
            # The evidence is about a former incarnation of the target.
            return
        if outcome is Outcome.UNSENT:
            self._roster.unreachable(instance, now_ms)
            self._pool.drop(address)
        elif outcome is Outcome.GONE:
            self._roster.ended(instance)
            self._pool.drop(address)
        elif outcome is Outcome.MISMATCH:
            self._placement.mark_absent(member, adapter)
        else:
            self._roster.failed(instance, now_ms)

    def record_aborted_response(
        self, member: roster_lib.Member, suspects: tuple[crash.Suspect, ...]
    ) -> None:
        """Records that a target aborted a response, as in a crash.

        Args:
            member: The target.
            suspects: Features of the request.
        """
        # A draining target aborts the requests that it still runs. If these
        # counted as crashes, a software release, which drains each target,
        # would quarantine slow requests.
        if self._roster.is_active(member, clock.boot_ms()):
            self._crash_watch.record_abort(member, suspects)

    async def wait_for_crash_check(self) -> None:
        """Waits until it is known whether targets crashed under lost sends."""
        with anyio.move_on_after(MAX_CRASH_CHECK_MS / MS_PER_S):
            await self._crash_watch.wait_settled()

    def record_error_response(
        self, member: roster_lib.Member, status: int
    ) -> None:
        """Records an error response of a target."""
        if status >= HTTP_SERVER_ERROR and self._roster.is_current(member):
            self._roster.failed(member.listing.instance, clock.boot_ms())

    def record_slow_first_byte(self, member: roster_lib.Member) -> None:
        """Records a long wait for the first byte of a response."""
        if self._roster.is_current(member):
            self._roster.failed(member.listing.instance, clock.boot_ms())

    def record_success(self, member: roster_lib.Member, took_ms: int) -> None:
        """Records a successful response."""
        if self._roster.is_current(member):
            self._roster.answered(member.listing.instance, took_ms)

    def apply_target_signals(
        self,
        member: roster_lib.Member,
        signals: target_signals.TargetSignals,
        attempt_id: str,
    ) -> None:
        """Applies the signals in the headers of a target's response."""
        incarnation_id = member.listing.incarnation_id
        if signals.leaving:
            self.mark_draining(
                incarnation_id, source="answer", request=attempt_id
            )
        if signals.backoff_ms:
            self._roster.back_off(member, signals.backoff_ms, clock.boot_ms())
            self._log.write(
                "target_backoff",
                target=incarnation_id.name,
                backoff_ms=signals.backoff_ms,
                request=attempt_id,
            )

    def mark_draining(
        self,
        incarnation_id: incarnation.IncarnationId,
        *,
        source: str,
        request: str = "",
    ) -> None:
        """Marks a target as draining, so that it gets no new requests."""
        if not self._roster.mark_draining(incarnation_id):
            return
        self._log.must(
            "target_said_leaving",
            target=incarnation_id.name,
            born_ms=incarnation_id.born_ms,
            told_by=source,
            request=request,
        )
        self._on_draining()
