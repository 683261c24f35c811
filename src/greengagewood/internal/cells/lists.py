"""What a worker's list of its runs, and of those that have ended, means for a cell.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import replace

from greengagewood.internal.cells.adoption import Adoption
from greengagewood.internal.cells.answers import outcome_if_unlisted
from greengagewood.internal.cells.bootlife import BootLives
from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.crashes import outlives
from greengagewood.internal.cells.orders import Order
from greengagewood.internal.cells.term import Term
from greengagewood.internal.jobs.book import Run, Task
from greengagewood.internal.ports import (
    AllEndsReply,
    LeaseReply,
    RunEnd,
    RunListPage,
    RunningTask,
)

__all__ = ["RunLists"]


class RunLists:
    """The lists that the boots of a cell's workers send in answer to lease extensions."""

    def __init__(self, term: Term, lives: BootLives, adoption: Adoption) -> None:
        self._term = term
        self._lives = lives
        self._adoption = adoption

    def handle(self, boot: Boot, reply: RunListPage, sent_ms: int, now_ms: int) -> list[Order]:
        """Process a list that was requested at `sent_ms`; return orders to send at once."""
        if not self._lives.is_present(boot):
            return []
        boot.lease_pending_ms = 0
        if reply.boot_time_ms and reply.boot_time_ms != boot.info.boot_time_ms:
            listed_boot = replace(boot.info, boot_time_ms=reply.boot_time_ms)
            is_earlier = reply.boot_time_ms < boot.info.boot_time_ms
            if is_earlier and sent_ms < boot.boot_known_ms:
                return []  # that boot was gone when the directory was read
            if boot.info.boot_time_ms:  # a later boot; earlier if its time of day was set back
                rebooted = self._lives.reboot(boot, listed_boot, now_ms)
                # The new boot may have another capacity and labels, which its entry will show.
                rebooted.worker.in_directory = False
                return self.handle(rebooted, reply, sent_ms, now_ms)
            # Without it, the ends of a later boot would be taken for those that this one lists.
            boot.info = listed_boot
        has_left = boot.state == "departed" and sent_ms <= boot.departed_ms
        if not has_left:
            self._note_answer(boot, reply, sent_ms, now_ms)
        for end in reply.ended:
            if end.sequence > boot.last_end_sequence:
                boot.last_end_sequence = end.sequence
                self._handle_end(boot, end, now_ms)
        if has_left:
            return []  # what it lists as running ended as it left
        orders, listed_keys = self._match_all(boot, reply, now_ms)
        self._end_unlisted(boot, reply, listed_keys, sent_ms, now_ms)
        term = self._term
        term.late_starts.note_list(boot, sent_ms)
        term.planner.tail_model.learn(boot, now_ms)
        if not boot.adopted and _may_adopt(boot, reply, term.confirmed_ms):
            self._adoption.adopt(boot, len(listed_keys), now_ms)
        orders.extend(
            term.planner.tail_model.plan_speed_limits(
                boot, now_ms, lambda run: term.planner.value_density(run.task.step, now_ms)
            )
        )
        term.planner.request_replan()
        return orders

    def _note_answer(self, boot: Boot, reply: RunListPage, sent_ms: int, now_ms: int) -> None:
        boot.note_clock(reply.clock_ms, sent_ms, now_ms)
        if sent_ms > boot.added_ms:
            boot.note_token_seen(now_ms, self._term.limits.lease_ms)
        # Until it is stored anew, nothing is started there, or its lease is not extended.
        if (boot.unresponsive and not boot.worker.registered) or boot.worker.lease_limited:
            self._term.registration_due = True
        if boot.unresponsive:
            self._term.emit("worker_answers", {"worker": boot.name})
        boot.transition("listed")
        boot.last_answer_ms = now_ms
        boot.list_requested_ms = sent_ms
        if not isinstance(reply, AllEndsReply):
            boot.page_requested_ms = sent_ms
        boot.lease_call_failed = False
        boot.failing_since_ms = None
        self._term.crashes.handle_answer(boot, reply.boot_time_ms, now_ms)

    # Runs.

    def _match_all(
        self, boot: Boot, reply: RunListPage, now_ms: int
    ) -> tuple[list[Order], set[tuple[Task, int]]]:
        """Update the listed runs; return stops of unknown ones, and the keys of the others."""
        term = self._term
        orders: list[Order] = []
        listed_keys: set[tuple[Task, int]] = set()
        for listed_run in reply.running:
            task = term.book.find_listed_task(listed_run.task_id, term.adopting)
            if task is None or not self._match(boot, task, listed_run, now_ms):
                task = self._track_unexpected(boot, listed_run, now_ms)
            if task is not None:
                listed_keys.add((task, listed_run.run_number))
            elif stop := term.stops.stop_unknown_run(boot, listed_run, now_ms):
                orders.append(stop)
        return orders, listed_keys

    def _match(self, boot: Boot, task: Task, listed_run: RunningTask, now_ms: int) -> bool:
        """Update the run that a boot lists; return False if the run must be stopped."""
        term = self._term
        job = task.step.job
        run = boot.runs.get((task, listed_run.run_number))
        if run is None:
            if task.run is not None or task.end_state or job.is_final:
                return False
            run = term.book.attach_run(
                task, listed_run.run_number, boot.name, boot.info.rack, "running", now_ms
            )
            run.note_accepted(now_ms)
            run.resumed = True
            boot.add_run(run)
        elif run.state in ("running", "stopping") and run.outlived and job.is_final:
            term.crashes.forget_undecided(run)
            run.listed_ms = now_ms  # nothing else counts, and thousands of these may be listed
            return True
        elif run.state in ("starting", "unconfirmed"):
            run.transition("accepted")
            run.note_accepted(now_ms)
        term.crashes.forget_undecided(run)
        term.book.note_not_crashed(task, run.number)  # a later boot than the suspected one has it
        term.book.note_started(job)
        run.listed_ms = now_ms
        if not run.outlived and outlives(run, boot, now_ms):
            term.crashes.handle_outlived(boot, run)
        if task.step.spec.long_running:
            term.failures.note_listed(boot, run, now_ms)
        if run is not task.copy:  # a copy may be behind the first run
            term.book.note_checkpoint(task, listed_run.checkpoint)
        if not listed_run.measured:
            run.progress_changed_ms = now_ms  # nothing shows that it is stuck
            return True
        if listed_run.progress_percent != run.progress_percent:
            run.progress_percent = listed_run.progress_percent
            run.progress_changed_ms = now_ms
        run.tail_ms_or_cpu_millis = listed_run.tail_ms_or_cpu_millis
        term.planner.run_times.note_listed(run, now_ms)
        return True

    def _track_unexpected(self, boot: Boot, listed_run: RunningTask, now_ms: int) -> Task | None:
        """Keep resources allocated to a listed run until it has stopped; return its task.

        Return None if the job or its step is not known.
        """
        for run in boot.runs.values():
            if run.task.id == listed_run.task_id and run.number == listed_run.run_number:
                return run.task
        task = self._term.book.placeholder_task(listed_run.task_id)
        if task is not None:
            run = Run(task, listed_run.run_number, boot.name, boot.info.rack, "running", now_ms)
            run.accepted_ms = run.listed_ms = now_ms
            boot.add_run(run)
            self._report_unexpected(boot, run, now_ms)
        return task

    def _report_unexpected(self, boot: Boot, run: Run, now_ms: int) -> None:
        """Report a listed run that this owner did not know, or took to be over."""
        task = self._term.book.find_task(run.task.id)
        ended_ms = task.last_run_ended_ms if task is not None else 0
        self._term.emit(
            "unexpected_run",
            {
                "task": run.task.id,
                "run": run.number,
                "worker": boot.name,
                "job_state": run.task.step.job.state,
                "other_run": task.run.number if task is not None and task.run is not None else None,
                "run_ended_ago_ms": now_ms - ended_ms if ended_ms else None,
            },
        )

    def _end_unlisted(
        self,
        boot: Boot,
        reply: RunListPage,
        listed_keys: set[tuple[Task, int]],
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """End the runs that the boot does not list, if they are over or can never start."""
        term = self._term
        for key, run in list(boot.runs.items()):
            outcome = "" if key in listed_keys else outcome_if_unlisted(run, reply, sent_ms)
            if not outcome:
                continue
            if outcome == "lost":
                term.crashes.handle_unlisted(run, now_ms)
            term.end_run(boot, run, outcome, now_ms)
            term.late_starts.add(boot, run, now_ms)
            if outcome == "lost":
                term.emit(
                    "run_unlisted",
                    {"task": run.task.id, "run": run.number, "worker": boot.name},
                )
            term.queue_again(run.task)

    # Ends.

    def _handle_end(self, boot: Boot, end: RunEnd, now_ms: int) -> None:
        """Process the end of a run; queue its task again unless the task or its job has ended."""
        term = self._term
        unexpected = [
            run
            for run in (boot.runs.values() if boot.unexpected_run_count else ())
            if run.task.end_state == "unexpected"
            and (run.task.id, run.number) == (end.task_id, end.run_number)
        ]
        for placeholder in unexpected:
            term.end_run(boot, placeholder, "ended", now_ms)
        task = term.book.find_listed_task(end.task_id, term.adopting)
        if task is None:
            if unexpected:
                self._report_end(boot, end)
            return
        term.book.note_started(task.step.job)
        run = boot.runs.get((task, end.run_number))
        if run is not None:
            if end.result == "done" and task.copy is not None and not task.end_state:
                self._note_copy_outcome(run, now_ms)
            if end.result in ("done", "failed"):
                term.crashes.handle_outlived(boot, run)
            if end.result == "done":
                term.planner.run_times.note_end(run, now_ms)
            term.end_run(boot, run, "ended", now_ms)
        term.book.note_checkpoint(task, end.checkpoint)
        step = task.step
        self._report_end(boot, end)
        if end.result == "done" and not step.spec.long_running:
            term.failures.note_success(boot, task, run, now_ms)
            term.book.note_task_done(task, now_ms)
            return
        if task.end_state or step.job.is_final:
            return
        if end.result == "failed":
            self._handle_failed(boot, task, run, end, now_ms)
        if not task.maybe_running:
            term.queue_again(task)

    def _report_end(self, boot: Boot, end: RunEnd) -> None:
        self._term.emit(
            "run_ended",
            {"task": end.task_id, "run": end.run_number, "worker": boot.name, "how": end.result},
        )

    def _note_copy_outcome(self, run: Run, now_ms: int) -> None:
        """Record which of a task's two runs has ended first; the next plan stops the other."""
        task = run.task
        copy_won = run is task.copy
        self._term.planner.copies.note_outcome(run, copy_won, now_ms)
        self._term.stops.request_scan()
        self._term.emit(
            "copy_ended_first" if copy_won else "copy_not_needed",
            {"task": task.id, "run": run.number, "worker": run.worker_id},
        )

    def _handle_failed(
        self, boot: Boot, task: Task, run: Run | None, end: RunEnd, now_ms: int
    ) -> None:
        term = self._term
        term.failures.note_failed_run(boot, task, run, now_ms)
        attempts = term.planner.queue_of(task.step.job).max_attempts
        term.book.note_run_failed(task, end.run_number, attempts, now_ms)
        if task.step.job.state == "failed":
            term.stops.request_scan()
            term.emit("job_failed", {"job": task.id.job_id, "task": task.id, "attempts": attempts})


def _may_adopt(boot: Boot, reply: RunListPage, confirmed_ms: int) -> bool:
    """Return whether a reply shows all runs of earlier owners, or their leases are over."""
    return isinstance(reply, LeaseReply) or not boot.unlisted_runs(confirmed_ms)
