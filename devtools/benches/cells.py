"""Measure the processor time of one cell owner on the stand-in platform, by number of workers.

The figures include the work of the stand-in itself, so they are upper bounds for the owner.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from tests.common.drive import CellSimulation, run_simulation

from devtools.bench import Bound, Result
from greengagewood.internal.jobs.model import JobSpec, StepSpec

__all__ = ["run"]

LOAD_DURATION_S = 8.0
SETTLE_S = 4.0
SEED = 3
WORKER_COUNTS = (24, 175)  # of the users' deployments, and of the same after growth
# Cores of the smallest and of the largest instance in these deployments, by number of workers.
MAX_CORES = {24: 0.43, 175: 2.15}
# Jobs per second and worker in the grown deployment, by queue.
JOBS_PER_WORKER_S = {"wide": 0.064, "fast": 0.033}
SERVING_JOBS_PER_WORKER = 0.33
SERVING_IMAGES, BEST_EFFORT_IMAGES = 10, 18


def _best_effort_job(rng: random.Random) -> JobSpec:
    step = StepSpec(
        max(1, round(rng.gauss(20, 12))),
        cpu_millis=max(3_000, round(rng.gauss(7_000, 2_000))),
        memory_mb=13_000,
        estimate_ms=1_700,
        checkpointing=True,
        image=f"f{rng.randrange(BEST_EFFORT_IMAGES)}",
        best_effort=True,
    )
    return JobSpec("filling", (step,))


def _short_job(rng: random.Random) -> JobSpec:
    tasks = max(1, round(rng.gauss(10, 6)))
    return JobSpec("short", (StepSpec(tasks, 8_000, 16_000, estimate_ms=1_000),))


def _serving_job(rng: random.Random) -> JobSpec:
    step = StepSpec(
        14,
        cpu_millis=13_000,
        memory_mb=26_000,
        long_running=True,
        image=f"s{rng.randrange(SERVING_IMAGES)}",
        tail_target_ms=24,
    )
    return JobSpec("serving", (step,))


def _load(workers: int, cores_used: list[float]) -> Callable[[CellSimulation], Awaitable[None]]:
    async def submit_load(sim: CellSimulation) -> None:
        rng = random.Random(SEED)
        callers: list[asyncio.Task[object]] = []

        def submit(queue: str, spec: JobSpec) -> None:
            job = f"{len(callers):016x}"
            callers.append(asyncio.create_task(sim.submit(job, queue, spec)))

        for _ in range(round(workers * SERVING_JOBS_PER_WORKER)):
            submit("serve", _serving_job(rng))
        await asyncio.sleep(SETTLE_S)
        started_s = time.process_time()
        for _ in range(round(LOAD_DURATION_S * 10)):
            for queue, make_job in (("wide", _best_effort_job), ("fast", _short_job)):
                expected = workers * JOBS_PER_WORKER_S[queue] / 10
                for _ in range(int(expected) + (rng.random() < expected % 1)):
                    submit(queue, make_job(rng))
            await asyncio.sleep(0.1)
        cores_used.append((time.process_time() - started_s) / LOAD_DURATION_S)
        await asyncio.gather(*callers)

    return submit_load


def run() -> Result:
    """Run the load of the grown deployment on cells of two sizes."""
    rows = []
    bounds = []
    for workers in WORKER_COUNTS:
        cores_used: list[float] = []
        sim = run_simulation(
            CellSimulation(SEED, worker_count=workers, instance_count=1), _load(workers, cores_used)
        )
        rows.append((workers, cores_used[0], len(sim.platform.done), len(sim.platform.violations)))
        name = f"processors of one owner of {workers} workers"
        bounds.append(
            Bound(
                name, f"< {MAX_CORES[workers]}", cores_used[0], cores_used[0] < MAX_CORES[workers]
            )
        )
    columns = ("workers", "cores", "tasks done", "broken promises")
    return Result("cells", columns, tuple(rows), tuple(bounds))
