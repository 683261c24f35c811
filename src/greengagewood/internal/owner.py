"""Ownership of one cell: claim, fence, adopt, place, renew, record, step down.

A cell is a group of workers with one owner at a time. This module does no I/O: its inputs are
events and the time, its outputs are commands. A scheduler runs the commands and reports their
results back. Each scheduler has one `CellOwner` for every cell of its failure domain.

Protocol
--------
There is no consensus group. The log orders the claims, and the offset of the newest valid claim
is the cell's epoch. A worker rejects an epoch that is older than the newest it has seen. Between
a claim and the moment at which every worker has seen its epoch, three rules keep a task from
running in two places:

1. *License.* An owner commands workers only while it has a recent confirmation that nobody else
   has claimed the cell. There are two kinds: a read of the cell's stream, which counts from when
   the read was *sent*, and an acknowledged heartbeat from every candidate of the owner's claim,
   which counts from when the heartbeat was sent. A process that resumes after a pause has only
   old confirmations, so it is suspended until it gets a new one.
2. *Fencing.* A new owner places no task that an earlier owner may have started until every
   registered worker (one to which an earlier owner may have sent commands) has either accepted the
   new epoch or can no longer run such a task because enough time has passed since the claim was
   seen: the owner license, the command window and one task lease. Only a candidate of the old
   owner's claim may rely on the elapsed time, because the old owner goes on without the log only
   while its candidates acknowledge its heartbeats.
3. *Expiry.* A task on a worker that no longer answers is placed again only when every command and
   lease that the worker was given has expired, and the license has been confirmed at a time
   *after* that. Without the confirmation, a newer owner could have renewed the task meanwhile.
   A task that was lost with a boot of its worker waits for a read of the log that was sent after
   the loss was found: a newer owner may have made its end final, and the new boot does not know
   that owner's epoch. Acknowledged heartbeats do not suffice here, because a newer owner need not
   be a candidate and only fencing, which the reboot undid, kept the older one out.

docs/design/ownership.md describes the alternatives and their costs.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from greengagewood.internal.celllog import CellLog, job_of
from greengagewood.internal.cellview import summarise_cell, view_job
from greengagewood.internal.chart import load_chart
from greengagewood.internal.document import Document
from greengagewood.internal.interference import LatencySample
from greengagewood.internal.joblog import LoggedJob
from greengagewood.internal.messages import CellLoad, JobView, WorkerEntry
from greengagewood.internal.native.workers import (
    EndedAttempt,
    Exchange,
    ExchangeReply,
    StartCommand,
)
from greengagewood.internal.placement import Resources
from greengagewood.internal.placer import Placement, Placer
from greengagewood.internal.records import (
    AnyRecord,
    CellClaimed,
    CellReleased,
    CellSnapshot,
    JobCancelled,
    JobsAdopted,
    JobSubmitted,
    TaskOutcome,
    TasksProgressed,
    WorkersChanged,
)
from greengagewood.internal.snapshotplan import SnapshotPlan
from greengagewood.internal.suspicion import is_broken
from greengagewood.internal.tailguard import Mitigation, TailLatencyController
from greengagewood.internal.taskbook import ENDED_STATES, TASK_CHART, Job, Task, TaskBook
from greengagewood.internal.workerstate import (
    AttemptId,
    WorkerState,
    command_expiry_ms,
    requested_resources,
)

__all__ = ["Append", "CellOwner", "ClusterView", "Command", "Send"]

CELL_CHART = load_chart("cell")
COMMANDING_STATES = frozenset({"fencing", "placing"})
OWNING_STATES = frozenset({"fencing", "suspended_fencing", "placing", "suspended", "releasing"})
# The bits above these hold the epoch, so attempt numbers increase from one epoch to the next.
EPOCH_SHIFT_BITS = 20
CLAIM_DELAY_PER_RANK_MS = 1000
MAX_LOG_READ_AGE_MS = 2500  # of the last read before a claim
MIN_APPEND_INTERVAL_MS = 200
MAX_APPENDS_PER_S_ALL_CELLS = 140
MITIGATION_INTERVAL_MS = 1000
MAX_JOBS_PER_RECORD = 100


@dataclass(frozen=True)
class Append:
    """Append a record to the cell's stream."""

    record: AnyRecord


