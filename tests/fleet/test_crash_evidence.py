"""Detection of requests that crash targets, and of harmless ones."""

from radishd.process import crash_record
from radishstack import result
from radishstack.connection import fleet_wire
from radishstack.process import crash as crash_lib
from radishstack.process import crash_evidence
from radishstack.process import incarnation
from radishstack.process import quarantine_rules
from radishstack.process import suspicion
from radishstack.request import fingerprint as fingerprint_lib

HARMFUL = "50" * fingerprint_lib.SIZE_BYTES
OTHER = "07" * fingerprint_lib.SIZE_BYTES
RUN_MS = 350


def _crash(
    number: int, at_ms: int, *fingerprints: str, run_ms: int = RUN_MS
) -> crash_lib.Crash:
    suspects = tuple(
        crash_lib.Suspect(one, at_ms - run_ms) for one in fingerprints
    )
    return crash_lib.Crash(
        incarnation.IncarnationId(f"i{number}", 1), at_ms, suspects
    )


def _evidence(*crashes: crash_lib.Crash) -> crash_evidence.CrashEvidence:
    evidence = crash_evidence.CrashEvidence()
    for crash in crashes:
        evidence.crashed(crash)
    return evidence


def test_only_the_request_at_each_crash_is_quarantined() -> None:
    """Guards against quarantining requests that ran beside the harmful one.

    One request was running at crashes at 8.727, 9.549 and 9.980 s. Each engine
    ran up to eleven other requests, most of them at one crash only.
    """
    neighbours = [f"{number:032x}" for number in range(30)]
    evidence = _evidence(
        _crash(0, 8_727, HARMFUL, *neighbours[:7]),
        _crash(1, 9_549, HARMFUL, *neighbours[7:11]),
    )
    assert evidence.quarantine(HARMFUL, 9_600) is None
    evidence.crashed(_crash(2, 9_980, HARMFUL, *neighbours[10:20]))
    quarantine = evidence.quarantine(HARMFUL, 10_000)
    assert quarantine is not None and quarantine.moments == 3
    for fingerprint in neighbours:
        assert evidence.quarantine(fingerprint, 10_000) is None


def test_a_power_cut_quarantines_no_request() -> None:
    """Guards against counting a rack failure as one crash per engine.

    The engines crash within 250 ms, and all requests were sent before. Counted
    separately, any request that runs on three engines at once would be
    quarantined at the whole site.
    """
    evidence = crash_evidence.CrashEvidence()
    for number in range(12):
        run_ms = 100 + 17 * number
        at_ms = 5_000 + 20 * number
        evidence.crashed(_crash(number, at_ms, OTHER, run_ms=run_ms + at_ms))
    assert evidence.quarantine(OTHER, 5_300) is None


def test_a_power_cut_in_two_waves_quarantines_no_request() -> None:
    """Guards against counting two rack failures as one crash per engine.

    A popular request runs on all engines of both racks, is resent after the
    first failure, and does not succeed in between. These are two separate
    crashes, regardless of the number of engines.
    """
    evidence = crash_evidence.CrashEvidence()
    for wave in range(2):
        for number in range(6):
            at_ms = 5_000 + 1_000 * wave + 30 * number
            evidence.crashed(_crash(10 * wave + number, at_ms, OTHER))
    assert evidence.quarantine(OTHER, 6_300) is None


def test_a_popular_request_that_succeeds_elsewhere_is_cleared() -> None:
    """Guards against quarantining a popular request that ran at each crash.

    Many callers send the same body, and five engines crash for other reasons.
    Equal requests succeed between the crashes, which a harmful one never does.
    """
    evidence = crash_evidence.CrashEvidence()
    for number in range(5):
        at_ms = 5_000 * (number + 1)
        evidence.crashed(_crash(number, at_ms, OTHER))
        assert evidence.quarantine(OTHER, at_ms) is None
        assert evidence.succeeded(OTHER, at_ms + 100) is not None
        assert evidence.succeeded(OTHER, at_ms + 200) is None
        assert evidence.quarantine(OTHER, at_ms + 300) is None


