"""Decisions of a cell's owner, one event at a time."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagewood.internal.cells.boots import Boot, longest_ms
from greengagewood.internal.cells.orders import StartRun, StopRun
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import RegisteredWorker, RegisteredWorkers, TaskId
from greengagewood.internal.ports import LeaseReply, RunEnd, RunningTask
from tests.common.desk import CellHarness, make_submission, make_worker_info, start_orders


class TestUnansweredStarts:
    """Starts that were not answered, so the worker may or may not have the run."""

    def test_an_acknowledged_stop_rules_out_the_run_even_if_the_stop_is_repeated(self) -> None:
        # A repeated stop must not restart the wait for a list that rules out the run. Otherwise the
        # task is never started again if lists take longer than the interval between two stops.
        # Found by seed 1239 of the random faults.
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = start_orders(harness.plan())
        worker = start.boot
        harness.cell.note_start_unanswered(start.run, harness.now_ms)
        for _ in range(4):  # a list takes longer than the interval between two stops
            sent_ms = harness.now_ms
            for _ in range(2):
                for order in harness.plan(450):
                    if isinstance(order, StopRun):
                        harness.accept_stop(order.run)
            # By the worker's clock, the deadline of the start has not passed.
            reply = LeaseReply(harness.now_ms - 1_000_000, 1, (), ())
            harness.cell.handle_lease_reply(worker, reply, sent_ms, harness.now_ms)
        assert start.run.state == "finished"


class TestSettledOffset:
    """The offset below which a job without stored progress was certainly never started."""

    def test_a_new_job_starts_before_its_progress_is_stored(self) -> None:
        harness = CellHarness("w0")
        harness.cell.add_job(make_submission("1" * 16), None, True, harness.now_ms, log_offset=7)
        assert len(start_orders(harness.cell.plan(harness.now_ms, harness.now_ms))) == 1
        assert harness.cell.planner.advance_settled_offset(100, harness.now_ms) == 7

    def test_a_job_below_the_settled_offset_has_its_progress_stored_first(self) -> None:
        harness = CellHarness("w0")
        harness.cell.add_job(make_submission("1" * 16), None, True, harness.now_ms, log_offset=7)
        assert harness.cell.planner.advance_settled_offset(100, harness.now_ms + 2_000) == 100
        assert start_orders(harness.cell.plan(harness.now_ms + 1, harness.now_ms)) == []
        harness.store_changes()
        assert len(start_orders(harness.cell.plan(harness.now_ms + 2, harness.now_ms))) == 1

    def test_a_job_that_an_earlier_owner_may_have_started_limits_the_settled_offset(self) -> None:
        harness = CellHarness("w0")
        # The worker w9 has not answered yet.
        harness.cell.set_workers(
            {**harness.worker_infos, "w9": make_worker_info("w9")}, harness.now_ms
        )
        harness.cell.add_job(make_submission("1" * 16), None, False, harness.now_ms, log_offset=7)
        assert harness.cell.planner.advance_settled_offset(100, harness.now_ms + 2_000) == 7


class TestQueuedState:
    """The state that callers are told until a worker has accepted a start."""

    def test_a_job_is_queued_until_a_start_is_accepted(self) -> None:
        # A job must not count as running once a worker is chosen: the worker may refuse the start,
        # and the job would then be missing from the count of queued jobs.
        # Found by: orpup-sched hunt-5b56-7
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = start_orders(harness.plan())
        job = harness.cell.book.jobs["0" * 16]
        assert job.maybe_started and harness.cell.book.progress_record(job, 0).state == "queued"
        harness.cell.handle_start_reply(start.boot, start.run, "room", harness.now_ms)
        assert harness.cell.book.progress_record(job, 0).state == "queued"
        (second_start,) = start_orders(harness.plan(1_000))
        harness.cell.handle_start_reply(second_start.boot, second_start.run, "", harness.now_ms)
        assert harness.cell.book.progress_record(job, 0).state == "running"

    def test_a_run_that_the_worker_lists_has_started(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = start_orders(harness.plan())
        harness.answer_lease("w0", RunningTask(start.run.task.id, start.run.number, "", 10, 0))
        assert harness.cell.book.jobs["0" * 16].state == "running"


class TestReboots:
    """A worker that reboots and keeps its name."""

    def test_a_start_that_the_new_boot_may_have_received_is_not_lost(self) -> None:
        # A start that was sent before the owner knew of the reboot may have reached the new boot.
        # Taking its run for lost made the task run twice. Found by seed 1258 of the random faults.
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = start_orders(harness.plan())
        name = start.boot.name
        harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms + 1)
        harness.worker_infos[name] = replace(harness.worker_infos[name], boot_time_ms=2)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms + 2)
        harness.now_ms += 5
        assert harness.plan() == []
        harness.now_ms += 5
        harness.answer_lease(name)
        assert len(start_orders(harness.plan())) == 1

    def test_a_boot_with_an_earlier_time_replaces_the_one_before(self) -> None:
        """Guards against ends that are skipped, as an earlier boot has used their numbers."""
        harness = CellHarness("w0")
        harness.reboot("w0", 5)
        harness.now_ms += 10
        harness.answer_lease("w0")
        harness.worker_infos["w0"] = make_worker_info("w0", boot_time_ms=3)
        harness.now_ms += 10
        harness.answer_lease("w0")
        assert harness.cell.boots["w0"].info.boot_time_ms == 3
        assert harness.cell.boots["w0"].last_end_sequence == 0
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert harness.cell.boots["w0"].worker.in_directory

    @pytest.mark.parametrize("listed_first", [False, True])
    def test_ends_of_a_boot_that_was_never_in_the_directory_hide_none_of_the_next(
        self, listed_first: bool
    ) -> None:
        """Guards against a second run of a task whose end has a number that was seen before."""
        harness = CellHarness()
        cell = harness.cell
        entry = RegisteredWorker("w0", "10.0.0.1:80", "svc")
        cell.set_registered_workers(RegisteredWorkers((entry,)), harness.now_ms, harness.now_ms)
        worker = cell.boots["w0"]
        ends = (RunEnd(3, TaskId("f" * 16, 0, 0, 0), 1, "done", ""),)
        reply = LeaseReply(harness.now_ms - 90_000, 1, (), ends)
        harness.worker_infos["w0"] = make_worker_info("w0", boot_time_ms=2)
        if listed_first:
            cell.set_workers(harness.worker_infos, harness.now_ms)
        cell.handle_lease_reply(worker, reply, harness.now_ms - 1, harness.now_ms)
        harness.read_orders()
        cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.store_changes()
        harness.answer_lease("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = harness.start()
        end = RunEnd(1, start.run.task.id, start.run.number, "done", "")
        harness.answer_lease("w0", ends=(end,))
        assert cell.book.jobs["0" * 16].state == "completed"

    def test_a_list_requested_before_a_start_does_not_show_which_boot_accepted_it(self) -> None:
        """Guards against a second run beside one that the new boot has accepted."""
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        requested_ms = harness.now_ms
        (start,) = harness.start(shows_clock=False)
        name = start.boot.name
        reply = LeaseReply(harness.now_ms - 90_000, 1, (), ())
        harness.cell.handle_lease_reply(start.boot, reply, requested_ms, harness.now_ms)
        harness.reboot(name, 2)
        assert harness.plan() == []
        reply = LeaseReply(harness.now_ms - 90_000, 2, (), ())
        worker = harness.cell.boots[name]
        harness.cell.handle_lease_reply(worker, reply, requested_ms, harness.now_ms)
        assert harness.plan() == []
        harness.answer_lease(name)
        assert len(start_orders(harness.plan())) == 1

    def test_a_run_that_the_old_boot_had_listed_is_lost(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = start_orders(harness.plan())
        name = start.boot.name
        harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms + 1)
        harness.now_ms += 10
        harness.answer_lease(name, RunningTask(start.run.task.id, start.run.number, "", 10, 0))
        harness.worker_infos[name] = replace(harness.worker_infos[name], boot_time_ms=2)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms + 2)
        harness.now_ms += 5
        assert len(start_orders(harness.plan())) == 1

    def test_a_worker_that_has_not_answered_lately_gets_no_run(self) -> None:
        harness = CellHarness("w0")
        harness.now_ms += 5_000  # the owner was paused
        harness.submit(StepSpec(1, cpu_millis=1_000))
        assert start_orders(harness.plan()) == []
        harness.answer_lease("w0")
        assert len(start_orders(harness.plan())) == 1


class TestHeadroom:
    """Long-running tasks leave CPU for short ones."""

    def test_a_long_running_job_that_would_use_the_headroom_is_not_marked_as_started(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=60_000, long_running=True))
        assert start_orders(harness.plan()) == []
        assert not harness.cell.book.jobs["0" * 16].maybe_started

    @pytest.mark.parametrize("suspected", [False, True])
    def test_a_task_that_has_run_in_this_term_needs_no_headroom(self, suspected: bool) -> None:
        """Guards against a task that never runs again as the other workers of its service left."""
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=60_000, long_running=True))
        (first,) = harness.start(500)
        if suspected:
            harness.cell.book.note_crash(first.run.task, first.boot.placed_run(first.run))
        harness.resize(first.boot.name, 0)
        ended = RunEnd(1, first.run.task.id, first.run.number, "stopped", "")
        harness.answer_lease(first.boot.name, ends=(ended,))
        (again,) = harness.start(50)
        assert again.run.task is first.run.task
        harness.submit(StepSpec(1, cpu_millis=1_000, long_running=True), job="1" * 16)
        assert harness.start(1_000) == []  # which has never run


class TestMoves:
    """Best-effort runs that were slowed down."""

    def _slow_run(self, *workers: str) -> tuple[CellHarness, StartRun]:
        harness = CellHarness(*workers)
        harness.submit(
            StepSpec(
                1, cpu_millis=6_000, memory_mb=1, checkpointing=True, image="f", best_effort=True
            )
        )
        (start,) = start_orders(harness.plan(100))
        harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms)
        start.run.speed_percent = 10
        for _ in range(4):
            harness.now_ms += 400
            for name in workers:
                runs = ()
                if name == start.boot.name:
                    runs = (RunningTask(start.run.task.id, start.run.number, "c", 5, 600),)
                harness.answer_lease(name, *runs)
            harness.orders = harness.plan()
        return harness, start

    def test_a_slow_run_moves_to_a_worker_with_idle_cpu(self) -> None:
        harness, start = self._slow_run("w0", "w1")
        stops = [order for order in harness.orders if isinstance(order, StopRun)]
        assert [order.reason for order in stops] in (["moves"], ["again"], [])
        assert start.run.state == "stopping"
        assert start.run.task.checkpoint == "c"

    def test_a_slow_run_stays_if_no_other_worker_has_idle_cpu(self) -> None:
        _, start = self._slow_run("w0")
        assert start.run.state == "running"

    def test_a_scan_looks_once_for_a_faster_worker_for_runs_of_one_size(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against scans that keep stops and lease extensions waiting for half a second."""
        harness = CellHarness("w0", "w1")
        spec = StepSpec(18, cpu_millis=7_000, checkpointing=True, image="f", best_effort=True)
        harness.submit(spec)
        for _ in range(4):
            harness.start(100)
            harness.answer_leases()
        runs = [run for boot in harness.cell.boots.values() for run in boot.runs.values()]
        assert len(runs) == 18
        looked = []
        look = Planner.boots_at_full_speed

        def count(planner: Planner, *args: Any) -> Any:
            looked.append(args)
            return look(planner, *args)

        monkeypatch.setattr(Planner, "boots_at_full_speed", count)
        for elapsed_ms in (100, 600):
            harness.now_ms += elapsed_ms
            for run in runs:
                run.speed_percent = 10
            harness.cell.plan_stops(harness.now_ms)
        assert len(looked) == 1


