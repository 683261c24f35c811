"""Calls that reach a later boot of a worker, and rows and entries that lack a part."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from greengagewood.internal.cells.boots import MAX_ORDER_DELAY_MS, Boot, longest_ms
from greengagewood.internal.cells.orders import StartRun
from greengagewood.internal.jobs.book import Task
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import RegisteredWorkers, TaskId
from greengagewood.internal.ports import AllEndsReply, LeaseReply, RunEnd, RunningTask
from tests.common.desk import LIMITS, CellHarness, make_worker_info, start_orders

JOB = "0" * 16
LASTING = StepSpec(1, cpu_millis=1_000, long_running=True)
RESTART_MS = 9_000  # by the platform's rules, a lasting task runs again this long after its end
FIRST_CLOCK_MS = 5_000_000
LATER_CLOCK_MS = 500_000


class BootHarness(CellHarness):
    """A cell whose workers have addresses and, by boot, clocks of their own."""

    def __init__(self, *workers: str) -> None:
        self.clock_offsets_ms = dict.fromkeys(workers, FIRST_CLOCK_MS - 100_000)
        super().__init__(*workers)
        for number, name in enumerate(workers):
            info = replace(self.worker_infos[name], address=f"10.0.0.{number}:80")
            self.worker_infos[name] = info
        self.cell.set_workers(self.worker_infos, self.now_ms)

    def clock_ms(self, name: str) -> int:
        """Return what a worker's clock shows now."""
        return self.now_ms + self.clock_offsets_ms[name]

    def answer_lease(
        self, name: str, *runs: RunningTask, ends: tuple[RunEnd, ...] = (), complete: bool = True
    ) -> list:
        """Let a worker list its runs and their ends; return the orders."""
        born = self.worker_infos[name].boot_time_ms
        reply_type = LeaseReply if complete else AllEndsReply
        reply = reply_type(self.clock_ms(name), born, runs, ends)
        boot = self.cell.boots[name]
        return self.cell.handle_lease_reply(boot, reply, self.now_ms - 1, self.now_ms)

    def boot_again(self, name: str, boot_time_ms: int, in_directory: bool = True) -> None:
        """Let a worker boot again under its ID, and its clock begin anew."""
        self.worker_infos[name] = replace(self.worker_infos[name], boot_time_ms=boot_time_ms)
        self.clock_offsets_ms[name] = LATER_CLOCK_MS - self.now_ms
        if in_directory:
            self.cell.set_workers(self.worker_infos, self.now_ms)

    def accept_starts(self, elapsed_ms: int = 500) -> list[StartRun]:
        """Plan, and let the workers accept every start with a reading of their clocks."""
        self.now_ms += elapsed_ms
        self.read_orders()
        starts = start_orders(self.plan(0))
        for order in starts:
            clock_ms = self.clock_ms(order.boot.name)
            self.cell.handle_start_reply(order.boot, order.run, "", self.now_ms, clock_ms)
        self.now_ms += 1
        return starts

    def extend(self, name: str) -> None:
        """Send a worker a lease extension, of which the answer is pending."""
        self.cell.prepare_lease_extension(self.cell.boots[name], self.now_ms)

    def restart_delay_ms(self, start: StartRun, longest_wait_ms: int = 40_000) -> int:
        """Let the worker of a run not answer any more; return when its task is started again.

        The other workers go on to answer. The time counts from the last answer.
        """
        lost_ms = self.now_ms
        while self.now_ms - lost_ms < longest_wait_ms:
            self.now_ms += 250
            self.read_orders()
            for name, boot in list(self.cell.boots.items()):
                if name == start.boot.name:
                    self.extend(name)
                    self.cell.note_lease_failure(boot, self.now_ms)
                else:
                    self.answer_lease(name)
            if any(o.run.task is start.run.task for o in start_orders(self.plan(0))):
                return self.now_ms - lost_ms
        return longest_wait_ms