@dataclass(frozen=True)
class Send:
    """Send an exchange to a worker."""

    worker: str
    url: str
    exchange: Exchange


Command = Append | Send


@dataclass(frozen=True)
class ClusterView:
    """What a scheduler knows about the log and its peers with respect to one cell.

    Times are of the scheduler's monotonic clock.

    `log_confirmed_ms`: when the last answered read of the cell's stream was sent.
    `ranked_schedulers`: live schedulers of the failure domain, in the order in which they may
    claim the cell.
    `owner_seen`: whether the cell's owner has lately reported that it owns the cell.
    `acked_heartbeat_sent_ms`: for each peer, when the last heartbeat that it acknowledged was sent.
    `peer_claim_epochs`: the epochs that claims of peers have tried to replace.
    """

    log_confirmed_ms: int | None
    ranked_schedulers: tuple[str, ...]
    owner_seen: bool
    acked_heartbeat_sent_ms: dict[str, int]
    peer_claim_epochs: tuple[int, ...]


class CellOwner:
    """Own one cell, or follow which scheduler owns it."""

    def __init__(
        self, cell: str, instance: str, boot: int, wall_ms: Callable[[], int] = lambda: 0
    ) -> None:
        self.cell = cell
        self.wall_ms = wall_ms
        self.instance = instance
        self.boot = boot
        self.log = CellLog(cell)
        self.state = CELL_CHART.initial[0]
        self.book = TaskBook(self.log)
        self.workers: dict[str, WorkerState] = {}
        self.tail_controller = TailLatencyController()
        self.placer = Placer(self.workers, self.tail_controller)
        self.epoch = 0
        self.evictions = 0
        self.on_event: Callable[[str, dict[str, object]], None] = lambda event, fields: None
        self._document: Document | None = None
        self._hold_reason = ""
        self._jobs: dict[str, LoggedJob] = {}
        self._early_cancellations: dict[str, JobCancelled] = {}  # of jobs not in `_jobs`
        self._listed_workers: dict[str, WorkerEntry] = {}
        self._reserves: dict[str, Resources] = {}
        # Set at a takeover: whether elapsed time may replace fencing, the workers that were
        # registered in the log, and when leases start to count for workers that have not replied
        # yet.
        self._may_trust_lease_expiry = False
        self._inherited_workers: frozenset[str] = frozenset()
        self._leases_counted_from_ms = 0
        self._owner_absent_since_ms: int | None = None
        self._attempts_in_epoch = 0
        self._latency_samples: dict[tuple[str, str], LatencySample] = {}
        self._last_mitigation_ms = 0
        self._last_reply_ms = 0
        self._snapshot_plan = SnapshotPlan(f"{instance}-{boot}")
        self._append_in_flight = False
        self._last_append_ms = -MIN_APPEND_INTERVAL_MS
        self._release_requested = False
        self._release_append_due = False
        self._license_confirmed_ms: int | None = None

    # Inputs from the scheduler.

    def set_document(self, document: Document) -> None:
        """Set the configuration in force."""
        self._document = document
        self.tail_controller.set_document(document)

    def hold_placement(self, reason: str) -> None:
        """Start nothing while `reason`, which callers see, is not empty; running tasks go on."""
        if reason == self._hold_reason:
            return
        self._hold_reason = reason
        if reason:
            for worker in self.workers.values():
                worker.withdraw_starts()
        else:
            # A task may not be evicted because an urgent job has waited for the hold to end.
            self.placer.restart_waits()
        self._emit("placement_held" if reason else "placement_resumed", reason=reason)

    def set_workers(self, entries: Iterable[WorkerEntry], reserves: dict[str, Resources]) -> None:
        """Set the cell's workers, as the instance list shows them, and their reserves."""
        self._listed_workers = {entry.worker: entry for entry in entries}
        self._reserves = reserves
        if self.state in OWNING_STATES:
            self._merge_workers()

    def set_job(self, job: LoggedJob) -> None:
        """Add a job of this cell, or record its cancellation."""
        self._jobs[job.spec.job] = job
        if self.state in OWNING_STATES:
            self._add_job(job)

    def note_cancelled(self, record: JobCancelled) -> None:
        """Record the cancellation of a job that may be known only from the cell's stream."""
        job = self._jobs.get(record.job)
        if job is None:
            self._early_cancellations[record.job] = record
        elif not job.cancelled:
            job.cancelled = True
            self.set_job(job)

    def replay(self, offset: int, record: AnyRecord, now_ms: int) -> None:
        """Apply a record of the cell's stream."""
        previous_epoch = self.log.epoch
        previous_claim = (self.log.candidates, self.log.released)
        outcomes = self.log.replay(offset, record)
        if outcomes and self.state in OWNING_STATES:
            self.book.confirm_durable(outcomes)
            self._acknowledge_durable(outcomes)
        if self.log.epoch != previous_epoch:
            self._handle_new_epoch(previous_epoch, previous_claim, now_ms)
        elif isinstance(record, CellReleased) and self.state == "releasing":
            self._transition("released")
            self._step_down()
        elif isinstance(record, WorkersChanged) and self.state in OWNING_STATES:
            self._merge_workers()

    def lose_sync(self) -> None:
        """Reset after missing records of the cell's stream, until a snapshot has been read."""
        if self.state in OWNING_STATES:
            self._transition("ownership_lost")
            self._step_down()
        elif self.state == "claiming":
            self._transition("lost")
        self.log.lose_sync()
        self._emit("lost_sync")

    def drop_expired(self, keep_results_ms: int, keep_jobs_ms: int) -> None:
        """Drop old results, and jobs too old to be still in the job stream."""
        self.log.drop_expired(self.wall_ms(), keep_results_ms, keep_jobs_ms)
        oldest_ms = self.wall_ms() - keep_jobs_ms
        state = self.log.state
        for name, job in list(self._jobs.items()):
            in_log = name in state.jobs or name in state.ended
            if not in_log and job.spec.at_ms < oldest_ms:
                del self._jobs[name]
        for name, record in list(self._early_cancellations.items()):
            if name not in state.jobs and record.at_ms < oldest_ms:
                del self._early_cancellations[name]

    def append_finished(self, record: AnyRecord, durable: bool) -> None:
        """Process the result of an append; its record is applied only when it is read back."""
        if isinstance(record, CellClaimed):
            if self.state == "claiming" and not durable:
                self._transition("lost")
            return
        if isinstance(record, CellSnapshot):
            return
        match record:
            case CellReleased() | TasksProgressed() | WorkersChanged() | JobsAdopted() if (
                record.epoch != self.epoch
            ):
                return  # the append belongs to an earlier term of this scheduler
        if isinstance(record, CellReleased) and not durable:
            self._release_append_due = True
        self._append_in_flight = False
        if isinstance(record, TasksProgressed) and not durable:
            self.book.retry_append(record.outcomes)

    def release(self) -> None:
        """Release the cell once no exchange is in flight, and never claim it again."""
        self._release_requested = True
        self._release_append_due = True

    @property
    def may_own(self) -> bool:
        """Return whether this scheduler owns the cell, or has a claim of it under way."""
        return bool(self.epoch) or self.state == "claiming"

    # Decisions.

    def plan(self, now_ms: int, view: ClusterView) -> list[Command]:
        """Return the commands to run now."""
        if self._document is None:
            return []
        self._update_license(now_ms, view)
        if view.log_confirmed_ms is not None:
            self.book.confirm_losses(view.log_confirmed_ms)
        snapshot = self._plan_snapshot(now_ms, view)
        if snapshot:
            return snapshot
        if self.state == "observing":
            return self._plan_claim(now_ms, view)
        if self.state not in COMMANDING_STATES:
            return self._plan_release()
        if self._release_requested:
            self._transition("release")
            return self._plan_release()
        self._expire_unresponsive_workers()
        if self.state == "fencing":
            self._finish_fencing()
        if self.state == "placing":
            self._place_tasks(now_ms)
            self._mitigate_latency(now_ms)
        return [*self._plan_exchanges(now_ms), *self._plan_appends(now_ms)]

    def _plan_snapshot(self, now_ms: int, view: ClusterView) -> list[Command]:
        assert self._document is not None
        rank = None
        if self.state not in OWNING_STATES:
            ranked = self.instance in view.ranked_schedulers
            rank = (
                view.ranked_schedulers.index(self.instance)
                if ranked
                else len(view.ranked_schedulers)
            )
        parts = self._snapshot_plan.next_parts(self.log, self._document.log, rank, now_ms)
        return [Append(part) for part in parts]

    # Claims and the owner license.

    def _plan_claim(self, now_ms: int, view: ClusterView) -> list[Command]:
        read_ms = view.log_confirmed_ms
        if (
            self._release_requested
            or view.owner_seen
            or self.instance not in view.ranked_schedulers
        ):
            self._owner_absent_since_ms = None
            return []
        if read_ms is None or now_ms - read_ms > MAX_LOG_READ_AGE_MS or not self.log.synced:
            return []
        if self._owner_absent_since_ms is None:
            self._owner_absent_since_ms = now_ms
        rank = view.ranked_schedulers.index(self.instance)
        if now_ms - self._owner_absent_since_ms < rank * CLAIM_DELAY_PER_RANK_MS:
            return []
        self._owner_absent_since_ms = None
        self._transition("claim")
        candidates = tuple(sorted(set(view.ranked_schedulers) - {self.instance}))
        return [Append(CellClaimed(self.instance, self.boot, self.log.epoch, candidates))]

    def _handle_new_epoch(
        self, previous_epoch: int, previous_claim: tuple[tuple[str, ...], bool], now_ms: int
    ) -> None:
        won = self.log.owner == self.instance and self.log.boot == self.boot
        if self.state in OWNING_STATES:
            self._transition("ownership_lost")
            self._step_down()
        elif self.state == "claiming" and not won:
            self._transition("lost")
        if won and self.state in ("observing", "claiming"):
            self._take_over(previous_epoch, previous_claim, now_ms)

    def _take_over(
        self, previous_epoch: int, previous_claim: tuple[tuple[str, ...], bool], now_ms: int
    ) -> None:
        if self.state == "observing":  # the append was reported as failed, but is in the log
            self._transition("claim")
        self._transition("won")
        candidates, released = previous_claim
        self.epoch = self.log.epoch
        self._inherited_workers = frozenset(self.log.workers)
        self._last_mitigation_ms = now_ms
        self._attempts_in_epoch = 0
        self._may_trust_lease_expiry = (
            previous_epoch == 0 or released or self.instance in candidates
        )
        assert self._document is not None
        leases = self._document.leases
        # The previous owner may command workers until its license ends.
        old_license_ms = (
            0 if released else int(leases.owner_license_ms * (1 + leases.clock_drift)) + 1
        )
        self._leases_counted_from_ms = now_ms + old_license_ms
        self.book = TaskBook(self.log)
        self._reset_workers()
        for name, spec in self.log.state.jobs.items():
            cancelled = self._early_cancellations.pop(name, None) is not None
            self._jobs.setdefault(name, LoggedJob(spec)).cancelled |= cancelled
        for job in self._jobs.values():
            self._add_job(job)
        self._merge_workers()
        self._emit("takeover", epoch=self.epoch, replaced=previous_epoch)

    def _step_down(self) -> None:
        self._emit("step_down", epoch=self.epoch, newer=self.log.epoch)
        self.epoch = 0
        self.book = TaskBook(self.log)
        self._reset_workers()
        self._append_in_flight = False

    def _reset_workers(self) -> None:
        """Drop the workers, but keep what the tail controller has learned about services."""
        self.workers = {}
        self.placer = Placer(self.workers, self.tail_controller)

    def _update_license(self, now_ms: int, view: ClusterView) -> None:
        if self.state not in OWNING_STATES or self._document is None:
            return
        self._license_confirmed_ms = self._latest_confirmation_ms(now_ms, view)
        license_ms = self._document.leases.owner_license_ms
        licensed = (
            self._license_confirmed_ms is not None
            and now_ms - self._license_confirmed_ms <= license_ms
        )
        if licensed and self.state in ("suspended", "suspended_fencing"):
            self._transition("license_renewed")
            self._emit("license_renewed", epoch=self.epoch)
        elif not licensed and self.state in COMMANDING_STATES:
            self._transition("license_lapsed")
            self._emit("license_lapsed", epoch=self.epoch)

    def _latest_confirmation_ms(self, now_ms: int, view: ClusterView) -> int | None:
        """Return the latest time at which others were confirmed not to have claimed the cell."""
        times = []
        if view.log_confirmed_ms is not None:
            times.append(view.log_confirmed_ms)
        peer_claimed = any(based_on >= self.epoch for based_on in view.peer_claim_epochs)
        if not peer_claimed:
            acked_ms = [view.acked_heartbeat_sent_ms.get(name) for name in self.log.candidates]
            if all(time is not None for time in acked_ms):
                times.append(min((t for t in acked_ms if t is not None), default=now_ms))
        return max(times, default=None)

    # Takeover.

    def _merge_workers(self) -> None:
        for name, entry in self._listed_workers.items():
            worker = self.workers.get(name)
            if worker is None:
                worker = WorkerState(name, entry.url)
                self.workers[name] = worker
            worker.url = entry.url
            worker.rack = entry.rack
            worker.leaving = entry.leaving
            worker.reserve = self._reserves.get(name, Resources())
        for name, url in self.log.workers.items():
            if name not in self.workers:
                self.workers[name] = WorkerState(name, url, in_instance_list=False)
        for name, worker in self.workers.items():
            worker.registered = name in self.log.workers
            worker.in_instance_list = name in self._listed_workers
            worker.leaving = worker.leaving or not worker.in_instance_list
            worker.mark_changed()
            if worker.last_reply_ms == 0:
                worker.last_reply_ms = self._leases_counted_from_ms
        for name, worker in list(self.workers.items()):
            if not worker.in_instance_list and not worker.registered and not worker.assigned:
                del self.workers[name]

    def _add_job(self, logged: LoggedJob) -> None:
        assert self._document is not None
        job = self.book.jobs.get(logged.spec.job)
        if job is None:
            batch_class = self._document.batch_classes.get(logged.spec.batch_class)
            max_attempts = batch_class.max_attempts if batch_class else 1
            urgent = batch_class.urgent if batch_class else False
            initial_state = "unknown" if self._is_taking_over() else "pending"
            job = self.book.add_job(logged, max_attempts, urgent, initial_state)
        if job is not None and logged.cancelled:
            self._cancel_job(job)

    def _is_taking_over(self) -> bool:
        return self.state in ("fencing", "suspended_fencing")

    def _finish_fencing(self) -> None:
        if not all(
            self._is_fenced_or_expired(self.workers[name]) for name in self._inherited_workers
        ):
            return
        self._transition("fencing_done")
        maybe_running = list(self.book.in_state("unknown", "cancelled_unknown"))
        for task in maybe_running:
            state = self.book.transition(task, "ruled_out")
            if state == "pending" and len(task.failed_on) >= self._max_failures(task):
                # The earlier owner logged the last failure, but not that it gave the task up.
                state = self.book.transition(task, "give_up")
            if state in ENDED_STATES:
                self.book.record_end(task)
        self._emit("placing", epoch=self.epoch, ruled_out=len(maybe_running))

    def _registered_workers(self) -> list[WorkerState]:
        return [worker for worker in self.workers.values() if worker.registered]

    def _is_fenced_or_expired(self, worker: WorkerState) -> bool:
        if worker.fenced:
            return True
        if not self._may_trust_lease_expiry and worker.in_instance_list:
            return False
        return self._leases_expired(worker)

    def _leases_expired(self, worker: WorkerState) -> bool:
        assert self._document is not None
        expired_ms = worker.last_reply_ms + command_expiry_ms(self._document.leases)
        return self._license_confirmed_ms is not None and self._license_confirmed_ms > expired_ms

    # Replies of workers.

    def exchange_answered(self, sent: Send, reply: ExchangeReply, now_ms: int) -> None:
        """Process a worker's reply."""
        worker = self.workers.get(sent.worker)
        if worker is None or sent.exchange.epoch != self.epoch:
            return
        if not reply.accepted:
            worker.record_failed_exchange()
            if reply.epoch > self.epoch:
                self._emit("refused_by_worker", worker=worker.name, newer=reply.epoch)
            return
        rebooted = worker.boot not in (0, reply.boot)
        worker.apply_reply(sent.exchange, reply, now_ms)
        self._last_reply_ms = now_ms
        self._record_usage(worker, reply)
        if rebooted:
            # The earlier boot may have carried out a start that it did not confirm.
            worker.withdraw_starts()
        for key in worker.missing_attempts():
            if rebooted:
                self.book.hold_back(key[0], now_ms)
            self._end_attempt(worker, key, "lapsed")
        self._reconcile_running(worker)
        for ended in list(worker.outbox.values()):
            self._handle_ended(worker, ended)

    def _record_usage(self, worker: WorkerState, reply: ExchangeReply) -> None:
        self.tail_controller.record_attempts(worker.name, reply.clock, worker.batch_attempts())
        for usage in reply.usage:
            self.tail_controller.record_usage(
                worker.name, usage.batch_class, usage.cpus, usage.from_ms, usage.to_ms
            )

    def exchange_failed(self, sent: Send) -> None:
        """Record that a worker did not answer; the exchange may still have taken effect."""
        worker = self.workers.get(sent.worker)
        if worker is not None and sent.exchange.epoch == self.epoch:
            worker.record_failed_exchange()

    def _reconcile_running(self, worker: WorkerState) -> None:
        for key, attempt in list(worker.running.items()):
            task = self.book.tasks.get(key[0])
            if task is not None and task.attempt == key[1] and task.worker == worker.name:
                if task.state == "starting":
                    self.book.transition(task, "started")
                continue
            if task is not None and task.state in ("unknown", "cancelled_unknown"):
                self._adopt_attempt(worker, key, task, requested_resources(attempt))
            elif key not in worker.assigned:
                worker.to_stop.add(key)

    def _adopt_attempt(
        self, worker: WorkerState, key: AttemptId, task: Task, size: Resources
    ) -> None:
        self.book.transition(task, "found_running")
        task.attempt = key[1]
        task.worker = worker.name
        worker.assigned[key] = self._build_start(task)
        worker.mark_changed()
        if task.state == "stopping":
            worker.to_stop.add(key)

    def _build_start(self, task: Task) -> StartCommand:
        spec = task.job.logged.spec
        return StartCommand(
            task.name,
            task.attempt,
            spec.batch_class,
            spec.cpus,
            spec.memory_mb,
            spec.accelerators,
            spec.run_ms,
            task.checkpoint,
        )

    def _handle_ended(self, worker: WorkerState, ended: EndedAttempt) -> None:
        key = (ended.task, ended.attempt)
        task = self.book.tasks.get(ended.task)
        if task is None and job_of(ended.task) in self.log.state.ended:
            worker.to_ack.add(key)
            return
        if task is None:
            return  # the job may become known later; the worker keeps the report until then
        if key in worker.to_ack or self.book.has_unlogged_outcome(key):
            return
        if task.state in ENDED_STATES:
            worker.to_ack.add(key)
        elif ended.outcome == "done":
            self._handle_done(worker, task, ended)
        elif task.attempt == ended.attempt and task.worker == worker.name:
            self._end_attempt(worker, key, ended.outcome, ended.detail)
        elif ended.outcome == "checkpointed":
            self._handle_old_checkpoint(worker, task, ended)
        else:
            worker.to_ack.add(key)
        worker.forget_attempt(key)

    def _handle_done(self, worker: WorkerState, task: Task, ended: EndedAttempt) -> None:
        if task.worker and (task.worker, task.attempt) != (worker.name, ended.attempt):
            other_worker = self.workers.get(task.worker)
            if other_worker is not None:
                other_worker.to_stop.add((task.name, task.attempt))
        task.attempt = ended.attempt
        self.placer.failure_tracker.record_task_success(worker.name, self._last_reply_ms)
        task.job.recent_failures.clear()
        self.book.transition(task, "found_ended")
        self.book.record_end(task, ended.detail)

    def _handle_old_checkpoint(self, worker: WorkerState, task: Task, ended: EndedAttempt) -> None:
        if not task.checkpoint and task.state in ("unknown", "pending"):
            task.checkpoint = ended.detail
            self.book.record_outcome(
                TaskOutcome(task.name, ended.attempt, "checkpointed", ended.detail)
            )
        else:
            worker.to_ack.add((ended.task, ended.attempt))

    def _end_attempt(
        self, worker: WorkerState, key: AttemptId, event: str, detail: str = ""
    ) -> None:
        worker.forget_attempt(key)
        task = self.book.tasks.get(key[0])
        if task is None or task.attempt != key[1] or task.worker != worker.name:
            return
        if not TASK_CHART.takes(task.state, event):
            self._emit("impossible_outcome", task=task.name, attempt=key[1], outcome=event)
            event = "lapsed"
        self._emit("attempt_over", task=task.name, attempt=key[1], outcome=event)
        self.book.transition(task, event)
        task.worker = ""
        if event == "checkpointed":
            task.checkpoint = detail
            self.book.record_outcome(TaskOutcome(task.name, key[1], "checkpointed", detail))
        elif event == "failed" and task.state == "pending":
            self._record_attempt_failure(task, key[1], worker.name)
        elif task.state not in ENDED_STATES:
            worker.to_ack.add(key)
        if task.state in ENDED_STATES:
            self.book.record_end(task, detail)

    def _record_attempt_failure(self, task: Task, attempt: int, worker: str) -> None:
        if worker not in task.failed_on:
            task.failed_on += (worker,)
        job = task.job
        job.failed_on.add(worker)
        job.recent_failures[worker] += 1
        broken_job = job.name if is_broken(job.recent_failures, len(self.workers)) else ""
        if self.placer.failure_tracker.record_task_failure(
            worker, task.name, self._last_reply_ms, broken_job
        ):
            self._emit("quarantined", worker=worker)
        self.book.record_outcome(TaskOutcome(task.name, attempt, "attempt_failed", worker))
        if len(task.failed_on) >= self._max_failures(task):
            self.book.transition(task, "give_up")

    def _max_failures(self, task: Task) -> int:
        """Return on how many workers a task may fail: its attempts, but no more than exist."""
        return min(task.job.max_attempts, max(1, len(self.workers)))

    def _acknowledge_durable(self, outcomes: tuple[TaskOutcome, ...]) -> None:
        keys = {(outcome.task, outcome.attempt) for outcome in outcomes}
        keys = {key for key in keys if not self.book.has_unlogged_outcome(key)}
        for worker in self.workers.values():
            worker.to_ack.update(keys & worker.outbox.keys())

    def _expire_unresponsive_workers(self) -> None:
        for worker in self.workers.values():
            if worker.fenced and worker.failed_exchanges and self._leases_expired(worker):
                for key in list(worker.assigned):
                    self._end_attempt(worker, key, "lapsed")
                worker.running.clear()

    # Cancellation, placement and eviction.

    def _cancel_job(self, job: Job) -> None:
        for task in list(job.tasks.values()):
            if task.state in ENDED_STATES or task.state in ("stopping", "cancelled_unknown"):
                continue
            self.book.transition(task, "cancel")
            if task.state == "cancelled":
                self.book.record_end(task)
            elif task.state == "stopping":
                self.workers[task.worker].stop_attempt((task.name, task.attempt))

    def _place_tasks(self, now_ms: int) -> None:
        assert self._document is not None
        if self._hold_reason:
            for job in self.book.waiting_jobs:
                job.wait_reason = self._hold_reason
        elif self.book.waiting_jobs:
            self.placer.place(now_ms, self.book, self._document, self._start, self.evict)

    def _start(self, placed: Placement) -> None:
        task = placed.task
        self._attempts_in_epoch += 1
        task.attempt = (self.epoch << EPOCH_SHIFT_BITS) + self._attempts_in_epoch
        task.worker = placed.worker
        self.book.transition(task, "place")
        self.workers[placed.worker].assign(self._build_start(task))

    def _mitigate_latency(self, now_ms: int) -> None:
        """Once a second, pass latency samples to the tail controller and apply its mitigations."""
        if now_ms - self._last_mitigation_ms < MITIGATION_INTERVAL_MS:
            return
        self._last_mitigation_ms = now_ms
        self.placer.clear_cost_cache()
        self.tail_controller.begin_second()
        for sample in self._pop_latency_samples():
            worker = self.workers.get(sample.worker)
            if worker is not None:
                self.tail_controller.record_latency(
                    sample, worker.batch_attempts(), worker.capacity.cpus
                )
        for worker in self.workers.values():
            mitigations = self.tail_controller.plan_mitigations(
                worker.name, worker.batch_attempts(), worker.capacity.cpus, now_ms
            )
            for mitigation in mitigations:
                self._apply_mitigation(worker, mitigation)

    def _apply_mitigation(self, worker: WorkerState, mitigation: Mitigation) -> None:
        self._emit("relief", task=mitigation.task, worker=worker.name, speed=mitigation.speed)
        if mitigation.speed == 0.0:
            self.evict(mitigation.task)
        else:
            worker.to_throttle[(mitigation.task, mitigation.attempt)] = mitigation.speed

    def _pop_latency_samples(self) -> list[LatencySample]:
        samples = list(self._latency_samples.values())
        self._latency_samples = {}
        return samples

    def note_latency(self, sample: LatencySample) -> None:
        """Add a gateway's latency sample: one service on one worker during one second."""
        key = (sample.service, sample.worker)
        earlier = self._latency_samples.get(key)
        self._latency_samples[key] = sample if earlier is None else earlier + sample

    def set_services(self, services_by_worker: dict[str, set[str]]) -> None:
        """Set which services have a backend server on each worker."""
        self.tail_controller.set_services(services_by_worker)

    def evict(self, name: str) -> bool:
        """Request to checkpoint and stop a running task; return False if it is not running."""
        task = self.book.tasks.get(name)
        if task is None or task.state != "running":
            return False
        self._emit("evict", task=name, worker=task.worker)
        self.book.transition(task, "evict")
        self.evictions += 1
        self.workers[task.worker].to_checkpoint.add((task.name, task.attempt))
        return True

    # Commands to workers and records for the log.

    def _plan_exchanges(self, now_ms: int) -> list[Command]:
        assert self._document is not None
        commands: list[Command] = []
        for worker in self.workers.values():
            if worker.registered and worker.is_exchange_due(now_ms, self._document.leases):
                exchange = worker.next_exchange(
                    self.epoch, self.instance, self._document.leases, now_ms
                )
                commands.append(Send(worker.name, worker.url, exchange))
        return commands

    def _plan_appends(self, now_ms: int) -> list[Command]:
        assert self._document is not None
        fair_interval_ms = len(self._document.cells) * 1000 // MAX_APPENDS_PER_S_ALL_CELLS
        interval_ms = max(MIN_APPEND_INTERVAL_MS, fair_interval_ms)
        if self._append_in_flight or now_ms - self._last_append_ms < interval_ms:
            return []
        record = self._next_record(now_ms)
        if record is None:
            return []
        self._append_in_flight = True
        self._last_append_ms = now_ms
        return [Append(record)]

    def _next_record(self, now_ms: int) -> AnyRecord | None:
        added = {
            w.name: w.url for w in self.workers.values() if w.in_instance_list and not w.registered
        }
        removed = tuple(
            w.name
            for w in self._registered_workers()
            if not w.in_instance_list
            and not w.assigned
            and not w.outbox
            and self._leases_expired(w)
        )
        if added or removed:
            return WorkersChanged(self.epoch, added, removed)
        jobs = self._jobs_to_adopt()
        if jobs:
            return JobsAdopted(self.epoch, jobs, self.wall_ms())
        outcomes = self.book.outcomes_to_append(now_ms)
        return TasksProgressed(self.epoch, outcomes, self.wall_ms()) if outcomes else None

    def _jobs_to_adopt(self) -> tuple[JobSubmitted, ...]:
        state = self.log.state
        missing = (
            job.spec
            for name, job in self._jobs.items()
            if name not in state.jobs and name not in state.ended
        )
        return tuple(itertools.islice(missing, MAX_JOBS_PER_RECORD))

    def _plan_release(self) -> list[Command]:
        if self.state in ("suspended", "suspended_fencing") and self._release_requested:
            self._transition("release")
        if self.state != "releasing" or not self._release_append_due:
            return []
        if any(worker.in_flight for worker in self.workers.values()):
            return []
        self._release_append_due = False
        return [Append(CellReleased(self.epoch))]

    # Summaries for others.

    def load(self) -> CellLoad | None:
        """Return a summary of the cell, or None unless it is owned and not being released."""
        if self.state not in OWNING_STATES or self.state == "releasing":
            return None
        placing = self.state == "placing" and not self._hold_reason
        return summarise_cell(self.cell, self.epoch, placing, self.book, self.workers.values())

    def view(self, name: str, with_results: bool) -> JobView | None:
        """Describe a job of the cell; return None if this scheduler does not know it."""
        if self.state not in OWNING_STATES:
            return None
        return view_job(name, self.log, self.book, with_results)

    def _transition(self, event: str) -> None:
        self.state = CELL_CHART.next(self.state, event)

    def _emit(self, event: str, **fields: object) -> None:
        self.on_event(event, {"cell": self.cell, **fields})
