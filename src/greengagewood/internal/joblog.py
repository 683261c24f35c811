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
    """Hold the jobs of every cell; only the first submission of a job counts."""

    def __init__(self) -> None:
        self.jobs: dict[str, LoggedJob] = {}

    def replay(self, record: JobSubmitted | JobCancelled) -> bool:
        """Apply a record; return whether it changed anything."""
        if isinstance(record, JobSubmitted):
            if record.job in self.jobs:
                return False
            self.jobs[record.job] = LoggedJob(record)
            return True
        job = self.jobs.get(record.job)
        if job is None or job.cancelled:
            return False
        job.cancelled = True
        return True

    def drop_before(self, at_ms: int, active: set[str]) -> None:
        """Drop jobs that were submitted before a time, except those in `active`."""
        for name, job in list(self.jobs.items()):
            if job.spec.at_ms < at_ms and name not in active:
                del self.jobs[name]
