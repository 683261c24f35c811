"""Tests of choosing workers for the tasks of a step, compared with scoring all workers anew."""

from __future__ import annotations

import random

import pytest

from greengagewood.internal.cells.fleet import Worker
from greengagewood.internal.cells.placement import choose_worker, make_worker_chooser
from greengagewood.internal.cells.tails import TailLatencyModel
from greengagewood.internal.jobs.book import JobBook, Step
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import Submission
from greengagewood.internal.ports import WorkerInfo

QUEUE = Queue("q", "svc", 0, 2)
RACKS = ("r0", "r1", "r2")


def _fleet(rng: random.Random) -> list[Worker]:
    """Return workers with different amounts of free CPU, some of which run services."""
    fleet = []
    book = JobBook()
    for number in range(rng.randrange(1, 12)):
        cpu = rng.choice((32_000, 64_000, 96_000))
        rack = rng.choice(RACKS)
        info = WorkerInfo(
            f"w{number}", "", "svc", "z", rack, frozenset(), cpu, 128_000, 0, False, None, 1
        )
        worker = Worker(info, 0)
        worker.allocated.cpu_millis = rng.randrange(0, 30_000, 1_000)
        fleet.append(worker)
        for _ in range(rng.randrange(3)):
            spec = StepSpec(
                1,
                cpu_millis=9_000,
                memory_mb=9_000,
                long_running=True,
                image=f"s{rng.randrange(2)}",
                tail_target_ms=24,
            )
            name = f"{rng.getrandbits(60):016x}"
            job = book.add(Submission(name, QUEUE, JobSpec("p", (spec,)), 0), None, False, 0)
            assert job is not None
            (task,) = job.opened_tasks()
            worker.add_run(book.attach_run(task, 1, worker.name, rack, "running", 0))
    return fleet


def _step(rng: random.Random) -> tuple[JobBook, Step]:
    best_effort = rng.random() < 0.4
    spec = StepSpec(
        rng.randrange(1, 15),
        cpu_millis=rng.randrange(1_000, 20_000, 500),
        memory_mb=rng.randrange(1_000, 40_000, 1_000),
        data_rack=rng.choice(("", "r1")),
        same_rack=not best_effort and rng.random() < 0.3,
        max_per_instance=rng.choice((0, 0, 1, 2)),
        image="f" if best_effort else "",
        best_effort=best_effort,
        long_running=not best_effort and rng.random() < 0.3,
    )
    book = JobBook()
    job = book.add(Submission("0" * 16, QUEUE, JobSpec("p", (spec,)), 0), None, False, 0)
    assert job is not None
    return book, job.occurrences[0][0]


def _choices(seed: int, scoring_all: bool) -> list[str | None]:
    """Place all tasks of a random step; return the worker of each."""
    rng = random.Random(seed)
    workers = _fleet(rng)
    book, step = _step(rng)
    for task in step.tasks:
        if rng.random() < 0.2:
            task.failed_workers = (rng.choice(workers).name,)
    model = TailLatencyModel()
    choose = make_worker_chooser(step, workers, model, False)
    names: list[str | None] = []
    for number, task in enumerate(step.tasks):
        worker = choose_worker(task, workers, model, False) if scoring_all else choose(task)
        names.append(worker.name if worker else None)
        if worker is None:
            break
        run = book.attach_run(task, number + 1, worker.name, worker.info.rack, "starting", 0)
        if step.spec.best_effort:
            run.initial_speed_percent = model.admission_for(worker, step.spec).speed_percent
        worker.add_run(run)
    return names


class TestWorkerChooser:
    """Guard against stale scores when many tasks of a step are placed one after another.

    The chooser keeps the scores of workers between choices. It must choose what `choose_worker`
    does, which scores every worker for each task.
    """

    @pytest.mark.parametrize("seed", range(300))
    def test_it_chooses_the_same_workers_as_scoring_all_anew(self, seed: int) -> None:
        assert _choices(seed, scoring_all=False) == _choices(seed, scoring_all=True)
