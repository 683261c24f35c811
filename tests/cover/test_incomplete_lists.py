"""What an owner concludes from a worker's lists that may lack runs and ends."""

from __future__ import annotations

from typing import Any

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
from greengagewood.internal.ports import UNKNOWN_RESULT, LeaseReply, RunEnd, RunningTask
from tests.common.desk import (
    LIMITS,
    QUEUE,
    CellHarness,
    make_worker_info,
    start_orders,
    store_changes,
)


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
        reply = LeaseReply(5_000, 1, (listed,), (), complete=False)
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

    def test_a_worker_that_never_lists_in_full_is_adopted_once_its_leases_are_over(self) -> None:
        now_ms = 100_000
        cell, worker = self._successor(now_ms)
        reply = LeaseReply(5_000, 1, (), (), complete=False)
        while not worker.adopted and now_ms < 200_000:
            now_ms += 450
            cell.handle_lease_reply(worker, reply, now_ms - 1, now_ms)
            cell.note_confirmed(now_ms + 1)
        assert LIMITS.lease_ms < now_ms - 100_000 < LIMITS.lease_ms + 7_000
        assert cell.prepare_lease_extension(worker, now_ms)[0] is not None
