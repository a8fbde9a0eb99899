"""What the ledger must not forget."""

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
    """A key sealed for another target is never run without asking it.

    Symptom: a booking made twice while its service moved. Sequence: the new
    home seals the key at the old one and runs it; an entry that still holds
    the old version submits it to the old home twice. The first claim there
    is refused, since the new home has not finished asking; the second found
    a record that no longer named the new home, asked nobody and ran it.
    Cause: the claim replaced the seal. Found by proofs.soak, seed 10.
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
    """A service that moves twice leaves two targets to ask."""
    ledger = ledger_lib.Ledger(quarantine_until_ms=0)
    for name in ("desk-2", "desk-3"):
        ledger.seal(KEY, asker=name, window_ms=1_000, now_ms=5)
    assert ledger.records[KEY].sealed_for == ("desk-2", "desk-3")


def test_a_full_ledger_rejects_new_keys() -> None:
    """Forgetting one key early to make room could run it twice."""
    ledger = ledger_lib.Ledger(quarantine_until_ms=0, max_records=1)
    _claim(ledger, b"1", ledger_lib.KeyState.QUEUED)
    verdict = ledger.decide(
        ("booking", "other"), digest=b"d", accepted_at_ms=1, now_ms=1
    ).verdict
    assert verdict is ledger_lib.Verdict.FULL
