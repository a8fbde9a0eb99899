"""Detects that a watch has missed changes that others have read.

The answer of a watch may be lost without an error, and a long watch shows that
only when it ends. Each process therefore tells others the store position of the
newest change that it has read.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from radishstack.process import store_position

# Time for the own watch to return a change that another process has read.
GRACE_MS = 300
# A claimed position that is still not reached after so many reads is wrong.
MAX_READS = 2
# Time between two reads for the same position.
READ_INTERVAL_MS = 1_000

Positions = Mapping[str, store_position.StorePosition]
NO_POSITION = store_position.StorePosition()


def newest_change(
    positions: Iterable[store_position.StorePosition],
    read_position: store_position.StorePosition,
) -> store_position.StorePosition:
    """Returns the position of the newest change of a read.

    Args:
        positions: Where the objects that were read have last changed. One that
            claims a later position than that of the read is ignored.
        read_position: Position of the read.
    """
    return max(
        (one for one in positions if one <= read_position), default=NO_POSITION
    )


@dataclasses.dataclass(slots=True)
class _Claim:
    """The newest position that another process has told for a kind."""

    position: store_position.StorePosition
    told_at_ms: int
    read_at_ms: int = 0
    read_count: int = 0


class ChangeLag:
    """Changes that other processes have read, by kind of object."""

    def __init__(self) -> None:
        """Starts without claims."""
        self._claims: dict[str, _Claim] = {}

    def record(self, told: Positions, now_ms: int) -> None:
        """Records what another process has read."""
        for kind, position in told.items():
            claim = self._claims.get(kind)
            if claim is None or position > claim.position:
                self._claims[kind] = _Claim(position, now_ms)

    def missed(self, read: Positions, now_ms: int) -> list[str]:
        """Returns the kinds that are to be read now.

        Args:
            read: Up to where this process has read each kind.
            now_ms: Now.
        """
        kinds = []
        for kind, claim in self._claims.items():
            if (
                read.get(kind, NO_POSITION) < claim.position
                and now_ms - claim.told_at_ms >= GRACE_MS
                and claim.read_count < MAX_READS
                and now_ms - claim.read_at_ms >= READ_INTERVAL_MS
            ):
                claim.read_at_ms = now_ms
                claim.read_count += 1
                kinds.append(kind)
        return kinds
