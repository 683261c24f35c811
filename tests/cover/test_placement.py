"""Choosing workers for the tasks of a step, compared with scoring every worker for each task."""

from __future__ import annotations

import random

import pytest

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.placement import (
    choose_worker,
    make_worker_chooser,
    place_gang,
)
from greengagewood.internal.cells.tails import TailLatencyModel
from greengagewood.internal.jobs.book import JobBook, Step
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import Submission
from greengagewood.internal.ports import WorkerInfo

QUEUE = Queue("q", "svc", 0, 2)
RACKS = ("r0", "r1", "r2")


def _fleet(rng: random.Random) -> list[Boot]:
    """Return workers with different amounts of free CPU, some of which run services."""
    fleet = []
    book = JobBook()
    for number in range(rng.randrange(1, 12)):
        cpu = rng.choice((32_000, 64_000, 96_000))
        rack = rng.choice(RACKS)
        info = WorkerInfo(
            f"w{number}", "", "svc", "z", rack, frozenset(), cpu, 128_000, 0, False, None, 1
        )
        worker = Boot(info, 0)
        worker.allocated.cpu_millis = rng.randrange(0, 30_000, 1_000)
        worker.cold = rng.random() < 0.3
        worker.warm_share = rng.choice((0.5, 0.8)) if worker.cold else 1.0
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


def _worker(name: str, cold: bool, cpu_millis: int = 64_000, rack: str = "r0") -> Boot:
    info = WorkerInfo(
        name, "", "svc", "z", rack, frozenset(), cpu_millis, 128_000, 0, False, None, 1
    )
    worker = Boot(info, 0)
    worker.cold = cold
    worker.warm_share = 0.5 if cold else 1.0
    return worker


def _new_step(spec: StepSpec) -> Step:
    job = JobBook().add(Submission("0" * 16, QUEUE, JobSpec("p", (spec,)), 0), None, False, 0)
    assert job is not None
    return job.occurrences[0][0]


SHORT = StepSpec(4, cpu_millis=20_000, memory_mb=1_000, data_rack="r1")
BEST_EFFORT = StepSpec(4, cpu_millis=20_000, memory_mb=1_000, image="f", best_effort=True)


class TestColdWorkers:
    """Guard against tasks on slow workers while others fit, and against leaving them unused."""

    @pytest.mark.parametrize("spec", [SHORT, BEST_EFFORT], ids=["short", "best effort"])
    def test_a_warm_worker_that_fits_is_preferred(self, spec: StepSpec) -> None:
        # Without regard to warmth, both kinds prefer the cold one: its rack, or its idle CPU.
        workers = [_worker("cold", True, 96_000, "r1"), _worker("warm", False)]
        task = _new_step(spec).tasks[0]
        chosen = choose_worker(task, workers, TailLatencyModel(), False)
        assert chosen is not None and chosen.name == "warm"

    @pytest.mark.parametrize("spec", [SHORT, BEST_EFFORT], ids=["short", "best effort"])
    def test_a_cold_worker_is_used_if_no_warm_one_fits(self, spec: StepSpec) -> None:
        workers = [_worker("cold", True), _worker("warm", False, 10_000)]
        task = _new_step(spec).tasks[0]
        chosen = choose_worker(task, workers, TailLatencyModel(), False)
        assert chosen is not None and chosen.name == "cold"

    def test_short_tasks_are_spread_over_cold_workers(self) -> None:
        workers = [_worker(f"w{number}", True) for number in range(4)]
        step = _new_step(SHORT)
        book = JobBook()
        choose = make_worker_chooser(step, workers, TailLatencyModel(), False)
        for task in step.tasks:
            worker = choose(task)
            assert worker is not None
            worker.add_run(book.attach_run(task, 1, worker.name, "r0", "starting", 0))
        assert [len(worker.runs) for worker in workers] == [1, 1, 1, 1]

    @pytest.mark.parametrize(
        ("warm_cpu_millis", "used"), [(64_000, {"warm"}), (40_000, {"warm", "cold"})]
    )
    def test_a_gang_uses_cold_workers_only_for_what_does_not_fit_elsewhere(
        self, warm_cpu_millis: int, used: set[str]
    ) -> None:
        gang = StepSpec(3, cpu_millis=20_000, memory_mb=1_000, gang=True, same_rack=False)
        workers = [_worker("cold", True, 64_000, "r1"), _worker("warm", False, warm_cpu_millis)]
        placed = place_gang(_new_step(gang), workers)
        assert placed is not None
        assert {worker.name for _, worker in placed} == used

    def test_a_gang_of_one_rack_prefers_warm_workers_of_several_racks(self) -> None:
        gang = StepSpec(3, cpu_millis=20_000, memory_mb=1_000, gang=True, same_rack=True)
        workers = [
            _worker("cold", True, 64_000, "r1"),
            _worker("warm 1", False, 40_000, "r2"),
            _worker("warm 2", False, 40_000, "r3"),
        ]
        placed = place_gang(_new_step(gang), workers)
        assert placed is not None
        assert {worker.name for _, worker in placed} == {"warm 1", "warm 2"}
