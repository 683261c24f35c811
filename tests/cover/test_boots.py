"""What an owner concludes from answers whose boot it doesn't know."""

from __future__ import annotations

from dataclasses import replace

import pytest

from greengagewood.internal.cells.boots import longest_ms
from greengagewood.internal.cells.orders import StartRun
from greengagewood.internal.jobs.book import Task
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import TaskId
from greengagewood.internal.ports import LeaseReply, RunEnd, RunningTask
from tests.common.desk import LIMITS, CellHarness, make_worker_info, start_orders

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
    """Start the waiting task, and let its worker accept it in an answer of an unknown boot."""
    (start,) = harness.start(500, shows_clock=False)
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


def _lose_new_boot(harness: CellHarness) -> str:
    """Lose the worker of a lasting task, which waits; return the other worker."""
    harness.submit(LASTING)
    (start,) = harness.start(500)
    harness.now_ms += 2_000
    harness.cell.note_lease_failure(start.boot, harness.now_ms)
    (other,) = set(harness.worker_infos) - {start.boot.name}
    for _ in range(14):
        harness.answer_lease(other)
        harness.read_orders()
        assert start_orders(harness.plan(1_000)) == []
    return other


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

    def test_a_crash_that_shows_late_leaves_a_task_cleared_whose_next_run_is_sound(self) -> None:
        """Guards against a job whose other tasks are never tried, as one stays suspected."""
        harness = _make_harness("w0", "w1")
        harness.submit(LASTING)
        task = _start(harness)
        assert task.run is not None
        lost = task.run.worker_id
        (other,) = set(harness.worker_infos) - {lost}
        for _ in range(22):
            harness.now_ms += 1_000
            harness.cell.note_lease_failure(harness.cell.boots[lost], harness.now_ms)
            run = task.run
            has_run = run is not None and run.worker_id == other and run.accepted_ms is not None
            listed = [RunningTask(task.id, run.number, "", 100, 0)] if run and has_run else []
            harness.answer_lease(other, *listed)
            harness.read_orders()
            harness.start()
        assert task.run is not None and task.run.outlived
        harness.worker_infos[lost] = replace(harness.worker_infos[lost], boot_time_ms=2)
        harness.answer_lease(lost)
        assert task.crashes == () and not task.step.job.suspects


class TestLeases:
    """A worker that falls silent right after it has accepted a start."""

    @staticmethod
    def _fall_silent(clock_ms: int | None) -> tuple[CellHarness, Task]:
        """Let a worker accept a start with a reading of its clock, and then not answer any more."""
        harness = _make_harness("w0", "w1")
        for name in harness.worker_infos:
            harness.answer_lease(name)
        harness.submit(LASTING)
        (start,) = start_orders(harness.plan(500))
        reading = None if clock_ms is None else harness.now_ms - 90_000 + clock_ms
        harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms, reading)
        harness.now_ms += 2_000
        harness.cell.note_lease_failure(start.boot, harness.now_ms)
        for name in harness.worker_infos:
            if name != start.boot.name:
                harness.answer_lease(name)
        return harness, start.run.task

    def test_a_start_that_its_boot_has_accepted_is_over_with_the_lease(self) -> None:
        """Guards against a lasting task that waits for a later boot that nothing points to."""
        harness, task = self._fall_silent(clock_ms=0)
        (restart,) = start_orders(harness.plan(50))
        assert restart.run.task is task

    @pytest.mark.parametrize("clock_ms", [None, -40_000, 40_000])
    def test_a_start_that_a_later_boot_may_have_accepted_outlasts_the_lease_of_the_earlier(
        self, clock_ms: int | None
    ) -> None:
        """Guards against a second run beside one of a boot that the owner has not seen yet."""
        harness, task = self._fall_silent(clock_ms)
        for _ in range(15):
            assert start_orders(harness.plan(1_000)) == []
        assert task.run is not None


