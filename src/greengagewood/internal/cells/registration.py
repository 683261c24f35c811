"""What an owner stores about its workers, and what the next owner concludes from it.

The stored record of registered workers names every worker that may run tasks of the cell. For a
worker that drains or does not answer, it also names the tasks that may run there. The record of a
planned stop does so for every worker, with the time until these runs are certainly over. Each
instance counts that time from when it read the record, on its own monotonic clock, so the time goes
on while owners change.

A record binds the owner that wrote it, not a later one. So what it says of possible runs counts
only if no later owner may have started runs or extended leases; otherwise any task may run on any
registered worker. Each owner stores a record of its own before it does either.

A task that an earlier owner may have started is ruled out on a worker if the worker has accepted
the new token and listed its runs, if the task is not among the worker's possible runs, or if these
are over.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import cache
from heapq import nsmallest

from greengagewood.internal.cells.answers import later_boot_expiry_ms
from greengagewood.internal.cells.boots import Boot, InheritedRuns, longest_ms
from greengagewood.internal.jobs.book import Job, JobBook, Run, Task
from greengagewood.internal.jobs.records import (
    PossibleRuns,
    RegisteredWorker,
    RegisteredWorkers,
    TaskId,
)

__all__ = [
    "has_limited_lease",
    "inherit_runs",
    "is_record_outdated",
    "registration_record",
    "tasks_held_back",
]

# A worker that answers again is stored anew before the next start, so short silences don't count.
CLOSED_AFTER_SILENCE_MS = 3_000
# Keeps the record well below the size that the store accepts; any further worker may run any task.
MAX_STORED_TASKS = 3_000
MAX_STORED_WAITS = 1_000  # more than are started before the order of the others has changed


def _is_closed(boot: Boot, now_ms: int) -> bool:
    """Return whether the owner starts nothing on a worker until it has been stored anew."""
    if boot.info.draining:
        return True
    return boot.unresponsive and (
        boot.last_answer_ms is None or now_ms - boot.last_answer_ms > CLOSED_AFTER_SILENCE_MS
    )


def is_record_outdated(boot: Boot, now_ms: int) -> bool:
    """Return whether to store anew what the record of registered workers says of a worker."""
    closed = _is_closed(boot, now_ms)
    if closed != boot.worker.closed_to_starts or not (closed or boot.worker.registered):
        return True
    is_empty = not (boot.runs or boot.ruled_out or boot.unlisted_runs(now_ms))
    return closed and is_empty and not boot.worker.stored_empty


def has_limited_lease(boot: Boot) -> bool:
    """Return whether the record says when the runs on a worker that takes no starts are over.

    A boot that this owner has not adopted has no lease of it.
    """
    return boot.unresponsive or not boot.adopted


def registration_record(
    boots: Iterable[Boot],
    book: JobBook,
    token: int,
    now_ms: int,
    lease_ms: int,
    releasing: bool,
    inherited_since_ms: Mapping[TaskId, int],
    unconfirmed_losses: Iterable[Task] = (),
) -> tuple[RegisteredWorkers, tuple[Boot, ...]]:
    """Return the record to store, and the workers on which runs may be started once it is stored.

    With `releasing`, the owner sends no orders from now on. `inherited_since_ms` tells since when
    tasks that an earlier owner may have started had no run; those of `unconfirmed_losses` wait for
    a read that confirms the owner.
    """
    entries = []
    open_boots = []
    maybe_running = cache(lambda: _maybe_running_ids(book))  # the same for every worker
    remaining_entries = MAX_STORED_TASKS
    # Only workers that do not answer delay the next owner, so their tasks are listed first.
    for boot in sorted(boots, key=lambda b: b.adopted and not b.unresponsive):
        boot.worker.closed_to_starts = _is_closed(boot, now_ms)
        possible_runs = None
        if boot.worker.closed_to_starts or releasing:
            boot.worker.registered = False
            limited = releasing or has_limited_lease(boot)
            boot.worker.lease_limited |= limited
            possible_runs = _possible_runs(boot, maybe_running, now_ms, lease_ms, limited)
            boot.worker.stored_empty = not possible_runs
            if boot.worker.closed_to_starts and not possible_runs:
                continue
            remaining_entries -= sum(len(runs.tasks or ()) for runs in possible_runs)
            if remaining_entries < 0:
                possible_runs = tuple(
                    PossibleRuns(None, runs.expire_in_ms, True) for runs in possible_runs
                )
        else:
            open_boots.append(boot)
        boot_time_ms = 0 if possible_runs is None else boot.last_boot_time_ms
        entries.append(
            RegisteredWorker(
                boot.name, boot.info.address, boot.info.service, possible_runs, boot_time_ms
            )
        )
    idle = _longest_idle(
        book,
        inherited_since_ms,
        unconfirmed_losses,
        now_ms,
        min(max(0, remaining_entries), MAX_STORED_WAITS),
    )
    return RegisteredWorkers(tuple(entries), token, idle), tuple(open_boots)


def _longest_idle(
    book: JobBook,
    inherited_since_ms: Mapping[TaskId, int],
    unconfirmed_losses: Iterable[Task],
    now_ms: int,
    limit: int,
) -> tuple[tuple[TaskId, int], ...]:
    """Return how long long-running tasks have had no run, the longest first."""
    steps = (step for step in book.waiting_steps if step.spec.long_running)
    waiting = (task for step in steps for task in step.waiting_tasks)
    since_ms = {
        task.id: task.idle_since_ms
        for task in (*waiting, *unconfirmed_losses)
        if task.step.spec.long_running and task.last_run_ended_ms and task.run is None
    }
    for task in book.maybe_running_tasks:
        inherited_ms = inherited_since_ms.get(task.id)
        if inherited_ms is not None and task.step.spec.long_running:
            since_ms[task.id] = inherited_ms
    longest = nsmallest(limit, since_ms.items(), key=lambda item: (item[1], item[0]))
    return tuple((task, max(0, now_ms - since)) for task, since in longest)


def _possible_runs(
    boot: Boot,
    maybe_running: Callable[[], tuple[TaskId, ...] | None],
    now_ms: int,
    lease_ms: int,
    limited: bool,
) -> tuple[PossibleRuns, ...]:
    late = {
        run
        for run in (*boot.runs.values(), *boot.ruled_out)
        if later_boot_expiry_ms(boot, run, lease_ms) > now_ms
    }
    listed = {run for run in boot.runs.values() if run not in late}
    groups: list[PossibleRuns] = []
    listed_ago_ms = None if boot.last_answer_ms is None else now_ms - boot.last_answer_ms
    if listed:
        remaining_ms = boot.remaining_order_ms(now_ms)
        groups.append(PossibleRuns(_task_ids(listed), remaining_ms, False, listed_ago_ms))
    if late:
        expiry_ms = max(later_boot_expiry_ms(boot, run, lease_ms) for run in late)
        remaining_ms = max(expiry_ms - now_ms, boot.remaining_order_ms(now_ms))
        groups.append(PossibleRuns(_task_ids(late), remaining_ms, True))
    for inherited in boot.unlisted_runs(now_ms):
        known = inherited.tasks
        tasks = maybe_running() if known is None else tuple(sorted(known))
        may_start_later = inherited.may_start_later or known is None
        listed_ago_ms = None if inherited.listed_ms is None else now_ms - inherited.listed_ms
        remaining_ms = inherited.expiry_ms - now_ms
        groups.append(PossibleRuns(tasks, remaining_ms, may_start_later, listed_ago_ms))
    if not limited:  # it may list its runs again, and its lease be extended
        return tuple(PossibleRuns(g.tasks, None, g.may_start_later) for g in groups)
    return tuple(groups)


def _task_ids(runs: Iterable[Run]) -> tuple[TaskId, ...]:
    return tuple(sorted({run.task.id for run in runs}))


def _maybe_running_ids(book: JobBook) -> tuple[TaskId, ...] | None:
    """Return the tasks that earlier owners may have started, or None if they are too many."""
    tasks = {task.id for task in book.maybe_running_tasks}
    for job in book.timed_jobs.values():
        if job.maybe_inherited:
            # An earlier owner, whose time of day may have been ahead, may have opened any of them.
            count = max(1, job.submission.spec.occurrences) - len(job.finished_occurrences)
            steps = job.submission.spec.steps
            if len(tasks) + count * sum(step.task_count for step in steps) > MAX_STORED_TASKS:
                return None
            tasks.update(_unfinished_tasks(job))
    return tuple(sorted(tasks)) if len(tasks) <= MAX_STORED_TASKS else None


def _unfinished_tasks(job: Job) -> Iterator[TaskId]:
    """Yield the tasks of all occurrences of a job that have not ended, opened or not."""
    for occurrence in range(max(1, job.submission.spec.occurrences)):
        if occurrence not in job.finished_occurrences:
            for step, spec in enumerate(job.submission.spec.steps):
                for number in range(spec.task_count):
                    yield TaskId(job.id, occurrence, step, number)


def inherit_runs(
    boot: Boot,
    stored: RegisteredWorker,
    read_ms: int,
    latest_expiry_ms: int,
    limits_apply: bool,
) -> None:
    """Note which runs of earlier owners a worker may have, by its entry read at `read_ms`.

    Without `limits_apply`, it may be any until `latest_expiry_ms`.
    """
    boot.inherited = (InheritedRuns(None, latest_expiry_ms),)
    if limits_apply and stored.possible_runs is not None:
        boot.inherited = tuple(
            InheritedRuns(
                None if runs.tasks is None else frozenset(runs.tasks),
                (
                    latest_expiry_ms
                    if runs.expire_in_ms is None
                    else read_ms + longest_ms(runs.expire_in_ms) + 1
                ),
                runs.may_start_later,
                None if runs.listed_ago_ms is None else read_ms - runs.listed_ago_ms,
            )
            for runs in stored.possible_runs
        )
    boot.earlier_orders_expiry_ms = max((runs.expiry_ms for runs in boot.inherited), default=0)


def tasks_held_back(unresolved: Iterable[Boot], now_ms: int) -> set[TaskId] | None:
    """Return the tasks that may run on any of the workers without being listed; None for any."""
    held_back: set[TaskId] = set()
    for boot in unresolved:
        for runs in boot.unlisted_runs(now_ms):
            if runs.tasks is None:
                return None
            held_back |= runs.tasks
    return held_back