class TestLateLeaseExtensions:
    """Guard against a second run beside one whose lease a late call has extended."""

    def test_a_call_that_is_pending_when_the_directory_shows_a_reboot(self) -> None:
        harness = BootHarness("w0", "w1")
        for name in harness.worker_infos:
            harness.answer_lease(name)
            harness.extend(name)
        sent_ms = harness.now_ms
        # The runner cancels the pending call with the loop of the earlier boot.
        harness.now_ms += 300
        for name in harness.worker_infos:
            harness.boot_again(name, 2)
            harness.answer_lease(name)
        harness.submit(LASTING)
        (start,) = harness.accept_starts()
        harness.extend(start.boot.name)
        restarted_ms = harness.now_ms + harness.restart_delay_ms(start)
        assert restarted_ms > sent_ms + MAX_ORDER_DELAY_MS + longest_ms(LIMITS.lease_ms)

    def test_a_call_that_was_carried_out_before_the_boot_saw_the_raised_token(self) -> None:
        """Guards against a wait that ends before the lease that such a call has given."""
        harness = BootHarness("w0", "w1")
        for name in harness.worker_infos:
            harness.answer_lease(name)
            harness.extend(name)
        earlier = dict(harness.cell.boots)
        harness.now_ms += 300
        for name in harness.worker_infos:
            harness.boot_again(name, 2)
            harness.answer_lease(name)
            assert harness.cell.boots[name].fencing_token > earlier[name].fencing_token
        harness.submit(LASTING)
        (start,) = harness.accept_starts()
        listed = RunningTask(start.run.task.id, start.run.number, "", 100, 0)
        harness.answer_lease(start.boot.name, listed)
        seen_ms = harness.now_ms
        restarted_ms = harness.now_ms + harness.restart_delay_ms(start)
        assert seen_ms + longest_ms(LIMITS.lease_ms) < restarted_ms < seen_ms + RESTART_MS

    def test_a_call_without_answer_before_the_worker_was_forgotten(self) -> None:
        harness = BootHarness("w0", "w1")
        for name in harness.worker_infos:
            harness.answer_lease(name)
            harness.extend(name)
        sent_ms = harness.now_ms
        infos, harness.worker_infos = harness.worker_infos, {}
        while harness.cell.boots and harness.now_ms - sent_ms < MAX_ORDER_DELAY_MS - 500:
            harness.now_ms += 250
            for boot in list(harness.cell.boots.values()):
                harness.cell.note_lease_failure(boot, harness.now_ms)
            harness.cell.set_workers({}, harness.now_ms)
            harness.plan(0)
        harness.worker_infos = infos
        for name in infos:
            harness.boot_again(name, 2, in_directory=False)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        for name in infos:
            harness.answer_lease(name)
        harness.store_changes()
        harness.submit(LASTING)
        (start,) = harness.accept_starts()
        harness.extend(start.boot.name)
        restarted_ms = harness.now_ms + harness.restart_delay_ms(start)
        assert restarted_ms > sent_ms + MAX_ORDER_DELAY_MS + longest_ms(LIMITS.lease_ms)

    def test_the_record_for_the_next_owner_counts_what_this_owner_counts(self) -> None:
        """Guards against a next owner that takes a late start to be over before it is."""
        harness = BootHarness("w0")
        harness.submit(LASTING)
        harness.now_ms += 500
        harness.read_orders()
        start = harness.start_unanswered(0)
        harness.extend("w0")
        sent_ms = harness.now_ms
        harness.now_ms += 10
        harness.cell.note_lease_failure(harness.cell.boots["w0"], harness.now_ms)
        harness.boot_again("w0", 2)
        harness.cell.note_lease_failure(harness.cell.boots["w0"], harness.now_ms)
        harness.now_ms += 4_000
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert start.run.boot is harness.cell.boots["w0"]
        changes = harness.cell.collect_changes(harness.now_ms, harness.now_ms)
        assert changes is not None
        (record,) = [r for r in changes.records if isinstance(r, RegisteredWorkers)]
        (entry,) = record.workers
        assert entry.possible_runs is not None
        over_ms = [harness.now_ms + (runs.expire_in_ms or 0) for runs in entry.possible_runs]
        assert harness.cell.boots["w0"].late_orders_expiry_ms >= (
            sent_ms + MAX_ORDER_DELAY_MS + longest_ms(LIMITS.lease_ms)
        )
        assert min(over_ms) >= harness.cell.boots["w0"].late_orders_expiry_ms


