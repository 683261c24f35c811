"""Decisions of the owner of one cell: which runs to start, stop, move or give up.

This module does no I/O and reads no clock. Its inputs are replies of workers, stored records and
the time; its outputs are orders, which a `CellRunner` carries out. There is one `Cell` object for
each term of ownership. Its parts are `bootlife` (workers and their boots), `lists` (what workers
list), `adoption` (runs of earlier owners), `changes` (what to store), `planner` and `stops`.

No task may have two runs at once
---------------------------------
A task is started only when no other run of it can still be going on.

A start that was not answered may be carried out seconds later. Its run stays `unconfirmed` until a
later list of the worker's runs shows it, or the worker's clock has passed the deadline of the
start, or the worker has accepted a stop of that run, after which the run can never start there.
A later boot of the worker may still carry the start out, see `latestarts`.

What other answers and the end of a boot say of a run, see `answers` and `bootlife`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from greengagewood.internal.cells.adoption import Adoption
from greengagewood.internal.cells.answers import boot_of_answer, compare_boots
from greengagewood.internal.cells.bootlife import BootLives
from greengagewood.internal.cells.boots import Boot, longest_ms
from greengagewood.internal.cells.changes import ChangeLog
from greengagewood.internal.cells.crashes import CrashTracker
from greengagewood.internal.cells.failures import (
    FIRST_WORKER_BACKOFF_MS,
    LONGEST_WORKER_BACKOFF_MS,
    FailureTracker,
)
from greengagewood.internal.cells.forecast import LoadObserver
from greengagewood.internal.cells.latestarts import LateStarts
from greengagewood.internal.cells.lists import RunLists
from greengagewood.internal.cells.orders import (
    Changes,
    Order,
    StartRun,
    ThrottleRun,
)
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.cells.stops import StopPlanner
from greengagewood.internal.cells.term import CellLimits, EventSink, Term
from greengagewood.internal.cells.waits import WaitReports
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.book import JobBook, Run
from greengagewood.internal.jobs.model import Queue
from greengagewood.internal.jobs.records import Progress, RegisteredWorkers, Submission
from greengagewood.internal.ports import RunListPage, WorkerInfo

__all__ = ["Cell", "CellLimits"]

MAX_STARTS_PER_PLAN = 200  # so that no plan delays the replies of workers for long
REFUSAL_DELAY_MS = 150  # before a refused task, or a worker that lacked resources, is tried again
FIRST_REFUSAL_BACKOFF_MS = 400  # by then, the run ends that the worker lists next are known
LONGEST_REFUSAL_BACKOFF_MS = 2_000  # room that is back must be used within 3 s


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
        last_ordering_token: int | None = None,
    ) -> None:
        """Begin a term.

        The read that confirmed the ownership was sent at `confirmed_ms`, and the last heartbeat of
        earlier owners with orders was read at `earlier_heartbeat_ms`; both are now by default. The
        last of these owners is by default the one directly before.
        """
        self.token = token
        self.book = JobBook()
        self.boots: dict[str, Boot] = {}  # the present boots, by the ID of their workers
        self.planner = Planner(self.book, self.boots, token, settled_offset, claim_offset)
        self.planner.confirmed_ms = now_ms if confirmed_ms is None else confirmed_ms
        # An earlier owner may have extended leases until the confirmation by its last heartbeat
        # timed out.
        earlier_orders_expiry_ms = (
            (now_ms if earlier_heartbeat_ms is None else earlier_heartbeat_ms)
            + limits.confirmation_timeout_ms
            + longest_ms(limits.lease_ms)
        )
        failures = FailureTracker(
            self.book, self.boots, lambda event, fields: self.term.emit(event, fields)
        )
        self.term = Term(
            limits,
            token,
            self.book,
            self.boots,
            self.planner,
            StopPlanner(self.boots, self.planner, failures),
            CrashTracker(self.book, lambda event, fields: self.term.emit(event, fields)),
            failures,
            LateStarts(limits.lease_ms),
            earlier_orders_expiry_ms,
            token - 1 if last_ordering_token is None else last_ordering_token,
        )
        self._lives = BootLives(self.term)
        self._adoption = Adoption(self.term, now_ms)
        self._lists = RunLists(self.term, self._lives, self._adoption)
        self._load = LoadObserver(self.book, self.planner, token)
        self._changes = ChangeLog(self.term, self._load)
        self._waits = WaitReports(self.book, self.boots, self.planner)
        self._copies_due = False  # whether runs were scanned since copies were last planned
        self._starts_suspended = False  # whether the evacuation orders are not known

    @property
    def on_event(self) -> EventSink:
        """Return the function to which events are reported."""
        return self.term.on_event

    @on_event.setter
    def on_event(self, sink: EventSink) -> None:
        self.term.on_event = sink

    def note_confirmed(self, sent_ms: int) -> bool:
        """Record that a read of the cell's log sent at `sent_ms` has shown no later owner.

        Return whether runs may now be started on workers on which they could not be before.
        """
        opens_workers = self.term.confirmed_ms <= self.term.last_adoption_ms < sent_ms
        if opens_workers:
            self.planner.request_replan()
        self.planner.confirmed_ms = max(self.term.confirmed_ms, sent_ms)
        return opens_workers

    def awaits_confirmation(self, now_ms: int) -> bool:
        """Return whether tasks wait only for a read that confirms the ownership."""
        confirmed_ms = self.term.confirmed_ms
        return (
            bool(self.term.unconfirmed_losses)
            or self.term.last_adoption_ms >= confirmed_ms
            or any(
                boot.unresponsive
                and boot.runs
                and boot.orders_expired(now_ms)
                and not boot.orders_expired(confirmed_ms)
                for boot in self.boots.values()
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
            self.term.crashes.restore(job, now_ms)

    def cancel(self, job_id: str, now_ms: int) -> None:
        """Cancel a job; the next plan stops its runs."""
        job = self.book.cancel(job_id, now_ms)
        if job is not None:
            self.term.stops.request_scan()
            self.term.emit("job_cancelled", {"job": job_id})
        elif job_id not in self.book.jobs:
            self.term.emit("unknown_job_cancelled", {"job": job_id})

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
                self.term.emit(
                    event,
                    {"domain": domain, "offset": evacuations.offset, "read_age_ms": read_age_ms},
                )

    @property
    def awaits_departures(self) -> bool:
        """Return whether a worker that drains has not answered, so it may just have left."""
        return any(boot.is_leaving for boot in self.boots.values())

    @property
    def evacuated_worker_count(self) -> int:
        """Return how many workers of the directory are in evacuated domains."""
        return sum(
            boot.worker.in_directory and self.planner.is_evacuated(boot)
            for boot in self.boots.values()
        )

    # Workers.

    def set_workers(
        self, listed: dict[str, WorkerInfo], now_ms: int, read_ms: int | None = None
    ) -> None:
        """Apply the workers that the directory listed at `read_ms`, by default now."""
        self.planner.directory_read_ms = now_ms if read_ms is None else read_ms
        self._lives.set_listed(listed, now_ms)
        self.planner.request_replan()

    def lists_new_room(self, listed: Mapping[str, WorkerInfo]) -> bool:
        """Return whether the directory lists a worker, or capacity, that is not known yet."""
        for name, info in listed.items():
            boot = self.boots.get(name)
            if boot is None:
                return True
            if info is boot.info and boot.worker.in_directory:
                continue
            relation = compare_boots(boot.info, info)
            if relation == "later" or (relation == "same" and not boot.worker.in_directory):
                return True
            if relation == "same" and (
                info.cpu_millis > boot.info.cpu_millis
                or info.memory_mb > boot.info.memory_mb
                or info.accelerators > boot.info.accelerators
            ):
                return True
        return False

    def note_departed(self, boot_times_ms: Mapping[str, int], now_ms: int) -> None:
        """Record that workers have left that had these boot times.

        It counts once the directory has been read without them.
        """
        for name, boot_time_ms in boot_times_ms.items():
            self._lives.note_departed(name, boot_time_ms, now_ms)
        self.planner.request_replan()

    def note_directory_unavailable(self) -> None:
        """Record that the directory can't be read, so the first record is stored without it."""
        if not self.term.registration_stored:
            self.term.registration_due = True

    def set_registered_workers(
        self, registered: RegisteredWorkers, read_ms: int, now_ms: int
    ) -> None:
        """Add the workers to which earlier owners may have sent orders, by a stored record."""
        self._lives.set_registered(registered, read_ms, now_ms)

    def prepare_lease_extension(
        self, boot: Boot, now_ms: int, extend: bool = True
    ) -> tuple[int | None, int]:
        """Return the deadline of a boot's new lease, and the number of its last stored run end.

        The deadline is None without `extend`, when the worker is only asked for its list, and if
        the worker's clock was never read. It is also None while the worker does not answer, so that
        its lease expires and its tasks can be started elsewhere, and until this owner has stored a
        record that does not say when its lease expires.

        After a call without an answer another boot may receive the next one, whose ends have other
        sequence numbers, so none is acknowledged.
        """
        deadline = boot.deadline_if_not_sent_ms = None
        # What an earlier owner has started may go on unlisted until the boot is adopted.
        may_extend = extend and self.term.registration_stored and not boot.worker.lease_limited
        if boot.adopted and not boot.unresponsive and may_extend:
            lease_ms = boot.lease_ms(self.term.limits.lease_ms, now_ms)
            deadline = boot.deadline_in(lease_ms, now_ms)
        if deadline is not None:
            boot.note_extension(deadline, now_ms)
        return deadline, 0 if boot.lease_call_failed else boot.acknowledged_sequence

    def handle_lease_reply(
        self, boot: Boot, reply: RunListPage, sent_ms: int, now_ms: int
    ) -> list[Order]:
        """Process a worker's list of its runs and ends; return orders to send at once."""
        return self._lists.handle(boot, reply, sent_ms, now_ms)

    def note_lease_failure(self, boot: Boot, now_ms: int, was_sent: bool = True) -> None:
        """Record that a worker did not answer a lease extension, which may not have been sent."""
        self._lives.note_lease_failure(boot, now_ms, was_sent)

    def note_lease_refused(self, boot: Boot, now_ms: int) -> None:
        """Record that a worker did not extend the lease; after some time it counts as silent."""
        self._lives.note_lease_refused(boot, now_ms)

    def note_wrong_boot(self, boot: Boot, now_ms: int, address: str | None = None) -> None:
        """Record that a worker with another ID answers at an address, by default the present one.

        So this boot is gone.
        """
        self._lives.note_wrong_boot(boot, address or boot.info.address, now_ms)

    # Answers to orders.

    def handle_start_reply(
        self, boot: Boot, run: Run, reason: str, now_ms: int, clock_ms: int | None = None
    ) -> list[Order]:
        """Process the reply to a start; an empty reason means that it was accepted.

        `clock_ms` is the reading of the worker's clock in the reply.
        """
        if reason:  # only one boot receives the start, and that one did not carry it out
            self.book.note_not_crashed(run.task, run.number)
        if reason == "unreachable":
            self.term.crashes.note_failed_call(boot, now_ms)
        elif boot.failing_since_ms is not None and boot.failing_since_ms < run.started_ms:
            boot.failing_since_ms = None
        if run.state not in ("starting", "stopping"):
            return []
        boot = boot_of_answer(boot, run)
        if not reason:
            if run.state == "starting":
                run.transition("accepted")
            run.note_accepted(now_ms)
            run.accepted_by_clock = boot.shows_clock(clock_ms, run.started_ms, now_ms)
            boot.note_start_accepted()
            self.book.note_started(run.task.step.job)
            if run.initial_speed_percent < run.speed_percent:
                return [ThrottleRun(boot, run, run.initial_speed_percent)]
            return []
        if run is run.task.copy:
            run.task.was_copied = False  # another worker may take it
        self.term.end_run(boot, run, "refused", now_ms)
        run.task.not_before_ms = max(run.task.not_before_ms, now_ms + REFUSAL_DELAY_MS)
        if reason == "unhealthy" or (
            reason == "invalid" and self.term.failures.note_invalid_start(boot, run, now_ms)
        ):
            boot.back_off_after_refusal(now_ms, FIRST_WORKER_BACKOFF_MS, LONGEST_WORKER_BACKOFF_MS)
        elif reason == "unreachable":
            boot.not_before_ms = max(boot.not_before_ms, now_ms + FIRST_WORKER_BACKOFF_MS)
        elif reason == "ticket":
            self.planner.note_permit_refused(run.task.step, boot)
        elif reason == "room":
            boot.not_before_ms = max(boot.not_before_ms, now_ms + REFUSAL_DELAY_MS)
            boot.note_room_refused(
                run.task.step.spec, now_ms, FIRST_REFUSAL_BACKOFF_MS, LONGEST_REFUSAL_BACKOFF_MS
            )
        self.term.emit(
            "start_refused",
            {"task": run.task.id, "run": run.number, "worker": boot.name, "reason": reason},
        )
        self.term.queue_again(run.task)
        return []

    def note_start_unanswered(self, run: Run, now_ms: int) -> None:
        """Record that a start was not answered, so it may or may not be carried out."""
        if run.state in ("starting", "stopping"):
            run.transition("unanswered")
            self.term.stops.request_scan()
            boot = self.boots.get(run.worker_id)
            if boot is not None:
                self.term.crashes.note_failed_call(boot, now_ms)

    def note_stop_accepted(self, boot: Boot, run: Run | None, now_ms: int) -> None:
        """Record that the worker has accepted a stop, so the run can no longer start there.

        A stop that was sent to an earlier boot says nothing of the boot that holds the run now.
        """
        if run is None or boot.runs.get((run.task, run.number)) is not run:
            return
        if run.stop_answered_ms is None:
            run.stop_answered_ms = now_ms

    def note_stop_ended(
        self, run: Run | None, sent_ms: int | None = None, now_ms: int = 0, answered: bool = True
    ) -> None:
        """Record that a call to stop a run has ended, with or without an answer."""
        if run is not None:
            self.term.stops.note_stop_ended(run, sent_ms, now_ms, answered)

    # Orders.

    def plan_stops(self, now_ms: int) -> list[Order]:
        """Return the stops to send now.

        `plan` returns them too, but an error there must not keep runs from being stopped.
        """
        if not self.term.stops.is_scan_due(now_ms):
            return []
        self._copies_due = True
        self._report_overdue_runs(now_ms)
        return list(self.term.stops.plan(now_ms))

    @property
    def holds_back_stops(self) -> bool:
        """Return whether stops wait for room, so that the processor is better used for them."""
        return self.term.stops.holds_back

    def send_held_back_stops(self, now_ms: int) -> list[Order]:
        """Return the stops for which calls that have ended have made room."""
        return list(self.term.stops.send_held_back(now_ms))

    def plan(
        self,
        now_ms: int,
        wall_ms: int,
        max_starts: int = MAX_STARTS_PER_PLAN,
        has_time: Callable[[], bool] = lambda: True,
    ) -> list[Order]:
        """Return the orders to send now; what may not start yet is left to a later plan.

        So is what is not ranked or placed when `has_time` returns False, see `is_plan_unfinished`.
        """
        self._lives.confirm_losses()
        self._lives.end_expired(now_ms)
        if self.term.late_starts.forget_expired(self.term.confirmed_ms):
            self.planner.request_replan()
        self._open_due_occurrences(wall_ms)
        self._adoption.finish(now_ms)
        self._report_suspension(now_ms)
        orders = self.plan_stops(now_ms)
        max_starts = min(max_starts, MAX_STARTS_PER_PLAN)
        if self._copies_due:
            self._copies_due = False
            orders.extend(self._plan_copies(now_ms, max_starts))
        max_starts -= sum(isinstance(order, StartRun) for order in orders)
        starts = self.planner.plan(now_ms, max_starts, has_time)
        if len(starts) >= max_starts:
            self._load.note_short_plan(now_ms)
        orders.extend(starts)
        self._load.sample(self.boots.values(), now_ms)
        for event, fields in self._waits.due(now_ms):
            self.term.emit(event, fields)
        return orders

    @property
    def is_plan_unfinished(self) -> bool:
        """Return whether the last plan was cut short, so that the next should follow soon."""
        return self.planner.is_unfinished

    def _report_overdue_runs(self, now_ms: int) -> None:
        """Report the runs that go on long after their jobs have ended."""
        for boot, run in self.term.stops.overdue_runs(now_ms):
            sent_ms, answered_ms = run.stop_sent_ms, boot.last_answer_ms
            self.term.emit(
                "run_outlives_job",
                {
                    "task": run.task.id,
                    "run": run.number,
                    "worker": boot.name,
                    "job_state": run.task.step.job.state,
                    "run_state": run.state,
                    "for_ms": now_ms - (run.unwanted_since_ms or now_ms),
                    "stop_sent_ago_ms": None if sent_ms is None else now_ms - sent_ms,
                    "stop_accepted": run.stop_answered_ms is not None,
                    "silent_ms": None if answered_ms is None else now_ms - answered_ms,
                    "unresponsive": boot.unresponsive,
                },
            )

    def _plan_copies(self, now_ms: int, max_starts: int) -> list[Order]:
        orders: list[Order] = []
        for straggler, order in self.planner.plan_copies(max_starts, now_ms):
            orders.append(order)
            self.term.emit(
                "copy_started",
                {
                    "task": order.run.task.id,
                    "run": order.run.number,
                    "worker": order.boot.name,
                    "straggler": straggler.run.worker_id,
                    "remaining_ms": straggler.remaining_ms,
                    "expected_ms": straggler.expected_ms,
                    "listed_ago_ms": now_ms - straggler.run.listed_ms,
                },
            )
        return orders

    def _open_due_occurrences(self, wall_ms: int) -> None:
        """Open a batch of the occurrences of timed jobs whose time has come."""
        self.book.open_due_occurrences(wall_ms, self.term.adopting)

    def _report_suspension(self, now_ms: int) -> None:
        """Report when starts begin or cease to wait for a read of the evacuation orders."""
        suspended = not self.planner.evacuations_known
        if suspended == self._starts_suspended:
            return
        self._starts_suspended = suspended
        known = self.planner.evacuations
        self.term.emit(
            "starts_suspended" if suspended else "starts_resumed",
            {"read_age_ms": now_ms - known.read_ms if known is not None else None},
        )

    # Changes to store.

    def collect_changes(self, wall_ms: int, now_ms: int, releasing: bool = False) -> Changes | None:
        """Return the changes to store and clear them; return None if there are none.

        With `releasing`, no orders may be sent afterwards.
        """
        return self._changes.collect(wall_ms, now_ms, releasing)

    @property
    def has_urgent_changes(self) -> bool:
        """Return whether a change must be stored without delay."""
        return self._changes.has_urgent

    def note_changes_stored(self, changes: Changes) -> None:
        """Record that changes are stored, so that run ends may be acknowledged to the workers."""
        self._changes.note_stored(changes)

    def note_changes_unconfirmed(self, changes: Changes) -> None:
        """Record that changes may not be stored, so they must be stored again."""
        self._changes.note_unconfirmed(changes)

    def remove_jobs(self, job_ids: Iterable[str]) -> None:
        """Remove jobs that have ended."""
        for job_id in job_ids:
            self.book.remove(job_id)