class TestLists:
    """What the answers to lease extensions, and their absence, say of a boot."""

    def test_no_end_is_acknowledged_after_a_call_without_an_answer(self) -> None:
        """Guards against ends of a later boot that are acknowledged before it has listed them."""
        harness = _make_harness("w0")
        harness.answer_lease("w0", ends=(RunEnd(3, TaskId(JOB, 0, 0, 0), 1, "done", ""),))
        harness.store_changes()
        boot = harness.cell.boots["w0"]
        assert harness.cell.prepare_lease_extension(boot, harness.now_ms)[1] == 3
        harness.cell.note_lease_failure(boot, harness.now_ms + 1)
        assert harness.cell.prepare_lease_extension(boot, harness.now_ms + 2)[1] == 0

    def test_the_directory_may_lag_behind_what_a_boot_says(self) -> None:
        """Guards against runs that are lost because the entry of an earlier boot is read again."""
        harness = _make_harness("w0")
        earlier = dict(harness.worker_infos)
        _change_entry(harness, "w0", boot_time_ms=2)
        harness.submit(LASTING)
        harness.answer_leases()
        task = _start(harness)
        harness.answer_leases()
        harness.cell.set_workers(earlier, harness.now_ms)
        assert harness.cell.boots["w0"].info.boot_time_ms == 2
        assert not harness.cell.boots["w0"].worker.in_directory
        assert task.run is not None and task.run.state == "running"

    def test_an_answer_to_an_earlier_boot_does_not_revive_it(self) -> None:
        """Guards against a list of a boot that is gone which arrives after the reboot was seen."""
        harness = _make_harness("w0")
        gone = harness.cell.boots["w0"]
        _change_entry(harness, "w0", boot_time_ms=2)
        assert gone.state == "gone"
        reply = LeaseReply(harness.now_ms - 90_000, 1, (), ())
        assert harness.cell.handle_lease_reply(gone, reply, harness.now_ms, harness.now_ms) == []
        assert harness.cell.boots["w0"].state == "unknown"

    def test_a_lease_extension_that_a_later_boot_may_receive_holds_its_runs_back(self) -> None:
        """Guards against a second run beside one whose lease a late call has extended."""
        harness = _make_harness("w0", "w1")
        harness.answer_leases()
        for name in harness.worker_infos:
            harness.cell.prepare_lease_extension(harness.cell.boots[name], harness.now_ms)
            harness.cell.note_lease_failure(harness.cell.boots[name], harness.now_ms)
            _change_entry(harness, name, boot_time_ms=2)
            harness.answer_lease(name)
        other = _lose_new_boot(harness)
        harness.plan(3_000)
        harness.answer_lease(other)
        harness.read_orders()
        assert len(start_orders(harness.plan())) == 1

    def test_a_lease_extension_under_way_as_the_reboot_shows_holds_runs_back(self) -> None:
        """Guards against a second run beside one whose lease a late call has extended."""
        harness = _make_harness("w0", "w1")
        harness.answer_leases()
        for name in harness.worker_infos:
            harness.cell.prepare_lease_extension(harness.cell.boots[name], harness.now_ms)
            _change_entry(harness, name, boot_time_ms=2)
            harness.answer_lease(name)
        _lose_new_boot(harness)

    def test_a_lease_that_the_new_boot_was_given_later_is_waited_for(self) -> None:
        """Guards against a second run beside one on a new boot that can't be reached."""
        harness = _make_harness("w0", "w1")
        harness.submit(LASTING)
        (start,) = harness.start(500, shows_clock=False)
        name = start.boot.name
        other = "w1" if name == "w0" else "w0"
        # The boot that has accepted the start, which the owner doesn't know, extends its lease.
        harness.now_ms += 900
        harness.answer_lease(other)
        deadline_ms, _ = harness.cell.prepare_lease_extension(start.boot, harness.now_ms)
        assert deadline_ms is not None
        lease_end_ms = harness.now_ms + longest_ms(LIMITS.lease_ms)
        harness.now_ms += 50
        harness.worker_infos[name] = replace(harness.worker_infos[name], boot_time_ms=2)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        rebooted = harness.cell.boots[name]
        restarts: list[StartRun] = []
        while not restarts and harness.now_ms <= lease_end_ms:  # the new boot can't be reached
            harness.now_ms += 50
            harness.answer_lease(other)
            harness.cell.prepare_lease_extension(rebooted, harness.now_ms)
            harness.cell.note_lease_failure(rebooted, harness.now_ms)
            harness.read_orders()
            restarts = start_orders(harness.plan(50))
        assert restarts == []