def test_a_request_retried_beside_a_harmful_one_is_not_quarantined() -> None:
    """Guards against quarantining a request that is retried at each crash.

    One request crashes all three targets of a small service, and another one is
    retried on each of them. After three crashes the two are ambiguous; only the
    harmful one is running at the fourth.
    """
    evidence = _evidence(
        *(_crash(number, 1_000 * number, HARMFUL, OTHER) for number in range(3))
    )
    assert evidence.quarantine(OTHER, 2_100) is None
    assert evidence.quarantine(HARMFUL, 2_100) is None
    evidence.crashed(_crash(3, 3_000, HARMFUL))
    assert evidence.quarantine(HARMFUL, 3_100) is not None
    assert evidence.quarantine(OTHER, 3_100) is None


def test_crashes_by_concurrent_copies_are_counted() -> None:
    """Guards against ignoring a request sent twice at the same time.

    Each pair of copies crashes two targets within 50 ms.
    """
    evidence = crash_evidence.CrashEvidence()
    for number in range(3):
        at_ms = 3_000 * (number + 1)
        evidence.crashed(_crash(2 * number, at_ms, HARMFUL))
        evidence.crashed(_crash(2 * number + 1, at_ms + 50, HARMFUL))
    assert evidence.quarantine(HARMFUL, 9_100) is not None


def test_a_quarantine_ends_and_the_next_one_is_longer() -> None:
    """Guards against quarantines that never end or never grow."""
    evidence = _evidence(
        *(_crash(number, 1_000 * number, HARMFUL) for number in range(3))
    )
    first = evidence.quarantine(HARMFUL, 2_000)
    assert first.left_ms == quarantine_rules.QUARANTINE_MS
    later_ms = 2_000 + first.left_ms
    assert evidence.quarantine(HARMFUL, later_ms).left_ms == 0
    evidence.crashed(_crash(3, later_ms + 1_000, HARMFUL))
    second = evidence.quarantine(HARMFUL, later_ms + 1_000)
    assert second.left_ms > first.left_ms
    evidence.forget(
        later_ms + 1_000 + crash_evidence.REPEATED_CRASH_RETENTION_MS + 1
    )
    assert not len(evidence)


def test_a_request_beside_several_harmful_ones_is_tried_soon() -> None:
    """Guards against a long quarantine of a popular request.

    Twelve harmful requests arrived at once and crashed both engines twice per
    second. A popular request was running at each crash and did not succeed in
    between. It was then rejected 579 times over minutes
    (``request_quarantined crashes=4 refused_for_ms=1799988``) and could not
    succeed, because all gateways rejected it. If another suspect of several
    crashes was running at each crash, the evidence is weak.
    """
    evidence = crash_evidence.CrashEvidence()
    for number in range(9):
        harmful = f"{number % 3:032x}"
        evidence.crashed(_crash(number, 500 * number, OTHER, harmful))
    quarantine = evidence.quarantine(OTHER, 4_000)
    assert quarantine.left_ms == quarantine_rules.TRIAL_DELAY_MS
    # Two more crashes without other suspects show that it is harmful.
    for number in (9, 10):
        evidence.crashed(_crash(number, 20_000 * number, OTHER))
    later = evidence.quarantine(OTHER, 200_000)
    assert later.left_ms >= quarantine_rules.QUARANTINE_MS


def test_a_request_that_succeeded_recently_is_not_quarantined() -> None:
    """Guards against ignoring successes from before the first crash.

    A popular request was rejected 666 times while harmful requests crashed both
    engines. Hundreds of copies had succeeded in the seconds before, but none
    between three crashes. Only one of two gateways had served it.
    """
    informed = crash_evidence.CrashEvidence()
    informed.succeeded(OTHER, 1_000)
    other = crash_evidence.CrashEvidence()
    for number in range(quarantine_rules.MIN_CRASHES_IF_SERVED - 1):
        crash = _crash(number, 2_000 + 500 * number, OTHER)
        for record in informed.crashed(crash):
            assert other.take(record)
        assert informed.quarantine(OTHER, 60_000) is None
        assert other.quarantine(OTHER, 60_000) is None
    # A gateway that receives reports of the crashes also learns of the success.
    uninformed = crash_evidence.CrashEvidence()
    for number in range(3):
        uninformed.crashed(_crash(number, 2_000 + 500 * number, OTHER))
    assert uninformed.quarantine(OTHER, 60_000) is not None
    (report,) = uninformed.recurring()
    clearance = informed.missed_clearance(report)
    uninformed.take(clearance)
    assert uninformed.quarantine(OTHER, 60_000) is None
    assert informed.missed_clearance(uninformed.record(OTHER)) is None


