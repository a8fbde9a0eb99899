"""Checks a run against the guarantees, as observed from outside.

Each check covers one guarantee, called a promise. The permitted times come
from the programs' settings or from the users' pages, never from a run.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import json

from soak import accounts
from soak import callers
from soak import history as history_lib
from soak import prompts
from soak import schedule
from soak import streams

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
REPEATABLE = frozenset({"long", "look"})
# A gateway counts as undisturbed once neither it nor the store has had a fault
# for this long. Until then the users' pages exempt it.
UNDISTURBED_MS = 3_000
DRAINING_SETTLING_MS = 2_000
# Faults of the link to a target.
LINK_FAULTS = frozenset({"link_silent", "link_reset", "link_slow"})
# Faults after which bytes that a target has written may be lost.
TARGET_ENDS = frozenset(
    {
        "target_restart",
        "software",
        "crash_at_close",
        "crash_listener_last",
        "poison",
        "poison_block",
    }
)
# An answer that took longer may have been cut by the timeout of its route.
MAX_ANSWER_MS = 2_800
# Time after a disconnect until no request of the caller may reach a target.
DISCONNECT_SETTLING_MS = 500
RECOVERY_MS = 12_000
MIN_SERVED_FRACTION = 0.9
RETRY_RATIO = 0.2
RETRY_WINDOW_MS = 10_000
MAX_MEMORY_MIB = 232.0
# Targets that a request may crash before it must be quarantined, and how often
# it may still reach a target after that.
MAX_CRASHES = 3
MAX_REPEATS = 3
# Targets that requests which share a prompt block may crash before.
MAX_BLOCK_CRASHES = 5
# Requests that may still reach a target during its backoff, after a slack in
# which its response reaches the gateway.
MAX_DURING_BACKOFF = 2
BACKOFF_SLACK_MS = 500
# Result code with which a gateway rejects a quarantined request.
QUARANTINE_CODE = "request_ends_targets"
MS_PER_S = 1_000
# Time before all new connections go to one gateway, in which the share of
# served requests is taken, the least number of requests, and the least part of
# that share once ``UNDISTURBED_MS`` have passed.
SKEW_KIND = "connections_skewed"
SKEW_BEFORE_MS = 4_000
MIN_SKEW_REQUESTS = 20
MIN_SKEW_SERVED_FRACTION = 0.75
# Once a rate limit has been advertised for the settling time, its target may
# receive the limit times the factor, plus the tolerance, in any window. A
# gateway's requests count only after the grace period that follows its first
# response with a rate limit from the target.
RATE_LIMIT_WINDOW_MS = 4_000
RATE_LIMIT_FACTOR = 1.5
RATE_LIMIT_TOLERANCE = 5
RATE_LIMIT_SETTLING_MS = 3_000
RATE_LIMIT_GRACE_MS = 500
# From this time after the restart of all gateways, and for a while, at most a
# small part of the streams that callers resume may have no known origin.
GATEWAY_LOSS_KIND = "gateways_kill"
LOSS_SETTLING_MS = 2_000
LOSS_WINDOW_MS = 6_000
MAX_UNKNOWN_FRACTION = 0.1
ORIGIN_UNKNOWN = "stream_origin_unknown"
SUCCESS = 200
NOT_FOUND = 404
UNAUTHORIZED = 401
# Time until an added or removed key takes effect.
CONFIGURATION_MS = 2_500


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One broken promise.

    Attributes:
        promise: The promise.
        about: The attempt, target or process that broke it.
        detail: What was observed.
    """

    promise: str
    about: str
    detail: str


