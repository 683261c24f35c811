"""Ownership of one cell: claim, fence, adopt, place, renew, record, step down.

Pure: events and the time go in, commands come out; a scheduler carries the commands out and feeds
the results back. One object a cell and scheduler.

The idea
--------
There is no consensus group. The log orders claims, and a claim's offset is the cell's epoch.
Workers refuse an epoch older than the newest they have seen. Between the two, three rules keep a
task from running in two places:

1. *License.* An owner commands workers only while something has confirmed lately that nobody has
   claimed the cell: a read of the cell's stream, counted from when the read was *sent*, or an
   acknowledgement from every candidate of its claim, counted from when the acknowledged beat was
   sent. A process that was paused and wakes up holds old confirmations only, so it is suspended
   until it has a new one.
2. *Fencing.* Who takes a cell over places nothing that an earlier owner may have started, until
   every enlisted worker has accepted the new epoch, or has been ruled out by time: the license,
   the command window and one lease after the claim was seen, and only by a candidate of the old
   owner's claim, since the old owner goes without the log only on its candidates' word.
3. *Ruling out.* A task on a worker that no longer answers is placed again only when everything
   that the worker was told has lapsed, and something has confirmed the license *since then*: a
   newer owner could otherwise have renewed the task.

Alternatives that were weighed, with their costs, stand in docs/design/ownership.md.
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
from greengagewood.internal.native.workers import Ended, Exchange, ExchangeReply, Start
from greengagewood.internal.placement import Resources
from greengagewood.internal.placer import Placement, Placer
from greengagewood.internal.records import (
    AnyRecord,
    CellClaimed,
    CellReleased,
    CellSnapshot,
    JobsAdopted,
    JobSubmitted,
    TaskOutcome,
    TasksProgressed,
    WorkersChanged,
)
from greengagewood.internal.snapshotplan import SnapshotPlan
from greengagewood.internal.tailguard import Mitigation, TailLatencyController
from greengagewood.internal.taskbook import ENDED_STATES, TASK_CHART, Job, Task, TaskBook
from greengagewood.internal.workerstate import (
    AttemptId,
    WorkerState,
    command_expiry_ms,
    requested_resources,
)

__all__ = ["Append", "CellOwner", "Command", "Send", "Situation"]

CELL_CHART = load_chart("cell")
COMMANDING = frozenset({"fencing", "placing"})
OWNING = frozenset({"fencing", "suspended_fencing", "placing", "suspended", "releasing"})
EPOCH_SHIFT = 20  # attempt numbers rise within an epoch, and from one epoch to the next
RANK_DELAY_MS = 1000
FRESH_LOG_MS = 2500
APPEND_INTERVAL_MS = 200
APPENDS_PER_S_OF_ALL_CELLS = 140
RELIEVE_INTERVAL_MS = 1000
MAX_JOBS_IN_RECORD = 100


@dataclass(frozen=True)
class Append:
    """Ask for a record to be appended to the cell's stream."""

    record: AnyRecord


@dataclass(frozen=True)
class Send:
    """Ask for an exchange with a worker."""

    worker: str
    url: str
    exchange: Exchange


Command = Append | Send


@dataclass(frozen=True)
class Situation:
    """Hold what a scheduler knows around the cell; times are of its monotonic clock.

    `log_confirmed_ms`: when the last answered read of the cell's stream was sent.
    `rivals`: live schedulers of the failure domain in the order in which they may claim.
    `owner_seen`: whether the cell's owner has spoken lately.
    `confirmed_by`: for each peer, when the last beat was sent that it has acknowledged.
    `claimed_by_peers`: the epochs that peers have tried to replace.
    """

    log_confirmed_ms: int | None
    rivals: tuple[str, ...]
    owner_seen: bool
    confirmed_by: dict[str, int]
    claimed_by_peers: tuple[int, ...]