def test_a_request_that_succeeded_long_ago_is_quarantined() -> None:
    """Guards against trusting old successes.

    A new version of an adapter or an engine can turn a request harmful.
    """
    evidence = crash_evidence.CrashEvidence()
    evidence.succeeded(OTHER, 1_000)
    later_ms = 1_000 + quarantine_rules.RECENT_SUCCESS_MS
    for number in range(3):
        evidence.crashed(_crash(number, later_ms + 1_000 * number + 1, OTHER))
    assert evidence.quarantine(OTHER, later_ms + 3_000) is not None
    for number in range(3 * crash_evidence.MAX_SUCCESSES):
        evidence.succeeded(f"{number:032x}", later_ms)
    assert evidence.success_count <= crash_evidence.MAX_SUCCESSES


def test_memory_is_bounded_and_keeps_recurring_suspects() -> None:
    """Guards against losing a harmful request among many suspects.

    A power cut creates thousands of suspects of one crash.
    """
    evidence = _evidence(
        *(_crash(number, 1_000 * number, HARMFUL) for number in range(3))
    )
    for number in range(3 * crash_evidence.MAX_RECORDS):
        evidence.crashed(_crash(10 + number, 10_000, f"{number:032x}"))
        assert len(evidence) <= crash_evidence.MAX_RECORDS
    assert evidence.quarantine(HARMFUL, 10_100) is not None


def test_evidence_does_not_depend_on_the_order_of_reports() -> None:
    """Guards against reports that arrive out of order or twice."""
    seen = _evidence(
        *(_crash(number, 1_000 * number, HARMFUL, OTHER) for number in range(4))
    )
    seen.succeeded(OTHER, 4_000)
    records = list(seen.recurring())
    reordered = crash_evidence.CrashEvidence()
    for record in reversed(records):
        for observation in reversed(record.observations):
            part = suspicion.Record(record.fingerprint, (observation,))
            assert reordered.take(part)
            assert not reordered.take(part)
    reordered.take(suspicion.Record(OTHER, (), 4_000))
    assert reordered.quarantine(HARMFUL, 4_100) == seen.quarantine(
        HARMFUL, 4_100
    )
    assert reordered.quarantine(OTHER, 4_100) is None


def test_a_missed_clearance_is_sent_despite_a_later_crash() -> None:
    """Guards against a gateway that rejects a cleared request.

    The request succeeded between the second and the third crash. A restarted
    gateway knows all three crashes but not the success. Others took its report
    of the third crash as a sign that it knew the success, and did not send it.
    The state machine of crashes found this with two power cuts, a success and a
    crash by another request.
    """
    informed = _evidence(_crash(0, 1_000, OTHER), _crash(1, 3_000, OTHER))
    informed.succeeded(OTHER, 4_000)
    informed.crashed(_crash(2, 5_000, OTHER))
    uninformed = _evidence(
        *(_crash(number, at, OTHER) for number, at in enumerate((1_000, 3_000)))
    )
    uninformed.crashed(_crash(2, 5_000, OTHER))
    assert uninformed.quarantine(OTHER, 5_100) is not None
    (report,) = uninformed.recurring()
    clearance = informed.missed_clearance(report)
    assert clearance is not None
    uninformed.take(clearance)
    assert uninformed.quarantine(OTHER, 5_100) is None
    assert informed.missed_clearance(uninformed.record(OTHER)) is None
    # A gateway that knows only an earlier clearance also gets this one.
    behind = suspicion.Record(OTHER, report.observations, 500)
    assert informed.missed_clearance(behind) == clearance


def test_a_crash_is_reported_by_its_age() -> None:
    """Guards against reporting times on a clock that only one VM uses."""
    evidence = _evidence(_crash(0, 1_000, HARMFUL))
    evidence.succeeded(HARMFUL, 1_500)
    for record in (evidence.record(HARMFUL), suspicion.Record(HARMFUL)):
        sent = fleet_wire.CrashReport(
            (fleet_wire.to_reported_record(record, 2_000),)
        )
        read = fleet_wire.decode(fleet_wire.encode(sent))
        assert read == sent
        (report,) = read.records
        restored = fleet_wire.from_reported_record(report, 2_000)
        assert restored == record
        assert fleet_wire.from_reported_record(report, 9_000).cleared_at_ms in (
            8_500,
            suspicion.NEVER_MS,
        )


