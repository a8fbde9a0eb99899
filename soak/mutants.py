"""Mutation tests of the soak's checks: ``python -m soak.mutants``.

Each mutant changes one line or block in a scratch copy of the programs. The
soak must then report the broken promise.
"""

import sys

import click

from proofs import mutants
from soak import schedule

SOAK = ("-m", "soak", "run", "--seconds", "15", "--jobs", "2", "--first-seed")
FORWARD = "radishd/request/forward.py"
GATEWAY = "radishd/gateway.py"
RULES = "radishstack/process/quarantine_rules.py"
Kind = schedule.Kind


def _seeds(
    first: int, *kinds: schedule.Kind, engines: int = 2
) -> tuple[str, ...]:
    """Returns arguments for a soak of two seeds with faults of some kinds."""
    of_kinds = [word for kind in kinds for word in ("--kind", str(kind))]
    size = ("--engines", str(engines))
    return (*SOAK, str(first), "--seeds", "2", *size, *of_kinds)


MUTANTS = (
    mutants.Mutant(
        "memory is bounded",
        "radishd/process/client_connection.py",
        "        while self._unparsed and self._phase is not Phase.RESPONSE:\n",
        "        while self._unparsed:\n",
        _seeds(800, Kind.HOSTILE_CLIENTS),
    ),
    mutants.Mutant(
        "at most once",
        "radishd/platform/front.py",
        "    if head.get(_NOT_EXECUTED) is not None:",
        "    if head.get(_NOT_EXECUTED) is not None or head.status == 500:",
        _seeds(300, Kind.TARGET_FAULTS),
    ),
    mutants.Mutant(
        "at most once",
        "radishstack/request/forwarding.py",
        "        self.used_connections.add(connection_number)\n",
        "",
        _seeds(560, Kind.SECOND_RESPONSES, engines=1),
    ),
    mutants.Mutant(
        "not run is true",
        "radishd/platform/front.py",
        "    if head.status in NOT_EXECUTED_STATUSES:",
        "    if False:",
        _seeds(310, Kind.TARGET_FAULTS),
    ),
    mutants.Mutant(
        "whole and own",
        FORWARD,
        "            raise ResponseAbortedError\n        proven_not_run",
        '            await self._send({"type": "http.response.body"})\n'
        "            return\n        proven_not_run",
        _seeds(320, Kind.TARGET_FAULTS),
    ),
    mutants.Mutant(
        "whole and own",
        "radishstack/request/response_end.py",
        "    if ending.is_inside_event:\n        return End.INSIDE_EVENT\n",
        "",
        _seeds(510, Kind.TARGET_FAULTS),
    ),
    mutants.Mutant(
        "whole and own",
        "radishstack/request/response_end.py",
        "    if closing.target.is_alive:\n        return End.CLOSED\n",
        "    return End.CLOSED\n",
        _seeds(520, Kind.CRASH_AT_CLOSE),
    ),
    mutants.Mutant(
        "whole and own",
        "radishd/connection/liveness_check.py",
        "            if not path:\n",
        "            if path:\n"
        "                return TargetState.ACCEPTS, path\n"
        "            if not path:\n",
        _seeds(600, Kind.CRASH_LISTENER_LAST),
    ),
    mutants.Mutant(
        "whole answers are passed on",
        "radishstack/request/response_end.py",
        "    if not closing.is_draining or closing.has_short_notice:\n",
        "    if True:\n",
        _seeds(610, Kind.LEAVE_UNDER_ANSWERS),
    ),
    mutants.Mutant(
        "a leaving target gets no work",
        "radishstack/process/roster.py",
        "            not member.listing.leaving\n            and not self",
        "            not self",
        _seeds(330, Kind.TARGET_LEAVE),
    ),
    mutants.Mutant(
        "a leaving target gets no work",
        "radishd/store_client.py",
        "            late_ms=read.wait_ms + LATE_ANSWER_MARGIN_MS,\n",
        "            late_ms=timeout_ms,\n",
        _seeds(570, Kind.LEAVE_AFTER_SILENCE, engines=4),
    ),
    mutants.Mutant(
        "nothing is sent for a caller that left",
        "radishd/request/callers_port.py",
        "            left = not done\n"
        "            tasks.cancel_scope.cancel()\n",
        "            left = not done\n",
        _seeds(340, Kind.SIDE_PAUSE, Kind.LINK_SILENT, engines=4),
    ),
    mutants.Mutant(
        "no engine is overfilled",
        "radishstack/process/adapter_keeper.py",
        "        return held + len(report.in_transit)",
        "        return held",
        _seeds(350, Kind.ORDERS_SWALLOWED),
    ),
    mutants.Mutant(
        "a change takes effect and stays",
        "radishd/process/discovery.py",
        "CONFIGURATION_COALESCE_FRACTION = 0.2",
        "CONFIGURATION_COALESCE_FRACTION = 10.0",
        _seeds(360, Kind.CONFIGURATION),
    ),
    mutants.Mutant(
        "served again after all faults",
        "radishd/process/discovery.py",
        "            else:\n"
        "                known[record.name] = record\n"
        "            self._discovery.apply(self._kind, record)",
        "            else:\n                known[record.name] = record",
        _seeds(370, Kind.TARGET_RESTART),
    ),
    mutants.Mutant(
        "what ends targets is refused",
        GATEWAY,
        "        self.crash_gossip.crashed(crash)\n",
        "        del crash\n",
        _seeds(390, Kind.POISON),
    ),
    mutants.Mutant(
        "what ends targets is refused",
        "radishd/request/pending_request.py",
        "        return (whole, *blocks)",
        "        return (whole,)",
        _seeds(530, Kind.POISON_BLOCK),
    ),
    mutants.Mutant(
        "nobody else is refused",
        FORWARD,
        "        if answer_began_at_ms is None:\n"
        "            return\n"
        "        for fingerprint",
        "        return\n        for fingerprint",
        _seeds(540, Kind.POISON_BLOCK),
    ),
    mutants.Mutant(
        "nobody else is refused",
        RULES,
        "    if (\n"
        "        crash_count < MIN_CRASHES + extra\n"
        "        or suspicion.count_consecutive(record) < "
        "MIN_CONSECUTIVE + extra\n"
        "    ):\n",
        "    if False:\n",
        _seeds(400, Kind.POISON, Kind.TARGET_RESTART),
    ),
    mutants.Mutant(
        "a target's word that it leaves counts",
        "radishstack/process/roster.py",
        "            and not self.is_draining(member.listing.incarnation_id)\n",
        "",
        _seeds(410, Kind.LEAVE_BY_WORD, Kind.VERSION),
    ),
    mutants.Mutant(
        "a target that asks for rest gets it",
        "radishstack/process/roster.py",
        "            if member.health.backoff_until_ms <= now_ms\n",
        "",
        _seeds(420, Kind.REST),
    ),
    mutants.Mutant(
        "a leaving target gets no work",
        "radishstack/process/roster.py",
        "        older = listing.changed_position < known.changed_position\n",
        "        older = listing.changed_at < known.changed_at\n",
        _seeds(470, Kind.STORE_RESTORED, Kind.TARGET_LEAVE, Kind.VERSION),
    ),
    mutants.Mutant(
        "a target's rate limit holds over all gateways",
        "radishstack/process/target_rate_limits.py",
        "        return limit.level >= 1\n",
        "        return True\n",
        _seeds(460, Kind.RATE_LIMIT),
    ),
    mutants.Mutant(
        "only a known key is served",
        "radishstack/request/admission.py",
        "    if account is not None or route.public:",
        "    if True:",
        _seeds(430, Kind.KEYS),
    ),
    mutants.Mutant(
        "its account is named, and no key is told",
        "radishd/platform/front.py",
        "        _AUTHORIZATION,\n        _ACCOUNT,\n",
        "",
        _seeds(440, Kind.KEYS),
    ),
    mutants.Mutant(
        "a usage cap holds over all gateways",
        "radishstack/process/usage_books.py",
        "Bucket(whole.depth / count, whole.per_ms / count)",
        "Bucket(whole.depth, whole.per_ms)",
        _seeds(450, Kind.RUSH),
    ),
    mutants.Mutant(
        "a stream stays at one software version",
        FORWARD,
        "            pending.software_version = send.software_version\n",
        "            pass\n",
        _seeds(480, Kind.TARGET_FAULTS, Kind.SOFTWARE, engines=4),
    ),
    mutants.Mutant(
        "streams that callers resume continue",
        "radishstack/process/stream_origins.py",
        "        return origin if now_ms < until_ms else None",
        "        return None",
        _seeds(500, Kind.GATEWAY_KILL, engines=4),
    ),
    mutants.Mutant(
        "streams that callers resume continue",
        "radishd/sidecar.py",
        "            self.stream_origins.handle(datagram, sender)\n",
        "            pass\n",
        _seeds(630, Kind.GATEWAYS_KILL, engines=4),
    ),
    mutants.Mutant(
        "one gateway serves all new connections",
        "radishd/request/callers_port.py",
        "        request = front.decode(scope)\n",
        "        if self._gateway.in_flight > 3:\n"
        "            return\n"
        "        request = front.decode(scope)\n",
        _seeds(550, Kind.CONNECTIONS_SKEWED),
    ),
    mutants.Mutant(
        "served again after all faults",
        "radishd/process/untrusted_json.py",
        "    except (ValueError, RecursionError):\n        value, end",
        "    except ValueError:\n        value, end",
        _seeds(820, Kind.FOREIGN_ENTRIES, Kind.ALL_KILL),
    ),
    mutants.Mutant(
        "a graceful stop cuts nothing",
        GATEWAY,
        '    gateway.log.must("draining", in_flight=gateway.in_flight)\n',
        "    return\n",
        _seeds(380, Kind.RELOAD),
    ),
)


@click.command()
@click.option("--only", default="", help="Part of a promise.")
def main(only: str) -> None:
    """Runs each mutant's soak and prints whether it was caught."""
    chosen = [one for one in MUTANTS if only in one.promise]
    caught_count = 0
    for mutant in chosen:
        caught, line = mutants.run_mutant(mutant)
        caught_count += caught
        word = "caught" if caught else "MISSED"
        click.echo(f"{word}  {mutant.promise}: {line[:100]}")
    click.echo(f"caught {caught_count}, missed {len(chosen) - caught_count}")
    sys.exit(0 if caught_count == len(chosen) else 1)


if __name__ == "__main__":
    main()
