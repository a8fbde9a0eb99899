"""Rate limits of targets at one gateway: responses, reports, rejections.

The decisions are made in ``radishstack.process.target_rate_limits``.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import random

import anyio
from radishstack import result
from radishstack.connection import fleet_wire
from radishstack.process import incarnation
from radishstack.process import roster as roster_lib
from radishstack.process import target_rate_limits

from radishd.process import clock
from radishd.process import decision_log
from radishd.process import fleet_socket
from radishd.process import metrics as metrics_lib

# Minimum Retry-After, and the jitter that is added to it.
RETRY_MIN_MS = 100
RETRY_JITTER_MS = 600
# Maximum number of queued reports. If a report is dropped, the other gateways
# learn the limit from responses.
MAX_PENDING_REPORTS = 256

Reservation = target_rate_limits.Reservation
Send = Callable[
    [Iterable[fleet_socket.Address], fleet_wire.RateLimitReport],
    Awaitable[None],
]


class RateLimits:
    """Applies targets' rate limits and reports them to other gateways."""

    def __init__(
        self,
        limits: target_rate_limits.TargetRateLimits,
        others: Callable[[], list[fleet_socket.Address]],
        send: Send,
        log: decision_log.DecisionLog,
        metrics: metrics_lib.Metrics,
        random_source: random.Random,
    ) -> None:
        """Starts without limits.

        Args:
            limits: Decides whether a request may be sent to a target.
            others: Returns the datagram addresses of the other gateways.
            send: Sends a report to the given addresses.
            log: Where changes are logged.
            metrics: Where limited targets and rejections are counted.
            random_source: Randomizes the retry times of rejected callers.
        """
        self._limits = limits
        self._others = others
        self._send = send
        self._log = log
        self._metrics = metrics
        self._random = random_source
        self._pending: dict[
            str, tuple[incarnation.IncarnationId, float, int]
        ] = {}
        self._wake = anyio.Event()

    def record_response(
        self,
        member: roster_lib.Member,
        limit_per_s: float,
        *,
        sent_at_ms: int,
        attempt_id: str,
    ) -> None:
        """Records the rate limit that a target advertises in a response.

        Args:
            member: The target.
            limit_per_s: Requests per second, ``UNLIMITED_PER_S`` for none.
            sent_at_ms: When the request was sent.
            attempt_id: The attempt that received the response.
        """
        incarnation_id = member.listing.incarnation_id
        now_ms = clock.boot_ms()
        if not self._limits.record(
            incarnation_id, limit_per_s, as_of_ms=sent_at_ms, now_ms=now_ms
        ):
            return
        self._record_change(
            incarnation_id, limit_per_s, told_by="response", request=attempt_id
        )
        if len(self._pending) < MAX_PENDING_REPORTS:
            self._pending[incarnation_id.name] = (
                incarnation_id,
                limit_per_s,
                now_ms,
            )
            self._wake.set()

    def handle(
        self, report: fleet_wire.RateLimitReport, sender: fleet_socket.Address
    ) -> None:
        """Handles a report from another gateway."""
        now_ms = clock.boot_ms()
        received_at_ms = now_ms - report.ago_ms
        if self._limits.record(
            report.incarnation_id,
            report.limit_per_s,
            as_of_ms=received_at_ms - target_rate_limits.MAX_REORDER_MS,
            now_ms=now_ms,
        ):
            self._record_change(
                report.incarnation_id, report.limit_per_s, told_by=sender[0]
            )

    def _record_change(
        self,
        incarnation_id: incarnation.IncarnationId,
        limit_per_s: float,
        *,
        told_by: str,
        request: str = "",
    ) -> None:
        is_limited = limit_per_s != target_rate_limits.UNLIMITED_PER_S
        self._metrics.rate_limited_targets.set({}, len(self._limits))
        self._log.must(
            "target_rate_limit",
            target=incarnation_id.name,
            limit_per_s=limit_per_s if is_limited else None,
            told_by=told_by,
            request=request,
        )

    async def run(self) -> None:
        """Reports changes to the other gateways until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            pending, self._pending = self._pending, {}
            for incarnation_id, limit_per_s, at_ms in pending.values():
                ago_ms = clock.boot_ms() - at_ms
                report = fleet_wire.RateLimitReport(
                    incarnation_id, limit_per_s, ago_ms
                )
                await self._send(self._others(), report)

    def is_limited(self, member: roster_lib.Member) -> bool:
        """Whether a target has a rate limit."""
        return bool(len(self._limits)) and self._limits.is_limited(
            member.listing.incarnation_id
        )

    def may_send(self, member: roster_lib.Member, now_ms: int) -> bool:
        """Whether a request may be sent to a target now."""
        return not len(self._limits) or self._limits.may_send(
            member.listing.incarnation_id, now_ms
        )

    def reserve(self, member: roster_lib.Member) -> Reservation | None:
        """Reserves a request to a target, None if it may not be sent now."""
        return self._limits.reserve(
            member.listing.incarnation_id, clock.boot_ms()
        )

    def is_reserved(
        self, reservation: Reservation | None, member: roster_lib.Member
    ) -> bool:
        """Whether a reservation is for a target and has not expired."""
        return (
            reservation is not None
            and reservation.incarnation_id == member.listing.incarnation_id
            and self._limits.is_valid(reservation, clock.boot_ms())
        )

    def release(self, reservation: Reservation | None) -> None:
        """Releases a reservation whose request was not sent."""
        if reservation is not None:
            self._limits.release(reservation, clock.boot_ms())

    def rejection(
        self, service: str, members: Iterable[roster_lib.Member]
    ) -> result.Failure:
        """Returns the rejection of a request whose targets are all limited.

        Args:
            service: The service that was requested.
            members: The targets that the request could be sent to.
        """
        now_ms = clock.boot_ms()
        wait_ms = min(
            (
                self._limits.wait_ms(member.listing.incarnation_id, now_ms)
                for member in members
            ),
            default=0,
        )
        self._metrics.rate_limited.inc({"service": service})
        jitter_ms = round(self._random.uniform(0, RETRY_JITTER_MS))
        return result.Failure(
            result.TARGETS_RATE_LIMITED,
            f"all targets of {service} are at their rate limits",
            max(RETRY_MIN_MS, wait_ms) + jitter_ms,
        )

    def report(self) -> dict[str, float]:
        """Returns the rate limits in requests per second, by target."""
        return self._limits.report()
