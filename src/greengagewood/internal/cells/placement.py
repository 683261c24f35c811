"""Choose a worker for a task.

Pure functions over the workers of a cell. Long-running tasks are packed onto few workers, so that
the others stay free for best-effort tasks. Ordinary batch tasks go to a slow worker last, then to
the rack of their data, and otherwise where they leave the least CPU free. Best-effort tasks go
where the most CPU is idle and no tail latency is near its target.

The load on cold workers, which are slow for some time after their start, is a failure domain that
was restarted. Batch and best-effort tasks go to a warm worker if one fits. Cold workers are filled
up evenly, and best-effort tasks get a share of their CPU that rises until they are warm. Only the
first task of a job is placed beyond that share, since nothing may run of the job otherwise.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Sequence

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.tails import TailLatencyModel
from greengagewood.internal.jobs.book import Step, Task
from greengagewood.internal.jobs.model import StepSpec

__all__ = [
    "LONGEST_TRIAL_WAIT_MS",
    "choose_worker",
    "idle_cpu_millis",
    "is_mostly_uncommitted",
    "is_other_tried",
    "leaves_headroom",
    "make_worker_chooser",
    "may_be_tried_anywhere",
    "meets_constraints",
    "place_gang",
    "workers_for_trial",
]

LONG_RUNNING_USE_SHARE = 0.6  # share of its CPU that a long-running task is assumed to use
MIN_BEST_EFFORT_CPU_SHARE = 0.8  # share of its CPU that must be idle to start a best-effort task
MIN_START_SPEED_PERCENT = 50  # a best-effort task starts only where it may run this fast at first
HEADROOM_SHARE = 0.15  # share of all CPU that long-running tasks leave to short tasks
MIN_WORKERS_PER_TRIAL = 4
LONGEST_TRIAL_WAIT_MS = 1_000  # after which a suspected task need not be tried alone

Scorer = Callable[[Boot], tuple[float, ...] | None]


def meets_constraints(worker: Boot, step: Step) -> bool:
    """Return whether the worker has the step's label and is below its limit of tasks per worker.

    A worker on which a suspected task is tried takes no other.
    """
    spec = step.spec
    if worker.trial is not None:
        return False
    if spec.required_label and spec.required_label not in worker.info.labels:
        return False
    return not (
        spec.max_per_instance and step.runs_by_worker.get(worker.name, 0) >= spec.max_per_instance
    )


def idle_cpu_millis(worker: Boot) -> float:
    """Estimate how much CPU of the worker no task uses."""
    unused_millis = worker.long_running.cpu_millis * (1 - LONG_RUNNING_USE_SHARE)
    return (
        worker.info.cpu_millis
        - worker.allocated.cpu_millis
        + unused_millis
        - worker.best_effort_cpu_millis
    )


def choose_worker(
    task: Task, workers: Iterable[Boot], model: TailLatencyModel, starving: bool
) -> Boot | None:
    """Return the best of the usable workers for a task, or None.

    Workers on which the task has failed come last. The limits on the idle CPU and the speed of a
    best-effort task don't apply if it is `starving`: its job arrived long ago and has no runs.
    """
    step = task.step
    score = _scorer(step, model, starving)
    best: Boot | None = None
    best_score: tuple[float, ...] = ()
    for worker in workers:
        worker_score = score(worker)
        if worker_score is None:
            continue
        worker_score = (float(worker.name in task.failed_workers), *worker_score)
        if best is None or worker_score < best_score:
            best, best_score = worker, worker_score
    return best


def make_worker_chooser(
    step: Step, workers: Sequence[Boot], model: TailLatencyModel, starving: bool
) -> Callable[[Task], Boot | None]:
    """Return a function that chooses like `choose_worker` for one task of the step after another.

    Between two choices only the chosen worker may change, by the start of a run there. So each
    worker is scored once, and again only after it was chosen or when it has the lowest known score:
    steps of many tasks stay cheap in cells of many workers.
    """
    score = _scorer(step, model, starving)
    heap: list[tuple[tuple[float, ...], int]] = []  # lowest known scores and indices in `workers`
    indices = {worker: index for index, worker in enumerate(workers)}
    chosen: Boot | None = None

    def push(worker: Boot) -> None:
        worker_score = score(worker)
        if worker_score is not None:
            heapq.heappush(heap, (worker_score, indices[worker]))

    def best_worker() -> Boot | None:
        while heap:
            last_score, index = heap[0]
            current = score(workers[index])
            if current is None:
                heapq.heappop(heap)
            elif current > last_score:
                heapq.heapreplace(heap, (current, index))
            else:
                return workers[index]
        return None

    def choose(task: Task) -> Boot | None:
        nonlocal chosen
        if chosen is not None:
            push(chosen)  # the run started there may also have lowered its score
        # The kept scores do not cover workers on which this task has failed, nor racks that the
        # step has just begun to use.
        if task.failed_workers or step.spec.same_rack:
            chosen = choose_worker(task, workers, model, starving)
        else:
            chosen = best_worker()
        return chosen

    for worker in workers:
        push(worker)
    return choose


def _scorer(step: Step, model: TailLatencyModel, starving: bool) -> Scorer:
    """Return a function that scores workers for a step: the lowest is best, None excludes."""
    score = _base_scorer(step, model, starving)

    def score_if_eligible(worker: Boot) -> tuple[float, ...] | None:
        return score(worker) if worker.fits(step.spec) and meets_constraints(worker, step) else None

    return score_if_eligible


def _base_scorer(step: Step, model: TailLatencyModel, starving: bool) -> Scorer:
    """Return a function that scores workers that fit a task and meet the step's constraints."""
    spec = step.spec
    if spec.best_effort:
        return lambda worker: _score_best_effort(worker, step, model, starving)
    if spec.long_running:
        return lambda worker: _score_long_running(worker, spec)
    racks = _racks_in_use(step) if spec.same_rack else frozenset()

    def score(worker: Boot) -> tuple[float, ...]:
        cold = worker.cold
        rack = worker.info.rack
        off_data_rack = float(bool(spec.data_rack) and rack != spec.data_rack)
        off_racks_in_use = float(bool(racks) and rack not in racks)
        left_millis = worker.info.cpu_millis - worker.allocated.cpu_millis - spec.cpu_millis
        off_racks, slow = off_data_rack + off_racks_in_use, float(worker.slow)
        ranks = (off_racks, slow) if spec.same_rack else (slow, off_racks)
        return (float(cold), *ranks, float(-left_millis if cold else left_millis))

    return score


