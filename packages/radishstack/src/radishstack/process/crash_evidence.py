"""Which requests end the targets that run them.

A target that ends takes all that it runs with it: up to a full batch of
requests, of which one at most is to blame. What tells that one is that it was
there each time, and that no equal request has ended well since. Gateways join
what they saw, so one that comes back at another gateway is known there too.

The load pattern: a request that comes again every second or so, at any
gateway, alone or twice at once, and ends each target some hundred
milliseconds after it was sent.
"""

from collections.abc import Iterator
import dataclasses

from radishstack.process import crash as crash_lib
from radishstack.process import incarnation

# A request is held to end targets once so many ended under it, at moments
# apart, and at least so many of the sends came after the one before had ended
# its target. One cut of power ends many targets, but at one moment.
MIN_MOMENTS = 3
MIN_IN_TURN = 2
# Crashes within this time count as one, if the request was sent before the
# first: a cut of power, or a rack that fails.
SAME_MOMENT_MS = 250
# Where another request was at the last crash and at as many before, either
# may be the one: one crash more parts them, or both are held to end targets.
IN_COMPANY = 1
# Word of a crash comes some milliseconds after it, so a request that is sent
# again at once seems to have been sent before.
WORD_MS = 25
# For how long it is refused: an innocent one is back after minutes, and one
# that goes on ending targets ends three more in its first day.
HOLD_MS = 5 * 60_000
HOLD_GROWTH = 6
# How long after its last crash a request is under suspicion; one crash alone
# says little, and a site has some each hour.
SINGLE_KEPT_MS = 3_600_000
SEVERAL_KEPT_MS = 24 * 3_600_000
MAX_CASES = 2_048
MAX_SIGHTINGS = 8
# Before all times: clocks count from a VM's start, and a crash that is told of
# may lie before it.
NEVER_MS = -(2**62)


