"""Processor time of a placement decision against the number of workers."""

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
from greengagewood.internal.native.workers import Start
from greengagewood.internal.placement import Resources
from greengagewood.internal.placer import Placement, Placer
from greengagewood.internal.records import JobSubmitted
from greengagewood.internal.tailguard import TailLatencyController
from greengagewood.internal.taskbook import TaskBook
from greengagewood.internal.workerstate import WorkerState

__all__ = ["run"]

WORKERS = (48, 96, 192, 384)
TASKS_PER_WORKER = 18
DECISIONS = 100
WAITING = 1000
TARGET_MS = 1.0
DESIGN_WORKERS = 192


def _cell(count: int, rng: random.Random) -> tuple[dict[str, WorkerState], TailLatencyController]:
    """Return workers that run tasks already, and a controller that has learned."""
    controller = TailLatencyController()
    controller.set_document(lab_document("padana"))
    workers = {}
    for number in range(count):
        worker = WorkerState(f"w{number:04}", "u", fenced=True, enlisted=True)
        worker.capacity = Resources(WORKER_CPUS, 250_000, rng.choice([0, 0, 4]))
        worker.reserve = Resources(16, 64_000, 0)
        workers[worker.name] = worker
        for task in range(TASKS_PER_WORKER):
            name = rng.choice(["light", "medium", "heavy"])
            worker.assign(Start(f"r{number}/{task}", 1, name, rng.randrange(1, 4), 1000, 0, 1000))
    controller.set_services({name: {"quotazioni"} for name in workers})
    for name, worker in workers.items():
        sample = LatencySample("quotazioni", name, 50, 50 * 3.0, 50 * 9.1)
        controller.record_latency(sample, worker.batch_attempts(), WORKER_CPUS)
    return workers, controller


def _job(book: TaskBook, number: int, rng: random.Random) -> None:
    spec = JobSubmitted(
        f"j{number}", "a", "mercato", rng.choice(["light", "medium"]), "lab", 1,
        rng.randrange(1, 4), 1000, 0, 1000, "", 0,
    )  # fmt: skip
    book.add_job(LoggedJob(spec), 3, False, "pending")


def _measure(count: int) -> tuple[float, float, int]:
    """Return the median and the worst milliseconds of a decision, and how many were placed."""
    rng = random.Random(count)
    workers, controller = _cell(count, rng)
    placer = Placer(workers, controller)
    book = TaskBook(CellLog("lab"))
    document = lab_document("padana")
    times = []
    placed: list[Placement] = []

    def start(decision: Placement) -> None:
        placed.append(decision)
        task = decision.task
        task.worker = decision.worker
        book.transition(task, "place")
        spec = task.job.logged.spec
        workers[decision.worker].assign(
            Start(task.name, 1, spec.batch_class, spec.cpus, spec.memory_mb, 0, spec.run_ms)
        )

    placer.place(0, book, document, start, lambda name: False)
    for number in range(DECISIONS):
        _job(book, number, rng)
        if number % 10 == 0:
            placer.clear_cost_cache()  # as once a second
        began = time.process_time()
        placer.place(number, book, document, start, lambda name: False)
        times.append((time.process_time() - began) * 1000)
    return median(times), max(times), len(placed)


def _backlog(count: int) -> float:
    """Return the milliseconds of a plan that finds no room for a thousand waiting jobs."""
    rng = random.Random(count)
    workers, controller = _cell(count, rng)
    for worker in workers.values():
        worker.capacity = worker.reserve
    placer, book = Placer(workers, controller), TaskBook(CellLog("lab"))
    document = lab_document("padana")
    for number in range(WAITING):
        _job(book, number, rng)
    began = time.process_time()
    placer.place(0, book, document, lambda decision: None, lambda name: False)
    return (time.process_time() - began) * 1000


def run() -> Result:
    """Measure four sizes."""
    rows = []
    for count in WORKERS:
        middle, worst, placed = _measure(count)
        rows.append((count, count * TASKS_PER_WORKER, middle, worst, placed, _backlog(count)))
    by_count = {row[0]: row[2] for row in rows}
    growth = math.log(by_count[384] / by_count[48]) / math.log(384 / 48)
    bounds = (
        Bound(
            "decision at 192 workers",
            f"{TARGET_MS} ms",
            by_count[DESIGN_WORKERS],
            by_count[DESIGN_WORKERS] <= TARGET_MS,
        ),
        Bound("exponent of its growth with workers", "below 1", growth, growth < 1.0),
    )
    return Result(
        "placement",
        ("workers", "running tasks", "median ms", "worst ms", "placed", "1000 waiting ms"),
        tuple(rows),
        bounds,
    )
