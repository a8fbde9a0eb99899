"""``radishctl explain``: decisions on one request from several logs."""

import json

from click import testing
from radishctl import cli


def _line(at_ms: int, vm: str, event: str, **fields: object) -> str:
    raw = {"at_ms": at_ms, "event": event, "vm": vm, **fields}
    return f"collector {vm}: {json.dumps(raw)}"


def test_explain_shows_only_related_decisions() -> None:
    """Shows load request, order and outcome of both processes in order."""
    lines = [
        _line(9_000, "side-1", "order", adapter="m/a1", verdict="accepted"),
        _line(8_500, "edge-1", "load_wanted", adapter="m/a1", target="i1"),
        _line(8_600, "edge-1", "load_wanted", adapter="m/a2", target="i1"),
        "Traceback (most recent call last):",
        _line(
            10_000,
            "edge-1",
            "request",
            request="r1",
            adapter="m/a1",
            code=2020,
            took_ms=1_500,
            sends=[],
        ),
        _line(10_001, "edge-1", "request", request="r2", took_ms=3, code=0),
    ]
    run = testing.CliRunner().invoke(
        cli.main, ["explain", "r1"], input="\n".join(lines)
    )
    assert run.exit_code == 0, run.output
    output_lines = run.output.splitlines()
    assert [line.split()[3] for line in output_lines] == [
        "load_wanted",
        "order",
        "request",
    ]
    assert "r2" not in run.output and "m/a2" not in run.output


def test_an_unknown_request_id_is_an_error() -> None:
    """The exit code is not 0, so that scripts detect the failure."""
    run = testing.CliRunner().invoke(cli.main, ["explain", "r9"], input="")
    assert run.exit_code != 0


def test_explain_shows_all_attempts_at_a_stream() -> None:
    """An on-call engineer sees which software version began a stream.

    A caller resumes a stream at another gateway, whose request has another id.
    """
    lines = [
        _line(
            1_000,
            "edge-1",
            "request",
            request="r1",
            stream_targets=["i1@v1"],
        ),
        _line(
            1_500,
            "edge-2",
            "request",
            request="r2",
            resumes="r1",
            stream_targets=["i2@v2"],
        ),
        _line(1_600, "edge-2", "request", request="r3", resumes="r0"),
    ]
    for request_id in ("r1", "r2"):
        run = testing.CliRunner().invoke(
            cli.main, ["explain", request_id], input="\n".join(lines)
        )
        assert "i1@v1" in run.output and "i2@v2" in run.output, run.output
        assert "r3" not in run.output


def test_explain_shows_the_crashes_behind_a_rejection() -> None:
    """An on-call engineer sees which prompt block stood at which crashes."""
    lines = [
        _line(
            1_000,
            "edge-2",
            "target_broke_off",
            target="i9",
            fingerprints=["f0"],
            prompt_blocks={"b0": 7, "b1": 1},
        ),
        _line(
            2_000,
            "edge-2",
            "target_broke_off",
            target="i8",
            fingerprints=["f1"],
            prompt_blocks={"b7": 2},
        ),
        _line(90_000, "edge-1", "request_quarantined", fingerprint="b1"),
        _line(
            99_000,
            "edge-1",
            "request",
            request="r1",
            code=2024,
            sends=[],
            took_ms=2,
            fingerprint="f5",
            prompt_blocks=["b0", "b1"],
        ),
    ]
    run = testing.CliRunner().invoke(
        cli.main, ["explain", "r1"], input="\n".join(lines)
    )
    assert run.exit_code == 0, run.output
    events = [line.split()[3] for line in run.output.splitlines()]
    assert events == ["target_broke_off", "request_quarantined", "request"]
    assert "i9" in run.output and "i8" not in run.output
