"""The lives of a cell's boots: found, rebooted, silent, lapsed, replaced and removed.

This module does no I/O and reads no clock.

A run on a boot that does not answer is over when the worker's clock has certainly passed every
deadline that the worker was ever given. A later owner may extend the worker's lease or acknowledge
the end of the run, so what follows from the time that has passed, or from another boot of a worker,
counts only once a read of the log that was sent afterwards has shown no later owner.
"""

from __future__ import annotations

from dataclasses import replace

from greengagewood.internal.cells.answers import (
    compare_boots,
    later_boot_expiry_ms,
    latest_order_expiry_ms,
)
from greengagewood.internal.cells.boots import (
    MAX_ORDER_DELAY_MS,
    UNRESPONSIVE_AFTER_MS,
    Boot,
    InheritedRuns,
)
from greengagewood.internal.cells.crashes import find_undecided
from greengagewood.internal.cells.registration import inherit_runs, is_record_outdated
from greengagewood.internal.cells.term import Term
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.records import RegisteredWorkers
from greengagewood.internal.ports import WorkerInfo

__all__ = ["BootLives"]


class BootLives:
    """The present boots of the workers of a cell, and what their ends mean for their runs."""

    def __init__(self, term: Term) -> None:
        self._term = term
        self._directory_unread = True
        # Boot times of workers that have left, as far as the directory still listed them.
        self._departed: dict[str, int] = {}
        # When every start of earlier owners is over that a later boot of a worker may carry out.
        self._earlier_starts_expiry_ms = term.earlier_orders_expiry_ms + MAX_ORDER_DELAY_MS

    def is_present(self, boot: Boot) -> bool:
        """Return whether no later boot of the worker is known, and it was not removed."""
        return self._term.boots.get(boot.name) is boot

    # The directory and the stored record.

    def set_listed(self, listed: dict[str, WorkerInfo], now_ms: int) -> None:
        """Apply the entries of the directory."""
        term = self._term
        is_first_read, self._directory_unread = self._directory_unread, False
        for name, info in listed.items():
            boot = term.boots.get(name)
            if boot is None:
                self._add(info, now_ms)
                continue
            relation = compare_boots(boot.info, info)
            if relation == "later":
                self.reboot(boot, info, now_ms)
            elif relation == "same":  # else the directory lags behind what the boot has said
                self._update(boot, info, now_ms)
        for name in [name for name in self._departed if name not in listed]:
            if name in term.boots:
                term.boots[name].worker.in_directory = False
            self.note_departed(name, self._departed[name], now_ms)
        for name, boot in list(term.boots.items()):
            in_directory = name in listed and compare_boots(boot.info, listed[name]) != "earlier"
            boot.worker.in_directory = in_directory
            if (
                not in_directory
                and boot.unresponsive
                and not (boot.runs or boot.ruled_out)
                and boot.orders_expired(term.confirmed_ms)
                and boot.worker.may_be_forgotten(now_ms)
            ):
                self._remove(boot)
        # The first record of a term replaces that of the earlier owner, which no longer applies.
        term.registration_due |= is_first_read or any(
            is_record_outdated(boot, now_ms) for boot in term.boots.values()
        )
        self._update_slow(now_ms)

    def _update_slow(self, now_ms: int) -> None:
        """Mark the workers that are clearly slower than others of their service."""
        term = self._term
        run_times = term.planner.run_times
        by_service: dict[str, list[str]] = {}
        for boot in term.boots.values():
            by_service.setdefault(boot.info.service, []).append(boot.name)
        for names in by_service.values():
            slow = run_times.slow_workers(names, now_ms)
            for boot in (term.boots[name] for name in names):
                if boot.slow == (boot.name in slow):
                    continue
                boot.slow = not boot.slow
                term.emit(
                    "worker_slow" if boot.slow else "worker_fast_again",
                    {
                        "worker": boot.name,
                        "speed_percent": round(100 * run_times.worker_speed(boot.name, now_ms)),
                    },
                )

    def _add(self, info: WorkerInfo, now_ms: int) -> Boot:
        boot = Boot(info, now_ms, fencing_token=self._term.fencing_token)
        self._term.boots[info.worker_id] = boot
        return boot

    def _update(self, boot: Boot, info: WorkerInfo, now_ms: int) -> None:
        if info.draining and not boot.info.draining:
            self._term.emit("worker_draining", {"worker": info.worker_id})
        if not info.boot_time_ms:
            info = replace(info, boot_time_ms=boot.info.boot_time_ms)
        if info.boot_time_ms != boot.info.boot_time_ms:
            boot.boot_known_ms = now_ms
        if boot.info.address not in ("", info.address):
            boot.restore_aside()
            boot.worker.registered = False  # the record has the former address
        boot.update_info(info, now_ms)

    def set_registered(self, registered: RegisteredWorkers, read_ms: int, now_ms: int) -> None:
        """Add the workers to which earlier owners may have sent orders, by a record read earlier.

        A worker that the directory does not list is added as draining and without resources.
        """
        term = self._term
        limits_apply = registered.token == term.last_ordering_token
        if limits_apply:
            for task, idle_ms in registered.idle_ms:
                term.idle_since_ms[task] = read_ms - idle_ms
        for stored in registered.workers:
            boot = term.boots.get(stored.worker_id)
            if boot is None:
                info = WorkerInfo(
                    stored.worker_id,
                    stored.address,
                    stored.service,
                    "",
                    "",
                    frozenset(),
                    0,
                    0,
                    0,
                    True,
                    None,
                    0,
                )
                boot = self._add(info, now_ms)
                boot.worker.in_directory = False
                boot.is_known_by_record = True
            inherit_runs(boot, stored, read_ms, term.earlier_orders_expiry_ms, limits_apply)
            boot.recorded_boot_time_ms = stored.boot_time_ms
            for runs in boot.inherited:
                if runs.listed_ms is None:
                    continue
                for task in runs.tasks or ():
                    known_ms = term.idle_since_ms.get(task, runs.listed_ms)
                    term.idle_since_ms[task] = max(known_ms, runs.listed_ms)

    # Reboots.

    def reboot(self, boot: Boot, info: WorkerInfo, now_ms: int) -> Boot:
        """Replace a boot by a later one of its worker, which has none of its runs; return that."""
        term = self._term
        term.emit("worker_reborn", {"worker": info.worker_id, "runs": len(boot.runs)})
        undecided = find_undecided(boot)
        term.crashes.handle_crash(boot, now_ms, undecided)
        term.planner.run_times.forget_worker(boot.name)
        boot.worker.closed_to_starts = boot.worker.stored_empty = False
        if info.address != boot.info.address:
            boot.worker.registered = False  # the record has the former address
        term.reboot_count += 1
        rebooted = Boot(info, now_ms, boot.worker, fencing_token=term.fencing_token)
        rebooted.late_deadline_ms = max(boot.latest_deadline_ms, boot.late_deadline_ms)
        if boot.unlisted_runs(term.confirmed_ms):  # a late start may still reach the new boot
            rebooted.inherited = boot.inherited
            rebooted.earlier_orders_expiry_ms = boot.earlier_orders_expiry_ms
        if boot.lease_pending_ms:  # the new boot may receive it
            boot.worker.lease_unanswered_ms = boot.lease_pending_ms
        if boot.worker.lease_unanswered_ms:
            self._expect_orders(
                rebooted,
                latest_order_expiry_ms(boot.worker.lease_unanswered_ms, term.limits.lease_ms),
            )
        boot.transition("rebooted")
        term.boots[info.worker_id] = rebooted
        self._hold_back_lost_tasks(boot, now_ms)
        # The lists of the new boot show which of the two has accepted the undecided ones. The other
        # starts may not have reached the old boot, so the new boot may receive them. It compares
        # their deadlines with its own clock, which has started anew.
        unanswered = [run for run in boot.runs.values() if run.accepted_ms is None]
        for run in [*undecided, *unanswered]:
            boot.remove_run(run)
            run.stop_sent_ms = run.stop_answered_ms = None
            self._hand_over(boot, rebooted, run)
        self._hold_back_inherited(boot, rebooted, now_ms)
        self._mark_runs_lost(boot, now_ms, "reborn")
        for ruled_out in term.late_starts.forget_boot(boot):
            self._hand_over(boot, rebooted, self._reopen_start(ruled_out))
        term.stops.request_scan()
        return rebooted

    def _hold_back_inherited(self, boot: Boot, rebooted: Boot, now_ms: int) -> None:
        """Hold back the tasks that a boot ran for earlier owners until its new boot answers.

        An earlier owner may have sent a start before that of the present run, without an answer.
        The old boot has ruled it out, but the new boot may carry it out.
        """
        tasks = [
            run.task
            for run in boot.runs.values()
            if not run.start_deadline_ms and run.task.run is run and not run.task.end_state
        ]
        if not tasks or self._term.confirmed_ms > self._earlier_starts_expiry_ms:
            return
        for task in tasks:
            self._term.book.note_maybe_running(task)
        runs = InheritedRuns(
            frozenset(task.id for task in tasks), self._earlier_starts_expiry_ms, True
        )
        rebooted.inherited = (*rebooted.inherited, runs)
        rebooted.earlier_orders_expiry_ms = max(rebooted.earlier_orders_expiry_ms, runs.expiry_ms)

    def _hand_over(self, boot: Boot, rebooted: Boot, run: Run) -> None:
        """Add a run to a new boot that may still start it, or may have accepted it already."""
        rebooted.add_run(run)
        run.was_handed_over = True
        self._expect_orders(rebooted, later_boot_expiry_ms(boot, run, self._term.limits.lease_ms))

    @staticmethod
    def _expect_orders(rebooted: Boot, expiry_ms: int) -> None:
        """Count orders that were meant for an earlier boot, as their deadlines are on its clock."""
        rebooted.late_orders_expiry_ms = max(rebooted.late_orders_expiry_ms, expiry_ms)

    def _reopen_start(self, ruled_out: Run) -> Run:
        """Return an unconfirmed run for a start that an earlier boot had ruled out.

        Its task waits for it. If the task has ended, or waits for another such run, the run is only
        stopped.
        """
        task = ruled_out.task
        started_ms, deadline_ms = ruled_out.started_ms, ruled_out.start_deadline_ms
        place = (ruled_out.number, ruled_out.worker_id, ruled_out.rack)
        if task.run is None and not task.end_state and not task.step.job.is_final:
            book = self._term.book
            run = book.attach_run(task, *place, "starting", started_ms, deadline_ms)
        else:
            run = Run(task, *place, "starting", started_ms, deadline_ms)
        run.transition("unanswered")
        return run

    # Silence, lapse, replacement and removal.

    def note_lease_failure(self, boot: Boot, now_ms: int, was_sent: bool) -> None:
        """Record that a boot did not answer a lease extension, which may not have been sent."""
        boot.lease_call_failed = True
        if not was_sent:
            boot.note_extension_not_sent()
        elif boot.lease_pending_ms:
            boot.worker.lease_unanswered_ms = boot.lease_pending_ms
        boot.lease_pending_ms = 0
        self._term.crashes.note_failed_call(boot, now_ms)
        self.note_lease_refused(boot, now_ms)

    def note_lease_refused(self, boot: Boot, now_ms: int) -> None:
        """Record that a boot did not extend the lease; after some time it counts as silent."""
        if boot.unresponsive or not self.is_present(boot):
            return
        since = boot.last_answer_ms if boot.last_answer_ms is not None else boot.added_ms
        if now_ms - since > UNRESPONSIVE_AFTER_MS or boot.last_answer_ms is None:
            boot.transition("unanswered")
            self._term.emit("worker_silent", {"worker": boot.name, "runs": len(boot.runs)})

    def note_wrong_boot(self, boot: Boot, address: str, now_ms: int) -> None:
        """Record that a worker with another ID answers at a boot's address, so it is gone.

        Nothing follows if the worker has moved from that address since the call.
        """
        if not self.is_present(boot) or address != boot.info.address:
            return
        term = self._term
        term.emit("worker_replaced", {"worker": boot.name, "runs": len(boot.runs)})
        term.crashes.handle_crash(boot, now_ms)
        self._hold_back_lost_tasks(boot, now_ms)
        self._mark_runs_lost(boot, now_ms, "replaced")
        term.late_starts.forget_boot(boot)
        boot.transition("displaced")
        boot.adopted_ms = None
        boot.latest_deadline_ms = 0
        if boot.info.boot_time_ms:
            boot.earlier_orders_expiry_ms = boot.late_orders_expiry_ms = 0
            boot.inherited = ()
        else:  # known by the record alone, which may have a former address
            boot.set_aside()
        boot.clock_read_ms = None

    def note_departed(self, name: str, boot_time_ms: int, now_ms: int) -> None:
        """Record that a worker has drained and left, so what ran there is over.

        Starts without an answer may still be carried out by a later boot of the worker.
        """
        term = self._term
        self._departed.pop(name, None)
        boot = term.boots.get(name)
        if boot is None or boot.state == "departed":
            return
        if boot_time_ms and boot.last_boot_time_ms not in (boot_time_ms, 0):
            return
        # The directory was not read yet, or before it left. It may show a later boot.
        if boot.worker.in_directory or self._directory_unread:
            self._departed[name] = boot_time_ms
            return
        silent_ms = None if boot.last_answer_ms is None else now_ms - boot.last_answer_ms
        term.emit("worker_left", {"worker": name, "runs": len(boot.runs), "silent_ms": silent_ms})
        self._hold_back_lost_tasks(boot, now_ms)
        late_runs = self._hold_back_late_starts(boot)
        self._mark_runs_lost(boot, now_ms, "left")
        boot.transition("left")
        boot.departed_ms = now_ms
        boot.adopted_ms = None
        boot.inherited = (
            *(runs for runs in boot.inherited if runs.tasks is None or runs.may_start_later),
            *late_runs,
        )
        # A call that is under way, or had no answer, may reach a later boot.
        if boot.lease_pending_ms:
            boot.worker.lease_unanswered_ms = boot.lease_pending_ms
        boot.late_deadline_ms = max(boot.late_deadline_ms, boot.latest_deadline_ms)
        boot.latest_deadline_ms = 0
        boot.earlier_orders_expiry_ms = max((r.expiry_ms for r in boot.inherited), default=0)
        # The tasks that earlier owners ran there wait for a confirmation, as those of this one do.
        term.last_adoption_ms = now_ms
        term.registration_due |= is_record_outdated(boot, now_ms)

    def _hold_back_late_starts(self, boot: Boot) -> tuple[InheritedRuns, ...]:
        """Hold back the tasks of a boot that its next one may start for an earlier owner.

        Return those starts.
        """
        confirmed_ms = self._term.confirmed_ms
        late_runs = tuple(runs for runs in boot.late_inherited if confirmed_ms <= runs.expiry_ms)
        tasks = {task for runs in late_runs for task in runs.tasks or ()}
        for run in boot.runs.values():
            task = run.task
            if task.id in tasks and task.run is run and not task.end_state:
                self._term.book.note_maybe_running(task)
        return late_runs

    def end_expired(self, now_ms: int) -> None:
        """End the runs of boots that do not answer and whose leases have certainly expired."""
        for boot in list(self._term.boots.values()):
            if not boot.unresponsive or not boot.orders_expired(self._term.confirmed_ms):
                continue
            self._mark_runs_lost(boot, now_ms, "lapsed")
            boot.transition("expired")
            boot.adopted_ms = None
            worker = boot.worker
            is_empty = not (boot.runs or boot.ruled_out)
            if not worker.in_directory and is_empty and worker.may_be_forgotten(now_ms):
                self._remove(boot)

    def _remove(self, boot: Boot) -> None:
        """Remove a boot that has no runs and no starts that a later boot may carry out."""
        term = self._term
        boot.transition("removed")
        del term.boots[boot.name]
        term.planner.run_times.forget_worker(boot.name)
        term.registration_due = True
        term.emit("worker_forgotten", {"worker": boot.name})

    # Runs that are lost with their boot.

    def _hold_back_lost_tasks(self, boot: Boot, now_ms: int) -> None:
        """Start the tasks of a boot that is gone only once a read confirms the ownership.

        A later owner may have acknowledged that they are done before the boot was gone.
        """
        term = self._term
        for run in boot.runs.values():
            run.task.loss_unconfirmed = True
            term.book.unmark_waiting(run.task)
            term.unconfirmed_losses[run.task] = now_ms

    def confirm_losses(self) -> None:
        """Queue the tasks whose runs were lost before the last confirmed read was sent."""
        term = self._term
        for task, lost_ms in list(term.unconfirmed_losses.items()):
            if lost_ms < term.confirmed_ms:
                del term.unconfirmed_losses[task]
                task.loss_unconfirmed = False
                term.queue_again(task)

    def _mark_runs_lost(self, boot: Boot, now_ms: int, reason: str) -> None:
        term = self._term
        lost = [
            run
            for run in boot.runs.values()
            # A later boot may have the run, or may still carry out its start.
            if reason not in ("lapsed", "left")
            or term.confirmed_ms > later_boot_expiry_ms(boot, run, term.limits.lease_ms)
        ]
        if lost and reason == "lapsed":
            term.crashes.keep_suspects(boot)
        for run in lost:
            term.end_run(boot, run, "lost", now_ms)
            answered_ms = boot.last_answer_ms
            if answered_ms is not None:
                known_ms = max(answered_ms, run.accepted_ms or answered_ms)
                run.task.idle_since_ms = min(run.task.idle_since_ms, known_ms)
            term.emit(
                "run_lost",
                {
                    "task": run.task.id,
                    "run": run.number,
                    "worker": boot.name,
                    "reason": reason,
                    "silent_ms": None if answered_ms is None else now_ms - answered_ms,
                    "confirmed_ago_ms": now_ms - term.confirmed_ms,
                },
            )
            term.queue_again(run.task)
