"""Measure what one owner's decisions cost, by the number of workers, over the stand-in.

The figures hold the stand-in's own work too, so they are upper bounds of the owner's.
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

PLAYED_S = 8.0
SETTLE_S = 4.0
SEED = 3
SIZES = (24, 175)  # workers of the users' deployments, and of the same grown
CORES = {24: 0.43, 175: 2.15}  # of the least and of the strongest instance of these
JOBS_A_WORKER_S = {"wide": 0.064, "fast": 0.033}  # of the grown deployment
SERVING_JOBS_A_WORKER = 0.33
SERVING_IMAGES, FILLING_IMAGES = 10, 18


def _filling(rng: random.Random) -> JobSpec:
    step = StepSpec(
        max(1, round(rng.gauss(20, 12))),
        cpu_millis=max(3_000, round(rng.gauss(7_000, 2_000))),
        memory_mb=13_000,
        estimate_ms=1_700,
        checkpointing=True,
        image=f"f{rng.randrange(FILLING_IMAGES)}",
        best_effort=True,
    )
    return JobSpec("filling", (step,))


def _short(rng: random.Random) -> JobSpec:
    tasks = max(1, round(rng.gauss(10, 6)))
    return JobSpec("short", (StepSpec(tasks, 8_000, 16_000, estimate_ms=1_000),))


def _serving(rng: random.Random) -> JobSpec:
    step = StepSpec(
        14,
        cpu_millis=13_000,
        memory_mb=26_000,
        long_running=True,
        image=f"s{rng.randrange(SERVING_IMAGES)}",
        tail_target_ms=24,
    )
    return JobSpec("serving", (step,))


def _load(workers: int, spent: list[float]) -> Callable[[CellSimulation], Awaitable[None]]:
    async def script(sim: CellSimulation) -> None:
        rng = random.Random(SEED)
        callers: list[asyncio.Task[object]] = []

        def submit(queue: str, spec: JobSpec) -> None:
            job = f"{len(callers):016x}"
            callers.append(asyncio.create_task(sim.submit(job, queue, spec)))

        for _ in range(round(workers * SERVING_JOBS_A_WORKER)):
            submit("serve", _serving(rng))
        await asyncio.sleep(SETTLE_S)
        began = time.process_time()
        for _ in range(round(PLAYED_S * 10)):
            for queue, make in (("wide", _filling), ("fast", _short)):
                expected = workers * JOBS_A_WORKER_S[queue] / 10
                for _ in range(int(expected) + (rng.random() < expected % 1)):
                    submit(queue, make(rng))
            await asyncio.sleep(0.1)
        spent.append((time.process_time() - began) / PLAYED_S)
        await asyncio.gather(*callers)

    return script


def run() -> Result:
    """Play the load of the grown deployment on fleets of two sizes."""
    rows = []
    bounds = []
    for workers in SIZES:
        spent: list[float] = []
        sim = run_simulation(
            CellSimulation(SEED, worker_count=workers, instance_count=1), _load(workers, spent)
        )
        rows.append((workers, spent[0], len(sim.platform.done), len(sim.platform.violations)))
        name = f"processors of one owner of {workers} workers"
        bounds.append(Bound(name, f"< {CORES[workers]}", spent[0], spent[0] < CORES[workers]))
    columns = ("workers", "cores", "tasks done", "broken promises")
    return Result("cells", columns, tuple(rows), tuple(bounds))
