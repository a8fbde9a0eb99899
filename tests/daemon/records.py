"""Callers' own records, compared with what was executed."""

import collections
from collections.abc import Callable
import dataclasses
import itertools
import threading

from standins import answer as answer_lib

from tests.daemon import fixtures


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One request and its one outcome.

    Attributes:
        kind: ``book`` or ``stream``.
        name: Its key, or its request id.
        model: ``adapter@version``, empty for a booking.
        answer: What came back.
    """

    kind: str
    name: str
    model: str
    answer: fixtures.Answer


class Crew:
    """Callers that go on asking while faults happen."""

    def __init__(self, site: fixtures.Site, *, tokens: int = 12) -> None:
        """Prepares callers; none asks yet."""
        self.site = site
        self.tokens = tokens
        self.records: list[Record] = []
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._lock = threading.Lock()

    def start(self, *, bookers: int, streamers: int) -> None:
        """Starts callers of both kinds."""
        for number in range(bookers):
            self._spawn(self._book, number)
        for number in range(streamers):
            self._spawn(self._stream, number)

    def _spawn(self, work: Callable[[int], None], number: int) -> None:
        thread = threading.Thread(target=work, args=(number,))
        thread.start()
        self._threads.append(thread)

    def _keep(self, record: Record) -> None:
        with self._lock:
            self.records.append(record)

    def count(self, kind: str, *, whole: bool = False) -> int:
        """Returns how many requests of a kind have their outcome."""
        with self._lock:
            return sum(
                one.kind == kind and (not whole or one.answer.status == 200)
                for one in self.records
            )

    def _book(self, number: int) -> None:
        entries = itertools.cycle(self.site.entries)
        for index in itertools.count():
            if self._stop.is_set():
                return
            key = f"crew-{number}-{index}"
            # Each key is sent twice, through both entries, whatever came of
            # the first.
            for entry in (next(entries), next(entries)):
                answer = self.site.book(entry, key, {"n": index})
                self._keep(Record("book", key, "", answer))

    def _stream(self, number: int) -> None:
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
            self._keep(Record("stream", name, f"{adapter}@1", answer))

    def finish(self) -> None:
        """Lets every caller end the request it has and stop."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def check(self, desks: list[dict], engines: list[dict]) -> None:
        """Compares the records with what was executed.

        Args:
            desks: States of the plain services.
            engines: States of the engines.
        """
        by_key: collections.Counter[str] = collections.Counter()
        for state in desks:
            by_key.update(state["executions"])
        doubled = {key: n for key, n in by_key.items() if n > 1}
        assert not doubled, doubled
        ran = collections.Counter(
            execution["request_id"]
            for state in engines
            for execution in state["executions"]
        )
        for state in engines:
            assert not state["violations"], state["violations"]
        for record in self.records:
            if record.kind == "book":
                _check_booking(record, by_key[record.name])
            else:
                self._check_stream(record, ran[record.name])

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