class Evidence:
    """A history, indexed for the checks."""

    def __init__(self, history: history_lib.History) -> None:
        """Indexes the history."""
        self.history = history
        self.attempts = {one.attempt_id: one for one in history.attempts}
        self.arrivals: dict[str, list[history_lib.Arrival]] = {}
        for arrival in history.arrivals:
            known = self.arrivals.setdefault(arrival.attempt_id, [])
            known.append(arrival)

    def runs(self, attempt_id: str) -> int:
        """Returns how often an attempt began to run."""
        return sum(one.ran for one in self.arrivals.get(attempt_id, ()))

    def gateway_of(self, attempt_id: str) -> int | None:
        """Returns the number of the gateway that an attempt was sent to."""
        attempt = self.attempts.get(attempt_id)
        return attempt.gateway if attempt is not None else None

    def is_undisturbed(self, gateway: int, from_ms: int, to_ms: int) -> bool:
        """Whether a gateway was undisturbed in a period.

        A fault of the gateway, the store or the whole site disturbs it until
        ``UNDISTURBED_MS`` after the end of the fault.
        """
        victims = {f"gateway-{gateway}", "store", "all"}
        return not any(
            event.victim in victims
            and event.at_ms <= to_ms
            and event.until_ms >= from_ms - UNDISTURBED_MS
            for event in self.history.events
        )

    def may_have_ended(self, target: str, at_ms: int) -> bool:
        """Whether a target may have crashed, or was restarted, near a time."""
        victims = {history_lib.vm_of(target), schedule.CALLERS}
        return any(
            event.kind in TARGET_ENDS
            and event.victim in victims
            and event.at_ms <= at_ms + UNDISTURBED_MS
            and event.until_ms >= at_ms - UNDISTURBED_MS
            for event in self.history.events
        )

    def has_other_loss(self, loss: history_lib.Event, until_ms: int) -> bool:
        """Whether processes or the store had another fault around a loss."""
        return any(
            event is not loss
            and event.victim.partition("-")[0] in ("side", "store", "all")
            and event.at_ms <= until_ms
            and event.until_ms >= loss.at_ms - LOSS_WINDOW_MS
            for event in self.history.events
        )

    def is_link_sound(self, target: str, at_ms: int) -> bool:
        """Whether the link to a target had no fault until a time.

        A link with a fault may hold up what was sent in time. It counts as
        sound again ``UNDISTURBED_MS`` after the end of the fault.
        """
        return not any(
            event.kind in LINK_FAULTS
            and event.victim == history_lib.vm_of(target)
            and event.at_ms <= at_ms
            and event.until_ms >= at_ms - UNDISTURBED_MS
            for event in self.history.events
        )


def _at_most_once(evidence: Evidence) -> Iterator[Violation]:
    for attempt in evidence.history.attempts:
        runs = evidence.runs(attempt.attempt_id)
        if runs > 1 and attempt.route not in REPEATABLE:
            yield Violation("at most once", attempt.attempt_id, f"{runs} runs")


def _not_run_is_true(evidence: Evidence) -> Iterator[Violation]:
    for attempt in evidence.history.attempts:
        if (
            attempt.status not in NOT_RUN_STATUSES
            or attempt.route in REPEATABLE
        ):
            continue
        if evidence.runs(attempt.attempt_id):
            yield Violation(
                "not run is true",
                attempt.attempt_id,
                f"{attempt.status}, and it ran",
            )


def _is_own_body(attempt: history_lib.Attempt) -> bool:
    """Whether a body is the whole answer of a plain target to an attempt."""
    try:
        body = json.loads(attempt.body)
    except ValueError:
        return False
    return body.get("attempt") == attempt.attempt_id


def _complete_and_own(evidence: Evidence) -> Iterator[Violation]:
    for attempt in evidence.history.attempts:
        if attempt.status != SUCCESS:
            continue
        if attempt.route in callers.ENGINE_ROUTES:
            events = streams.parse(attempt)
            good = events.is_whole if attempt.whole else events.is_own_prefix
        elif attempt.whole:
            good = _is_own_body(attempt)
        else:
            good = attempt.left or not attempt.body
        if not good:
            yield Violation(
                "whole and own", attempt.attempt_id, repr(attempt.body[:200])
            )


def _whole_answers(evidence: Evidence) -> Iterator[Violation]:
    for answer in evidence.history.whole_answers:
        attempt = evidence.attempts.get(answer.attempt_id)
        if attempt is None or attempt.left or attempt.whole:
            continue
        if (
            evidence.runs(attempt.attempt_id) == 1
            and attempt.ended_at_ms - attempt.sent_at_ms < MAX_ANSWER_MS
            and evidence.is_undisturbed(
                attempt.gateway, attempt.sent_at_ms, attempt.ended_at_ms
            )
            and evidence.is_link_sound(answer.target, attempt.ended_at_ms)
            and not evidence.may_have_ended(answer.target, answer.at_ms)
        ):
            yield Violation(
                "whole answers are passed on",
                attempt.attempt_id,
                f"{answer.target}, status {attempt.status}",
            )


