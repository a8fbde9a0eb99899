"""Follows one kind of object in the store: a list, then watches.

The store may forget a watch, or the connection may fail without an error, so
each watch is bounded in time. A watch whose history has expired is replaced by
a new list.
"""

from collections.abc import Callable
import random
import typing

import anyio
from radishstack import result
from radishstack.process import store_position

from radishd.platform import store as store_lib
from radishd.process import clock
from radishd.process import decision_log
from radishd.process import stored

MS_PER_S = 1_000
# Exponential backoff with jitter after failed calls: the store counts rejected
# calls too.
RETRY_FIRST_MS = 100
RETRY_MAX_MS = 800
# Wait time of a watch that only checks whether the store answers. A longer
# wait would delay the detection of the end of an outage.
PROBE_WAIT_MS = 50


class Sink(typing.Protocol):
    """Receives the objects that a follower reads."""

    def replace_all(self, batch: stored.Batch) -> None:
        """Receives all objects of the kind."""

    def changes(self, batch: stored.Batch) -> None:
        """Receives changed objects."""


class Follower:
    """Follows one kind of object.

    Attributes:
        failing_since_ms: When the store stopped answering, 0 if it answers.
        revision: Store revision read last, 0 before a list.
        era: Store era of that revision.
        read_position: Newest position read; unlike ``revision``, not reset
            before a new list.
    """

    def __init__(
        self,
        store: store_lib.Store,
        kind: str,
        sink: Sink,
        log: decision_log.DecisionLog,
        *,
        wait_ms: int,
        coalesce_ms: int,
        on_lost: Callable[[str], None] = lambda kind: None,
    ) -> None:
        """Creates a follower that has read nothing.

        Args:
            store: The store.
            kind: Kind of object.
            sink: Receives the objects.
            log: Where store outages are logged.
            wait_ms: How long one watch waits.
            coalesce_ms: Delay after changes before the next watch, which then
                returns further changes together: each answer of a watch is a
                billed call.
            on_lost: Called with the kind when the store stops answering.
        """
        self._store = store
        self._kind = kind
        self._sink = sink
        self._log = log
        self._wait_ms = wait_ms
        self._coalesce_ms = coalesce_ms
        self._on_lost = on_lost
        self._random = random.Random()
        self._retry_ms = RETRY_FIRST_MS
        self._cancel_scope: anyio.CancelScope | None = None
        self.failing_since_ms = 0
        self.revision = 0
        self.era = 0
        self.read_position = store_position.StorePosition()
        self._probe_requested = False
        self._is_call_short = False
        # Whether the last watch could not be continued. If the next one cannot
        # either, lists without a pause between them would load the store.
        self._expired_last = False
        # Time since the last answer that was spent coalescing changes.
        self._coalesced_ms = 0

    def restart(self) -> None:
        """Begins with a new list, when the objects read may be outdated."""
        self.revision = 0
        self._cancel_call()

    def renew(self) -> None:
        """Replaces the current watch, which may hang, by a probe.

        A list or probe in progress continues: it returns soon in any case, and
        calls that cancel each other would never complete on a slow store.
        """
        self._probe_requested = True
        if not self._is_call_short:
            self._cancel_call()

    def _cancel_call(self) -> None:
        if self._cancel_scope is not None:
            self._cancel_scope.cancel()

    async def run(self) -> None:
        """Follows until cancelled."""
        while True:
            with anyio.CancelScope() as self._cancel_scope:
                while True:
                    await self._poll_once()

    async def _poll_once(self) -> None:
        lists = not self.revision
        probes = self._probe_requested or bool(self.failing_since_ms)
        self._is_call_short = lists or probes
        try:
            if lists:
                answer = await self._store.list(self._kind)
            else:
                wait_ms = PROBE_WAIT_MS if probes else self._next_wait_ms()
                answer = await self._store.watch(
                    self._kind, self.revision, wait_ms
                )
        finally:
            self._is_call_short = False
        # A watch is ignored if ``restart`` has requested a new list meanwhile.
        if lists or self.revision:
            await self._handle_answer(answer, listed=lists)

    async def _handle_answer(
        self,
        answer: result.Outcome[stored.Batch] | stored.Expired,
        *,
        listed: bool,
    ) -> None:
        if isinstance(answer, stored.Expired):
            self._log.must("store_history_gone", kind=self._kind)
            self.revision = 0
            if self._expired_last:
                await self._pause()
            self._expired_last = True
            return
        if isinstance(answer, result.Failure):
            await self._handle_failure(answer)
            return
        if not listed:
            self._expired_last = False
        if not listed and answer.era != self.era:
            # The store was restored during the watch; read a new list.
            self.revision = 0
            return
        self._record_success(answer)
        if listed:
            self._sink.replace_all(answer)
        elif answer.records:
            self._sink.changes(answer)
            await anyio.sleep(self._coalesce_ms / MS_PER_S)
            self._coalesced_ms = self._coalesce_ms

    def _next_wait_ms(self) -> int:
        """Returns how long the next watch waits.

        The time between two answers is bounded, whether changes are coalesced
        in it or not: a connection that has fallen silent shows only by a late
        answer.
        """
        coalesced_ms, self._coalesced_ms = self._coalesced_ms, 0
        return max(PROBE_WAIT_MS, self._wait_ms - coalesced_ms)

    async def _handle_failure(self, failure: result.Failure) -> None:
        if not self.failing_since_ms:
            self.failing_since_ms = clock.boot_ms()
            self._log.must(
                "store_lost", kind=self._kind, reason=failure.message
            )
            self._on_lost(self._kind)
        await self._pause()

    async def _pause(self) -> None:
        """Waits before the next call; longer each time in a row."""
        pause_ms = self._retry_ms * self._random.uniform(0.5, 1.5)
        self._retry_ms = min(self._retry_ms * 2, RETRY_MAX_MS)
        await anyio.sleep(pause_ms / MS_PER_S)

    def _record_success(self, answer: stored.Batch) -> None:
        self.revision = max(self.revision, answer.revision)
        self.era = answer.era
        self.read_position = max(self.read_position, answer.position)
        self._probe_requested = False
        if not self._expired_last:
            self._retry_ms = RETRY_FIRST_MS
        if not self.failing_since_ms:
            return
        lost_ms = clock.boot_ms() - self.failing_since_ms
        self.failing_since_ms = 0
        self._log.must("store_back", kind=self._kind, after_ms=lost_ms)
