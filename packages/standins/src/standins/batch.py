"""Continuous batching: the step time grows with the size of the batch."""

from collections.abc import Iterator
import dataclasses
import heapq

import anyio


@dataclasses.dataclass(eq=False, slots=True)
class Sequence:
    """One running generation.

    Attributes:
        words: Words still to generate.
        priority: Lower values enter the batch first.
        produced: Words already generated.
        finished: Whether the last word was generated.
        failed: Why it was aborted; empty if it was not.
        changed: Set when any of the above changes.
    """

    words: Iterator[str]
    priority: int = 0
    produced: list[str] = dataclasses.field(default_factory=list)
    finished: bool = False
    failed: str = ""
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Wakes the readers of the sequence."""
        self.changed.set()
        self.changed = anyio.Event()


class Batch:
    """Generates one token for every running sequence per step."""

    def __init__(
        self, *, max_size: int, step_ms: float, step_ms_per_sequence: float
    ) -> None:
        """Creates an empty batch.

        Args:
            max_size: Maximum number of running sequences.
            step_ms: Duration of a step with one sequence.
            step_ms_per_sequence: Added duration per further sequence.
        """
        self.max_size = max_size
        self.step_ms = step_ms
        self.step_ms_per_sequence = step_ms_per_sequence
        self.running: list[Sequence] = []
        self.waiting: list[tuple[int, int, Sequence]] = []
        self.steps = 0
        self.tokens = 0
        self._added_count = 0
        self._work = anyio.Event()

    def add(self, sequence: Sequence) -> None:
        """Queues a sequence until the batch has a free request slot."""
        self._added_count += 1
        entry = (sequence.priority, self._added_count, sequence)
        heapq.heappush(self.waiting, entry)
        self._work.set()

    def remove(self, sequence: Sequence, reason: str) -> None:
        """Aborts a sequence."""
        if sequence in self.running:
            self.running.remove(sequence)
        self.waiting = [one for one in self.waiting if one[2] is not sequence]
        heapq.heapify(self.waiting)
        sequence.failed = reason
        sequence.wake()

    def cut_all(self, reason: str) -> None:
        """Aborts all sequences, as a restart does."""
        for sequence in [*self.running, *(one[2] for one in self.waiting)]:
            self.remove(sequence, reason)

    async def run(self) -> None:
        """Runs steps until cancelled."""
        while True:
            if not self.running and not self.waiting:
                self._work = anyio.Event()
                await self._work.wait()
            while self.waiting and len(self.running) < self.max_size:
                self.running.append(heapq.heappop(self.waiting)[2])
            extra = max(0, len(self.running) - 1) * self.step_ms_per_sequence
            await anyio.sleep((self.step_ms + extra) / 1000.0)
            self._step()

    def _step(self) -> None:
        self.steps += 1
        for sequence in list(self.running):
            word = next(sequence.words, None)
            if word is None:
                sequence.finished = True
                self.running.remove(sequence)
            else:
                sequence.produced.append(word)
                self.tokens += 1
            sequence.wake()
