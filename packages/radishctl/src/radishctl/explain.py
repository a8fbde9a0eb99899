"""Collects the decisions on one request from several decision logs."""

from collections.abc import Iterable
import dataclasses
import json
from typing import Any

# Covers clock differences between VMs, and a load that was ordered for another
# request shortly before this request began to wait for it.
MARGIN_MS = 3_000
# Fields that are rendered as columns before the other fields.
_HEADING_FIELDS = ("at_ms", "event", "vm")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a decision log.

    Attributes:
        at_ms: Wall-clock time of the VM.
        vm: The VM that logged the line.
        event: The log event.
        fields: Inputs and outcome of the decision.
    """

    at_ms: int
    vm: str
    event: str
    fields: dict[str, Any]


def read_lines(texts: Iterable[str]) -> list[Line]:
    """Parses decision lines and skips all others.

    Args:
        texts: Log lines; a log collector may have added a prefix before the
            JSON.

    Returns:
        The decisions.
    """
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            raw = json.loads(text[start:])
        except ValueError:
            continue
        if not isinstance(raw, dict) or "event" not in raw:
            continue
        fields = {k: v for k, v in raw.items() if k not in _HEADING_FIELDS}
        at_ms = int(raw.get("at_ms", 0))
        lines.append(Line(at_ms, raw.get("vm", ""), raw["event"], fields))
    return lines


def request_lines(lines: list[Line], request_id: str) -> list[Line]:
    """Returns the lines related to one request, ordered by time.

    Args:
        lines: Decisions of all processes.
        request_id: The request.

    Returns:
        The lines of the request itself and of the other attempts at the same
        stream, those on crashes of targets that were running a feature of it,
        and those on its adapter and its targets from shortly before it began
        until shortly after it ended.
    """
    own = [one for one in lines if one.fields.get("request") == request_id]
    if not own:
        return []
    attempts = _stream_lines(lines, own, request_id)
    crashes = _crash_lines(lines, own)
    ends_ms = max(one.at_ms for one in own)
    took_ms = max(int(one.fields.get("took_ms", 0)) for one in own)
    adapters = {one.fields["adapter"] for one in own if "adapter" in one.fields}
    targets = {
        str(send).partition(":")[0]
        for one in own
        for send in one.fields.get("sends", ())
    }
    picked = [
        one
        for one in lines
        if ends_ms - took_ms - MARGIN_MS <= one.at_ms <= ends_ms + MARGIN_MS
        and one.event != "request"
        and one not in crashes
        and _is_related(one, adapters, targets)
    ]
    related = own + attempts + crashes + picked
    return sorted(related, key=lambda one: one.at_ms)


def _stream_lines(
    lines: list[Line], own: list[Line], request_id: str
) -> list[Line]:
    """Returns the lines of the other attempts at a request's stream."""
    began_as = {one.fields.get("resumes") for one in own} - {None}
    began_as = began_as or {request_id}
    return [
        one
        for one in lines
        if one.fields.get("request") != request_id
        and one.event == "request"
        and (
            one.fields.get("request") in began_as
            or one.fields.get("resumes") in began_as
        )
    ]


def _crash_lines(lines: list[Line], own: list[Line]) -> list[Line]:
    """Returns the lines on crashes under features of a request."""
    features = set().union(*map(_features, own))
    return [
        one
        for one in lines
        if one.event != "request" and features & _features(one)
    ]


def _features(line: Line) -> set[str]:
    """Returns the fingerprints in a line, of requests and prompt blocks."""
    return {
        line.fields.get("fingerprint", ""),
        *line.fields.get("fingerprints", ()),
        *line.fields.get("prompt_blocks", ()),
    } - {""}


def _is_related(line: Line, adapters: set[str], targets: set[str]) -> bool:
    fields = line.fields
    if "adapter" in fields:
        return fields["adapter"] in adapters
    named = {fields.get("target"), fields.get("instance"), fields.get("before")}
    if named & targets:
        return True
    return line.event in (
        "process_paused",
        "store_lost",
        "store_back",
        "draining",
    )


def render(lines: list[Line], request_id: str) -> list[str]:
    """Renders lines with times relative to the request's own line."""
    own = next(one for one in lines if one.fields.get("request") == request_id)
    rendered = []
    for line in lines:
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items())
        after_ms = line.at_ms - own.at_ms
        rendered.append(f"{after_ms:+7d} ms  {line.vm}  {line.event}  {fields}")
    return rendered
