"""What an owner concludes from a worker's lists that may lack runs and ends."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.orders import StopRun
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    Progress,
    RegisteredWorker,
    RegisteredWorkers,
    Submission,
    TaskId,
)
from greengagewood.internal.ports import (
    UNKNOWN_RESULT,
    AllEndsReply,
    LeaseReply,
    RunEnd,
    RunListPage,
    RunningTask,
)
from tests.common.desk import (
    LIMITS,
    QUEUE,
    CellHarness,
    make_worker_info,
    start_orders,
    store_changes,
)
from tests.common.drive import CellSimulation, run_simulation
from tests.common.plant import SimPlatform, SimWorkerLink


def _listed(run: Run, percent: int = 10, measured: bool = True) -> RunningTask:
    return RunningTask(run.task.id, run.number, "", percent, 0, measured)


class TestListsThatLackRuns:
    """Guard against conclusions from a list that may lack runs which go on."""

    @staticmethod
    def _harness(count: int = 1, **fields: Any) -> tuple[CellHarness, list[Run]]:
        harness = CellHarness("w0")
        harness.submit(StepSpec(count, cpu_millis=1_000, estimate_ms=100_000, **fields))
        return harness, [order.run for order in harness.start()]

    def test_a_run_that_an_incomplete_list_lacks_goes_on(self) -> None:
        harness, (first, second) = self._harness(2)
        for _ in range(8):
            harness.now_ms += 450
            harness.answer_lease("w0", _listed(first), complete=False)
            assert harness.plan() == []
        assert (first.state, second.state) == ("running", "running")
        harness.now_ms += 450
        harness.answer_lease("w0", _listed(first))
        assert second.task.run is None
        assert [order.run.task for order in start_orders(harness.plan())] == [second.task]

    def test_an_unanswered_start_that_an_incomplete_list_lacks_is_not_ruled_out(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000, estimate_ms=100_000))
        (order,) = start_orders(harness.plan())
        harness.cell.note_start_unanswered(order.run, harness.now_ms)
        harness.now_ms += 20_000  # its deadline has passed
        harness.answer_lease("w0", complete=False)
        assert order.run.state == "unconfirmed"
        harness.accept_stop(order.run)
        harness.now_ms += 500  # the stop takes a while
        harness.answer_lease("w0", complete=False)
        assert order.run.state == "unconfirmed"
        harness.now_ms += 2_000
        harness.answer_lease("w0", complete=False)
        assert order.run.task.run is None

    def test_a_run_that_was_long_not_listed_is_stopped_and_started_again(self) -> None:
        harness, (first, second) = self._harness(2)
        stops = []
        for _ in range(20):
            harness.now_ms += 450
            harness.answer_lease("w0", _listed(first), complete=False)
            orders = harness.plan()
            stops += [o.run for o in orders if isinstance(o, StopRun)]
            if second in stops:
                break
        assert set(stops) == {second}
        harness.accept_stop(second)
        harness.now_ms += 2_100
        harness.answer_lease("w0", _listed(first), complete=False)
        assert [order.run.task for order in start_orders(harness.plan())] == [second.task]

    def test_a_run_that_is_listed_without_its_progress_is_not_stopped_as_stuck(self) -> None:
        harness, (run,) = self._harness()
        for _ in range(200):
            harness.now_ms += 450
            harness.answer_lease("w0", _listed(run, 0, measured=False))
            assert harness.plan() == []
        assert (run.state, run.progress_percent) == ("running", 0)

    def test_an_unknown_outcome_is_no_failure(self) -> None:
        harness, (run,) = self._harness()
        end = RunEnd(1, run.task.id, run.number, UNKNOWN_RESULT, "")
        harness.answer_lease("w0", ends=(end,))
        assert run.task.failed_runs == frozenset()
        assert [order.run.task for order in start_orders(harness.plan())] == [run.task]


def _done(run: Run, sequence: int) -> RunEnd:
    return RunEnd(sequence, run.task.id, run.number, "done", "")


class TestListsThatLackEnds:
    """Guard against a second run of a task whose end its worker does not list yet."""

    @staticmethod
    def _harness(count: int) -> tuple[CellHarness, list[Run]]:
        harness = CellHarness("w0")
        step = StepSpec(count, cpu_millis=20_000, estimate_ms=100_000)
        harness.submit(step)
        return harness, [order.run for order in harness.start()]

    @staticmethod
    def _answer(harness: CellHarness, *runs: RunningTask, ends: tuple[RunEnd, ...] = ()) -> None:
        page = RunListPage(harness.now_ms - 90_000, 1, runs, ends)
        boot = harness.cell.boots["w0"]
        harness.cell.handle_lease_reply(boot, page, harness.now_ms - 1, harness.now_ms)

    def test_a_run_that_a_page_lacks_is_neither_lost_nor_stopped(self) -> None:
        harness, (first, second, third) = self._harness(3)
        for _ in range(30):
            harness.now_ms += 450
            self._answer(harness, _listed(third, 50), ends=(_done(first, 1),))
            third.progress_changed_ms = harness.now_ms  # it is not stuck
            assert harness.plan() == []
        assert (second.state, third.state) == ("running", "running")
        harness.now_ms += 450
        harness.answer_lease("w0", _listed(third), ends=(_done(second, 2),))
        assert second.task.end_state == "done"
        assert start_orders(harness.plan()) == []

    def test_a_run_that_a_list_lacks_after_pages_is_stopped_as_late_as_without_pages(self) -> None:
        harness, (first, _) = self._harness(2)
        for _ in range(20):
            harness.now_ms += 450
            self._answer(harness, ends=(_done(first, 1),))
        stopped_after = []
        for number in range(20):
            harness.now_ms += 450
            harness.answer_lease("w0", complete=False)
            stopped_after += [number for o in harness.plan() if isinstance(o, StopRun)][:1]
        assert stopped_after[0] >= 5_000 // 460

    def test_a_run_that_the_list_after_the_last_page_lacks_is_lost(self) -> None:
        harness, (first, second) = self._harness(2)
        harness.now_ms += 450
        self._answer(harness, ends=(_done(first, 1),))
        harness.now_ms += 450
        harness.answer_lease("w0")
        assert [order.run.task for order in start_orders(harness.plan())] == [second.task]

    def test_an_unanswered_start_that_a_page_lacks_may_have_ended(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000, estimate_ms=100_000))
        (order,) = start_orders(harness.plan())
        harness.cell.note_start_unanswered(order.run, harness.now_ms)
        harness.now_ms += 20_000  # its deadline has passed
        harness.accept_stop(order.run)
        harness.now_ms += 5_000
        self._answer(harness)
        assert order.run.state == "unconfirmed"
        assert start_orders(harness.plan()) == []
        harness.answer_lease("w0", ends=(_done(order.run, 1),))
        assert order.run.task.end_state == "done"

    def test_a_stopped_run_that_a_page_lacks_may_have_ended_before_its_stop(self) -> None:
        harness, (run,) = self._harness(1)
        run.transition("stop")
        harness.accept_stop(run)
        harness.now_ms += 5_000
        self._answer(harness)
        assert run.state == "stopping"
        harness.answer_lease("w0", ends=(_done(run, 1),))
        assert run.task.end_state == "done"

    def test_a_planned_change_of_owner_tells_the_runs_that_a_page_lacks(self) -> None:
        harness, (first, second) = self._harness(2)
        harness.now_ms += 450
        self._answer(harness, ends=(_done(first, 1),))
        changes = harness.cell.collect_changes(harness.now_ms, harness.now_ms, releasing=True)
        assert changes is not None
        (record,) = (r for r in changes.records if isinstance(r, RegisteredWorkers))
        assert [r.tasks for r in record.workers[0].possible_runs or ()] == [(second.task.id,)]


class TestManyEnds:
    """Guard against tasks that run again as their ends fill more than a page."""

    JOB = "a" * 16

    @staticmethod
    def _simulation(patch: pytest.MonkeyPatch) -> tuple[CellSimulation, Counter[TaskId]]:
        starts: Counter[TaskId] = Counter()
        check_start = SimPlatform.check_start

        def count_start(platform: SimPlatform, worker: Any, run: Any) -> None:
            starts[run.task] += 1
            check_start(platform, worker, run)

        finish = SimWorkerLink._finish

        def end_as_done(link: SimWorkerLink, worker: Any, run: Any, result: str) -> None:
            finish(link, worker, run, "done")

        patch.setattr(SimPlatform, "check_start", count_start)
        patch.setattr(SimWorkerLink, "_finish", end_as_done)
        return CellSimulation(3, worker_count=1, instance_count=2), starts

    @pytest.mark.parametrize("count", [499, 500, 501, 1_100])
    @pytest.mark.parametrize("owner_changes", [False, True], ids=["same owner", "new owner"])
    def test_no_task_runs_again_after_an_outage_of_the_store(
        self, count: int, owner_changes: bool, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        sim, starts = self._simulation(monkeypatch)

        async def script(sim: CellSimulation) -> None:
            worker = next(iter(sim.platform.workers.values()))
            step = StepSpec(count, cpu_millis=5, memory_mb=5, estimate_ms=2_000)
            await sim.submit(self.JOB, "fast", JobSpec("quote", (step,)))
            while sum(starts.values()) < count:
                await asyncio.sleep(0.02)
            assert not sim.platform.acknowledged_tasks
            sim.platform.faults.store_silent_to.update(sim.instances)
            await asyncio.sleep(4.0)
            assert len(worker.ends) == count
            if owner_changes:
                await sim.kill_instance(sim.owner() or "")
            sim.platform.faults.store_silent_to.clear()
            await asyncio.sleep(8.0 if owner_changes else 2.0)
            assert worker.ends == []
            assert await sim.wait_until_ended({self.JOB}, 5) == set()
            assert set(starts.values()) == {1}
            assert sim.platform.violations == []

        run_simulation(sim, script)


class TestAdoptionByIncompleteLists:
    """Guard against a new owner that starts what an unreadable row of a worker stands for."""

    JOB = "0" * 16

    def _successor(self, now_ms: int) -> tuple[Cell, Boot]:
        cell = Cell(LIMITS, 5, now_ms)
        cell.set_evacuations(Evacuations(frozenset(), 0, now_ms), now_ms)
        spec = JobSpec("p", (StepSpec(2, cpu_millis=1),))
        cell.add_job(Submission(self.JOB, QUEUE, spec, 0), Progress(self.JOB, "running"), False, 0)
        record = RegisteredWorkers((RegisteredWorker("w0", "10.0.0.1:80", "svc"),), 4)
        cell.set_registered_workers(record, now_ms - 1_000, now_ms)
        cell.set_workers({"w0": make_worker_info("w0")}, now_ms)
        store_changes(cell, now_ms)
        return cell, cell.boots["w0"]

    def test_no_task_starts_and_no_lease_is_extended_before_a_complete_list(self) -> None:
        now_ms = 100_000
        cell, worker = self._successor(now_ms)
        listed = RunningTask(TaskId(self.JOB, 0, 0, 0), 3, "", 10, 0)
        reply = AllEndsReply(5_000, 1, (listed,), ())
        for _ in range(5):
            now_ms += 450
            assert cell.prepare_lease_extension(worker, now_ms)[0] is None
            cell.handle_lease_reply(worker, reply, now_ms - 1, now_ms)
            cell.note_confirmed(now_ms + 1)
            assert start_orders(cell.plan(now_ms, 0)) == []
        cell.handle_lease_reply(worker, LeaseReply(5_000, 1, (listed,), ()), now_ms, now_ms)
        assert cell.prepare_lease_extension(worker, now_ms)[0] is not None
        cell.note_confirmed(now_ms + 1)
        assert [o.run.task.id.number for o in start_orders(cell.plan(now_ms, 0))] == [1]

    def test_a_worker_is_adopted_by_the_list_after_the_last_page(self) -> None:
        now_ms = 100_000
        cell, worker = self._successor(now_ms)
        tasks = [TaskId(self.JOB, 0, 0, number) for number in range(2)]
        ends = [RunEnd(n + 1, task, 1, "done", "") for n, task in enumerate(tasks)]
        for end in ends:
            now_ms += 100
            page = RunListPage(5_000, 1, (), (end,))
            cell.handle_lease_reply(worker, page, now_ms - 1, now_ms)
            cell.note_confirmed(now_ms + 1)
            assert start_orders(cell.plan(now_ms, 0)) == []
            assert not worker.adopted
            store_changes(cell, now_ms)
            assert cell.prepare_lease_extension(worker, now_ms) == (None, end.sequence)
        cell.handle_lease_reply(worker, LeaseReply(5_300, 1, (), ()), now_ms, now_ms + 1)
        assert worker.adopted
        assert cell.book.jobs[self.JOB].state == "completed"

    def test_a_worker_that_never_lists_in_full_is_adopted_once_its_leases_are_over(self) -> None:
        now_ms = 100_000
        cell, worker = self._successor(now_ms)
        reply = AllEndsReply(5_000, 1, (), ())
        while not worker.adopted and now_ms < 200_000:
            now_ms += 450
            cell.handle_lease_reply(worker, reply, now_ms - 1, now_ms)
            cell.note_confirmed(now_ms + 1)
        assert LIMITS.lease_ms < now_ms - 100_000 < LIMITS.lease_ms + 7_000
        assert cell.prepare_lease_extension(worker, now_ms)[0] is not None
