"""Incarnations of a target, and the one that a sidecar sends orders to.

Gateways name the incarnation that the platform's list shows. After a restart
the list shows both incarnations for some seconds, and gateways can name either.
Only the engine knows which one has ended; it rejects orders for that one.
"""

import dataclasses


def start_times_differ(one_ms: int, other_ms: int) -> bool:
    """Whether two start times are both known and differ."""
    return bool(one_ms and other_ms) and one_ms != other_ms


@dataclasses.dataclass(frozen=True, slots=True)
class IncarnationId:
    """Identifies an incarnation of a target, which restarts under its name.

    Attributes:
        name: Name under which the target registers.
        born_ms: Start time as Unix time on the target's VM, 0 if unknown. It
            only tells incarnations apart and does not order them: clocks can
            jump back, so a later incarnation may have an earlier start time.
    """

    name: str
    born_ms: int = 0

    def is_other(self, other: "IncarnationId") -> bool:
        """Whether the incarnations are known to differ."""
        if self.name != other.name:
            return True
        return start_times_differ(self.born_ms, other.born_ms)


class IncarnationTracker:
    """Tracks the current incarnation of one engine."""

    def __init__(self) -> None:
        """Starts without a known incarnation."""
        self.current = ""
        self._ended: set[str] = set()

    def select(self, instance: str) -> bool:
        """Makes an incarnation that a gateway names the current one.

        Args:
            instance: Name of the incarnation.

        Returns:
            Whether it is now the current one, False if it has ended.
        """
        if instance in self._ended:
            return False
        self.current = instance
        return True

    def refused(self) -> None:
        """Records that the engine rejected orders for the current incarnation.

        The rejection proves that the incarnation has ended.
        """
        self._ended.add(self.current)
        self.current = ""

    def restarted(self) -> None:
        """Records that the engine runs another incarnation.

        It may reuse the name of an ended one. If the ended names were kept, the
        engine would never get orders again. The engine rejects orders for a
        name that has still ended.
        """
        self._ended.clear()
