"""What a new owner of a cell knows of the runs that earlier owners started."""

from __future__ import annotations

import asyncio

import pytest

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.records import TaskId
from tests.common.drive import CellSimulation, long_running_job, run_simulation

# By the platform's rules, a long-running task must run again within this time of its last run.
MAX_GAP_MS = 9_000
DRAIN_S = 2.1


async def _replace_workers(sim: CellSimulation, interval_s: float) -> None:
    """Start a new worker and let an old one drain and leave, one after the other."""
    leaving: list[asyncio.Task[None]] = []

    async def leave(name: str) -> None:
        sim.platform.drain(name)
        await asyncio.sleep(DRAIN_S)
        sim.platform.crash(name)

    for name in list(sim.platform.workers):
        sim.platform.add_worker(f"{name}-new")
        await asyncio.sleep(interval_s / 2)
        leaving.append(asyncio.ensure_future(leave(name)))
        await asyncio.sleep(interval_s / 2)
    await asyncio.gather(*leaving)


async def _restart_owners(sim: CellSimulation, count: int, interval_s: float) -> None:
    """Stop whichever instance owns the cell as planned, and start it again, several times."""
    for _ in range(count):
        owner = sim.owner()
        if owner is not None:
            await sim.instances[owner].release_cell()
            await sim.kill_instance(owner)
            await asyncio.sleep(0.3)
            sim.start_instance(owner)
        await asyncio.sleep(interval_s)


async def _longest_gaps_ms(sim: CellSimulation, until: asyncio.Future[object]) -> dict[TaskId, int]:
    """Return for each task that has run the longest time without a run."""
    last_seen_ms: dict[TaskId, int] = {}
    longest: dict[TaskId, int] = {}
    while not until.done():
        now_ms = monotonic_ms()
        for task in sim.platform.running_tasks():
            last_seen_ms[task] = now_ms
        for task, seen_ms in last_seen_ms.items():
            longest[task] = max(longest.get(task, 0), now_ms - seen_ms)
        await asyncio.sleep(0.05)
    return longest


class TestPlannedChanges:
    """Owners that stop as planned while workers are replaced."""

    @pytest.mark.parametrize("seed", range(3))
    def test_long_running_tasks_do_not_wait_anew_for_each_new_owner(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            for number in range(6):
                await sim.submit(f"{number:016x}", "serve", long_running_job())
            await asyncio.sleep(2)
            trouble = asyncio.gather(_replace_workers(sim, 0.8), _restart_owners(sim, 8, 1.7))
            gaps = await _longest_gaps_ms(sim, asyncio.gather(trouble, asyncio.sleep(30)))
            assert sim.platform.violations == []
            assert {task: gap for task, gap in gaps.items() if gap > MAX_GAP_MS} == {}

        run_simulation(CellSimulation(seed, worker_count=8), script)


class TestLostWorkers:
    """Workers that leave without a word while their owner stays the same."""

    def test_tasks_of_a_worker_gone_for_good_are_started_elsewhere(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await sim.submit("0" * 16, "serve", long_running_job())
            await asyncio.sleep(2)
            measured = asyncio.ensure_future(
                _longest_gaps_ms(sim, asyncio.ensure_future(asyncio.sleep(15)))
            )
            await asyncio.sleep(1)
            sim.platform.crash(next(n for n, w in sim.platform.workers.items() if w.runs))
            gaps = await measured
            assert sim.platform.violations == []
            assert {task: gap for task, gap in gaps.items() if gap > MAX_GAP_MS} == {}

        run_simulation(CellSimulation(4), script)
