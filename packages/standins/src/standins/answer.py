"""Engine answers as a function of adapter, version and prompt.

A caller can compute the expected answer and so detect a wrong adapter.
"""

from collections.abc import Iterator
import hashlib
import json
from typing import Any

WORDS = [
    "lens",
    "crane",
    "dolly",
    "filter",
    "gimbal",
    "tripod",
    "mixer",
    "boom",
    "reel",
    "slate",
    "bearing",
    "rack",
    "valve",
    "pipe",
    "sensor",
    "trace",
    "shaker",
    "bolt",
    "frame",
    "girder",
]


def generate_words(model: str, prompt: str, count: int) -> Iterator[str]:
    """Yields the words of an answer.

    Args:
        model: ``name@version``.
        prompt: The prompt, or the messages as canonical JSON.
        count: Number of words.

    Yields:
        The words.
    """
    seed = hashlib.sha256(f"{model}\n{prompt}".encode()).digest()
    for index in range(count):
        byte = seed[index % len(seed)] ^ (index // len(seed) * 7 & 0xFF)
        yield WORDS[byte % len(WORDS)]


def get_prompt(body: dict[str, Any]) -> str:
    """Returns the prompt of a completion or chat completion request."""
    if "messages" in body:
        return json.dumps(body["messages"], sort_keys=True)
    return str(body.get("prompt", ""))


def expected_text(model: str, body: dict[str, Any]) -> str:
    """Returns the complete answer that a request must receive."""
    count = int(body.get("max_tokens", 16))
    return "".join(
        f"{w} " for w in generate_words(model, get_prompt(body), count)
    )
