"""What a cell's owner reports: a summary for choosing a cell for a job, and a caller's job."""

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
    """Summarise the load of a cell, from which a cell is chosen for a new job."""
    usable = [worker for worker in workers if worker.is_schedulable()]
    free_cpus = sum(max(0, worker.free().cpus) for worker in usable)
    waiting_cpus = sum(len(job.pending) * job.size.cpus for job in book.waiting_jobs)
    sizes = sorted({worker.batch_capacity() for worker in usable}, key=repr)
    shapes = tuple(Shape(size.cpus, size.memory_mb, size.accelerators) for size in sizes)
    return CellLoad(cell, epoch, placing, free_cpus, waiting_cpus, shapes)


def view_job(name: str, log: CellLog, book: TaskBook, with_results: bool) -> JobView | None:
    """Describe a job of the cell; return None if its owner does not know the job."""
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
    return JobView(name, True, job.logged.spec.caller, "active", counts, job.wait_reason)


def _results(job: str, log: CellLog) -> dict[str, str]:
    tasks = log.tasks.items()
    return {
        name: task.detail
        for name, task in tasks
        if task.final_outcome == "done" and job_of(name) == job
    }
