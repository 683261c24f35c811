"""Runs of cancelled jobs: they end, and the log says so, or why they go on."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace as replace_spec

from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.orders import StartRun, StopRun
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.runner import CellRunner, Ports
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    Cancellation,
    Progress,
    Record,
    Submission,
    TaskId,
    encode_record,
    key_of,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import LogEntry, RunEnd, RunningTask, WrongBoot
from tests.common.desk import (
    LIMITS,
    QUEUE,
    CellHarness,
    make_submission,
    start_orders,
)
from tests.common.drive import QUEUES, CellSimulation, long_running_job, run_simulation

JOB = "0" * 16
LASTING = StepSpec(1, cpu_millis=1_000, long_running=True)


def _record_events(cell: Cell) -> list[tuple[str, dict[str, object]]]:
    events: list[tuple[str, dict[str, object]]] = []
    cell.on_event = lambda event, fields: events.append((event, fields))
    return events


def _start_lasting(harness: CellHarness, spec: StepSpec = LASTING) -> StartRun:
    """Start a task that lasts, and let its worker list it."""
    harness.submit(spec)
    (start,) = harness.start(500)
    harness.answer_leases()
    return start


class TestReports:
    """What the log says about runs whose jobs have ended."""

    def test_a_run_that_goes_on_after_the_end_of_its_job_is_reported(self) -> None:
        harness = CellHarness("w0")
        start = _start_lasting(harness)
        events = _record_events(harness.cell)
        harness.cell.cancel(JOB, harness.now_ms)
        harness.plan()
        harness.plan(1_900)
        assert "run_outlives_job" not in dict(events)
        harness.plan(200)
        fields = dict(events)["run_outlives_job"]
        assert fields["task"] == start.run.task.id
        assert fields["run_state"] == "stopping"
        assert fields["stop_accepted"] is False

    def test_a_run_on_an_unresponsive_worker_is_reported_too(self) -> None:
        harness = CellHarness("w0")
        _start_lasting(harness)
        harness.cell.prepare_lease_extension(harness.cell.boots["w0"], harness.now_ms)
        harness.now_ms += 2_000
        harness.cell.note_lease_failure(harness.cell.boots["w0"], harness.now_ms)
        events = _record_events(harness.cell)
        harness.cell.cancel(JOB, harness.now_ms)
        harness.plan()
        harness.plan(2_100)
        fields = dict(events)["run_outlives_job"]
        assert fields["unresponsive"] is True
        assert fields["stop_sent_ago_ms"] == 2_101  # one was sent at once, though it is silent
        assert fields["stop_accepted"] is False

    def test_the_end_of_a_run_is_reported_though_the_owner_keeps_no_task_of_its_job(self) -> None:
        harness = CellHarness("w0")
        cancelled = Progress(JOB, "cancelled", ended_ms=1)
        harness.cell.add_job(make_submission(JOB), cancelled, False, harness.now_ms)
        events = _record_events(harness.cell)
        task_id = TaskId(JOB, 0, 0, 0)
        harness.answer_lease("w0", RunningTask(task_id, 7, "", 10, 0))
        assert [o.task_id for o in harness.plan() if isinstance(o, StopRun)] == [task_id]
        harness.answer_lease("w0", ends=(RunEnd(1, task_id, 7, "stopped", ""),))
        assert dict(events)["run_ended"]["how"] == "stopped"

    def test_the_end_of_a_second_run_is_reported_once(self) -> None:
        harness = CellHarness("w0", "w1")
        first = _start_lasting(harness).run
        other = next(name for name in harness.cell.boots if name != first.worker_id)
        harness.answer_lease(other, RunningTask(first.task.id, 7, "", 10, 0))
        events = _record_events(harness.cell)
        harness.answer_lease(other, ends=(RunEnd(1, first.task.id, 7, "stopped", ""),))
        assert [event for event, _ in events] == ["run_ended"]

    def test_a_listed_run_that_counted_as_over_is_reported_once(self) -> None:
        harness = CellHarness("w0")
        start = _start_lasting(harness)
        task_id, number = start.run.task.id, start.run.number
        harness.now_ms += 100
        harness.answer_lease("w0")
        harness.now_ms += 100
        (restart,) = harness.start(500)
        events = _record_events(harness.cell)
        for _ in range(2):
            harness.answer_lease("w0", RunningTask(task_id, number, "", 10, 0))
        (fields,) = [fields for event, fields in events if event == "unexpected_run"]
        assert (fields["task"], fields["run"]) == (task_id, number)
        assert fields["other_run"] == restart.run.number
        assert fields["run_ended_ago_ms"] is not None

    def test_a_cancellation_that_is_read_before_its_job_is_reported(self) -> None:
        harness = CellHarness("w0")
        events = _record_events(harness.cell)
        harness.cell.cancel(JOB, harness.now_ms)
        assert events == [("unknown_job_cancelled", {"job": JOB})]


class TestRunsOfEndedJobs:
    """Runs that a new owner finds, of jobs that ended under an earlier one."""

    def test_a_list_with_a_best_effort_run_of_an_ended_job_is_processed(self) -> None:
        """Guards against lists that fail, so that their worker is polled without a pause."""
        harness = CellHarness("w0")
        harness.submit(replace_spec(LASTING, image="serve", tail_target_ms=20))
        (serving,) = harness.start(500)
        best_effort = StepSpec(1, cpu_millis=1_000, best_effort=True, image="fill")
        submission = Submission("1" * 16, QUEUE, JobSpec("p", (best_effort,)), 0)
        ended = Progress(submission.job_id, "cancelled", ended_ms=1)
        harness.cell.add_job(submission, ended, False, harness.now_ms)
        listed = RunningTask(TaskId(submission.job_id, 0, 0, 0), 7, "", 10, 900)
        harness.answer_lease("w0", RunningTask(serving.run.task.id, serving.run.number, "", 100, 5))
        harness.now_ms += 500
        harness.answer_lease(
            "w0", RunningTask(serving.run.task.id, serving.run.number, "", 100, 6), listed
        )
        stops = [order.task_id for order in harness.plan() if isinstance(order, StopRun)]
        assert stops == [listed.task_id]

    @pytest.mark.parametrize("occurrence", [0, 7])
    def test_a_best_effort_run_of_an_ended_job_does_not_make_its_worker_s_lists_fail(
        self, occurrence: int
    ) -> None:
        """Guards against runs that are neither limited nor stopped, as each list fails."""
        harness = CellHarness("w0")
        spec = StepSpec(1, cpu_millis=1_000, best_effort=True, image="fill")
        submission = replace_spec(make_submission(JOB), spec=JobSpec("p", (spec,)))
        cancelled = Progress(JOB, "cancelled", ended_ms=1)
        harness.cell.add_job(submission, cancelled, False, harness.now_ms)
        known, unknown = TaskId(JOB, occurrence, 0, 0), TaskId("f" * 16, 0, 0, 0)
        runs = [RunningTask(task_id, 7, "", 10, 1_000) for task_id in (known, unknown)]
        stops = harness.answer_lease("w0", *runs) + harness.plan()
        assert {order.task_id for order in stops if isinstance(order, StopRun)} == {known, unknown}


class TestRefusedStarts:
    """Answers to starts that arrive after their worker has rebooted."""

    @staticmethod
    def _reboot_before_the_answer(harness: CellHarness) -> StartRun:
        """Send a start, let the directory show a later boot of its worker, and refuse the start."""
        harness.submit(StepSpec(1, cpu_millis=10_000), job="1" * 16)
        (start,) = start_orders(harness.plan())
        name = start.boot.name
        harness.reboot(name, 2)
        harness.cell.handle_start_reply(start.boot, start.run, "room", harness.now_ms)
        return start

    def test_a_refusal_after_a_reboot_does_not_keep_other_runs_from_being_stopped(self) -> None:
        """Guards against runs of cancelled jobs that go on because each plan fails."""
        harness = CellHarness("w0", "w1")
        lasting = _start_lasting(harness, replace_spec(LASTING, cpu_millis=60_000))
        refused = self._reboot_before_the_answer(harness)
        assert refused.boot.name != lasting.boot.name
        harness.cell.cancel(JOB, harness.now_ms)
        stops = [order.run for order in harness.plan() if isinstance(order, StopRun)]
        assert lasting.run in stops

    async def test_a_start_that_reaches_a_boot_of_another_worker_is_over(self) -> None:
        """Guards against a run that is never stopped, as the answer to its start is awaited."""
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=10_000))
        (start,) = start_orders(harness.plan())
        harness.reboot("w0", 2)

        class Link:
            async def start(self, *args: object) -> None:
                raise WrongBoot("w0")

        ledger = Ledger()
        ownership = OwnershipView("n0", LIMITS.confirmation_timeout_ms, 0)
        ports = Ports(None, None, Link(), None)  # type: ignore[arg-type]
        runner = CellRunner(ports, ledger, LIMITS, 1, 0, Metrics(), ownership, lambda: True)
        runner.cell = harness.cell
        await runner._start_run(start)
        assert start.run.state == "finished"
        assert harness.cell.boots["w0"].runs == {}

    def test_a_start_refused_after_a_reboot_frees_its_resources(self) -> None:
        harness = CellHarness("w0")
        start = self._reboot_before_the_answer(harness)
        assert start.run.state == "finished"
        assert harness.cell.boots["w0"].runs == {}
        assert harness.cell.boots["w0"].allocated.cpu_millis == 0


class TestStopsBeforeAReboot:
    """Answers to stops that arrive after their worker has rebooted."""

    def test_a_stop_accepted_by_an_earlier_boot_does_not_rule_out_the_start(self) -> None:
        """Guards against a second run beside a start that the later boot carries out late."""
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000, estimate_ms=60_000))
        (start,) = start_orders(harness.plan())
        name = start.boot.name
        harness.cell.note_start_unanswered(start.run, harness.now_ms)
        (stop,) = [order for order in harness.plan() if isinstance(order, StopRun)]
        harness.reboot(name, 2)
        harness.store_changes()
        harness.cell.note_stop_accepted(stop.boot, start.run, harness.now_ms)
        harness.now_ms += 10
        harness.answer_leases()
        orders = harness.plan()
        assert start_orders(orders) == []
        assert [order.run for order in orders if isinstance(order, StopRun)] == [start.run]
        harness.accept_stop(start.run)
        harness.now_ms += 10
        harness.answer_leases()
        assert [order.run.number for order in start_orders(harness.plan())] == [2]


class TestTruncatedLog:
    """An owner whose log is truncated reads the newest record of each key, in the order of keys."""

    @pytest.mark.parametrize("start_again", [False, True])
    def test_a_job_cancelled_while_the_owner_lagged_behind_is_not_started(
        self, start_again: bool
    ) -> None:
        """Guards against a start of a job whose cancellation was read before its submission."""

        async def script(sim: CellSimulation) -> None:
            owner = sim.owner()
            assert owner is not None
            sim.platform.faults.store_silent_to.add(owner)
            client = sim.platform.store.client("caller")
            submission = Submission(JOB, QUEUES["serve"], long_running_job(), 0)
            sim.platform.specs[JOB] = submission.spec.steps
            records: list[Record] = [submission, Cancellation(JOB)]
            if start_again:  # a repeated submission, stored after the cancellation
                records.append(submission)
            for record in records:
                await client.append([(key_of(record), encode_record(record))])
            sim.platform.store.truncate()
            sim.platform.faults.store_silent_to.clear()
            for _ in range(40):
                await asyncio.sleep(0.2)
                assert sim.platform.running_tasks() == set()
            assert sim.owner() == owner
            assert await sim.state(JOB) == "cancelled"

        run_simulation(CellSimulation(1), script)

    def test_a_job_counts_from_the_first_of_its_submissions(self) -> None:
        """Guards against a new owner that takes a job to be submitted after its claim."""
        ledger = Ledger()
        submission = make_submission(JOB)
        ledger.apply_stored(submission, 9)
        ledger.apply(LogEntry(4, key_of(submission), encode_record(submission)))
        ledger.apply(LogEntry(9, key_of(submission), encode_record(submission)))
        assert ledger.jobs[JOB].submission_offset == 4
