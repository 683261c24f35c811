"""Decide where and in which order a cell's pending tasks start.

Jobs are ordered by urgency, then by their team's dominant share of its quota, then by age. When a
task that would fit on an empty worker stays blocked for a while, a worker is reserved for its job,
so that smaller tasks can't starve it. For an urgent task, other tasks are evicted instead: as few
as possible, and only tasks that can resume from a checkpoint.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from greengagewood.internal.document import Document
from greengagewood.internal.placement import Resources
from greengagewood.internal.rooms import CostFunction, FreeCapacityIndex
from greengagewood.internal.suspicion import WorkerFailureTracker
from greengagewood.internal.tailguard import TailLatencyController, is_evictable
from greengagewood.internal.taskbook import Job, Task, TaskBook
from greengagewood.internal.workerstate import WorkerState

__all__ = ["Placement", "Placer"]

MAX_STARTS_PER_PLAN = 200
RESERVE_AFTER_MS = 5000
EVICT_FOR_URGENT_AFTER_MS = 1000
EVICTION_COOLDOWN_MS = 3000
REPLAN_AFTER_MS = 500
PREVIOUS_FAILURE_COST = 10.0  # added on workers where a task of the job has failed


@dataclass(frozen=True)
class Placement:
    """The decision to start a task on a worker."""

    task: Task
    worker: str


EvictTask = Callable[[str], bool]


class Placer:
    """Place the pending tasks of one cell."""

    def __init__(
        self, workers: dict[str, WorkerState], tail_controller: TailLatencyController
    ) -> None:
        self._workers = workers
        self.tail_controller = tail_controller
        self.free_index = FreeCapacityIndex()
        self.failure_tracker = WorkerFailureTracker()
        # By worker, then by batch class and number of CPUs.
        self._cost_cache: dict[str, dict[tuple[str, int], float | None]] = {}
        self._planned_version = -1
        self._replan_at_ms = 0
        # By batch class, the sizes for which the current pass found no worker.
        self._unplaceable: dict[str, list[Resources]] = {}
        self._reserved: dict[str, str] = {}  # from worker to job
        self._blocked_since_ms: dict[str, int] = {}
        self._last_eviction_ms: dict[str, int] = {}

    def place(
        self,
        now_ms: int,
        book: TaskBook,
        document: Document,
        start: Callable[[Placement], None],
        evict: EvictTask,
    ) -> None:
        """Start the pending tasks that fit, and reserve or free capacity for blocked ones."""
        changed = self._update_index()
        if (
            not changed
            and book.pending_version == self._planned_version
            and now_ms < self._replan_at_ms
        ):
            return  # nothing has changed since the last complete pass
        self._drop_reservations(book)
        self._unplaceable.clear()
        quotas = _remaining_quotas(book, document)
        remaining_starts = MAX_STARTS_PER_PLAN
        for job in self._ordered_jobs(book, document):
            remaining_starts -= self._place_job(job, quotas, remaining_starts, now_ms, start)
            if job.pending and job.wait_reason == "waiting_for_room":
                self._reserve_or_evict(job, document, now_ms, evict)
            if remaining_starts <= 0:
                return
        self._planned_version = book.pending_version
        self._replan_at_ms = now_ms + REPLAN_AFTER_MS

    def _update_index(self) -> bool:
        """Update the index for workers that changed; return whether any did."""
        changed = False
        for name, worker in self._workers.items():
            if worker.dirty:
                worker.dirty = False
                changed = True
                self._cost_cache.pop(name, None)
                if worker.is_schedulable():
                    self.free_index.put(name, worker.free())
                else:
                    self.free_index.remove(name)
        for name, _ in list(self.free_index.items()):
            if name not in self._workers:
                self.free_index.remove(name)
        return changed

    def _ordered_jobs(self, book: TaskBook, document: Document) -> list[Job]:
        """Return the waiting jobs in the order in which they are placed."""

        def key(job: Job) -> tuple[bool, float, int]:
            return (not job.urgent, _dominant_share(job, book, document), job.sequence)

        return sorted(book.waiting_jobs, key=key)

    # Placement.

    def _place_job(
        self,
        job: Job,
        quotas: dict[str, Resources],
        remaining_starts: int,
        now_ms: int,
        start: Callable[[Placement], None],
    ) -> int:
        """Place up to `remaining_starts` tasks of a job; return how many were placed."""
        placed = 0
        team = job.logged.spec.team
        if self._is_known_unplaceable(job):
            job.wait_reason = "waiting_for_room"
            self._blocked_since_ms.setdefault(job.name, now_ms)
            return 0
        cost_of = self._cost_function(job, now_ms)
        for name in list(job.pending)[:remaining_starts]:
            if not job.size.fits_within(quotas.get(team, Resources())):
                job.wait_reason = "over_quota"
                break
            worker = self.free_index.choose(job.size, cost_of)
            if worker is None:
                job.wait_reason = "waiting_for_room"
                self._blocked_since_ms.setdefault(job.name, now_ms)
                self._unplaceable.setdefault(job.logged.spec.batch_class, []).append(job.size)
                break
            self._start(job, name, worker, quotas, start)
            placed += 1
        if placed:
            self._blocked_since_ms.pop(job.name, None)
        return placed

    def _is_known_unplaceable(self, job: Job) -> bool:
        """Return whether this pass found no worker for a same-class task that needs no more."""
        if job.name in self._reserved.values():
            return False
        smaller = self._unplaceable.get(job.logged.spec.batch_class, ())
        return any(size.fits_within(job.size) for size in smaller)

    def _start(
        self,
        job: Job,
        name: str,
        worker: str,
        quotas: dict[str, Resources],
        start: Callable[[Placement], None],
    ) -> None:
        start(Placement(job.tasks[name], worker))
        state = self._workers[worker]
        state.dirty = False
        self._cost_cache.pop(worker, None)
        self.free_index.put(worker, state.free())
        quotas[job.logged.spec.team] -= job.size
        job.wait_reason = ""

    def _cost_function(self, job: Job, now_ms: int) -> CostFunction:
        """Return a function that gives the cost of placing a task of the job on a worker."""
        batch_class = job.logged.spec.batch_class

        def cost_of(name: str) -> float | None:
            if self._reserved.get(name, job.name) != job.name:
                return None
            if self.failure_tracker.is_quarantined(name, now_ms):
                return None
            worker = self._workers[name]
            if self.failure_tracker.is_on_probation(name) and worker.assigned:
                return None
            cost = self._service_cost(worker, batch_class, job.size.cpus)
            if cost is not None and name in job.failed_on:
                cost += PREVIOUS_FAILURE_COST
            return cost

        return cost_of

    def _service_cost(self, worker: WorkerState, batch_class: str, cpus: int) -> float | None:
        """Return what a placement costs a worker's services; cached until the worker changes."""
        cached = self._cost_cache.setdefault(worker.name, {})
        key = (batch_class, cpus)
        if key not in cached:
            cached[key] = self.tail_controller.placement_cost(
                worker.name, worker.batch_attempts(), worker.capacity.cpus, batch_class, cpus
            )
        return cached[key]

    def clear_cost_cache(self) -> None:
        """Discard cached costs after new samples of the services were recorded."""
        self._cost_cache.clear()

    def restart_waits(self) -> None:
        """Count the waits of blocked jobs from now on, and drop the reservations for them."""
        self._reserved.clear()
        self._blocked_since_ms.clear()
        self._replan_at_ms = 0

    # Reservations and evictions.

    def _reserve_or_evict(
        self, job: Job, document: Document, now_ms: int, evict: EvictTask
    ) -> None:
        """Reserve or free a worker for a blocked job, once it has waited long enough."""
        waited_ms = now_ms - self._blocked_since_ms.get(job.name, now_ms)
        if job.urgent and waited_ms >= EVICT_FOR_URGENT_AFTER_MS:
            last_ms = self._last_eviction_ms.get(job.name, -EVICTION_COOLDOWN_MS)
            if now_ms - last_ms >= EVICTION_COOLDOWN_MS:
                self._evict_for(job, document, now_ms, evict)
        elif waited_ms >= RESERVE_AFTER_MS and job.name not in self._reserved.values():
            self._reserve(job)

    def _reserve(self, job: Job) -> None:
        """Reserve the worker with the most free CPUs among those where a task could fit."""
        fitting = [
            (free.cpus, free.memory_mb, name)
            for name, free in self.free_index.items()
            if name not in self._reserved
            and job.size.fits_within(self._workers[name].batch_capacity())
        ]
        if fitting:
            self._reserved[max(fitting)[2]] = job.name

    def _evict_for(self, job: Job, document: Document, now_ms: int, evict: EvictTask) -> None:
        """Evict from the worker where the fewest evictions suffice, and reserve it for the job."""
        best: list[str] | None = None
        chosen = ""
        for name, free in self.free_index.items():
            if self._reserved.get(name, job.name) != job.name:
                continue
            victims = self._victims(job, self._workers[name], free, document)
            if victims is not None and (best is None or len(victims) < len(best)):
                best, chosen = victims, name
        if not best:
            return
        self._last_eviction_ms[job.name] = now_ms
        self._reserved[chosen] = job.name
        for task in best:
            evict(task)

    def _victims(
        self, job: Job, worker: WorkerState, free: Resources, document: Document
    ) -> list[str] | None:
        """Return tasks whose eviction lets a task of the job fit, or None.

        The largest are chosen first, and those that turn out not to be needed are left out.
        """
        if not job.size.fits_within(worker.batch_capacity()):
            return None
        evictable = [
            start for start in worker.assigned.values() if is_evictable(start.batch_class, document)
        ]
        evictable.sort(key=lambda start: (start.cpus, start.memory_mb), reverse=True)
        victims: list[tuple[str, Resources]] = []
        for start in evictable:
            if job.size.fits_within(free):
                break
            size = Resources(start.cpus, start.memory_mb, start.accelerators)
            free += size
            victims.append((start.task, size))
        if not job.size.fits_within(free):
            return None
        for victim in list(victims):
            if job.size.fits_within(free - victim[1]):
                free -= victim[1]
                victims.remove(victim)
        return [task for task, _ in victims]

    def _drop_reservations(self, book: TaskBook) -> None:
        for name, job_name in list(self._reserved.items()):
            job = book.jobs.get(job_name)
            if job is None or not job.pending or name not in self._workers:
                del self._reserved[name]
        for job_name in list(self._blocked_since_ms):
            if job_name not in book.jobs:
                del self._blocked_since_ms[job_name]
                self._last_eviction_ms.pop(job_name, None)


def _dominant_share(job: Job, book: TaskBook, document: Document) -> float:
    """Return the largest fraction of its quota that the job's team uses of any resource."""
    team = document.teams.get(job.logged.spec.team)
    used = book.team_usage.get(job.logged.spec.team)
    if team is None or used is None:
        return 0.0
    return max(
        used.cpus / max(1, team.cpus),
        used.memory_mb / max(1, team.memory_mb),
        used.accelerators / max(1, team.accelerators),
    )


def _remaining_quotas(book: TaskBook, document: Document) -> dict[str, Resources]:
    """Return what is left of each team's quota in this cell: an equal share of its whole quota."""
    cells = len(document.cells)
    return {
        name: Resources(team.cpus // cells, team.memory_mb // cells, team.accelerators // cells)
        - book.team_usage.get(name, Resources())
        for name, team in document.teams.items()
    }