class CellOwner:
    """Own one cell, or observe who does."""

    def __init__(
        self, cell: str, me: str, boot: int, wall_ms: Callable[[], int] = lambda: 0
    ) -> None:
        self.cell = cell
        self.wall_ms = wall_ms
        self.me = me
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
        self._jobs: dict[str, LoggedJob] = {}
        self._entries: dict[str, WorkerEntry] = {}
        self._reserves: dict[str, Resources] = {}
        self._may_rule_by_time = False
        self._inherited: frozenset[str] = frozenset()
        self._rule_base_ms = 0
        self._absent_since: int | None = None
        self._attempts = 0
        self._samples: dict[tuple[str, str], LatencySample] = {}
        self._relieved_ms = 0
        self._now_ms = 0
        self._snapshots = SnapshotPlan(f"{me}-{boot}")
        self._append_in_flight = False
        self._last_append_ms = -APPEND_INTERVAL_MS
        self._retiring = False
        self._release_due = False
        self._confirmed_ms: int | None = None

    # What the scheduler feeds in.

    def set_document(self, document: Document) -> None:
        """Take the configuration in force."""
        self._document = document
        self.tail_controller.set_document(document)

    def set_workers(self, entries: Iterable[WorkerEntry], reserves: dict[str, Resources]) -> None:
        """Take the cell's workers as the instance list shows them."""
        self._entries = {entry.worker: entry for entry in entries}
        self._reserves = reserves
        if self.state in OWNING:
            self._merge_workers()

    def set_job(self, job: LoggedJob) -> None:
        """Take a job of this cell, or its cancellation."""
        self._jobs[job.spec.job] = job
        if self.state in OWNING:
            self._add_job(job)

    def replay(self, offset: int, record: AnyRecord, now_ms: int) -> None:
        """Take a record of the cell's stream in."""
        before = self.log.epoch
        previous = (self.log.candidates, self.log.released)
        outcomes = self.log.replay(offset, record)
        if outcomes and self.state in OWNING:
            self.book.make_durable(outcomes)
            self._acknowledge(outcomes)
        if self.log.epoch != before:
            self._epoch_changed(before, previous, now_ms)
        elif isinstance(record, CellReleased) and self.state == "releasing":
            self._move("released")
            self._step_down()
        elif isinstance(record, WorkersChanged) and self.state in OWNING:
            self._merge_workers()

    def lose_sync(self) -> None:
        """Note that records of the cell's stream were missed; a snapshot must come first."""
        if self.state in OWNING:
            self._move("newer_epoch")
            self._step_down()
        elif self.state == "claiming":
            self._move("lost")
        self.log.lose_sync()
        self._emit("lost_sync")

    def forget_old(self, results_ms: int, jobs_ms: int) -> None:
        """Drop old results, and jobs so old that the job stream has forgotten them too."""
        self.log.forget_old(self.wall_ms(), results_ms, jobs_ms)
        limit_ms = self.wall_ms() - jobs_ms
        state = self.log.state
        for name, job in list(self._jobs.items()):
            known = name in state.jobs or name in state.ended
            if not known and job.spec.at_ms < limit_ms:
                del self._jobs[name]

    def append_answered(self, record: AnyRecord, durable: bool) -> None:
        """Take the outcome of an append in; the record itself counts only when it is read back."""
        if isinstance(record, CellClaimed):
            if self.state == "claiming" and not durable:
                self._move("lost")
            return
        if isinstance(record, CellSnapshot):
            return
        if isinstance(record, CellReleased) and not durable:
            self._release_due = True
        self._append_in_flight = False
        if isinstance(record, TasksProgressed) and not durable:
            self.book.resend(record.outcomes)

    def release(self) -> None:
        """Give the cell up as soon as no exchange is in flight, and claim it no more."""
        self._retiring = True
        self._release_due = True

    # What the scheduler carries out.

    def plan(self, now_ms: int, situation: Situation) -> list[Command]:
        """Decide what is to be done now."""
        if self._document is None:
            return []
        self._update_license(now_ms, situation)
        snapshot = self._plan_snapshot(now_ms, situation)
        if snapshot:
            return snapshot
        if self.state == "observing":
            return self._plan_claim(now_ms, situation)
        if self.state not in COMMANDING:
            return self._plan_release()
        if self._retiring:
            self._move("release")
            return self._plan_release()
        self._rule_out()
        if self.state == "fencing":
            self._finish_fencing()
        if self.state == "placing":
            self._place(now_ms)
            self._relieve(now_ms)
        return [*self._plan_exchanges(now_ms), *self._plan_appends(now_ms)]

    def _plan_snapshot(self, now_ms: int, situation: Situation) -> list[Command]:
        assert self._document is not None
        rank = None
        if self.state not in OWNING:
            known = self.me in situation.rivals
            rank = situation.rivals.index(self.me) if known else len(situation.rivals)
        parts = self._snapshots.next_parts(self.log, self._document.log, rank, now_ms)
        return [Append(part) for part in parts]

    # Claims and the license.

    def _plan_claim(self, now_ms: int, situation: Situation) -> list[Command]:
        confirmed = situation.log_confirmed_ms
        if self._retiring or situation.owner_seen or self.me not in situation.rivals:
            self._absent_since = None
            return []
        if confirmed is None or now_ms - confirmed > FRESH_LOG_MS or not self.log.synced:
            return []
        if self._absent_since is None:
            self._absent_since = now_ms
        rank = situation.rivals.index(self.me)
        if now_ms - self._absent_since < rank * RANK_DELAY_MS:
            return []
        self._absent_since = None
        self._move("claim")
        candidates = tuple(sorted(set(situation.rivals) - {self.me}))
        return [Append(CellClaimed(self.me, self.boot, self.log.epoch, candidates))]

    def _epoch_changed(
        self, before: int, previous: tuple[tuple[str, ...], bool], now_ms: int
    ) -> None:
        won = self.log.owner == self.me and self.log.boot == self.boot
        if self.state in OWNING:
            self._move("newer_epoch")
            self._step_down()
        elif self.state == "claiming" and not won:
            self._move("lost")
        if won and self.state in ("observing", "claiming"):
            self._take_over(before, previous, now_ms)

    def _take_over(self, before: int, previous: tuple[tuple[str, ...], bool], now_ms: int) -> None:
        if self.state == "observing":  # the answer was lost, but the claim was not
            self._move("claim")
        self._move("won")
        candidates, released = previous
        self.epoch = self.log.epoch
        self._inherited = frozenset(self.log.workers)
        self._relieved_ms = now_ms
        self._attempts = 0
        self._may_rule_by_time = before == 0 or released or self.me in candidates
        assert self._document is not None
        leases = self._document.leases
        earlier = 0 if released else int(leases.owner_license_ms * (1 + leases.clock_drift)) + 1
        self._rule_base_ms = now_ms + earlier
        self.book = TaskBook(self.log)
        self._forget_workers()
        for name, spec in self.log.state.jobs.items():
            self._jobs.setdefault(name, LoggedJob(spec))
        for job in self._jobs.values():
            self._add_job(job)
        self._merge_workers()
        self._emit("takeover", epoch=self.epoch, replaced=before)

    def _step_down(self) -> None:
        self._emit("step_down", epoch=self.epoch, newer=self.log.epoch)
        self.epoch = 0
        self.book = TaskBook(self.log)
        self._forget_workers()
        self._append_in_flight = False

    def _forget_workers(self) -> None:
        """Begin with no workers; what was learned of services stays."""
        self.workers = {}
        self.placer = Placer(self.workers, self.tail_controller)

    def _update_license(self, now_ms: int, situation: Situation) -> None:
        if self.state not in OWNING or self._document is None:
            return
        self._confirmed_ms = self._confirmation(now_ms, situation)
        license_ms = self._document.leases.owner_license_ms
        licensed = self._confirmed_ms is not None and now_ms - self._confirmed_ms <= license_ms
        if licensed and self.state in ("suspended", "suspended_fencing"):
            self._move("license_renewed")
            self._emit("license_renewed", epoch=self.epoch)
        elif not licensed and self.state in COMMANDING:
            self._move("license_lapsed")
            self._emit("license_lapsed", epoch=self.epoch)

    def _confirmation(self, now_ms: int, situation: Situation) -> int | None:
        """Return the latest time of which it is confirmed that nobody had claimed the cell."""
        times = []
        if situation.log_confirmed_ms is not None:
            times.append(situation.log_confirmed_ms)
        rivals_claimed = any(based_on >= self.epoch for based_on in situation.claimed_by_peers)
        if not rivals_claimed:
            heard = [situation.confirmed_by.get(name) for name in self.log.candidates]
            if all(time is not None for time in heard):
                times.append(min((t for t in heard if t is not None), default=now_ms))
        return max(times, default=None)

    # Takeover.

    def _merge_workers(self) -> None:
        for name, entry in self._entries.items():
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
            worker.enlisted = name in self.log.workers
            worker.in_instance_list = name in self._entries
            worker.leaving = worker.leaving or not worker.in_instance_list
            worker.mark_changed()
            if worker.last_reply_ms == 0:
                worker.last_reply_ms = self._rule_base_ms
        for name, worker in list(self.workers.items()):
            if not worker.in_instance_list and not worker.enlisted and not worker.assigned:
                del self.workers[name]

    def _add_job(self, logged: LoggedJob) -> None:
        assert self._document is not None
        known = self.book.jobs.get(logged.spec.job)
        if known is None:
            batch_class = self._document.batch_classes.get(logged.spec.batch_class)
            attempts = batch_class.max_attempts if batch_class else 1
            urgent = batch_class.urgent if batch_class else False
            state = "unknown" if self._is_taking_over() else "pending"
            known = self.book.add_job(logged, attempts, urgent, state)
        if known is not None and logged.cancelled:
            self._cancel(known)

    def _is_taking_over(self) -> bool:
        return self.state in ("fencing", "suspended_fencing")

    def _finish_fencing(self) -> None:
        if not all(self._is_ruled(self.workers[name]) for name in self._inherited):
            return
        self._move("all_ruled")
        unknown = list(self.book.in_state("unknown", "cancelled_unknown"))
        for task in unknown:
            if self.book.move(task, "ruled_out") == "cancelled":
                self.book.end(task)
        self._emit("placing", epoch=self.epoch, ruled_out=len(unknown))

    def _enlisted(self) -> list[WorkerState]:
        return [worker for worker in self.workers.values() if worker.enlisted]

    def _is_ruled(self, worker: WorkerState) -> bool:
        if worker.fenced:
            return True
        if not self._may_rule_by_time and worker.in_instance_list:
            return False
        return self._has_lapsed(worker)

    def _has_lapsed(self, worker: WorkerState) -> bool:
        assert self._document is not None
        bound = worker.last_reply_ms + command_expiry_ms(self._document.leases)
        return self._confirmed_ms is not None and self._confirmed_ms > bound

    # Workers' answers.

    def exchange_answered(self, sent: Send, reply: ExchangeReply, now_ms: int) -> None:
        """Take a worker's reply in."""
        worker = self.workers.get(sent.worker)
        if worker is None or sent.exchange.epoch != self.epoch:
            return
        if not reply.accepted:
            worker.record_failed_exchange()
            if reply.epoch > self.epoch:
                self._emit("refused_by_worker", worker=worker.name, newer=reply.epoch)
            return
        worker.apply_reply(sent.exchange, reply, now_ms)
        self._now_ms = now_ms
        self._learn_usage(worker, reply)
        for key in worker.missing_attempts():
            self._attempt_over(worker, key, "lapsed")
        self._take_running(worker)
        for ended in list(worker.outbox.values()):
            self._take_ended(worker, ended)

    def _learn_usage(self, worker: WorkerState, reply: ExchangeReply) -> None:
        self.tail_controller.record_attempts(worker.name, reply.clock, worker.batch_attempts())
        for usage in reply.usage:
            self.tail_controller.record_usage(
                worker.name, usage.batch_class, usage.cpus, usage.from_ms, usage.to_ms
            )

    def exchange_failed(self, sent: Send) -> None:
        """Note that a worker did not answer; what was sent may have taken effect."""
        worker = self.workers.get(sent.worker)
        if worker is not None and sent.exchange.epoch == self.epoch:
            worker.record_failed_exchange()

    def _take_running(self, worker: WorkerState) -> None:
        for key, attempt in list(worker.running.items()):
            task = self.book.tasks.get(key[0])
            if task is not None and task.attempt == key[1] and task.worker == worker.name:
                if task.state == "starting":
                    self.book.move(task, "started")
                continue
            if task is not None and task.state in ("unknown", "cancelled_unknown"):
                self._adopt(worker, key, task, requested_resources(attempt))
            elif key not in worker.assigned:
                worker.to_stop.add(key)

    def _adopt(self, worker: WorkerState, key: AttemptId, task: Task, size: Resources) -> None:
        self.book.move(task, "found_running")
        task.attempt = key[1]
        task.worker = worker.name
        worker.assigned[key] = self._start_of(task)
        worker.mark_changed()
        if task.state == "stopping":
            worker.to_stop.add(key)

    def _start_of(self, task: Task) -> Start:
        spec = task.job.logged.spec
        return Start(
            task.name,
            task.attempt,
            spec.batch_class,
            spec.cpus,
            spec.memory_mb,
            spec.accelerators,
            spec.run_ms,
            task.checkpoint,
        )

    def _take_ended(self, worker: WorkerState, ended: Ended) -> None:
        key = (ended.task, ended.attempt)
        task = self.book.tasks.get(ended.task)
        if task is None and job_of(ended.task) in self.log.state.ended:
            worker.to_ack.add(key)
            return
        if task is None:
            return  # its job may be known later; the worker keeps the report
        if key in worker.to_ack or self.book.is_unlogged(key):
            return
        if task.state in ENDED_STATES:
            worker.to_ack.add(key)
        elif ended.outcome == "done":
            self._take_done(worker, task, ended)
        elif task.attempt == ended.attempt and task.worker == worker.name:
            self._attempt_over(worker, key, ended.outcome, ended.detail)
        elif ended.outcome == "checkpointed":
            self._take_old_checkpoint(worker, task, ended)
        else:
            worker.to_ack.add(key)
        worker.forget_attempt(key)

    def _take_done(self, worker: WorkerState, task: Task, ended: Ended) -> None:
        if task.worker and (task.worker, task.attempt) != (worker.name, ended.attempt):
            elsewhere = self.workers.get(task.worker)
            if elsewhere is not None:
                elsewhere.to_stop.add((task.name, task.attempt))
        task.attempt = ended.attempt
        self.placer.failure_tracker.record_task_success(worker.name)
        self.book.move(task, "found_ended")
        self.book.end(task, ended.detail)

    def _take_old_checkpoint(self, worker: WorkerState, task: Task, ended: Ended) -> None:
        if not task.checkpoint and task.state in ("unknown", "pending"):
            task.checkpoint = ended.detail
            self.book.note(TaskOutcome(task.name, ended.attempt, "checkpointed", ended.detail))
        else:
            worker.to_ack.add((ended.task, ended.attempt))

    def _attempt_over(
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
        self.book.move(task, event)
        task.worker = ""
        if event == "checkpointed":
            task.checkpoint = detail
            self.book.note(TaskOutcome(task.name, key[1], "checkpointed", detail))
        elif event == "failed" and task.state == "pending":
            self._take_task_failure(task, key[1], worker.name)
        elif task.state not in ENDED_STATES:
            worker.to_ack.add(key)
        if task.state in ENDED_STATES:
            self.book.end(task, detail)

    def _take_task_failure(self, task: Task, attempt: int, worker: str) -> None:
        if self.placer.failure_tracker.record_task_failure(worker, task.name, self._now_ms):
            self._emit("quarantined", worker=worker)
        if worker not in task.failed_on:
            task.failed_on += (worker,)
        task.job.failed_on.add(worker)
        self.book.note(TaskOutcome(task.name, attempt, "attempt_failed", worker))
        if len(task.failed_on) >= self._failures_allowed(task):
            self.book.move(task, "give_up")

    def _failures_allowed(self, task: Task) -> int:
        """Return on how many workers a task may fail: its attempts, but not more than there are."""
        return min(task.job.max_attempts, max(1, len(self.workers)))

    def _acknowledge(self, outcomes: tuple[TaskOutcome, ...]) -> None:
        keys = {(o.task, o.attempt) for o in outcomes}
        keys = {key for key in keys if not self.book.is_unlogged(key)}
        for worker in self.workers.values():
            worker.to_ack.update(keys & worker.outbox.keys())

    def _rule_out(self) -> None:
        for worker in self.workers.values():
            if worker.fenced and worker.failures and self._has_lapsed(worker):
                for key in list(worker.assigned):
                    self._attempt_over(worker, key, "lapsed")
                worker.running.clear()

    # Cancelling and placing.

    def _cancel(self, job: Job) -> None:
        for task in list(job.tasks.values()):
            if task.state in ENDED_STATES or task.state in ("stopping", "cancelled_unknown"):
                continue
            self.book.move(task, "cancel")
            if task.state == "cancelled":
                self.book.end(task)
            elif task.state == "stopping":
                self.workers[task.worker].to_stop.add((task.name, task.attempt))

    def _place(self, now_ms: int) -> None:
        assert self._document is not None
        if self.book.waiting:
            self.placer.place(now_ms, self.book, self._document, self._start, self.evict)

    def _start(self, placed: Placement) -> None:
        task = placed.task
        self._attempts += 1
        task.attempt = (self.epoch << EPOCH_SHIFT) + self._attempts
        task.worker = placed.worker
        self.book.move(task, "place")
        self.workers[placed.worker].assign(self._start_of(task))

    def _relieve(self, now_ms: int) -> None:
        """Once a second, learn from what gateways saw, and throttle or evict where it is needed."""
        if now_ms - self._relieved_ms < RELIEVE_INTERVAL_MS:
            return
        self._relieved_ms = now_ms
        self.placer.clear_cost_cache()
        self.tail_controller.begin_second()
        for sample in self._take_samples():
            worker = self.workers.get(sample.worker)
            if worker is not None:
                self.tail_controller.record_latency(
                    sample, worker.batch_attempts(), worker.capacity.cpus
                )
        for worker in self.workers.values():
            orders = self.tail_controller.plan_mitigations(
                worker.name, worker.batch_attempts(), worker.capacity.cpus, now_ms
            )
            for order in orders:
                self._carry_out_relief(worker, order)

    def _carry_out_relief(self, worker: WorkerState, order: Mitigation) -> None:
        self._emit("relief", task=order.task, worker=worker.name, speed=order.speed)
        if order.speed == 0.0:
            self.evict(order.task)
        else:
            worker.to_throttle[(order.task, order.attempt)] = order.speed

    def _take_samples(self) -> list[LatencySample]:
        taken = list(self._samples.values())
        self._samples = {}
        return taken

    def note_latency(self, sample: LatencySample) -> None:
        """Take what one gateway saw of a service on one worker in a second."""
        key = (sample.service, sample.worker)
        known = self._samples.get(key)
        self._samples[key] = sample if known is None else known + sample

    def set_services(self, services_on: dict[str, set[str]]) -> None:
        """Take which services have a backend server on each worker."""
        self.tail_controller.set_services(services_on)

    def evict(self, name: str) -> bool:
        """Ask for a running task to be checkpointed and stopped."""
        task = self.book.tasks.get(name)
        if task is None or task.state != "running":
            return False
        self._emit("evict", task=name, worker=task.worker)
        self.book.move(task, "evict")
        self.evictions += 1
        self.workers[task.worker].to_checkpoint.add((task.name, task.attempt))
        return True

    # Commands.

    def _plan_exchanges(self, now_ms: int) -> list[Command]:
        assert self._document is not None
        commands: list[Command] = []
        for worker in self.workers.values():
            if worker.enlisted and worker.is_exchange_due(now_ms, self._document.leases):
                exchange = worker.next_exchange(self.epoch, self.me, self._document.leases, now_ms)
                commands.append(Send(worker.name, worker.url, exchange))
        return commands

    def _plan_appends(self, now_ms: int) -> list[Command]:
        assert self._document is not None
        share_ms = len(self._document.cells) * 1000 // APPENDS_PER_S_OF_ALL_CELLS
        interval_ms = max(APPEND_INTERVAL_MS, share_ms)
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
            w.name: w.url for w in self.workers.values() if w.in_instance_list and not w.enlisted
        }
        removed = tuple(
            w.name
            for w in self._enlisted()
            if not w.in_instance_list and not w.assigned and not w.outbox and self._has_lapsed(w)
        )
        if added or removed:
            return WorkersChanged(self.epoch, added, removed)
        adopted = self._jobs_to_adopt()
        if adopted:
            return JobsAdopted(self.epoch, adopted, self.wall_ms())
        outcomes = self.book.take_unlogged(now_ms)
        return TasksProgressed(self.epoch, outcomes, self.wall_ms()) if outcomes else None

    def _jobs_to_adopt(self) -> tuple[JobSubmitted, ...]:
        state = self.log.state
        missing = (
            job.spec
            for name, job in self._jobs.items()
            if name not in state.jobs and name not in state.ended
        )
        return tuple(itertools.islice(missing, MAX_JOBS_IN_RECORD))

    def _plan_release(self) -> list[Command]:
        if self.state in ("suspended", "suspended_fencing") and self._retiring:
            self._move("release")
        if self.state != "releasing" or not self._release_due:
            return []
        if any(worker.in_flight for worker in self.workers.values()):
            return []
        self._release_due = False
        return [Append(CellReleased(self.epoch))]

    # Views.

    def load(self) -> CellLoad | None:
        """Summarise the cell for others; None unless this scheduler owns it."""
        if self.state not in OWNING or self.state == "releasing":
            return None
        placing = self.state == "placing"
        return summarise_cell(self.cell, self.epoch, placing, self.book, self.workers.values())

    def view(self, name: str, with_results: bool) -> JobView | None:
        """Describe a job of the cell; None if it is not known here."""
        if self.state not in OWNING:
            return None
        return view_job(name, self.log, self.book, with_results)

    def _move(self, event: str) -> None:
        self.state = CELL_CHART.next(self.state, event)

    def _emit(self, event: str, **fields: object) -> None:
        self.on_event(event, {"cell": self.cell, **fields})
