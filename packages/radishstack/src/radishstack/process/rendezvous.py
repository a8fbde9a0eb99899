"""Rendezvous hashing: the same candidate order in every process."""

from collections.abc import Iterable
import heapq

import xxhash


def order(
    key: str, names: Iterable[str], limit: int | None = None
) -> list[str]:
    """Orders names by their rendezvous weight for a key.

    Every process computes the same order without messages. Removing a name
    does not change the order of the others.

    Args:
        key: What is placed, for example ``lens-terms@3``.
        names: The candidates.
        limit: How many names to return, by default all.

    Returns:
        The names, the first choice first.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode())
    digest = xxhash.xxh3_64_intdigest
    weighted = ((digest(name.encode(), seed), name) for name in names)
    if limit is None:
        return [name for _, name in sorted(weighted)]
    return [name for _, name in heapq.nsmallest(limit, weighted)]


def first(key: str, names: Iterable[str]) -> str | None:
    """Returns the first name of the order, or None without names."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    digest = xxhash.xxh3_64_intdigest
    return min(
        names,
        key=lambda name: (digest(name.encode(), seed), name),
        default=None,
    )
