"""Quarantine workers on which tasks keep failing.

This distinguishes a worker that fails every task from a task that fails on every worker. A worker
on which several different tasks failed, with no success in between, is quarantined for a time that
doubles with each quarantine. It is then on probation: it gets one task at a time until one
succeeds. A task counts each worker on which it failed once, so a faulty worker costs a task at
most one of its attempts.

The tasks of a job that fails everywhere count as one, and say nothing of a worker on probation: a
broken job of many tasks must not take all workers from the others.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from greengagewood.internal.attribution import BROKEN_AFTER_FAILURES, BROKEN_ON_WORKERS

__all__ = ["WorkerFailureTracker", "is_broken"]

FAILURES_TO_QUARANTINE = 3
QUARANTINE_BASE_MS = 30_000
QUARANTINE_MAX_MS = 900_000


def is_broken(failures: Counter[str], worker_count: int) -> bool:
    """Return whether a job with these failures by worker, and no success, fails on every worker."""
    needed = min(BROKEN_ON_WORKERS, worker_count)
    return len(failures) >= needed and failures.total() >= BROKEN_AFTER_FAILURES


@dataclass
class _WorkerRecord:
    failed_tasks: set[str] = field(default_factory=set)
    quarantines: int = 0
    quarantined_until_ms: int = 0
    on_probation: bool = False


class WorkerFailureTracker:
    """Record on which workers tasks fail, and quarantine these workers."""

    def __init__(self) -> None:
        self._records: dict[str, _WorkerRecord] = {}

    def record_task_success(self, worker: str, now_ms: int) -> None:
        """Record that a task succeeded on a worker, which clears the worker's failures.

        A task that was started before a quarantine and succeeds during it does not end it.
        """
        if not self.is_quarantined(worker, now_ms):
            self._records.pop(worker, None)

    def record_task_failure(
        self, worker: str, task: str, now_ms: int, broken_job: str = ""
    ) -> bool:
        """Record that a task failed on a worker; return whether this quarantines the worker.

        `broken_job` is the task's job if that fails on every worker.
        """
        record = self._records.setdefault(worker, _WorkerRecord())
        if broken_job and record.on_probation:
            return False
        record.failed_tasks.add(broken_job or task)
        threshold = 1 if record.on_probation else FAILURES_TO_QUARANTINE
        if len(record.failed_tasks) < threshold or record.quarantined_until_ms > now_ms:
            return False
        duration_ms = min(QUARANTINE_BASE_MS << min(record.quarantines, 10), QUARANTINE_MAX_MS)
        record.quarantined_until_ms = now_ms + duration_ms
        record.quarantines += 1
        record.on_probation = True
        record.failed_tasks.clear()
        return True

    def is_quarantined(self, worker: str, now_ms: int) -> bool:
        """Tell whether a worker is quarantined and gets no tasks."""
        record = self._records.get(worker)
        return record is not None and record.quarantined_until_ms > now_ms

    def is_on_probation(self, worker: str) -> bool:
        """Tell whether a worker gets only one task at a time."""
        record = self._records.get(worker)
        return record is not None and record.on_probation
