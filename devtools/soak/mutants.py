"""Mutants of the program, each of which breaks one promise that the checker must see broken.

Each replaces one attribute. The launcher applies it to a process, and tests in virtual time to
themselves.
"""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable
from typing import Any

import msgspec

from greengagewood.internal.cells import planner, stops
from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.copies import CopyPolicy
from greengagewood.internal.cells.fleet import Worker
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.runner import CellRunner
from greengagewood.internal.cells.stops import StopPlanner
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.entry.intake import BatchWriter
from greengagewood.internal.jobs.book import JobBook, Run
from greengagewood.internal.jobs.records import Cancellation, Submission
from greengagewood.internal.ports import Outcome
from greengagewood.platform import directory, jobs

__all__ = ["MUTANTS"]

Mutant = tuple[Any, str, Any]  # the arguments of setattr


def _wrap(owner: Any, name: str, call: Callable[..., Any]) -> Mutant:
    """Return a mutant that calls this with a function and its arguments in place of it."""
    original = getattr(owner, name)

    def wrapped(*args: Any) -> Any:
        return call(original, *args)

    return owner, name, wrapped


def _alter(owner: Any, name: str, **changes: Any) -> Mutant:
    """Return a mutant that changes fields of what a function returns."""

    def alter(function: Any, *args: Any) -> Any:
        found = function(*args)
        is_struct = isinstance(found, msgspec.Struct)
        replace: Any = msgspec.structs.replace if is_struct else dataclasses.replace
        return found and replace(found, **changes)

    return _wrap(owner, name, alter)


def _skip(owner: Any, name: str, every: int) -> Mutant:
    """Return a mutant that skips some calls of a method."""
    count = itertools.count(1)
    return _wrap(owner, name, lambda f, *args: None if next(count) % every == 0 else f(*args))


def _conclude_without_reads(plan: Any, cell: Cell, now_ms: int, *rest: Any) -> Any:
    """Take what follows from the time that has passed as confirmed, as before issue 32."""
    cell.note_confirmed(now_ms)
    return plan(cell, now_ms, *rest)


def _refuse_what_is_stored() -> Mutant:
    """Return a mutant that answers every tenth stored record as if it had been refused."""
    count = itertools.count(1)

    async def refuse_some(store_record: Any, *args: Any) -> Outcome:
        outcome: Outcome = await store_record(*args)
        return Outcome.REFUSED if next(count) % 10 == 0 else outcome

    return _wrap(BatchWriter, "store_record", refuse_some)


def _accept_without_storing() -> Mutant:
    """Return a mutant that acknowledges every tenth record without storing it."""
    count = itertools.count(1)

    async def skip_some(store_record: Any, *args: Any) -> Any:
        return Outcome.DONE if next(count) % 10 == 0 else await store_record(*args)

    return _wrap(BatchWriter, "store_record", skip_some)


def _apply_as_read(_: Any, runner: Any, record: Any) -> None:
    """Pass a record on as it was read, as before b4e0519."""
    now_ms = monotonic_ms()
    if isinstance(record, Submission):
        offset = runner._ledger.jobs[record.job_id].submission_offset
        runner.cell.add_job(record, None, True, now_ms, offset)
    elif isinstance(record, Cancellation):
        runner.cell.cancel(record.job_id, now_ms)
    runner._plan_wakeup.set()


def _complete_early(note_task_done: Any, book: JobBook, task: Any, now_ms: int) -> None:
    """End a job as completed with the first of its tasks."""
    note_task_done(book, task, now_ms)
    book.end_job(task.step.job, "completed", now_ms)


def _leave_lasting(mark_waiting: Any, book: JobBook, task: Any) -> None:
    """Don't start a lasting task again."""
    if not (task.step.spec.long_running and task.last_run_ended_ms):
        mark_waiting(book, task)


def _never_stop(applies: Callable[[StopPlanner, Worker, Run], bool]) -> Mutant:
    """Return a mutant that sends no stop to the runs of ended jobs to which this applies."""

    def reason(f: Any, stop_planner: StopPlanner, worker: Worker, run: Run, now_ms: int) -> Any:
        spared = run.task.step.job.is_final and applies(stop_planner, worker, run)
        return "" if spared else f(stop_planner, worker, run, now_ms)

    return _wrap(StopPlanner, "_stop_reason", reason)


def _copy_for_ended_job(find: Any, policy: CopyPolicy, run: Run, *args: Any) -> Any:
    """Find stragglers of jobs that have ended, too."""
    job = run.task.step.job
    state, job.state = job.state, "running"
    try:
        return find(policy, run, *args)
    finally:
        job.state = state


def _keep_timed(end_job: Any, book: JobBook, job: Any, *args: Any) -> None:
    """Keep a job that has ended among the timed ones, whose occurrences are opened."""
    timed = job.id in book.timed_jobs
    end_job(book, job, *args)
    if timed:
        book.timed_jobs[job.id] = job


