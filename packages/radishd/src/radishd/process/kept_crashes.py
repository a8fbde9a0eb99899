"""What the store keeps of requests that end targets.

Gateways know them in memory. Where all restart at once nobody could tell the
next ones, and the request would end as many targets again before it is
refused.
"""

from collections.abc import Callable
from collections.abc import Iterable

import anyio
from radishstack import result
from radishstack.process import crash_evidence

from radishd.platform import store as store_lib
from radishd.process import clock
from radishd.process import crash_record
from radishd.process import decision_log

MS_PER_S = 1_000
# Pause after a call that failed, doubled up to the maximum; calls are paid
# for, and other gateways tell what is kept here in the meantime.
RETRY_FIRST_MS = 500
RETRY_MAX_MS = 30_000
# Cases that wait to be written; one that does not fit is told by gateways.
MAX_PENDING_RECORDS = 64

ApplyRecords = Callable[[Iterable[crash_evidence.Record]], None]


class KeptCrashes:
    """Reads records as the gateway starts, and writes its own."""

    def __init__(
        self,
        store: store_lib.Store,
        apply_records: ApplyRecords,
        log: decision_log.DecisionLog,
    ) -> None:
        """Starts with nothing read and nothing to write.

        Args:
            store: The platform's store.
            apply_records: Given what is read.
            log: Where it is logged.
        """
        self._store = store
        self._apply_records = apply_records
        self._log = log
        self._pending: dict[str, crash_evidence.Record] = {}
        self._wake = anyio.Event()

    def keep(self, record: crash_evidence.Record) -> None:
        """Has a record written as soon as the store takes it."""
        if len(self._pending) >= MAX_PENDING_RECORDS:
            self._log.write(
                "crash_record_not_kept", fingerprint=record.fingerprint
            )
            return
        # Two gateways that saw the same crash write the same object.
        name = f"{record.fingerprint}-{len(record.observations)}"
        self._pending[name] = record
        self._wake.set()

    async def run(self) -> None:
        """Reads what is kept, then writes, until cancelled."""
        await self._read()
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            await self._write()

    async def _read(self) -> None:
        pause_ms = RETRY_FIRST_MS
        while True:
            batch = await self._store.list(crash_record.KIND, stale=True)
            if not isinstance(batch, result.Failure):
                break
            await anyio.sleep(pause_ms / MS_PER_S)
            pause_ms = min(2 * pause_ms, RETRY_MAX_MS)
        now_ms = clock.boot_ms()
        records = []
        for stored in batch.records:
            record = crash_record.decode(stored.spec, now_ms, clock.unix_ms())
            if isinstance(record, result.Failure):
                self._log.write(
                    "object_refused",
                    kind=crash_record.KIND,
                    object=stored.name,
                    revision=stored.revision,
                    reason=record.message,
                )
                continue
            if crash_evidence.is_over(record, now_ms):
                await self._store.delete(crash_record.KIND, stored.name)
                continue
            records.append(record)
        if records:
            self._log.must("crash_records_read", count=len(records))
        self._apply_records(records)

    async def _write(self) -> None:
        pause_ms = RETRY_FIRST_MS
        while self._pending:
            name, record = next(iter(self._pending.items()))
            spec = crash_record.encode(record, clock.boot_ms(), clock.unix_ms())
            failure = await self._store.create(crash_record.KIND, name, spec)
            if failure is None:
                del self._pending[name]
                self._log.must("crash_record_kept", object=name)
                pause_ms = RETRY_FIRST_MS
                continue
            self._log.write(
                "crash_record_not_kept", object=name, reason=failure.message
            )
            await anyio.sleep(pause_ms / MS_PER_S)
            pause_ms = min(2 * pause_ms, RETRY_MAX_MS)
