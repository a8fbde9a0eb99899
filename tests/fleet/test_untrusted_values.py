"""Values of peers, engines and callers that cannot be decoded or used."""

import json

from radishd.connection import http_client
from radishd.platform import front
from radishd.platform import wire
from radishd.process import crash_record
from radishd.process import peer_objects
from radishd.process import untrusted_json
from radishd.request import intake
from radishd.request import received_request
from radishstack import result
from radishstack.connection import fleet_wire
from radishstack.process import adapter_keeper
from radishstack.request import event_stream

DEEP = "[" * 20_000 + "]" * 20_000
MANY_DIGITS = b"9" * 5_000
SOUND = [{"service": "counter"}, 3, 4]


def _told(objects: str, fresh: str = "true") -> peer_objects.PeerObjects:
    text = (
        f'{{"objects": {objects}, "eras": {{"servers": 1}}, '
        f'"revisions": {{"servers": 9}}, "fresh": {fresh}}}'
    )
    body = untrusted_json.decode(
        text.encode(), isolated_levels=peer_objects.ISOLATED_LEVELS
    )
    return peer_objects.decode(body)


def test_an_object_of_a_peer_hides_no_others() -> None:
    """Guards against a peer whose objects are lost with one of them."""
    sound = json.dumps(SOUND)
    for value in (
        DEEP,
        f"[{DEEP}, 3, 4]",
        f"[{{}}, {'9' * 30}, 4]",
        '[{}, 3, "4"]',
        "[{}, 3]",
        "null",
        "7",
        '[{"slots": 1e999}, 3, 4]',
        f'[{{"slots": {"9" * 30}}}, 3, 4]',
    ):
        told = _told(f'{{"servers": {{"i-other": {value}, "i-1": {sound}}}}}')
        names = [record.name for record in told.records["servers"]]
        assert names == ["i-1"], value[:30]
        assert not told.is_fresh
    assert _told(f'{{"servers": {{"i-1": {sound}}}}}').is_fresh


def test_an_answer_of_a_peer_that_is_none_tells_nothing() -> None:
    """Guards against a peer's answer that ends the task that reads it."""
    for body in (None, [], "x", 7, {"objects": [1]}, {"objects": {"x": 7}}):
        told = peer_objects.decode(body)
        assert not any(told.records.values()), body
    assert not any(_told(DEEP).records.values())


def test_a_report_of_an_engine_with_impossible_values_is_refused() -> None:
    """Guards against a report that ends the task of a sidecar."""
    good = {"sequence": 3, "running": 70_000, "waiting": 1, "models": []}
    report = wire.report(json.dumps(good).encode())
    assert isinstance(report, adapter_keeper.Report), report
    for field in ("sequence", "running", "waiting"):
        for value in ("9" * 30, "9" * 5_000, "1e999", "-1", '"x"', DEEP):
            text = json.dumps(good | {field: "?"}).replace('"?"', value)
            refused = wire.report(text.encode())
            assert isinstance(refused, result.Failure), (field, value[:9])
    for name in ('"\\ud800"', f'"{"a" * 1_000}"', "7", f'"a1@{"9" * 20}"'):
        text = f'{{"sequence": 3, "incoming": [{name}]}}'
        assert isinstance(wire.report(text.encode()), result.Failure), name


def test_a_version_beyond_a_datagram_is_not_announced() -> None:
    """Guards against one version that stops all demand of all gateways."""
    good = {"model": "base7", "adapter": "a1", "version": 2}
    for version in (2**32 - 1, 2**32, 20261204100000, 2**53, 2**63 - 1):
        announced = wire.announced(good | {"version": version})
        assert isinstance(announced, adapter_keeper.LoadRequest), version
        demand = adapter_keeper.Demand(
            "g", "i", 1, (), (), (announced,), {"base7/a1": version}
        )
        datagram = fleet_wire.DemandDatagram(demand, "h:1")
        assert fleet_wire.decode(fleet_wire.encode(datagram)) == datagram
        residents = {"base7": version, "base7/a1": 1, "base7/a2": version}
        status = fleet_wire.StatusUpdate(
            "i",
            1,
            0,
            residents,
            frozenset(),
            (),
            adapter_keeper.LoadWait(0, 0, 0, 0),
        )
        assert fleet_wire.decode(fleet_wire.encode(status)) == status
    for invalid in ({"version": 2**63}, {"adapter": "a" * 1_000}):
        refused = wire.announced(good | invalid)
        assert isinstance(refused, result.Failure), invalid


def test_a_crash_record_of_any_time_can_be_reported() -> None:
    """Guards against a stored time that stops the reports of crashes."""
    for unix_ms in (2**62 - 1, -(2**62), 0):
        spec = {
            "fingerprint": "0" * 32,
            "observations": [
                {
                    "target": "i-1",
                    "born_ms": 2**63 - 1,
                    "began_unix_ms": unix_ms,
                    "ended_unix_ms": unix_ms,
                }
            ],
        }
        record = crash_record.decode(spec, 5_000, 1_800_000_000_000)
        assert not isinstance(record, result.Failure), unix_ms
        reported = fleet_wire.to_reported_record(record, 5_000)
        assert fleet_wire.encode(fleet_wire.CrashReport((reported,)))
        spec["observations"][0]["ended_unix_ms"] = 2**62
        refused = crash_record.decode(spec, 5_000, 1_800_000_000_000)
        assert isinstance(refused, result.Failure)


def test_headers_of_thousands_of_digits_are_no_numbers() -> None:
    """Guards against a header whose conversion fails the request."""
    scope = {
        "headers": [
            (b"x-attempt-id", b"a"),
            (b"x-deadline-ms", MANY_DIGITS),
            (b"x-token-count", MANY_DIGITS + b",1"),
        ],
        "method": "GET",
        "radishstack.target": b"/",
        "path": "/",
    }
    request = front.decode(scope)
    assert isinstance(request, received_request.ReceivedRequest)
    assert request.left_ms == 0
    assert request.token_count is None
    keep_alive = (b"keep-alive", b"timeout=" + MANY_DIGITS)
    assert http_client.keep_alive_s(http_client.Head(200, (keep_alive,))) > 0
    retry_after = (b"retry-after", b"1" + b"0" * 307)
    signals = front.target_signals(http_client.Head(503, (retry_after,)), "i")
    assert signals.backoff_ms > 0


def test_event_ids_of_any_length_are_ordered() -> None:
    """Guards against an event id whose conversion ends the stream."""
    events = event_stream.EventStream()
    for number, is_new in (
        (b"9" * 5_000, True),
        (b"8" * 5_000, False),
        (b"007", False),
        (b"1" + b"0" * 5_000, True),
    ):
        event = b"id: " + number + b"\n\n"
        assert bool(events.feed(event)) is is_new, number[:5]


def test_a_body_that_is_too_deep_to_encode_is_rejected() -> None:
    """Guards against a caller's body that is decoded but cannot be encoded."""
    for depth, is_valid in ((30, True), (900, False), (20_000, False)):
        deep = "[" * depth + "]" * depth
        body = f'{{"model": "a", "prompt": "x", "extra": {deep}}}'
        parsed = intake._parse_completion(body.encode())
        assert isinstance(parsed, dict) is is_valid, depth
