"""Decides how a response ended whose target closed its connection.

What the evidence means is decided in ``radishstack.request.response_end``.
"""

from collections.abc import Callable
import dataclasses

import anyio
from radishstack.process import roster as roster_lib
from radishstack.request import response_closes
from radishstack.request import response_end

from radishd.connection import liveness_check as liveness_check_lib
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import entry_watch as entry_watch_lib

MS_PER_S = 1_000
# Maximum wait for the removal of an entry. Callers have all events of a stream
# by then, and some abandon it after a gap of two seconds.
DEREGISTRATION_WAIT_MS = 1_700
# An entry that is removed within this many heartbeat intervals after a response
# has not expired: entries expire after three intervals, and the last heartbeat
# was up to one interval before.
DEREGISTRATION_HEARTBEATS = roster_lib.MIN_TTL_HEARTBEATS
# Minimum wait after which an entry that is still listed indicates a crash.
MIN_DEREGISTRATION_MS = 500
# Time reserved for the store's answer and for the end of the response.
MARGIN_MS = 300

Deregistration = response_end.Deregistration
End = response_end.End
Undecided = response_end.Undecided


class ClosingCheck:
    """Checks the targets of responses that have neither a length nor chunks."""

    def __init__(
        self,
        roster: roster_lib.Roster,
        liveness_check: liveness_check_lib.LivenessCheck,
        log: decision_log.DecisionLog,
        entry_watch: entry_watch_lib.EntryWatch,
        heartbeat_ms: int,
        exits_at_ms: Callable[[], int],
    ) -> None:
        """Starts without responses.

        Args:
            roster: Tells which targets drain.
            liveness_check: Checks whether a target runs.
            log: Decision log.
            entry_watch: Watches whether a target removes its entry.
            heartbeat_ms: Interval at which targets renew their entries, 0 if
                unknown.
            exits_at_ms: Returns when this process exits, 0 if it does not.
        """
        self._roster = roster
        self._liveness_check = liveness_check
        self._log = log
        self._wait_ms = min(
            DEREGISTRATION_WAIT_MS,
            round(DEREGISTRATION_HEARTBEATS * heartbeat_ms),
        )
        self._entry_watch = entry_watch
        self._exits_at_ms = exits_at_ms
        self._closes = response_closes.ResponseCloses()
        self._paused_at_ms = 0

    def on_process_pause(self) -> None:
        """Handles a pause, in which entries may have expired unnoticed."""
        self._paused_at_ms = clock.boot_ms()

    def record_cut(self, member: roster_lib.Member) -> None:
        """Records that a response of a target was evidently cut."""
        self._closes.record(
            member.listing.incarnation_id, clock.boot_ms(), is_cut=True
        )

    async def judge(
        self, member: roster_lib.Member, request: str, deadline_ms: int
    ) -> End:
        """Decides how a response ended whose connection was just closed.

        Args:
            member: Its target.
            request: Its attempt, for the log.
            deadline_ms: When its caller stops waiting.
        """
        incarnation_id = member.listing.incarnation_id
        self._closes.record(incarnation_id, clock.boot_ms(), is_cut=False)
        self._closes.begin_check(incarnation_id)
        try:
            return await self._judge(member, request, deadline_ms)
        finally:
            self._closes.end_check(incarnation_id)

    async def _judge(
        self, member: roster_lib.Member, request: str, deadline_ms: int
    ) -> End:
        ended_at_ms = clock.boot_ms()
        is_draining = self._roster.has_left(member)
        was_listed = self._is_listed(member)
        revision = self._entry_watch.revision
        observation = await self._liveness_check.observe(member.listing)
        if is_draining and not observation.state.is_alive:
            # Other responses that a crash ended are read within this time.
            left_ms = response_closes.CORRELATION_MS - (
                clock.boot_ms() - ended_at_ms
            )
            await anyio.sleep(max(0, left_ms) / MS_PER_S)

        known = self._closing(member, observation, ended_at_ms, is_draining)
        if not was_listed:
            known = dataclasses.replace(
                known, deregistration=Deregistration.UNKNOWN
            )
        end = response_end.judge_closed(known)
        if end is Undecided.DEREGISTRATION:
            known = dataclasses.replace(
                known,
                deregistration=await self._await_deregistration(
                    member, revision, ended_at_ms, deadline_ms
                ),
            )
            end = response_end.judge_closed(known)
        self._log.write(
            "response_end",
            request=request,
            target=member.listing.instance,
            born_ms=member.listing.born_ms,
            end=end.value,
            evidence=observation.state.value,
            reason=observation.reason,
            observed_after_ms=observation.at_ms - ended_at_ms,
            draining=is_draining,
            cut_with=known.cut_count,
            closed_with=known.closed_count,
            outlived_by=known.outlived_count,
            deregistration=known.deregistration.value,
            listing_revision=member.listing.changed_at,
            listing_era=member.listing.era,
            took_ms=clock.boot_ms() - ended_at_ms,
        )
        return end

    def _closing(
        self,
        member: roster_lib.Member,
        observation: liveness_check_lib.Observation,
        ended_at_ms: int,
        is_draining: bool,
    ) -> response_end.Closing:
        incarnation_id = member.listing.incarnation_id
        count_near = self._closes.count_near
        return response_end.Closing(
            target=observation.state,
            is_draining=is_draining,
            has_short_notice=member.listing.has_short_notice,
            cut_count=count_near(incarnation_id, ended_at_ms, is_cut=True),
            # One of them is the response itself.
            closed_count=count_near(incarnation_id, ended_at_ms, is_cut=False)
            - 1,
            outlived_count=member.health.in_flight
            - self._closes.undecided_count(incarnation_id),
        )

    def _is_listed(self, member: roster_lib.Member) -> bool:
        return self._roster.is_current(member) and not member.expires_at_ms

    async def _await_deregistration(
        self,
        member: roster_lib.Member,
        revision: int,
        ended_at_ms: int,
        deadline_ms: int,
    ) -> Deregistration:
        """Waits until a target removes its entry as it exits."""
        exits_at_ms = self._exits_at_ms() or deadline_ms
        until_ms = min(
            ended_at_ms + self._wait_ms,
            min(exits_at_ms, deadline_ms) - MARGIN_MS,
        )
        wait_ms = until_ms - clock.boot_ms()
        if wait_ms <= 0:
            return Deregistration.UNKNOWN
        is_removed = await self._entry_watch.is_removed(
            member.listing.instance, revision, wait_ms
        )
        if is_removed is None or self._paused_at_ms >= ended_at_ms:
            # After a pause, the entry may have expired.
            return Deregistration.UNKNOWN
        if is_removed:
            return Deregistration.REMOVED
        if clock.boot_ms() - ended_at_ms < MIN_DEREGISTRATION_MS:
            return Deregistration.UNKNOWN
        return Deregistration.LISTED
