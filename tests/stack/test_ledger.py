"""Records that the ledger must keep."""

from radishstack.process import ledger as ledger_lib

KEY = ("booking", "k")


def _claim(
    ledger: ledger_lib.Ledger, attempt_id: bytes, state: ledger_lib.KeyState
) -> None:
    ledger.claim(
        KEY,
        state=state,
        attempt_id=attempt_id,
        digest=b"d",
        window_ms=1_000,
        now_ms=10,
    )


def test_a_seal_is_kept_after_a_rejected_claim() -> None:
    """Guards against running a key twice while its service moves.

    The new home seals the key at the old home and runs it. An entry daemon with
    the old version submits the key to the old home twice. The first claim is
    rejected, because the new home is still asking. The claim had replaced the
    seal, so the second submission found no reason to ask the new home, and the
    key ran again. Found by proofs.soak, seed 10.
    """
    ledger = ledger_lib.Ledger(quarantine_until_ms=0)
    sealing = ledger.seal(KEY, asker="desk-2", window_ms=1_000, now_ms=5)
    assert sealing is ledger_lib.SealReply.SEALED
    _claim(ledger, b"1", ledger_lib.KeyState.ASKING)
    ledger.refuse(KEY, 20)
    record = ledger.decide(
        KEY, digest=b"d", accepted_at_ms=30, now_ms=30
    ).record
    assert record.sealed_for == ("desk-2",)
    ledger.expire(10_000)
    assert KEY in ledger.records


def test_seals_of_several_targets_are_all_kept() -> None:
    """Guards against asking only one target after a service moved twice."""
    ledger = ledger_lib.Ledger(quarantine_until_ms=0)
    for name in ("desk-2", "desk-3"):
        ledger.seal(KEY, asker=name, window_ms=1_000, now_ms=5)
    assert ledger.records[KEY].sealed_for == ("desk-2", "desk-3")


def test_a_full_ledger_rejects_new_keys() -> None:
    """Guards against dropping a record early, so that its key can run twice."""
    ledger = ledger_lib.Ledger(quarantine_until_ms=0, max_records=1)
    _claim(ledger, b"1", ledger_lib.KeyState.QUEUED)
    verdict = ledger.decide(
        ("booking", "other"), digest=b"d", accepted_at_ms=1, now_ms=1
    ).verdict
    assert verdict is ledger_lib.Verdict.FULL