class TestSlowClocks:
    """Workers whose clocks run as slow as the platform allows."""

    @given(
        duration_ms=st.integers(1, 60_000),
        read_ms=st.integers(0, 10_000),
        elapsed_ms=st.integers(0, 70_000),
    )
    def test_a_deadline_has_not_passed_before_it_has_on_a_clock_that_is_2_percent_slow(
        self, duration_ms: int, read_ms: int, elapsed_ms: int
    ) -> None:
        worker = Boot(make_worker_info("w0"), 0)
        worker.note_clock(50_000, read_ms, read_ms)
        deadline_ms = worker.deadline_in(duration_ms, read_ms)
        assert deadline_ms is not None
        if worker.has_passed(deadline_ms, read_ms + elapsed_ms):
            assert 100 * 50_000 + 98 * elapsed_ms > 100 * deadline_ms
        assert 98 * longest_ms(duration_ms) >= 100 * duration_ms


class TestBackoffs:
    """Guard against a worker that is passed over for longer than it gives reason to."""

    @staticmethod
    def _refuse_starts(harness: CellHarness, count: int) -> int:
        """Let the only worker refuse some starts at once; return when."""
        starts = start_orders(harness.plan())
        assert len(starts) == count
        for start in starts:
            harness.cell.handle_start_reply(start.boot, start.run, "unhealthy", harness.now_ms)
        return harness.now_ms

    @staticmethod
    def _ms_until_start(harness: CellHarness, since_ms: int) -> int:
        for _ in range(200):
            harness.answer_leases()
            if harness.start(50):
                break
        return harness.now_ms - since_ms

    def test_starts_that_are_refused_together_count_once(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(4, cpu_millis=1_000))
        refused_ms = self._refuse_starts(harness, 4)
        assert self._ms_until_start(harness, refused_ms) < 1_200

    def test_refusals_between_accepted_starts_do_not_add_up(self) -> None:
        """Guards against a worker of long-running tasks, where no run ever succeeds."""
        harness = CellHarness("w0")
        for number in range(5):
            job = f"{number:016x}"
            harness.submit(StepSpec(1, cpu_millis=1_000, long_running=True), job=job)
            harness.now_ms += 10_000
            harness.answer_leases()
            refused_ms = self._refuse_starts(harness, 1)
            assert self._ms_until_start(harness, refused_ms) < 1_200

    def test_a_worker_that_goes_on_refusing_is_tried_ever_more_rarely(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        refused_ms = []
        for _ in range(800):
            harness.answer_leases()
            for start in start_orders(harness.plan(50)):
                harness.cell.handle_start_reply(start.boot, start.run, "unhealthy", harness.now_ms)
                refused_ms.append(harness.now_ms)
        waits = [later - earlier for earlier, later in pairwise(refused_ms)]
        assert [wait // 1_000 for wait in waits[:5]] == [1, 2, 4, 8, 8]

    @pytest.mark.parametrize("failing", [False, True])
    def test_a_long_running_task_that_has_lost_its_run_waits_for_two_seconds_at_most(
        self, failing: bool
    ) -> None:
        """Guards against a wait that outlasts the trouble of all workers of a service."""
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000, long_running=True))
        (first,) = harness.start(500)
        sequences = dict.fromkeys(harness.worker_infos, 0)

        def end(run: Run) -> None:
            sequences[run.worker_id] += 1
            ended = RunEnd(sequences[run.worker_id], run.task.id, run.number, "failed", "")
            harness.answer_lease(run.worker_id, ends=(ended,))

        end(first.run)
        started_ms = [harness.now_ms]
        for _ in range(1_200):
            harness.answer_leases()
            for order in start_orders(harness.plan(50)):
                started_ms.append(harness.now_ms)
                reason = "" if failing else "unhealthy"
                harness.cell.handle_start_reply(order.boot, order.run, reason, harness.now_ms)
                harness.now_ms += 10
                if failing:
                    end(order.run)
                    for boot in harness.cell.boots.values():
                        boot.back_off_after_failures(harness.now_ms, 1_000, 8_000)
        assert max(later - earlier for earlier, later in pairwise(started_ms)) < 2_200
        assert all(boot.backs_off(harness.now_ms) for boot in harness.cell.boots.values())
        harness.submit(StepSpec(1, cpu_millis=1_000), job="1" * 16)
        starts = start_orders(harness.plan(50))
        assert all(order.run.task.step.spec.long_running for order in starts)

    def test_a_lost_run_is_replaced_on_a_worker_without_failures_if_there_is_one(self) -> None:
        harness = CellHarness("w0", "w1", "w2")
        harness.submit(StepSpec(1, cpu_millis=1_000, long_running=True))
        (first,) = harness.start(500)
        others = [boot for boot in harness.cell.boots.values() if boot is not first.boot]
        others[0].back_off_after_failures(harness.now_ms, 8_000, 8_000)
        harness.now_ms += 3_000
        harness.answer_leases()
        ended = RunEnd(1, first.run.task.id, first.run.number, "stopped", "")
        harness.resize(first.boot.name, 0)
        harness.answer_lease(first.boot.name, ends=(ended,))
        (again,) = harness.start(50)
        assert others[0].backs_off(harness.now_ms) and again.boot is others[1]
