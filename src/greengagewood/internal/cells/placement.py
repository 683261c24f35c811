"""Choose a worker for a task.

Pure functions over the workers of a cell. They answer three loads: lasting tasks that serve callers
are packed, so that whole workers stay free of them for filling work; ordinary batch tasks go where
their data is, and else where the least room is left over; filling tasks go where most processors
are idle and no tail is near its target.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence

from greengagewood.internal.cells.fleet import Worker
from greengagewood.internal.cells.tails import TailModel
from greengagewood.internal.jobs.book import Step, Task
from greengagewood.internal.jobs.model import StepSpec

__all__ = [
    "choose_worker",
    "idle_millis",
    "is_roomy",
    "keeps_headroom",
    "place_gang",
    "worker_chooser",
]

SERVING_USE = 0.6  # share of its processors that a serving task is taken to use
MIN_FILLING_SHARE = 0.8  # a filling task starts only where it gets this share of its processors
MIN_FILLING_PERCENT = 50  # and where it may begin at this pace at least
HEADROOM_SHARE = 0.15  # of all processors, that lasting tasks leave to short ones

Score = Callable[[Worker], tuple[float, ...] | None]


def allowed(worker: Worker, step: Step) -> bool:
    """Tell whether the step's own conditions admit the worker."""
    spec = step.spec
    if spec.required_label and spec.required_label not in worker.info.labels:
        return False
    return not (
        spec.max_per_instance and step.runs_by_worker.get(worker.name, 0) >= spec.max_per_instance
    )


def idle_millis(worker: Worker) -> float:
    """Estimate the processors that nothing on the worker uses."""
    unused = worker.lasting_millis * (1 - SERVING_USE)
    return worker.info.cpu_millis - worker.used.cpu_millis + unused - worker.filling_millis


def choose_worker(
    task: Task, workers: Iterable[Worker], model: TailModel, aged: bool
) -> Worker | None:
    """Return the best of the usable workers for one task, or None.

    An aged filling task goes anywhere, at whatever pace is left there: its job has waited long
    with nothing at work.
    """
    step = task.step
    score = _score_of(step, model, aged)
    best: Worker | None = None
    best_score: tuple[float, ...] = ()
    for worker in workers:
        found = score(worker)
        if found is None:
            continue
        found = (float(worker.name in task.failed_workers), *found)
        if best is None or found < best_score:
            best, best_score = worker, found
    return best


def worker_chooser(
    step: Step, workers: Sequence[Worker], model: TailModel, aged: bool
) -> Callable[[Task], Worker | None]:
    """Return a function that chooses like `choose_worker` for one task of the step after another.

    Answers the load of wide steps on many workers: a start changes only the score of its worker, so
    each worker is scored once, and again only when it was chosen or comes to the top.
    """
    score = _score_of(step, model, aged)
    ranked: list[tuple[tuple[float, ...], int]] = []
    places = {worker: place for place, worker in enumerate(workers)}
    chosen: Worker | None = None

    def rank(worker: Worker) -> None:
        found = score(worker)
        if found is not None:
            heapq.heappush(ranked, (found, places[worker]))

    def take_best() -> Worker | None:
        while ranked:
            known, place = ranked[0]
            found = score(workers[place])
            if found is None:
                heapq.heappop(ranked)
            elif found > known:
                heapq.heapreplace(ranked, (found, place))
            else:
                return workers[place]
        return None

    def choose(task: Task) -> Worker | None:
        nonlocal chosen
        if chosen is not None:
            rank(chosen)  # what was started there may have made it better, too
        # A failure elsewhere, or a rack taken into use, changes the scores of many workers.
        if task.failed_workers or step.spec.same_rack:
            chosen = choose_worker(task, workers, model, aged)
        else:
            chosen = take_best()
        return chosen

    for worker in workers:
        rank(worker)
    return choose


def _score_of(step: Step, model: TailModel, aged: bool) -> Score:
    """Return the function that scores workers for a step: the lowest is best, None excludes."""
    score = _score_of_admitted(step, model, aged)

    def score_if_admitted(worker: Worker) -> tuple[float, ...] | None:
        return score(worker) if worker.fits(step.spec) and allowed(worker, step) else None

    return score_if_admitted


