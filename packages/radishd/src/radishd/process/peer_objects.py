"""Stored objects as gateways tell each other, during a store outage.

A peer may run another version of this software, so that each object of its
answer is decoded by itself.
"""

from collections.abc import Mapping
import dataclasses
from typing import Any

from radishstack.process import store_position

from radishd.platform import wire
from radishd.process import stored
from radishd.process import untrusted_json

# Levels of an answer whose values are decoded one by one: the answer, the
# kinds, their objects, and the members of an object.
ISOLATED_LEVELS = 5
_NO_FIELDS: Mapping[str, Any] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class PeerObjects:
    """What a gateway knows.

    Attributes:
        records: Objects by kind.
        positions: Store position of each kind.
        is_fresh: Whether the list of targets is complete.
        invalid_count: Number of objects that could not be decoded.
    """

    records: Mapping[str, list[stored.Record]]
    positions: Mapping[str, store_position.StorePosition]
    is_fresh: bool
    invalid_count: int = 0


def encode(
    known: Mapping[str, Mapping[str, stored.Record]],
    positions: Mapping[str, store_position.StorePosition],
    *,
    is_fresh: bool,
) -> dict[str, Any]:
    """Encodes what this gateway knows as a JSON object.

    Args:
        known: Objects by kind and name.
        positions: Store position of each kind.
        is_fresh: Whether the list of targets is complete.
    """
    # The message has one era per kind: the receiver would read a revision of a
    # former era as one of the current era.
    objects = {
        kind: {
            name: (record.spec, record.created, record.revision)
            for name, record in records.items()
            if record.era == positions[kind].era
            and not isinstance(record.spec, untrusted_json.Unreadable)
        }
        for kind, records in known.items()
    }
    return {
        "objects": objects,
        "revisions": {kind: one.revision for kind, one in positions.items()},
        "eras": {kind: one.era for kind, one in positions.items()},
        "fresh": is_fresh,
    }


def decode(body: Any) -> PeerObjects:
    """Decodes what another gateway knows.

    Args:
        body: The value that ``encode`` returned there.

    Returns:
        What could be decoded, possibly nothing.
    """
    fields = _fields(body)
    objects = _fields(fields.get("objects"))
    eras = _fields(fields.get("eras"))
    revisions = _fields(fields.get("revisions"))
    positions = {
        kind: store_position.StorePosition(
            _number(eras.get(kind)), _number(revisions.get(kind))
        )
        for kind in objects
    }
    records: dict[str, list[stored.Record]] = {}
    invalid_count = 0
    for kind, named in objects.items():
        decoded = [
            _record(name, raw, positions[kind].era)
            for name, raw in _fields(named).items()
        ]
        records[kind] = [one for one in decoded if one is not None]
        invalid_count += len(decoded) - len(records[kind])
    return PeerObjects(
        records,
        positions,
        # A list with an unreadable part would remove targets.
        fields.get("fresh") is True and not invalid_count,
        invalid_count,
    )


def _record(name: str, raw: Any, era: int) -> stored.Record | None:
    match raw:
        case [spec, created, revision]:
            is_valid = None not in map(stored.revision_of, (created, revision))
            if is_valid and not untrusted_json.find_problem(spec):
                spec = wire.without_secrets(spec, from_peer=True)
                return stored.Record(name, spec, created, revision, era=era)
    return None


def _fields(value: Any) -> Mapping[str, Any]:
    return value if isinstance(value, dict) else _NO_FIELDS


def _number(value: Any) -> int:
    return stored.revision_of(value) or 0
