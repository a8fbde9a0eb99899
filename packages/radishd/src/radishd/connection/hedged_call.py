"""Calls that are repeated on a new connection while the first is unanswered.

A connection may be half-open: it is silent for good, while new ones work. A
call that waits on it alone cannot tell that from an outage of the peer; a
second call on a new connection can.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Generic
from typing import TypeVar

import anyio

MS_PER_S = 1_000
# Time for the first call to be answered after the second. A peer that resumes
# after a pause answers both; a silent connection stays silent.
SETTLE_MS = 100

T = TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True)
class Answer(Generic[T]):
    """The answer to a call.

    Attributes:
        value: The answer, None if no call was answered in time.
        is_late: Whether the first call was answered late, or only the second
            one, and slowly. The peer itself may have paused.
        is_silent: Whether only the second call was answered, and at once. The
            connection of the first one is silent.
    """

    value: T | None
    is_late: bool = False
    is_silent: bool = False


class _Call(Generic[T]):
    """One call in progress."""

    def __init__(self, any_done: anyio.Event) -> None:
        self.value: T | None = None
        self.done = anyio.Event()
        self._any_done = any_done

    async def run(self, call: Callable[[], Awaitable[T]]) -> None:
        self.value = await call()
        self.done.set()
        self._any_done.set()


async def run(
    first: Callable[[], Awaitable[T]],
    second: Callable[[], Awaitable[T]],
    *,
    is_answer: Callable[[T], bool],
    late_ms: float,
    prompt_ms: float,
    timeout_ms: float,
) -> Answer[T]:
    """Makes a call, and a second one if it is late.

    A second call that fails ends nothing: the first one may still be answered.

    Args:
        first: Makes the call.
        second: Makes it on a new connection.
        is_answer: Whether the value of a call is an answer of the peer.
        late_ms: When the second call begins.
        prompt_ms: Maximum duration of a second call that is answered at once.
        timeout_ms: Maximum duration in total.
    """
    any_done = anyio.Event()
    original: _Call[T] = _Call(any_done)
    backup: _Call[T] = _Call(any_done)
    answer: Answer[T] = Answer(None)
    with anyio.move_on_after(timeout_ms / MS_PER_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(original.run, first)
            with anyio.move_on_after(late_ms / MS_PER_S):
                await original.done.wait()
            if original.done.is_set():
                answer = Answer(original.value)
            else:
                tasks.start_soon(backup.run, second)
                with anyio.move_on_after(prompt_ms / MS_PER_S) as prompt:
                    await any_done.wait()
                await any_done.wait()
                answer = await _choose(
                    original,
                    backup,
                    is_answer,
                    is_prompt=not prompt.cancelled_caught,
                )
            tasks.cancel_scope.cancel()
    return answer


async def _choose(
    original: _Call[T],
    backup: _Call[T],
    is_answer: Callable[[T], bool],
    *,
    is_prompt: bool,
) -> Answer[T]:
    """Chooses the answer once either call is done."""
    if not original.done.is_set() and is_answer(backup.value):
        with anyio.move_on_after(SETTLE_MS / MS_PER_S):
            await original.done.wait()
        if not original.done.is_set():
            return Answer(
                backup.value, is_late=not is_prompt, is_silent=is_prompt
            )
    await original.done.wait()
    return Answer(original.value, is_late=True)
