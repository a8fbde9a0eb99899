"""What an engine answers: a function of adapter, version and prompt.

A caller can compute the right answer, so one from a wrong adapter shows.
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
        count: How many words.

    Yields:
        The words.
    """
    seed = hashlib.sha256(f"{model}\n{prompt}".encode()).digest()
    for index in range(count):
        byte = seed[index % len(seed)] ^ (index // len(seed) * 7 & 0xFF)
        yield WORDS[byte % len(WORDS)]


def get_prompt(body: dict[str, Any]) -> str:
    """Returns the prompt of a request in either OpenAI shape."""
    if "messages" in body:
        return json.dumps(body["messages"], sort_keys=True)
    return str(body.get("prompt", ""))


def expected_text(model: str, body: dict[str, Any]) -> str:
    """Returns the whole answer to a request."""
    count = int(body.get("max_tokens", 16))
    return "".join(
        f"{w} " for w in generate_words(model, get_prompt(body), count)
    )
