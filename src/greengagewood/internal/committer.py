"""Group commit: the records of all processes of an instance share appends to the log.

A failed append is retried with the same record ids until it succeeds or its records reach their
deadlines; of several copies of a record, only the first takes effect in replay. A record that was
never part of an append with an unknown outcome is certainly not in the log, and its submitter is
told so.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.messages import AppendReply
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.logservice import AppendOutcomeUnknown, LogUnavailable, NewRecord

__all__ = ["Committer"]

RETRY_DELAY_S = 0.2
APPEND_TIMEOUT_S = 2.0
MAX_BATCH_RECORDS = 500
MAX_PENDING_RECORDS = 20_000

AppendCall = Callable[[str, list[NewRecord], float], Awaitable[tuple[int, ...]]]


@dataclass(eq=False)
class _PendingRecord:
    record: NewRecord
    deadline_ms: int
    reply: asyncio.Future[AppendReply]
    may_be_in_log: bool = False


@dataclass
class _StreamQueue:
    pending: list[_PendingRecord] = field(default_factory=list)
    task: asyncio.Task[None] | None = None


class Committer:
    """Append records in batches, with at most one append in progress for each stream."""

    def __init__(
        self, append: AppendCall, commit_interval_ms: Callable[[], int], metrics: Metrics
    ) -> None:
        self._append = append
        self._commit_interval_ms = commit_interval_ms
        self._metrics = metrics
        self._queues: dict[str, _StreamQueue] = {}
        self.log_writable = True

    async def submit(self, stream: str, record: NewRecord, timeout_ms: int) -> AppendReply:
        """Append a record; return its offset, or 0 and whether it may still be in the log."""
        queue = self._queues.setdefault(stream, _StreamQueue())
        if len(queue.pending) >= MAX_PENDING_RECORDS:
            self._metrics.count("appends_refused", stream=stream)
            return AppendReply(0, False)
        reply: asyncio.Future[AppendReply] = asyncio.get_running_loop().create_future()
        queue.pending.append(_PendingRecord(record, monotonic_ms() + timeout_ms, reply))
        if queue.task is None or queue.task.done():
            queue.task = asyncio.create_task(self._append_pending(stream, queue))
        return await reply

    async def stop(self, timeout_s: float) -> None:
        """Wait up to `timeout_s` for pending records to be appended, then cancel the rest."""
        tasks = [queue.task for queue in self._queues.values() if queue.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        for task in tasks:
            task.cancel()

    async def _append_pending(self, stream: str, queue: _StreamQueue) -> None:
        while queue.pending:
            await asyncio.sleep(self._commit_interval_ms() / 1000)
            self._expire_pending(queue)
            batch = queue.pending[:MAX_BATCH_RECORDS]
            if batch and not await self._append_batch(stream, queue, batch):
                self._expire_pending(queue)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _append_batch(
        self, stream: str, queue: _StreamQueue, batch: list[_PendingRecord]
    ) -> bool:
        self._metrics.count("log_appends")
        try:
            offsets = await self._append(
                stream, [entry.record for entry in batch], APPEND_TIMEOUT_S
            )
        except LogUnavailable:
            self.log_writable = False
            self._metrics.count("log_append_failures", kind="down")
            return False
        except AppendOutcomeUnknown:
            self.log_writable = False
            self._metrics.count("log_append_failures", kind="unknown")
            for entry in batch:
                entry.may_be_in_log = True
            return False
        self.log_writable = True
        del queue.pending[: len(batch)]
        for entry, offset in zip(batch, offsets, strict=True):
            if not entry.reply.done():
                entry.reply.set_result(AppendReply(offset, True))
        return True

    def _expire_pending(self, queue: _StreamQueue) -> None:
        now_ms = monotonic_ms()
        for entry in queue.pending:
            if entry.deadline_ms <= now_ms and not entry.reply.done():
                entry.reply.set_result(AppendReply(0, entry.may_be_in_log))
        queue.pending = [entry for entry in queue.pending if not entry.reply.done()]
