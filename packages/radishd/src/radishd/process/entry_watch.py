"""Watches whether a target removes its entry from the list.

The follower of the list gathers changes before it reads them, so that it learns
of a removal late. This watch reads at once, and is used for single targets.
"""

import anyio

from radishd.platform import store as store_lib
from radishd.platform import wire
from radishd.process import clock
from radishd.process import follow
from radishd.process import stored

MS_PER_S = 1_000
# Concurrent watches, each of which is a billed call. Further ones wait, and
# then read the same changes.
MAX_WATCHES = 4
# Time after the end of a watch's wait within which the store must answer.
ANSWER_TIMEOUT_MS = 200


class EntryWatch:
    """Watches entries of targets."""

    def __init__(
        self, store: store_lib.Store, follower: follow.Follower
    ) -> None:
        """Starts without watches.

        Args:
            store: The store.
            follower: Follows the list of targets.
        """
        self._store = store
        self._follower = follower
        self._limiter = anyio.CapacityLimiter(MAX_WATCHES)

    @property
    def revision(self) -> int:
        """The revision up to which the list was read, 0 if it was not."""
        return self._follower.revision

    async def is_removed(
        self, name: str, revision: int, wait_ms: int
    ) -> bool | None:
        """Watches one entry.

        Args:
            name: Name of the target.
            revision: Revision from which on changes are read.
            wait_ms: How long to wait for the removal.

        Returns:
            Whether the entry was removed, None if the store did not tell.
        """
        until_ms = clock.boot_ms() + wait_ms
        era = self._follower.era
        is_removed = None
        timeout_ms = wait_ms + ANSWER_TIMEOUT_MS
        with anyio.move_on_after(timeout_ms / MS_PER_S):
            async with self._limiter:
                while revision:
                    left_ms = max(0, until_ms - clock.boot_ms())
                    batch = await self._store.watch(
                        wire.KIND_TARGETS, revision, left_ms
                    )
                    if not isinstance(batch, stored.Batch) or batch.era != era:
                        return None
                    is_removed = any(
                        one.deleted and one.name == name
                        for one in batch.records
                    )
                    if is_removed or not left_ms:
                        return is_removed
                    revision = batch.revision
        return is_removed
