"""Replay of a cell's stream: who owns the cell, its workers, its jobs and their outcomes.

A cell is a group of workers with one owner at a time. The newest valid claim decides who owns the
cell, and the claim's offset is the cell's epoch. Replay drops records of any other epoch, so an
owner that was replaced while it was paused cannot change the state, although the log accepted its
append.

The log keeps records for a limited time. A snapshot stores the state after some offset; any reader
that has the state may write one at any time, without coordination. A reader that does not start
at the beginning buffers the records that it reads until it has all parts of a snapshot. It then
loads the state and replays the buffered records that follow the snapshot's offset. Until then the
reader is not synced: it has no state and must not claim the cell. A snapshot is written in parts;
one with missing parts is ignored.

The state of a job is kept for a limited time. Results are dropped some time after the job has
ended. The job itself is dropped only when its submission can no longer be in the job stream;
dropping it earlier would run the job a second time.
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
MAX_BUFFERED_RECORDS = 100_000  # while waiting for a snapshot


def task_name(job: str, index: int) -> str:
    """Return the name of a task of a job."""
    return f"{job}/{index}"


def job_of(task: str) -> str:
    """Return the name of the job that a task belongs to."""
    return task.partition("/")[0]


class LoggedTask(msgspec.Struct, array_like=True):
    """The outcomes of a task that are in the log."""

    final_outcome: str = ""
    detail: str = ""
    checkpoint: str = ""
    checkpoint_attempt: int = 0
    failed_on: tuple[str, ...] = ()


class EndedJob(msgspec.Struct):
    """A job whose tasks have all ended, and how many ended with each outcome."""

    caller: str
    counts: dict[str, int]
    ended_ms: int
    has_results: bool = True


class CellState(msgspec.Struct):
    """The state of a cell, as a snapshot stores it."""

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
class _PartialSnapshot:
    """The parts of one snapshot that have been read so far."""

    upto: int
    parts: dict[int, str] = field(default_factory=dict)


class CellLog:
    """The state of a cell, as replayed from its stream."""

    def __init__(self, cell: str) -> None:
        self.cell = cell
        self._reset(synced=True)

    def _reset(self, synced: bool) -> None:
        self.synced = synced
        self.offset = 0
        self._first_offset = 0
        self.snapshot_offset = 0
        self.dropped_records = 0
        self.state = CellState()
        self._final_outcome_counts: dict[str, Counter[str]] = {}
        self._buffered: list[tuple[int, AnyRecord]] = []
        self._partial_snapshots: dict[str, _PartialSnapshot] = {}

    @property
    def epoch(self) -> int:
        """Return the offset of the newest valid claim, or 0 if there is none."""
        return self.state.epoch

    @property
    def owner(self) -> str:
        """Return the scheduler of the newest valid claim, or an empty string if it was released."""
        return self.state.owner

    @property
    def boot(self) -> int:
        """Return the boot number of the owner."""
        return self.state.boot

    @property
    def candidates(self) -> tuple[str, ...]:
        """Return the candidates of the newest valid claim; see `CellClaimed`."""
        return self.state.candidates

    @property
    def released(self) -> bool:
        """Return whether the owner of the newest valid claim has released the cell."""
        return self.state.released

    @property
    def workers(self) -> dict[str, str]:
        """Return the URLs of the workers that the owner may command, by name."""
        return self.state.workers

    @property
    def tasks(self) -> dict[str, LoggedTask]:
        """Return the logged tasks by name."""
        return self.state.tasks

    def lose_sync(self) -> None:
        """Discard the state, because records were missed; a snapshot restores it."""
        self._reset(synced=False)

    def replay(self, offset: int, record: AnyRecord) -> tuple[TaskOutcome, ...]:
        """Apply a record; return the task outcomes that it made durable."""
        self._first_offset = self._first_offset or offset
        if isinstance(record, CellSnapshot):
            self._collect_snapshot_part(record)
        elif not self.synced:
            self._buffered.append((offset, record))
            if len(self._buffered) > MAX_BUFFERED_RECORDS:
                # Only a snapshot that covers the dropped records can be used.
                self._buffered.clear()
                self._first_offset = offset + 1
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
                    self._adopt_job(job, record.at_ms)
            case TasksProgressed() if self._is_current(record.epoch):
                for outcome in record.outcomes:
                    self._apply_outcome(outcome, record.at_ms)
                return record.outcomes
            case _:
                self.dropped_records += 1
        return ()

    def _is_current(self, epoch: int) -> bool:
        return epoch == self.state.epoch

    def _apply_claim(self, offset: int, record: CellClaimed) -> None:
        if record.based_on != self.state.epoch:
            self.dropped_records += 1
            return
        self.state.epoch = offset
        self.state.owner = record.owner
        self.state.boot = record.boot
        self.state.candidates = record.candidates
        self.state.released = False

    def _adopt_job(self, job: JobSubmitted, at_ms: int) -> None:
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
            self._final_outcome_counts.setdefault(job, Counter())[outcome.outcome] += 1
            self._end_job_if_finished(job, at_ms)
        elif outcome.outcome == "checkpointed":
            if outcome.attempt > task.checkpoint_attempt:
                task.checkpoint = outcome.detail
                task.checkpoint_attempt = outcome.attempt
        elif outcome.outcome == "attempt_failed" and outcome.detail not in task.failed_on:
            task.failed_on += (outcome.detail,)

    def _end_job_if_finished(self, job: str, at_ms: int) -> None:
        """Move a job to `ended` when all of its tasks have ended."""
        spec = self.state.jobs.get(job)
        counts = self._final_outcome_counts.get(job)
        if spec is None or counts is None or counts.total() < spec.tasks:
            return
        del self._final_outcome_counts[job]
        del self.state.jobs[job]
        self.state.ended[job] = EndedJob(spec.caller, dict(counts), at_ms)

    def drop_expired(self, now_ms: int, keep_results_ms: int, keep_jobs_ms: int) -> list[str]:
        """Drop results and jobs past their retention; return the jobs that lost their results."""
        without_results = {
            name
            for name, job in self.state.ended.items()
            if job.has_results and now_ms - job.ended_ms > keep_results_ms
        }
        if without_results:
            for task in [name for name in self.state.tasks if job_of(name) in without_results]:
                del self.state.tasks[task]
            for name in without_results:
                self.state.ended[name].has_results = False
        for name, job in list(self.state.ended.items()):
            if now_ms - job.ended_ms > keep_jobs_ms:
                del self.state.ended[name]
        return sorted(without_results)

    # Snapshots.

    def write_snapshot(self, snapshot: str, part_chars: int) -> list[CellSnapshot]:
        """Return the records of a snapshot of the state after the last replayed record."""
        text = msgspec.json.encode(self.state).decode()
        parts = [text[at : at + part_chars] for at in range(0, len(text), part_chars)]
        return [
            CellSnapshot(snapshot, self.offset, number, len(parts), part)
            for number, part in enumerate(parts)
        ]

    def _collect_snapshot_part(self, record: CellSnapshot) -> None:
        partial = self._partial_snapshots.setdefault(record.snapshot, _PartialSnapshot(record.upto))
        partial.parts[record.part] = record.data
        if len(partial.parts) < record.parts:
            return
        self._partial_snapshots = {
            name: other
            for name, other in self._partial_snapshots.items()
            if other.upto > record.upto
        }
        self.snapshot_offset = max(self.snapshot_offset, record.upto)
        if not self.synced:
            self._load_snapshot(
                "".join(partial.parts[number] for number in range(record.parts)), record.upto
            )

    def _load_snapshot(self, text: str, upto: int) -> None:
        if self._first_offset > upto + 1:
            return  # records between the snapshot and the first one read are missing
        try:
            self.state = msgspec.json.decode(text, type=CellState)
        except msgspec.DecodeError:
            self.dropped_records += 1
            return
        self._recount_final_outcomes()
        self.synced = True
        self.offset = upto
        buffered, self._buffered = self._buffered, []
        for offset, record in buffered:
            if offset > upto:
                self.offset = offset
                self._apply(offset, record)

    def _recount_final_outcomes(self) -> None:
        self._final_outcome_counts = {}
        for name, task in self.state.tasks.items():
            job = job_of(name)
            if task.final_outcome and job not in self.state.ended:
                self._final_outcome_counts.setdefault(job, Counter())[task.final_outcome] += 1