def _score_of_admitted(step: Step, model: TailModel, aged: bool) -> Score:
    """Return the function that scores workers with room that the step's conditions admit."""
    spec = step.spec
    if spec.best_effort:
        return lambda worker: _score_filling(worker, spec, model, aged)
    if spec.long_running:
        return lambda worker: _score_lasting(worker, spec)
    racks = _racks_in_use(step) if spec.same_rack else frozenset()

    def score(worker: Worker) -> tuple[float, ...]:
        rack = worker.info.rack
        away = float(bool(spec.data_rack) and rack != spec.data_rack)
        apart = float(bool(racks) and rack not in racks)
        left = worker.info.cpu_millis - worker.used.cpu_millis - spec.cpu_millis
        return (away + apart, float(left))

    return score


def _score_lasting(worker: Worker, spec: StepSpec) -> tuple[float, ...]:
    """Prefer workers that serve the same image, then any that serve, and there the tightest fit.

    A filling image must disturb none of the images that serve beside it: so workers are filled up,
    with as few images as may be, and others stay free for work that disturbs.
    """
    left = worker.info.cpu_millis - worker.used.cpu_millis - spec.cpu_millis
    images = {r.task.step.spec.image for r in worker.runs.values() if r.task.step.spec.long_running}
    if images == {spec.image}:
        rank = 0
    elif spec.image in images:
        rank = 1
    else:
        rank = 2 if images else 3  # a worker that serves nothing comes last
    return (float(rank), float(left))


def _score_filling(
    worker: Worker, spec: StepSpec, model: TailModel, aged: bool
) -> tuple[float, ...] | None:
    idle = idle_millis(worker)
    if not aged and idle < spec.cpu_millis * MIN_FILLING_SHARE:
        return None
    admission = model.admits(worker, spec)
    if not aged and admission.percent < MIN_FILLING_PERCENT:
        return None
    away = float(spec.data_rack not in ("", worker.info.rack))
    # Workers without serving tasks are kept for what would disturb everywhere else.
    free = float(not worker.lasting_millis)
    return (100.0 - admission.percent, away, free, admission.cost, -idle)


def keeps_headroom(task: Task, workers: Sequence[Worker]) -> bool:
    """Tell whether a lasting task leaves enough processors to short tasks.

    A task that has run before comes back without regard to headroom: its users miss it.
    """
    if task.last_run_ended_ms:
        return True
    taken = sum(worker.lasting_millis for worker in workers) + task.step.spec.cpu_millis
    whole = sum(worker.info.cpu_millis for worker in workers)
    return taken <= whole * (1 - HEADROOM_SHARE)


def is_roomy(workers: Sequence[Worker]) -> bool:
    """Tell whether most of the processors are not committed to anybody."""
    whole = sum(worker.info.cpu_millis for worker in workers)
    return 2 * sum(worker.used.cpu_millis for worker in workers) < whole


def _racks_in_use(step: Step) -> frozenset[str]:
    return frozenset(rack for rack in step.runs_by_rack if rack)


def place_gang(step: Step, workers: Sequence[Worker]) -> list[tuple[Task, Worker]] | None:
    """Return a worker for each task of a gang at once, or None if they do not all fit."""
    if not step.spec.same_rack:
        return _place_all(step, workers)
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.info.rack, []).append(worker)
    wanted = step.spec.data_rack
    for rack in sorted(racks, key=lambda name: name != wanted):
        found = _place_all(step, racks[rack])
        if found is not None:
            return found
    return _place_all(step, workers)


def _place_all(step: Step, workers: Sequence[Worker]) -> list[tuple[Task, Worker]] | None:
    spec = step.spec
    tasks = [task for task in step.tasks if not task.end_state]
    placed: list[tuple[Task, Worker]] = []
    for worker in sorted(workers, key=lambda w: spec.data_rack not in ("", w.info.rack)):
        if not allowed(worker, step):
            continue
        for _ in range(_how_many(worker, step)):
            if len(placed) == len(tasks):
                return placed
            placed.append((tasks[len(placed)], worker))
    return placed if len(placed) == len(tasks) else None


def _how_many(worker: Worker, step: Step) -> int:
    spec = step.spec
    info = worker.info
    limits = [spec.task_count]
    if spec.cpu_millis and not spec.best_effort:
        limits.append((info.cpu_millis - worker.used.cpu_millis) // spec.cpu_millis)
    if spec.memory_mb:
        limits.append((info.memory_mb - worker.used.memory_mb) // spec.memory_mb)
    if spec.accelerators:
        limits.append((info.accelerators - worker.used.accelerators) // spec.accelerators)
    if spec.max_per_instance:
        limits.append(spec.max_per_instance - step.runs_by_worker.get(worker.name, 0))
    return max(0, min(limits))