def _draining_by_listing(evidence: Evidence) -> Iterator[Violation]:
    leaving = evidence.history.leaving
    for arrival in evidence.history.arrivals:
        draining_since_ms = leaving.get(arrival.target)
        if draining_since_ms is None or not arrival.ran:
            continue
        late_ms = arrival.at_ms - draining_since_ms - DRAINING_SETTLING_MS
        attempt = evidence.attempts.get(arrival.attempt_id)
        if late_ms <= 0 or attempt is None:
            continue
        if evidence.is_undisturbed(
            attempt.gateway, draining_since_ms, arrival.at_ms
        ) and evidence.is_link_sound(arrival.target, arrival.at_ms):
            yield Violation(
                "a leaving target gets no work",
                arrival.attempt_id,
                f"{arrival.target} {late_ms} ms too late",
            )


def _nothing_after_disconnect(evidence: Evidence) -> Iterator[Violation]:
    for attempt in evidence.history.attempts:
        if not attempt.left:
            continue
        for arrival in evidence.arrivals.get(attempt.attempt_id, ()):
            late_ms = (
                arrival.at_ms - attempt.ended_at_ms - DISCONNECT_SETTLING_MS
            )
            if late_ms > 0 and evidence.is_undisturbed(
                attempt.gateway, attempt.sent_at_ms, arrival.at_ms
            ):
                yield Violation(
                    "nothing is sent for a caller that left",
                    attempt.attempt_id,
                    f"{late_ms} ms too late",
                )


def _adapter_orders(evidence: Evidence) -> Iterator[Violation]:
    for target in evidence.history.overfilled:
        yield Violation("no engine is overfilled", target, "crashed")
    for target, names in evidence.history.holders.items():
        if len(names) > 1:
            yield Violation("one holder of orders", target, repr(names))


def _repeats(evidence: Evidence) -> Iterator[Violation]:
    extras: dict[bool, list[int]] = collections.defaultdict(list)
    for attempt_id, arrivals in evidence.arrivals.items():
        attempt = evidence.attempts.get(attempt_id)
        if attempt is not None:
            of_engines = attempt.route in callers.ENGINE_ROUTES
            extras[of_engines] += [one.at_ms for one in arrivals[1:]]
    for of_engines, times_ms in extras.items():
        sent_ms = [
            one.sent_at_ms
            for one in evidence.history.attempts
            if (one.route in callers.ENGINE_ROUTES) is of_engines
        ]
        for end_ms in times_ms:
            since_ms = end_ms - RETRY_WINDOW_MS
            count = sum(since_ms < at_ms <= end_ms for at_ms in times_ms)
            asked = sum(since_ms < at_ms <= end_ms for at_ms in sent_ms)
            allowed = RETRY_RATIO * asked + evidence.history.retry_extra
            if count > allowed:
                yield Violation(
                    "repeats are bounded",
                    "engines" if of_engines else "plain",
                    f"{count} in 10 s, {allowed:.0f} allowed",
                )
                break


def _configuration(evidence: Evidence) -> Iterator[Violation]:
    for attempt in evidence.history.attempts:
        if attempt.status == NOT_FOUND and evidence.is_undisturbed(
            attempt.gateway, attempt.sent_at_ms, attempt.ended_at_ms
        ):
            yield Violation(
                "a change takes effect and stays",
                attempt.attempt_id,
                f"no route {attempt.route} at gateway {attempt.gateway}",
            )


def _must_be_served(evidence: Evidence, attempt: history_lib.Attempt) -> bool:
    """Whether it must be served: its account has no cap and no rotated key.

    In a history from before there were accounts, every attempt counts.
    """
    if not evidence.history.keys_added_ms:
        return True
    return attempt.account == accounts.STEADY


def _recovery(evidence: Evidence) -> Iterator[Violation]:
    from_ms = evidence.history.quiet_from_ms + RECOVERY_MS
    stops_at_ms = [
        event.at_ms
        for event in evidence.history.events
        if event.kind == "final_stop"
    ]
    asked = [
        one
        for one in evidence.history.attempts
        if from_ms <= one.sent_at_ms < min(stops_at_ms, default=0)
        and not one.left
        and _must_be_served(evidence, one)
        and one.ended_at_ms < min(stops_at_ms, default=0)
    ]
    served = sum(one.status == SUCCESS and one.whole for one in asked)
    if not asked or served < MIN_SERVED_FRACTION * len(asked):
        yield Violation(
            "served again after all faults",
            "site",
            f"{served} of {len(asked)}",
        )


