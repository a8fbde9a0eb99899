"""Poison entries: values of other writers that a reader cannot decode."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import functools
import json
from typing import Any
from unittest import mock

import anyio
import hypothesis
from hypothesis import strategies
from radishd import gateway as gateway_lib
from radishd.connection import http_client
from radishd.platform import entries
from radishd.platform import store as store_lib
from radishd.platform import wire
from radishd.process import follow
from radishd.process import metrics as metrics_lib
from radishd.process import stored
from radishd.process import untrusted_json
from radishstack.process import roster as roster_lib
from standins import foreign_entries
from standins import platform_engine
from standins import platform_site
from standins import platform_store
from standins import web as standins_web

from tests.fleet import fixtures

TARGETS = "servers"
KINDS = (TARGETS, "versions", "config", "crashes")
SPEC = platform_engine.PlatformEngine("i-sound0", model="").listing(
    platform_site.PLAIN, "10.0.0.1:8080", "north"
)
SOUND = {"i-sound0", "i-sound1", "i-sound2"}
Forms = Iterator[tuple[str, str, Any]]


def _usable(answer: Any) -> set[str] | str:
    """Returns the names of the usable targets that a read contains."""
    if not isinstance(answer, stored.Batch):
        return str(answer)
    return {
        record.name
        for record in answer.records
        if isinstance(
            wire.target(record.name, record.spec, 1), roster_lib.Listing
        )
    }


@contextlib.asynccontextmanager
async def _serving_store() -> AsyncIterator[
    tuple[platform_store.PlatformStore, store_lib.Store]
]:
    """Runs a store; yields it and a client."""
    host = fixtures.Fleet(None).store_host
    store = platform_store.PlatformStore()
    async with anyio.create_task_group() as tasks:
        app = standins_web.make_app(store.handle)
        await tasks.start(
            functools.partial(
                standins_web.serve, app, host, fixtures.STORE_PORT
            )
        )
        address = f"{host}:{fixtures.STORE_PORT}"
        yield store, store_lib.Store(address, metrics_lib.Metrics())
        tasks.cancel_scope.cancel()


async def _play_forms(forms: Forms, *, page_size: int = 50) -> None:
    """Reads each form beside sound entries, in a list and in a watch."""
    failed = []
    async with _serving_store() as (store, client):
        store.page_size = page_size
        for form, name, value in forms:
            store.put(TARGETS, "i-sound0", SPEC)
            began = store.revision
            for sound in ("i-sound1", name, "i-sound2"):
                store.put(TARGETS, sound, value if sound == name else SPEC)
            reads = {
                "list": (await _read(client.list(TARGETS)), SOUND),
                "watch": (
                    await _read(client.watch(TARGETS, began, 50)),
                    SOUND - {"i-sound0"},
                ),
            }
            failed.extend(
                f"{form}, {read}: {found}"
                for read, (found, expected) in reads.items()
                if found != expected
            )
            store.delete(TARGETS, name)
    assert not failed, "\n" + "\n".join(failed)


async def _read(read: Any) -> set[str] | str:
    try:
        return _usable(await read)
    except Exception as error:
        return repr(error)


def test_a_deeply_nested_entry_hides_no_others() -> None:
    """Guards against a parser that stops at the depth of one value."""
    forms = (
        (form, "i-other", value) for form, value in foreign_entries.nested(SPEC)
    )
    fixtures.run(lambda: _play_forms(forms))


def test_a_name_that_needs_percent_encoding_does_not_end_a_list() -> None:
    """Guards against a page mark that changes its meaning in the query."""
    forms = (
        (f"{name!r} {what}", name, value)
        for name in foreign_entries.NAMES
        for what, value in (
            ("sound", SPEC),
            ("unusable", platform_store.RawJson("[]")),
        )
    )
    fixtures.run(lambda: _play_forms(forms, page_size=1))


def test_a_number_out_of_range_makes_only_its_entry_invalid() -> None:
    """Guards against a conversion whose overflow stops the reader."""
    forms = (
        (form, "i-other", value)
        for form, value in foreign_entries.with_invalid_numbers(SPEC)
    )
    fixtures.run(lambda: _play_forms(forms))


async def _until_used(
    fleet: fixtures.Fleet, gateway: gateway_lib.Gateway, expected: set[str]
) -> None:
    await fleet.until(
        lambda: set(gateway.roster.members) == expected,
        "exactly the sound targets are used",
    )


def test_a_gateway_serves_while_poison_entries_stand() -> None:
    """Guards against an outage that lasts as long as one entry stands."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=2) as fleet:
            store = fleet.store
            store.page_size = 5
            spec = dict(store.objects[TARGETS]["i-plain0"]["spec"])
            host = fleet.host()
            spec["address"] = f"{host}:{fixtures.TARGET_PORT}"
            for kind in KINDS:
                for name, value in foreign_entries.all_entries(spec):
                    store.put(kind, name, value)
            await fleet.add_target("i-plain2", engine=False)
            sound = {"i-plain0", "i-plain1", "i-plain2"}
            await _until_used(fleet, fleet.gateway, sound)
            started = await fleet.add_gateway(leaving_ms=100)
            await _until_used(fleet, started, sound)
            for gateway in (fleet.gateway, started):
                answer = await fleet.call("/book/1", gateway=gateway)
                assert answer.status == 200, answer
                assert not gateway.metrics.broken.get_all()

    fixtures.run(play)


