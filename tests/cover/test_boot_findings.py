"""What an owner wrongly concludes of the boots of a worker; found by random orders of events."""

from __future__ import annotations

from dataclasses import replace

import pytest

from greengagewood.internal.cells.boots import longest_ms
from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.orders import StartRun
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    RegisteredWorker,
    RegisteredWorkers,
    Submission,
)
from greengagewood.internal.ports import LeaseReply, RunEnd, RunningTask
from tests.common.desk import LIMITS, QUEUE, CellHarness, make_worker_info, start_orders

LASTING = StepSpec(1, cpu_millis=1_000, long_running=True)
EARLIER_CLOCK_MS = 8_000_000  # of the first boots; the clocks of later boots begin below it
LATER_CLOCK_MS = 400_000


class BootHarness(CellHarness):
    """A cell whose workers' clocks begin anew with each boot."""

    def __init__(self, *workers: str) -> None:
        self.first_clocks_ms = dict.fromkeys(workers, EARLIER_CLOCK_MS)
        super().__init__(*workers)

    def answer_lease(self, name: str, *runs: RunningTask, ends: tuple[RunEnd, ...] = ()) -> list:
        """Let a worker list its runs and their ends; return the orders."""
        clock_ms = self.first_clocks_ms[name] + self.now_ms - 100_000
        reply = LeaseReply(clock_ms, self.worker_infos[name].boot_time_ms, runs, ends)
        boot = self.cell.boots[name]
        return self.cell.handle_lease_reply(boot, reply, self.now_ms - 1, self.now_ms)

    def reboot(self, name: str, boot_time_ms: int) -> None:
        """Let the directory show another boot of a worker, whose clock has begun anew."""
        self.first_clocks_ms[name] = LATER_CLOCK_MS
        super().reboot(name, boot_time_ms)


class TestClocksOfBoots:
    """Deadlines of a start on the clock of the boot to which it was sent."""

    def test_runs_of_a_lost_boot_end_though_an_earlier_boot_had_a_higher_clock(self) -> None:
        """Guards against tasks that stay down for hours after their worker is lost."""
        harness = BootHarness("w0")
        harness.submit(LASTING)
        start = harness.start_unanswered()
        harness.reboot("w0", boot_time_ms=2)
        harness.accept_stop(start.run)
        harness.now_ms += 10
        harness.answer_lease("w0")
        (second,) = harness.start()
        harness.answer_leases()
        harness.worker_infos.clear()
        for _ in range(60):
            harness.now_ms += 500
            harness.cell.note_lease_failure(harness.cell.boots["w0"], harness.now_ms)
            harness.cell.set_workers({}, harness.now_ms)
            harness.plan()
            if "w0" not in harness.cell.boots:
                break
        assert second.run.state == "finished"

    def test_a_run_that_a_later_boot_with_a_lower_clock_carries_out_clears_its_task(self) -> None:
        """Guards against a suspected job of which the other tasks are never tried again."""
        harness = BootHarness("w0")
        harness.submit(StepSpec(2, cpu_millis=1_000, long_running=True))
        start, other = start_orders(harness.plan(500))
        harness.cell.handle_start_reply(other.boot, other.run, "", harness.now_ms)
        harness.now_ms += 1_000
        harness.cell.note_start_unanswered(start.run, harness.now_ms)
        harness.answer_lease("w0", RunningTask(other.run.task.id, 1, "", 100, 0))
        harness.reboot("w0", boot_time_ms=2)
        running = [RunningTask(start.run.task.id, 1, "", 100, 0)]
        for _ in range(40):
            harness.now_ms += 250
            harness.answer_lease("w0", *running)
            harness.read_orders()
            for order in start_orders(harness.plan()):
                harness.cell.handle_start_reply(order.boot, order.run, "", harness.now_ms)
                running.append(RunningTask(order.run.task.id, order.run.number, "", 100, 0))
        assert len(start.run.task.crashes) == 0
        assert other.run.task.run is not None


