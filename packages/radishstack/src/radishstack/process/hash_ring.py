"""Consistent hashing: the same few names for a key in every process.

Unlike rendezvous hashing it does not visit every name for each key, so that a
key costs the same among thousands of names.
"""

import bisect
from collections.abc import Iterable
import dataclasses

import xxhash

# Points of each name on the ring; more spread the keys more evenly.
POINTS_PER_NAME = 8


@dataclasses.dataclass(frozen=True, slots=True)
class HashRing:
    """Names on a ring of 64-bit hashes.

    Attributes:
        points: Hashes of the points, in ascending order.
        names: The name of each point.
    """

    points: tuple[int, ...] = ()
    names: tuple[str, ...] = ()

    def successors(self, key: int, count: int) -> list[str]:
        """Returns the first different names after a key.

        Args:
            key: A 64-bit hash.
            count: Maximum number of names.
        """
        first = bisect.bisect_left(self.points, key)
        found: dict[str, None] = {}
        for offset in range(len(self.names)):
            if len(found) >= count:
                break
            found[self.names[(first + offset) % len(self.names)]] = None
        return list(found)


def make_ring(names: Iterable[str]) -> HashRing:
    """Places names on a ring."""
    pairs = sorted(
        (xxhash.xxh3_64_intdigest(f"{name}/{number}".encode()), name)
        for name in set(names)
        for number in range(POINTS_PER_NAME)
    )
    return HashRing(
        tuple(point for point, _ in pairs), tuple(name for _, name in pairs)
    )
