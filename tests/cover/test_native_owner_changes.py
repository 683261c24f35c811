"""Native owners that follow each other within a short time, and schedulers that stop meanwhile."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.feed import Feed
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.owner import Append, ClusterView
from greengagewood.internal.records import CellClaimed, CellReleased
from tests.common.system import System
from tests.common.virtualtime import run_in_virtual_time
from tests.common.world import CELL, DOCUMENT, TICK_MS, World

# By docs/design/ownership.md: 10 s and the longest lease, and what the drift of clocks adds.
LONGEST_WAIT_MS = 20_000


class TestSilentWorkers:
    """A worker that answers no owner any more, with a task that must be started elsewhere."""

    @pytest.mark.parametrize("changes", [1, 4])
    def test_the_wait_does_not_begin_anew_with_each_planned_change(self, changes):
        world = World(seed=7, schedulers=3, workers=3)
        world.run(60)
        world.submit(1, 1, 90_000)
        world.run(20)
        (name,) = world.owners()
        (task,) = world.schedulers[name].owner.book.tasks.values()
        host, task_name = task.worker, task.name
        for scheduler in world.schedulers:
            world.set_link_cut(scheduler, host)
        cut_ms = world.now_ms
        others = [worker for worker in world.workers if worker != host]

        def runs_elsewhere():
            return any(
                key[0] == task_name for w in others for key in world.workers[w].standin._running
            )

        for _ in range(changes):
            for owner in world.owners():
                world.release(owner)
                world.run(20)
                world.replace_scheduler(owner)
            world.run(30)
        while not runs_elsewhere() and world.now_ms - cut_ms < 90_000:
            world.run(1)
        assert world.now_ms - cut_ms <= LONGEST_WAIT_MS + TICK_MS


class TestStops:
    """Schedulers that stop before they know whether they own a cell."""

    def test_a_claim_that_is_under_way_is_released(self):
        """Guards against a cell whose owner has stopped, until the others suspect that."""
        appended = []

        async def claim_is_stored(owner):
            """Let the owner read its claim back after the stop has begun, and plan then."""
            await asyncio.sleep(0.3)
            claim = CellClaimed(owner.instance, owner.boot, 0, ())
            owner.replay(1, claim, monotonic_ms())
            while True:
                now_ms = monotonic_ms()
                view = ClusterView(now_ms, (owner.instance,), False, {}, ())
                appended.extend(c.record for c in owner.plan(now_ms, view) if isinstance(c, Append))
                await asyncio.sleep(0.1)

        async def main():
            scheduler = System().daemons["i1"]["scheduler"]
            scheduler._listener = scheduler._session = mock.AsyncMock()
            scheduler._keeper = mock.Mock()
            scheduler._feed = Feed("scheduler", mock.Mock(), Metrics())
            scheduler._add_owner(CELL)
            owner = scheduler._owners[CELL]
            owner.set_document(DOCUMENT)
            now_ms = monotonic_ms()
            view = ClusterView(now_ms, (owner.instance,), False, {}, ())
            assert [type(c.record) for c in owner.plan(now_ms, view)] == [CellClaimed]
            assert owner.state == "claiming"
            scheduler._loops.append(asyncio.ensure_future(claim_is_stored(owner)))
            await scheduler.stop()

        run_in_virtual_time(main())
        assert CellReleased in map(type, appended)
