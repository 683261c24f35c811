"""Mutants of the program, each of which breaks one promise that the checker must see broken.

Each replaces one attribute. The launcher applies it to a process, and tests in virtual time to
themselves.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from collections.abc import Callable
from typing import Any

import msgspec

from greengagewood.internal.cells import cell as cell_module
from greengagewood.internal.cells import crashes, planner, stops
from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.runner import CellRunner
from greengagewood.internal.cells.stops import StopPlanner
from greengagewood.internal.cells.term import Term
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.entry import CancelResult, EntryInstance
from greengagewood.internal.entry.intake import BatchWriter
from greengagewood.internal.jobs.book import JobBook, Run
from greengagewood.internal.jobs.records import Cancellation, Submission
from greengagewood.internal.ports import LeaseReply, Outcome, RunListPage
from greengagewood.platform import directory, jobs, program
from greengagewood.platform.frontend import Frontend

__all__ = ["MUTANTS", "Mutant", "never_stop", "wrap"]

Mutant = tuple[Any, str, Any]  # the arguments of setattr


def wrap(owner: Any, name: str, call: Callable[..., Any]) -> Mutant:
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

    return wrap(owner, name, alter)


def _skip(owner: Any, name: str, every: int) -> Mutant:
    """Return a mutant that skips some calls of a method."""
    count = itertools.count(1)
    return wrap(owner, name, lambda f, *args: None if next(count) % every == 0 else f(*args))


def _conclude_without_reads(plan: Any, cell: Cell, now_ms: int, *rest: Any) -> Any:
    """Take what follows from the time that has passed as confirmed, as before issue 32."""
    cell.note_confirmed(now_ms)
    return plan(cell, now_ms, *rest)


def _sometimes(
    owner: Any, name: str, every: int, outcome: Any, call: bool = False, delay_s: float = 0
) -> Mutant:
    """Return a mutant that returns this outcome of some calls of a coroutine.

    With `call`, the call is made all the same. An outcome of None returns the true one.
    """
    count = itertools.count(1)

    async def wrapped(f: Any, *args: Any) -> Any:
        if next(count) % every:
            return await f(*args)
        await asyncio.sleep(delay_s)
        found = await f(*args) if call else None
        return found if outcome is None else outcome

    return wrap(owner, name, wrapped)


def _apply_as_read(_: Any, runner: Any, record: Any) -> None:
    """Pass a record on as it was read, as before b4e0519."""
    now_ms = monotonic_ms()
    if isinstance(record, Submission):
        offset = runner._ledger.jobs[record.job_id].submission_offset
        runner.cell.add_job(record, None, True, now_ms, offset)
    elif isinstance(record, Cancellation):
        runner.cell.cancel(record.job_id, now_ms)
    runner._plan_wakeup.set()


def _trust_lists(handle: Any, cell: Cell, boot: Any, reply: RunListPage, *rest: Any) -> Any:
    """Take a list that can't be read in full for a complete one."""
    fields = (reply.clock_ms, reply.boot_time_ms, reply.running, reply.ended)
    return handle(cell, boot, LeaseReply(*fields), *rest)


def _complete_early(note_task_done: Any, book: JobBook, task: Any, now_ms: int) -> None:
    """End a job as completed with the first of its tasks."""
    note_task_done(book, task, now_ms)
    book.end_job(task.step.job, "completed", now_ms)


def _leave_lasting(mark_waiting: Any, book: JobBook, task: Any) -> None:
    """Don't start a lasting task again."""
    if not (task.step.spec.long_running and task.last_run_ended_ms):
        mark_waiting(book, task)


def never_stop(applies: Callable[[StopPlanner, Boot, Run], bool]) -> Mutant:
    """Return a mutant that sends no stop to the runs of ended jobs to which this applies."""

    def reason(f: Any, stop_planner: StopPlanner, boot: Boot, run: Run, now_ms: int) -> Any:
        spared = run.task.step.job.is_final and applies(stop_planner, boot, run)
        return "" if spared else f(stop_planner, boot, run, now_ms)

    return wrap(StopPlanner, "_stop_reason", reason)


def _configure_backwards(apply: Any, instance: EntryInstance, config: Any) -> None:
    """Apply the version before each version after it."""
    apply(instance, config)
    instance.config = None
    apply(instance, dataclasses.replace(config, version=config.version - 1))


def _count_from_claim(note: Any, view: OwnershipView, *args: Any) -> None:
    """Count the orders of earlier owners from the claim, as before b2fc69f."""
    note(view, *args)
    view.earlier_heartbeat_ms = args[-1]


async def _cancel_only_what_is_stored(
    cancel: Any, instance: EntryInstance, job_id: str, timeout_ms: int
) -> CancelResult:
    """Answer that there is no such job without storing the cancellation."""
    if await instance.state_of(job_id) is None:
        return CancelResult(Outcome.DONE, False)
    result: CancelResult = await cancel(instance, job_id, timeout_ms)
    return result


