"""Poison entries: values of other writers that a reader cannot decode."""

from collections.abc import Iterator
import functools
import json
from typing import Any

import anyio
from radishd import gateway as gateway_lib
from radishd.platform import store as store_lib
from radishd.platform import wire
from radishd.process import metrics as metrics_lib
from radishd.process import stored
from radishstack.process import roster as roster_lib
from standins import platform_engine
from standins import platform_site
from standins import platform_store
from standins import web as standins_web

from tests.fleet import fixtures

TARGETS = "servers"
KINDS = (TARGETS, "versions", "config", "crashes")
DEPTH = 20_000
# An entry under each of these names is the last of its page.
NAMES = (
    "i-a&b",
    "i-a+b",
    "i-a#b",
    "i-a%41b",
    "i-a%",
    "i-a b",
    "i-a?b=c",
    "i-a=b",
    "i-a/b",
    'i-a"b',
    "i-\u00e9",
)
TOO_LARGE = ("9" * 30, "9" * 5_000, "1e999", "-" + "9" * 30)
WRONG_TYPES = ("true", '"6"', "6.5", "[6]", "{}", "NaN", "-Infinity")
NUMBERS = ("slots", "sequence", "coldRemainingMs", "remainingMs", "born")
SPEC = platform_engine.PlatformEngine("i-sound0", model="").listing(
    platform_site.PLAIN, "10.0.0.1:8080", "north"
)
SOUND = {"i-sound0", "i-sound1", "i-sound2"}
Forms = Iterator[tuple[str, str, Any]]


def _raw(text: str) -> platform_store.RawJson:
    return platform_store.RawJson(text)


def _with(spec: dict[str, Any], field: str, value: str) -> Any:
    """Returns a target's entry with one field of any JSON text."""
    members = {name: json.dumps(one) for name, one in spec.items()}
    members[field] = value
    text = ", ".join(f'"{name}": {one}' for name, one in members.items())
    return _raw("{" + text + "}")


def _nested(spec: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    arrays = "[" * DEPTH + "]" * DEPTH
    objects = '{"a":' * DEPTH + "1" + "}" * DEPTH
    mixed = '[{"]":' * DEPTH + '"}"' + "}]" * DEPTH
    yield "arrays", _raw(arrays)
    yield "objects", _raw(objects)
    yield "mixed", _raw(mixed)
    yield "in an unknown field", _with(spec, "x", arrays)
    yield "in a known field", _with(spec, "models", arrays)
    for depth in (100, 300, 900, 990):
        few = "[" * depth + "]" * depth
        yield f"{depth} levels", _with(spec, "x", few)


def _numbers(spec: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    for field in NUMBERS:
        for value in (*TOO_LARGE, *WRONG_TYPES):
            # A time may have a fraction.
            if not (field.endswith("Ms") and value == "6.5"):
                yield f"{field} {value[:9]}", _with(spec, field, value)
    for value in (*TOO_LARGE, *WRONG_TYPES):
        model = f'[{{"name": "base7", "version": {value}, "adapters": []}}]'
        yield f"model {value[:9]}", _with(spec, "models", model)
    for version in ("9" * 30, "9" * 5_000, "x", "-1"):
        model = f'[{{"name": "base7", "adapters": ["a1@{version}"]}}]'
        yield f"adapter {version[:9]}", _with(spec, "models", model)


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


async def _play_forms(forms: Forms, *, page_size: int = 50) -> None:
    """Reads each form beside sound entries, in a list and in a watch."""
    host = fixtures.Fleet(None).store_host
    store = platform_store.PlatformStore()
    store.page_size = page_size
    failed = []
    async with anyio.create_task_group() as tasks:
        app = standins_web.make_app(store.handle)
        await tasks.start(
            functools.partial(
                standins_web.serve, app, host, fixtures.STORE_PORT
            )
        )
        client = store_lib.Store(
            f"{host}:{fixtures.STORE_PORT}", metrics_lib.Metrics()
        )
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
        tasks.cancel_scope.cancel()
    assert not failed, "\n" + "\n".join(failed)


async def _read(read: Any) -> set[str] | str:
    try:
        return _usable(await read)
    except Exception as error:
        return repr(error)


def test_a_deeply_nested_entry_hides_no_others() -> None:
    """Guards against a parser that stops at the depth of one value."""
    forms = ((form, "i-other", value) for form, value in _nested(SPEC))
    fixtures.run(lambda: _play_forms(forms))


def test_a_name_that_needs_percent_encoding_does_not_end_a_list() -> None:
    """Guards against a page mark that changes its meaning in the query."""
    forms = (
        (f"{name!r} {what}", name, value)
        for name in NAMES
        for what, value in (("sound", SPEC), ("unusable", _raw("[]")))
    )
    fixtures.run(lambda: _play_forms(forms, page_size=1))


def test_a_number_out_of_range_makes_only_its_entry_invalid() -> None:
    """Guards against a conversion whose overflow stops the reader."""
    forms = ((form, "i-other", value) for form, value in _numbers(SPEC))
    fixtures.run(lambda: _play_forms(forms))


def _poison_entries(spec: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    """Yields one entry of each form, all of them beside the sound ones."""
    for number, (_, value) in enumerate((*_nested(spec), *_numbers(spec))):
        yield f"i-other{number}", value
    for name in NAMES:
        yield name, spec
        yield f"{name}0", _raw("[]")


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
                for name, value in _poison_entries(spec):
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