class TestEntriesWithoutBootTime:
    """An entry of the directory from which the boot time of a known boot is missing."""

    @staticmethod
    def _harness() -> BootHarness:
        """Return a cell whose worker boots again after an entry without its boot time."""
        harness = BootHarness("w0")
        ends = (RunEnd(3, TaskId("f" * 16, 0, 0, 0), 1, "done", ""),)
        harness.answer_lease("w0", ends=ends)
        harness.store_changes()
        harness.extend("w0")
        without = replace(harness.worker_infos["w0"], boot_time_ms=0)
        harness.cell.set_workers({"w0": without}, harness.now_ms)
        harness.now_ms += 1_000
        harness.boot_again("w0", 2, in_directory=False)
        harness.answer_lease("w0")
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.read_orders()
        harness.cell.note_confirmed(harness.now_ms + 1)
        return harness

    def test_the_entry_hides_no_end_of_the_next_boot(self) -> None:
        """Guards against a task that is started again though its end has been listed."""
        harness = self._harness()
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = harness.accept_starts()
        end = RunEnd(1, start.run.task.id, start.run.number, "done", "")
        harness.answer_lease("w0", ends=(end,))
        assert harness.cell.book.jobs[JOB].state == "completed"

    def test_the_entry_leaves_no_deadline_of_the_earlier_clock(self) -> None:
        """Guards against tasks that stay down for an hour after their worker is lost."""
        harness = self._harness()
        harness.submit(LASTING)
        (start,) = harness.accept_starts()
        harness.extend("w0")
        harness.answer_lease("w0", RunningTask(start.run.task.id, start.run.number, "", 100, 0))
        for _ in range(60):
            harness.now_ms += 500
            harness.cell.note_lease_failure(harness.cell.boots["w0"], harness.now_ms)
            harness.plan(0)
        assert start.run.state == "finished"


