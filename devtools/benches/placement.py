"""Measure the processor time of a placement decision by the number of workers."""

from __future__ import annotations

import math
import random
import time
from statistics import median

from devtools.bench import Bound, Result
from devtools.lab import WORKER_CPUS, lab_document
from greengagewood.internal.celllog import CellLog
from greengagewood.internal.interference import LatencySample
from greengagewood.internal.joblog import LoggedJob
from greengagewood.internal.native.workers import StartCommand
from greengagewood.internal.placement import Resources
from greengagewood.internal.placer import Placement, Placer
from greengagewood.internal.records import JobSubmitted
from greengagewood.internal.tailguard import TailLatencyController
from greengagewood.internal.taskbook import TaskBook
from greengagewood.internal.workerstate import WorkerState

__all__ = ["run"]

WORKER_COUNTS = (48, 96, 192, 384)
TASKS_PER_WORKER = 18
DECISIONS = 100
WAITING_JOBS = 1000
MAX_DECISION_MS = 1.0
DESIGN_WORKERS = 192


def _build_cell(
    count: int, rng: random.Random
) -> tuple[dict[str, WorkerState], TailLatencyController]:
    """Return workers that run tasks, and a controller that has a latency sample of each."""
    controller = TailLatencyController()
    controller.set_document(lab_document("padana"))
    workers = {}
    for number in range(count):
        worker = WorkerState(f"w{number:04}", "u", fenced=True, registered=True)
        worker.capacity = Resources(WORKER_CPUS, 250_000, rng.choice([0, 0, 4]))
        worker.reserve = Resources(16, 64_000, 0)
        workers[worker.name] = worker
        for task in range(TASKS_PER_WORKER):
            name = rng.choice(["light", "medium", "heavy"])
            worker.assign(
                StartCommand(f"r{number}/{task}", 1, name, rng.randrange(1, 4), 1000, 0, 1000)
            )
    controller.set_services({name: {"quotazioni"} for name in workers})
    for name, worker in workers.items():
        sample = LatencySample("quotazioni", name, 50, 50 * 3.0, 50 * 9.1)
        controller.record_latency(sample, worker.batch_attempts(), WORKER_CPUS)
    return workers, controller


def _add_job(book: TaskBook, number: int, rng: random.Random) -> None:
    spec = JobSubmitted(
        f"j{number}", "a", "mercato", rng.choice(["light", "medium"]), "lab", 1,
        rng.randrange(1, 4), 1000, 0, 1000, "", 0,
    )  # fmt: skip
    book.add_job(LoggedJob(spec), 3, False, "pending")


def _measure(count: int) -> tuple[float, float, int]:
    """Return the median and longest milliseconds of a decision, and how many tasks were placed."""
    rng = random.Random(count)
    workers, controller = _build_cell(count, rng)
    placer = Placer(workers, controller)
    book = TaskBook(CellLog("lab"))
    document = lab_document("padana")
    decision_ms = []
    placed: list[Placement] = []

    def start(placement: Placement) -> None:
        placed.append(placement)
        task = placement.task
        task.worker = placement.worker
        book.transition(task, "place")
        spec = task.job.logged.spec
        workers[placement.worker].assign(
            StartCommand(task.name, 1, spec.batch_class, spec.cpus, spec.memory_mb, 0, spec.run_ms)
        )

    placer.place(0, book, document, start, lambda name: False)
    for number in range(DECISIONS):
        _add_job(book, number, rng)
        if number % 10 == 0:
            placer.clear_cost_cache()  # the owner does so once a second
        started_s = time.process_time()
        placer.place(number, book, document, start, lambda name: False)
        decision_ms.append((time.process_time() - started_s) * 1000)
    return median(decision_ms), max(decision_ms), len(placed)


def _backlog_ms(count: int) -> float:
    """Return the milliseconds of a placement pass in which none of the waiting jobs fits."""
    rng = random.Random(count)
    workers, controller = _build_cell(count, rng)
    for worker in workers.values():
        worker.capacity = worker.reserve
    placer, book = Placer(workers, controller), TaskBook(CellLog("lab"))
    document = lab_document("padana")
    for number in range(WAITING_JOBS):
        _add_job(book, number, rng)
    started_s = time.process_time()
    placer.place(0, book, document, lambda placement: None, lambda name: False)
    return (time.process_time() - started_s) * 1000


def run() -> Result:
    """Measure decisions at each number of workers."""
    rows = []
    for count in WORKER_COUNTS:
        median_ms, longest_ms, placed = _measure(count)
        rows.append(
            (count, count * TASKS_PER_WORKER, median_ms, longest_ms, placed, _backlog_ms(count))
        )
    median_ms_by_count = {row[0]: row[2] for row in rows}
    growth_exponent = math.log(median_ms_by_count[384] / median_ms_by_count[48]) / math.log(
        384 / 48
    )
    bounds = (
        Bound(
            "decision at 192 workers",
            f"{MAX_DECISION_MS} ms",
            median_ms_by_count[DESIGN_WORKERS],
            median_ms_by_count[DESIGN_WORKERS] <= MAX_DECISION_MS,
        ),
        Bound(
            "exponent of its growth with workers", "below 1", growth_exponent, growth_exponent < 1.0
        ),
    )
    return Result(
        "placement",
        ("workers", "running tasks", "median ms", "worst ms", "placed", "1000 waiting ms"),
        tuple(rows),
        bounds,
    )
