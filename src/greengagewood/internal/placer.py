"""Where and in which order a cell's pending tasks start, and what makes room for them.

Jobs are served urgent ones first, then the team that uses the least of its share, then the oldest.
A task that finds no room for a while, though it would fit on an empty worker, gets a worker
reserved, so small tasks cannot starve it. An urgent task has others evicted instead, as few as
possible and only ones that resume from a checkpoint.
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
EVICT_AGAIN_AFTER_MS = 3000
PLAN_AGAIN_AFTER_MS = 500
FAILED_HERE_COST = 10.0


@dataclass(frozen=True)
class Placement:
    """Hold one decision: start a task on a worker."""

    task: Task
    worker: str


Evict = Callable[[str], bool]


class Placer:
    """Decide for one cell."""

    def __init__(
        self, workers: dict[str, WorkerState], tail_controller: TailLatencyController
    ) -> None:
        self._workers = workers
        self.tail_controller = tail_controller
        self.index = FreeCapacityIndex()
        self.failure_tracker = WorkerFailureTracker()
        self._costs: dict[str, dict[tuple[str, int], float | None]] = {}
        self._settled_at = -1
        self._settled_until_ms = 0
        self._no_room: dict[str, list[Resources]] = {}
        self._reserved: dict[str, str] = {}
        self._blocked_ms: dict[str, int] = {}
        self._evicted_ms: dict[str, int] = {}

    def place(
        self,
        now_ms: int,
        book: TaskBook,
        document: Document,
        start: Callable[[Placement], None],
        evict: Evict,
    ) -> None:
        """Start what can be started."""
        changed = self._refresh()
        if not changed and book.version == self._settled_at and now_ms < self._settled_until_ms:
            return  # nothing has changed since nothing could be placed
        self._drop_reservations(book)
        self._no_room.clear()
        teams = _team_room(book, document)
        budget = MAX_STARTS_PER_PLAN
        for job in self._order(book, document):
            budget -= self._place_job(job, teams, budget, now_ms, start)
            if job.pending and job.reason == "waiting_for_room":
                self._help(job, document, now_ms, evict)
            if budget <= 0:
                return
        self._settled_at = book.version
        self._settled_until_ms = now_ms + PLAN_AGAIN_AFTER_MS

    def _refresh(self) -> bool:
        """Bring the index in step with the workers that changed; return whether any has."""
        changed = False
        for name, worker in self._workers.items():
            if worker.dirty:
                worker.dirty = False
                changed = True
                self._costs.pop(name, None)
                if worker.is_schedulable():
                    self.index.put(name, worker.free())
                else:
                    self.index.remove(name)
        for name, _ in list(self.index.rooms()):
            if name not in self._workers:
                self.index.remove(name)
        return changed

    def _order(self, book: TaskBook, document: Document) -> list[Job]:
        def key(job: Job) -> tuple[bool, float, int]:
            return (not job.urgent, _dominant_share(job, book, document), job.order)

        return sorted(book.waiting, key=key)

    # Placing.

    def _place_job(
        self,
        job: Job,
        teams: dict[str, Resources],
        budget: int,
        now_ms: int,
        start: Callable[[Placement], None],
    ) -> int:
        placed = 0
        team = job.logged.spec.team
        if self._is_hopeless(job):
            job.reason = "waiting_for_room"
            self._blocked_ms.setdefault(job.name, now_ms)
            return 0
        judge = self._judge_for(job, now_ms)
        for name in list(job.pending)[:budget]:
            if not job.size.fits_within(teams.get(team, Resources())):
                job.reason = "over_quota"
                break
            worker = self.index.choose(job.size, judge)
            if worker is None:
                job.reason = "waiting_for_room"
                self._blocked_ms.setdefault(job.name, now_ms)
                self._no_room.setdefault(job.logged.spec.batch_class, []).append(job.size)
                break
            self._start(job, name, worker, teams, start)
            placed += 1
        if placed:
            self._blocked_ms.pop(job.name, None)
        return placed

    def _is_hopeless(self, job: Job) -> bool:
        """Tell whether a task of the class that needs no more has just found no room."""
        if job.name in self._reserved.values():
            return False
        smaller = self._no_room.get(job.logged.spec.batch_class, ())
        return any(size.fits_within(job.size) for size in smaller)

    def _start(
        self,
        job: Job,
        name: str,
        worker: str,
        teams: dict[str, Resources],
        start: Callable[[Placement], None],
    ) -> None:
        start(Placement(job.tasks[name], worker))
        state = self._workers[worker]
        state.dirty = False
        self._costs.pop(worker, None)
        self.index.put(worker, state.free())
        teams[job.logged.spec.team] -= job.size
        job.reason = ""

    def _judge_for(self, job: Job, now_ms: int) -> CostFunction:
        batch_class = job.logged.spec.batch_class

        def judge(name: str) -> float | None:
            if self._reserved.get(name, job.name) != job.name:
                return None
            if self.failure_tracker.is_quarantined(name, now_ms):
                return None
            worker = self._workers[name]
            if self.failure_tracker.is_on_probation(name) and worker.assigned:
                return None
            cost = self._service_cost(worker, batch_class, job.size.cpus)
            if cost is not None and name in job.failed_on:
                cost += FAILED_HERE_COST
            return cost

        return judge

    def _service_cost(self, worker: WorkerState, batch_class: str, cpus: int) -> float | None:
        """Return what a placement costs the services on a worker, remembered until it changes."""
        known = self._costs.setdefault(worker.name, {})
        key = (batch_class, cpus)
        if key not in known:
            known[key] = self.tail_controller.placement_cost(
                worker.name, worker.batch_attempts(), worker.capacity.cpus, batch_class, cpus
            )
        return known[key]

    def clear_cost_cache(self) -> None:
        """CostFunction anew: more is known of the services."""
        self._costs.clear()

    # Making room.

    def _help(self, job: Job, document: Document, now_ms: int, evict: Evict) -> None:
        waited_ms = now_ms - self._blocked_ms.get(job.name, now_ms)
        if job.urgent and waited_ms >= EVICT_FOR_URGENT_AFTER_MS:
            last_ms = self._evicted_ms.get(job.name, -EVICT_AGAIN_AFTER_MS)
            if now_ms - last_ms >= EVICT_AGAIN_AFTER_MS:
                self._evict_for(job, document, now_ms, evict)
        elif waited_ms >= RESERVE_AFTER_MS and job.name not in self._reserved.values():
            self._reserve(job)

    def _reserve(self, job: Job) -> None:
        """Keep the worker that is nearest to having room for one large task."""
        fitting = [
            (free.cpus, free.memory_mb, name)
            for name, free in self.index.rooms()
            if name not in self._reserved
            and job.size.fits_within(self._workers[name].batch_capacity())
        ]
        if fitting:
            self._reserved[max(fitting)[2]] = job.name

    def _evict_for(self, job: Job, document: Document, now_ms: int, evict: Evict) -> None:
        best: list[str] | None = None
        chosen = ""
        for name, free in self.index.rooms():
            if self._reserved.get(name, job.name) != job.name:
                continue
            victims = self._victims(job, self._workers[name], free, document)
            if victims is not None and (best is None or len(victims) < len(best)):
                best, chosen = victims, name
        if not best:
            return
        self._evicted_ms[job.name] = now_ms
        self._reserved[chosen] = job.name
        for task in best:
            evict(task)

    def _victims(
        self, job: Job, worker: WorkerState, free: Resources, document: Document
    ) -> list[str] | None:
        """Return the fewest tasks whose eviction makes room for one of the job's tasks."""
        if not job.size.fits_within(worker.batch_capacity()):
            return None
        movable = [
            start for start in worker.assigned.values() if is_evictable(start.batch_class, document)
        ]
        movable.sort(key=lambda start: (start.cpus, start.memory_mb), reverse=True)
        victims = []
        for start in movable:
            if job.size.fits_within(free):
                break
            free += Resources(start.cpus, start.memory_mb, start.accelerators)
            victims.append(start.task)
        return victims if job.size.fits_within(free) else None

    def _drop_reservations(self, book: TaskBook) -> None:
        for name, job_name in list(self._reserved.items()):
            job = book.jobs.get(job_name)
            if job is None or not job.pending or name not in self._workers:
                del self._reserved[name]
        for job_name in list(self._blocked_ms):
            if job_name not in book.jobs:
                del self._blocked_ms[job_name]
                self._evicted_ms.pop(job_name, None)


def _dominant_share(job: Job, book: TaskBook, document: Document) -> float:
    """Return the largest part of any resource that the job's team uses of its quota."""
    team = document.teams.get(job.logged.spec.team)
    used = book.team_used.get(job.logged.spec.team)
    if team is None or used is None:
        return 0.0
    return max(
        used.cpus / max(1, team.cpus),
        used.memory_mb / max(1, team.memory_mb),
        used.accelerators / max(1, team.accelerators),
    )


def _team_room(book: TaskBook, document: Document) -> dict[str, Resources]:
    """Return what each team may still take in this cell: its share of the quota, less use."""
    cells = len(document.cells)
    return {
        name: Resources(team.cpus // cells, team.memory_mb // cells, team.accelerators // cells)
        - book.team_used.get(name, Resources())
        for name, team in document.teams.items()
    }
