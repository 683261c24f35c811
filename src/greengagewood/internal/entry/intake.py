"""Accept jobs and cancellations: stored first, answered then.

Records of all callers that come while an append is on its way go with the next one. An append
without an answer is repeated while the store answers reads and the caller has patience: the same
record under the same key is the same job, however often it is stored. When the store does not
answer at all, the caller is told so at once. Only what was certainly not stored is refused.
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

__all__ = ["Intake"]

RETRY_MS = 60
MAX_BATCH_BYTES = 512 * 1024
LONG_OUTAGE_MS = 1_500  # callers come back a few times only, so later from then on
SHORT_RETRY_S = 1
LONG_RETRY_S = 2
STORE_DOWN_MS = 1_000  # after an unanswered append, new work is refused until one is answered

_log = Log("intake")


@dataclass(slots=True, eq=False)
class _Waiting:
    record: Submission | Cancellation
    key: str
    value: bytes
    until_ms: int
    fut: asyncio.Future[Outcome]
    unsure: bool = False  # an append with it was not answered


class Intake:
    """Store what callers ask for, in batches."""

    def __init__(self, store: JobStore, ledger: Ledger, reads_work: Callable[[], bool]) -> None:
        self._store = store
        self._ledger = ledger
        self._reads_work = reads_work
        self._queue: list[_Waiting] = []
        self._wake = asyncio.Event()
        self._failed_since_ms: int | None = None
        self._failed_ms = 0

    @property
    def store_down(self) -> bool:
        """Tell whether the store has not answered lately."""
        if not self._reads_work():
            return True
        failed = self._failed_since_ms is not None
        return failed and monotonic_ms() - self._failed_ms < STORE_DOWN_MS

    @property
    def retry_after_s(self) -> int:
        """Return when a refused caller should come back: later, the longer an outage lasts."""
        since = self._failed_since_ms
        if since is None or monotonic_ms() - since < LONG_OUTAGE_MS:
            return SHORT_RETRY_S
        return LONG_RETRY_S

    async def put(self, record: Submission | Cancellation, patience_ms: int) -> Outcome:
        """Store a record; return whether it is stored, certainly not stored, or unknown."""
        if self.store_down:
            return Outcome.REFUSED
        fut: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        until = monotonic_ms() + patience_ms
        self._queue.append(_Waiting(record, key_of(record), encode_record(record), until, fut))
        self._wake.set()
        return await fut

    async def step(self) -> None:
        """Append one batch of what waits."""
        if not self._queue:
            self._wake.clear()
            await self._wake.wait()
        batch = self._take_batch()
        if not batch:
            return
        result = await self._store.append([(item.key, item.value) for item in batch])
        now = monotonic_ms()
        if result.outcome is Outcome.DONE:
            if self._failed_since_ms is not None:
                _log.info("store_regained", after_ms=now - self._failed_since_ms)
            self._failed_since_ms = None
            for number, item in enumerate(batch):
                self._ledger.apply_stored(item.record, result.offset + number)
                _settle(item, Outcome.DONE)
            return
        if self._failed_since_ms is None:
            self._failed_since_ms = now
            _log.warning("store_lost", outcome=result.outcome.value)
        self._failed_ms = now
        self._give_up(batch, result.outcome, now)
        await asyncio.sleep(RETRY_MS / 1000)

    def _take_batch(self) -> list[_Waiting]:
        batch: list[_Waiting] = []
        size = 0
        while self._queue and size < MAX_BATCH_BYTES:
            item = self._queue.pop(0)
            if item.fut.done():
                continue
            size += len(item.value)
            batch.append(item)
        return batch

    def _give_up(self, batch: list[_Waiting], outcome: Outcome, now_ms: int) -> None:
        """Refuse what was never sent unanswered; keep the rest for another try."""
        keep = []
        reads_work = self._reads_work()
        for item in batch:
            item.unsure = item.unsure or outcome is Outcome.UNKNOWN
            if not item.unsure:
                _settle(item, Outcome.REFUSED)
            elif now_ms >= item.until_ms or not reads_work:
                _settle(item, Outcome.UNKNOWN)
            else:
                keep.append(item)
        self._queue[:0] = keep


def _settle(item: _Waiting, outcome: Outcome) -> None:
    if not item.fut.done():
        item.fut.set_result(outcome)