def test_a_stored_record_is_converted_to_the_clock_of_its_reader() -> None:
    """Guards against times on another VM's clock, and clocks that jump."""
    evidence = _evidence(
        *(_crash(number, 1_000 * number, HARMFUL) for number in range(3))
    )
    spec = crash_record.encode(evidence.record(HARMFUL), 2_100, 1_000_000)
    read = crash_record.decode(spec, -40_000, 1_000_500)
    assert isinstance(read, suspicion.Record), read
    restored = crash_evidence.CrashEvidence()
    restored.take(read)
    quarantine = restored.quarantine(HARMFUL, -40_000)
    assert quarantine.left_ms == quarantine_rules.QUARANTINE_MS - 600
    ahead = crash_record.decode(spec, 9_000, 500_000)
    assert ahead.observations[-1].ended_at_ms == 9_000
    assert isinstance(
        crash_record.decode({"fingerprint": 7}, 0, 0), result.Failure
    )


def test_equal_requests_have_equal_fingerprints_and_others_do_not() -> None:
    """Guards against fingerprints that ignore a part of the request."""
    first = fingerprint_lib.of_request("POST", "shop", b"/chat/x", b"body")
    assert first == fingerprint_lib.of_request(
        "POST", "shop", b"/chat/x", b"body"
    )
    assert len(first) == 2 * fingerprint_lib.SIZE_BYTES
    others = {
        fingerprint_lib.of_request("PUT", "shop", b"/chat/x", b"body"),
        fingerprint_lib.of_request("POST", "shops", b"/chat/x", b"body"),
        fingerprint_lib.of_request("POST", "shop", b"/chat/", b"xbody"),
        fingerprint_lib.of_request("POST", "shop", b"/chat/x", b"body2"),
    }
    assert len(others | {first}) == 5


def test_a_success_before_the_crash_reports_arrive_clears_a_request() -> None:
    """Guards against a new gateway that does not report a success."""
    first = _evidence(
        _crash(0, 930, OTHER), _crash(1, 1_860, OTHER), _crash(2, 2_790, OTHER)
    )
    assert first.quarantine(OTHER, 2_820) is not None
    started = crash_evidence.CrashEvidence()
    assert started.succeeded(OTHER, 2_820) is None
    report = first.record(OTHER)
    started.take(report)
    clearance = started.missed_clearance(report)
    assert clearance is not None and clearance.cleared_at_ms == 2_820
    first.take(clearance)
    assert first.quarantine(OTHER, 2_830) is None


def test_blocks_of_a_prompt_have_fingerprints_except_the_last() -> None:
    """Guards against taking a session's own block for a shared one."""
    blocks = fingerprint_lib.of_shared_blocks((b"aa", b"BB", b"", b"aa", b"cc"))
    assert blocks == fingerprint_lib.of_shared_blocks((b"aa", b"bb", b"x"))
    assert len(blocks) == len(set(blocks)) == 2
    assert fingerprint_lib.of_shared_blocks((b"aa",)) == ()
    assert fingerprint_lib.of_shared_blocks(()) == ()
    many = tuple(b"%x" % number for number in range(100))
    assert len(fingerprint_lib.of_shared_blocks(many)) <= 8


BLOCK = crash_lib.FeatureKind.PROMPT_BLOCK
FIRST_BLOCK = "f1" * fingerprint_lib.SIZE_BYTES


def _block_crash(
    number: int, at_ms: int, *blocks: str, run_ms: int = RUN_MS
) -> crash_lib.Crash:
    """Returns a crash under a request that is equal to no other one."""
    began_at_ms = at_ms - run_ms
    return crash_lib.Crash(
        incarnation.IncarnationId(f"i{number}", 1),
        at_ms,
        (
            crash_lib.Suspect(f"{number:032x}", began_at_ms),
            *(
                crash_lib.Suspect(one, began_at_ms, position)
                for position, one in enumerate(blocks, 1)
            ),
        ),
    )


def _serve(
    evidence: crash_evidence.CrashEvidence, block: str, *began_at_ms: int
) -> None:
    for at_ms in began_at_ms:
        evidence.succeeded(block, at_ms, BLOCK)


