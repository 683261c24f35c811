"""Store jobs and cancellations before their callers get an answer.

Records that arrive while an append is in flight are collected and appended as the next batch. An
append without an answer is retried until the caller's deadline, as long as the store answers reads:
storing the same record under the same key again has no effect. If the store does not answer reads
either, the caller is told at once. A record is reported as refused only if it was certainly not
stored.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.records import (
    Cancellation,
    Submission,
    encode_record,
    key_of,
)
from greengagewood.internal.logs import Log
from greengagewood.internal.ports import JobStore, Outcome

__all__ = ["MAX_READ_AGE_MS", "BatchWriter"]

RETRY_DELAY_MS = 60
MAX_BATCH_BYTES = 512 * 1024
MAX_READ_AGE_MS = 1_000  # without a successful read for this long, new records are refused
# Callers retry only a few times, so they are told to wait longer in an outage longer than this.
LONG_OUTAGE_MS = 1_500
SHORT_RETRY_AFTER_S = 1
LONG_RETRY_AFTER_S = 2
# After a failed append, new records are refused for this long, or until an append succeeds.
REFUSE_AFTER_FAILURE_MS = 1_000
# Beyond its deadline, as after a pause of the process, a record is not sent any more.
MAX_LATE_SEND_MS = 2_000

_log = Log("intake")


@dataclass(slots=True, eq=False)
class _PendingRecord:
    record: Submission | Cancellation
    key: str
    value: bytes
    deadline_ms: int
    future: asyncio.Future[Outcome]
    maybe_stored: bool = False  # whether an append of this record got no answer


class BatchWriter:
    """Append the records of concurrent callers to the store in batches."""

    def __init__(self, store: JobStore, ledger: Ledger, read_age_ms: Callable[[], int]) -> None:
        self._store = store
        self._ledger = ledger
        self._read_age_ms = read_age_ms
        self._queue: list[_PendingRecord] = []
        self._record_added = asyncio.Event()
        self._failing_since_ms: int | None = None
        self._last_failure_ms = 0

    @property
    def store_down(self) -> bool:
        """Return whether new records are refused because recent reads or appends failed."""
        if self._read_age_ms() >= MAX_READ_AGE_MS:
            return True
        is_failing = self._failing_since_ms is not None
        return is_failing and monotonic_ms() - self._last_failure_ms < REFUSE_AFTER_FAILURE_MS

    @property
    def retry_after_s(self) -> int:
        """Return the seconds after which a refused caller should retry; more in a long outage."""
        failing_ms = self._read_age_ms()
        if self._failing_since_ms is not None:
            failing_ms = max(failing_ms, monotonic_ms() - self._failing_since_ms)
        return LONG_RETRY_AFTER_S if failing_ms >= LONG_OUTAGE_MS else SHORT_RETRY_AFTER_S

    async def store_record(self, record: Submission | Cancellation, timeout_ms: int) -> Outcome:
        """Store a record; return DONE only after the store has acknowledged it."""
        if self.store_down:
            return Outcome.REFUSED
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        deadline_ms = monotonic_ms() + timeout_ms
        self._queue.append(
            _PendingRecord(record, key_of(record), encode_record(record), deadline_ms, future)
        )
        self._record_added.set()
        return await future

    async def write_batch(self) -> None:
        """Wait for records, and append one batch of them."""
        if not self._queue:
            self._record_added.clear()
            await self._record_added.wait()
        batch = self._next_batch()
        if not batch:
            return
        result = await self._store.append([(pending.key, pending.value) for pending in batch])
        now_ms = monotonic_ms()
        if result.outcome is Outcome.DONE:
            if self._failing_since_ms is not None:
                _log.info("appends_recovered", after_ms=now_ms - self._failing_since_ms)
            self._failing_since_ms = None
            for number, pending in enumerate(batch):
                self._ledger.apply_stored(pending.record, result.offset + number, pending.value)
                _resolve(pending, Outcome.DONE)
            return
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
            _log.warning("appends_failing", outcome=result.outcome.value)
        self._last_failure_ms = now_ms
        self._resolve_or_requeue(batch, result.outcome, now_ms)
        await asyncio.sleep(RETRY_DELAY_MS / 1000)

    def _next_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        size_bytes = 0
        while self._queue and size_bytes < MAX_BATCH_BYTES:
            pending = self._queue.pop(0)
            if pending.future.done():
                continue
            if monotonic_ms() > pending.deadline_ms + MAX_LATE_SEND_MS:
                unsent = Outcome.UNKNOWN if pending.maybe_stored else Outcome.REFUSED
                _resolve(pending, unsent)
                continue
            size_bytes += len(pending.value)
            batch.append(pending)
        return batch

    def _resolve_or_requeue(
        self, batch: list[_PendingRecord], outcome: Outcome, now_ms: int
    ) -> None:
        """Resolve the records of a failed append, or queue them again.

        A record is refused if none of its appends went unanswered. Any other is appended again
        until its caller's deadline, unless the store answers no reads either.
        """
        requeued = []
        read_recently = self._read_age_ms() < MAX_READ_AGE_MS
        for pending in batch:
            pending.maybe_stored = pending.maybe_stored or outcome is Outcome.UNKNOWN
            if not pending.maybe_stored:
                _resolve(pending, Outcome.REFUSED)
            elif now_ms >= pending.deadline_ms or not read_recently:
                _resolve(pending, Outcome.UNKNOWN)
            else:
                requeued.append(pending)
        self._queue[:0] = requeued


def _resolve(pending: _PendingRecord, outcome: Outcome) -> None:
    if not pending.future.done():
        pending.future.set_result(outcome)
