"""The state of one request while its gateway forwards it."""

from radishstack.process import crash
from radishstack.process import stream_origins
from radishstack.request import admission as admission_lib
from radishstack.request import event_stream
from radishstack.request import fingerprint as fingerprint_lib
from radishstack.request import forwarding
from radishstack.version import route_table

from radishd.process import clock
from radishd.request import received_request


class PendingRequest:
    """A request whose body was read and whose response is not complete.

    Attributes:
        request: Head of the request.
        admission: Its route and client account.
        route: Its route.
        service: The service that serves it.
        needs_adapter: Whether its target must hold an adapter.
        body: Its body.
        arrived_at_ms: When it arrived.
        deadline_at_ms: When its caller stops waiting.
        sends: The sends to targets.
        events: The events of a stream that the caller received.
        software_version: The software version of the target that began the
            stream, empty if it is unknown, None if no stream has begun.
        stream_targets: The targets that wrote the events that the caller
            received, in order, each as ``target@software version``.
        response_started: Whether the caller received a part of the response.
        trials: Fingerprints of the quarantined features that it tries.
        cached_fingerprint: Its fingerprint, empty until first used.
        block_fingerprints: Fingerprints of the blocks of its prompt that other
            requests may share, the broadest first.
    """

    def __init__(
        self,
        request: received_request.ReceivedRequest,
        admission: admission_lib.Admission,
        service: str,
        spec: route_table.ServiceSpec | None,
        body: bytes,
        arrived_at_ms: int,
    ) -> None:
        """Starts without a send.

        Args:
            request: Head of the request.
            admission: Its route and client account.
            service: The service that serves it.
            spec: Configuration of the service, None if there is none.
            body: Its body.
            arrived_at_ms: When it arrived.
        """
        self.request = request
        self.admission = admission
        self.route = route = admission.route
        self.use_service(service, spec)
        self.body = body
        self.arrived_at_ms = arrived_at_ms
        self.deadline_at_ms = arrived_at_ms + route.timeout_ms
        if request.left_ms:
            caller_ms = arrived_at_ms + request.left_ms
            self.deadline_at_ms = min(self.deadline_at_ms, caller_ms)
        self.sends = forwarding.Forwarding(route)
        self.events = event_stream.EventStream()
        self.events.last_id = request.last_event_id
        self.software_version: str | None = None
        self.stream_targets: list[str] = []
        self.response_started = False
        self.trials: list[str] = []
        self.cached_fingerprint = ""
        self.block_fingerprints = fingerprint_lib.of_shared_blocks(
            request.prompt_blocks
        )

    def use_service(
        self, service: str, spec: route_table.ServiceSpec | None
    ) -> None:
        """Sets the service that serves the request."""
        self.service = service
        self.needs_adapter = bool(
            spec is not None and spec.adapter_limit and self.request.adapter
        )

    def fingerprint(self) -> str:
        """Returns the fingerprint of the request, computed on first use."""
        if not self.cached_fingerprint:
            self.cached_fingerprint = fingerprint_lib.of_request(
                self.request.method,
                self.request.host,
                self.request.target,
                self.body,
                self.admission.account_name,
            )
        return self.cached_fingerprint

    def features(self) -> tuple[str, ...]:
        """Returns the fingerprints of the request and of its prompt blocks."""
        return (self.fingerprint(), *self.block_fingerprints)

    def suspects(self, began_at_ms: int) -> tuple[crash.Suspect, ...]:
        """Returns the features that a crash of its target may be due to.

        Args:
            began_at_ms: When it was sent to the target.
        """
        whole = crash.Suspect(self.fingerprint(), began_at_ms)
        blocks = (
            crash.Suspect(one, began_at_ms, position)
            for position, one in enumerate(self.block_fingerprints, 1)
        )
        return (whole, *blocks)

    @property
    def resumes_stream(self) -> bool:
        """Whether its caller has received the beginning of its stream."""
        request = self.request
        return self.route.streams and bool(
            request.last_event_id or request.resumed_attempt_id
        )

    @property
    def retention_ms(self) -> int:
        """How long after its beginning the stream may be resumed."""
        return stream_origins.retention_ms(
            self.route.timeout_ms, self.request.left_ms
        )

    def left_ms(self) -> int:
        """Returns how long the caller still waits."""
        return self.deadline_at_ms - clock.boot_ms()
