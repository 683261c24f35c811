"""Tasks that crash the workers that start them, and tasks that merely ran beside them."""

from __future__ import annotations

import asyncio

import pytest

from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import TaskId
from tests.common.drive import CellSimulation, long_running_job, run_simulation, short_job

SEEDS_IN_CI = range(4)
SETTLE_S = 60.0
CRASHING_JOB = "c" * 16
CRASHING_TASK = TaskId(CRASHING_JOB, 0, 0, 0)


def _ids(count: int) -> list[str]:
    return [f"{number:016x}" for number in range(count)]


def _step(task_count: int, cpu_millis: int = 4_000, estimate_ms: int = 600) -> JobSpec:
    step = StepSpec(
        task_count, cpu_millis=cpu_millis, memory_mb=2 * cpu_millis, estimate_ms=estimate_ms
    )
    return JobSpec("quote", (step,))


def _crash_with(sim: CellSimulation, task: TaskId = CRASHING_TASK) -> None:
    sim.platform.faults.crashing_tasks.add(task)


@pytest.mark.parametrize("seed", SEEDS_IN_CI)
class TestCrashingTasks:
    """A task that crashes every worker that starts it."""

    def test_a_batch_task_is_given_up_after_two_crashes(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            _crash_with(sim)
            await sim.submit(CRASHING_JOB, "fast", short_job())
            await asyncio.sleep(40)
            assert await sim.state(CRASHING_JOB) == "failed"
            assert sim.platform.crashes[CRASHING_TASK] == 2

        assert run_simulation(CellSimulation(seed), script).platform.violations == []

    def test_a_long_running_task_is_given_up_after_two_crashes(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            _crash_with(sim)
            await sim.submit(CRASHING_JOB, "serve", long_running_job())
            await asyncio.sleep(40)
            assert await sim.state(CRASHING_JOB) == "failed"
            assert sim.platform.crashes[CRASHING_TASK] == 2
            assert not any(worker.runs for worker in sim.platform.workers.values())

        assert run_simulation(CellSimulation(seed), script).platform.violations == []

    def test_a_change_of_owner_does_not_reset_the_count_of_crashes(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            _crash_with(sim)
            await sim.submit(CRASHING_JOB, "fast", short_job())
            for _ in range(6):
                await asyncio.sleep(4.0)
                owner = sim.owner()
                if owner is not None and await sim.state(CRASHING_JOB) != "failed":
                    await sim.kill_instance(owner)
                    sim.start_instance(owner)
            await asyncio.sleep(30)
            assert await sim.state(CRASHING_JOB) == "failed"

        assert run_simulation(CellSimulation(seed), script).platform.violations == []

    def test_every_task_of_a_job_may_crash_its_worker(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            for number in range(4):
                _crash_with(sim, TaskId(CRASHING_JOB, 0, 0, number))
            await sim.submit(CRASHING_JOB, "fast", short_job())
            await asyncio.sleep(40)
            assert await sim.state(CRASHING_JOB) == "failed"

        assert run_simulation(CellSimulation(seed), script).platform.violations == []


@pytest.mark.parametrize("seed", SEEDS_IN_CI)
class TestBystanders:
    """Tasks that ran on a worker that crashed, but not by their doing."""

    def test_innocent_jobs_beside_a_crashing_task_complete(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            _crash_with(sim)
            jobs = _ids(10)
            for job in jobs[:5]:
                await sim.submit(job, "fast", _step(8))
            await sim.submit(CRASHING_JOB, "fast", _step(6))
            for job in jobs[5:]:
                await sim.submit(job, "fast", _step(8))
            await asyncio.sleep(40)
            assert await sim.state(CRASHING_JOB) == "failed"
            assert await sim.wait_until_ended(set(jobs), SETTLE_S) == set()
            assert {await sim.state(job) for job in jobs} == {"completed"}

        assert run_simulation(CellSimulation(seed), script).platform.violations == []

    def test_a_long_running_job_outlasts_the_crashes_of_its_workers(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            (job,) = _ids(1)
            await sim.submit(job, "serve", long_running_job())
            await asyncio.sleep(3)
            for _ in range(4):
                hosts = [worker for worker in sim.platform.workers.values() if worker.runs]
                for worker in hosts:
                    sim.platform.crash_and_restart(worker)
                await asyncio.sleep(8)
            assert await sim.state(job) == "running"
            assert sum(len(worker.runs) for worker in sim.platform.workers.values()) == 3

        assert run_simulation(CellSimulation(seed), script).platform.violations == []

    def test_a_worker_that_crashes_twice_by_itself_fails_no_job(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            jobs = _ids(8)
            for job in jobs:
                await sim.submit(job, "fast", _step(6, estimate_ms=1_500))
            for _ in range(2):
                await asyncio.sleep(0.05)
                sim.platform.crash_and_restart(sim.platform.workers["w0"])
                await asyncio.sleep(5)
            assert await sim.wait_until_ended(set(jobs), SETTLE_S) == set()
            assert {await sim.state(job) for job in jobs} == {"completed"}

        assert run_simulation(CellSimulation(seed), script).platform.violations == []

    def test_a_worker_that_is_only_cut_off_counts_against_no_task(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            (job,) = _ids(1)
            await sim.submit(job, "serve", long_running_job())
            for _ in range(4):
                await asyncio.sleep(0.5)
                hosts = {w.info.worker_id for w in sim.platform.workers.values() if w.runs}
                links = {(name, host) for name in sim.instances for host in hosts}
                sim.platform.faults.cut_links = links
                await asyncio.sleep(10)
                sim.platform.faults.cut_links = set()
            await asyncio.sleep(3)
            assert await sim.state(job) == "running"

        assert run_simulation(CellSimulation(seed), script).platform.violations == []