def _score_long_running(worker: Boot, spec: StepSpec) -> tuple[float, ...]:
    """Prefer workers of the same image, then any with long-running tasks, then the tightest fit.

    A best-effort task must disturb none of the images that serve beside it. So workers are filled
    up with as few images as possible, and others stay free for best-effort tasks that disturb.
    """
    left_millis = worker.info.cpu_millis - worker.allocated.cpu_millis - spec.cpu_millis
    images = {r.task.step.spec.image for r in worker.runs.values() if r.task.step.spec.long_running}
    if images == {spec.image}:
        rank = 0
    elif spec.image in images:
        rank = 1
    else:
        rank = 2 if images else 3  # workers without long-running tasks come last
    return (float(rank), float(left_millis))


def _score_best_effort(
    worker: Boot, step: Step, model: TailLatencyModel, starving: bool
) -> tuple[float, ...] | None:
    spec = step.spec
    idle_millis = idle_cpu_millis(worker)
    if worker.cold and step.job.active_run_count:
        reserved_millis = worker.info.cpu_millis * (1 - worker.warm_share)
        if idle_millis - spec.cpu_millis < reserved_millis:
            return None
    if not starving and idle_millis < spec.cpu_millis * MIN_BEST_EFFORT_CPU_SHARE:
        return None
    admission = model.admission_for(worker, spec)
    if not starving and admission.speed_percent < MIN_START_SPEED_PERCENT:
        return None
    off_data_rack = float(spec.data_rack not in ("", worker.info.rack))
    # Workers without long-running tasks are kept for images that would disturb those on any other.
    without_long_running = float(not worker.long_running.cpu_millis)
    return (
        float(worker.cold),
        100.0 - admission.speed_percent,
        off_data_rack,
        without_long_running,
        admission.slack_cost,
        -idle_millis,
    )


def is_other_tried(task: Task) -> bool:
    """Return whether another suspect of a task's job runs, none of which was cleared yet."""
    job = task.step.job
    return not job.had_cleared and any(other.run for other in job.suspects)


def may_be_tried_anywhere(task: Task, now_ms: int) -> bool:
    """Return whether a suspected task without a run may be started beside other runs."""
    waited_ms = now_ms - task.last_run_ended_ms
    return waited_ms > LONGEST_TRIAL_WAIT_MS and not is_other_tried(task)


