"""How the responses to one request ended, for its log line."""

from radishstack.request import forwarding
from radishstack.request import response_end

from radishd.connection import http_client
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

    def __init__(self, metrics: metrics_lib.Metrics) -> None:
        """Starts without a response.

        Args:
            metrics: Metrics that count the ends.
        """
        self.history: list[str] = []
        self._metrics = metrics

    def record_complete(
        self, instance: str, head: http_client.Head, unfinished_bytes: int = 0
    ) -> None:
        """Records a response that is taken as complete.

        Args:
            instance: The target.
            head: Head of its response.
            unfinished_bytes: Size of an unfinished event at its end.
        """
        is_closed = http_client.framing(head) is http_client.Framing.CLOSE
        end = End.CLOSED if is_closed else End.DELIMITED
        self._record(instance, head, end, unfinished_bytes)

    def record_cut(
        self,
        instance: str,
        head: http_client.Head,
        outcome: forwarding.Outcome,
        unfinished_bytes: int = 0,
    ) -> None:
        """Records a response that is not complete.

        Args:
            instance: The target.
            head: Head of its response.
            outcome: Outcome of the send.
            unfinished_bytes: Size of an unfinished event at its end.
        """
        end = _END_OF_OUTCOME[outcome]
        self._record(instance, head, end, unfinished_bytes)

    def _record(
        self,
        instance: str,
        head: http_client.Head,
        end: End,
        unfinished_bytes: int,
    ) -> None:
        framing = http_client.framing(head).value
        entry = f"{instance}:{framing}:{end.value}"
        if unfinished_bytes:
            entry += f":{unfinished_bytes}"
        self.history.append(entry)
        self._metrics.response_ends.inc({"framing": framing, "end": end.value})
