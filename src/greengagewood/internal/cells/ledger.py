"""What the store says of one cell: jobs, cancellations, progress and ownership.

Every instance keeps it, so that any of them can tell a caller how a job is, and any of them can
become the owner. Records are applied in the order of their offsets, the newest of a key counts, and
applying one twice changes nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from greengagewood.internal.jobs.book import FINAL_STATES
from greengagewood.internal.jobs.records import (
    Cancellation,
    Enlisted,
    Ownership,
    Progress,
    Record,
    RecordError,
    Submission,
    decode_record,
)
from greengagewood.internal.ports import LogEntry

__all__ = ["KnownJob", "Ledger"]


@dataclass(slots=True)
class KnownJob:
    """Hold what the store says of one job."""

    submission: Submission | None = None
    submitted_at: int = -1
    progress: Progress | None = None
    cancelled: bool = False

    @property
    def state(self) -> str:
        """Return queued, running, completed, failed or cancelled."""
        progress = self.progress.state if self.progress else "queued"
        if self.cancelled and progress not in FINAL_STATES:
            return "cancelled"
        return progress


class Ledger:
    """Replay the records of a cell."""

    def __init__(self) -> None:
        self.jobs: dict[str, KnownJob] = {}
        self.ownership = Ownership(0, "")
        self.enlisted = Enlisted(())
        self.end = 0  # the offset from which to read on
        self.claimed_at = -1
        self.unreadable = 0
        self._queued: dict[str, set[str]] = {}
        self._offsets: dict[str, int] = {}

    def apply(self, entry: LogEntry) -> Record | None:
        """Take a record in; return it unless it is unreadable or older than what is known."""
        if entry.offset < self._offsets.get(entry.key, -1):
            return None
        if not entry.value:
            self._drop(entry.key)
            return None
        self._offsets[entry.key] = entry.offset
        try:
            record = decode_record(entry.value)
        except RecordError:
            self.unreadable += 1
            return None
        self.take(record, entry.offset)
        return record

    def take(self, record: Record, offset: int) -> None:
        """Take in a record that is certainly in the store."""
        match record:
            case Submission():
                job = self.jobs.setdefault(record.job_id, KnownJob())
                if job.submission is None:
                    job.submission = record
                    job.submitted_at = offset
                self._count(record.job_id, job)
            case Progress():
                job = self.jobs.setdefault(record.job_id, KnownJob())
                job.progress = record
                self._count(record.job_id, job)
            case Cancellation():
                job = self.jobs.setdefault(record.job_id, KnownJob())
                job.cancelled = True
                self._count(record.job_id, job)
            case Ownership():
                if record.token > self.ownership.token:
                    self.claimed_at = offset
                if record.token >= self.ownership.token:
                    self.ownership = record
            case Enlisted():
                self.enlisted = record

    def _count(self, name: str, job: KnownJob) -> None:
        if job.submission is None:
            return
        waiting = self._queued.setdefault(job.submission.queue.name, set())
        if job.state == "queued":
            waiting.add(name)
        else:
            waiting.discard(name)

    def _drop(self, key: str) -> None:
        self._offsets.pop(key, None)
        if key[:1] != "j":
            return
        job = self.jobs.pop(key[1:], None)
        if job is not None and job.submission is not None:
            self._queued.get(job.submission.queue.name, set()).discard(key[1:])

    def pending(self, queue: str) -> int:
        """Return how many accepted jobs of a queue have no task that was started."""
        return len(self._queued.get(queue, ()))

    def ended_before(self, wall_ms: int) -> list[str]:
        """Return jobs that ended before a time of day."""
        return [
            name
            for name, job in self.jobs.items()
            if job.progress is not None
            and job.progress.state in FINAL_STATES
            and job.progress.ended_ms < wall_ms
        ]
