"""Compares the answers that callers received with the executions."""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import threading

from standins import answer as answer_lib

from tests.daemon import fixtures


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """A request and its outcome.

    Attributes:
        kind: ``book`` or ``stream``.
        name: Idempotency key or request id.
        model: ``adapter@version``, empty for kind ``book``.
        answer: The answer that the caller received.
    """

    kind: str
    name: str
    model: str
    answer: fixtures.Answer


class CallerGroup:
    """Callers that send requests continuously while faults are injected."""

    def __init__(self, site: fixtures.Site, *, tokens: int = 12) -> None:
        """Creates a group without running callers."""
        self.site = site
        self.tokens = tokens
        self.records: list[Record] = []
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()

    def start(self, *, booking_callers: int, streaming_callers: int) -> None:
        """Starts callers of both kinds."""
        for number in range(booking_callers):
            self._spawn(self._send_bookings, number)
        for number in range(streaming_callers):
            self._spawn(self._send_streams, number)

    def _spawn(self, work: Callable[[int], None], number: int) -> None:
        thread = threading.Thread(target=work, args=(number,))
        thread.start()
        self._threads.append(thread)

    def _add_record(self, record: Record) -> None:
        with self._lock:
            self.records.append(record)

    def count(self, kind: str, *, whole: bool = False) -> int:
        """Returns how many requests of a kind have finished.

        Args:
            kind: Kind of the records.
            whole: Whether to count only answers with status 200.
        """
        with self._lock:
            return sum(
                one.kind == kind and (not whole or one.answer.status == 200)
                for one in self.records
            )

    def _send_bookings(self, number: int) -> None:
        entries = itertools.cycle(self.site.entries)
        for index in itertools.count():
            if self._stop.is_set():
                return
            key = f"crew-{number}-{index}"
            # Each key is sent twice, through two entry daemons in turn,
            # whatever the first answer is.
            for entry in (next(entries), next(entries)):
                answer = self.site.reserve(entry, key, {"n": index})
                self._add_record(Record("book", key, "", answer))

    def _send_streams(self, number: int) -> None:
        entries = itertools.cycle(self.site.entries)
        for index in itertools.count():
            if self._stop.is_set():
                return
            name = f"stream-{number}-{index}"
            adapter = fixtures.ADAPTERS[(number + index) % 6]
            answer = self.site.complete(
                next(entries),
                f"{adapter}@1",
                name,
                stream=True,
                max_tokens=self.tokens,
                headers={"X-Request-Id": name},
            )
            self._add_record(Record("stream", name, f"{adapter}@1", answer))

    def finish(self) -> None:
        """Stops every caller after its current request."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def check(self, plain_targets: list[dict], engines: list[dict]) -> None:
        """Compares the records with the executions.

        Args:
            plain_targets: States of the plain targets.
            engines: States of the engines.
        """
        executions_by_key: collections.Counter[str] = collections.Counter()
        for state in plain_targets:
            executions_by_key.update(state["executions"])
        duplicates = {key: n for key, n in executions_by_key.items() if n > 1}
        assert not duplicates, duplicates
        executions_by_request = collections.Counter(
            execution["request_id"]
            for state in engines
            for execution in state["executions"]
        )
        for state in engines:
            assert not state["violations"], state["violations"]
        for record in self.records:
            if record.kind == "book":
                _check_booking(record, executions_by_key[record.name])
            else:
                self._check_stream(record, executions_by_request[record.name])

    def _check_stream(self, record: Record, executions: int) -> None:
        answer = record.answer
        if answer.executed == "no":
            assert executions == 0, record
        if answer.status == 200 and answer.whole:
            fields = {"prompt": record.name, "max_tokens": self.tokens}
            expected = answer_lib.expected_text(record.model, fields)
            assert fixtures.text_of_stream(answer.body) == expected, record
            assert answer.headers["x-radishstack-adapter"] == record.model


def _check_booking(record: Record, executions: int) -> None:
    answer = record.answer
    if answer.status == 200 and answer.whole:
        assert executions == 1, record
        assert answer.json()["key"] == record.name
    if answer.executed == "no":
        assert executions == 0, record
