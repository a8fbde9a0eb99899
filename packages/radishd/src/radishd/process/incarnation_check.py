"""Checks which incarnation of a target a connection leads to."""

from radishstack import result
from radishstack.process import roster as roster_lib

from radishd.platform import engine as engine_lib

# The first attempt may use a connection that the engine has just closed.
REPORT_ATTEMPTS = 2


class IncarnationCheck:
    """Reads the start times of engines that may restart under their names.

    A request names its target but not the incarnation, so that a restarted
    engine accepts requests that were meant for the former incarnation.
    """

    def __init__(self, name: str) -> None:
        """Starts without connections.

        Args:
            name: Name of this process.
        """
        self._name = name
        self._engines: dict[str, engine_lib.Engine] = {}

    async def confirm(self, listing: roster_lib.Listing) -> bool:
        """Whether the listed incarnation runs now.

        A connection that was opened before leads to this incarnation or to one
        that has ended, since connections end with their incarnation.

        Args:
            listing: The target. Without a start time, its name identifies the
                incarnation, and the target itself rejects other names.
        """
        if not listing.born_ms:
            return True
        engine = self._engines.setdefault(
            listing.address, engine_lib.Engine(listing.address, self._name)
        )
        for _ in range(REPORT_ATTEMPTS):
            report = await engine.report()
            if not isinstance(report, result.Failure):
                return report.born_ms == listing.born_ms
        return False

    def forget(self, addresses: set[str]) -> None:
        """Drops the connections to all other addresses."""
        for address in self._engines.keys() - addresses:
            self._engines.pop(address).drop_connections()

    def drop_connections(self) -> None:
        """Closes all idle connections, as after a process pause."""
        for engine in self._engines.values():
            engine.drop_connections()
