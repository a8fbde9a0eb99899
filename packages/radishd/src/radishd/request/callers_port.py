"""The callers' port of a gateway: reads, admits and serves requests.

Which requests are admitted is decided in ``radishstack.request.admission``.
"""

from __future__ import annotations

from typing import Any
from typing import Protocol

import anyio
from radishstack import invariant
from radishstack import result
from radishstack.request import admission

from radishd.platform import front
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import logs
from radishd.process import web
from radishd.request import body_reader
from radishd.request import forward as forward_lib
from radishd.request import gateway_interface
from radishd.request import intake
from radishd.request import pending_request
from radishd.request import received_request
from radishd.request import target_selection


class CallersPortGateway(gateway_interface.GatewayInterface, Protocol):
    """The gateway as its callers' port uses it.

    Attributes:
        log: Where requests are logged.
        in_flight: Number of requests that are being served.
        refusals: Failed requests, counted by number of the result code.
    """

    log: decision_log.DecisionLog
    in_flight: int
    refusals: dict[int, int]


class CallersPort:
    """Serves the callers of one gateway."""

    def __init__(self, gateway: CallersPortGateway) -> None:
        """Starts with no request.

        Args:
            gateway: The gateway.
        """
        self._gateway = gateway

    async def app(
        self, scope: web.Scope, receive: web.Receive, send: web.Send
    ) -> None:
        """Serves one request; the ASGI application of the port."""
        if scope["type"] != "http":
            return
        arrived_at_ms = clock.boot_ms()
        self._gateway.in_flight += 1
        try:
            await self._serve(scope, receive, send, arrived_at_ms)
        finally:
            self._gateway.in_flight -= 1

    async def _serve(
        self,
        scope: web.Scope,
        receive: web.Receive,
        send: web.Send,
        arrived_at_ms: int,
    ) -> None:
        gateway = self._gateway
        limits = gateway.table.limits
        too_large = intake.check_headers(scope, limits.max_header_bytes)
        if too_large is not None:
            await self._reject(too_large, "", send)
            return
        request = front.decode(scope)
        if isinstance(request, result.Failure):
            await self._reject(request, "", send)
            return
        # The head may be enough to reject the request, without reading a large
        # body.
        admitted = self._admit(request)
        if isinstance(admitted, result.Failure):
            await self._reject(admitted, request.attempt_id, send)
            return
        timeout_ms = admitted.route.timeout_ms
        deadline_at_ms = arrived_at_ms + min(
            timeout_ms, request.left_ms or timeout_ms
        )
        retry_after_ms = gateway.random_delay_ms(
            target_selection.NO_TARGET_RETRY_MS
        )
        draining = gateway.connection_draining
        body = await body_reader.read_until(
            receive,
            limits.max_body_bytes,
            draining.limit(deadline_at_ms),
            retry_after_ms=retry_after_ms,
        )
        if isinstance(body, result.Failure):
            if body.code is not result.CANCELLED:
                await self._reject(body, request.attempt_id, send)
            return
        rejection = draining.rejection(deadline_at_ms, retry_after_ms)
        if rejection is not None:
            await self._reject(rejection, request.attempt_id, send)
            return
        # Admitted again after the body was read, because a new configuration
        # may have come into force in the meantime.
        admitted = self._admit(request)
        if isinstance(admitted, result.Failure):
            await self._reject(admitted, request.attempt_id, send)
            return
        reservation = await gateway.usage_caps.admit(
            admitted.account, request.token_count
        )
        if isinstance(reservation, result.Failure):
            await self._reject(
                reservation, request.attempt_id, send, admitted.account_name
            )
            return
        service = gateway.pick_service(admitted.route)
        pending = pending_request.PendingRequest(
            request,
            admitted,
            service,
            gateway.table.services.get(service),
            body,
            arrived_at_ms,
        )
        pending.deadline_at_ms = draining.bound(pending.deadline_at_ms)
        forward = forward_lib.Forward(gateway, pending, send, reservation)
        gateway.budget(service).earn(arrived_at_ms)
        await self._run(forward, receive)

    def _admit(
        self, request: received_request.ReceivedRequest
    ) -> result.Outcome[admission.Admission]:
        return admission.admit(
            self._gateway.table,
            admission.Head(request.host, request.path, request.key_digest),
            retry_after_ms=self._gateway.random_delay_ms(
                target_selection.NO_TARGET_RETRY_MS
            ),
        )

    async def _reject(
        self,
        failure: result.Failure,
        attempt_id: str,
        send: web.Send,
        account: str = "",
    ) -> None:
        self._count_request(failure)
        self._gateway.log.write(
            "request",
            request=attempt_id,
            account=account,
            code=failure.code.number,
            reason=failure.message,
            config=self._gateway.table.version,
        )
        status, headers, body = front.failure(failure, attempt_id)
        if self._gateway.draining:
            headers.append((b"connection", b"close"))
        await web.reply(send, status, headers, body)

    async def _run(
        self, forward: forward_lib.Forward, receive: web.Receive
    ) -> None:
        gateway = self._gateway
        left = done = False

        async def watch_disconnect() -> None:
            nonlocal left
            while (await receive())["type"] != "http.disconnect":
                pass
            left = not done
            tasks.cancel_scope.cancel()

        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch_disconnect)
                await forward.run()
                done = True
                tasks.cancel_scope.cancel()
        except* forward_lib.ResponseAbortedError:
            # The server closes the connection without ending the response.
            raise forward_lib.ResponseAbortedError from None
        except* Exception as group:
            await self._handle_exception(forward, group)
        finally:
            forward.release()
            for fingerprint in forward.pending.trials:
                gateway.crash_gossip.end_trial(fingerprint)
            self._log_request(forward, left=left)

    async def _handle_exception(
        self, forward: forward_lib.Forward, group: ExceptionGroup
    ) -> None:
        """Logs an exception and fails its request; other requests continue."""
        code = result.INTERNAL
        for error in group.exceptions:
            if isinstance(error, invariant.InvariantBrokenError):
                code = error.code
        logs.exception(
            "request_broke", request=forward.pending.request.attempt_id
        )
        self._gateway.metrics.broken.inc({"code": str(code.number)})
        forward.failure = result.Failure(code, repr(group.exceptions[0]))
        if forward.pending.response_started:
            raise forward_lib.ResponseAbortedError
        forward.pending.sends.may_have_run = forward.sent
        failure = result.Failure(
            result.INTERNAL,
            "this gateway broke off the request",
        )
        await forward.reply(failure)

    def _count_request(self, failure: result.Failure | None) -> None:
        number = failure.code.number if failure is not None else 0
        self._gateway.metrics.requests.inc({"code": str(number)})
        if number:
            self._gateway.refusals[number] = (
                self._gateway.refusals.get(number, 0) + 1
            )

    def _log_request(self, forward: forward_lib.Forward, *, left: bool) -> None:
        failure = forward.failure
        if left and failure is None:
            failure = result.Failure(result.CANCELLED, "the caller left")
        self._count_request(failure)
        now_ms = clock.boot_ms()
        fields: dict[str, Any] = {}
        if failure is not None:
            fields["reason"] = failure.message
        if forward.pending.admission.account is not None:
            fields["account"] = forward.pending.admission.account_name
        if forward.pending.needs_adapter:
            fields["adapter"] = forward.pending.request.adapter
        if forward.pending.request.resumed_attempt_id:
            fields["resumes"] = forward.pending.request.resumed_attempt_id
        if forward.pending.request.last_event_id:
            event_id = forward.pending.request.last_event_id
            fields["after_event"] = event_id.decode("latin-1")
        if forward.reader.history:
            fields["responses"] = forward.reader.history
        if forward.response_ends.history:
            fields["response_ends"] = forward.response_ends.history
        if forward.pending.stream_targets:
            fields["stream_targets"] = forward.pending.stream_targets
        if failure is not None and forward.pending.cached_fingerprint:
            fields["fingerprint"] = forward.pending.cached_fingerprint
            if forward.pending.block_fingerprints:
                fields["prompt_blocks"] = forward.pending.block_fingerprints
        self._gateway.log.write(
            "request",
            request=forward.pending.request.attempt_id,
            route=forward.pending.route.name,
            service=forward.pending.service,
            config=self._gateway.table.version,
            status=forward.status,
            code=failure.code.number if failure is not None else 0,
            sends=forward.send_history,
            took_ms=now_ms - forward.pending.arrived_at_ms,
            left_ms=forward.pending.deadline_at_ms - now_ms,
            **fields,
        )
