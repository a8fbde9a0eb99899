"""Mutation tests of the proofs: ``python -m proofs.mutants``.

Each mutant changes one line in a scratch copy of the code and must make its
proof fail. A proof that passes with the mutant doesn't test the mechanism.
"""

import concurrent.futures
import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import click

ROOT = pathlib.Path(__file__).parent.parent
PACKAGES = ("radishstack", "radishd")
TIMEOUT_S = 600
SOAK = ("-m", "proofs.soak", "--no-shrink", "--minutes")
SERVING = (*SOAK, "1.0", "--machine", "serving")
PUBLICATION = (*SOAK, "0.2", "--machine", "publication")
RATE_LIMITS = (*SOAK, "0.5", "--machine", "rate_limits")
USAGE = (*SOAK, "0.5", "--machine", "usage")


@dataclasses.dataclass(frozen=True, slots=True)
class Mutant:
    """A change to one place in the code.

    Attributes:
        promise: The promise whose mechanism it breaks.
        path: File below the package's ``src`` folder.
        old: Text that occurs exactly once in the file.
        new: Its replacement.
        proof: Arguments of the Python command that must fail.
    """

    promise: str
    path: str
    old: str
    new: str
    proof: tuple[str, ...] = SERVING


def _test(module: str) -> tuple[str, ...]:
    return ("-m", "tests", module)


_RATE_LIMITS_PATH = "radishstack/process/target_rate_limits.py"
_RATE_LIMITS_PROMISE = "a rate limit that a target names holds"

_SELECTION_PATH = "radishd/request/target_selection.py"
_STREAMS = (*SOAK, "0.5", "--machine", "streams")
_STREAMS_PATH = "radishstack/process/stream_origins.py"
_EXCHANGE_PATH = "radishd/process/stream_origin_exchange.py"
_STREAMS_PROMISE = "a stream stays at one software version"
_RESUME_PROMISE = "streams that callers resume continue"
_SOFTWARE_TEST = _test("fleet.test_software_versions")

_RESPONSE_END_PATH = "radishstack/request/response_end.py"
_EVENT_STREAM_PATH = "radishstack/request/event_stream.py"
_CUT_PROMISE = "a cut answer is not complete"
_CUT_TEST = _test("fleet.test_response_ends")
_CHECK_STREAM_END = (
    "        if not await self.response_ends.check("
    "send, head, self.pending.events):\n"
    "            return Outcome.LOST\n"
)
_CLEAR_SUSPECT = "        self._record_completion(answer_began_at_ms)\n"

_ROSTER_PATH = "radishstack/process/roster.py"
_RESTORED_PROMISE = "a restored store revives no outdated entries"

_RULES_PATH = "radishstack/process/quarantine_rules.py"
_BLOCK_PROMISE = "a poison prompt block is refused"
_SOUND_BLOCK_PROMISE = "sound prompt blocks are served"
_UNEXPLAINED = (
    "    unexplained = _without_explained(record, crash_count, suspects_at)"
)
_BLOCK_TEST = _test("fleet.test_poison_blocks")
_EVIDENCE_TEST = _test("fleet.test_crash_evidence")

_SECOND_TEST = _test("fleet.test_second_responses")
_ATTRIBUTION_PROMISE = "a response belongs to one send"

_SILENT_TEST = _test("fleet.test_silent_connections")
_SILENT_PROMISE = "a silent connection is no outage"
_STORE_PATH = "radishd/store_client.py"

_ENDLESS_TEST = _test("fleet.test_endless_bytes")
_ENDLESS_PROMISE = "bytes without end are cut"
_CLIENT_PATH = "radishd/connection/http_client.py"
_BOUNDS_PATH = "radishd/process/response_bounds.py"

_PAGES_TEST = _test("fleet.test_paged_lists")
_PAGES_PROMISE = "a change between pages is not lost"

_CLIENT_CONNECTION_PATH = "radishd/process/client_connection.py"
_CLIENT_BOUNDS_PATH = "radishd/process/client_bounds.py"
_CLIENT_PROMISE = "no client uses up a process"
_CLIENT_TEST = _test("clients.test_client_bounds")
_UPGRADE_TEST = _test("fleet.test_upgrade_requests")
_UPGRADE_PROMISE = "a request that offers an upgrade is served whole"

_POISON_TEST = _test("fleet.test_poison_entries")
_UNTRUSTED_TEST = _test("fleet.test_untrusted_values")
_POISON_PROMISE = "an entry that cannot be decoded hides no others"
_STOP_TEST = _test("fleet.test_planned_stop")
_STOP_PROMISE = "a planned stop answers what was read"
_MISSED_TEST = _test("fleet.test_missed_changes")
_MISSED_PROMISE = "a missed change is read again"

_CLOSING_PATH = "radishd/request/closing_check.py"
_LIVENESS_PATH = "radishd/connection/liveness_check.py"
_DRAINED_PROMISE = "a whole answer of a draining target is complete"