def test_a_poison_block_is_quarantined_and_popular_blocks_are_not() -> None:
    """Guards against rejecting all requests that share the first block.

    The first block runs at each crash, too. An answer on it that began after a
    crash clears it, and the narrower block explains the crashes in between.
    """
    evidence = crash_evidence.CrashEvidence()
    _serve(evidence, FIRST_BLOCK, 100)
    for number, at_ms in enumerate((1_000, 4_500, 5_100, 5_600, 6_000, 6_400)):
        evidence.crashed(_block_crash(number, at_ms, FIRST_BLOCK, HARMFUL))
        if number == 0:
            _serve(evidence, FIRST_BLOCK, 1_200)
        assert evidence.quarantine(FIRST_BLOCK, at_ms) is None
        is_rejected = evidence.quarantine(HARMFUL, at_ms) is not None
        assert is_rejected is (number >= 2)
    quarantine = evidence.quarantine(HARMFUL, 6_400)
    assert quarantine.left_ms >= quarantine_rules.QUARANTINE_MS


def test_a_popular_block_beside_several_poison_blocks_is_served() -> None:
    """Guards against a popular block that more crashes hit than each cause.

    No answer on it ends for three and a half seconds, in which seven targets
    crash, and the poison blocks were served before, too.
    """
    for was_served in (False, True):
        evidence = crash_evidence.CrashEvidence()
        poison = (HARMFUL, OTHER)
        for block in poison if was_served else ():
            _serve(evidence, block, 900)
        for number in range(22):
            at_ms = 1_000 + 500 * number
            if number % 7 == 0:
                _serve(evidence, FIRST_BLOCK, at_ms - 10)
            evidence.crashed(
                _block_crash(number, at_ms, FIRST_BLOCK, poison[number % 2])
            )
            assert evidence.quarantine(FIRST_BLOCK, at_ms) is None, number
            for block in poison:
                is_rejected = evidence.quarantine(block, at_ms) is not None
                assert is_rejected or number < 10, (number, block)


