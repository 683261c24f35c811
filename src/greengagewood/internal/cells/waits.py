"""Tell what long-running tasks that have lost their runs, and jobs without any run, wait for.

The load: workers leave a full service, and their long-running tasks have to be started elsewhere
within seconds; or tasks that always fail take the room, or the workers, of other jobs. This module
does no I/O and reads no clock, and decides nothing.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence

from greengagewood.internal.cells.boots import Boot, Resources
from greengagewood.internal.cells.placement import leaves_headroom, meets_constraints
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.jobs.book import Job, JobBook, Task

__all__ = ["REPORT_INTERVAL_MS", "WaitReports"]

REPORT_INTERVAL_MS = 2_000  # from the loss of a run to the first report, and between reports
MAX_REPORTS = 20  # at a time; the others are only counted


class WaitReports:
    """Reports of the waits of one term of ownership."""

    def __init__(self, book: JobBook, boots: dict[str, Boot], planner: Planner) -> None:
        self._book = book
        self._boots = boots
        self._planner = planner
        self._reported_ms: int | None = None
        self._idle_jobs: dict[Job, None] = {}  # that waited without a run at the last report

    def due(self, now_ms: int) -> Iterator[tuple[str, dict[str, object]]]:
        """Yield the events that are due with their fields, those of the longest waits first."""
        if self._reported_ms is None:
            self._reported_ms = now_ms
        if now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms = now_ms
        waiting = [
            task
            for step in self._book.waiting_steps
            if step.spec.long_running
            for task in step.waiting_tasks
            if task.last_run_ended_ms and now_ms - task.last_run_ended_ms >= REPORT_INTERVAL_MS
        ]
        held = [
            task
            for task in self._book.maybe_running_tasks
            if task.step.spec.long_running
            and task.step.ready
            and now_ms - task.step.job.arrived_ms >= REPORT_INTERVAL_MS
        ]
        waiting.sort(key=lambda task: task.last_run_ended_ms)
        unreported = max(0, len(waiting) - MAX_REPORTS)
        idle_jobs = self._find_idle_jobs(now_ms)
        # A job may have no run for a moment between two steps.
        idle = [job for job in idle_jobs if job in self._idle_jobs]
        self._idle_jobs = idle_jobs
        usable = self._usable_boots(now_ms) if waiting or idle else {}
        for task in waiting[:MAX_REPORTS]:
            boots = usable.get(self._planner.queue_of(task.step.job).service, [])
            yield "task_waits", _describe(task, boots, now_ms) | {"unreported": unreported}
        if held:
            fields = {"task": held[0].id, "reason": "adoption", "unreported": len(held) - 1}
            yield "task_waits", fields
        idle_counts = Counter(self._planner.queue_of(job).service for job in idle)
        services = {self._planner.queue_of(task.step.job).service for task in waiting}
        for service in sorted(services.union(idle_counts)):
            room = self._describe_service(service, usable.get(service, []), now_ms)
            yield "service_room", room | {"idle_jobs": idle_counts[service]}

    def _find_idle_jobs(self, now_ms: int) -> dict[Job, None]:
        """Return the jobs of which nothing runs and tasks wait that are not long-running."""
        return {
            step.job: None
            for step in self._book.waiting_steps
            if not step.spec.long_running
            and not step.job.active_run_count
            and now_ms - step.job.arrived_ms >= REPORT_INTERVAL_MS
        }

    def _describe_service(
        self, service: str, usable: Sequence[Boot], now_ms: int
    ) -> dict[str, object]:
        """Return what long-running tasks hold, and what they wait for, of a service's capacity."""
        lost, new = Resources(), Resources()
        lost_count = new_count = oldest_ms = 0
        for step in self._book.waiting_steps:
            if not step.spec.long_running or self._planner.queue_of(step.job).service != service:
                continue
            for task in step.waiting_tasks:
                if task.last_run_ended_ms:
                    lost.add(step.spec)
                    lost_count += 1
                    oldest_ms = max(oldest_ms, now_ms - task.idle_since_ms)
                else:
                    new.add(step.spec)
                    new_count += 1
        gaps = [max(0, boot.info.cpu_millis - boot.lasting.cpu_millis) for boot in usable]
        unusable = Counter(
            _why_unusable(boot, now_ms)
            for boot in self._boots.values()
            if boot.info.service == service and not self._planner.may_start_on(boot, now_ms)
        )
        return {
            "service": service,
            "usable_workers": len(usable),
            "unusable_workers": dict(unusable),
            "cpu": sum(boot.info.cpu_millis for boot in usable),
            "lasting_cpu": sum(boot.lasting.cpu_millis for boot in usable),
            "other_cpu": sum(
                boot.allocated.cpu_millis - boot.lasting.cpu_millis for boot in usable
            ),
            "kept_cpu": sum(boot.kept.cpu_millis for boot in usable),
            "widest_gap": max(gaps, default=0),
            "lost_tasks": lost_count,
            "lost_cpu": lost.cpu_millis,
            "longest_ms": oldest_ms,
            "new_tasks": new_count,
            "new_cpu": new.cpu_millis,
        }

    def _usable_boots(self, now_ms: int) -> dict[str, list[Boot]]:
        """Return the boots on which runs may be started now, by service."""
        usable: dict[str, list[Boot]] = {}
        for boot in self._boots.values():
            if self._planner.may_start_on(boot, now_ms):
                usable.setdefault(boot.info.service, []).append(boot)
        return usable


