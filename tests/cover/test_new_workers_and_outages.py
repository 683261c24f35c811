"""What the search for new workers costs while none joins, or the store refuses the reads."""

from __future__ import annotations

import asyncio

import pytest

from greengagewood.internal.ports import StoreUnavailable, WorkerInfo
from tests.common.drive import CellSimulation, run_simulation
from tests.common.plant import SimDirectory
from tests.cover.test_new_workers import TASK_COUNT, lose_worker, start_tasks

MAX_REFUSED_READS_PER_S = 10  # the platform prices refused calls
MAX_READS_PER_S = 10  # the platform prices calls


class TestRefusedReads:
    """Guard against an owner that repeats refused reads without a pause while tasks wait."""

    def test_refused_reads_of_the_directory_are_not_repeated_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        refused = 0
        refresh = SimDirectory.refresh

        async def count_refused(directory: SimDirectory) -> dict[str, WorkerInfo]:
            nonlocal refused
            try:
                return await refresh(directory)
            except StoreUnavailable:
                refused += 1
                raise

        monkeypatch.setattr(SimDirectory, "refresh", count_refused)

        async def script(sim: CellSimulation) -> None:
            await start_tasks(sim)
            await lose_worker(sim)
            await asyncio.sleep(2)
            sim.platform.faults.directory_unreadable_to = set(sim.instances)
            await asyncio.sleep(2)
            assert refused <= 2 * MAX_REFUSED_READS_PER_S

        run_simulation(CellSimulation(1, worker_count=TASK_COUNT), script)


class TestSearch:
    """Guard against an owner that reads the directory without end while a task fits nowhere."""

    def test_the_search_for_new_workers_ends_where_none_joins(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        reads = 0
        refresh = SimDirectory.refresh

        async def count(directory: SimDirectory) -> dict[str, WorkerInfo]:
            nonlocal reads
            reads += 1
            return await refresh(directory)

        monkeypatch.setattr(SimDirectory, "refresh", count)

        async def script(sim: CellSimulation) -> None:
            nonlocal reads
            await start_tasks(sim)
            await lose_worker(sim)
            await asyncio.sleep(7)
            reads = 0
            await asyncio.sleep(2)
            assert reads <= 2 * MAX_READS_PER_S
            assert len(sim.platform.running_tasks()) == TASK_COUNT - 1

        run_simulation(CellSimulation(1, worker_count=TASK_COUNT), script)
