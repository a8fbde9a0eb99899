"""How many adapters one engine fetches at once, learned from how long it takes.

All engines share one weight store. Beyond what it serves at full speed, more
fetches at once bring nothing sooner: each takes longer in proportion, and the
adapter that most callers wait for arrives no earlier than the last one. No
process knows how many the others fetch, so each compares its own fetches with
the shortest it has seen, as delay-based congestion control does.
"""

# An engine takes at most so many at once.
MAX_AT_ONCE = 4
MIN_AT_ONCE = 1.0
# Time of a fetch before one was seen, as configured engines publish it.
FIRST_FETCH_MS = 250.0
# Fetches this much longer than the shortest mean that the store is shared by
# more than it serves at full speed; the end of a fetch is noticed up to one
# look late, which alone makes a tenth.
SLOWED = 1.5
UNSLOWED = 1.25
# Change of the limit with each fetch: a whole one down, so that a rush after
# a restart of all is answered within one round of fetches, a half one up.
DOWN = 1.0
UP = 0.5
# The shortest fetch is forgotten by one part in a hundred with each one, in
# case the store has become slower for good.
SHORTEST_GROWTH = 1.01
# What is this much shorter than a fetch came from the engine's own memory.
MEMORY_PART = 0.4
# Weight of the newest fetch in the estimate of the next.
FETCH_WEIGHT = 0.3


class LoadLimit:
    """The limit of one engine."""

    def __init__(self) -> None:
        """Starts with half of what the engine takes."""
        self.fetch_ms = FIRST_FETCH_MS
        self.shortest_ms = FIRST_FETCH_MS
        self._limit = MAX_AT_ONCE / 2

    @property
    def at_once(self) -> int:
        """How many may be on their way now."""
        return int(self._limit)

    def fetched(self, took_ms: float) -> None:
        """Takes how long a fetch took that was expected from the store."""
        if took_ms < MEMORY_PART * self.shortest_ms:
            return
        self.fetch_ms += FETCH_WEIGHT * (took_ms - self.fetch_ms)
        self.shortest_ms = min(took_ms, SHORTEST_GROWTH * self.shortest_ms)
        if took_ms > SLOWED * self.shortest_ms:
            self._limit = max(MIN_AT_ONCE, self._limit - DOWN)
        elif took_ms < UNSLOWED * self.shortest_ms:
            self._limit = min(MAX_AT_ONCE, self._limit + UP)
