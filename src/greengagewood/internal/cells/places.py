"""Keep places for long-running tasks that have lost their runs, or are about to.

The load: workers leave a full service, and their long-running tasks need more room than narrow
tasks leave in any gap, since these are more and end often. A place is room for one such task beside
the long-running runs of one worker. Nothing else is started in it, so it becomes free as other runs
end; those that remain after some time are stopped.

Only a task for which there is a place gets one, so a task that fits nowhere holds back nothing.
Tasks without a run come before those whose workers drain, and large ones before small ones. This
module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from greengagewood.internal.cells.boots import Boot, Resources
from greengagewood.internal.cells.placement import meets_constraints
from greengagewood.internal.jobs.book import JobBook, Run, Step, Task
from greengagewood.internal.jobs.model import Queue, StepSpec

__all__ = ["Places"]

UPDATE_INTERVAL_MS = 50
# Other runs in a place are stopped once it was kept for the first time, or the task was without a
# run for the second. The platform allows 9 s without a run, of which 6.2 s may pass until the end
# of a run is known, and 3 s while there is a place.
LONGEST_KEPT_MS = 1_500
LONGEST_IDLE_MS = 4_000


@dataclass(slots=True, eq=False)
class _Place:
    task: Task
    boot: Boot
    since_ms: int

    @property
    def free(self) -> bool:
        return self.boot.has_room(self.task.step.spec)


class Places:
    """The places of one term of ownership."""

    def __init__(self, book: JobBook, boots: Mapping[str, Boot]) -> None:
        self._book = book
        self._boots = boots
        self._places: dict[Task, _Place] = {}
        self._updated_ms: int | None = None

    def __len__(self) -> int:
        return len(self._places)

    def boot_of(self, task: Task) -> Boot | None:
        """Return the worker with the place of a task, or None."""
        place = self._places.get(task)
        return place.boot if place is not None else None

    def may_move(self, run: Run) -> bool:
        """Return whether the task of a run has a free place, beside those that others move to."""
        place = self._places.get(run.task)
        if place is None or place.boot is run.boot:
            return False
        boot = place.boot
        awaited = Resources()
        for other in self._places.values():
            if other.boot is boot and other is not place and _is_awaited(other):
                awaited.add(other.task.step.spec)
        awaited.add(run.task.step.spec)
        return _is_within(boot, boot.allocated, awaited) and place.free

    def waiting(self) -> list[tuple[Task, Boot]]:
        """Return the tasks without a run that have a place in which nothing else runs."""
        return [
            (task, place.boot)
            for task, place in self._places.items()
            if task in task.step.waiting_tasks and place.free
        ]

    def give_up(self, task: Task) -> None:
        """Give up the place of a task, if it has one."""
        place = self._places.pop(task, None)
        if place is not None:
            place.boot.kept.add(task.step.spec, -1)

    def update(
        self,
        by_service: Mapping[str, Sequence[Boot]],
        queue_of: Callable[[Step], Queue],
        now_ms: int,
    ) -> None:
        """Keep places on the usable boots, by service, for the tasks that need one now."""
        if self._updated_ms is not None and now_ms - self._updated_ms < UPDATE_INTERVAL_MS:
            return
        self._updated_ms = now_ms
        waiting = list(self._waiting_tasks(queue_of))
        wanted = dict.fromkeys((*waiting, *self._leaving_tasks(queue_of)))
        usable = {boot for boots in by_service.values() for boot in boots}
        is_short = any(task not in self._places for task in waiting)
        for task, place in list(self._places.items()):
            if (
                task not in wanted
                or place.boot not in usable
                or not _holds(place)
                or (is_short and not _is_awaited(place))
            ):
                self.give_up(task)
        unplaceable: dict[str, list[StepSpec]] = {}
        counts = Counter((place.boot, task.step) for task, place in self._places.items())
        for task in sorted(wanted, key=_order):
            spec = task.step.spec
            service = queue_of(task.step).service
            if any(_reaches(spec, other) for other in unplaceable.get(service, ())):
                continue
            former = self._places.get(task)
            if former is not None and former.free:
                continue
            boot = _best_boot(task, by_service.get(service, ()), counts, former)
            if boot is None:
                if former is None and not spec.max_per_instance and not spec.required_label:
                    unplaceable.setdefault(service, []).append(spec)
                continue
            if former is not None:
                counts[former.boot, task.step] -= 1
                self.give_up(task)
            self._places[task] = _Place(task, boot, now_ms)
            counts[boot, task.step] += 1
            boot.kept.add(spec)

    def _waiting_tasks(self, queue_of: Callable[[Step], Queue]) -> Iterator[Task]:
        """Yield the tasks that have lost their runs and may be started anywhere."""
        for step in self._book.waiting_steps:
            if _needs_place(step, queue_of):
                for task in step.waiting_tasks:
                    if task.last_run_ended_ms and not task.crashes and task.late_start is None:
                        yield task

    def _leaving_tasks(self, queue_of: Callable[[Step], Queue]) -> Iterator[Task]:
        """Yield the tasks whose workers drain."""
        for boot in self._boots.values():
            if not boot.info.draining or not boot.long_running.cpu_millis:
                continue
            for run in boot.runs.values():
                task = run.task
                if task.run is run and not task.end_state and _needs_place(task.step, queue_of):
                    yield task

    def runs_to_stop(self, now_ms: int) -> set[Run]:
        """Return the runs to stop, so that the places that are due become free."""
        due: dict[Boot, list[_Place]] = {}
        for task, place in self._places.items():
            if task.run is None and not place.free:
                due_ms = min(place.since_ms + LONGEST_KEPT_MS, task.idle_since_ms + LONGEST_IDLE_MS)
                if now_ms >= due_ms:
                    due.setdefault(place.boot, []).append(place)
        return {run for boot, places in due.items() for run in _runs_in(boot, places, now_ms)}


def _is_awaited(place: _Place) -> bool:
    """Return whether the task of a place has no run, or one that is being stopped."""
    run = place.task.run
    return run is None or run.state == "stopping"


def _needs_place(step: Step, queue_of: Callable[[Step], Queue]) -> bool:
    """Return whether places are kept for the tasks of a step.

    They are not where the advice service decides on the workers, nor for gangs.
    """
    spec = step.spec
    if not spec.long_running or spec.best_effort or spec.gang or step.job.is_final:
        return False
    return not queue_of(step).decision_ms


def _order(task: Task) -> tuple[bool, int, int, int]:
    spec = task.step.spec
    return task.run is not None, -spec.cpu_millis, -spec.memory_mb, task.idle_since_ms


def _reaches(spec: StepSpec, other: StepSpec) -> bool:
    """Return whether a task needs no less than another."""
    return (
        spec.cpu_millis >= other.cpu_millis
        and spec.memory_mb >= other.memory_mb
        and spec.accelerators >= other.accelerators
    )


def _holds(place: _Place) -> bool:
    """Return whether the task still fits its place beside the long-running runs."""
    boot = place.boot
    return _is_within(boot, boot.long_running, boot.kept) and meets_constraints(
        boot, place.task.step
    )


def _is_within(boot: Boot, *amounts: Resources) -> bool:
    """Return whether a worker has as much as some amounts together."""
    info = boot.info
    return (
        sum(amount.cpu_millis for amount in amounts) <= info.cpu_millis
        and sum(amount.memory_mb for amount in amounts) <= info.memory_mb
        and sum(amount.accelerators for amount in amounts) <= info.accelerators
    )


def _best_boot(
    task: Task, boots: Iterable[Boot], counts: Counter[tuple[Boot, Step]], place: _Place | None
) -> Boot | None:
    """Return the boot where the least must become free for the task, the tightest one first.

    A task that has a place gets another only where all of it is free.
    """
    step = task.step
    spec = step.spec
    need = Resources()
    need.add(spec)
    best: tuple[int, int, Boot] | None = None
    for boot in boots:
        if place is not None and (place.boot is boot or not boot.fits(spec)):
            continue
        left_millis = boot.info.cpu_millis - boot.long_running.cpu_millis - boot.kept.cpu_millis
        if left_millis < spec.cpu_millis:
            continue
        used_millis = boot.allocated.cpu_millis + boot.kept.cpu_millis + spec.cpu_millis
        missing_millis = max(0, used_millis - boot.info.cpu_millis)
        if best is not None and (missing_millis, left_millis) >= best[:2]:
            continue
        if not _is_within(boot, boot.long_running, boot.kept, need):
            continue
        kept_here = counts[boot, step]
        if not meets_constraints(boot, step) or (
            spec.max_per_instance
            and step.runs_by_worker.get(boot.name, 0) + kept_here >= spec.max_per_instance
        ):
            continue
        best = missing_millis, left_millis, boot
    return best[2] if best is not None else None


def _runs_in(boot: Boot, places: Sequence[_Place], now_ms: int) -> list[Run]:
    """Return the runs to stop for some places on a worker: those that lose the least work."""
    over = Resources(
        boot.allocated.cpu_millis - boot.info.cpu_millis,
        boot.allocated.memory_mb - boot.info.memory_mb,
        boot.allocated.accelerators - boot.info.accelerators,
    )
    for place in places:
        over.add(place.task.step.spec)
    candidates = []
    for run in boot.runs.values():
        spec = run.task.step.spec
        if run.state == "stopping":
            over.add(spec, -1)
        elif run.state == "running" and not spec.long_running and not spec.gang:
            candidates.append(run)

    def lost_work(run: Run) -> tuple[bool, int]:
        elapsed_ms = now_ms - (run.accepted_ms or now_ms)
        return not run.task.step.spec.checkpointing, elapsed_ms

    stops = []
    for run in sorted(candidates, key=lost_work):
        spec = run.task.step.spec
        if (
            (over.cpu_millis > 0 and spec.cpu_millis and not spec.best_effort)
            or (over.memory_mb > 0 and spec.memory_mb)
            or (over.accelerators > 0 and spec.accelerators)
        ):
            over.add(spec, -1)
            stops.append(run)
    return stops