_JSON_TEXT = strategies.recursive(
    strategies.sampled_from(
        ("null", "true", "9", "-1", "1e999", "NaN", "9" * 30, "9" * 5_000)
    )
    | strategies.text(max_size=5).map(json.dumps)
    | strategies.integers(1, 5_000).map(lambda n: "[" * n + "]" * n)
    | strategies.integers(1, 5_000).map(lambda n: '{"":[' * n + "]}" * n),
    lambda inner: (
        strategies.lists(inner, max_size=3).map(lambda o: f"[{','.join(o)}]")
        | inner.map(lambda one: f'{{ "a" : {one} , "]": "}}" }}')
    ),
    max_leaves=4,
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=60)
@hypothesis.given(
    generated=strategies.lists(
        strategies.tuples(
            strategies.text(min_size=1, max_size=6),
            strategies.sampled_from([*SPEC, "x", ""]),
            _JSON_TEXT,
        ),
        min_size=1,
        max_size=6,
    ),
    page_size=strategies.integers(1, 4),
)
def test_generated_entries_hide_no_others(
    generated: list[tuple[str, str, str]], page_size: int
) -> None:
    """Guards against an entry of any form that hides sound ones."""

    async def play() -> None:
        async with _serving_store() as (store, client):
            store.page_size = page_size
            began = store.revision
            for name in SOUND:
                store.put(TARGETS, name, SPEC)
            for name, field, text in generated:
                value = (
                    foreign_entries.with_field(SPEC, field, text)
                    if field
                    else platform_store.RawJson(text)
                )
                store.put(TARGETS, f"i-{name}", value)
            listed = await client.list(TARGETS)
            assert _usable(listed) >= SOUND, listed
            watched = await client.watch(TARGETS, began, 50)
            assert _usable(watched) == _usable(listed)

    fixtures.run(play)


def test_a_watch_whose_answer_is_too_large_is_replaced_by_a_list() -> None:
    """Guards against a watch that is repeated with the same answer for ever."""

    async def play() -> None:
        async with _serving_store() as (store, client):
            store.put(TARGETS, "i-sound0", SPEC)
            began = store.revision
            large = platform_store.RawJson('"' + "a" * 1_000_000 + '"')
            for number in range(12):
                store.put(TARGETS, f"i-large{number}", large)
            for name in ("i-sound1", "i-sound2"):
                store.put(TARGETS, name, SPEC)
            answer = await client.watch(TARGETS, began, 50)
            assert isinstance(answer, stored.Expired), answer
            assert _usable(await client.list(TARGETS)) == SOUND

    fixtures.run(play)


class _UnwatchableStore:
    """A store whose lists can be read, and whose watches cannot.

    Attributes:
        list_count: Number of lists.
    """

    def __init__(self) -> None:
        self.list_count = 0

    async def list(self, kind: str) -> stored.Batch:
        del kind
        self.list_count += 1
        return stored.Batch((), 7, era=1)

    async def watch(self, *args: Any) -> stored.Expired:
        del args
        return stored.Expired()