@dataclasses.dataclass(frozen=True, slots=True)
class Sighting:
    """One crash with one request running.

    Attributes:
        start: The start of a target that ended.
        began_at_ms: When the request was sent there.
        ended_at_ms: When the target ended.
    """

    start: incarnation.Start
    began_at_ms: int
    ended_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What is known against one request.

    Attributes:
        fingerprint: The request's.
        sightings: Crashes with it running.
        cleared_at_ms: When an equal request ended well last, if one has since
            it is under suspicion. Crashes until then are not counted.
    """

    fingerprint: str
    sightings: tuple[Sighting, ...] = ()
    cleared_at_ms: int = NEVER_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """A request that is held to end targets.

    Attributes:
        moments: Moments at which targets ended under it.
        last_at_ms: The last of them.
        left_ms: For how long it is refused.
    """

    moments: int
    last_at_ms: int
    left_ms: int


class CrashEvidence:
    """What one gateway knows of requests that were running at crashes."""

    def __init__(self) -> None:
        """Starts with none."""
        self._cases: dict[str, Case] = {}
        self._at: dict[incarnation.Start, set[str]] = {}

    def __len__(self) -> int:
        """How many requests are under suspicion."""
        return len(self._cases)

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a request was running at a crash that is remembered."""
        return fingerprint in self._cases

    def case(self, fingerprint: str) -> Case:
        """Returns what is known against a request."""
        return self._cases.get(fingerprint, Case(fingerprint))

    def crashed(self, crash: crash_lib.Crash) -> list[Case]:
        """Takes a crash that was seen here; returns what to tell others."""
        cases = [
            Case(
                one.fingerprint,
                (Sighting(crash.start, one.began_at_ms, crash.at_ms),),
            )
            for one in crash.suspects
        ]
        for case in cases:
            self.take(case)
        return cases

    def ended_well(self, fingerprint: str, now_ms: int) -> Case | None:
        """Takes that a request ran and its target went on.

        Returns:
            What to tell others, None if it was under no suspicion.
        """
        known = self._cases.get(fingerprint)
        if known is None or not known.sightings:
            return None
        case = Case(fingerprint, (), now_ms)
        self.take(case)
        return case

    def take(self, case: Case) -> bool:
        """Joins what is told of a request; returns whether it was news."""
        known = self._cases.get(case.fingerprint)
        if known is None:
            if not case.sightings:
                return False
            self._make_room()
            known = Case(case.fingerprint)
        joined = _join(known, case)
        if joined == known:
            return False
        self._forget_one(case.fingerprint)
        self._cases[case.fingerprint] = joined
        for sighting in joined.sightings:
            at = self._at.setdefault(sighting.start, set())
            at.add(case.fingerprint)
        return True

    def unheard_by(self, told: Case) -> Case | None:
        """Returns what who told a case has not heard, if anything.

        What cleared a request leaves nothing to pass on, and who refuses it
        never sees it end well: a lost word would be lost for good.
        """
        known = self._cases.get(told.fingerprint)
        if known is None or not told.sightings:
            return None
        cleared_at_ms = known.cleared_at_ms
        if told.cleared_at_ms >= cleared_at_ms:
            return None
        # A later crash that it tells of says nothing of what it has heard.
        if told.sightings[0].ended_at_ms > cleared_at_ms:
            return None
        return Case(told.fingerprint, (), cleared_at_ms)

    def _make_room(self) -> None:
        if len(self._cases) < MAX_CASES:
            return
        by_weight = sorted(self._cases.values(), key=_weight)
        for case in by_weight[: MAX_CASES // 4]:
            self._forget_one(case.fingerprint)

    def _forget_one(self, fingerprint: str) -> None:
        case = self._cases.pop(fingerprint, None)
        if case is None:
            return
        for sighting in case.sightings:
            at = self._at[sighting.start]
            at.discard(fingerprint)
            if not at:
                del self._at[sighting.start]

    def verdict(self, fingerprint: str, now_ms: int) -> Verdict | None:
        """Says whether a request is to be refused, None if it is not."""
        case = self._cases.get(fingerprint)
        if case is None or not case.sightings:
            return None
        moments = _moments(case)
        more = IN_COMPANY if self._is_in_company(case, moments) else 0
        if moments < MIN_MOMENTS + more or _in_turn(case) < MIN_IN_TURN + more:
            return None
        last_at_ms = case.sightings[-1].ended_at_ms
        hold_ms = HOLD_MS * HOLD_GROWTH ** (moments - MIN_MOMENTS - more)
        left_ms = last_at_ms + hold_ms - now_ms
        return Verdict(moments, last_at_ms, left_ms) if left_ms > 0 else None

    def _is_in_company(self, case: Case, moments: int) -> bool:
        """Whether another request was there as often as this one."""
        others = self._at.get(case.sightings[-1].start, set())
        return any(
            _moments(self._cases[other]) >= moments
            for other in others - {case.fingerprint}
        )

    def several(self) -> Iterator[Case]:
        """Yields the requests that were running at more than one crash."""
        for case in self._cases.values():
            if len(case.sightings) > 1:
                yield case

    def refused(self, now_ms: int) -> dict[str, Verdict]:
        """Returns the requests that are refused, by fingerprint."""
        verdicts = {
            case.fingerprint: self.verdict(case.fingerprint, now_ms)
            for case in self.several()
        }
        return {name: one for name, one in verdicts.items() if one is not None}

    def forget(self, now_ms: int) -> None:
        """Drops what is too old to count."""
        for case in list(self._cases.values()):
            if is_over(case, now_ms):
                self._forget_one(case.fingerprint)


def is_over(case: Case, now_ms: int) -> bool:
    """Whether a case is too old to count."""
    kept_ms = SEVERAL_KEPT_MS if len(case.sightings) > 1 else SINGLE_KEPT_MS
    return now_ms - _last_ms(case) > kept_ms


def _last_ms(case: Case) -> int:
    last_ms = case.sightings[-1].ended_at_ms if case.sightings else NEVER_MS
    return max(last_ms, case.cleared_at_ms)


def _weight(case: Case) -> tuple[int, int]:
    """Returns what a case is worth keeping for: crashes, then the last one."""
    return len(case.sightings), _last_ms(case)


def _join(one: Case, other: Case) -> Case:
    by_start = {sighting.start: sighting for sighting in one.sightings}
    for sighting in other.sightings:
        known = by_start.get(sighting.start, sighting)
        # Word of it comes late, so the earliest is nearest to the truth.
        by_start[sighting.start] = min(
            known, sighting, key=lambda seen: seen.ended_at_ms
        )
    cleared_at_ms = max(one.cleared_at_ms, other.cleared_at_ms)
    counted = sorted(
        (
            sighting
            for sighting in by_start.values()
            if sighting.ended_at_ms > cleared_at_ms
        ),
        key=lambda seen: (seen.ended_at_ms, seen.start.name),
    )
    return Case(one.fingerprint, tuple(counted[-MAX_SIGHTINGS:]), cleared_at_ms)


def _moments(case: Case) -> int:
    """Counts the crashes of a case, those of one moment once.

    A request that was sent after a crash cannot be a victim of the same cut.
    """
    count = 0
    at_ms = NEVER_MS
    for sighting in case.sightings:
        later = sighting.ended_at_ms > at_ms + SAME_MOMENT_MS
        if later or sighting.began_at_ms >= at_ms - WORD_MS:
            count += 1
            at_ms = sighting.ended_at_ms
    return count


def _in_turn(case: Case) -> int:
    """Counts sends that each began after the one before had crashed."""
    count = 0
    free_at_ms = NEVER_MS
    for sighting in case.sightings:
        if sighting.began_at_ms >= free_at_ms:
            count += 1
            free_at_ms = sighting.ended_at_ms - WORD_MS
    return count