class TestErrors:
    """An error while a reboot is processed."""

    def test_a_reboot_can_be_processed_again_after_an_error(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a directory that is never applied again after one error."""
        harness = BootHarness("w0", "w1")

        def fail(*_: object) -> None:
            raise KeyError("w0")

        with monkeypatch.context() as patch:
            patch.setattr(harness.cell.term.crashes, "handle_crash", fail)
            with pytest.raises(KeyError):
                harness.boot_again("w0", 2)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.answer_lease("w0")
        assert harness.cell.boots["w0"].info.boot_time_ms == 2


class TestRowsWithoutProgress:
    """Runs that are listed with their task and number only."""

    def test_a_suspected_task_is_cleared(self) -> None:
        """Guards against a worker on which nothing else is started while a lasting task runs."""
        harness = BootHarness("w0", "w1")
        harness.submit(LASTING)
        (first,) = harness.accept_starts()
        harness.boot_again(first.boot.name, 2)
        assert len(first.run.task.crashes) == 1
        for name in harness.worker_infos:
            harness.answer_lease(name)
        (start,) = harness.accept_starts()
        boot = start.boot
        assert boot.trial is start.run
        for _ in range(40):
            harness.now_ms += 250
            row = RunningTask(start.run.task.id, start.run.number, "", 0, 0, measured=False)
            harness.answer_lease(boot.name, row)
            harness.plan(0)
        assert boot.trial is None

    def test_a_copy_does_not_set_back_the_checkpoint(self) -> None:
        """Guards against a task that resumes from the checkpoint of the run that is behind."""
        harness = BootHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000, checkpointing=True, speculative=True))
        (start,) = harness.accept_starts()
        task = start.run.task
        (other,) = [b for b in harness.cell.boots.values() if b is not start.boot]
        harness.answer_lease(start.boot.name, RunningTask(task.id, 1, "ahead", 50, 0))
        copy = harness.cell.book.attach_run(task, 2, other.name, "r0", "starting", harness.now_ms)
        other.add_run(copy)
        harness.cell.handle_start_reply(other, copy, "", harness.now_ms)
        harness.now_ms += 2
        harness.answer_lease(other.name, RunningTask(task.id, 2, "behind", 0, 0, measured=False))
        assert task.copy is copy
        assert task.checkpoint == "ahead"


class TestWaits:
    """How long lasting tasks wait after their worker is lost."""

    def test_a_worker_that_has_not_rebooted(self) -> None:
        """Guards against a wait for a later boot to which nothing points (LOST)."""
        harness = BootHarness("w0", "w1")
        harness.submit(LASTING)
        (start,) = harness.accept_starts()
        harness.extend(start.boot.name)
        assert harness.restart_delay_ms(start) <= RESTART_MS

    @pytest.mark.parametrize("up_for_ms", [500, 3_000, 6_000, 9_000])
    def test_a_worker_that_is_lost_soon_after_a_reboot(self, up_for_ms: int) -> None:
        """Guards against a lasting task that is down for longer than the platform allows."""
        harness = BootHarness("w0", "w1")
        for name in harness.worker_infos:
            harness.answer_lease(name)
            harness.extend(name)
            harness.cell.note_lease_failure(harness.cell.boots[name], harness.now_ms + 1)
        harness.now_ms += 1_000
        for name in harness.worker_infos:
            harness.boot_again(name, 2)
            harness.answer_lease(name)
        harness.submit(LASTING)
        (start,) = harness.accept_starts()
        up_until_ms = harness.now_ms + up_for_ms
        while harness.now_ms < up_until_ms:
            harness.now_ms += 250
            for name in harness.worker_infos:
                harness.extend(name)
                runs = harness.cell.boots[name].runs.values()
                harness.answer_lease(
                    name, *(RunningTask(r.task.id, r.number, "", 100, 0) for r in runs)
                )
            assert start_orders(harness.plan(0)) == []
        assert harness.restart_delay_ms(start) <= RESTART_MS


class TestUndecidedRuns:
    """Starts of which it is not known which of two boots has accepted them."""

    @staticmethod
    def _undecided() -> tuple[BootHarness, StartRun]:
        """Return a start that was accepted without a reading of the clock before a reboot."""
        harness = BootHarness("w0", "w1")
        for name in harness.worker_infos:
            harness.answer_lease(name)
        harness.submit(LASTING)
        harness.now_ms += 500
        (start,) = start_orders(harness.plan(0))
        harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms)
        harness.now_ms += 15
        harness.boot_again(start.boot.name, 2)
        return harness, start

    def test_an_incomplete_list_that_lacks_the_run_does_not_hold_it_for_good(self) -> None:
        """Guards against a task that is never started again."""
        harness, start = self._undecided()
        for _ in range(60):
            harness.now_ms += 250
            harness.read_orders()
            for name in harness.worker_infos:
                harness.answer_lease(name, complete=name != start.boot.name)
            orders = harness.plan(0)
            if any(not isinstance(o, StartRun) for o in orders):
                harness.accept_stop(start.run)
            if start_orders(orders):
                break
        assert start.run.state == "finished"
        assert start.run.task.run is not start.run

    def test_a_second_reboot_before_a_list_counts_one_crash(self) -> None:
        harness, start = self._undecided()
        harness.now_ms += 300
        harness.boot_again(start.boot.name, 3)
        for _ in range(3):
            harness.now_ms += 250
            harness.answer_lease(start.boot.name)
        assert len(start.run.task.crashes) == 1
        assert start.run.state == "finished"

    def test_the_run_is_over_when_another_worker_answers_at_the_address(self) -> None:
        harness, start = self._undecided()
        harness.cell.note_wrong_boot(harness.cell.boots[start.boot.name], harness.now_ms)
        harness.now_ms += 250
        (other,) = set(harness.worker_infos) - {start.boot.name}
        harness.answer_lease(other)
        assert [o.boot.name for o in harness.accept_starts()] == [other]
        assert len(start.run.task.crashes) == 1

    def test_a_boot_that_never_answers_holds_the_run_until_late_orders_are_over(self) -> None:
        harness, start = self._undecided()
        sent_ms = start.boot.worker.lease_sent_ms
        restarted_ms = harness.now_ms + harness.restart_delay_ms(start)
        assert restarted_ms > sent_ms + MAX_ORDER_DELAY_MS + longest_ms(LIMITS.lease_ms)


class TestReadingsOfTheClock:
    """`Boot.shows_clock` over calls of any length, and clocks up to 2 % slow."""

    @pytest.mark.parametrize("rate", [0.98, 0.99, 1.0])
    def test_the_clock_of_the_boot_is_recognized(self, rate: float) -> None:
        """Guards against a task that waits for a later boot to which nothing points."""
        rng = random.Random(rate)
        for _ in range(20_000):
            begin_ms = rng.randrange(400_000, 9_000_000)

            def read(at_ms: float, begin_ms: int = begin_ms) -> int:
                return int(begin_ms + at_ms * rate)

            # The owner's process may pause, and answers may overtake each other.
            asked_ms = rng.randrange(1_000)
            answered_ms = asked_ms + rng.random() * rng.choice((5, 500, 5_000))
            known_ms = answered_ms + rng.random() * rng.choice((1, 500, 10_000))
            started_ms = rng.randrange(20_000)
            accepted_ms = started_ms + rng.random() * rng.choice((5, 500, 5_000))
            now_ms = max(accepted_ms, known_ms) + rng.random() * rng.choice((1, 10_000))
            boot = Boot(make_worker_info("w0"), 0)
            boot.note_clock(read(answered_ms), asked_ms, int(known_ms) + 1)
            assert boot.shows_clock(read(accepted_ms), started_ms, int(now_ms) + 1)

    @pytest.mark.parametrize("off_by_ms", [-2_000, 2_000])
    def test_another_clock_is_not_recognized(self, off_by_ms: int) -> None:
        """Guards against a run that is taken to be over with the lease of another boot."""
        boot = Boot(make_worker_info("w0"), 0)
        boot.note_clock(1_000_000, 10_000, 10_450)
        for elapsed_ms in range(0, 2_000, 10):
            sent_ms = 10_450 + elapsed_ms
            reading = 1_000_000 + elapsed_ms + off_by_ms
            assert not boot.shows_clock(reading, sent_ms, sent_ms + 100)
        assert not Boot(make_worker_info("w0"), 0).shows_clock(5, 0, 1_000_000)


def test_a_deadline_of_an_earlier_boot_rules_a_late_start_out_by_the_next_clock() -> None:
    """Guards against a late start that a boot with a lower clock may still carry out."""
    harness = BootHarness("w0")
    harness.submit(LASTING)
    harness.now_ms += 500
    harness.read_orders()
    start = harness.start_unanswered(0)
    harness.boot_again("w0", 2)
    task: Task = start.run.task
    for _ in range(8):
        harness.now_ms += 250
        harness.answer_lease("w0")
        assert start_orders(harness.plan(0)) == []
        assert task.run is start.run


class TestExtensionsThatWereNotSent:
    """Lease extensions for which no connection could be opened."""

    def test_the_wait_counts_from_the_last_extension_that_was_sent(self) -> None:
        """Guards against a wait that each refused connection prolongs."""
        harness = BootHarness("w0", "w1")
        harness.submit(LASTING)
        (start,) = harness.accept_starts()
        boot = start.boot
        harness.extend(boot.name)
        listed = RunningTask(start.run.task.id, start.run.number, "", 100, 0)
        harness.answer_lease(boot.name, listed)
        sent_ms = harness.now_ms
        while start.run.state == "running" and harness.now_ms < sent_ms + RESTART_MS:
            harness.now_ms += 250
            harness.extend(boot.name)
            harness.cell.note_lease_failure(boot, harness.now_ms, was_sent=False)
            harness.cell.note_confirmed(harness.now_ms)
            harness.cell.plan(harness.now_ms, harness.now_ms)
        lease_ms = longest_ms(LIMITS.lease_ms)
        assert lease_ms < harness.now_ms - sent_ms <= lease_ms + 500

    def test_the_lease_of_a_start_that_was_sent_meanwhile_counts(self) -> None:
        """Guards against a second run beside one whose start has extended the lease."""
        harness = BootHarness("w0", "w1")
        for name in harness.worker_infos:
            harness.answer_lease(name)
            harness.extend(name)
        harness.submit(LASTING)
        (start,) = harness.accept_starts()
        harness.cell.note_lease_failure(start.boot, harness.now_ms, was_sent=False)
        assert start.boot.latest_deadline_ms >= start.deadline_ms

    def test_a_call_without_extension_takes_back_no_earlier_one(self) -> None:
        """Guards against a second run beside one whose lease goes on."""
        harness = BootHarness("w0", "w1")
        boot = harness.cell.boots["w0"]
        harness.extend("w0")
        harness.answer_lease("w0")
        deadline_ms = boot.latest_deadline_ms
        harness.cell.prepare_lease_extension(boot, harness.now_ms, False)
        harness.cell.note_lease_failure(boot, harness.now_ms, was_sent=False)
        assert boot.latest_deadline_ms == deadline_ms > 0
