"""Replay of a cell's stream: who owns the cell, its workers, its jobs and their outcomes.

The newest valid claim owns the cell, and its offset is the cell's epoch. Records of another epoch
are dropped at replay, so an owner that was replaced while it was paused cannot record anything,
although the log took its append.

The log forgets. A snapshot holds the state after some offset, so any reader that has the state may
write one, at any time, without asking anybody. A reader that starts after the beginning keeps what
it reads until a whole snapshot comes by, takes the state from it, and replays what came after the
snapshot's offset. Until then it is not synced: it knows nothing and may claim nothing. A snapshot
is written in parts; one that was cut short never becomes whole and is ignored.

What a cell knows of a job is bounded: results are dropped some time after the job has ended, and
the job itself when its submission can no longer be in the job stream either. Forgetting it earlier
would run it a second time.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

import msgspec

from greengagewood.internal.records import (
    AnyRecord,
    CellClaimed,
    CellReleased,
    CellSnapshot,
    JobsAdopted,
    JobSubmitted,
    TaskOutcome,
    TasksProgressed,
    WorkersChanged,
)

__all__ = ["CellLog", "EndedJob", "LoggedTask", "job_of", "task_name"]

FINAL_OUTCOMES = frozenset({"done", "cancelled", "failed"})
MAX_KEPT_RECORDS = 100_000


def task_name(job: str, index: int) -> str:
    """Name a task of a job."""
    return f"{job}/{index}"


def job_of(task: str) -> str:
    """Return the job of a task."""
    return task.partition("/")[0]


class LoggedTask(msgspec.Struct, array_like=True):
    """Hold what the log says of a task."""

    final_outcome: str = ""
    detail: str = ""
    checkpoint: str = ""
    checkpoint_attempt: int = 0
    failed_on: tuple[str, ...] = ()


class EndedJob(msgspec.Struct):
    """Hold a job whose tasks have all ended."""

    caller: str
    counts: dict[str, int]
    ended_ms: int
    has_results: bool = True


class CellState(msgspec.Struct):
    """Hold everything that the stream says of a cell."""

    epoch: int = 0
    owner: str = ""
    boot: int = 0
    candidates: tuple[str, ...] = ()
    released: bool = False
    workers: dict[str, str] = {}
    jobs: dict[str, JobSubmitted] = {}
    tasks: dict[str, LoggedTask] = {}
    ended: dict[str, EndedJob] = {}


@dataclass
class _Parts:
    """Collect the parts of one snapshot."""

    upto: int
    parts: dict[int, str] = field(default_factory=dict)


class CellLog:
    """Keep the state of a cell."""

    def __init__(self, cell: str) -> None:
        self.cell = cell
        self._reset(synced=True)

    def _reset(self, synced: bool) -> None:
        self.synced = synced
        self.offset = 0
        self._first = 0
        self.snapshot_offset = 0
        self.dropped = 0
        self.state = CellState()
        self._final_counts: dict[str, Counter[str]] = {}
        self._kept: list[tuple[int, AnyRecord]] = []
        self._snapshots: dict[str, _Parts] = {}

    @property
    def epoch(self) -> int:
        """Return the offset of the newest valid claim, 0 if there is none."""
        return self.state.epoch

    @property
    def owner(self) -> str:
        """Return who made the newest valid claim, unless it was released."""
        return self.state.owner

    @property
    def boot(self) -> int:
        """Return the boot number of the owner."""
        return self.state.boot

    @property
    def candidates(self) -> tuple[str, ...]:
        """Return the candidates that the owner counts on."""
        return self.state.candidates

    @property
    def released(self) -> bool:
        """Tell whether the newest claim was given up."""
        return self.state.released

    @property
    def workers(self) -> dict[str, str]:
        """Return the workers that the owner may command."""
        return self.state.workers

    @property
    def tasks(self) -> dict[str, LoggedTask]:
        """Return what is known of tasks, by name."""
        return self.state.tasks

    def lose_sync(self) -> None:
        """Forget everything: records were missed."""
        self._reset(synced=False)

    def replay(self, offset: int, record: AnyRecord) -> tuple[TaskOutcome, ...]:
        """Take a record in; return the outcomes that it made durable."""
        self._first = self._first or offset
        if isinstance(record, CellSnapshot):
            self._collect_snapshot_part(record)
        elif not self.synced:
            if len(self._kept) < MAX_KEPT_RECORDS:
                self._kept.append((offset, record))
        else:
            self.offset = offset
            return self._apply(offset, record)
        if self.synced:
            self.offset = max(self.offset, offset)
        return ()

    def _apply(self, offset: int, record: AnyRecord) -> tuple[TaskOutcome, ...]:
        match record:
            case CellClaimed():
                self._apply_claim(offset, record)
            case CellReleased() if self._is_current(record.epoch):
                self.state.owner = ""
                self.state.boot = 0
                self.state.released = True
            case WorkersChanged() if self._is_current(record.epoch):
                self.state.workers.update(record.added)
                for worker in record.removed:
                    self.state.workers.pop(worker, None)
            case JobsAdopted() if self._is_current(record.epoch):
                for job in record.jobs:
                    self._adopt(job, record.at_ms)
            case TasksProgressed() if self._is_current(record.epoch):
                for outcome in record.outcomes:
                    self._apply_outcome(outcome, record.at_ms)
                return record.outcomes
            case _:
                self.dropped += 1
        return ()

    def _is_current(self, epoch: int) -> bool:
        return epoch == self.state.epoch

    def _apply_claim(self, offset: int, record: CellClaimed) -> None:
        if record.based_on != self.state.epoch:
            self.dropped += 1
            return
        self.state.epoch = offset
        self.state.owner = record.owner
        self.state.boot = record.boot
        self.state.candidates = record.candidates
        self.state.released = False

    def _adopt(self, job: JobSubmitted, at_ms: int) -> None:
        if job.job not in self.state.jobs and job.job not in self.state.ended:
            self.state.jobs[job.job] = job
            self._end_job_if_finished(job.job, at_ms)

    def _apply_outcome(self, outcome: TaskOutcome, at_ms: int) -> None:
        job = job_of(outcome.task)
        if job in self.state.ended:
            return
        task = self.state.tasks.setdefault(outcome.task, LoggedTask())
        if task.final_outcome:
            return
        if outcome.outcome in FINAL_OUTCOMES:
            task.final_outcome = outcome.outcome
            task.detail = outcome.detail
            task.checkpoint = ""
            self._final_counts.setdefault(job, Counter())[outcome.outcome] += 1
            self._end_job_if_finished(job, at_ms)
        elif outcome.outcome == "checkpointed":
            if outcome.attempt > task.checkpoint_attempt:
                task.checkpoint = outcome.detail
                task.checkpoint_attempt = outcome.attempt
        elif outcome.outcome == "attempt_failed" and outcome.detail not in task.failed_on:
            task.failed_on += (outcome.detail,)

    def _end_job_if_finished(self, job: str, at_ms: int) -> None:
        """Move a job to the ended ones when its last task has ended."""
        spec = self.state.jobs.get(job)
        counts = self._final_counts.get(job)
        if spec is None or counts is None or counts.total() < spec.tasks:
            return
        del self._final_counts[job]
        del self.state.jobs[job]
        self.state.ended[job] = EndedJob(spec.caller, dict(counts), at_ms)

    def drop_expired(self, now_ms: int, keep_results_ms: int, keep_jobs_ms: int) -> list[str]:
        """Drop old results and, later, old jobs; return the jobs whose results were dropped."""
        dropped = {
            name
            for name, job in self.state.ended.items()
            if job.has_results and now_ms - job.ended_ms > keep_results_ms
        }
        if dropped:
            for task in [t for t in self.state.tasks if job_of(t) in dropped]:
                del self.state.tasks[task]
            for name in dropped:
                self.state.ended[name].has_results = False
        for name, job in list(self.state.ended.items()):
            if now_ms - job.ended_ms > keep_jobs_ms:
                del self.state.ended[name]
        return sorted(dropped)

    # Snapshots.

    def write_snapshot(self, snapshot: str, part_chars: int) -> list[CellSnapshot]:
        """Return the records of a snapshot of the state after the last record."""
        text = msgspec.json.encode(self.state).decode()
        parts = [text[at : at + part_chars] for at in range(0, len(text), part_chars)]
        return [
            CellSnapshot(snapshot, self.offset, number, len(parts), part)
            for number, part in enumerate(parts)
        ]

    def _collect_snapshot_part(self, record: CellSnapshot) -> None:
        found = self._snapshots.setdefault(record.snapshot, _Parts(record.upto))
        found.parts[record.part] = record.data
        if len(found.parts) < record.parts:
            return
        self._snapshots = {n: p for n, p in self._snapshots.items() if p.upto > record.upto}
        self.snapshot_offset = max(self.snapshot_offset, record.upto)
        if not self.synced:
            self._load("".join(found.parts[n] for n in range(record.parts)), record.upto)

    def _load(self, text: str, upto: int) -> None:
        if self._first > upto + 1:
            return  # records between the snapshot and what was read are missing
        try:
            self.state = msgspec.json.decode(text, type=CellState)
        except msgspec.DecodeError:
            self.dropped += 1
            return
        self._count_finals()
        self.synced = True
        self.offset = upto
        kept, self._kept = self._kept, []
        for offset, record in kept:
            if offset > upto:
                self.offset = offset
                self._apply(offset, record)

    def _count_finals(self) -> None:
        self._final_counts = {}
        for name, task in self.state.tasks.items():
            job = job_of(name)
            if task.final_outcome and job not in self.state.ended:
                self._final_counts.setdefault(job, Counter())[task.final_outcome] += 1
