"""An owner that the store does not answer, while a successor takes over its workers."""

from __future__ import annotations

import asyncio

from tests.common.drive import CellSimulation, long_running_job, run_simulation


class TestExpiredLeases:
    """Leases that have expired by what an owner sent, but not by what its successor sent."""

    def test_a_lease_extended_by_the_successor_is_not_taken_for_expired(self) -> None:
        """Guards against two runs of a task, one of them started by an owner that is cut off."""

        async def script(sim: CellSimulation) -> None:
            owner = sim.owner()
            assert owner is not None
            await sim.submit("0" * 16, "serve", long_running_job())
            await asyncio.sleep(2)
            lost = next(n for n, worker in sim.platform.workers.items() if worker.runs)
            sim.platform.faults.cut_links.add((owner, lost))
            await asyncio.sleep(4)
            sim.platform.faults.store_silent_to.add(owner)
            others = set(sim.platform.workers) - {lost}
            sim.platform.faults.cut_links.update(
                (name, worker) for name in sim.instances if name != owner for worker in others
            )
            await asyncio.sleep(12)
            assert sim.owner() is not None
            assert sim.platform.violations == []
            sim.platform.faults.cut_links.clear()
            sim.platform.faults.store_silent_to.clear()
            await asyncio.sleep(12)
            assert sim.platform.violations == []
            assert len(sim.platform.running_tasks()) == 3

        run_simulation(CellSimulation(1), script)