MUTANTS = (
    Mutant(
        "a reload keeps what retries have used",
        "radishd/gateway.py",
        "        self.peers.record_peers(settings.seeds)\n",
        "        self.peers.record_peers(settings.seeds)\n"
        "        self.budgets.clear()\n",
        _test("fleet.test_fleet_faults"),
    ),
    Mutant(
        "limits of the configuration are applied",
        "radishd/gateway.py",
        "        gateway.apply_limits(gateway.table.limits)\n",
        "",
        _test("fleet.test_connections"),
    ),
    Mutant(
        "a sidecar updates the gateways that are known",
        "radishstack/process/audience.py",
        "        for address in sorted(due & self._gateways.keys()):\n",
        "        for address in sorted(due):\n",
        _test("fleet.test_audience"),
    ),
    Mutant(
        _CUT_PROMISE,
        _LIVENESS_PATH,
        "            if not path:\n",
        "            if path:\n"
        "                return TargetState.ACCEPTS, path\n"
        "            if not path:\n",
        _CUT_TEST,
    ),
    Mutant(
        _ATTRIBUTION_PROMISE,
        _LIVENESS_PATH,
        "            connection = await self._pool.open(listing.address)\n",
        "            connection = await self._pool.acquire(\n"
        "                listing.address, fresh=True\n"
        "            )\n",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _LIVENESS_PATH,
        "        await anyio.sleep(HOLD_MS / MS_PER_S)\n",
        "",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        "radishd/platform/health.py",
        "    if incarnation.start_times_differ(born_ms, listing.born_ms):\n"
        "        return TargetState.REPLACED\n",
        "",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        "radishd/platform/health.py",
        "    if answer.head.status == front.HTTP_MISDIRECTED or "
        "front.is_other_instance(\n",
        "    if front.is_other_instance(\n",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _CLOSING_PATH,
        "        return Deregistration.LISTED\n",
        "        return Deregistration.UNKNOWN\n",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _RESPONSE_END_PATH,
        "    if closing.cut_count:\n        return End.UNREACHABLE\n",
        "",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _RESPONSE_END_PATH,
        "    return End.UNREACHABLE if closing.closed_count "
        "else End.CLOSED_BY_EXIT\n",
        "    return End.CLOSED_BY_EXIT\n",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _CLOSING_PATH,
        "        if is_removed is None or self._paused_at_ms >= ended_at_ms:\n",
        "        if is_removed is None:\n",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        "radishd/request/response_ends.py",
        "            self._gateway.closing_check.record_cut(send.member)\n",
        "            pass\n",
        _CUT_TEST,
    ),
    Mutant(
        _DRAINED_PROMISE,
        _RESPONSE_END_PATH,
        "    if not closing.is_draining or closing.has_short_notice:\n",
        "    if True:\n",
        _CUT_TEST,
    ),
    Mutant(
        _DRAINED_PROMISE,
        _ROSTER_PATH,
        "            member.listing.leaving\n"
        "            or self.is_draining(incarnation_id)\n",
        "            member.listing.leaving\n",
        _CUT_TEST,
    ),
    Mutant(
        _DRAINED_PROMISE,
        _ROSTER_PATH,
        "                removed is not None\n"
        "                and not self.is_current(member)\n",
        "                False\n"
        "                and not self.is_current(member)\n",
        _CUT_TEST,
    ),
    Mutant(
        _DRAINED_PROMISE,
        _RESPONSE_END_PATH,
        "        case Deregistration.REMOVED:\n"
        "            return End.CLOSED_BY_EXIT\n",
        "        case Deregistration.REMOVED:\n"
        "            return End.UNREACHABLE\n",
        _CUT_TEST,
    ),
    Mutant(
        _DRAINED_PROMISE,
        _RESPONSE_END_PATH,
        "    if closing.outlived_count:\n",
        "    if False:\n",
        _CUT_TEST,
    ),
    Mutant(
        "a sound target is not taken as crashed",
        _LIVENESS_PATH,
        "            await anyio.sleep(RETRY_INTERVAL_MS / MS_PER_S)\n",
        "            return TargetState.UNREACHABLE, answer.reason\n",
        _CUT_TEST,
    ),
    Mutant(
        "a crash is recorded",
        "radishd/connection/crash_watch.py",
        "        ended = not observation.state.is_alive",
        "        ended = False",
        _CUT_TEST,
    ),
    Mutant(
        _CLIENT_PROMISE,
        _CLIENT_CONNECTION_PATH,
        "        while self._unparsed and self._phase is not Phase.RESPONSE:\n",
        "        while self._unparsed:\n",
        _CLIENT_TEST,
    ),
    Mutant(
        _CLIENT_PROMISE,
        _CLIENT_CONNECTION_PATH,
        "        if size_bytes + self._surplus_bytes > "
        "limits.max_head_bytes:\n",
        "        if False:\n",
        _CLIENT_TEST,
    ),
    Mutant(
        "a refused client gets its answer",
        _CLIENT_CONNECTION_PATH,
        "        self.transport.write_eof()\n",
        "        self.transport.abort()\n",
        _CLIENT_TEST,
    ),
    Mutant(
        "a client inside the limits is served",
        _CLIENT_CONNECTION_PATH,
        "        is_head = unparsed or self._surplus_bytes > "
        "MAX_TRAILING_BYTES\n",
        "        is_head = True\n",
        _CLIENT_TEST,
    ),
    Mutant(
        "a client inside the limits is served",
        _CLIENT_CONNECTION_PATH,
        "        if not self._unsent_bytes or unsent_bytes < "
        "self._unsent_bytes:\n",
        "        if not self._unsent_bytes:\n",
        _CLIENT_TEST,
    ),
    Mutant(
        "a client inside the limits is served",
        _CLIENT_CONNECTION_PATH,
        "        self._phase_began_s += late_s\n",
        "",
        _CLIENT_TEST,
    ),
    Mutant(
        "what was read whole is answered",
        _CLIENT_CONNECTION_PATH,
        "            self._closes_when_idle = True\n",
        "            super().shutdown()\n",
        _CLIENT_TEST,
    ),
    Mutant(
        _CLIENT_PROMISE,
        _CLIENT_CONNECTION_PATH,
        "                if took_ms > limits.header_timeout_ms:\n",
        "                if False:\n",
        _CLIENT_TEST,
    ),
    Mutant(
        _CLIENT_PROMISE,
        _CLIENT_CONNECTION_PATH,
        "                if took_ms > limits.body_timeout_ms:\n",
        "                if False:\n",
        _CLIENT_TEST,
    ),
    Mutant(
        _CLIENT_PROMISE,
        _CLIENT_CONNECTION_PATH,
        "        if self._has_stopped_reading(now_s, "
        "limits.send_timeout_ms):\n",
        "        if False:\n",
        _CLIENT_TEST,
    ),
    Mutant(
        _CLIENT_PROMISE,
        _CLIENT_BOUNDS_PATH,
        "            if oldest is None or not oldest():\n",
        "            if True:\n",
        _CLIENT_TEST,
    ),
    Mutant(
        _CLIENT_PROMISE,
        _CLIENT_BOUNDS_PATH,
        "        return not self._settled and "
        "next(iter(self._growing)) is hold\n",
        "        return True\n",
        _CLIENT_TEST,
    ),
    Mutant(
        "large requests do not wait for each other",
        _CLIENT_BOUNDS_PATH,
        "        return not self._settled and "
        "next(iter(self._growing)) is hold\n",
        "        return False\n",
        _CLIENT_TEST,
    ),
    Mutant(
        "small requests go on beside large ones",
        _CLIENT_BOUNDS_PATH,
        "        return self.size_bytes < SMALL_BYTES or "
        "self._account.may_grow(self)\n",
        "        return self._account.may_grow(self)\n",
        _CLIENT_TEST,
    ),
    Mutant(
        _UPGRADE_PROMISE,
        _CLIENT_CONNECTION_PATH,
        "            self.parser.feed_data(head)\n",
        "            self._message_complete = True\n",
        _UPGRADE_TEST,
    ),
    Mutant(
        _UPGRADE_PROMISE,
        _CLIENT_CONNECTION_PATH,
        "        self._surplus_bytes = 0\n"
        "        if self.parser.should_upgrade():\n",
        "        self._surplus_bytes = 0\n        if False:\n",
        _UPGRADE_TEST,
    ),
    Mutant(
        "entries of other writers are not used",
        "radishd/process/checked.py",
        "    if not 0 < int(port) <= MAX_PORT:\n",
        "    if False:\n",
        _test("fleet.test_foreign_entries"),
    ),
    Mutant(
        _PAGES_PROMISE,
        "radishstack/process/paged_list.py",
        "        self.revision = min(self.revision or revision, revision)\n",
        "        self.revision = revision\n",
        _PAGES_TEST,
    ),
    Mutant(
        _ENDLESS_PROMISE,
        _CLIENT_PATH,
        "        if self._bodiless_bytes > response_bounds.MAX_HEAD_BYTES:\n",
        "        if False:\n",
        _ENDLESS_TEST,
    ),
    Mutant(
        _ENDLESS_PROMISE,
        _CLIENT_PATH,
        "        if self._has_body:\n            self._bodiless_bytes = 0\n",
        "",
        _ENDLESS_TEST,
    ),
    Mutant(
        _ENDLESS_PROMISE,
        _CLIENT_PATH,
        "        if len(self._incoming) > "
        "response_bounds.MAX_WAITING_RESPONSES:\n",
        "        if False:\n",
        _ENDLESS_TEST,
    ),
    Mutant(
        _ENDLESS_PROMISE,
        _CLIENT_PATH,
        "            if self.received_bytes > "
        "response_bounds.MAX_WHOLE_BYTES:\n",
        "            if False:\n",
        _ENDLESS_TEST,
    ),
    Mutant(
        _ENDLESS_PROMISE,
        _CLIENT_PATH,
        "            if not body.add(piece) or too_large:\n",
        "            if False:\n",
        _ENDLESS_TEST,
    ),
    Mutant(
        _ENDLESS_PROMISE,
        _CLIENT_PATH,
        "    with anyio.move_on_after(timeout_s):\n        body = await",
        "    with anyio.move_on_after(None):\n        body = await",
        _ENDLESS_TEST,
    ),
    Mutant(
        _ENDLESS_PROMISE,
        _BOUNDS_PATH,
        "        return self.count >= MAX_HELD_BYTES\n",
        "        return False\n",
        _ENDLESS_TEST,
    ),
    Mutant(
        _ENDLESS_PROMISE,
        "radishd/process/whole_response.py",
        "                    if not body.add(piece):\n",
        "                    if False:\n",
        _ENDLESS_TEST,
    ),
    Mutant(
        _SILENT_PROMISE,
        "radishstack/process/availability.py",
        "        is_doubtful = silent and not (failed or late)\n",
        "        is_doubtful = False\n",
        _SILENT_TEST,
    ),
    Mutant(
        _SILENT_PROMISE,
        "radishstack/process/availability.py",
        "        is_doubtful = silent and not (failed or late)\n",
        "        is_doubtful = silent\n",
        _SILENT_TEST,
    ),
    Mutant(
        _SILENT_PROMISE,
        _ROSTER_PATH,
        "        return 2 * missing_count > "
        "self._listed_counts.get(service, 0)\n",
        "        return False\n",
        _SILENT_TEST,
    ),
    Mutant(
        _SILENT_PROMISE,
        _ROSTER_PATH,
        "        if is_doubtful and self.in_grace_period(now_ms):\n",
        "        if False:\n",
        _SILENT_TEST,
    ),
    Mutant(
        _SILENT_PROMISE,
        "radishd/connection/hedged_call.py",
        "        with anyio.move_on_after(SETTLE_MS / MS_PER_S):\n"
        "            await original.done.wait()\n",
        "",
        _SILENT_TEST,
    ),
    Mutant(
        _SILENT_PROMISE,
        "radishd/connection/hedged_call.py",
        "                backup.value, is_late=not is_prompt, "
        "is_silent=is_prompt\n",
        "                backup.value, is_silent=True\n",
        _SILENT_TEST,
    ),
    Mutant(
        _SILENT_PROMISE,
        "radishd/process/discovery.py",
        "        if not absence.is_doubtful:\n",
        "        if True:\n",
        _SILENT_TEST,
    ),
    Mutant(
        _SILENT_PROMISE,
        "radishd/process/follow.py",
        "        return max(PROBE_WAIT_MS, self._wait_ms - coalesced_ms)\n",
        "        return self._wait_ms\n",
        _SILENT_TEST,
    ),
    Mutant(
        _SILENT_PROMISE,
        _STORE_PATH,
        "            self._pool.drop_older(self._address, connection.number)\n",
        "            pass\n",
        _SILENT_TEST,
    ),
    Mutant(
        _ATTRIBUTION_PROMISE,
        "radishstack/request/forwarding.py",
        "        self.used_connections.add(connection_number)\n",
        "",
        _SECOND_TEST,
    ),
    Mutant(
        _ATTRIBUTION_PROMISE,
        "radishd/request/forward.py",
        "                excluded=self.pending.sends.used_connections,\n",
        "",
        _SECOND_TEST,
    ),
    Mutant(
        _ATTRIBUTION_PROMISE,
        "radishstack/request/attribution.py",
        "        return Attribution.OWN if is_first_request "
        "else Attribution.UNKNOWN\n",
        "        return Attribution.OWN\n",
        _SECOND_TEST,
    ),
    Mutant(
        _ATTRIBUTION_PROMISE,
        "radishd/platform/front.py",
        "    return _echoed_id(head) not in (None, attempt_id)",
        "    return False",
        _SECOND_TEST,
    ),
    Mutant(
        "descriptors are left for targets",
        "radishd/process/client_bounds.py",
        "        if self.open_count >= self.limits.max_connections:",
        "        if False:",
        _test("fleet.test_connections"),
    ),
    Mutant(
        _BLOCK_PROMISE,
        "radishd/request/pending_request.py",
        "        return (whole, *blocks)",
        "        return (whole,)",
        _BLOCK_TEST,
    ),
    Mutant(
        _BLOCK_PROMISE,
        "radishd/request/pending_request.py",
        "        return (self.fingerprint(), *self.block_fingerprints)",
        "        return (self.fingerprint(),)",
        _BLOCK_TEST,
    ),
    Mutant(
        _BLOCK_PROMISE,
        "radishd/request/forward.py",
        "            if self._targets.is_quarantined():",
        "            if False:",
        _BLOCK_TEST,
    ),
    Mutant(
        _BLOCK_PROMISE,
        "radishd/request/forward.py",
        "            if outcome in _POSSIBLE_CRASH:\n"
        "                # If the request",
        "            if False:\n                # If the request",
        _BLOCK_TEST,
    ),
    Mutant(
        _BLOCK_PROMISE,
        "radishd/request/forward.py",
        "        if answer_began_at_ms is None:\n            return\n"
        "        for fingerprint",
        "        answer_began_at_ms = answer_began_at_ms or clock.boot_ms()\n"
        "        for fingerprint",
        _BLOCK_TEST,
    ),
    Mutant(
        _BLOCK_PROMISE,
        _RULES_PATH,
        "    first_ms = TRIAL_DELAY_MS if was_served else QUARANTINE_MS\n",
        "    first_ms = TRIAL_DELAY_MS\n",
        _EVIDENCE_TEST,
    ),
    Mutant(
        _BLOCK_PROMISE,
        _RULES_PATH,
        "MIN_CRASHES_IF_BLOCK_SERVED = 5\n",
        "MIN_CRASHES_IF_BLOCK_SERVED = 10\n",
        _EVIDENCE_TEST,
    ),
    Mutant(
        _SOUND_BLOCK_PROMISE,
        _RULES_PATH,
        _UNEXPLAINED,
        "    unexplained = record",
        _EVIDENCE_TEST,
    ),
    Mutant(
        _SOUND_BLOCK_PROMISE,
        _RULES_PATH,
        "    return is_narrower or other_count > crash_count\n",
        "    return other_count > crash_count\n",
        _EVIDENCE_TEST,
    ),
    Mutant(
        _SOUND_BLOCK_PROMISE,
        _RULES_PATH,
        "_unserved_ms(unexplained) < MIN_UNSERVED_MS",
        "False",
        _EVIDENCE_TEST,
    ),
    Mutant(
        _SOUND_BLOCK_PROMISE,
        "radishstack/process/suspicion.py",
        "            min(known.began_at_ms, observation.began_at_ms),\n",
        "            max(known.began_at_ms, observation.began_at_ms),\n",
        _EVIDENCE_TEST,
    ),
    Mutant(
        "reports of prompt blocks are bounded",
        "radishstack/process/crash_evidence.py",
        "            and cleared_count < MIN_REPORTED_CRASHES\n",
        "            and False\n",
        _EVIDENCE_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _RESPONSE_END_PATH,
        "    if ending.is_inside_event:\n        return End.INSIDE_EVENT\n",
        "",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _RESPONSE_END_PATH,
        "    if ending.lacks_events:\n        return End.EMPTY\n",
        "",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _RESPONSE_END_PATH,
        "    if closing.target.is_alive:\n        return End.CLOSED\n",
        "    return End.CLOSED\n",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _EVENT_STREAM_PATH,
        "len(self._pending) - MAX_EVENT_END_BYTES + 1",
        "len(self._pending)",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        _EVENT_STREAM_PATH,
        "(?:\\r\\n|\\n|\\r(?!\\n))",
        "(?:\\r\\n|\\n|\\r)",
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        "radishd/request/forward.py",
        "        if not await self.response_ends.check(send, head):\n"
        "            return Outcome.LOST\n"
        "        self._record_success(send)\n",
        "        self._record_success(send)\n",
        _CUT_TEST,
    ),
    Mutant(
        "a cut answer clears no suspect",
        "radishd/request/forward.py",
        _CHECK_STREAM_END + _CLEAR_SUSPECT,
        _CLEAR_SUSPECT + _CHECK_STREAM_END,
        _CUT_TEST,
    ),
    Mutant(
        _CUT_PROMISE,
        "radishd/connection/http_client.py",
        '            self._lost = Lost("closed by this process")\n',
        "            pass\n",
        _test("fleet.test_http_client"),
    ),
    Mutant(
        _STREAMS_PROMISE,
        _STREAMS_PATH,
        '    if any(view.is_mixed for view in known):\n        return ""\n',
        "",
        _STREAMS,
    ),
    Mutant(
        _STREAMS_PROMISE,
        _STREAMS_PATH,
        '        if len(recent) > 1 or "" in recent:\n',
        "        if False:\n",
        _STREAMS,
    ),
    Mutant(
        _STREAMS_PROMISE,
        _STREAMS_PATH,
        "    if len(versions) != 1 or longest_ms < lifetime_ms:\n",
        "    if len(versions) != 1:\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _STREAMS_PROMISE,
        _STREAMS_PATH,
        "        if not is_current:\n            self._since_ms.clear()\n",
        "",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _STREAMS_PROMISE,
        _EXCHANGE_PATH,
        "            self.history.observe(listings, clock.boot_ms(), "
        "is_current=True)\n",
        "",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _STREAMS_PROMISE,
        _ROSTER_PATH,
        '            software_version="",\n',
        "",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _STREAMS_PROMISE,
        "radishd/process/incarnation_check.py",
        "                return report.born_ms == listing.born_ms\n",
        "                return True\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _STREAMS_PROMISE,
        "radishd/request/forward.py",
        "            pending.software_version = send.software_version\n",
        "            pass\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _STREAMS_PROMISE,
        _SELECTION_PATH,
        "        pending.software_version = origin.software_version\n",
        "",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _STREAMS_PROMISE,
        _SELECTION_PATH,
        "        if origin.service not in services:\n",
        "        if False:\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _RESUME_PROMISE,
        "radishd/request/forward.py",
        "        elif pending.route.resumable and send.software_version:\n",
        "        elif False:\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _RESUME_PROMISE,
        _EXCHANGE_PATH,
        "                    stream_origins.sidecar_holders(stream_id, ring)\n",
        "                    ()\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _RESUME_PROMISE,
        _EXCHANGE_PATH,
        "        addresses += sidecars\n",
        "",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _RESUME_PROMISE,
        "radishd/sidecar.py",
        "            self.stream_origins.handle(datagram, sender)\n",
        "            pass\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _STREAMS_PROMISE,
        _EXCHANGE_PATH,
        "            lifetime_ms = stream_origins.MAX_RETENTION_MS\n",
        "            lifetime_ms = 17_000\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _STREAMS_PROMISE,
        _STREAMS_PATH,
        "        self._since_ms.clear()\n\n    def view(",
        "        pass\n\n    def view(",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _RESUME_PROMISE,
        "radishstack/process/hash_ring.py",
        "        first = bisect.bisect_left(self.points, key)\n",
        "        first = 0\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _RESUME_PROMISE,
        _STREAMS_PATH,
        "            if answer.origin is not None:\n",
        "            if False:\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _RESUME_PROMISE,
        _SELECTION_PATH,
        "            if len(replaceable) < len(usable):\n",
        "            if False:\n",
        _SOFTWARE_TEST,
    ),
    Mutant(
        _RESTORED_PROMISE,
        _ROSTER_PATH,
        "        older = listing.changed_position < known.changed_position\n",
        "        older = listing.changed_at < known.changed_at\n",
        _test("fleet.test_store_restored"),
    ),
    Mutant(
        _RESTORED_PROMISE,
        _ROSTER_PATH,
        "            known.leaving and listing.may_predate(known)\n",
        "            False\n",
        _test("fleet.test_store_restored"),
    ),
    Mutant(
        _RESTORED_PROMISE,
        _ROSTER_PATH,
        "            if self._withhold_if_removed(listing):\n",
        "            if False:\n",
        _test("fleet.test_store_restored"),
    ),
    Mutant(
        _RESTORED_PROMISE,
        "radishd/process/discovery.py",
        "        self._roster.begin_grace(clock.boot_ms())\n",
        "",
        _test("fleet.test_store_restored"),
    ),
    Mutant(
        _RESTORED_PROMISE,
        "radishd/process/peer_objects.py",
        "            _record(name, raw, positions[kind].era)\n",
        "            _record(name, raw, 0)\n",
        _test("fleet.test_store_restored"),
    ),
    Mutant(
        _RESTORED_PROMISE,
        "radishd/platform/store.py",
        "        is_restored = 0 < self.era < era\n",
        "        is_restored = False\n",
        _test("fleet.test_store_restored"),
    ),
    Mutant(
        _RESTORED_PROMISE,
        "radishd/platform/store.py",
        "        if era < self.era:\n",
        "        if False:\n",
        _test("fleet.test_store_restored"),
    ),
    Mutant(
        _RESTORED_PROMISE,
        "radishd/process/crash_gossip.py",
        "            if self._rank(fingerprint) < REWRITER_COUNT\n",
        "            if False\n",
        _test("fleet.test_store_restored"),
    ),
    Mutant(
        _RATE_LIMITS_PROMISE,
        _RATE_LIMITS_PATH,
        "    if rank >= selected_count:\n        return None\n",
        "",
        RATE_LIMITS,
    ),
    Mutant(
        _RATE_LIMITS_PROMISE,
        _RATE_LIMITS_PATH,
        "            limit.level -= 1\n",
        "            limit.level -= 0.5\n",
        RATE_LIMITS,
    ),
    Mutant(
        _RATE_LIMITS_PROMISE,
        _RATE_LIMITS_PATH,
        "sender_count * known_count // gateway_count",
        "max(1, sender_count * known_count // gateway_count)",
        _test("fleet.test_rate_limits"),
    ),
    Mutant(
        _RATE_LIMITS_PROMISE,
        _RATE_LIMITS_PATH,
        "if known is None or as_of_ms <= known.advertised_at_ms:",
        "if known is None:",
        _test("fleet.test_rate_limits"),
    ),
    Mutant(
        _RATE_LIMITS_PROMISE,
        _RATE_LIMITS_PATH,
        "        if now_ms < limit.probe_at_ms + PROBE_WINDOW_MS:\n",
        "        if now_ms >= limit.probe_at_ms:\n",
        _test("fleet.test_rate_limits"),
    ),
    Mutant(
        _RATE_LIMITS_PROMISE,
        "radishd/process/rate_limits.py",
        "            self._wake.set()\n",
        "            pass\n",
        _test("fleet.test_rate_limits"),
    ),
    Mutant(
        _RATE_LIMITS_PROMISE,
        _SELECTION_PATH,
        "            or limits.may_send(member, now_ms)\n",
        "            or True\n",
        _test("fleet.test_rate_limits"),
    ),
    Mutant(
        "a usage cap holds over all gateways",
        "radishstack/process/usage_books.py",
        "        state.level -= amount\n",
        "",
        USAGE,
    ),
    Mutant(
        "a usage cap holds over all gateways",
        "radishstack/process/usage_books.py",
        "Bucket(whole.depth / count, whole.per_ms / count)",
        "Bucket(whole.depth, whole.per_ms / count)",
        USAGE,
    ),
    Mutant(
        "a usage cap holds over all gateways",
        "radishstack/process/usage_books.py",
        "            if one.until_ms > now_ms and one.remaining > 0\n",
        "            if one.remaining > 0\n",
        _test("fleet.test_usage_caps"),
    ),
    Mutant(
        "a usage cap holds over all gateways",
        "radishstack/process/usage_books.py",
        "            until_ms = pending.at_ms + usage_loan.LOAN_USABLE_MS\n",
        "            until_ms = now_ms + usage_loan.LOAN_USABLE_MS\n",
        _test("fleet.test_usage_caps"),
    ),
    Mutant(
        "a usage cap holds over all gateways",
        "radishstack/process/usage_books.py",
        "            since_ms = self._started_ms\n",
        "            since_ms = 0\n",
        _test("fleet.test_usage_caps"),
    ),
    Mutant(
        "a usage cap holds over all gateways",
        "radishstack/process/usage_books.py",
        "            if is_full and now_ms - state.used_at_ms",
        "            if now_ms - state.used_at_ms",
        _test("fleet.test_usage_caps"),
    ),
    Mutant(
        "a usage cap holds over all gateways",
        "radishstack/process/sliding_sum.py",
        "now_ms - self._window_ms - self._step_ms\n",
        "now_ms - self._window_ms\n",
        _test("fleet.test_usage_caps"),
    ),
    Mutant(
        "what did not run is given back",
        "radishd/request/forward.py",
        "            gateway.usage_caps.release(self._reservation)\n",
        "            pass\n",
        _test("fleet.test_usage_caps"),
    ),
    Mutant(
        "a key stays here",
        "radishd/platform/front.py",
        "        _AUTHORIZATION,\n        _ACCOUNT,\n",
        "        _ACCOUNT,\n",
        _test("fleet.test_accounts"),
    ),
    Mutant(
        "a key stays here",
        "radishd/platform/entries.py",
        "        spec = wire.without_secrets(spec)\n",
        "        pass\n",
        _test("fleet.test_accounts"),
    ),
    Mutant(
        "only a known key is served",
        _SELECTION_PATH,
        "            if failure is not None:\n"
        "                return failure\n"
        "        return self._quarantined()",
        "            pass\n        return self._quarantined()",
        _test("fleet.test_accounts"),
    ),
    Mutant(
        "only a known key is served",
        _CLIENT_CONNECTION_PATH,
        "        if not self._headers_complete:\n",
        "        if True:\n",
        _test("fleet.test_accounts"),
    ),
    Mutant(
        "only a known key is served",
        "radishstack/version/client_account.py",
        "        del owners[digest]\n",
        "        pass\n",
        _test("fleet.test_accounts"),
    ),
    Mutant(
        "at most once",
        "radishstack/process/ledger.py",
        "            if now_ms < self.quarantine_until_ms:\n"
        "                return Decision(Verdict.QUARANTINED)",
        "            if False:\n"
        "                return Decision(Verdict.QUARANTINED)",
    ),
    Mutant(
        "at most once",
        "radishstack/target_admission.py",
        "    return tuple(sorted(homes))",
        "    return ()",
    ),
    Mutant(
        "at most once",
        "radishstack/process/ledger.py",
        "            if record.state in (KeyState.STARTED, KeyState.ENDED):",
        "            if record.state in (KeyState.STARTED,):",
    ),
    Mutant(
        "not run is true",
        "radishstack/request/exchange.py",
        "        if self.may_have_run and",
        "        if False and",
    ),
    Mutant(
        "not run is true",
        "radishstack/process/ledger.py",
        "            if accepted_at_ms <= record.at_ms:",
        "            if False:",
        _test("test_target"),
    ),
    Mutant(
        "not run is true",
        "radishstack/request/exchange.py",
        '        result.OUTCOME_UNKNOWN,\n        f"{exchange.target} was lost',
        "        result.TARGET_UNREACHABLE,\n"
        '        f"{exchange.target} was lost',
    ),
    Mutant(
        "not run is true",
        "radishstack/connection/clock_offset.py",
        "        self._window_min_ms = min(self._window_min_ms, difference_ms)",
        "        self._window_min_ms = max(self._window_min_ms, difference_ms)",
        _test("test_clock_offset"),
    ),
    Mutant(
        "right adapter",
        "radishstack/target.py",
        "    if running is None or running.attempt.adapter == event.adapter:",
        "    if running is None or running.attempt.adapter != event.adapter:",
        _test("test_path"),
    ),
    Mutant(
        "right adapter",
        "radishstack/target_schedule.py",
        "    return adapter_state is residency_lib.AdapterState.RESIDENT",
        "    return adapter_state is not residency_lib.AdapterState.ABSENT",
    ),
    Mutant(
        "never unloaded while serving",
        "radishstack/target_state.py",
        "        and slot.grants == 0",
        "        and slot.grants >= 0",
    ),
    Mutant(
        "never unloaded while serving",
        "radishstack/process/residency.py",
        "        if grant.incarnation != self.incarnation:",
        "        if False:",
        _test("test_target"),
    ),
    Mutant(
        "whole answer",
        "radishstack/request/sequence.py",
        "            return Verdict.SKIP",
        "            return Verdict.TAKE",
    ),
    Mutant(
        "whole answer",
        "radishstack/request/sequence.py",
        "        return total == self.expected",
        "        return True",
    ),
    Mutant(
        "whole answer",
        "radishstack/request/run.py",
        "            yield number, self.chunks[number - self.first_held]",
        "            yield number, self.chunks[0]",
    ),
    Mutant(
        "configuration never reverts",
        "radishstack/version/holder.py",
        "        if held.version <= self._held.version:\n"
        "            return False",
        "        if held.version == self._held.version:\n"
        "            return False",
        PUBLICATION,
    ),
    Mutant(
        "configuration never reverts",
        "radishstack/version/publish.py",
        "        if commit.write_id == proposal.write_id:",
        "        if commit.write_id is proposal:",
        PUBLICATION,
    ),
    Mutant(
        "configuration never reverts",
        "radishstack/version/holder.py",
        "        first = held.version - root.snapshot_version",
        "        first = 0",
        PUBLICATION,
    ),
    Mutant(
        "leaving",
        "radishstack/target_admission.py",
        "    if target.leaving:\n        return result.Failure(",
        "    if False:\n        return result.Failure(",
    ),
    Mutant(
        "leaving",
        "radishstack/target.py",
        "    target.leaving = True",
        "    target.leaving = False",
    ),
    Mutant(
        "graceful shutdown",
        "radishd/target.py",
        "            while not self.machine.idle or self._has_unread_runs():",
        "            while False:",
        _test("test_shutdown"),
    ),
    Mutant(
        "graceful shutdown",
        "radishd/entry.py",
        "            while self.in_flight:",
        "            while False:",
        _test("test_shutdown"),
    ),
    Mutant(
        "never sent again after a possible run",
        "radishstack/request/forwarding.py",
        "        if self.may_have_run and not self.route.repeatable:",
        "        if False:",
        _test("fleet.test_forwarding"),
    ),
    Mutant(
        "never sent again after a possible run",
        "radishstack/request/forwarding.py",
        "{Outcome.LOST, Outcome.SPOILED, Outcome.SILENT, Outcome.FAILED}",
        "{Outcome.SPOILED, Outcome.SILENT, Outcome.FAILED}",
        _test("fleet.test_forwarding"),
    ),
    Mutant(
        "no more targets than the route allows",
        "radishstack/request/forwarding.py",
        "        return self.may_use_another or instance in self.reached",
        "        return True",
        _test("fleet.test_forwarding_decisions"),
    ),
    Mutant(
        "each event once",
        "radishstack/request/event_stream.py",
        "            if _magnitude(number) <= _magnitude(self.last_id):",
        "            if False:",
        _test("fleet.test_forwarding_decisions"),
    ),
    Mutant(
        "each event once",
        "radishstack/request/event_stream.py",
        '        self._pending = b""\n        self._searched_bytes = 0\n\n'
        "    def feed",
        "        pass\n\n    def feed",
        _test("fleet.test_forwarding_decisions"),
    ),
    Mutant(
        "an engine is never overfilled",
        "radishstack/process/adapter_keeper.py",
        "        return held + len(report.in_transit)",
        "        return held",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "an engine is never overfilled",
        "radishstack/process/adapter_keeper.py",
        "        report, self.report = self.report, None\n",
        "        report = self.report\n",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "an adapter in use is not unloaded",
        "radishstack/process/adapter_keeper.py",
        "        if self.in_flight(adapter, now_ms):\n            return False",
        "        if False:\n            return False",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "an old version gives way",
        "radishstack/process/placement.py",
        "self.residents(member, now_ms).get(adapter, -1) >= min_version",
        "adapter in self.residents(member, now_ms)",
        _test("fleet.test_placement"),
    ),
    Mutant(
        "a table never goes back",
        "radishstack/version/route_table.py",
        "        if table.version <= self.table.version:",
        "        if False:",
        _test("fleet.test_fleet_faults"),
    ),
    Mutant(
        "a late answer goes to nobody",
        "radishd/connection/http_client.py",
        "        if not self._busy:",
        "        if False:",
        _test("fleet.test_http_client"),
    ),
    Mutant(
        "parts of the retry budget add up",
        "radishstack/process/shared_budget.py",
        "        return len(self._spent) + 1 <= allowed",
        "        return True",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "no load for nobody",
        "radishstack/process/adapter_keeper.py",
        "self._requests[demand.gateway] = (now_ms, demand.wants)",
        "self._requests.setdefault(demand.gateway, (now_ms, demand.wants))",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "no load for nobody",
        "radishstack/process/demand_table.py",
        "self.busy or bool(self._sent) or self._reported_any",
        "self.busy or bool(self._sent)",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "the most waited for first, none for ever last",
        "radishstack/process/adapter_keeper.py",
        "        return at_ms - WAITER_CREDIT_MS * self.waiting",
        "        return at_ms",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "the most waited for first, none for ever last",
        "radishstack/process/adapter_keeper.py",
        "        return at_ms - WAITER_CREDIT_MS * self.waiting",
        "        return -self.waiting",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "a wait in vain is refused at once",
        "radishstack/process/adapter_keeper.py",
        "        self._gap_ms += GAP_WEIGHT * (gap_ms - self._gap_ms)",
        "        del gap_ms",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "a wait in vain is refused at once",
        "radishstack/request/waiting.py",
        "        if choice.full_for_ms and not self._begun:",
        "        if False:",
        _test("fleet.test_waiting"),
    ),
    Mutant(
        "a stream that has begun is never refused",
        "radishstack/request/waiting.py",
        "        if choice.full_for_ms and not self._begun:",
        "        if choice.full_for_ms:",
        _test("fleet.test_waiting"),
    ),
    Mutant(
        "late loads yield",
        "radishstack/process/adapter_keeper.py",
        "        return self.last_due_at_ms < now_ms + load_ms",
        "        return False",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "late loads yield",
        "radishstack/process/adapter_keeper.py",
        "            late_gap_ms = max(gap_ms, passed_over_ms / 2)",
        "            late_gap_ms = gap_ms",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "an empty engine is not slow",
        "radishstack/process/adapter_keeper.py",
        "        if self._missing_base(self.report) is not None:",
        "        if False:",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "an old version gives way",
        "radishstack/process/placement.py",
        "return self.before.oldest_served(now_ms) if self.before else 0",
        "return 0",
        _test("fleet.test_placement"),
    ),
    Mutant(
        "no fetch for nothing",
        "radishstack/process/placement.py",
        "            if home is not None and self._is_degraded(home, now_ms):",
        "            if False:",
        _test("fleet.test_placement"),
    ),
    Mutant(
        "a pause is not the end",
        "radishstack/request/silence.py",
        "    if now_ms - health.progressed_at_ms < stall_ms:",
        "    if False:",
        _test("fleet.test_silence"),
    ),
    Mutant(
        "a pause is not the end",
        "radishstack/request/forwarding.py",
        "        if begun:",
        "        if False:",
        _test("fleet.test_forwarding_path"),
    ),
    Mutant(
        "a stream that has begun is never refused",
        "radishstack/request/waiting.py",
        "        if choice.load is None and not self._begun:",
        "        if choice.load is None:",
        _test("fleet.test_waiting"),
    ),
    Mutant(
        "a lapse is no departure, a departure no lapse",
        "radishstack/process/roster.py",
        "            and not written_since\n",
        "",
        _test("fleet.test_store_outage"),
    ),
    Mutant(
        "a lapse is no departure, a departure no lapse",
        "radishstack/process/roster.py",
        "        if away_ms < self._min_ttl_ms:",
        "        if False:",
        _test("fleet.test_store_outage"),
    ),
    Mutant(
        "a lapse is no departure, a departure no lapse",
        _STORE_PATH,
        "            clock.boot_ms(), late=answer.is_late, "
        "silent=answer.is_silent\n",
        "            clock.boot_ms(), late=False, silent=answer.is_silent\n",
        _test("fleet.test_store_outage"),
    ),
    Mutant(
        "the store's return is noticed by all watches",
        "radishd/process/discovery.py",
        "        if not absence.failed or absence.away_ms < RENEW_AFTER_MS:",
        "        if True:",
        _test("fleet.test_store_outage"),
    ),
    Mutant(
        "old news never wins",
        "radishd/process/discovery.py",
        "            if record.position > known_position:",
        "            if True:",
        _test("fleet.test_store_outage"),
    ),
    Mutant(
        "old news never wins",
        "radishd/process/discovery.py",
        "        fresh = self.has_current_targets and not self._roster"
        ".in_grace_period(\n"
        "            clock.boot_ms()\n"
        "        )\n",
        "        fresh = self.has_current_targets\n",
        _test("fleet.test_store_outage"),
    ),
    Mutant(
        "old news never wins",
        "radishstack/process/roster.py",
        "        older = listing.changed_position < known.changed_position\n",
        "        older = False\n",
        _test("fleet.test_starts"),
    ),
    Mutant(
        "old news never wins",
        "radishstack/process/roster.py",
        "        if former_born_ms != member.listing.born_ms:",
        "        if False:",
        _test("fleet.test_starts"),
    ),
    Mutant(
        "no start is gone for good",
        "radishstack/process/roster.py",
        "        if is_other:\n",
        "        if False:\n",
        _test("fleet.test_starts"),
    ),
    Mutant(
        "no start is gone for good",
        "radishstack/process/roster.py",
        "            ended = (known.born_ms,) if member.listed else ()",
        "            ended = (known.born_ms,)",
        _test("fleet.test_starts"),
    ),
    Mutant(
        "nothing of a former start is kept",
        "radishstack/process/adapter_keeper.py",
        "            self._in_flight.clear()",
        "            pass",
        _test("fleet.test_starts"),
    ),
    Mutant(
        "nothing of a former start is kept",
        "radishstack/process/adapter_keeper.py",
        "        if former_born_ms:\n",
        "        if False:\n",
        _test("fleet.test_starts"),
    ),
    Mutant(
        "nothing of a former start is kept",
        "radishstack/process/placement.py",
        "        if before is None or before.incarnation_id.is_other(\n"
        "            view.incarnation_id\n"
        "        ):",
        "        if before is None or before.instance != view.instance:",
        _test("fleet.test_starts"),
    ),
    Mutant(
        "nothing of a former start is kept",
        "radishstack/process/placement.py",
        "        if incarnation.start_times_differ("
        "view.born_ms, listing.born_ms):",
        "        if False:",
        _test("fleet.test_starts"),
    ),
    Mutant(
        "foreign entries are not used",
        "radishd/platform/wire.py",
        '    state: Literal["ready", "draining"]',
        "    state: str",
        _test("fleet.test_foreign_entries"),
    ),
    Mutant(
        "foreign entries are not used",
        "radishd/process/discovery.py",
        "        if kind == wire.KIND_TARGETS and "
        "self._roster.drop(record.name):",
        "        if False:",
        _test("fleet.test_foreign_entries"),
    ),
    Mutant(
        "one bad entry does not lose the list",
        "radishd/platform/entries.py",
        '    metadata = raw.get("metadata") if isinstance(raw, dict) '
        "else None\n",
        '    metadata = raw["metadata"]\n',
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/process/untrusted_json.py",
        '            if isolated_levels and opening == "{":\n',
        "            if False:\n",
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/process/untrusted_json.py",
        "    for _ in range(MAX_DEPTH + 1):\n        deeper",
        "    for _ in range(10**6):\n        deeper",
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/process/untrusted_json.py",
        "                    if member not in INTEGERS:\n",
        "                    if False:\n",
        _UNTRUSTED_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/process/untrusted_json.py",
        "            elif brackets[0] != '\"':\n",
        "            else:\n",
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/platform/entries.py",
        '    return urllib.parse.quote(name, safe="", '
        'errors="surrogatepass")\n',
        "    return name\n",
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/platform/store.py",
        "                [entries.name(raw) for raw in items],\n",
        "                [one.name for raw in items if (one := entries.record("
        "raw, 1)) and one.spec and not hasattr(one.spec, 'reason')],\n",
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/platform/store.py",
        "            if body.code is result.STORE_CORRUPT:\n",
        "            if False:\n",
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/process/untrusted_json.py",
        "                    size += len(member)\n",
        "                    pass\n",
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/process/discovery.py",
        "        if not keep:\n",
        "        if False:\n",
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/platform/wire.py",
        "    if not _TARGET_NAME.fullmatch(name):\n",
        "    if False:\n",
        _POISON_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/process/peer_objects.py",
        "            if is_valid and not untrusted_json.find_problem(spec):\n",
        "            if is_valid:\n",
        _UNTRUSTED_TEST,
    ),
    Mutant(
        _POISON_PROMISE,
        "radishd/process/checked.py",
        "MAX_VERSION = 2**63 - 1\n",
        "MAX_VERSION = 2**70\n",
        _UNTRUSTED_TEST,
    ),
    Mutant(
        _STOP_PROMISE,
        "radishd/request/connection_draining.py",
        "            scope.deadline = min(scope.deadline, due_s)\n",
        "            pass\n",
        _STOP_TEST,
    ),
    Mutant(
        _STOP_PROMISE,
        "radishstack/process/graceful_shutdown.py",
        "        return is_listed or deadline_at_ms <= "
        "self.answers_due_at_ms\n",
        "        return True\n",
        _STOP_TEST,
    ),
    Mutant(
        _STOP_PROMISE,
        "radishstack/process/graceful_shutdown.py",
        "        return is_listed or deadline_at_ms <= "
        "self.answers_due_at_ms\n",
        "        return is_listed\n",
        _STOP_TEST,
    ),
    Mutant(
        _STOP_PROMISE,
        "radishd/process/client_connection.py",
        "        if self._unparsed and not self.transport.is_closing():\n",
        "        if self._unparsed:\n",
        _test("clients.test_parser_comparison"),
    ),
    Mutant(
        _STOP_PROMISE,
        "radishd/request/response_reader.py",
        "                and not self._gateway.draining\n",
        "",
        _test("fleet.test_forwarding_path"),
    ),
    Mutant(
        _MISSED_PROMISE,
        "radishd/process/change_gossip.py",
        "                self._followers[kind].renew()\n",
        "                pass\n",
        _MISSED_TEST,
    ),
    Mutant(
        _MISSED_PROMISE,
        "radishstack/process/change_lag.py",
        "                and claim.read_count < MAX_READS\n",
        "",
        _MISSED_TEST,
    ),
    Mutant(
        _MISSED_PROMISE,
        "radishstack/process/change_lag.py",
        "        (one for one in positions if one <= read_position),",
        "        positions,",
        _MISSED_TEST,
    ),
    Mutant(
        "a status that is none is no answer",
        _BOUNDS_PATH,
        "    if status not in STATUSES:\n",
        "    if False:\n",
        _test("fleet.test_early_responses"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/audience.py",
        "        if now_ms - one.used_at_ms <= ACTIVE_MS:",
        "        if False:",
        _test("fleet.test_audience"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/audience.py",
        "            if not self._gateways[address].waits.isdisjoint(held)",
        "            if False",
        _test("fleet.test_audience"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/audience.py",
        "            if now_ms - known.used_at_ms > ACTIVE_MS:",
        "            if False:",
        _test("fleet.test_audience"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/audience.py",
        "        self._name_offset = first + NAMES_PER_UPDATE",
        "        self._name_offset = first",
        _test("fleet.test_audience"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/audience.py",
        "            if now_ms - one.received_at_ms <= GATEWAY_TTL_MS",
        "            if True",
        _test("fleet.test_audience"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/placement.py",
        "        if self.notified_at_ms"
        " and now_ms - self.notified_at_ms > STALE_MS:",
        "        if False:",
        _test("fleet.test_placement"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/placement.py",
        "        promised_ms = MISSED_UPDATES * self.next_ms + STALE_MARGIN_MS",
        "        promised_ms = 0",
        _test("fleet.test_placement"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/placement.py",
        "        for adapter in (*view.recent, *view.residents):",
        "        for adapter in view.residents:",
        _test("fleet.test_placement"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/placement.py",
        "            if announced is not None and announced.version > held:",
        "            if False:",
        _test("fleet.test_fleet_words"),
    ),
    Mutant(
        "control follows use",
        "radishstack/process/adapter_keeper.py",
        "        return freed and self._waits_for_slot",
        "        return False",
        _test("fleet.test_keeper"),
    ),
    Mutant(
        "control follows use",
        "radishd/peers.py",
        "        return max(len(self.addresses) + 1, self._count)",
        "        return len(self.addresses) + 1",
        _test("fleet.test_fleet_words"),
    ),
    Mutant(
        "control follows use",
        "radishd/process/notifier.py",
        "        for event in self._waiting.get(adapter, ()):",
        "        for event in ():",
        _test("fleet.test_load_requests"),
    ),
    Mutant(
        "what ends targets is refused",
        "radishstack/process/quarantine_rules.py",
        "MIN_CRASHES = 3\n",
        "MIN_CRASHES = 30\n",
        _test("fleet.test_crash"),
    ),
    Mutant(
        "what ends targets is refused",
        _SELECTION_PATH,
        "        if quarantine is None:\n            return None\n",
        "        if True:\n            return None\n",
        _test("fleet.test_crashes"),
    ),
    Mutant(
        "what ends targets is refused",
        "radishd/process/crash_gossip.py",
        "        self._report_soon(records)\n",
        "",
        _test("fleet.test_crashes"),
    ),
    Mutant(
        "what ends targets is refused",
        "radishd/gateway.py",
        "        self.kept_crashes.keep(record)\n",
        "        del record\n",
        _test("fleet.test_crashes"),
    ),
    Mutant(
        "nobody else is refused",
        "radishstack/process/quarantine_rules.py",
        "MIN_CRASHES = 3\n",
        "MIN_CRASHES = 1\n",
        _test("fleet.test_crash_evidence"),
    ),
    Mutant(
        "nobody else is refused",
        "radishstack/process/suspicion.py",
        "        if later or observation.began_at_ms >= at_ms - REPORT_LAG_MS:",
        "        if True:",
        _test("fleet.test_crash_evidence"),
    ),
    Mutant(
        "nobody else is refused",
        "radishstack/process/suspicion.py",
        "            if observation.ended_at_ms > cleared_at_ms\n",
        "",
        _test("fleet.test_crash_evidence"),
    ),
    Mutant(
        "nobody else is refused",
        "radishstack/process/quarantine_rules.py",
        "AMBIGUOUS_EXTRA_CRASHES = 1\n",
        "AMBIGUOUS_EXTRA_CRASHES = 0\n",
        _test("fleet.test_crash_evidence"),
    ),
    Mutant(
        "nobody else is refused",
        "radishstack/process/crash_evidence.py",
        "        missed = report.observations[0].ended_at_ms <= cleared_at_ms",
        "        missed = report.observations[-1].ended_at_ms <= cleared_at_ms",
        _test("fleet.test_crash_evidence"),
    ),
    Mutant(
        "nobody else is refused",
        "radishd/process/crash_gossip.py",
        "                await self._send_records((address,), missed)\n",
        "                del address, missed\n",
        _test("fleet.test_crashes"),
    ),
    Mutant(
        "nobody else is refused",
        "radishd/target_evidence.py",
        "        if self._roster.is_active(member, clock.boot_ms()):",
        "        if True:",
        _test("fleet.test_crashes"),
    ),
    Mutant(
        "nobody else is refused",
        "radishd/connection/crash_watch.py",
        "        ended = not observation.state.is_alive",
        "        ended = True",
        _test("fleet.test_crashes"),
    ),
    Mutant(
        "nobody else is refused",
        "radishstack/process/quarantine_rules.py",
        "        extra = MIN_CRASHES_IF_SERVED - MIN_CRASHES",
        "        pass",
        _test("fleet.test_crash_evidence"),
    ),
    Mutant(
        "evidence of crashes is bounded",
        "radishstack/process/crash_evidence.py",
        "        if len(successes) > MAX_SUCCESSES:",
        "        if False:",
        _test("fleet.test_crash_evidence"),
    ),
    Mutant(
        "a quarantine ends with one that is tried",
        "radishstack/process/quarantine_rules.py",
        "    if len(alone) < MIN_CRASHES_ALONE:",
        "    if False:",
        _test("fleet.test_crash_evidence"),
    ),
    Mutant(
        "a quarantine ends with one that is tried",
        "radishstack/process/crash_evidence.py",
        "        turn_ms = rank * quarantine_rules.TRIAL_DELAY_MS\n",
        "        turn_ms = 0\n",
        _test("fleet.test_crashes"),
    ),
    Mutant(
        "a quarantine ends with one that is tried",
        "radishd/process/crash_gossip.py",
        "        self._trials.add(fingerprint)\n",
        "",
        _test("fleet.test_crashes"),
    ),
    Mutant(
        "a quarantine ends with one that is tried",
        "radishd/request/callers_port.py",
        "                gateway.crash_gossip.end_trial(fingerprint)",
        "                pass",
        _test("fleet.test_crashes"),
    ),
    Mutant(
        "evidence of crashes is bounded",
        "radishstack/process/crash_evidence.py",
        "        if len(self._records) < MAX_RECORDS:",
        "        if True:",
        _test("fleet.test_crash_evidence"),
    ),
    Mutant(
        "a target's own word counts",
        "radishstack/process/roster.py",
        "            and not self.is_draining(member.listing.incarnation_id)\n",
        "",
        _test("fleet.test_target_news"),
    ),
    Mutant(
        "a target's own word counts",
        "radishstack/process/roster.py",
        "            if member.health.backoff_until_ms <= now_ms\n",
        "",
        _test("fleet.test_target_news"),
    ),
    Mutant(
        "a target's own word counts",
        "radishd/platform/front.py",
        "    return actual is not None and actual.decode(",
        "    return False and actual.decode(",
        _test("fleet.test_target_news"),
    ),
    Mutant(
        "a target's own word counts",
        "radishd/platform/engine.py",
        "        leaving = front.is_leaving(answer.head)",
        "        leaving = False",
        _test("fleet.test_target_news"),
    ),
)


def run_mutant(mutant: Mutant) -> tuple[bool, str]:
    """Runs a mutant's proof against a scratch copy.

    Args:
        mutant: The mutant.

    Returns:
        Whether the proof failed, and its last error or output line.
    """
    with tempfile.TemporaryDirectory() as folder:
        for package in PACKAGES:
            shutil.copytree(
                ROOT / "packages" / package / "src" / package,
                pathlib.Path(folder) / package,
            )
        path = pathlib.Path(folder) / mutant.path
        text = path.read_text(encoding="utf-8")
        if text.count(mutant.old) != 1:
            raise click.ClickException(
                f"{mutant.path}: {mutant.old!r} occurs {text.count(mutant.old)}"
                " times"
            )
        path.write_text(text.replace(mutant.old, mutant.new), encoding="utf-8")
        process = subprocess.run(
            [sys.executable, *mutant.proof],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": folder},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    lines = [line for line in process.stdout.splitlines() if line.strip()]
    errors = [
        line
        for line in process.stderr.splitlines()
        if "Error" in line and not line.startswith(" ")
    ]
    return process.returncode != 0, (errors or lines or ["?"])[-1]


@click.command()
@click.option("--only", default="", help="Part of a promise or a path.")
@click.option("--jobs", default=4, show_default=True)
def main(only: str, jobs: int) -> None:
    """Runs every mutant's proof and prints which mutants were caught."""
    chosen = [m for m in MUTANTS if only in m.promise or only in m.path]
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(run_mutant, chosen))
    for mutant, (caught, line) in zip(chosen, results, strict=True):
        label = "caught" if caught else "MISSED"
        change = mutant.new.strip().partition("\n")[0]
        print(f"{label}  {mutant.promise}: {mutant.path}: {change}")
        print(f"        {line[:150]}")
    caught_count = sum(caught for caught, _ in results)
    print(f"caught {caught_count}, missed {len(chosen) - caught_count}")
    sys.exit(0 if caught_count == len(chosen) else 1)


if __name__ == "__main__":
    main()
