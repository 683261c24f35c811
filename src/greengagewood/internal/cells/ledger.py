"""Stored state of one cell: its jobs, cancellations, progress, ownership and registered workers.

Every instance keeps this state, so that any of them can tell callers the state of a job and can
become the owner. Records are applied in the order of their offsets. The newest record of a key
counts, and applying a record twice changes nothing.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.book import FINAL_STATES
from greengagewood.internal.jobs.records import (
    PROGRESS_PREFIX,
    Cancellation,
    Departures,
    Forecast,
    Ownership,
    Progress,
    Record,
    RecordError,
    RegisteredWorkers,
    Submission,
    decode_record,
    encode_record,
)
from greengagewood.internal.ports import LogEntry

__all__ = ["Ledger", "StoredJob"]


@dataclass(slots=True)
class StoredJob:
    """Stored records of one job.

    A submission takes six times the memory once it is decoded. Every instance keeps all jobs, also
    those that have ended, but only an owner needs their submissions, so they are kept encoded.
    """

    queue: str | None = None  # None until the submission was read
    encoded_submission: bytes = b""
    # Offsets in the cell's log of the first and the last submission that was read. An instance that
    # reads the newest record of each key knows only the last one.
    submission_offset: int = -1
    last_submission_offset: int = -1
    progress: Progress | None = None  # without details once the job has ended
    has_unreadable_progress: bool = False
    task_count: int = 0  # of one occurrence
    cancelled: bool = False

    @property
    def is_submitted(self) -> bool:
        """Return whether the submission of the job was read."""
        return self.queue is not None

    def decode_submission(self) -> Submission | None:
        """Return the submission of the job, or None if it was not read."""
        record = decode_record(self.encoded_submission) if self.is_submitted else None
        return record if isinstance(record, Submission) else None

    @property
    def state(self) -> str:
        """Return the state of the job: queued, running, completed, failed or cancelled."""
        progress = self.progress.state if self.progress else "queued"
        if self.cancelled and progress not in FINAL_STATES:
            return "cancelled"
        return progress


class Ledger:
    """State of a cell, built from its stored records."""

    def __init__(self) -> None:
        self.jobs: dict[str, StoredJob] = {}
        self.ownership = Ownership(0, "")
        self.registered_workers = RegisteredWorkers(())
        self.registered_workers_offset = -1
        self.registered_workers_read_ms = 0  # when the record was first read
        # Workers that have left since the registered workers were stored, and their boot times.
        self.departed: dict[str, int] = {}
        self._departures_offset = -1
        self.forecast: Forecast | None = None
        self.forecast_offset = -1
        self.forecast_since_ms: int | None = None  # when it was stored at the earliest, if known
        self.next_offset = 0  # where the next read of the log starts
        self.claim_offset = -1  # of the first ownership record with the newest token
        self.unreadable_count = 0  # records that could not be decoded
        # When cancellations were first read whose submissions were not, by job ID.
        self.early_cancellations: dict[str, int] = {}
        self.unfinished_tasks = 0  # of one occurrence of each job that has not ended
        self._unfinished_jobs: set[str] = set()  # that are counted in it
        self._queued_jobs: dict[str, set[str]] = {}  # job IDs by queue
        self._offsets: dict[str, int] = {}  # of the newest record of each key

    def apply(self, entry: LogEntry, since_ms: int | None = None) -> Record | None:
        """Apply an entry of the log, stored at `since_ms` or later; return its record, or None.

        None is returned for a deletion, for an entry that cannot be decoded, and for one that is
        older than the newest entry of its key.
        """
        if entry.offset < self._offsets.get(entry.key, -1):
            return None
        if not entry.value:
            self._delete(entry.key)
            return None
        self._offsets[entry.key] = entry.offset
        try:
            record = decode_record(entry.value)
        except RecordError:
            self.unreadable_count += 1
            if entry.key.startswith(PROGRESS_PREFIX):
                job_id = entry.key.removeprefix(PROGRESS_PREFIX)
                self.jobs.setdefault(job_id, StoredJob()).has_unreadable_progress = True
            return None
        if isinstance(record, Forecast) and entry.offset != self.forecast_offset:
            self.forecast_since_ms = since_ms
        self.apply_stored(record, entry.offset, entry.value)
        return record

    def apply_stored(self, record: Record, offset: int, encoded: bytes = b"") -> None:
        """Apply a record that is certainly stored."""
        match record:
            case Submission():
                job = self.jobs.setdefault(record.job_id, StoredJob())
                if job.is_submitted:
                    job.submission_offset = min(job.submission_offset, offset)
                else:
                    job.queue = sys.intern(record.queue.name)
                    job.encoded_submission = encoded or encode_record(record)
                    job.submission_offset = offset
                    job.task_count = sum(step.task_count for step in record.spec.steps)
                job.last_submission_offset = max(job.last_submission_offset, offset)
                self.early_cancellations.pop(record.job_id, None)
                self._update_queued(record.job_id, job)
            case Progress():
                job = self.jobs.setdefault(record.job_id, StoredJob())
                job.progress = _without_details(record)
                self._update_queued(record.job_id, job)
            case Cancellation():
                job = self.jobs.setdefault(record.job_id, StoredJob())
                job.cancelled = True
                if not job.is_submitted:
                    self.early_cancellations.setdefault(record.job_id, monotonic_ms())
                self._update_queued(record.job_id, job)
            case Ownership():
                if record.token > self.ownership.token:
                    self.claim_offset = offset
                if record.token >= self.ownership.token:
                    self.ownership = record
            case RegisteredWorkers():
                self.registered_workers = record
                if offset > self._departures_offset:
                    self.departed.clear()
                if offset != self.registered_workers_offset:
                    self.registered_workers_offset = offset
                    self.registered_workers_read_ms = monotonic_ms()
            case Departures():
                if offset > self.registered_workers_offset:
                    self.departed.update(record.workers)
                    self._departures_offset = offset
            case Forecast():
                self.forecast = record
                self.forecast_offset = offset

    def retain(self, keys: set[str], end_offset: int) -> None:
        """Delete the entries below an offset whose keys the store no longer has."""
        for key, offset in list(self._offsets.items()):
            if offset < end_offset and key not in keys:
                self._delete(key)

    def _update_queued(self, job_id: str, job: StoredJob) -> None:
        if job.queue is None:
            return
        if job.state in FINAL_STATES:
            self._note_ended(job_id, job)
        elif job_id not in self._unfinished_jobs:
            self._unfinished_jobs.add(job_id)
            self.unfinished_tasks += job.task_count
        queued_jobs = self._queued_jobs.setdefault(job.queue, set())
        if job.state == "queued":
            queued_jobs.add(job_id)
        else:
            queued_jobs.discard(job_id)

    def _note_ended(self, job_id: str, job: StoredJob) -> None:
        if job_id in self._unfinished_jobs:
            self._unfinished_jobs.discard(job_id)
            self.unfinished_tasks -= job.task_count

    def _delete(self, key: str) -> None:
        self._offsets.pop(key, None)
        kind, job_id = key[:1], key[1:]  # see records.key_of
        if kind == "c" and self.early_cancellations.pop(job_id, None) is not None:
            del self.jobs[job_id]
        if kind != "j":
            return
        job = self.jobs.pop(job_id, None)
        if job is not None:
            self._note_ended(job_id, job)
        if job is not None and job.queue is not None:
            self._queued_jobs.get(job.queue, set()).discard(job_id)

    def queued_count(self, queue: str) -> int:
        """Return the number of accepted jobs of a queue of which no task was started yet."""
        return len(self._queued_jobs.get(queue, ()))

    def early_cancellations_before(self, read_ms: int) -> list[str]:
        """Return the IDs of jobs without a submission whose cancellations were read by then."""
        return [job for job, first_ms in self.early_cancellations.items() if first_ms < read_ms]

    def ended_before(self, wall_ms: int) -> list[str]:
        """Return the IDs of jobs that ended before a time of day."""
        return [
            job_id
            for job_id, job in self.jobs.items()
            if job.progress is not None
            and job.progress.state in FINAL_STATES
            and job.progress.ended_ms < wall_ms
        ]


def _without_details(progress: Progress) -> Progress:
    """Return the progress of an ended job without its tasks, which nobody needs any more."""
    if progress.state not in FINAL_STATES:
        return progress
    return Progress(progress.job_id, sys.intern(progress.state), ended_ms=progress.ended_ms)