def _graceful_stop(evidence: Evidence) -> Iterator[Violation]:
    stops = {
        event.victim: event.at_ms
        for event in evidence.history.events
        if event.kind == "final_stop"
    }
    for attempt in evidence.history.attempts:
        stopped_at_ms = stops.get(f"gateway-{attempt.gateway}")
        if stopped_at_ms is None or attempt.left:
            continue
        if attempt.ended_at_ms < stopped_at_ms or attempt.whole:
            continue
        if evidence.arrivals.get(attempt.attempt_id):
            yield Violation(
                "a graceful stop cuts nothing",
                attempt.attempt_id,
                f"sent {attempt.sent_at_ms - stopped_at_ms} ms after the stop,"
                f" status {attempt.status}",
            )


def _memory(evidence: Evidence) -> Iterator[Violation]:
    for name, used_mib in evidence.history.memory_mib.items():
        if used_mib > MAX_MEMORY_MIB:
            yield Violation("memory is bounded", name, f"{used_mib:.0f} MiB")


def _quarantine(evidence: Evidence) -> Iterator[Violation]:
    """What crashed enough targets may reach at most three more."""
    history = evidence.history
    runs_ms: dict[str, list[int]] = collections.defaultdict(list)
    late_runs: collections.Counter[str] = collections.Counter()
    for arrival in sorted(history.arrivals, key=lambda one: one.at_ms):
        attempt = history.poison_attempts.get(arrival.attempt_id)
        if attempt is None or not arrival.ran:
            continue
        known_ms = runs_ms[attempt.path]
        is_block = attempt.path.startswith(prompts.POISON_PREFIX)
        max_crashes = MAX_BLOCK_CRASHES if is_block else MAX_CRASHES
        if len(known_ms) >= max_crashes:
            since_ms = known_ms[max_crashes - 1] + UNDISTURBED_MS
            late_runs[attempt.path] += attempt.sent_at_ms > since_ms and (
                evidence.is_undisturbed(
                    attempt.gateway, attempt.sent_at_ms, arrival.at_ms
                )
            )
        known_ms.append(arrival.at_ms)
    for path, count in late_runs.items():
        if count > MAX_REPEATS:
            yield Violation(
                "what ends targets is refused",
                path,
                f"{count} repeats, {len(runs_ms[path])} ended in all",
            )


def _no_false_quarantine(evidence: Evidence) -> Iterator[Violation]:
    for attempt in evidence.history.attempts:
        if QUARANTINE_CODE in attempt.body:
            yield Violation(
                "nobody else is refused", attempt.attempt_id, attempt.route
            )


def _was_disturbed(
    evidence: Evidence, gateway: int, from_ms: int, to_ms: int
) -> bool:
    """Whether a gateway had a fault, such as a restart, in a period."""
    victims = {f"gateway-{gateway}", "all"}
    return any(
        event.victim in victims
        and event.at_ms <= to_ms
        and event.until_ms >= from_ms
        for event in evidence.history.events
    )


def _draining_by_header(evidence: Evidence) -> Iterator[Violation]:
    draining_since_ms: dict[tuple[int, str], int] = {}
    for response in evidence.history.leavers:
        draining_since_ms.setdefault(
            (response.gateway, response.target), response.at_ms
        )
    for arrival in evidence.history.arrivals:
        attempt = evidence.attempts.get(arrival.attempt_id)
        if attempt is None or not arrival.ran:
            continue
        since_ms = draining_since_ms.get((attempt.gateway, arrival.target))
        if (
            since_ms is None
            or attempt.sent_at_ms <= since_ms + DRAINING_SETTLING_MS
        ):
            continue
        if not _was_disturbed(
            evidence, attempt.gateway, since_ms, arrival.at_ms
        ):
            yield Violation(
                "a target's word that it leaves counts",
                arrival.attempt_id,
                f"{arrival.target}, {arrival.at_ms - since_ms} ms after it",
            )


def _backoffs(evidence: Evidence) -> Iterator[Violation]:
    until: dict[tuple[int, str], list[tuple[int, int]]] = {}
    for rest in evidence.history.rests:
        attempt = evidence.attempts.get(rest.attempt_id)
        # On a faulty link, the gateway may have given the request up before
        # the response arrived.
        if attempt is None or not evidence.is_link_sound(
            rest.target, rest.at_ms
        ):
            continue
        spans = until.setdefault((attempt.gateway, rest.target), [])
        spans.append((rest.at_ms + BACKOFF_SLACK_MS, rest.at_ms + rest.rest_ms))
    for (gateway, target), spans in until.items():
        for from_ms, to_ms in spans:
            if _was_disturbed(evidence, gateway, from_ms, to_ms):
                continue
            count = sum(
                from_ms < arrival.at_ms < to_ms
                and arrival.target == target
                and evidence.gateway_of(arrival.attempt_id) == gateway
                for arrival in evidence.history.arrivals
            )
            if count > MAX_DURING_BACKOFF:
                yield Violation(
                    "a target that asks for rest gets it",
                    target,
                    f"{count} from gateway {gateway}",
                )
                break


