"""Replay of the job stream: the jobs that callers have submitted and cancelled."""

from __future__ import annotations

from dataclasses import dataclass

from greengagewood.internal.records import JobCancelled, JobSubmitted

__all__ = ["JobLog", "LoggedJob"]


@dataclass
class LoggedJob:
    """Hold a submitted job, and whether it was cancelled."""

    spec: JobSubmitted
    cancelled: bool = False


class JobLog:
    """Hold the jobs of every cell; only the first submission of a job counts.

    The stream may have dropped the submission of a job that it still has the cancellation of.
    `early_cancellations` are those without a submission, by job.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, LoggedJob] = {}
        self.early_cancellations: dict[str, JobCancelled] = {}

    def replay(self, record: JobSubmitted | JobCancelled) -> bool:
        """Apply a record; return whether it changed anything."""
        if isinstance(record, JobSubmitted):
            if record.job in self.jobs:
                return False
            cancelled = self.early_cancellations.pop(record.job, None) is not None
            self.jobs[record.job] = LoggedJob(record, cancelled)
            return True
        job = self.jobs.get(record.job)
        if job is None:
            self.early_cancellations[record.job] = record
            return False
        if job.cancelled:
            return False
        job.cancelled = True
        return True

    def drop_before(self, at_ms: int, active: set[str]) -> None:
        """Drop jobs and cancellations from before a time, except those of jobs in `active`."""
        for name, job in list(self.jobs.items()):
            if job.spec.at_ms < at_ms and name not in active:
                del self.jobs[name]
        for name, record in list(self.early_cancellations.items()):
            if record.at_ms < at_ms and name not in active:
                del self.early_cancellations[name]
