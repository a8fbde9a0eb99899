"""Checks how the responses to one request ended, and records it for its log."""

from radishstack.request import event_stream
from radishstack.request import forwarding
from radishstack.request import response_end

from radishd.connection import http_client
from radishd.request import gateway_interface
from radishd.request import pending_request
from radishd.request import response_reader

End = response_end.End
_END_OF_OUTCOME = {
    forwarding.Outcome.LOST: End.LOST,
    forwarding.Outcome.SILENT: End.STALLED,
    forwarding.Outcome.SPOILED: End.INVALID,
}
# Ends that may be due to a crash of the target.
_CUT_BY_TARGET = frozenset({End.LOST, End.INSIDE_EVENT, End.EMPTY})


class ResponseEnds:
    """Ends of the responses to one request.

    Attributes:
        history: Each end as ``target:framing:end``, followed by the number of
            bytes of an unfinished event if there are any.
    """

    def __init__(
        self,
        gateway: gateway_interface.GatewayInterface,
        pending: pending_request.PendingRequest,
    ) -> None:
        """Starts without a response.

        Args:
            gateway: The gateway.
            pending: The request.
        """
        self.history: list[str] = []
        self._gateway = gateway
        self._pending = pending

    async def check(
        self,
        send: response_reader.Send,
        head: http_client.Head,
        events: event_stream.EventStream | None = None,
    ) -> bool:
        """Checks whether a response is complete that HTTP takes as complete.

        Whatever learns from the end of an answer asks this first: a cut answer
        must neither reach the caller as a whole one nor clear a request that
        crashes its targets.

        Args:
            send: The send that it responds to.
            head: Its head.
            events: Its events, None if it is no stream.

        Returns:
            Whether the response is the complete answer.
        """
        framing = http_client.framing(head)
        ending = response_end.Ending(
            is_delimited=framing is not http_client.Framing.CLOSE,
            is_inside_event=events is not None and events.is_inside_event,
            lacks_events=events is not None and events.is_empty,
        )
        end = response_end.judge(ending)
        if end is response_end.Undecided.TARGET_STATE:
            end = await self._gateway.closing_check.judge(
                send.member,
                self._pending.request.attempt_id,
                self._pending.deadline_at_ms,
            )
        self._record(send, head, end, events)
        return end.is_complete

    def record_cut(
        self,
        send: response_reader.Send,
        head: http_client.Head,
        outcome: forwarding.Outcome,
        events: event_stream.EventStream,
    ) -> None:
        """Records a response that HTTP does not take as complete.

        Args:
            send: The send that it responds to.
            head: Its head.
            outcome: Outcome of the send.
            events: Its events.
        """
        self._record(send, head, _END_OF_OUTCOME[outcome], events)

    def _record(
        self,
        send: response_reader.Send,
        head: http_client.Head,
        end: End,
        events: event_stream.EventStream | None,
    ) -> None:
        if end in _CUT_BY_TARGET:
            self._gateway.closing_check.record_cut(send.member)
        framing = http_client.framing(head).value
        entry = f"{send.member.listing.instance}:{framing}:{end.value}"
        if events is not None and events.unfinished_bytes:
            entry += f":{events.unfinished_bytes}"
        self.history.append(entry)
        self._gateway.metrics.response_ends.inc(
            {"framing": framing, "end": end.value}
        )