def _why_unusable(boot: Boot, now_ms: int) -> str:
    """Return the first condition for starts on a worker that does not hold."""
    if not boot.worker.in_directory:
        return "unlisted"
    if boot.info.draining:
        return "draining"
    if not boot.adopted or not boot.worker.registered:
        return "new"
    if boot.state != "listed":
        return "silent"
    waits = now_ms < boot.not_before_ms or boot.backs_off(now_ms)
    return "backoff" if waits else "other"


def _describe(task: Task, boots: Sequence[Boot], now_ms: int) -> dict[str, object]:
    spec = task.step.spec
    widest = max(boots, key=_free_cpu_millis, default=None)
    last = max(
        widest.runs.values() if widest is not None else (),
        key=lambda run: run.started_ms,
        default=None,
    )
    return {
        "task": task.id,
        "reason": _reason(task, boots, now_ms),
        "for_ms": now_ms - task.last_run_ended_ms,
        "cpu": spec.cpu_millis,
        "memory_mb": spec.memory_mb,
        "usable_workers": len(boots),
        "widest": widest.name if widest is not None else None,
        "widest_cpu": _free_cpu_millis(widest) if widest is not None else None,
        "widest_memory_mb": _free_memory_mb(widest) if widest is not None else None,
        "cpu_on": sum(_free_cpu_millis(boot) >= spec.cpu_millis for boot in boots),
        "memory_on": sum(_free_memory_mb(boot) >= spec.memory_mb for boot in boots),
        "places": sum(_fits_beside_long_running(boot, task) for boot in boots),
        "last_start": last.task.id if last is not None else None,
        "last_start_ago_ms": now_ms - last.started_ms if last is not None else None,
    }


def _free_cpu_millis(boot: Boot) -> int:
    return boot.info.cpu_millis - boot.allocated.cpu_millis


def _free_memory_mb(boot: Boot) -> int:
    return boot.info.memory_mb - boot.allocated.memory_mb


def _fits_beside_long_running(boot: Boot, task: Task) -> bool:
    """Return whether a task fits a worker if no other than long-running tasks run there."""
    need = Resources()
    need.add(task.step.spec)
    return boot.has_capacity_for(boot.long_running, need) and meets_constraints(boot, task.step)


def _reason(task: Task, boots: Sequence[Boot], now_ms: int) -> str:
    """Return the first condition for a start that does not hold."""
    if task.not_before_ms > now_ms:
        return "backoff"
    if task.late_start is not None:
        return "late_start"
    if task.crashes:
        return "trial"
    if not boots:
        return "no_worker"
    fitting = [boot for boot in boots if boot.fits(task.step.spec)]
    if not fitting:
        return "room"
    if not any(meets_constraints(boot, task.step) for boot in fitting):
        return "constraint"
    return "rank" if leaves_headroom(task, boots) else "headroom"
