"""Checks how the responses to one request ended, and records it for its log."""

from radishstack.request import event_stream
from radishstack.request import forwarding
from radishstack.request import response_end

from radishd.connection import http_client
from radishd.connection import pool as pool_lib
from radishd.process import metrics as metrics_lib

End = response_end.End
_END_OF_OUTCOME = {
    forwarding.Outcome.LOST: End.LOST,
    forwarding.Outcome.SILENT: End.STALLED,
    forwarding.Outcome.SPOILED: End.INVALID,
}


class ResponseEnds:
    """Ends of the responses to one request.

    Attributes:
        history: Each end as ``target:framing:end``, followed by the number of
            bytes of an unfinished event if there are any.
    """

    def __init__(
        self, pool: pool_lib.Pool, metrics: metrics_lib.Metrics
    ) -> None:
        """Starts without a response.

        Args:
            pool: Connections to targets.
            metrics: Metrics that count the ends.
        """
        self.history: list[str] = []
        self._pool = pool
        self._metrics = metrics

    async def check(
        self,
        instance: str,
        address: str,
        head: http_client.Head,
        events: event_stream.EventStream | None = None,
    ) -> bool:
        """Checks whether a response is complete that HTTP takes as complete.

        Args:
            instance: The target.
            address: Its address.
            head: Head of its response.
            events: Events of its response, None if it is no stream.

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
            lost = await self._pool.probe(address)
            end = response_end.judge_closed(target_accepts=lost is None)
        self._record(instance, head, end, events)
        return end.is_complete

    def record_cut(
        self,
        instance: str,
        head: http_client.Head,
        outcome: forwarding.Outcome,
        events: event_stream.EventStream,
    ) -> None:
        """Records a response that HTTP does not take as complete.

        Args:
            instance: The target.
            head: Head of its response.
            outcome: Outcome of the send.
            events: Events of its response.
        """
        self._record(instance, head, _END_OF_OUTCOME[outcome], events)

    def _record(
        self,
        instance: str,
        head: http_client.Head,
        end: End,
        events: event_stream.EventStream | None,
    ) -> None:
        framing = http_client.framing(head).value
        entry = f"{instance}:{framing}:{end.value}"
        if events is not None and events.unfinished_bytes:
            entry += f":{events.unfinished_bytes}"
        self.history.append(entry)
        self._metrics.response_ends.inc({"framing": framing, "end": end.value})
