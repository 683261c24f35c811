"""What an owner concludes from answers whose boot it doesn't know."""

from __future__ import annotations

from dataclasses import replace

from greengagewood.internal.jobs.book import Task
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.ports import RunningTask
from tests.common.desk import CellHarness, make_worker_info

JOB = "0" * 16
LASTING = StepSpec(1, cpu_millis=1_000, long_running=True)


def _make_harness(*names: str) -> CellHarness:
    """Return a cell of workers at different addresses."""
    harness = CellHarness(*names)
    for number, name in enumerate(names):
        info = replace(make_worker_info(name), address=f"10.0.0.{number}:80")
        harness.worker_infos[name] = info
    harness.cell.set_workers(harness.worker_infos, harness.now_ms)
    return harness


def _change_entry(harness: CellHarness, name: str, **fields: object) -> None:
    harness.now_ms += 1
    harness.worker_infos[name] = replace(harness.worker_infos[name], **fields)  # type: ignore[arg-type]
    harness.cell.set_workers(harness.worker_infos, harness.now_ms)


def _start(harness: CellHarness) -> Task:
    """Start the waiting task, and let its worker accept it."""
    (start,) = harness.start(500)
    return start.run.task


def _crash_under_a_task() -> tuple[CellHarness, Task]:
    """Let one worker reboot under a task, which is then started on another."""
    harness = _make_harness("w0", "w1")
    harness.submit(LASTING)
    task = _start(harness)
    assert task.run is not None
    first = task.run.worker_id
    harness.answer_leases()
    _change_entry(harness, first, boot_time_ms=2, draining=True)
    assert len(task.crashes) == 1
    assert _start(harness) is task
    assert task.run is not None and task.run.worker_id != first
    return harness, task


class TestCrashes:
    """Reboots that show only after a start was accepted."""

    def test_a_start_accepted_by_a_new_boot_is_no_crash_of_its_task(self) -> None:
        """Guards against a job that is given up after a single crash."""
        harness, task = _crash_under_a_task()
        run = task.run
        assert run is not None
        harness.worker_infos[run.worker_id] = replace(
            harness.worker_infos[run.worker_id], boot_time_ms=2
        )
        harness.now_ms += 15
        for _ in range(2):
            harness.answer_lease(run.worker_id, RunningTask(task.id, run.number, "", 100, 0))
            harness.plan()
        assert task.step.job.state == "running"
        assert len(task.crashes) == 1

    def test_a_start_that_the_new_boot_does_not_have_is_a_crash_of_its_task(self) -> None:
        """Guards against a task that crashes one worker after the other."""
        harness, task = _crash_under_a_task()
        assert task.run is not None
        name = task.run.worker_id
        harness.worker_infos[name] = replace(harness.worker_infos[name], boot_time_ms=2)
        for _ in range(2):
            harness.now_ms += 15
            harness.answer_lease(name)
            harness.plan()
        assert task.step.job.state == "failed"
        assert len(task.crashes) == 2

    def test_a_run_that_the_new_boot_has_goes_on(self) -> None:
        """Guards against a stop of a run that is lost with a boot which has not accepted it."""
        harness, task = _crash_under_a_task()
        run = task.run
        assert run is not None
        _change_entry(harness, run.worker_id, boot_time_ms=2)
        orders = harness.plan()
        harness.answer_lease(run.worker_id, RunningTask(task.id, run.number, "", 100, 0))
        orders += harness.plan()
        assert orders == []
        assert task.run is run
