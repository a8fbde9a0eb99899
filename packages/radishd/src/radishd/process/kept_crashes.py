"""Persistence of crash records in the store.

Gateways keep crash records in memory. If all of them restart at once, none
could report the records to the others, and a quarantined request would crash as
many targets again before it is rejected.
"""

from collections.abc import Callable
from collections.abc import Iterable

import anyio
from radishstack import result
from radishstack.process import crash_evidence
from radishstack.process import suspicion

from radishd.platform import store as store_lib
from radishd.process import clock
from radishd.process import crash_record
from radishd.process import decision_log
from radishd.process import metrics as metrics_lib
from radishd.process import rejected_objects

MS_PER_S = 1_000
# Exponential backoff after failed calls. It may be long: calls are billed, and
# other gateways report the same records in the meantime.
RETRY_FIRST_MS = 500
RETRY_MAX_MS = 30_000
# Records waiting to be written. A record that does not fit is not stored, but
# gateways still report it to each other.
MAX_PENDING_RECORDS = 64

ApplyRecords = Callable[[Iterable[suspicion.Record]], None]


class KeptCrashes:
    """Reads crash records at the gateway's start, and writes new ones."""

    def __init__(
        self,
        store: store_lib.Store,
        apply_records: ApplyRecords,
        log: decision_log.DecisionLog,
        metrics: metrics_lib.Metrics,
    ) -> None:
        """Starts without records.

        Args:
            store: The platform's store.
            apply_records: Called with the records that were read.
            log: Where reads and writes of records are logged.
            metrics: Where invalid records are counted.
        """
        self._rejected = rejected_objects.RejectedObjects(log, metrics)
        self._store = store
        self._apply_records = apply_records
        self._log = log
        self._pending: dict[str, suspicion.Record] = {}
        self._wake = anyio.Event()

    def keep(self, record: suspicion.Record) -> None:
        """Queues a record to be written to the store."""
        if len(self._pending) >= MAX_PENDING_RECORDS:
            self._log.write(
                "crash_record_not_kept", fingerprint=record.fingerprint
            )
            return
        # Gateways that observed the same crash write the same object.
        name = f"{record.fingerprint}-{len(record.observations)}"
        self._pending[name] = record
        self._wake.set()

    async def run(self) -> None:
        """Reads stored records, then writes new ones until cancelled."""
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
                self._rejected.add(crash_record.KIND, stored, record.message)
                continue
            if crash_evidence.is_expired(record, now_ms):
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