def _forget_cancellation(apply: Any, runner: CellRunner, job_id: str, now_ms: int) -> None:
    """Take up a stored job without its cancellation, as a new owner."""
    stored = runner._ledger.jobs.get(job_id)
    if stored is None or job_id in runner.cell.book.jobs:
        apply(runner, job_id, now_ms)
        return
    kept = stored.cancelled, stored.progress
    stored.cancelled = False
    if stored.progress is not None and stored.progress.state == "cancelled":
        stored.progress = None
    try:
        apply(runner, job_id, now_ms)
    finally:
        stored.cancelled, stored.progress = kept


# Each switches one row of docs/design/cancellation.md off.
_CANCEL_MUTANTS: dict[str, Mutant] = {
    "cancel_forgotten_by_successor": _wrap(CellRunner, "_apply_stored_job", _forget_cancellation),
    "cancel_then_copy": _wrap(CopyPolicy, "find_straggler", _copy_for_ended_job),
    "cancel_then_occur": _wrap(JobBook, "end_job", _keep_timed),
    "cancel_then_queue_again": _wrap(
        Cell, "_queue_again", lambda f, cell, task: task.end_state or cell.book.mark_waiting(task)
    ),
    "cancel_then_start_waiting": _wrap(
        JobBook,
        "unmark_waiting",
        lambda f, book, task: None if task.step.job.is_final else f(book, task),
    ),
    "keep_without_confirmation": _wrap(OwnershipView, "_is_confirmed", lambda f, *args: True),
    "keep_without_reads": _wrap(OwnershipView, "is_read_recent", lambda f, *args: True),
    "no_start_deadline": (planner, "START_WINDOW_MS", 30_000),
    "no_stop": _never_stop(lambda _, worker, run: True),
    "no_stop_draining": _never_stop(lambda _, worker, run: worker.info.draining),
    "no_stop_evacuated": _never_stop(lambda plan, worker, run: plan._planner.is_evacuated(worker)),
    "no_stop_failed": _never_stop(lambda _, worker, run: run.task.step.job.state == "failed"),
    "no_stop_of_copy": _never_stop(lambda _, worker, run: run.task.copy is run),
    "no_stop_of_lasting": _never_stop(lambda _, worker, run: run.task.step.spec.long_running),
    "no_stop_paused": _never_stop(lambda _, worker, run: run.speed_percent == 0),
    "no_stop_silent": _wrap(stops, "_due_on_silent", lambda f, worker, now_ms: []),
    "no_stop_unanswered": _never_stop(lambda _, worker, run: run.accepted_ms is None),
    "no_stop_unexpected": _wrap(
        Cell,
        "_track_unexpected_run",
        lambda f, cell, worker, run, ms: cell.book.placeholder_task(run.task_id),
    ),
    "no_stop_unknown": _wrap(StopPlanner, "stop_unknown_run", lambda f, *args: None),
    "no_stop_unlisted": _never_stop(lambda _, worker, run: not worker.in_directory),
    "registered_ignored": _wrap(Cell, "set_registered_workers", lambda f, *args: None),
    "stop_once": _wrap(
        stops, "_may_send_stop", lambda f, run, ms: run.stop_sent_ms is None and f(run, ms)
    ),
    "stop_silent_once": _wrap(
        stops,
        "_due_on_silent",
        lambda f, *args: [run for run in f(*args) if run.stop_sent_ms is None],
    ),
}

MUTANTS: dict[str, Mutant] = {
    **_CANCEL_MUTANTS,
    "none": (Cell, "none", None),
    "accept_without_storing": _accept_without_storing(),
    "alter_spec": _alter(jobs, "JobSpec", payload="[]"),
    "apply_as_read": _wrap(CellRunner, "apply_record", _apply_as_read),
    "complete_early": _wrap(JobBook, "note_task_done", _complete_early),
    "conclude_without_reads": _wrap(Cell, "plan", _conclude_without_reads),
    "due_early": _wrap(Cell, "_open_due_occurrences", lambda f, cell, ms: f(cell, ms + 1_500)),
    "ignore_cancel": _skip(Cell, "cancel", 3),
    "ignore_cpu": _alter(jobs, "_step_spec", cpu_millis=0),
    "ignore_draining": _alter(directory, "parse_worker", draining=False),
    "ignore_label": _alter(jobs, "_step_spec", required_label=""),
    "ignore_max_per_worker": _alter(jobs, "_step_spec", max_per_instance=0),
    "ignore_order": _alter(jobs, "_step_spec", depends_on=()),
    "leave_lasting": _wrap(JobBook, "mark_waiting", _leave_lasting),
    "leave_some": _skip(Cell, "_queue_again", 2),
    "more_attempts": _wrap(
        JobBook,
        "note_run_failed",
        lambda f, book, task, number, attempts, ms: f(book, task, number, attempts + 3, ms),
    ),
    "refuse_on_old_boot": _wrap(Cell, "_holder", lambda f, cell, worker, run: worker),
    "refuse_what_is_stored": _refuse_what_is_stored(),
}
