"""Which start of an engine the process beside it gives orders to.

Gateways name the start that the platform's list shows. After a restart the
list shows both for some seconds, and gateways can name either; only the
engine itself knows which is over, and says so by refusing an order.
"""

import dataclasses


def start_times_differ(one_ms: int, other_ms: int) -> bool:
    """Whether two births are told and differ."""
    return bool(one_ms and other_ms) and one_ms != other_ms


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationId:
    """One start of a target: a target may start again under its name.

    Attributes:
        name: Name under which it registers.
        born_ms: Unix time of the start as its own VM told it, 0 where it told
            none. Clocks jump, so a later start may bear a smaller one: equal
            or not is all that it says.
    """

    name: str
    born_ms: int = 0

    def is_other(self, other: "IncarnationId") -> bool:
        """Whether another start is meant, as far as births are told."""
        if self.name != other.name:
            return True
        return start_times_differ(self.born_ms, other.born_ms)


class IncarnationTracker:
    """The starts of one engine."""

    def __init__(self) -> None:
        """Starts knowing none."""
        self.current = ""
        self._ended: set[str] = set()

    def select(self, instance: str) -> bool:
        """Records the incarnation that a gateway names.

        Args:
            instance: The start.

        Returns:
            Whether it is the current one now. One that is over never is.
        """
        if instance in self._ended:
            return False
        self.current = instance
        return True

    def refused(self) -> None:
        """Records that the engine's current incarnation is over."""
        self._ended.add(self.current)
        self.current = ""

    def restarted(self) -> None:
        """Records that another incarnation of the engine runs.

        It may be one of a name that was over: kept, that refusal would leave
        the engine without orders for good. A name that is still over is
        refused once more.
        """
        self._ended.clear()
