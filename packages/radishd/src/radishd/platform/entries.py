"""Decodes the entries of the store's answers, each by itself."""

import dataclasses
import math
from typing import Any
import urllib.parse

from radishd.platform import wire
from radishd.process import stored
from radishd.process import untrusted_json

# Levels of an answer whose values have different writers: the answer, its list,
# an event, its object, and the members of the object.
ISOLATED_LEVELS = 5
# Entries are kept in memory. Only the configuration may be as large as the
# store takes; the entry of a target with a thousand adapters has half of this.
MAX_ENTRY_SIZE = 64 * 1024


def encode_name(name: str) -> str:
    """Percent-encodes a name for a path or a query."""
    return urllib.parse.quote(name, safe="", errors="surrogatepass")


def name(raw: Any) -> str:
    """Returns the name of an object, empty if it has none."""
    metadata = raw.get("metadata") if isinstance(raw, dict) else None
    value = metadata.get("name") if isinstance(metadata, dict) else None
    return value if isinstance(value, str) else ""


def record(kind: str, raw: Any, era: int) -> stored.Record | None:
    """Decodes an object; returns None without a valid name or revision.

    Args:
        kind: Kind of the object.
        raw: The object, as decoded from JSON.
        era: Store era of the answer.
    """
    if not name(raw):
        return None
    metadata = raw["metadata"]
    created = stored.revision_of(metadata.get("created") or 0)
    revision = stored.revision_of(metadata.get("revision") or 0)
    if created is None or revision is None:
        return None
    spec = raw.get("spec")
    is_limited = (kind, name(raw)) != wire.CONFIGURATION
    max_size = MAX_ENTRY_SIZE if is_limited else math.inf
    problem = untrusted_json.find_problem(spec, max_size)
    if problem:
        spec = untrusted_json.Unreadable(problem)
    else:
        spec = wire.without_secrets(spec)
    return stored.Record(name(raw), spec, created, revision, era=era)


def change(kind: str, raw: Any, era: int) -> stored.Record | None:
    """Decodes an event of a watch, like ``record``."""
    if not isinstance(raw, dict):
        return None
    changed = record(kind, raw.get("object"), era)
    if changed is None or raw.get("deleted") is not True:
        return changed
    return dataclasses.replace(changed, deleted=True)