def test_rare_blocks_beside_a_poison_block_do_not_excuse_it() -> None:
    """Guards against a cause that hides behind victims without a success.

    Rare blocks that were served long ago ran at three of its crashes each.
    """
    evidence = crash_evidence.CrashEvidence()
    _serve(evidence, HARMFUL, 900)
    rare = [f"aa{number:030x}" for number in range(4)]
    for block in rare:
        _serve(evidence, block, 100)
    for number in range(12):
        at_ms = 1_000 + 700 * number
        beside = [rare[number // 3]] if number else []
        evidence.crashed(_block_crash(number, at_ms, HARMFUL, *beside))
        if number >= 5:
            assert evidence.quarantine(HARMFUL, at_ms) is not None, number


def test_a_block_that_turns_harmful_is_quarantined() -> None:
    """Guards against trusting the answers on a block from before.

    An answer that began before the first crash ends after it and proves
    nothing. Five crashes in which no answer on it begins are enough.
    """
    evidence = crash_evidence.CrashEvidence()
    _serve(evidence, HARMFUL, 500)
    for number in range(5):
        at_ms = 1_000 + 900 * number
        assert evidence.quarantine(HARMFUL, at_ms) is None
        evidence.crashed(_block_crash(number, at_ms, HARMFUL))
        _serve(evidence, HARMFUL, 900)
    quarantine = evidence.quarantine(HARMFUL, 4_700)
    assert quarantine.moments == 5
    assert 0 < quarantine.left_ms <= quarantine_rules.TRIAL_DELAY_MS


def test_trials_of_a_block_become_rare() -> None:
    """Guards against trials that crash one target after another.

    At most three requests with the block may reach targets after the first five
    crashes, also if it was served before.
    """
    for was_served in (False, True):
        evidence = crash_evidence.CrashEvidence()
        if was_served:
            _serve(evidence, HARMFUL, 900)
        at_ms = 1_000
        crash_count = 0
        while evidence.quarantine(HARMFUL, at_ms) is None:
            evidence.crashed(_block_crash(crash_count, at_ms, HARMFUL))
            crash_count += 1
            at_ms += 1_000
        assert crash_count <= 5
        quarantined_at_ms = at_ms
        trial_count = 0
        while trial_count < 3:
            at_ms = evidence.quarantine(HARMFUL, at_ms).until_ms
            evidence.crashed(_block_crash(100 + trial_count, at_ms, HARMFUL))
            trial_count += 1
        next_at_ms = evidence.quarantine(HARMFUL, at_ms).until_ms
        assert next_at_ms - quarantined_at_ms > 30 * 60_000


def test_a_power_cut_quarantines_no_block() -> None:
    """Guards against counting a power cut once per target for a popular block.

    New requests with it are sent while the targets end one after the other.
    """
    for was_served in (False, True):
        evidence = crash_evidence.CrashEvidence()
        if was_served:
            _serve(evidence, FIRST_BLOCK, 4_000)
        for number in range(12):
            at_ms = 5_000 + 20 * number
            for run_ms in (3, 300 + 20 * number):
                evidence.crashed(
                    _block_crash(number, at_ms, FIRST_BLOCK, run_ms=run_ms)
                )
        assert evidence.quarantine(FIRST_BLOCK, 5_300) is None


def test_crashes_in_a_burst_quarantine_no_popular_block() -> None:
    """Guards against crashes that come faster than answers can end.

    The block was served, and none of its answers ends within the burst.
    """
    evidence = crash_evidence.CrashEvidence()
    _serve(evidence, FIRST_BLOCK, 900)
    for number in range(9):
        at_ms = 1_000 + 370 * number
        evidence.crashed(_block_crash(number, at_ms, FIRST_BLOCK, run_ms=300))
        assert evidence.quarantine(FIRST_BLOCK, at_ms) is None
    # Later than any answer would take, the block is the likely cause.
    evidence.crashed(_block_crash(9, 4_400, FIRST_BLOCK))
    assert evidence.quarantine(FIRST_BLOCK, 4_400) is not None


def test_a_repeated_request_takes_no_blocks_with_it() -> None:
    """Guards against rejecting a block for one request that is repeated."""
    evidence = crash_evidence.CrashEvidence()
    for number in range(4):
        at_ms = 1_000 * (number + 1)
        evidence.crashed(
            crash_lib.Crash(
                incarnation.IncarnationId(f"i{number}", 1),
                at_ms,
                (
                    crash_lib.Suspect(HARMFUL, at_ms - RUN_MS),
                    crash_lib.Suspect(FIRST_BLOCK, at_ms - RUN_MS, 1),
                ),
            )
        )
    assert evidence.quarantine(HARMFUL, 4_100) is not None
    assert evidence.quarantine(FIRST_BLOCK, 4_100) is None


def test_clearances_of_blocks_are_reported_only_if_needed() -> None:
    """Guards against a report to all gateways at each success of a block."""
    evidence = crash_evidence.CrashEvidence()
    evidence.crashed(_block_crash(0, 1_000, FIRST_BLOCK))
    assert evidence.succeeded(FIRST_BLOCK, 1_100, BLOCK) is None
    evidence.crashed(_block_crash(1, 2_000, FIRST_BLOCK))
    evidence.crashed(_block_crash(2, 3_000, FIRST_BLOCK))
    assert evidence.succeeded(FIRST_BLOCK, 3_100, BLOCK) is not None
    # The report of a crash tells the others of the successes before it.
    uninformed = _evidence(
        _block_crash(1, 2_000, FIRST_BLOCK), _block_crash(2, 3_000, FIRST_BLOCK)
    )
    for record in evidence.crashed(_block_crash(3, 4_000, FIRST_BLOCK)):
        uninformed.take(record)
    assert len(uninformed.record(FIRST_BLOCK).observations) == 1


def test_the_kind_of_a_feature_is_reported_and_stored() -> None:
    """Guards against a prompt block that is taken for a whole request."""
    evidence = _evidence(
        *(_block_crash(one, 1_000 * one, HARMFUL) for one in range(3))
    )
    record = evidence.record(HARMFUL)
    assert record.kind is BLOCK
    sent = fleet_wire.CrashReport(
        (fleet_wire.to_reported_record(record, 2_100),)
    )
    (report,) = fleet_wire.decode(fleet_wire.encode(sent)).records
    assert fleet_wire.from_reported_record(report, 2_100) == record
    spec = crash_record.encode(record, 2_100, 1_000_000)
    assert crash_record.decode(spec, 2_100, 1_000_000) == record
    del spec["block_position"]
    older = crash_record.decode(spec, 2_100, 1_000_000)
    assert older.kind is crash_lib.FeatureKind.REQUEST
