"""Which start of an engine the process beside it gives orders to.

Gateways name the start that the platform's list shows. After a restart the
list shows both for some seconds, and gateways can name either; only the
engine itself knows which is over, and says so by refusing an order.
"""


class Incarnations:
    """The starts of one engine."""

    def __init__(self) -> None:
        """Starts knowing none."""
        self.current = ""
        self._ended: set[str] = set()

    def named(self, instance: str) -> bool:
        """Takes the start that a gateway names.

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
        """Takes the engine's word that the current start is over."""
        self._ended.add(self.current)
        self.current = ""
