"""Group commit: one writer an instance, many records an append.

An append that failed is repeated with the same record ids until it succeeds or its records are out
of time; replay keeps the first of each. A record that was never part of an append whose answer was
lost certainly is not in the log; its asker is told so.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.messages import AppendReply
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.logservice import AppendUnknown, LogDown, NewRecord

__all__ = ["Committer"]

RETRY_S = 0.2
APPEND_TIMEOUT_S = 2.0
MAX_BATCH = 500
MAX_WAITING = 20_000

AppendCall = Callable[[str, list[NewRecord], float], Awaitable[tuple[int, ...]]]


@dataclass(eq=False)
class _Waiting:
    record: NewRecord
    deadline_ms: int
    fut: asyncio.Future[AppendReply]
    may_be_in_log: bool = False


@dataclass
class _Stream:
    waiting: list[_Waiting] = field(default_factory=list)
    task: asyncio.Task[None] | None = None


class Committer:
    """Append records in groups, one append in progress a stream."""

    def __init__(
        self, append: AppendCall, interval_ms: Callable[[], int], metrics: Metrics
    ) -> None:
        self._append = append
        self._interval_ms = interval_ms
        self._metrics = metrics
        self._streams: dict[str, _Stream] = {}
        self.writable = True

    async def submit(self, stream: str, record: NewRecord, timeout_ms: int) -> AppendReply:
        """Append a record; return its offset, or whether it may still be in the log."""
        state = self._streams.setdefault(stream, _Stream())
        if len(state.waiting) >= MAX_WAITING:
            self._metrics.count("appends_refused", stream=stream)
            return AppendReply(0, False)
        fut: asyncio.Future[AppendReply] = asyncio.get_running_loop().create_future()
        state.waiting.append(_Waiting(record, monotonic_ms() + timeout_ms, fut))
        if state.task is None or state.task.done():
            state.task = asyncio.create_task(self._drain(stream, state))
        return await fut

    async def stop(self, timeout_s: float) -> None:
        """Wait for the appends in progress, then give the rest up."""
        tasks = [s.task for s in self._streams.values() if s.task is not None]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        for task in tasks:
            task.cancel()

    async def _drain(self, stream: str, state: _Stream) -> None:
        while state.waiting:
            await asyncio.sleep(self._interval_ms() / 1000)
            self._give_up_late(state)
            batch = state.waiting[:MAX_BATCH]
            if batch and not await self._try(stream, state, batch):
                self._give_up_late(state)
                await asyncio.sleep(RETRY_S)

    async def _try(self, stream: str, state: _Stream, batch: list[_Waiting]) -> bool:
        self._metrics.count("log_appends")
        try:
            offsets = await self._append(stream, [w.record for w in batch], APPEND_TIMEOUT_S)
        except LogDown:
            self.writable = False
            self._metrics.count("log_append_failures", kind="down")
            return False
        except AppendUnknown:
            self.writable = False
            self._metrics.count("log_append_failures", kind="unknown")
            for waiting in batch:
                waiting.may_be_in_log = True
            return False
        self.writable = True
        del state.waiting[: len(batch)]
        for waiting, offset in zip(batch, offsets, strict=True):
            if not waiting.fut.done():
                waiting.fut.set_result(AppendReply(offset, True))
        return True

    def _give_up_late(self, state: _Stream) -> None:
        now_ms = monotonic_ms()
        for waiting in state.waiting:
            if waiting.deadline_ms <= now_ms and not waiting.fut.done():
                waiting.fut.set_result(AppendReply(0, waiting.may_be_in_log))
        state.waiting = [w for w in state.waiting if not w.fut.done()]
