"""What a cell's owner tells others: a summary for choosing a cell, and a caller's job."""

from __future__ import annotations

from collections.abc import Iterable

from greengagewood.internal.celllog import CellLog, job_of
from greengagewood.internal.messages import CellLoad, JobView, Shape
from greengagewood.internal.taskbook import TaskBook
from greengagewood.internal.workerstate import WorkerState

__all__ = ["summarise_cell", "view_job"]


def summarise_cell(
    cell: str, epoch: int, placing: bool, book: TaskBook, workers: Iterable[WorkerState]
) -> CellLoad:
    """Summarise a cell for those who choose a cell for a job."""
    usable = [worker for worker in workers if worker.is_schedulable()]
    free = sum(max(0, worker.free().cpus) for worker in usable)
    waiting = sum(len(job.pending) * job.size.cpus for job in book.waiting)
    sizes = sorted({worker.batch_capacity() for worker in usable}, key=repr)
    shapes = tuple(Shape(s.cpus, s.memory_mb, s.accelerators) for s in sizes)
    return CellLoad(cell, epoch, placing, free, waiting, shapes)


def view_job(name: str, log: CellLog, book: TaskBook, with_results: bool) -> JobView | None:
    """Describe a job of the cell; None if it is not known here."""
    ended = log.state.ended.get(name)
    if ended is not None:
        results = _results(name, log) if with_results else {}
        reason = "" if ended.has_results else "results_dropped"
        return JobView(name, True, ended.caller, "finished", ended.counts, reason, results)
    job = book.jobs.get(name)
    if job is None:
        return None
    counts: dict[str, int] = {}
    for task in job.tasks.values():
        counts[task.state] = counts.get(task.state, 0) + 1
    return JobView(name, True, job.logged.spec.caller, "active", counts, job.reason)


def _results(job: str, log: CellLog) -> dict[str, str]:
    tasks = log.tasks.items()
    return {n: t.detail for n, t in tasks if t.final == "done" and job_of(n) == job}
