"""Keep places for long-running tasks that have lost their runs, or are about to.

The load: workers leave a full service, and their long-running tasks need more room than narrow
tasks leave in any gap, since these are more and end often. A place is room for one such task beside
the long-running runs of one worker. Nothing else is started in it, so it becomes free as other runs
end; those that remain after some time are stopped.

Only a task for which there is a place gets one, so a task that fits nowhere holds back nothing.
Tasks without a run come before those whose workers drain, in the order in which they have lost
their runs: while workers leave and join, a place comes free every moment, and each task is owed one
of them in time. Of those that lost their runs together, large ones come before small ones. This
module does no I/O and reads no clock.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from heapq import nsmallest
from itertools import islice

from greengagewood.internal.cells.boots import Boot, Resources, outlasts_places
from greengagewood.internal.cells.placement import may_be_tried_anywhere, meets_constraints
from greengagewood.internal.jobs.book import JobBook, Run, Step, Task
from greengagewood.internal.jobs.model import Queue, StepSpec

__all__ = ["Places", "needs_place"]

UPDATE_INTERVAL_MS = 50
ORDER_INTERVAL_MS = 1_000  # tasks that lose their runs within it are ordered by their sizes
MAX_CANDIDATES = 24  # workers that are compared for one place, the tightest fits first
MAX_PLACED = 64  # tasks for which one update seeks a place; the next goes on
MAX_MOVES = 16  # places that are not free for which one update seeks a free one
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
    sought_ms: int = 0  # when a free place was last sought instead

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
        self._usable: set[Boot] = set()  # boots on which places could be kept by the last update
        self.is_short = False  # whether a task that has lost its run has no place
        self.has_delayed = False  # whether a task that has lost its run is not to be started yet

    def __len__(self) -> int:
        return len(self._places)

    def boot_of(self, task: Task) -> Boot | None:
        """Return the worker with the place of a task, or None."""
        place = self._places.get(task)
        return place.boot if place is not None else None

    def is_free_for(self, run: Run) -> bool:
        """Return whether the task of a run has a free place, beside those that others move to."""
        place = self._places.get(run.task)
        if place is None:
            return False
        boot = place.boot
        awaited = Resources()
        for other in self._places.values():
            if other.boot is boot and other is not place and _is_awaited(other):
                awaited.add(other.task.step.spec)
        awaited.add(run.task.step.spec)
        return boot.has_capacity_for(boot.allocated, awaited) and place.free

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
        usable = {boot for boots in by_service.values() for boot in boots}
        has_new = not usable <= self._usable  # whose room other tasks would take before the next
        is_recent = self._updated_ms is not None and now_ms - self._updated_ms < UPDATE_INTERVAL_MS
        if is_recent and not (self.is_short and has_new):
            return
        self._updated_ms = now_ms
        self._usable = usable
        waiting = list(self._waiting_tasks(queue_of, now_ms))
        wanted = dict.fromkeys((*waiting, *self._leaving_tasks(queue_of)))
        self.is_short = any(task not in self._places for task in waiting)
        for task, place in list(self._places.items()):
            if (
                task not in wanted
                or place.boot not in usable
                or not _holds(place)
                or (self.is_short and not _is_awaited(place))
            ):
                self.give_up(task)
        needy: dict[str, list[Task]] = {}
        for task in wanted:
            held = self._places.get(task)
            if held is None or not held.free:
                needy.setdefault(queue_of(task.step).service, []).append(task)
        for service, tasks in needy.items():
            self._place_all(tasks, by_service.get(service, ()), now_ms)
        self.is_short = any(task not in self._places for task in waiting)

    def _place_all(self, tasks: list[Task], boots: Sequence[Boot], now_ms: int) -> None:
        """Keep places for tasks of one service that have none, or none that is free."""
        counts = Counter((place.boot, task.step) for task, place in self._places.items())
        rooms = _Rooms(boots, _room_millis)
        free = _Rooms(boots, lambda boot: boot.free_cpu_millis)
        unplaceable: list[StepSpec] = []
        unplaceable_steps: set[Step] = set()
        placed = 0
        tasks = sorted(tasks, key=_order)
        # Those for which none was sought for longest, so that none waits for as long as others
        # find no other place.
        held = (task for task in tasks if task in self._places)
        movable = set(nsmallest(MAX_MOVES, held, key=lambda task: self._places[task].sought_ms))
        for task in tasks:
            spec = task.step.spec
            former = self._places.get(task)
            if former is None:
                if any(spec.reaches(other) for other in unplaceable):
                    continue
                if task.step in unplaceable_steps and task.late_start is None:
                    continue
                boot = _best_boot(task, rooms, counts)
                if boot is None and task.late_start is None:
                    unplaceable_steps.add(task.step)
                    if not spec.max_per_instance and not spec.required_label:
                        unplaceable = [other for other in unplaceable if not other.reaches(spec)]
                        unplaceable.append(spec)
                placed += boot is not None
            else:
                if task not in movable:
                    continue
                former.sought_ms = now_ms
                boot = _best_boot(task, free, counts, only_free=True)
            if boot is not None:
                if former is not None:
                    counts[former.boot, task.step] -= 1
                    self.give_up(task)
                self._places[task] = _Place(task, boot, now_ms)
                counts[boot, task.step] += 1
                boot.kept.add(spec)
                rooms.update(boot)
                free.update(boot)
            if placed >= MAX_PLACED:
                break

    def _waiting_tasks(self, queue_of: Callable[[Step], Queue], now_ms: int) -> Iterator[Task]:
        """Yield the tasks that have lost their runs and may be started anywhere now.

        No place is kept for one that fails at each start while it waits for the next one.
        """
        self.has_delayed = False
        for step in self._book.waiting_steps:
            if needs_place(step, queue_of(step)):
                for task in step.waiting_tasks:
                    is_free = not task.crashes or may_be_tried_anywhere(task, now_ms)
                    if not task.last_run_ended_ms or not is_free:
                        continue
                    if task.delayed_until_ms > now_ms:
                        self.has_delayed = True
                    else:
                        yield task

    def _leaving_tasks(self, queue_of: Callable[[Step], Queue]) -> Iterator[Task]:
        """Yield the tasks whose workers drain."""
        for boot in self._boots.values():
            if not boot.info.draining:
                continue
            for run in boot.runs.values():
                task = run.task
                if (
                    task.run is run
                    and run.state in ("running", "stopping")
                    and not task.end_state
                    and needs_place(task.step, queue_of(task.step))
                ):
                    yield task

    def runs_to_stop(
        self,
        may_start_on: Callable[[Boot], bool],
        queue_of: Callable[[Step], Queue],
        now_ms: int,
    ) -> set[Run]:
        """Return the runs to stop, so that the places that are due become free."""
        due: dict[Boot, list[_Place]] = {}
        for task, place in self._places.items():
            if task.run is None and not place.free:
                idle_ms = task.startable_since_ms + LONGEST_IDLE_MS
                due_ms = min(place.since_ms + LONGEST_KEPT_MS, idle_ms)
                if now_ms >= due_ms:
                    due.setdefault(place.boot, []).append(place)
        return {
            run
            for boot, places in due.items()
            if may_start_on(boot)
            for run in _runs_in(boot, places, queue_of, now_ms)
        }


def _is_awaited(place: _Place) -> bool:
    """Return whether the task of a place has no run, or one that is being stopped."""
    run = place.task.run
    return run is None or run.state == "stopping"


def needs_place(step: Step, queue: Queue) -> bool:
    """Return whether places are kept for the tasks of a step.

    They are not where the advice service decides on the workers, nor for gangs.
    """
    spec = step.spec
    if not spec.long_running or spec.best_effort or spec.gang or step.job.is_final:
        return False
    return not queue.decision_ms


def _order(task: Task) -> tuple[bool, int, int, int, int]:
    """Return the sort key of a task: without a run first, of these by the time without one."""
    spec = task.step.spec
    lost_at = 0 if task.run is not None else task.startable_since_ms // ORDER_INTERVAL_MS
    sizes = -spec.cpu_millis, -spec.memory_mb
    return task.run is not None, lost_at, *sizes, task.startable_since_ms


def _holds(place: _Place) -> bool:
    """Return whether the task still fits its place beside the runs that are not stopped for it."""
    boot = place.boot
    return (
        boot.has_capacity_for(boot.lasting, boot.kept)
        and boot.may_start(place.task)
        and meets_constraints(boot, place.task.step)
    )


def _room_millis(boot: Boot) -> int:
    """Return the CPU that neither a place nor a run needs that is not stopped for one."""
    return boot.info.cpu_millis - boot.lasting.cpu_millis - boot.kept.cpu_millis


class _Rooms:
    """Boots in the order of an amount of CPU that they have."""

    def __init__(self, boots: Sequence[Boot], room_of: Callable[[Boot], int]) -> None:
        self._room_of = room_of
        self._order = sorted((room_of(boot), number) for number, boot in enumerate(boots))
        self._entries = {boots[number]: (room, number) for room, number in self._order}
        self._boots = boots

    def at_least(self, millis: int) -> Iterator[Boot]:
        """Yield the boots that have so much, the tightest first."""
        for index in range(bisect_left(self._order, (millis, 0)), len(self._order)):
            yield self._boots[self._order[index][1]]

    def update(self, boot: Boot) -> None:
        """Put a boot in its place again after its room has changed."""
        entry = self._entries[boot]
        del self._order[bisect_left(self._order, entry)]
        self._entries[boot] = entry = self._room_of(boot), entry[1]
        insort(self._order, entry)


def _best_boot(
    task: Task,
    rooms: _Rooms,
    counts: Counter[tuple[Boot, Step]],
    only_free: bool = False,
) -> Boot | None:
    """Return the boot where the least must become free for the task, of the tightest ones.

    One that has failed runs or refused starts lately comes last, and before it one on which the
    task has failed. It is none for a task that runs,
    or has a place elsewhere.
    """
    step = task.step
    spec = step.spec
    need = Resources()
    need.add(spec)

    def is_eligible(boot: Boot) -> bool:
        limit = spec.max_per_instance
        return (
            boot.has_capacity_for(boot.lasting, boot.kept, need)
            and boot.may_start(task)
            and meets_constraints(boot, step)
            and (not only_free or boot.fits(spec))
            and not (boot.backed_off and (only_free or task.run is not None))
            and not (limit and step.runs_by_worker.get(boot.name, 0) + counts[boot, step] >= limit)
        )

    def cost(boot: Boot) -> tuple[bool, bool, int]:
        has_failed = boot.name in task.failed_workers
        return boot.backed_off, has_failed, max(0, spec.cpu_millis - boot.free_cpu_millis)

    eligible = filter(is_eligible, rooms.at_least(spec.cpu_millis))
    return min(islice(eligible, MAX_CANDIDATES), key=cost, default=None)


def _runs_in(
    boot: Boot, places: Sequence[_Place], queue_of: Callable[[Step], Queue], now_ms: int
) -> list[Run]:
    """Return the runs to stop for some places on a worker.

    Those of the lowest priority come first, then those of tasks that were started least often, so
    that none is stopped again and again, then those that lose the least work.
    """
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
        elif run.state == "running" and not outlasts_places(spec):
            candidates.append(run)

    def cost(run: Run) -> tuple[int, int, bool, int]:
        step = run.task.step
        elapsed_ms = now_ms - (run.accepted_ms or now_ms)
        priority = queue_of(step).priority
        return -priority, run.task.start_count, not step.spec.checkpointing, elapsed_ms

    stops = []
    for run in sorted(candidates, key=cost):
        spec = run.task.step.spec
        if (
            (over.cpu_millis > 0 and spec.cpu_millis and not spec.best_effort)
            or (over.memory_mb > 0 and spec.memory_mb)
            or (over.accelerators > 0 and spec.accelerators)
        ):
            over.add(spec, -1)
            stops.append(run)
    return stops
