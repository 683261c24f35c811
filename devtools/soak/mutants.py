"""Mutants of the program, each of which breaks one promise that the checker must see broken."""

from __future__ import annotations

import dataclasses
import itertools
from collections.abc import Callable
from typing import Any

import msgspec

from greengagewood.internal.cells import cell as cell_module
from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.runner import CellRunner
from greengagewood.internal.cells.term import Term
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.entry.intake import BatchWriter
from greengagewood.internal.jobs.book import JobBook
from greengagewood.internal.jobs.records import Cancellation, Submission
from greengagewood.internal.ports import LeaseReply, Outcome
from greengagewood.platform import directory, jobs

__all__ = ["MUTANTS"]

Mutant = Callable[[], None]


def _wrap(owner: Any, name: str, call: Callable[..., Any]) -> Mutant:
    """Return a mutant that calls this with a function and its arguments in place of it."""
    original = getattr(owner, name)

    def wrapped(*args: Any) -> Any:
        return call(original, *args)

    return lambda: setattr(owner, name, wrapped)


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


def _trust_lists(handle: Any, cell: Cell, worker: Any, reply: LeaseReply, *rest: Any) -> Any:
    """Take a list that can't be read in full for a complete one."""
    return handle(cell, worker, dataclasses.replace(reply, complete=True), *rest)


def _complete_early(note_task_done: Any, book: JobBook, task: Any, now_ms: int) -> None:
    """End a job as completed with the first of its tasks."""
    note_task_done(book, task, now_ms)
    book.end_job(task.step.job, "completed", now_ms)


def _leave_lasting(mark_waiting: Any, book: JobBook, task: Any) -> None:
    """Don't start a lasting task again."""
    if not (task.step.spec.long_running and task.last_run_ended_ms):
        mark_waiting(book, task)


MUTANTS: dict[str, Mutant] = {
    "none": lambda: None,
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
    "leave_some": _skip(Term, "queue_again", 2),
    "more_attempts": _wrap(
        JobBook,
        "note_run_failed",
        lambda f, book, task, number, attempts, ms: f(book, task, number, attempts + 3, ms),
    ),
    "refuse_on_old_boot": _wrap(cell_module, "boot_of_answer", lambda f, sent_to, run: sent_to),
    "refuse_what_is_stored": _refuse_what_is_stored(),
    "trust_lists": _wrap(Cell, "handle_lease_reply", _trust_lists),
}