def _named_accounts(evidence: Evidence) -> Iterator[Violation]:
    for arrival in evidence.history.arrivals:
        attempt = evidence.attempts.get(arrival.attempt_id)
        if attempt is None:
            continue
        if arrival.had_key or arrival.account != attempt.account:
            yield Violation(
                "its account is named, and no key is told",
                arrival.attempt_id,
                f"{arrival.account!r} instead of {attempt.account!r}",
            )


def _keys(evidence: Evidence) -> Iterator[Violation]:
    history = evidence.history
    if not history.keys_added_ms:
        # The history was stored before there were accounts.
        return
    for attempt in history.attempts:
        added_ms = history.keys_added_ms.get(attempt.key, 0)
        removed_ms = history.keys_removed_ms.get(attempt.key)
        undisturbed = evidence.is_undisturbed(
            attempt.gateway, attempt.sent_at_ms, attempt.ended_at_ms
        )
        if not attempt.account:
            is_served = evidence.runs(attempt.attempt_id)
        else:
            is_served = (
                removed_ms is not None
                and attempt.sent_at_ms > removed_ms + CONFIGURATION_MS
                and undisturbed
                and evidence.runs(attempt.attempt_id)
            )
            is_known = attempt.sent_at_ms > added_ms + CONFIGURATION_MS and (
                removed_ms is None or attempt.ended_at_ms < removed_ms
            )
            if attempt.status == UNAUTHORIZED and is_known and undisturbed:
                yield Violation(
                    "a known key is let in", attempt.attempt_id, attempt.account
                )
        if is_served:
            yield Violation(
                "only a known key is served", attempt.attempt_id, attempt.key
            )


def _usage_cap(evidence: Evidence) -> Iterator[Violation]:
    rules = accounts.RULES
    limit = accounts.CAP.limit(rules.window_ms)
    allowed = limit * (1 + rules.overage) + rules.tolerance
    times_ms = sorted(
        one.at_ms
        for one in evidence.history.arrivals
        if one.ran and one.account == accounts.CAPPED
    )
    for end_ms in times_ms:
        since_ms = end_ms - rules.window_ms
        count = sum(since_ms < at_ms <= end_ms for at_ms in times_ms)
        if count > allowed:
            yield Violation(
                "a usage cap holds over all gateways",
                accounts.CAPPED,
                f"{count} in a window, {allowed:.0f} allowed",
            )
            return


def _limited_arrivals_ms(
    evidence: Evidence, limit: history_lib.RateLimit
) -> Iterator[int]:
    """Yields the arrival times of requests from gateways that had to comply."""
    first_response_ms: dict[int, int] = {}
    for response in evidence.history.limited_responses:
        if response.target == limit.target and response.at_ms >= limit.from_ms:
            first_response_ms.setdefault(response.gateway, response.at_ms)
    for arrival in evidence.history.arrivals:
        if arrival.target != limit.target:
            continue
        if not limit.from_ms <= arrival.at_ms <= limit.until_ms:
            continue
        gateway = evidence.gateway_of(arrival.attempt_id)
        since_ms = first_response_ms.get(gateway, limit.until_ms)
        if arrival.at_ms < since_ms + RATE_LIMIT_GRACE_MS:
            continue
        if not _was_disturbed(evidence, gateway, since_ms, arrival.at_ms):
            yield arrival.at_ms


def _rate_limits(evidence: Evidence) -> Iterator[Violation]:
    for limit in evidence.history.rate_limits:
        window_s = RATE_LIMIT_WINDOW_MS / MS_PER_S
        allowed = RATE_LIMIT_FACTOR * limit.limit_per_s * window_s
        allowed += RATE_LIMIT_TOLERANCE
        settled_ms = limit.from_ms + RATE_LIMIT_SETTLING_MS
        window: collections.deque[int] = collections.deque()
        for at_ms in _limited_arrivals_ms(evidence, limit):
            window.append(at_ms)
            while window[0] <= at_ms - RATE_LIMIT_WINDOW_MS:
                window.popleft()
            if at_ms >= settled_ms and len(window) > allowed:
                yield Violation(
                    "a target's rate limit holds over all gateways",
                    limit.target,
                    f"{len(window)} in a window, {allowed:.0f} allowed",
                )
                break


