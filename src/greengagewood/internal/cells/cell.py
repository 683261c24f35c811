"""Decisions of the owner of one cell: which runs to start, stop, move or give up.

This module does no I/O and reads no clock. Its inputs are replies of workers, stored records and
the time; its outputs are orders, which a `CellRunner` carries out. There is one `Cell` object for
each term of ownership.

No task may have two runs at once
---------------------------------
A task is started only when no other run of it can still be going on.

A start that was not answered may be carried out seconds later. Its run stays `unconfirmed` until a
later list of the worker's runs shows it, or the worker's clock has passed the deadline of the
start, or the worker has accepted a stop of that run, after which the run can never start there.
A later boot of the worker may still carry the start out, see `latestarts`.

A run on an unresponsive worker is over when the worker's clock has certainly passed every deadline
that the worker was ever given. A later owner may extend the worker's lease or acknowledge the end
of the run, so what follows from the time that has passed, or from another boot of a worker, counts
only once a read of the log that was sent afterwards has shown no later owner.

A task that an earlier owner may have started is `maybe_running` until it is ruled out on every
registered worker, see `registration`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from greengagewood.internal.cells.crashes import CrashTracker, find_undecided, outlives
from greengagewood.internal.cells.fleet import (
    MAX_ORDER_DELAY_MS,
    UNRESPONSIVE_AFTER_MS,
    InheritedRuns,
    Worker,
    late_start_expiry_ms,
    longest_ms,
)
from greengagewood.internal.cells.forecast import LoadObserver
from greengagewood.internal.cells.latestarts import LateStarts
from greengagewood.internal.cells.orders import (
    Changes,
    Order,
    StartRun,
    ThrottleRun,
)
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.cells.registration import (
    inherit_runs,
    is_record_outdated,
    registration_record,
    tasks_held_back,
)
from greengagewood.internal.cells.stops import StopPlanner
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.book import JobBook, Run, Task
from greengagewood.internal.jobs.model import Queue
from greengagewood.internal.jobs.records import (
    Forecast,
    Progress,
    Record,
    RegisteredWorkers,
    Submission,
)
from greengagewood.internal.ports import LeaseReply, RunEnd, RunningTask, WorkerInfo

__all__ = ["Cell", "CellLimits"]

MAX_STOP_MS = 2_000  # a run ends well within this time after its worker has accepted a stop
MAX_STARTS_PER_PLAN = 200  # so that no plan delays the replies of workers for long
REFUSAL_DELAY_MS = 150  # before a refused task, or a worker that lacked resources, is tried again
FIRST_REFUSAL_BACKOFF_MS = 400  # by then, the run ends that the worker lists next are known
LONGEST_REFUSAL_BACKOFF_MS = 2_000  # room that is back must be used within 3 s
FIRST_WORKER_BACKOFF_MS = 1_000  # each backoff is twice as long as the last, until a success
LONGEST_WORKER_BACKOFF_MS = 8_000
ADOPTION_REPORT_DELAY_MS = 1_500  # an adoption that takes longer is reported, and again after this
MAX_REPORTED_WORKERS = 10  # bounds the length of a log line
FAILURES_BEFORE_BACKOFF = 3  # among a worker's last eight outcomes, with no success among them


@dataclass(frozen=True)
class CellLimits:
    """Time limits in milliseconds.

    `lease_ms` is the length of a worker's lease. `confirmation_timeout_ms` is how long an owner may
    send orders after the last read that confirmed its ownership and the last stored heartbeat, and
    so how long an earlier owner may have sent orders after its last heartbeat.
    """

    lease_ms: int
    confirmation_timeout_ms: int


class Cell:
    """Decisions for one cell during one term of ownership."""

    def __init__(
        self,
        limits: CellLimits,
        token: int,
        now_ms: int,
        settled_offset: int = 0,
        claim_offset: int = 0,
        confirmed_ms: int | None = None,
        earlier_heartbeat_ms: int | None = None,
    ) -> None:
        """Begin a term.

        The read that confirmed the ownership was sent at `confirmed_ms`, and the last heartbeat of
        earlier owners was read at `earlier_heartbeat_ms`; both are now by default.
        """
        self.limits = limits
        self.token = token
        self.book = JobBook()
        self.workers: dict[str, Worker] = {}
        self.planner = Planner(self.book, self.workers, token, settled_offset, claim_offset)
        self._load = LoadObserver(self.book, self.planner, token)
        self.on_event: Callable[[str, dict[str, object]], None] = lambda event, fields: None
        self._crashes = CrashTracker(self.book, lambda event, fields: self.on_event(event, fields))
        self._late_starts = LateStarts(limits.lease_ms)
        self._stops = StopPlanner(self.workers, self.planner)
        self._copies_due = False  # whether runs were scanned since copies were last planned
        # When every lease and order of earlier owners has certainly expired: an earlier owner may
        # have extended leases until the confirmation by its last heartbeat timed out.
        self._earlier_orders_expiry_ms = (
            (now_ms if earlier_heartbeat_ms is None else earlier_heartbeat_ms)
            + limits.confirmation_timeout_ms
            + longest_ms(limits.lease_ms)
        )
        # When every start of earlier owners is over that a later boot of a worker may carry out.
        self._earlier_starts_expiry_ms = self._earlier_orders_expiry_ms + MAX_ORDER_DELAY_MS
        self._registration_due = False
        self._directory_unread = True
        self.planner.confirmed_ms = now_ms if confirmed_ms is None else confirmed_ms
        self._unconfirmed_losses: dict[Task, int] = {}  # when their runs were found to be lost
        self._adopting = True  # until every worker is known to have no other runs of the cell
        self._last_adoption_ms = 0  # when a worker was last adopted
        self._adoption_report_ms = now_ms + ADOPTION_REPORT_DELAY_MS
        self._starts_suspended = False  # whether the evacuation orders are not known
        self._saturated_services: set[str] = set()  # of the last forecast

    def note_confirmed(self, sent_ms: int) -> None:
        """Record that a read of the cell's log sent at `sent_ms` has shown no later owner."""
        if self._confirmed_ms <= self._last_adoption_ms < sent_ms:
            self.planner.request_replan()
        self.planner.confirmed_ms = max(self._confirmed_ms, sent_ms)

    @property
    def _confirmed_ms(self) -> int:
        return self.planner.confirmed_ms

    def awaits_confirmation(self, now_ms: int) -> bool:
        """Return whether tasks wait only for a read that confirms the ownership."""
        return (
            bool(self._unconfirmed_losses)
            or self._last_adoption_ms >= self._confirmed_ms
            or any(
                worker.unresponsive
                and worker.runs
                and worker.orders_expired(now_ms)
                and not worker.orders_expired(self._confirmed_ms)
                for worker in self.workers.values()
            )
        )

    # Jobs.

    def add_job(
        self,
        submission: Submission,
        progress: Progress | None,
        never_started: bool,
        now_ms: int,
        log_offset: int = 0,
    ) -> None:
        """Add a job; with `never_started`, no earlier owner can have started any of its tasks."""
        self.planner.queues.setdefault(submission.queue.name, submission.queue)
        job = self.book.add(submission, progress, not never_started, now_ms, log_offset)
        if job is not None:
            self.planner.values.note_job(job)
            self._load.note_arrival(job)
            self._crashes.restore(job)

    def cancel(self, job_id: str, now_ms: int) -> None:
        """Cancel a job; the next plan stops its runs."""
        job = self.book.cancel(job_id, now_ms)
        if job is not None:
            self._stops.request_scan()
            self.on_event("job_cancelled", {"job": job_id})
        elif job_id not in self.book.jobs:
            self.on_event("unknown_job_cancelled", {"job": job_id})

    def set_queues(self, queues: dict[str, Queue]) -> None:
        """Update the queues; a queue missing from the new ones keeps its last settings."""
        self.planner.queues.update(queues)
        self.planner.request_replan()

    def set_evacuations(self, evacuations: Evacuations, now_ms: int) -> None:
        """Start nothing more in the domains of these orders; the first ones must be recent."""
        known = self.planner.evacuations
        if known is None and not evacuations.may_begin_term(now_ms):
            return
        self.planner.evacuations = evacuations
        domains_before = known.domains if known is not None else frozenset[str]()
        if evacuations.domains != domains_before:
            self.planner.request_replan()
        for event, domains in (
            ("evacuation_in_force", evacuations.domains - domains_before),
            ("evacuation_withdrawn", domains_before - evacuations.domains),
        ):
            for domain in sorted(domains):
                read_age_ms = now_ms - evacuations.read_ms
                self.on_event(
                    event,
                    {"domain": domain, "offset": evacuations.offset, "read_age_ms": read_age_ms},
                )

    @property
    def evacuated_worker_count(self) -> int:
        """Return how many workers of the directory are in evacuated domains."""
        return sum(
            worker.in_directory and self.planner.is_evacuated(worker)
            for worker in self.workers.values()
        )

    # Workers.

    def set_workers(
        self, listed: dict[str, WorkerInfo], now_ms: int, read_ms: int | None = None
    ) -> None:
        """Apply the workers that the directory listed at `read_ms`, by default now."""
        self.planner.directory_read_ms = now_ms if read_ms is None else read_ms
        for name, info in listed.items():
            worker = self.workers.get(name)
            if worker is None:
                self._add_worker(info, now_ms)
            elif info.boot_time_ms > worker.info.boot_time_ms > 0:
                self._replace_rebooted(worker, info, now_ms)
            elif worker.is_newer_than(info):
                continue  # the directory lags behind what the worker itself has said
            else:
                self._update_worker(worker, info, now_ms)
        for name, worker in list(self.workers.items()):
            worker.in_directory = name in listed and not worker.is_newer_than(listed[name])
            if (
                not worker.in_directory
                and worker.unresponsive
                and not worker.runs
                and worker.orders_expired(self._confirmed_ms)
            ):
                self._remove_worker(worker)
        # The first record of a term replaces that of the earlier owner, which no longer applies.
        self._registration_due |= self._directory_unread or any(
            is_record_outdated(worker, now_ms) for worker in self.workers.values()
        )
        self._directory_unread = False
        self._update_slow_workers(now_ms)
        self.planner.request_replan()

    def _update_slow_workers(self, now_ms: int) -> None:
        """Mark the workers that are clearly slower than others of their service."""
        run_times = self.planner.run_times
        by_service: dict[str, list[str]] = {}
        for worker in self.workers.values():
            by_service.setdefault(worker.info.service, []).append(worker.name)
        for names in by_service.values():
            slow = run_times.slow_workers(names, now_ms)
            for worker in (self.workers[name] for name in names):
                if worker.slow == (worker.name in slow):
                    continue
                worker.slow = not worker.slow
                self.on_event(
                    "worker_slow" if worker.slow else "worker_fast_again",
                    {
                        "worker": worker.name,
                        "speed_percent": round(100 * run_times.worker_speed(worker.name, now_ms)),
                    },
                )

    def _add_worker(self, info: WorkerInfo, now_ms: int) -> Worker:
        worker = Worker(info, now_ms)
        self.workers[info.worker_id] = worker
        return worker

    def _update_worker(self, worker: Worker, info: WorkerInfo, now_ms: int) -> None:
        if info.draining and not worker.info.draining:
            self.on_event("worker_draining", {"worker": info.worker_id})
        if info.boot_time_ms != worker.info.boot_time_ms:
            worker.boot_known_ms = now_ms
        worker.update_info(info, now_ms)

    def set_registered_workers(
        self, registered: RegisteredWorkers, read_ms: int, now_ms: int
    ) -> None:
        """Add the workers to which earlier owners may have sent orders, by a record read earlier.

        A worker that the directory does not list is added as draining and without resources.
        """
        limits_apply = registered.token == self.token - 1
        for stored in registered.workers:
            worker = self.workers.get(stored.worker_id)
            if worker is None:
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
                worker = self._add_worker(info, now_ms)
                worker.in_directory = False
            inherit_runs(worker, stored, read_ms, self._earlier_orders_expiry_ms, limits_apply)

    def _replace_rebooted(self, worker: Worker, info: WorkerInfo, now_ms: int) -> None:
        """Replace a worker that has rebooted, and so has none of its earlier runs."""
        self.on_event("worker_reborn", {"worker": info.worker_id, "runs": len(worker.runs)})
        undecided = find_undecided(worker)
        self._crashes.handle_crash(worker, now_ms, undecided)
        self.planner.run_times.forget_worker(worker.name)
        rebooted = Worker(
            info,
            now_ms,
            registered=worker.registered,
            in_directory=worker.in_directory,
            lease_limited=worker.lease_limited,
        )
        if worker.unlisted_runs(self._confirmed_ms):  # a late start may still reach the new boot
            rebooted.inherited = worker.inherited
            rebooted.earlier_orders_expiry_ms = worker.earlier_orders_expiry_ms
        self.workers[info.worker_id] = rebooted
        self._hold_back_lost_tasks(worker, now_ms)
        for run in undecided:
            # The lists of the new boot show which of the two has accepted it.
            worker.remove_run(run)
            run.stop_sent_ms = run.stop_answered_ms = None
            rebooted.add_run(run)
            self._expect_lease(rebooted, run)
        for run in [run for run in worker.runs.values() if run.accepted_ms is None]:
            # The start may not have reached the old boot, so the new boot may receive it. It
            # compares the deadline with its own clock, which has started anew.
            worker.remove_run(run)
            run.stop_sent_ms = run.stop_answered_ms = None
            self._expect_late_start(rebooted, run, now_ms)
        self._hold_back_inherited(worker, rebooted, now_ms)
        self._mark_runs_lost(worker, now_ms, "reborn")
        for ruled_out in self._late_starts.forget_worker(worker):
            self._expect_late_start(rebooted, self._reopen_start(ruled_out), now_ms)
        self._stops.request_scan()

    def _hold_back_inherited(self, worker: Worker, rebooted: Worker, now_ms: int) -> None:
        """Hold back the tasks that a worker ran for earlier owners until its new boot answers.

        An earlier owner may have sent a start before that of the present run, without an answer.
        The old boot has ruled it out, but the new boot may carry it out.
        """
        tasks = [
            run.task
            for run in worker.runs.values()
            if not run.start_deadline_ms and run.task.run is run and not run.task.end_state
        ]
        if not tasks or self._confirmed_ms > self._earlier_starts_expiry_ms:
            return
        for task in tasks:
            self.book.note_maybe_running(task)
        runs = InheritedRuns(frozenset(task.id for task in tasks), self._earlier_starts_expiry_ms)
        rebooted.inherited = (*rebooted.inherited, runs)
        rebooted.earlier_orders_expiry_ms = max(rebooted.earlier_orders_expiry_ms, runs.expiry_ms)

    def _expect_lease(self, rebooted: Worker, run: Run) -> None:
        """Count the lease of a run that a new boot may have accepted, whose clock is not known."""
        assert run.accepted_ms is not None
        rebooted.earlier_orders_expiry_ms = max(
            rebooted.earlier_orders_expiry_ms, run.accepted_ms + longest_ms(self.limits.lease_ms)
        )

    def _expect_late_start(self, rebooted: Worker, run: Run, now_ms: int) -> None:
        """Add a run that a new boot may still start, or has started."""
        rebooted.add_run(run)
        deadline_ms = run.start_deadline_ms
        rebooted.latest_deadline_ms = max(rebooted.latest_deadline_ms, deadline_ms)
        order_ms = min(deadline_ms, MAX_ORDER_DELAY_MS) + self.limits.lease_ms
        rebooted.earlier_orders_expiry_ms = max(
            rebooted.earlier_orders_expiry_ms, now_ms + longest_ms(order_ms)
        )

    def _reopen_start(self, ruled_out: Run) -> Run:
        """Return an unconfirmed run for a start that an earlier boot had ruled out.

        Its task waits for it. If the task has ended, or waits for another such run, the run is only
        stopped.
        """
        task = ruled_out.task
        started_ms, deadline_ms = ruled_out.started_ms, ruled_out.start_deadline_ms
        place = (ruled_out.number, ruled_out.worker_id, ruled_out.rack)
        if task.run is None and not task.end_state and not task.step.job.is_final:
            run = self.book.attach_run(task, *place, "starting", started_ms, deadline_ms)
        else:
            run = Run(task, *place, "starting", started_ms, deadline_ms)
        run.transition("unanswered")
        return run

    def _remove_worker(self, worker: Worker) -> None:
        """Remove a worker that has no runs."""
        del self.workers[worker.name]
        self.planner.run_times.forget_worker(worker.name)
        self._registration_due = True
        self.on_event("worker_forgotten", {"worker": worker.name})

    def _hold_back_lost_tasks(self, worker: Worker, now_ms: int) -> None:
        """Start the tasks of a boot that is gone only once a read confirms the ownership.

        A later owner may have acknowledged that they are done before the boot was gone.
        """
        for run in worker.runs.values():
            run.task.loss_unconfirmed = True
            self.book.unmark_waiting(run.task)
            self._unconfirmed_losses[run.task] = now_ms

    def _confirm_losses(self) -> None:
        """Queue the tasks whose runs were lost before the last confirmed read was sent."""
        for task, lost_ms in list(self._unconfirmed_losses.items()):
            if lost_ms < self._confirmed_ms:
                del self._unconfirmed_losses[task]
                task.loss_unconfirmed = False
                self._queue_again(task)

    def _mark_runs_lost(self, worker: Worker, now_ms: int, reason: str) -> None:
        lost = [
            run
            for run in worker.runs.values()
            # A later boot may still carry out a start that was not answered.
            if reason != "lapsed"
            or self._confirmed_ms > late_start_expiry_ms(run, self.limits.lease_ms)
        ]
        if lost and reason == "lapsed":
            self._crashes.keep_suspects(worker)
        for run in lost:
            self._end_run(worker, run, "lost", now_ms)
            answered_ms = worker.last_answer_ms
            self.on_event(
                "run_lost",
                {
                    "task": run.task.id,
                    "run": run.number,
                    "worker": worker.name,
                    "reason": reason,
                    "silent_ms": None if answered_ms is None else now_ms - answered_ms,
                    "confirmed_ago_ms": now_ms - self._confirmed_ms,
                },
            )
            self._queue_again(run.task)

    def _end_run(self, worker: Worker, run: Run, event: str, now_ms: int) -> None:
        run.transition(event)
        worker.remove_run(run)
        self._crashes.forget_undecided(run)
        self.book.detach_run(run, now_ms)

    def _queue_again(self, task: Task) -> None:
        """Queue the task for another start, unless it or its job has ended."""
        if task.end_state or task.step.job.is_final:
            return
        self.book.mark_waiting(task)

    # Replies of workers.

    def prepare_lease_extension(self, worker: Worker, now_ms: int) -> tuple[int | None, int]:
        """Return the deadline of a worker's new lease, and the number of its last stored run end.

        The deadline is None if the worker's clock was never read. It is also None while the worker
        does not answer, so that its lease expires and its tasks can be started elsewhere, and until
        a stored record no longer says when its lease expires.

        After a call without an answer another boot may receive the next one, whose ends have other
        sequence numbers, so none is acknowledged.
        """
        deadline = None
        # What an earlier owner has started may go on unlisted until the worker is adopted.
        if worker.adopted and not worker.unresponsive and not worker.lease_limited:
            deadline = worker.deadline_in(self.limits.lease_ms, now_ms)
        if deadline is not None:
            worker.latest_deadline_ms = max(worker.latest_deadline_ms, deadline)
        return deadline, 0 if worker.lease_call_failed else worker.acknowledged_sequence

    def handle_lease_reply(
        self, worker: Worker, reply: LeaseReply, sent_ms: int, now_ms: int
    ) -> list[Order]:
        """Process a worker's list of its runs and ends; return orders to send at once."""
        if self.workers.get(worker.name) is not worker:
            return []
        if reply.boot_time_ms and reply.boot_time_ms != worker.info.boot_time_ms:
            listed_boot = replace(worker.info, boot_time_ms=reply.boot_time_ms)
            is_earlier = reply.boot_time_ms < worker.info.boot_time_ms
            if is_earlier and sent_ms < worker.boot_known_ms:
                return []  # that boot was gone when the directory was read
            if worker.info.boot_time_ms:  # a later boot; earlier if its time of day was set back
                self._replace_rebooted(worker, listed_boot, now_ms)
                rebooted = self.workers[worker.name]
                # The new boot may have another capacity and labels, which its entry will show.
                rebooted.in_directory = False
                return self.handle_lease_reply(rebooted, reply, sent_ms, now_ms)
            # Without it, the ends of a later boot would be taken for those that this one lists.
            worker.info = listed_boot
        worker.note_clock(reply.clock_ms, now_ms)
        if worker.unresponsive:
            worker.unresponsive = False
            if not worker.registered:
                self._registration_due = True
            self.on_event("worker_answers", {"worker": worker.name})
        worker.last_answer_ms = now_ms
        worker.list_requested_ms = sent_ms
        worker.lease_call_failed = False
        worker.failing_since_ms = None
        self._crashes.handle_answer(worker, reply.boot_time_ms, now_ms)
        for end in reply.ended:
            if end.sequence > worker.last_end_sequence:
                worker.last_end_sequence = end.sequence
                self._handle_run_end(worker, end, now_ms)
        orders: list[Order] = []
        listed_keys: set[tuple[Task, int]] = set()
        for listed_run in reply.running:
            task = self.book.find_listed_task(listed_run.task_id, self._adopting)
            if task is None or not self._match_listed_run(worker, task, listed_run, now_ms):
                task = self._track_unexpected_run(worker, listed_run, now_ms)
            if task is not None:
                listed_keys.add((task, listed_run.run_number))
            elif stop := self._stops.stop_unknown_run(worker, listed_run, now_ms):
                orders.append(stop)
        self._end_unlisted_runs(worker, reply, listed_keys, sent_ms, now_ms)
        self._late_starts.note_list(worker, sent_ms)
        self.planner.tail_model.learn(worker, now_ms)
        if not worker.adopted and (reply.complete or not worker.unlisted_runs(self._confirmed_ms)):
            worker.adopted = True
            worker.adopted_ms = self._last_adoption_ms = now_ms
            worker.inherited = ()
            self._shorten_earlier_expiry(worker, now_ms)
            self.on_event("worker_adopted", {"worker": worker.name, "runs": len(listed_keys)})
        orders.extend(
            self.planner.tail_model.plan_speed_limits(
                worker, now_ms, lambda run: self.planner.value_density(run.task.step, now_ms)
            )
        )
        self.planner.request_replan()
        return orders

    def _shorten_earlier_expiry(self, worker: Worker, now_ms: int) -> None:
        """Bound the orders of earlier owners to a worker that has just accepted this one's token.

        None of them arrives any more, so the longest lease that they can have given begins now.
        """
        if any(run.accepted_ms is None for run in worker.runs.values()):
            return  # a start sent to an earlier boot may still reach this one
        worker.earlier_orders_expiry_ms = min(
            worker.earlier_orders_expiry_ms, now_ms + longest_ms(self.limits.lease_ms)
        )

    def _match_listed_run(
        self, worker: Worker, task: Task, listed_run: RunningTask, now_ms: int
    ) -> bool:
        """Update the run that a worker lists; return False if the run must be stopped."""
        job = task.step.job
        run = worker.runs.get((task, listed_run.run_number))
        if run is None:
            if task.run is not None or task.end_state or job.is_final:
                return False
            run = self.book.attach_run(
                task, listed_run.run_number, worker.name, worker.info.rack, "running", now_ms
            )
            run.note_accepted(now_ms)
            run.resumed = True
            worker.add_run(run)
        elif run.state in ("starting", "unconfirmed"):
            run.transition("accepted")
            run.note_accepted(now_ms)
        self._crashes.forget_undecided(run)
        self.book.note_started(job)
        run.listed_ms = now_ms
        if not listed_run.measured:
            run.progress_changed_ms = now_ms  # nothing shows that it is stuck
            self.book.note_checkpoint(task, listed_run.checkpoint)
            return True
        if listed_run.progress_percent != run.progress_percent:
            run.progress_percent = listed_run.progress_percent
            run.progress_changed_ms = now_ms
        if not run.outlived and outlives(run, worker.clock_ms, now_ms):
            self._crashes.handle_outlived(worker, run)
        run.tail_ms_or_cpu_millis = listed_run.tail_ms_or_cpu_millis
        self.planner.run_times.note_listed(run, now_ms)
        if run is not task.copy:  # a copy may be behind the first run
            self.book.note_checkpoint(task, listed_run.checkpoint)
        return True

    def _track_unexpected_run(
        self, worker: Worker, listed_run: RunningTask, now_ms: int
    ) -> Task | None:
        """Keep resources allocated to a listed run until it has stopped; return its task.

        Return None if the job or its step is not known.
        """
        for run in worker.runs.values():
            if run.task.id == listed_run.task_id and run.number == listed_run.run_number:
                return run.task
        task = self.book.placeholder_task(listed_run.task_id)
        if task is not None:
            run = Run(task, listed_run.run_number, worker.name, worker.info.rack, "running", now_ms)
            run.accepted_ms = run.listed_ms = now_ms
            worker.add_run(run)
            self._report_unexpected_run(worker, run, now_ms)
        return task

    def _report_unexpected_run(self, worker: Worker, run: Run, now_ms: int) -> None:
        """Report a listed run that this owner did not know, or took to be over."""
        task = self.book.find_task(run.task.id)
        ended_ms = task.last_run_ended_ms if task is not None else 0
        self.on_event(
            "unexpected_run",
            {
                "task": run.task.id,
                "run": run.number,
                "worker": worker.name,
                "job_state": run.task.step.job.state,
                "other_run": task.run.number if task is not None and task.run is not None else None,
                "run_ended_ago_ms": now_ms - ended_ms if ended_ms else None,
            },
        )

    def _end_unlisted_runs(
        self,
        worker: Worker,
        reply: LeaseReply,
        listed_keys: set[tuple[Task, int]],
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """End the runs that the worker does not list, if they are over or can never start."""
        for key, run in list(worker.runs.items()):
            if key in listed_keys:
                continue
            # The worker refuses a start after its deadline.
            start_expired = reply.clock_ms > run.start_deadline_ms > 0 and run.accepted_ms is None
            # The worker accepted a stop before the list was requested, so the run cannot start.
            stop_done = run.stop_answered_ms is not None and run.stop_answered_ms < sent_ms
            # The worker had the run before the list was requested, and has it no longer.
            vanished = run.accepted_ms is not None and run.accepted_ms < sent_ms
            if not reply.complete:  # only a stop shows that the run is not one of those missing
                start_expired = vanished = False
                stop_done = stop_done and sent_ms - (run.stop_answered_ms or 0) > MAX_STOP_MS
            if run.state == "unconfirmed" and (start_expired or stop_done):
                self._end_run(worker, run, "ruled_out", now_ms)
                self._late_starts.add(worker, run, now_ms)
                self._queue_again(run.task)
            elif run.state in ("running", "stopping") and (vanished or stop_done or start_expired):
                self._crashes.handle_unlisted(run, now_ms)
                self._end_run(worker, run, "lost", now_ms)
                self._late_starts.add(worker, run, now_ms)
                self.on_event(
                    "run_unlisted",
                    {"task": run.task.id, "run": run.number, "worker": worker.name},
                )
                self._queue_again(run.task)

    def _handle_run_end(self, worker: Worker, end: RunEnd, now_ms: int) -> None:
        """Process the end of a run; queue its task again unless the task or its job has ended."""
        unexpected = [
            run
            for run in worker.runs.values()
            if run.task.end_state == "unexpected"
            and (run.task.id, run.number) == (end.task_id, end.run_number)
        ]
        for placeholder in unexpected:
            self._end_run(worker, placeholder, "ended", now_ms)
        task = self.book.find_listed_task(end.task_id, self._adopting)
        if task is None:
            if unexpected:
                self._report_run_end(worker, end)
            return
        self.book.note_started(task.step.job)
        run = worker.runs.get((task, end.run_number))
        if run is not None:
            if end.result == "done" and task.copy is not None and not task.end_state:
                self._note_copy_outcome(run, now_ms)
            if end.result in ("done", "failed"):
                self._crashes.handle_outlived(worker, run)
            if end.result == "done":
                self.planner.run_times.note_end(run, now_ms)
            self._end_run(worker, run, "ended", now_ms)
        self.book.note_checkpoint(task, end.checkpoint)
        step = task.step
        self._report_run_end(worker, end)
        if end.result == "done" and not step.spec.long_running:
            worker.note_outcome(True)
            self.book.note_task_done(task, now_ms)
            return
        if task.end_state or step.job.is_final:
            return
        if end.result == "failed":
            self._handle_failed_run(worker, task, end, now_ms)
        if not task.maybe_running:
            self._queue_again(task)

    def _report_run_end(self, worker: Worker, end: RunEnd) -> None:
        self.on_event(
            "run_ended",
            {"task": end.task_id, "run": end.run_number, "worker": worker.name, "how": end.result},
        )

    def _note_copy_outcome(self, run: Run, now_ms: int) -> None:
        """Record which of a task's two runs has ended first; the next plan stops the other."""
        task = run.task
        copy_won = run is task.copy
        self.planner.copies.note_outcome(run, copy_won, now_ms)
        self._stops.request_scan()
        self.on_event(
            "copy_ended_first" if copy_won else "copy_not_needed",
            {"task": task.id, "run": run.number, "worker": run.worker_id},
        )

    def _handle_failed_run(self, worker: Worker, task: Task, end: RunEnd, now_ms: int) -> None:
        worker.note_outcome(False)
        if sum(not ok for ok in worker.recent_outcomes) >= FAILURES_BEFORE_BACKOFF and not any(
            worker.recent_outcomes
        ):
            worker.back_off(now_ms, FIRST_WORKER_BACKOFF_MS, LONGEST_WORKER_BACKOFF_MS)
            self.on_event("worker_shunned", {"worker": worker.name, "for_ms": worker.backoff_ms})
        task.failed_workers = (*task.failed_workers, worker.name)[-4:]
        attempts = self.planner.queue_of(task.step.job).max_attempts
        self.book.note_run_failed(task, end.run_number, attempts, now_ms)
        if task.step.job.state == "failed":
            self._stops.request_scan()
            self.on_event(
                "job_failed", {"job": task.id.job_id, "task": task.id, "attempts": attempts}
            )

    def note_lease_failure(self, worker: Worker, now_ms: int) -> None:
        """Record that a worker did not answer a lease extension."""
        worker.lease_call_failed = True
        self._crashes.note_failed_call(worker, now_ms)
        self.note_lease_refused(worker, now_ms)

    def note_lease_refused(self, worker: Worker, now_ms: int) -> None:
        """Record that a worker did not extend the lease; after some time it counts as silent."""
        if worker.unresponsive or self.workers.get(worker.name) is not worker:
            return
        since = worker.last_answer_ms if worker.last_answer_ms is not None else worker.added_ms
        if now_ms - since > UNRESPONSIVE_AFTER_MS or worker.last_answer_ms is None:
            worker.unresponsive = True
            self.on_event("worker_silent", {"worker": worker.name, "runs": len(worker.runs)})

    def note_wrong_boot(self, worker: Worker, now_ms: int) -> None:
        """Record that another boot answers at the worker's address, so this one is gone."""
        if self.workers.get(worker.name) is worker:
            self.on_event("worker_replaced", {"worker": worker.name, "runs": len(worker.runs)})
            self._crashes.handle_crash(worker, now_ms)
            self._hold_back_lost_tasks(worker, now_ms)
            self._mark_runs_lost(worker, now_ms, "replaced")
            self._late_starts.forget_worker(worker)
            worker.unresponsive = True
            worker.adopted = False
            worker.latest_deadline_ms = 0
            worker.earlier_orders_expiry_ms = 0
            worker.inherited = ()
            worker.clock_read_ms = None

    def handle_start_reply(self, worker: Worker, run: Run, reason: str, now_ms: int) -> list[Order]:
        """Process the reply to a start; an empty reason means that it was accepted."""
        if reason == "unreachable":
            self._crashes.note_failed_call(worker, now_ms)
        elif worker.failing_since_ms is not None and worker.failing_since_ms < run.started_ms:
            worker.failing_since_ms = None
        if run.state not in ("starting", "stopping"):
            return []
        worker = self._holder(worker, run)
        if not reason:
            if run.state == "starting":
                run.transition("accepted")
            run.note_accepted(now_ms)
            worker.note_room_granted()
            self.book.note_started(run.task.step.job)
            if run.initial_speed_percent < run.speed_percent:
                return [ThrottleRun(worker, run, run.initial_speed_percent)]
            return []
        if run is run.task.copy:
            run.task.was_copied = False  # another worker may take it
        self._end_run(worker, run, "refused", now_ms)
        run.task.not_before_ms = now_ms + REFUSAL_DELAY_MS
        if reason in ("unhealthy", "invalid"):
            worker.back_off(now_ms, FIRST_WORKER_BACKOFF_MS, LONGEST_WORKER_BACKOFF_MS)
        elif reason == "unreachable":
            worker.backoff_until_ms = max(worker.backoff_until_ms, now_ms + FIRST_WORKER_BACKOFF_MS)
        elif reason == "ticket":
            self.planner.note_permit_refused(run.task.step, worker.name)
        elif reason == "room":
            worker.backoff_until_ms = max(worker.backoff_until_ms, now_ms + REFUSAL_DELAY_MS)
            worker.note_room_refused(
                run.task.step.spec, now_ms, FIRST_REFUSAL_BACKOFF_MS, LONGEST_REFUSAL_BACKOFF_MS
            )
        self.on_event(
            "start_refused",
            {"task": run.task.id, "run": run.number, "worker": worker.name, "reason": reason},
        )
        self._queue_again(run.task)
        return []

    def _holder(self, worker: Worker, run: Run) -> Worker:
        """Return the boot to which a run that was sent to an earlier boot of it belongs now."""
        current = self.workers.get(worker.name, worker)
        return current if (run.task, run.number) in current.runs else worker

    def note_start_unanswered(self, run: Run, now_ms: int) -> None:
        """Record that a start was not answered, so it may or may not be carried out."""
        if run.state in ("starting", "stopping"):
            run.transition("unanswered")
            self._stops.request_scan()
            worker = self.workers.get(run.worker_id)
            if worker is not None:
                self._crashes.note_failed_call(worker, now_ms)

    def note_stop_accepted(self, worker: Worker, run: Run | None, now_ms: int) -> None:
        """Record that the worker has accepted a stop, so the run can no longer start there.

        A stop that was sent to an earlier boot says nothing of the boot that holds the run now.
        """
        if run is None or worker.runs.get((run.task, run.number)) is not run:
            return
        if run.stop_answered_ms is None:
            run.stop_answered_ms = now_ms

    # Orders.

    def plan_stops(self, now_ms: int) -> list[Order]:
        """Return the stops to send now.

        `plan` returns them too, but an error there must not keep runs from being stopped.
        """
        if not self._stops.is_scan_due(now_ms):
            return []
        self._copies_due = True
        self._report_overdue_runs(now_ms)
        return list(self._stops.plan(now_ms))

    def plan(self, now_ms: int, wall_ms: int, max_starts: int = MAX_STARTS_PER_PLAN) -> list[Order]:
        """Return the orders to send now; what may not start yet is left to a later plan."""
        self._confirm_losses()
        self._end_expired_runs(now_ms)
        if self._late_starts.forget_expired(self._confirmed_ms):
            self.planner.request_replan()
        self._open_due_occurrences(wall_ms)
        self._finish_adoption(now_ms)
        self._report_suspension(now_ms)
        orders = self.plan_stops(now_ms)
        max_starts = min(max_starts, MAX_STARTS_PER_PLAN)
        if self._copies_due:
            self._copies_due = False
            orders.extend(self._plan_copies(now_ms, max_starts))
        max_starts -= sum(isinstance(order, StartRun) for order in orders)
        starts = self.planner.plan(now_ms, max_starts)
        if len(starts) >= max_starts:
            self._load.note_short_plan(now_ms)
        orders.extend(starts)
        self._load.sample(self.workers.values(), now_ms)
        return orders

    def _report_overdue_runs(self, now_ms: int) -> None:
        """Report the runs that go on long after their jobs have ended."""
        for worker, run in self._stops.overdue_runs(now_ms):
            sent_ms, answered_ms = run.stop_sent_ms, worker.last_answer_ms
            self.on_event(
                "run_outlives_job",
                {
                    "task": run.task.id,
                    "run": run.number,
                    "worker": worker.name,
                    "job_state": run.task.step.job.state,
                    "run_state": run.state,
                    "for_ms": now_ms - (run.unwanted_since_ms or now_ms),
                    "stop_sent_ago_ms": None if sent_ms is None else now_ms - sent_ms,
                    "stop_accepted": run.stop_answered_ms is not None,
                    "silent_ms": None if answered_ms is None else now_ms - answered_ms,
                    "unresponsive": worker.unresponsive,
                },
            )

    def _plan_copies(self, now_ms: int, max_starts: int) -> list[Order]:
        orders: list[Order] = []
        for straggler, order in self.planner.plan_copies(max_starts, now_ms):
            orders.append(order)
            self.on_event(
                "copy_started",
                {
                    "task": order.run.task.id,
                    "run": order.run.number,
                    "worker": order.worker.name,
                    "straggler": straggler.run.worker_id,
                    "remaining_ms": straggler.remaining_ms,
                    "expected_ms": straggler.expected_ms,
                    "listed_ago_ms": now_ms - straggler.run.listed_ms,
                },
            )
        return orders

    def _end_expired_runs(self, now_ms: int) -> None:
        """End the runs on unresponsive workers whose leases have certainly expired."""
        for worker in list(self.workers.values()):
            if not worker.unresponsive or not worker.orders_expired(self._confirmed_ms):
                continue
            self._mark_runs_lost(worker, now_ms, "lapsed")
            worker.adopted = False
            if not worker.in_directory and not worker.runs:
                self._remove_worker(worker)

    def _open_due_occurrences(self, wall_ms: int) -> None:
        """Open the occurrences of timed jobs whose time has come."""
        for job in list(self.book.timed_jobs.values()):
            spec = job.submission.spec
            count = max(1, spec.occurrences)
            due = 1 + (wall_ms - spec.first_due_ms) // max(1, spec.interval_ms)
            if wall_ms < spec.first_due_ms:
                continue
            for number in range(min(count, due)):
                self.book.open_occurrence(job, number, self._adopting and job.maybe_inherited)

    def _finish_adoption(self, now_ms: int) -> None:
        """Mark the tasks as not running that no run of an earlier owner can go on with unlisted.

        A worker that accepts this owner's token may have rebooted since a later owner acknowledged
        the ends of its runs, so a read that was sent afterwards must show no later owner.
        """
        if not self._adopting and not self.book.maybe_running_tasks:
            return
        confirmed_ms = self._confirmed_ms
        unresolved = [w for w in self.workers.values() if w.unlisted_runs(confirmed_ms)]
        if unresolved:
            self._report_adoption(unresolved, now_ms)
        held_back = tasks_held_back(unresolved, confirmed_ms)
        if held_back is None:
            return
        if self._last_adoption_ms >= confirmed_ms:
            return
        if self._adopting and not unresolved:
            self._adopting = False
            self.on_event(
                "adopted",
                {
                    "unknown": len(self.book.maybe_running_tasks),
                    "confirmed_ago_ms": now_ms - self._confirmed_ms,
                },
            )
        for task in list(self.book.maybe_running_tasks):
            if task.id not in held_back:
                self.book.note_not_running(task, now_ms)

    def _report_adoption(self, unresolved: list[Worker], now_ms: int) -> None:
        """Report the workers that the adoption waits for, if it has taken long."""
        if now_ms < self._adoption_report_ms:
            return
        self._adoption_report_ms = now_ms + ADOPTION_REPORT_DELAY_MS
        self.on_event(
            "adoption_waits",
            {
                "workers": [worker.name for worker in unresolved[:MAX_REPORTED_WORKERS]],
                "worker_count": len(unresolved),
                "unlisted": sum(not worker.in_directory for worker in unresolved),
                "unknown": len(self.book.maybe_running_tasks),
                "for_ms": max(w.earlier_orders_expiry_ms for w in unresolved) - now_ms,
            },
        )

    def _report_suspension(self, now_ms: int) -> None:
        """Report when starts begin or cease to wait for a read of the evacuation orders."""
        suspended = not self.planner.evacuations_known
        if suspended == self._starts_suspended:
            return
        self._starts_suspended = suspended
        known = self.planner.evacuations
        self.on_event(
            "starts_suspended" if suspended else "starts_resumed",
            {"read_age_ms": now_ms - known.read_ms if known is not None else None},
        )

    # Changes to store.

    def collect_changes(self, wall_ms: int, now_ms: int, releasing: bool = False) -> Changes | None:
        """Return the changes to store and clear them; return None if there are none.

        With `releasing`, no orders may be sent afterwards.
        """
        book = self.book
        records: list[Record] = []
        urgent = False
        for job_id in book.changed_jobs:
            job = book.jobs.get(job_id)
            if job is not None:
                records.append(book.progress_record(job, wall_ms))
                urgent = urgent or job.is_final or not job.maybe_started_stored
        book.changed_jobs.clear()
        registered: tuple[Worker, ...] = ()
        if self._registration_due or releasing:
            self._registration_due = False
            record, registered = registration_record(
                self.workers.values(), book, self.token, now_ms, self.limits.lease_ms, releasing
            )
            records.append(record)
            urgent = True
        forecast = None if releasing else self._load.due_record(now_ms)
        if forecast is not None:
            self._report_saturation(forecast)
            records.append(forecast)
        end_sequences = {
            w: w.last_end_sequence
            for w in self.workers.values()
            if w.last_end_sequence > w.acknowledged_sequence
        }
        if not records and not end_sequences:
            return None
        return Changes(tuple(records), end_sequences, registered, urgent)

    def _report_saturation(self, forecast: Forecast) -> None:
        """Report the services of which best-effort tasks begin or cease to wait for long."""
        saturated = {service.service for service in forecast.services}
        for service in forecast.services:
            if service.service not in self._saturated_services:
                backlog_cpu_ms = sum(queue.cpu_ms for queue in service.queues)
                fields = {"backlog_cpu_ms": backlog_cpu_ms, "cpu_millis": service.cpu_millis}
                self.on_event("saturated", {"service": service.service, **fields})
        for name in sorted(self._saturated_services - saturated):
            self.on_event("saturation_ended", {"service": name})
        self._saturated_services = saturated

    @property
    def has_urgent_changes(self) -> bool:
        """Return whether a change must be stored without delay."""
        jobs = self.book.jobs
        return self._registration_due or any(
            jobs[job_id].is_final or not jobs[job_id].maybe_started_stored
            for job_id in self.book.changed_jobs
            if job_id in jobs
        )

    def note_changes_stored(self, changes: Changes) -> None:
        """Record that changes are stored, so that run ends may be acknowledged to the workers."""
        for record in changes.records:
            job = self.book.jobs.get(record.job_id) if isinstance(record, Progress) else None
            if job is not None:
                job.maybe_started_stored = True
        for worker, sequence in changes.end_sequences.items():
            worker.acknowledged_sequence = max(worker.acknowledged_sequence, sequence)
        for worker in changes.registered_workers:
            current = self.workers.get(worker.name)
            if current is not None:
                current.registered = True
                current.lease_limited = False
        self.planner.request_replan()

    def note_changes_unconfirmed(self, changes: Changes) -> None:
        """Record that changes may not be stored, so they must be stored again."""
        for record in changes.records:
            if isinstance(record, Progress):
                self.book.changed_jobs[record.job_id] = None
            elif isinstance(record, RegisteredWorkers):
                self._registration_due = True
            elif isinstance(record, Forecast):
                self._load.note_unconfirmed(record)

    def remove_jobs(self, job_ids: Iterable[str]) -> None:
        """Remove jobs that have ended."""
        for job_id in job_ids:
            self.book.remove(job_id)
