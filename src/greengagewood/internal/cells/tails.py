"""Keep the tails of serving tasks under their targets by pacing what fills beside them.

Answers the load in which filling work disturbs services by amounts that differ by image and change
within seconds. Only readings decide: a tail near its target slows the filling runs beside it at
once, and a tail well below lets them speed up again in steps. A run that is paced to nothing for
long gives its place up, so that it can go on elsewhere.
"""

from __future__ import annotations

from greengagewood.internal.cells.fleet import Worker
from greengagewood.internal.cells.orders import PaceRun
from greengagewood.internal.jobs.book import Run

__all__ = ["note_tails", "plan_pacing", "starved_runs"]

PACE_INTERVAL_MS = 500  # a reading covers the last half second
SLOW_DOWN_ABOVE = 0.85  # share of the target
SPEED_UP_BELOW = 0.6
SPEED_UP_POINTS = 25
AIM = 0.6  # the share of the target that slowing down aims at
LEAST_PERCENT = 5  # below it a run is paced to nothing
STARVED_MS = 1_500


def note_tails(worker: Worker) -> None:
    """Take the worst tail of the worker's last readings, as a share of its target."""
    worst = 0.0
    for run in worker.runs.values():
        target = run.task.step.spec.tail_target_ms
        if target and run.progress == 100:
            worst = max(worst, run.measure / target)
    worker.hottest = worst


def plan_pacing(worker: Worker, now_ms: int) -> list[PaceRun]:
    """Return how fast filling runs should work from now on."""
    if now_ms - worker.paced_ms < PACE_INTERVAL_MS:
        return []
    fillers = [
        run for run in worker.runs.values() if run.task.step.spec.filling and run.state == "running"
    ]
    if not fillers:
        return []
    orders = []
    for run in fillers:
        percent = _next_percent(run.percent, worker.hottest)
        if percent != run.percent:
            orders.append(PaceRun(worker, run, percent))
    if orders:
        worker.paced_ms = now_ms
    return orders


def _next_percent(percent: int, hottest: float) -> int:
    if hottest > SLOW_DOWN_ABOVE:
        slower = int(percent * min(0.7, AIM / hottest))
        return slower if slower >= LEAST_PERCENT else 0
    if hottest < SPEED_UP_BELOW:
        return min(100, percent + SPEED_UP_POINTS)
    return percent


def starved_runs(worker: Worker, now_ms: int) -> list[Run]:
    """Return filling runs that have stood still for long and should move."""
    return [
        run
        for run in worker.runs.values()
        if run.task.step.spec.filling
        and run.state == "running"
        and run.percent == 0
        and now_ms - worker.paced_ms > STARVED_MS
    ]
