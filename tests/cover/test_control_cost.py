"""Control costs of a calm day: changes of the owner, polls of workers and calls of the store."""

from __future__ import annotations

import asyncio

import pytest

from greengagewood.internal.jobs.records import Ownership, decode_record
from tests.common.drive import CellSimulation, run_simulation


def _claim_count(sim: CellSimulation) -> int:
    """Return the number of terms of ownership in the cell's log."""
    records = [decode_record(value) for _, value in sim.platform.store.records if value]
    return len({record.token for record in records if isinstance(record, Ownership)})


class TestCalmStart:
    """Owners of a cell that has no jobs yet."""

    @pytest.mark.parametrize("interval_s", [0.1, 0.3, 0.45, 0.6])
    def test_an_owner_that_only_registers_workers_is_not_replaced(self, interval_s: float) -> None:
        async def script(sim: CellSimulation) -> None:
            for number in range(40):
                sim.platform.add_worker(f"new{number}")
                await asyncio.sleep(interval_s)
            assert _claim_count(sim) == 1

        run_simulation(CellSimulation(1, worker_count=1), script)
