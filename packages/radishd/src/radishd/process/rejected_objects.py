"""Counts and logs objects of the store that cannot be used."""

from radishstack.process import store_position

from radishd.process import decision_log
from radishd.process import metrics as metrics_lib
from radishd.process import stored

# Maximum number of objects that are remembered as logged.
MAX_REMEMBERED = 1_024
# Maximum length of a name and of a reason in a log line: other writers choose
# them.
MAX_NAME_CHARS = 200
MAX_REASON_CHARS = 400


class RejectedObjects:
    """The rejected objects of one process."""

    def __init__(
        self, log: decision_log.DecisionLog, metrics: metrics_lib.Metrics
    ) -> None:
        """Starts without objects.

        Args:
            log: Where objects are logged.
            metrics: Where objects are counted.
        """
        self._log = log
        self._metrics = metrics
        self._positions: dict[
            tuple[str, str], store_position.StorePosition
        ] = {}

    def add(self, kind: str, record: stored.Record, reason: str) -> None:
        """Counts and logs an object, once for each of its revisions."""
        key = (kind, record.name[:MAX_NAME_CHARS])
        if self._positions.get(key) == record.position:
            return
        if len(self._positions) >= MAX_REMEMBERED:
            self._positions.clear()
        self._positions[key] = record.position
        self._metrics.unreadable.inc({"kind": kind})
        self._log.write(
            "object_refused",
            kind=kind,
            object=record.name[:MAX_NAME_CHARS],
            revision=record.revision,
            reason=reason[:MAX_REASON_CHARS],
        )

    def add_nameless(self, kind: str, count: int) -> None:
        """Counts and logs objects without a valid name or revision."""
        for _ in range(count):
            self._metrics.unreadable.inc({"kind": kind})
        if count:
            self._log.write("objects_nameless", kind=kind, count=count)
