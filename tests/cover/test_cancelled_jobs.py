"""Runs of cancelled jobs: they end, and the log says so, or why they go on."""

from __future__ import annotations

from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.orders import StartRun, StopRun
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import Progress, TaskId
from greengagewood.internal.ports import RunEnd, RunningTask
from tests.common.desk import CellHarness, make_submission

JOB = "0" * 16
LASTING = StepSpec(1, cpu_millis=1_000, long_running=True)


def _record_events(cell: Cell) -> list[tuple[str, dict[str, object]]]:
    events: list[tuple[str, dict[str, object]]] = []
    cell.on_event = lambda event, fields: events.append((event, fields))
    return events


def _start_lasting(harness: CellHarness) -> StartRun:
    """Start a task that lasts, and let its worker list it."""
    harness.submit(LASTING)
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
        harness.cell.prepare_lease_extension(harness.cell.workers["w0"], harness.now_ms)
        harness.now_ms += 2_000
        harness.cell.note_lease_failure(harness.cell.workers["w0"], harness.now_ms)
        events = _record_events(harness.cell)
        harness.cell.cancel(JOB, harness.now_ms)
        harness.plan()
        harness.plan(2_100)
        fields = dict(events)["run_outlives_job"]
        assert fields["unresponsive"] is True
        assert fields["stop_sent_ago_ms"] is None

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

    def test_a_cancellation_that_is_read_before_its_job_is_reported(self) -> None:
        harness = CellHarness("w0")
        events = _record_events(harness.cell)
        harness.cell.cancel(JOB, harness.now_ms)
        assert events == [("unknown_job_cancelled", {"job": JOB})]
