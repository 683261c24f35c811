"""Tell workers that fail every task from tasks that fail on every worker.

A worker on which several different tasks failed in a row, none succeeding between, is quarantined
for a time that doubles; after that it is on probation and gets one task at a time until one
succeeds. A task counts each worker on which it failed once, so a bad worker costs it one of its
attempts at the most.
"""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["WorkerFailureTracker"]

FAILURES_TO_QUARANTINE = 3
QUARANTINE_BASE_MS = 30_000
QUARANTINE_MAX_MS = 900_000


@dataclass
class _Record:
    failed: set[str] = field(default_factory=set)
    quarantines: int = 0
    until_ms: int = 0
    on_probation: bool = False


class WorkerFailureTracker:
    """Keep what workers did with their tasks."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_task_success(self, worker: str) -> None:
        """Note that a task ended well on a worker."""
        self._records.pop(worker, None)

    def record_task_failure(self, worker: str, task: str, now_ms: int) -> bool:
        """Note that a task failed on a worker; return whether it is quarantined for it."""
        record = self._records.setdefault(worker, _Record())
        record.failed.add(task)
        enough = 1 if record.on_probation else FAILURES_TO_QUARANTINE
        if len(record.failed) < enough or record.until_ms > now_ms:
            return False
        span_ms = min(QUARANTINE_BASE_MS << min(record.quarantines, 10), QUARANTINE_MAX_MS)
        record.until_ms = now_ms + span_ms
        record.quarantines += 1
        record.on_probation = True
        record.failed.clear()
        return True

    def is_quarantined(self, worker: str, now_ms: int) -> bool:
        """Tell whether a worker gets no tasks now."""
        record = self._records.get(worker)
        return record is not None and record.until_ms > now_ms

    def is_on_probation(self, worker: str) -> bool:
        """Tell whether a worker gets one task at a time."""
        record = self._records.get(worker)
        return record is not None and record.on_probation