def test_the_content_of_a_large_entry_is_not_kept() -> None:
    """Guards against entries that use up the memory of a process."""
    large = {"x": ["a" * 1_000] * 100}
    deep = {"x": [[[1] * 1_000] * 100]}
    raw = {"metadata": {"name": "main", "revision": 1}}
    for spec in (large, deep, "a" * 100_000):
        for kind in KINDS:
            record = entries.record(kind, {**raw, "spec": spec}, era=1)
            is_kept = not isinstance(record.spec, untrusted_json.Unreadable)
            assert is_kept is (kind == "config"), kind
    adapters = [f"adapter-{number}@1" for number in range(1_000)]
    models = [{"name": "base7", "version": 1, "adapters": adapters}]
    record = entries.record(
        TARGETS, {**raw, "spec": {**SPEC, "models": models}}, era=1
    )
    assert not isinstance(record.spec, untrusted_json.Unreadable)


def test_the_content_of_a_rejected_entry_is_not_kept() -> None:
    """Guards against entries that use up memory, each within its bound."""

    async def play() -> None:
        async with fixtures.running_fleet(engines=0, plain=1) as fleet:
            spec = fleet.store.objects[TARGETS]["i-plain0"]["spec"]
            later = dict(spec) | {"service": "later"}
            for kind in (TARGETS, "versions", "config"):
                fleet.store.put(kind, "i-other", {"x": ["a"] * 1_000})
            fleet.store.put(TARGETS, "i-later", later)
            known = fleet.gateway.discovery.known
            await fleet.until(
                lambda: (
                    "i-later" in known[TARGETS]
                    and all(
                        "i-other" in known[kind]
                        for kind in (TARGETS, "versions", "config")
                    )
                ),
                "the entries are read",
            )
            for kind in (TARGETS, "versions", "config"):
                rejected = known[kind]["i-other"].spec
                assert isinstance(rejected, untrusted_json.Unreadable), kind
            assert known[TARGETS]["i-later"].spec == later
            assert known["config"]["main"].spec["version"] == 1

    fixtures.run(play)


def test_watches_that_cannot_be_read_do_not_load_the_store() -> None:
    """Guards against lists that follow each other without a pause."""

    async def play() -> None:
        store = _UnwatchableStore()
        follower = follow.Follower(
            store,
            TARGETS,
            mock.Mock(),
            mock.Mock(),
            wait_ms=2_000,
            coalesce_ms=0,
        )
        pauses_s: list[float] = []

        async def sleep(pause_s: float) -> None:
            pauses_s.append(pause_s)

        with mock.patch.object(follow.anyio, "sleep", sleep):
            for _ in range(20):
                await follower._poll_once()
        assert store.list_count == 10
        # The first list follows at once; the pauses between the others grow.
        assert len(pauses_s) == 9 and min(pauses_s) >= 0.05, pauses_s
        assert max(pauses_s) > 0.35, pauses_s

    fixtures.run(play)


def test_an_entry_of_any_type_has_no_name() -> None:
    """Guards against an entry without a name that loses its page."""
    for raw in (
        None,
        7,
        "x",
        [],
        {},
        {"metadata": 7},
        {"metadata": {}},
        {"metadata": {"name": 7}},
        {"spec": SPEC},
    ):
        assert entries.name(raw) == "", raw
        assert entries.record(TARGETS, raw, era=1) is None, raw
        assert entries.change(TARGETS, raw, era=1) is None, raw
        event = {"object": raw}
        assert entries.change(TARGETS, event, era=1) is None, raw


def test_a_position_out_of_range_is_not_taken() -> None:
    """Guards against a revision or an era that no later one can exceed."""
    for text in ("9" * 30, "true", "1.5", '"7"', "-1", "null", "9" * 5_000):
        body = untrusted_json.decode(
            b'{"items": [], "at": ' + text.encode() + b"}",
            isolated_levels=entries.ISOLATED_LEVELS,
        )
        assert stored.Answer(body, era=1).revision is None, text
        entry = f'{{"metadata": {{"name": "i", "revision": {text}}}}}'
        raw = untrusted_json.decode(entry.encode(), isolated_levels=2)
        if text != "null":
            assert entries.record(TARGETS, raw, era=1) is None, text
    for value in (b"9" * 30, b"9" * 5_000, b"-1", b"x"):
        head = http_client.Head(200, ((b"store-era", value),))
        assert store_lib._era(head) == 0, value