async def _hold_as_it_stops(respond: Any, frontend: Frontend, req: Any) -> Any:
    """Don't answer before the process ends once it was told to stop."""
    await asyncio.sleep(0.3)
    return await (asyncio.sleep(30) if frontend.draining else respond(frontend, req))


MUTANTS: dict[str, Mutant] = {
    "keep_without_confirmation": wrap(OwnershipView, "_is_confirmed", lambda f, *args: True),
    "no_stop": never_stop(lambda self, boot, run: True),
    "no_stop_draining": never_stop(lambda self, boot, run: boot.info.draining),
    "no_stop_evacuated": never_stop(lambda self, boot, run: self._planner.is_evacuated(boot)),
    "no_stop_silent": wrap(stops, "_due_on_silent", lambda f, *args: []),
    "no_stop_unlisted": never_stop(lambda self, boot, run: not boot.worker.in_directory),
    "stop_once": wrap(
        stops, "_may_send_stop", lambda f, run, ms: run.stop_sent_ms is None and f(run, ms)
    ),
    "cancel_only_what_is_stored": wrap(EntryInstance, "cancel", _cancel_only_what_is_stored),
    "accept_without_storing": _sometimes(BatchWriter, "store_record", 10, Outcome.DONE),
    "alter_checkpoint": wrap(
        JobBook,
        "note_checkpoint",
        lambda f, book, task, saved: f(book, task, saved and saved[:8] + "0" * 8),
    ),
    "alter_spec": _alter(jobs, "JobSpec", payload="[]"),
    "answer_late": _sometimes(Frontend, "handle", 40, None, call=True, delay_s=7),
    "apply_as_read": wrap(CellRunner, "apply_record", _apply_as_read),
    "complete_early": wrap(JobBook, "note_task_done", _complete_early),
    "configure_backwards": wrap(EntryInstance, "_apply_config", _configure_backwards),
    "count_from_claim": wrap(OwnershipView, "_note_claim_won", _count_from_claim),
    "count_none_pending": wrap(Ledger, "queued_count", lambda f, *args: 0),
    "cut_as_it_stops": wrap(Frontend, "_respond", _hold_as_it_stops),
    "conclude_without_reads": wrap(Cell, "plan", _conclude_without_reads),
    "due_early": wrap(Cell, "_open_due_occurrences", lambda f, cell, ms: f(cell, ms + 1_500)),
    "forget_crashes": (crashes, "is_culprit", lambda task, alone: False),
    "ignore_cancel": _skip(Cell, "cancel", 3),
    "ignore_cpu": _alter(jobs, "_step_spec", cpu_millis=0),
    "ignore_draining": _alter(directory, "parse_worker", draining=False),
    "ignore_evacuations": wrap(planner.Planner, "is_evacuated", lambda f, *args: False),
    "ignore_label": _alter(jobs, "_step_spec", required_label=""),
    "ignore_max_per_worker": _alter(jobs, "_step_spec", max_per_instance=0),
    "ignore_order": _alter(jobs, "_step_spec", depends_on=()),
    "leave_lasting": wrap(JobBook, "mark_waiting", _leave_lasting),
    "leave_some": _skip(Term, "queue_again", 2),
    "move_lasting": wrap(
        StopPlanner,
        "_stop_reason",
        lambda f, self, worker, run, ms: (
            "moves"
            if run.state == "running" and run.task.step.spec.long_running and ms % 4_000 < 200
            else f(self, worker, run, ms)
        ),
    ),
    "never_acknowledge": wrap(Cell, "prepare_lease_extension", lambda f, *args: (f(*args)[0], 0)),
    "more_attempts": wrap(
        JobBook,
        "note_run_failed",
        lambda f, book, task, number, attempts, ms: f(book, task, number, attempts + 3, ms),
    ),
    "refuse_cancellations": _sometimes(
        EntryInstance, "cancel", 1, CancelResult(Outcome.REFUSED, True)
    ),
    "refuse_on_old_boot": wrap(cell_module, "boot_of_answer", lambda f, sent_to, run: sent_to),
    "refuse_what_is_stored": _sometimes(
        BatchWriter, "store_record", 10, Outcome.REFUSED, call=True
    ),
    "show_older_state": _sometimes(EntryInstance, "state_of", 7, "queued", call=True),
    "start_part_of_gang": wrap(planner.Planner, "_place_gang", lambda f, *args: f(*args)[:1]),
    "trust_lists": wrap(Cell, "handle_lease_reply", _trust_lists),
    "stay_when_told_to_stop": _sometimes(program, "_drain", 1, None, delay_s=30),
}