def _software_versions(evidence: Evidence) -> Iterator[Violation]:
    mixed = streams.mixed(evidence.history.attempts)
    for attempt_id, versions in mixed.items():
        yield Violation(
            "a stream stays at one software version",
            attempt_id,
            ", ".join(sorted(versions)),
        )


def _resumed_streams(evidence: Evidence) -> Iterator[Violation]:
    detail = streams.lost_share(
        evidence.history,
        lambda attempt: evidence.is_undisturbed(
            attempt.gateway, attempt.sent_at_ms, attempt.ended_at_ms
        ),
    )
    if detail:
        yield Violation("streams that callers resume continue", "site", detail)


def _streams_after_loss(evidence: Evidence) -> Iterator[Violation]:
    """Streams continue although all gateways lost their records at once."""
    history = evidence.history
    losses = [one for one in history.events if one.kind == GATEWAY_LOSS_KIND]
    for loss in losses:
        from_ms = loss.until_ms + LOSS_SETTLING_MS
        until_ms = from_ms + LOSS_WINDOW_MS
        if evidence.has_other_loss(loss, until_ms):
            continue
        resumed = [
            one
            for one in streams.resumable_at_serving_version(history)
            if from_ms <= one.sent_at_ms < until_ms
        ]
        unknown = [one for one in resumed if ORIGIN_UNKNOWN in one.body]
        if len(unknown) > MAX_UNKNOWN_FRACTION * len(resumed):
            yield Violation(
                "streams that callers resume continue",
                unknown[0].attempt_id,
                f"{len(unknown)} of {len(resumed)} have no known origin after "
                "the loss of all gateways",
            )


def _skewed_connections(evidence: Evidence) -> Iterator[Violation]:
    for from_ms, until_ms in _skew_periods(evidence):
        before_ms = from_ms - SKEW_BEFORE_MS
        if any(
            one.kind != SKEW_KIND
            and one.at_ms <= until_ms
            and one.until_ms >= before_ms - UNDISTURBED_MS
            for one in evidence.history.events
        ):
            # Another fault may be the reason that requests are not served.
            continue
        before = _served_share(evidence, before_ms, from_ms)
        during = _served_share(evidence, from_ms + UNDISTURBED_MS, until_ms)
        if before is None or during is None:
            continue
        if during < MIN_SKEW_SERVED_FRACTION * before:
            yield Violation(
                "one gateway serves all new connections",
                "site",
                f"{during:.2f} after {before:.2f}",
            )


def _skew_periods(evidence: Evidence) -> Iterator[tuple[int, int]]:
    """Yields the periods in which all new connections went to one gateway."""
    from_ms = until_ms = 0
    spans_ms = sorted(
        (one.at_ms, one.until_ms)
        for one in evidence.history.events
        if one.kind == SKEW_KIND
    )
    for at_ms, ended_ms in spans_ms:
        if until_ms and at_ms > until_ms + SKEW_BEFORE_MS:
            yield from_ms, until_ms
            until_ms = 0
        if not until_ms:
            from_ms = at_ms
        until_ms = max(until_ms, ended_ms)
    if until_ms:
        yield from_ms, until_ms


def _served_share(
    evidence: Evidence, from_ms: int, until_ms: int
) -> float | None:
    """Returns the share of served requests, None if there are too few."""
    asked = [
        one
        for one in evidence.history.attempts
        if from_ms <= one.sent_at_ms < until_ms
        and not one.left
        and not one.resumes
        and _must_be_served(evidence, one)
    ]
    if len(asked) < MIN_SKEW_REQUESTS:
        return None
    return sum(one.status == SUCCESS and one.whole for one in asked) / len(
        asked
    )


CHECKS: tuple[Callable[[Evidence], Iterator[Violation]], ...] = (
    _at_most_once,
    _not_run_is_true,
    _complete_and_own,
    _whole_answers,
    _draining_by_listing,
    _nothing_after_disconnect,
    _adapter_orders,
    _repeats,
    _configuration,
    _recovery,
    _graceful_stop,
    _memory,
    _quarantine,
    _no_false_quarantine,
    _draining_by_header,
    _backoffs,
    _named_accounts,
    _keys,
    _usage_cap,
    _rate_limits,
    _software_versions,
    _resumed_streams,
    _streams_after_loss,
    _skewed_connections,
)


def judge(history: history_lib.History) -> list[Violation]:
    """Returns all broken promises of a run."""
    evidence = Evidence(history)
    return [one for check in CHECKS for one in check(evidence)]
