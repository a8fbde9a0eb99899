"""Selects the target of a request, or rejects the request."""

import dataclasses

import anyio
from radishstack import result
from radishstack.process import placement as placement_lib
from radishstack.process import quarantine_rules
from radishstack.process import roster as roster_lib
from radishstack.process import stream_origins
from radishstack.request import admission as admission_lib
from radishstack.request import waiting as waiting_lib

from radishd.process import clock
from radishd.process import load_requests as load_requests_lib
from radishd.process import rate_limits as rate_limits_lib
from radishd.request import gateway_interface
from radishd.request import pending_request

MS_PER_S = 1_000
# Range of retry delays if no target can take the request.
NO_TARGET_RETRY_MS = (300, 900)
# Fraction of its latency objective that a request may always wait for its
# adapter, however late engines respond.
MIN_WAIT_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """A selected target.

    Attributes:
        member: The target.
        adapter_version: Adapter version expected there, 0 for any.
    """

    member: roster_lib.Member
    adapter_version: int


class TargetSelection:
    """Selects targets for one request of a caller."""

    def __init__(
        self,
        gateway: gateway_interface.GatewayInterface,
        pending: pending_request.PendingRequest,
    ) -> None:
        """Starts without a reservation.

        Args:
            gateway: The gateway.
            pending: The request.
        """
        self._gateway = gateway
        self._pending = pending
        self._rate_reservation: rate_limits_lib.Reservation | None = None

    async def select(self) -> Selection | result.Failure:
        """Selects a target, after a wait for its adapter if necessary.

        Returns:
            The target, or why the request cannot be sent.
        """
        gateway = self._gateway
        failure = await self._find_stream_origin()
        if failure is not None:
            return failure
        if not self._pending.needs_adapter:
            rejection = self._rejection()
            if rejection is not None:
                return rejection
            now_ms = clock.boot_ms()
            member = gateway.placement.choose_plain(
                self._usable_targets(now_ms), now_ms
            )
            if member is None or not self._reserve_rate(member):
                return self._no_target_failure()
            return Selection(member, 0)
        return await self._choose_engine()

    async def _find_stream_origin(self) -> result.Failure | None:
        """Finds at which software version a resumed stream may continue.

        Returns:
            Why it cannot continue, None if it can or is no resumed stream.
        """
        pending = self._pending
        if not pending.resumes_stream or pending.software_version is not None:
            return None
        services = [share.service for share in pending.route.shares]
        origin = await self._gateway.stream_origins.find(
            pending.request.resumed_attempt_id,
            services,
            pending.retention_ms,
            request=pending.request.attempt_id,
        )
        if isinstance(origin, result.Failure):
            return origin
        if origin.service not in services:
            return result.Failure(
                result.SOFTWARE_VERSION_UNAVAILABLE,
                f"{origin.service}, which began the stream, no longer serves "
                "its route",
            )
        spec = self._gateway.table.services.get(origin.service)
        pending.use_service(origin.service, spec)
        pending.software_version = origin.software_version
        return None

    def _rejection(self) -> result.Failure | None:
        """Returns the rejection of the request, None if it may be sent."""
        if not self._pending.response_started:
            failure = admission_lib.readmit(
                self._gateway.table,
                self._pending.admission,
                self._pending.request.key_digest,
            )
            if failure is not None:
                return failure
        return self._quarantined()

    def _quarantined(self) -> result.Failure | None:
        """Returns the rejection of a request that crashes targets.

        If it were forwarded, it would crash the next target too, and all other
        requests that run there would be lost.
        """
        pending = self._pending
        if not len(self._gateway.crash_gossip.evidence):
            return None
        for position, fingerprint in enumerate(pending.features()):
            quarantine = self._quarantine_without_trial(fingerprint)
            if quarantine is None:
                continue
            feature = "this request"
            if position:
                feature = f"block {position} of its prompt"
            return result.Failure(
                result.REQUEST_ENDS_TARGETS,
                f"targets ended at {quarantine.moments} times under {feature}",
                max(quarantine.left_ms, quarantine_rules.TRIAL_DELAY_MS),
            )
        return None

    def _quarantine_without_trial(
        self, fingerprint: str
    ) -> quarantine_rules.Quarantine | None:
        """Returns the quarantine of a feature, unless the request tries it."""
        pending = self._pending
        crash_gossip = self._gateway.crash_gossip
        quarantine = crash_gossip.quarantine(fingerprint)
        if quarantine is None:
            return None
        if fingerprint in pending.trials:
            return quarantine if pending.sends.may_have_run else None
        if crash_gossip.begin_trial(fingerprint):
            pending.trials.append(fingerprint)
            return None
        return quarantine

    def is_quarantined(self) -> bool:
        """Whether the request must not be sent, as it may crash its target."""
        pending = self._pending
        return self._gateway.crash_gossip.is_quarantined(
            one for one in pending.features() if one not in pending.trials
        )

    def _allowed_targets(self, now_ms: int) -> list[roster_lib.Member]:
        """Returns the targets that may run it, regardless of rate limits."""
        return [
            member
            for member in self._gateway.roster.usable(
                self._pending.service, now_ms, self._pending.software_version
            )
            if self._pending.sends.allows(member.listing.instance)
        ]

    def _usable_targets(self, now_ms: int) -> list[roster_lib.Member]:
        """Returns the targets that may run it within their rate limits."""
        allowed = self._allowed_targets(now_ms)
        limits = self._gateway.rate_limits
        limited = [one for one in allowed if limits.is_limited(one)]
        if not limited:
            return allowed
        below_limit = [
            member
            for member in limited
            if limits.is_reserved(self._rate_reservation, member)
            or limits.may_send(member, now_ms)
        ]
        unlimited = [one for one in allowed if one not in limited]
        if unlimited and self._pending.needs_adapter:
            # Adapters are not loaded at a limited target while there are
            # unlimited ones.
            adapter = self._pending.request.adapter
            below_limit = [
                member
                for member in below_limit
                if adapter in self._gateway.placement.residents(member, now_ms)
            ]
        return unlimited + below_limit

    def _reserve_rate(self, member: roster_lib.Member) -> bool:
        """Reserves a send under a target's rate limit; returns success."""
        limits = self._gateway.rate_limits
        if limits.is_reserved(self._rate_reservation, member):
            return True
        self.release()
        self._rate_reservation = limits.reserve(member)
        return self._rate_reservation is not None

    def use_reservation(self) -> None:
        """Records that the request was sent under its reservation."""
        self._rate_reservation = None

    def release(self) -> None:
        """Releases the reservation of a request that was not sent."""
        reservation, self._rate_reservation = self._rate_reservation, None
        self._gateway.rate_limits.release(reservation)

    async def _choose_engine(self) -> Selection | result.Failure:
        gateway = self._gateway
        adapter = self._pending.request.adapter
        due_at_ms = self._due_at_ms()
        waiting = waiting_lib.AdapterWait(
            adapter,
            began_ms=clock.boot_ms(),
            left_ms=self._pending.left_ms(),
            due_at_ms=due_at_ms,
            begun=self._pending.response_started,
            random_source=gateway.random,
        )
        load_request = load_requests_lib.LoadRequest(adapter, due_at_ms)
        try:
            while True:
                rejection = self._rejection()
                if rejection is not None:
                    return rejection
                now_ms = clock.boot_ms()
                schedule = gateway.connection_draining.schedule
                if schedule is not None:
                    waiting.limit_until(schedule.waits_end_at_ms)
                usable = self._usable_targets(now_ms)
                choice = self._choose(usable, now_ms, waiting.patience(now_ms))
                member = choice.send or choice.load
                if member is not None:
                    # Reserved before the load, because a load at a limited
                    # target only helps a request that may be sent there.
                    self._reserve_rate(member)
                await gateway.load_requests.apply_choice(load_request, choice)
                # A stream that has started cannot be rejected any more, so it
                # waits for a rate-limited target.
                any_usable = bool(usable) or (
                    self._pending.response_started
                    and bool(self._allowed_targets(now_ms))
                )
                step = waiting.decide(
                    choice, any_usable=any_usable, now_ms=now_ms
                )
                match step:
                    case waiting_lib.Send():
                        return Selection(step.member, step.version)
                    case waiting_lib.NoTarget():
                        return self._no_target_failure()
                    case result.Failure():
                        return step
                with anyio.move_on_after(step.pause_ms / MS_PER_S):
                    await gateway.notifier.wait(adapter)
        finally:
            gateway.load_requests.drop(load_request)

    def _choose(
        self,
        usable: list[roster_lib.Member],
        now_ms: int,
        wait_limits: placement_lib.WaitLimits,
    ) -> placement_lib.Choice:
        """Chooses a target, for a new stream one that others can replace."""
        pending = self._pending
        placement = self._gateway.placement
        adapter = pending.request.adapter
        if pending.route.resumable and pending.software_version is None:
            replaceable = stream_origins.replaceable(usable)
            if len(replaceable) < len(usable):
                choice = placement.choose(
                    adapter, replaceable, now_ms, wait_limits
                )
                if choice.send is not None:
                    return choice
        return placement.choose(adapter, usable, now_ms, wait_limits)

    def _due_at_ms(self) -> int:
        """Returns the latest send time that meets the latency objective."""
        if self._pending.response_started:
            return clock.boot_ms()
        answer_ms = self._gateway.roster.median_latency_ms(
            self._pending.service
        )
        objective_ms = self._pending.route.objective_ms
        # If engines respond too late for the objective anyway, requests still
        # wait for a short time instead of being rejected.
        due_ms = max(objective_ms - answer_ms, MIN_WAIT_FRACTION * objective_ms)
        return self._pending.arrived_at_ms + round(due_ms)

    def _no_target_failure(self) -> result.Failure:
        if self._pending.sends.failure is not None:
            return self._pending.sends.failure
        limited = self._allowed_targets(clock.boot_ms())
        if limited and not self._pending.sends.may_have_run:
            return self._gateway.rate_limits.rejection(
                self._pending.service, limited
            )
        code = result.NO_TARGET
        if self._pending.software_version is not None:
            code = result.SOFTWARE_VERSION_UNAVAILABLE
        if self._pending.sends.may_have_run:
            code = result.OUTCOME_UNKNOWN
        retry_after_ms = self._gateway.random_delay_ms(NO_TARGET_RETRY_MS)
        backoff_ms = self._gateway.roster.backoff_ms(
            self._pending.service, clock.boot_ms()
        )
        return result.Failure(
            code,
            f"no target of {self._pending.service} can take it"
            + self._version_condition(),
            backoff_ms + retry_after_ms,
        )

    def _version_condition(self) -> str:
        software_version = self._pending.software_version
        if software_version is None:
            return ""
        return f" at software version {software_version or 'unknown'}"

    def has_other(self, member: roster_lib.Member) -> bool:
        """Whether another target could accept the request."""
        now_ms = clock.boot_ms()
        return any(
            one is not member
            and self._gateway.rate_limits.may_send(one, now_ms)
            for one in self._gateway.roster.usable(
                self._pending.service, now_ms, self._pending.software_version
            )
        )

    def can_continue_elsewhere(self, member: roster_lib.Member) -> bool:
        """Whether another target could resume the stream now."""
        now_ms = clock.boot_ms()
        others = [
            one for one in self._usable_targets(now_ms) if one is not member
        ]
        choice = self._gateway.placement.choose(
            self._pending.request.adapter, others, now_ms
        )
        return choice.send is not None