class TestStartsOfUnknownBoots:
    """Starts that a later boot has accepted, which the owner takes for the earlier one."""

    def test_a_start_that_a_later_boot_accepted_holds_its_task_for_a_whole_lease(self) -> None:
        """Guards against a second run beside one on a worker that has rebooted and is cut off."""
        harness = BootHarness("w0", "w1")
        for worker in harness.cell.boots.values():
            harness.cell.prepare_lease_extension(worker, harness.now_ms)
        harness.submit(LASTING)
        (start,) = harness.start(1_000)
        accepted_ms = harness.now_ms
        silent = start.boot
        (other,) = set(harness.cell.boots) - {silent.name}
        starts: list[StartRun] = []
        while not starts and harness.now_ms < accepted_ms + 20_000:
            harness.now_ms += 100
            harness.cell.note_lease_failure(silent, harness.now_ms)
            harness.answer_lease(other)
            harness.read_orders()
            starts = start_orders(harness.plan())
        # The deadline lies hours ahead on the clock of the later boot, which cuts it to a lease.
        assert harness.now_ms >= accepted_ms + longest_ms(LIMITS.lease_ms)


class TestAddresses:
    """Answers from the address at which a worker was before."""

    @pytest.mark.parametrize("directory_first", [True, False])
    def test_another_worker_at_a_former_address_does_not_end_runs_of_one_that_moved(
        self, directory_first: bool
    ) -> None:
        """Guards against a second run beside one of an earlier owner on the moved worker."""
        harness = BootHarness("w1")
        successor = Cell(LIMITS, 2, harness.now_ms)
        harness.cell = successor
        submission = Submission("0" * 16, QUEUE, JobSpec("p", (LASTING,)), 0)
        successor.add_job(submission, None, False, harness.now_ms)
        record = RegisteredWorkers((RegisteredWorker("w0", "10.0.0.1:80", "svc"),), 1)
        successor.set_registered_workers(record, harness.now_ms, harness.now_ms)
        moved = replace(make_worker_info("w0", boot_time_ms=2), address="10.0.0.2:80")
        harness.worker_infos["w0"] = moved
        if directory_first:  # while a call to the recorded address is under way
            successor.set_workers(harness.worker_infos, harness.now_ms)
        successor.note_wrong_boot(successor.boots["w0"], harness.now_ms, "10.0.0.1:80")
        successor.set_workers(harness.worker_infos, harness.now_ms)
        starts: list[StartRun] = []
        for _ in range(10):
            harness.now_ms += 100
            harness.answer_lease("w1")
            harness.read_orders()
            starts += start_orders(harness.plan())
        assert [start.boot.name for start in starts] == []


class TestCrashes:
    """Runs that are no sign that their task crashes its worker."""

    def test_a_start_that_another_boot_refuses_is_no_crash_of_its_task(self) -> None:
        """Guards against a job that is given up after starts that reached no worker of theirs."""
        harness = BootHarness("w0")
        harness.submit(LASTING)
        (start,) = start_orders(harness.plan(500))
        harness.now_ms += 10
        harness.cell.note_wrong_boot(start.boot, harness.now_ms)  # as the runner does
        harness.cell.handle_start_reply(start.boot, start.run, "wrong_boot", harness.now_ms)
        assert len(start.run.task.crashes) == 0

    def test_a_boot_that_is_lost_under_several_starts_of_a_task_is_one_crash(self) -> None:
        """Guards against a job that is given up after a single crash."""
        harness = BootHarness("w0")
        harness.submit(LASTING)
        for _ in range(4):
            start = harness.start_unanswered()
            harness.accept_stop(start.run)
            harness.now_ms += 10
            harness.answer_lease("w0")
            harness.cell.note_confirmed(harness.now_ms)
            harness.read_orders()
        task = start.run.task
        for boot_time_ms in (2, 3):  # the starts may reach the first of them, which is then lost
            harness.now_ms += 10
            harness.reboot("w0", boot_time_ms)
        assert len(task.crashes) <= 1
        assert task.step.job.state != "failed"
