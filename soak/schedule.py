"""Random schedules of faults, derived from a seed."""

import dataclasses
import enum
import random


class Kind(enum.StrEnum):
    """Kind of a fault or operator action."""

    GATEWAY_KILL = "gateway_kill"
    GATEWAY_TERM = "gateway_term"
    GATEWAY_PAUSE = "gateway_pause"
    SIDE_KILL = "side_kill"
    SIDE_PAUSE = "side_pause"
    ALL_KILL = "all_kill"
    STORE_REFUSES = "store_refuses"
    STORE_SILENT = "store_silent"
    STORE_HOLDS = "store_holds"
    STORE_CUTS = "store_cuts"
    STORE_FORGETS = "store_forgets"
    LINK_SILENT = "link_silent"
    LINK_RESET = "link_reset"
    LINK_SLOW = "link_slow"
    TARGET_RESTART = "target_restart"
    TARGET_LEAVE = "target_leave"
    TARGET_FAULTS = "target_faults"
    ORDERS_SWALLOWED = "orders_swallowed"
    VERSION = "version"
    CONFIGURATION = "configuration"
    RELOAD = "reload"
    POISON = "poison"
    LEAVE_BY_WORD = "leave_by_word"
    REST = "rest"
    KEYS = "keys"
    RUSH = "rush"
    RATE_LIMIT = "rate_limit"
    STORE_RESTORED = "store_restored"
    RELEASE = "release"
    SOFTWARE = "software"
    CRASH_AT_CLOSE = "crash_at_close"
    POISON_BLOCK = "poison_block"
    CONNECTIONS_SKEWED = "connections_skewed"
    SECOND_RESPONSES = "second_responses"
    LEAVE_AFTER_SILENCE = "leave_after_silence"
    GATEWAYS_KILL = "gateways_kill"
    CRASH_LISTENER_LAST = "crash_listener_last"
    LEAVE_UNDER_ANSWERS = "leave_under_answers"
    HOSTILE_CLIENTS = "hostile_clients"
    FOREIGN_ENTRIES = "foreign_entries"
    STORE_SLOW = "store_slow"
    STORE_THROTTLES = "store_throttles"


# Kinds by affected component; other kinds affect the store or the whole site.
GATEWAY_KINDS = frozenset(
    {Kind.GATEWAY_KILL, Kind.GATEWAY_TERM, Kind.GATEWAY_PAUSE, Kind.RELOAD}
)
SIDECAR_KINDS = frozenset(
    {Kind.SIDE_KILL, Kind.SIDE_PAUSE, Kind.ORDERS_SWALLOWED}
)
TARGET_KINDS = frozenset(
    {
        Kind.TARGET_RESTART,
        Kind.TARGET_LEAVE,
        Kind.TARGET_FAULTS,
        Kind.LEAVE_BY_WORD,
        Kind.REST,
        Kind.RATE_LIMIT,
        Kind.RELEASE,
        Kind.SOFTWARE,
        Kind.LINK_SILENT,
        Kind.LINK_RESET,
        Kind.LINK_SLOW,
        Kind.CRASH_AT_CLOSE,
        Kind.SECOND_RESPONSES,
        Kind.LEAVE_AFTER_SILENCE,
        Kind.CRASH_LISTENER_LAST,
        Kind.LEAVE_UNDER_ANSWERS,
    }
)
CALLERS = "callers"
# Component that the other kinds affect, where it is not the store.
SITE_VICTIMS = {
    Kind.ALL_KILL: "all",
    Kind.GATEWAYS_KILL: "all",
    Kind.POISON: CALLERS,
    Kind.POISON_BLOCK: CALLERS,
    Kind.CONNECTIONS_SKEWED: CALLERS,
    Kind.RUSH: CALLERS,
    Kind.HOSTILE_CLIENTS: CALLERS,
    # What another writer leaves in the store is no excuse.
    Kind.FOREIGN_ENTRIES: "writer",
    Kind.KEYS: "operator",
    Kind.CONFIGURATION: "operator",
}
# Intervals before a series of faults, and between the faults of a series. The
# faults of a series overlap, so that one begins while another is being handled.
SERIES_INTERVAL_MS = (500, 3_000)
FAULT_INTERVAL_MS = (50, 700)
MAX_SERIES_LENGTH = 4
FAULT_DURATION_MS = (200, 3_500)


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """Numbers of gateways and targets in a run."""

    gateways: int = 3
    engines: int = 4
    plain: int = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One entry of a schedule.

    Attributes:
        at_ms: When it begins, from the start of the traffic.
        kind: Kind of the fault.
        victim: Number of the gateway, sidecar or target.
        for_ms: Duration, for kinds that have one.
    """

    at_ms: int
    kind: Kind
    victim: int
    for_ms: int


def draw(
    seed: int,
    length_ms: int,
    size: Size,
    kinds: tuple[Kind, ...] = tuple(Kind),
) -> list[Fault]:
    """Draws a schedule.

    Args:
        seed: Seed of the schedule.
        length_ms: Time by which the last fault begins.
        size: Numbers of gateways and targets.
        kinds: Kinds to draw from.
    """
    source = random.Random(seed)
    faults: list[Fault] = []
    at_ms = source.randint(*SERIES_INTERVAL_MS)
    while at_ms < length_ms:
        for _ in range(source.randint(1, MAX_SERIES_LENGTH)):
            kind = source.choice(kinds)
            count = size.gateways
            if kind in SIDECAR_KINDS:
                count = size.engines
            elif kind in TARGET_KINDS:
                count = size.engines + size.plain
            victim = source.randrange(count)
            for_ms = source.randint(*FAULT_DURATION_MS)
            faults.append(Fault(at_ms, kind, victim, for_ms))
            at_ms += source.randint(*FAULT_INTERVAL_MS)
        at_ms += source.randint(*SERIES_INTERVAL_MS)
    return [fault for fault in faults if fault.at_ms < length_ms]
