"""Workers that join a service in which long-running tasks wait for room."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from greengagewood.internal.jobs.model import JobSpec, StepSpec
from tests.common.drive import CellSimulation, run_simulation

JOB = "0" * 16
TASK_COUNT = 3
# More than half of a worker, so that each worker holds one task.
SPEC = StepSpec(TASK_COUNT, cpu_millis=40_000, memory_mb=20_000, long_running=True, image="watch")
LONGEST_EMPTY_S = 0.08
CHECK_INTERVAL_S = 0.005


async def start_tasks(sim: CellSimulation) -> None:
    """Start one task on each worker."""
    await sim.submit(JOB, "serve", JobSpec("watch", (SPEC,)))
    await asyncio.sleep(3)
    assert len(sim.platform.running_tasks()) == TASK_COUNT


async def lose_worker(sim: CellSimulation) -> None:
    """Let a worker drain and leave, so that its task waits for room."""
    sim.platform.drain("w0")
    await asyncio.sleep(2)
    sim.platform.leave("w0")


async def _empty_s(sim: CellSimulation, name: str) -> float:
    """Return for how long nothing runs on a worker from now on."""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    while not sim.platform.workers[name].runs:
        await asyncio.sleep(CHECK_INTERVAL_S)
    return loop.time() - begun_s


class TestEmptyWorkers:
    """Guard against a worker that stands empty though a task that lost its run waits for room."""

    @pytest.mark.parametrize("after_s", [2.0, 2.026, 2.04, 2.05, 2.1, 2.15, 2.2])
    def test_a_task_that_waits_for_room_starts_on_a_new_worker_at_once(
        self, after_s: float
    ) -> None:
        async def script(sim: CellSimulation) -> None:
            await start_tasks(sim)
            await lose_worker(sim)
            await asyncio.sleep(after_s)
            sim.platform.add_worker("new")
            assert await _empty_s(sim, "new") < LONGEST_EMPTY_S
            assert sim.platform.violations == []

        run_simulation(CellSimulation(1, worker_count=TASK_COUNT), script)


class TestWorkersThatAreBack:
    """Guard against known workers that stand empty though a task that lost its run waits."""

    @pytest.mark.parametrize("kind", ["rebooted", "listed again", "grown"])
    @pytest.mark.parametrize("after_s", [2.0, 2.026, 2.04, 2.05, 2.1, 2.15, 2.2])
    def test_a_task_that_waits_for_room_starts_there_at_once(
        self, kind: str, after_s: float
    ) -> None:
        async def script(sim: CellSimulation) -> None:
            platform = sim.platform
            await start_tasks(sim)
            platform.add_worker("spare")
            spare = platform.workers["spare"]
            size = spare.capacity
            await asyncio.sleep(1)
            match kind:
                case "rebooted":
                    platform.crash("spare")
                case "listed again":
                    platform.faults.unlisted_workers = {"spare"}
                case "grown":
                    spare.capacity = (SPEC.cpu_millis // 2, size[1])
                    spare.info = replace(spare.info, cpu_millis=spare.capacity[0])
            await asyncio.sleep(1)
            await lose_worker(sim)
            await asyncio.sleep(after_s)
            match kind:
                case "rebooted":
                    platform.restart("spare")
                case "listed again":
                    platform.faults.unlisted_workers = set()
                case "grown":
                    spare.capacity = size
                    spare.info = replace(spare.info, cpu_millis=size[0])
            assert await _empty_s(sim, "spare") < LONGEST_EMPTY_S
            assert platform.violations == []

        run_simulation(CellSimulation(1, worker_count=TASK_COUNT), script)
