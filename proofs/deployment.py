"""The deployment that the simulated world starts with."""

from radishstack.version import document as document_lib

RETRY_WINDOW_MS = 20_000
TIMEOUT_MS = 8_000
ENGINES = ("engine-1", "engine-2")
PLAIN_TARGETS = ("desk-1", "desk-2", "desk-3")
ADAPTERS = tuple(f"a{index}" for index in range(5))


def initial_document() -> document_lib.Document:
    """Returns the initial configuration document."""
    raw = {
        "customers": [{"name": "c1"}, {"name": "c2", "max_in_flight": 3}],
        "targets": [
            *(
                {
                    "name": name,
                    "kind": "engine",
                    "address": "127.0.0.1:1",
                    "failure_domain": "r/a",
                    "base_model": "m",
                }
                for name in ENGINES
            ),
            *(
                {
                    "name": name,
                    "kind": "plain",
                    "address": "127.0.0.1:1",
                    "failure_domain": "r/a",
                }
                for name in PLAIN_TARGETS
            ),
        ],
        "services": [
            {
                "name": "assist",
                "customer": "c1",
                "targets": list(ENGINES),
                "timeout_ms": TIMEOUT_MS,
            },
            {
                "name": "pact",
                "customer": "c2",
                "targets": list(ENGINES),
                "idempotent": False,
                "timeout_ms": TIMEOUT_MS,
                "retry_window_ms": RETRY_WINDOW_MS,
            },
            {
                "name": "book",
                "customer": "c2",
                "kind": "plain",
                "targets": list(PLAIN_TARGETS[:2]),
                "idempotent": False,
                "timeout_ms": TIMEOUT_MS,
                "retry_window_ms": RETRY_WINDOW_MS,
            },
        ],
        "adapters": [
            {
                "name": name,
                "service": "pact" if name == "a0" else "assist",
                "base_model": "m",
                "versions": [{"version": 1, "source": "s"}],
                "current": 1,
            }
            for name in ADAPTERS
        ],
    }
    document = document_lib.parse(raw)
    if isinstance(document, tuple):
        raise ValueError(document)
    return document
