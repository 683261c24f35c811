"""What an owner stores about its workers, and what the next owner concludes from it.

An owner that ends its term knows where each task may run. The next one can only learn it from the
workers, and a worker that has left never answers. So the stored record of registered workers names,
for workers to which the owner starts nothing more, the tasks that they can run; and the last record
of a planned stop names them for every worker, with the time until all orders have expired. That
time goes on from one owner to the next, on the clock of each instance that reads the record.

A record binds the owner that wrote it. Its limits say nothing about orders of a later owner, so
they count only in the term that follows directly.

A task that an earlier owner may have started was ruled out on a worker if the worker has accepted
the new token and listed its runs, if the worker cannot run the task by the stored record, or if all
orders to the worker have expired.
"""

from __future__ import annotations

from collections.abc import Iterable

from greengagewood.internal.cells.fleet import MAX_CLOCK_DRIFT, Worker
from greengagewood.internal.jobs.book import JobBook
from greengagewood.internal.jobs.records import RegisteredWorker, RegisteredWorkers, TaskId

__all__ = ["inherit_limits", "is_limited", "registration_record", "tasks_held_back"]

# Shorter silences do not change what is stored, since a worker that answers again must be stored
# before the next start.
LIMITED_AFTER_SILENCE_MS = 3_000
# Keeps the record well below the size that the store accepts; any further worker may run any task.
MAX_STORED_TASKS = 5_000


def is_limited(worker: Worker, now_ms: int) -> bool:
    """Return whether the owner starts nothing more on a worker until it has been stored anew."""
    if worker.info.draining:
        return True
    answered_ms = worker.added_ms if worker.last_answer_ms is None else worker.last_answer_ms
    return worker.unresponsive and now_ms - answered_ms > LIMITED_AFTER_SILENCE_MS


def registration_record(
    workers: Iterable[Worker], book: JobBook, token: int, now_ms: int, releasing: bool
) -> tuple[RegisteredWorkers, tuple[Worker, ...]]:
    """Return the record to store, and the workers that it does not limit.

    With `releasing`, the owner sends no orders after this record, and every worker is limited.
    """
    stored = []
    unlimited = []
    room = MAX_STORED_TASKS
    # Only workers that do not answer delay the next owner, so their tasks are listed first.
    for worker in sorted(workers, key=lambda w: w.adopted and not w.unresponsive):
        limited = is_limited(worker, now_ms)
        if not limited and not releasing:
            unlimited.append(worker)
            stored.append(RegisteredWorker(worker.name, worker.info.address, worker.info.service))
            continue
        tasks = _possible_tasks(worker, book, now_ms)
        if limited and tasks == ():
            continue
        if tasks is not None:
            room -= len(tasks)
        stored.append(
            RegisteredWorker(
                worker.name,
                worker.info.address,
                worker.info.service,
                tasks if room >= 0 else None,
                worker.remaining_order_ms(now_ms) if releasing else -1,
            )
        )
    return RegisteredWorkers(tuple(stored), token), tuple(unlimited)


def _possible_tasks(worker: Worker, book: JobBook, now_ms: int) -> tuple[TaskId, ...] | None:
    """Return the tasks that may run on a worker, or None if they are not known."""
    tasks = {run.task.id for run in worker.runs.values()}
    if worker.may_run_inherited(now_ms):
        if worker.inherited_tasks is not None:
            tasks |= worker.inherited_tasks
        elif book.timed_jobs or len(book.maybe_running_tasks) > MAX_STORED_TASKS:
            return None  # occurrences that were not opened yet are not among the tasks
        else:
            tasks |= {task.id for task in book.maybe_running_tasks}
    return tuple(sorted(tasks))


def inherit_limits(
    worker: Worker, stored: RegisteredWorker, read_ms: int, latest_expiry_ms: int, valid: bool
) -> None:
    """Note on a worker what its stored entry, read at `read_ms`, says of earlier owners' orders.

    Without `valid`, the limits of the entry do not count: a later owner may have sent orders.
    """
    worker.registered = True
    worker.inherited_tasks = None
    worker.earlier_orders_expiry_ms = latest_expiry_ms
    if not valid:
        return
    if stored.tasks is not None:
        worker.inherited_tasks = frozenset(stored.tasks)
    if stored.orders_expire_in_ms >= 0:
        expiry_ms = read_ms + int(stored.orders_expire_in_ms * (1 + MAX_CLOCK_DRIFT)) + 1
        worker.earlier_orders_expiry_ms = min(latest_expiry_ms, expiry_ms)


def tasks_held_back(unresolved: Iterable[Worker]) -> set[TaskId] | None:
    """Return the tasks that may go on unlisted on any of the workers; None if it may be any."""
    held_back: set[TaskId] = set()
    for worker in unresolved:
        if worker.inherited_tasks is None:
            return None
        held_back |= worker.inherited_tasks
    return held_back
