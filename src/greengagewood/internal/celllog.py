"""Replay of a cell's stream and of the jobs that belong to it.

The newest valid claim owns the cell, and its offset is the cell's epoch. Records of another epoch
are dropped at replay, so an owner that was replaced while it was paused cannot record anything,
although the log took its append.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from greengagewood.internal.records import (
    AnyRecord,
    CellClaimed,
    CellReleased,
    JobCancelled,
    JobSubmitted,
    TaskOutcome,
    TasksProgressed,
    WorkersChanged,
)

__all__ = ["CellLog", "JobLog", "LoggedJob", "LoggedTask", "task_name"]

FINAL_OUTCOMES = frozenset({"done", "cancelled", "failed"})


def task_name(job: str, index: int) -> str:
    """Name a task of a job."""
    return f"{job}/{index}"


@dataclass
class LoggedTask:
    """Hold what the log says of a task."""

    final: str = ""
    detail: str = ""
    checkpoint: str = ""
    checkpoint_attempt: int = 0
    failures: int = 0
    last_failed: int = 0


@dataclass
class LoggedJob:
    """Hold what the log says of a job."""

    spec: JobSubmitted
    cancelled: bool = False


class JobLog:
    """Keep the jobs of every cell; the first record of a job counts."""

    def __init__(self) -> None:
        self.jobs: dict[str, LoggedJob] = {}

    def replay(self, record: JobSubmitted | JobCancelled) -> bool:
        """Take a record in; return whether it changed anything."""
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


@dataclass
class CellLog:
    """Keep the owner of a cell and the outcomes of its tasks."""

    cell: str
    epoch: int = 0
    owner: str = ""
    boot: int = 0
    candidates: tuple[str, ...] = ()
    tasks: dict[str, LoggedTask] = field(default_factory=dict)
    workers: dict[str, str] = field(default_factory=dict)
    released: bool = False
    dropped: int = 0

    def replay(self, offset: int, record: AnyRecord) -> tuple[TaskOutcome, ...]:
        """Take a record in; return the outcomes that it made durable."""
        if isinstance(record, CellClaimed):
            self._replay_claim(offset, record)
        elif isinstance(record, CellReleased):
            self._replay_release(record)
        elif isinstance(record, WorkersChanged):
            self._replay_workers(record)
        elif isinstance(record, TasksProgressed):
            return self._replay_progress(record)
        else:
            self.dropped += 1
        return ()

    def _replay_claim(self, offset: int, record: CellClaimed) -> None:
        if record.based_on != self.epoch:
            self.dropped += 1
            return
        self.epoch = offset
        self.owner = record.owner
        self.boot = record.boot
        self.candidates = record.candidates
        self.released = False

    def _replay_release(self, record: CellReleased) -> None:
        if record.epoch != self.epoch:
            self.dropped += 1
            return
        self.owner = ""
        self.boot = 0
        self.released = True

    def _replay_workers(self, record: WorkersChanged) -> None:
        if record.epoch != self.epoch:
            self.dropped += 1
            return
        self.workers.update(record.added)
        for worker in record.removed:
            self.workers.pop(worker, None)

    def _replay_progress(self, record: TasksProgressed) -> tuple[TaskOutcome, ...]:
        if record.epoch != self.epoch:
            self.dropped += 1
            return ()
        for outcome in record.outcomes:
            self._apply(outcome)
        return record.outcomes

    def _apply(self, outcome: TaskOutcome) -> None:
        task = self.tasks.setdefault(outcome.task, LoggedTask())
        if task.final:
            return
        if outcome.outcome in FINAL_OUTCOMES:
            task.final = outcome.outcome
            task.detail = outcome.detail
            task.checkpoint = ""
        elif outcome.outcome == "checkpointed":
            if outcome.attempt > task.checkpoint_attempt:
                task.checkpoint = outcome.detail
                task.checkpoint_attempt = outcome.attempt
        elif outcome.outcome == "attempt_failed" and outcome.attempt > task.last_failed:
            task.failures += 1
            task.last_failed = outcome.attempt