def workers_for_trial(task: Task, workers: Sequence[Boot], waited_ms: int) -> Sequence[Boot]:
    """Return the workers on which a suspected task may be tried, see `crashes`."""
    free = [worker for worker in workers if worker.trial is None]
    trial_count = len(workers) - len(free)
    free = [worker for worker in free if worker.may_start(task)]
    if waited_ms > LONGEST_TRIAL_WAIT_MS:
        return free
    if trial_count >= max(1, len(workers) // MIN_WORKERS_PER_TRIAL):
        return []
    addresses = {run.address for run in task.crashes}
    quiet = [w for w in free if all(run.outlived for run in w.runs.values())]
    return [w for w in quiet if w.info.address not in addresses] or quiet


def leaves_headroom(task: Task, workers: Sequence[Boot]) -> bool:
    """Return whether a long-running task leaves enough CPU to short tasks.

    A task that has run before is started again even without headroom, as its users depend on it.
    """
    if task.last_run_ended_ms:
        return True
    committed_millis = sum(w.long_running.cpu_millis for w in workers) + task.step.spec.cpu_millis
    total_millis = sum(worker.info.cpu_millis for worker in workers)
    return committed_millis <= total_millis * (1 - HEADROOM_SHARE)


def is_mostly_uncommitted(workers: Sequence[Boot]) -> bool:
    """Return whether less than half of the CPU is committed to tasks that are not best-effort."""
    total_millis = sum(worker.info.cpu_millis for worker in workers)
    return 2 * sum(worker.allocated.cpu_millis for worker in workers) < total_millis


def _racks_in_use(step: Step) -> frozenset[str]:
    return frozenset(rack for rack in step.runs_by_rack if rack)


def place_gang(step: Step, workers: Sequence[Boot]) -> list[tuple[Task, Boot]] | None:
    """Return a worker for each unfinished task of a gang, or None if they do not all fit.

    With `same_rack`, a rack that holds the whole gang is preferred, but not required. Cold workers
    are used only if the gang does not fit on the warm ones.
    """
    warm = [worker for worker in workers if not worker.cold]
    placed = _place_gang(step, warm)
    if placed is None and len(warm) < len(workers):
        placed = _place_gang(step, workers)
    return placed


def _place_gang(step: Step, workers: Sequence[Boot]) -> list[tuple[Task, Boot]] | None:
    if not step.spec.same_rack:
        return _place_all_tasks(step, workers)
    workers_by_rack: dict[str, list[Boot]] = {}
    for worker in workers:
        workers_by_rack.setdefault(worker.info.rack, []).append(worker)
    data_rack = step.spec.data_rack
    for rack in sorted(workers_by_rack, key=lambda name: name != data_rack):
        placed = _place_all_tasks(step, workers_by_rack[rack])
        if placed is not None:
            return placed
    return _place_all_tasks(step, workers)


def _place_all_tasks(step: Step, workers: Sequence[Boot]) -> list[tuple[Task, Boot]] | None:
    spec = step.spec
    unplaced = [task for task in step.tasks if not task.end_state]
    bound = [task for task in unplaced if task.late_start is not None]
    unplaced = [task for task in unplaced if task.late_start is None]
    placed: list[tuple[Task, Boot]] = []
    for worker in sorted(workers, key=lambda w: (w.cold, spec.data_rack not in ("", w.info.rack))):
        if not meets_constraints(worker, step):
            continue
        bound_here = [task for task in bound if worker.may_start(task)]
        here = [*bound_here, *unplaced][: _free_slots(worker, step)]
        placed.extend((task, worker) for task in here)
        bound = [task for task in bound if task not in here]
        unplaced = unplaced[max(0, len(here) - len(bound_here)) :]
    return None if bound or unplaced else placed


def _free_slots(worker: Boot, step: Step) -> int:
    """Return how many tasks of the step still fit on a worker."""
    spec = step.spec
    if not worker.fits(spec):  # also if it lacks a resource that the tasks don't request
        return 0
    limits = [spec.task_count]
    if spec.cpu_millis and not spec.best_effort:
        limits.append(worker.free_cpu_millis // spec.cpu_millis)
    if spec.memory_mb:
        limits.append(worker.free_memory_mb // spec.memory_mb)
    if spec.accelerators:
        limits.append(worker.free_accelerators // spec.accelerators)
    if spec.max_per_instance:
        limits.append(spec.max_per_instance - step.runs_by_worker.get(worker.name, 0))
    count = max(0, min(limits))
    while count and worker.would_refuse(spec, count):
        count -= 1
    return count
