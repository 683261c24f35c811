"""The owner's decisions for one cell: adopt, place, watch, move and take note of ends.

Pure: answers of workers, records and the time go in, orders come out; a runner carries them out.
One object a term of ownership.

Not twice
---------
A task is started only when no other run of it can be going on. A start without an answer may be
carried out seconds later, so its run stays `unconfirmed` until a later list of the worker shows
it, or the worker's clock has passed the deadline of the start, or a stop of that run was
acknowledged: a stopped run can never start there. A run on a silent worker is over when the
worker's clock has certainly passed every deadline that it was ever told. What earlier owners may
have started is `maybe_running` until every enlisted worker has accepted this owner's token and
listed its runs, or has lapsed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from greengagewood.internal.cells.fleet import ANSWER_MS, CLOCK_DRIFT, Worker
from greengagewood.internal.cells.orders import (
    Changes,
    Order,
    PaceRun,
    StopRun,
)
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.jobs.book import JobBook, Run, Task
from greengagewood.internal.jobs.model import Queue
from greengagewood.internal.jobs.records import (
    Enlisted,
    EnlistedWorker,
    Progress,
    Record,
    Submission,
    TaskId,
)
from greengagewood.internal.ports import LeaseReply, RunEnd, RunningTask, WorkerInfo

__all__ = ["Cell", "CellLimits"]

STOP_AGAIN_MS = 400
STOP_SCAN_MS = 100  # between two looks for runs to stop, unless one has come up meanwhile
SLOW_PERCENT = 25  # of its speed; a run that is slower gives up its place if there is a better one
MOVE_AFTER_MS = 1_000
MOVE_INTERVAL_MS = 150  # between two moves, which cost a stop and a start each
STUCK_MS = 2_500  # a run without any progress for this long stands still
BACKOFF_MS = 150
SHUN_FIRST_MS = 1_000
SHUN_LONGEST_MS = 8_000
SHUN_AFTER_FAILURES = 3  # of the last eight ends, with no good one among them


@dataclass(frozen=True)
class CellLimits:
    """Hold bounds of the platform in milliseconds; `term_ms` is how long an owner may go on
    without a confirmation, and so how long an earlier owner may have given orders."""

    lease_ms: int
    term_ms: int


class Cell:
    """Decide for one cell during one term of ownership."""

    def __init__(
        self,
        limits: CellLimits,
        token: int,
        now_ms: int,
        settled: int = 0,
        claimed_at: int = 0,
    ) -> None:
        self.limits = limits
        self.token = token
        self.book = JobBook()
        self.workers: dict[str, Worker] = {}
        self.planner = Planner(self.book, self.workers, token, settled, claimed_at)
        self.on_event: Callable[[str, dict[str, object]], None] = lambda event, fields: None
        self._earlier_until_ms = now_ms + limits.term_ms + int(limits.lease_ms * (1 + CLOCK_DRIFT))
        self._orphans: dict[tuple[str, TaskId, int], int] = {}
        self._enlist_due = False
        self._adopting = True
        self._move_ms = 0
        self._scanned_ms: int | None = None  # when runs to stop were looked for; None: look now

    # Jobs.

    def add_job(
        self,
        submission: Submission,
        progress: Progress | None,
        fresh: bool,
        now_ms: int,
        offset: int = 0,
    ) -> None:
        """Add a job; nothing of a fresh one can have been started before this term."""
        self.planner.queues.setdefault(submission.queue.name, submission.queue)
        self.book.add(submission, progress, not fresh, now_ms, offset)

    def cancel(self, name: str, now_ms: int) -> None:
        """Cancel a job and stop what runs of it."""
        job = self.book.cancel(name, now_ms)
        if job is not None:
            self._scanned_ms = None
            self.on_event("job_cancelled", {"job": name})

    def set_queues(self, queues: dict[str, Queue]) -> None:
        """Take the queues of the newest configuration; a dropped one keeps its last settings."""
        self.planner.queues.update(queues)
        self.planner.request_replan()

    # Workers.

    def set_workers(self, listed: dict[str, WorkerInfo], now_ms: int) -> None:
        """Take the list of workers."""
        for name, info in listed.items():
            worker = self.workers.get(name)
            if worker is None:
                self._add_worker(info, now_ms)
            elif info.boot_time_ms > worker.info.boot_time_ms > 0:
                self._reborn(worker, info, now_ms)
            else:
                self._update_worker(worker, info)
        for name, worker in list(self.workers.items()):
            worker.listed = name in listed
            if not worker.listed and worker.silent and worker.lapsed(now_ms):
                self._forget(worker, now_ms)
        self.planner.request_replan()

    def _add_worker(self, info: WorkerInfo, now_ms: int) -> Worker:
        worker = Worker(info, now_ms, unclocked_until_ms=self._earlier_until_ms)
        self.workers[info.worker_id] = worker
        self._enlist_due = True
        return worker

    def _update_worker(self, worker: Worker, info: WorkerInfo) -> None:
        if info.draining and not worker.info.draining:
            self.on_event("worker_draining", {"worker": info.worker_id})
        worker.info = info

    def set_enlisted(self, enlisted: Enlisted, now_ms: int) -> None:
        """Take the workers that earlier owners may have given orders to."""
        for row in enlisted.workers:
            worker = self.workers.get(row.worker_id)
            if worker is None:
                info = WorkerInfo(
                    row.worker_id,
                    row.address,
                    row.service,
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
                worker.listed = False
            worker.enlisted = True
        self._enlist_due = any(not w.enlisted for w in self.workers.values())

    def _reborn(self, worker: Worker, info: WorkerInfo, now_ms: int) -> None:
        """Begin anew with a worker that holds nothing of before."""
        self.on_event("worker_reborn", {"worker": info.worker_id, "runs": len(worker.runs)})
        fresh = Worker(info, now_ms, enlisted=worker.enlisted, listed=worker.listed)
        self.workers[info.worker_id] = fresh
        for run in list(worker.runs.values()):
            if worker.answered_ms is not None and run.started_ms < worker.answered_ms:
                continue
            # Sent after the old life was heard last, so perhaps to the new one.
            worker.drop(run)
            fresh.add(run)
            if run.state == "running":
                run.transition("worker_restarted")
            run.accepted_ms = run.stop_sent_ms = run.stop_answered_ms = None
            run.start_deadline_ms = 0
        self._lose_runs(worker, now_ms, "reborn")
        self._scanned_ms = None

    def _forget(self, worker: Worker, now_ms: int) -> None:
        self._lose_runs(worker, now_ms, "gone")
        del self.workers[worker.name]
        self._enlist_due = True
        self.on_event("worker_forgotten", {"worker": worker.name})

    def _lose_runs(self, worker: Worker, now_ms: int, reason: str) -> None:
        for run in list(worker.runs.values()):
            self._end_run(worker, run, "lost", now_ms)
            self.on_event(
                "run_lost",
                {"task": run.task.id, "run": run.number, "worker": worker.name, "reason": reason},
            )
            self._retry(run.task)

    def _end_run(self, worker: Worker, run: Run, event: str, now_ms: int) -> None:
        run.transition(event)
        worker.drop(run)
        self.book.detach_run(run, now_ms)

    def _retry(self, task: Task) -> None:
        if task.end_state or task.step.job.is_final:
            return
        self.book.mark_waiting(task)

    # Answers of workers.

    def hold_terms(self, worker: Worker, now_ms: int) -> tuple[int | None, int]:
        """Return the deadline to extend the worker's lease to, and which ends to acknowledge."""
        deadline = worker.deadline_in(self.limits.lease_ms, now_ms)
        if deadline is not None:
            worker.horizon_ms = max(worker.horizon_ms, deadline)
        return deadline, worker.acknowledged

    def hold_answered(
        self, worker: Worker, reply: LeaseReply, sent_ms: int, now_ms: int
    ) -> list[Order]:
        """Take a worker's list in; return orders that cannot wait."""
        if self.workers.get(worker.name) is not worker:
            return []
        if (
            reply.boot_time_ms
            and worker.info.boot_time_ms
            and reply.boot_time_ms > worker.info.boot_time_ms
        ):
            self._reborn(worker, replace(worker.info, boot_time_ms=reply.boot_time_ms), now_ms)
            return []
        worker.read_clock(reply.clock_ms, now_ms)
        if worker.silent:
            worker.silent = False
            self.on_event("worker_answers", {"worker": worker.name})
        worker.answered_ms = now_ms
        for end in reply.ended:
            if end.sequence > worker.seen_end:
                worker.seen_end = end.sequence
                self._take_end(worker, end, now_ms)
        orders: list[Order] = []
        listed: set[tuple[Task, int]] = set()
        for row in reply.running:
            task = self.book.find_task(row.task_id)
            if task is None or not self._take_running(worker, task, row, now_ms):
                task = self._take_stray(worker, row, now_ms)
            if task is not None:
                listed.add((task, row.run_number))
            else:
                orders.extend(self._stop_orphan(worker, row, now_ms))
        self._check_unlisted(worker, reply, listed, sent_ms, now_ms)
        self.planner.tail_model.learn(worker, now_ms)
        if not worker.adopted:
            worker.adopted = True
            self.on_event("worker_adopted", {"worker": worker.name, "runs": len(listed)})
        orders.extend(self.planner.tail_model.plan_speed_limits(worker, now_ms))
        self.planner.request_replan()
        return orders

    def _take_running(self, worker: Worker, task: Task, row: RunningTask, now_ms: int) -> bool:
        """Match a listed run with what is known; return False if it must be stopped."""
        job = task.step.job
        run = worker.runs.get((task, row.run_number))
        if run is None:
            if task.run is not None or task.end_state or job.is_final:
                return False
            run = self.book.attach_run(
                task, row.run_number, worker.name, worker.info.rack, "running", now_ms
            )
            run.note_accepted(now_ms)
            worker.add(run)
        elif run.state in ("starting", "unconfirmed"):
            run.transition("accepted")
            run.note_accepted(now_ms)
        self.book.note_started(job)
        if row.progress_percent != run.progress_percent:
            run.progress_percent = row.progress_percent
            run.progress_changed_ms = now_ms
        run.tail_ms_or_cpu_millis = row.tail_ms_or_cpu_millis
        self.book.note_checkpoint(task, row.checkpoint)
        return True

    def _take_stray(self, worker: Worker, row: RunningTask, now_ms: int) -> Task | None:
        """Hold the room of a run that must be stopped; return its task unless it is unknown."""
        for run in worker.runs.values():
            if run.task.id == row.task_id and run.number == row.run_number:
                return run.task
        task = self.book.placeholder_task(row.task_id)
        if task is not None:
            run = Run(task, row.run_number, worker.name, worker.info.rack, "running", now_ms)
            run.accepted_ms = now_ms
            worker.add(run)
        return task

    def _stop_orphan(self, worker: Worker, row: RunningTask, now_ms: int) -> list[Order]:
        key = (worker.name, row.task_id, row.run_number)
        if now_ms - self._orphans.get(key, -STOP_AGAIN_MS) < STOP_AGAIN_MS:
            return []
        self._orphans[key] = now_ms
        return [StopRun(worker, row.task_id, row.run_number, None, "not_ours")]

    def _check_unlisted(
        self,
        worker: Worker,
        reply: LeaseReply,
        listed: set[tuple[Task, int]],
        sent_ms: int,
        now_ms: int,
    ) -> None:
        """Rule out runs that the list shows to be over, or never to begin."""
        for key, run in list(worker.runs.items()):
            if key in listed:
                continue
            never = reply.clock_ms > run.start_deadline_ms > 0 and run.accepted_ms is None
            stopped = run.stop_answered_ms is not None and run.stop_answered_ms < sent_ms
            gone = run.accepted_ms is not None and run.accepted_ms < sent_ms
            if run.state == "unconfirmed" and (never or stopped):
                self._end_run(worker, run, "ruled_out", now_ms)
                self._retry(run.task)
            elif run.state in ("running", "stopping") and (gone or stopped or never):
                self._end_run(worker, run, "lost", now_ms)
                self.on_event(
                    "run_unlisted",
                    {"task": run.task.id, "run": run.number, "worker": worker.name},
                )
                self._retry(run.task)

    def _take_end(self, worker: Worker, end: RunEnd, now_ms: int) -> None:
        for stray in [r for r in worker.runs.values() if r.task.end_state == "stray"]:
            if (stray.task.id, stray.number) == (end.task_id, end.run_number):
                self._end_run(worker, stray, "ended", now_ms)
        task = self.book.find_task(end.task_id)
        if task is None:
            return
        self.book.note_started(task.step.job)
        run = worker.runs.get((task, end.run_number))
        if run is not None:
            self._end_run(worker, run, "ended", now_ms)
        self.book.note_checkpoint(task, end.checkpoint)
        step = task.step
        self.on_event(
            "run_ended",
            {"task": end.task_id, "run": end.run_number, "worker": worker.name, "how": end.result},
        )
        if end.result == "done" and not step.spec.long_running:
            worker.note_work(True)
            self.book.note_task_done(task, now_ms)
            return
        if task.end_state or step.job.is_final:
            return
        if end.result == "failed":
            self._note_failure(worker, task, end, now_ms)
        if not task.maybe_running:
            self._retry(task)

    def _note_failure(self, worker: Worker, task: Task, end: RunEnd, now_ms: int) -> None:
        worker.note_work(False)
        if sum(not well for well in worker.recent) >= SHUN_AFTER_FAILURES and not any(
            worker.recent
        ):
            worker.shun(now_ms, SHUN_FIRST_MS, SHUN_LONGEST_MS)
            self.on_event("worker_shunned", {"worker": worker.name, "for_ms": worker.shun_ms})
        task.failed_workers = (*task.failed_workers, worker.name)[-4:]
        attempts = self.planner.queue_of(task.step.job).max_attempts
        self.book.note_run_failed(task, end.run_number, attempts, now_ms)
        if task.step.job.state == "failed":
            self._scanned_ms = None
            self.on_event(
                "job_failed", {"job": task.id.job_id, "task": task.id, "attempts": attempts}
            )

    def hold_failed(self, worker: Worker, now_ms: int) -> None:
        """Note that a worker did not answer."""
        if worker.silent or self.workers.get(worker.name) is not worker:
            return
        since = worker.answered_ms if worker.answered_ms is not None else worker.added_ms
        if now_ms - since > ANSWER_MS or worker.answered_ms is None:
            worker.silent = True
            self.on_event("worker_silent", {"worker": worker.name, "runs": len(worker.runs)})

    def wrong_boot(self, worker: Worker, now_ms: int) -> None:
        """Note that another boot answers at the worker's address: this one is gone."""
        if self.workers.get(worker.name) is worker:
            self.on_event("worker_replaced", {"worker": worker.name, "runs": len(worker.runs)})
            self._lose_runs(worker, now_ms, "replaced")
            worker.silent = True
            worker.adopted = False
            worker.horizon_ms = 0
            worker.unclocked_until_ms = 0
            worker.clock_read_ms = None

    def start_answered(self, worker: Worker, run: Run, reason: str, now_ms: int) -> list[Order]:
        """Take the answer to a start in; an empty reason means that it was accepted."""
        if run.state not in ("starting", "stopping"):
            return []
        if not reason:
            if run.state == "starting":
                run.transition("accepted")
            run.note_accepted(now_ms)
            self.book.note_started(run.task.step.job)
            if run.initial_speed_percent < run.speed_percent:
                return [PaceRun(worker, run, run.initial_speed_percent)]
            return []
        self._end_run(worker, run, "refused", now_ms)
        run.task.not_before_ms = now_ms + BACKOFF_MS
        if reason in ("unhealthy", "invalid"):
            worker.shun(now_ms, SHUN_FIRST_MS, SHUN_LONGEST_MS)
        elif reason == "ticket":
            self.planner.ticket_refused(run.task.step)
        elif reason == "room":
            worker.shunned_until_ms = max(worker.shunned_until_ms, now_ms + BACKOFF_MS)
        self.on_event(
            "start_refused",
            {"task": run.task.id, "run": run.number, "worker": worker.name, "reason": reason},
        )
        self._retry(run.task)
        return []

    def start_unanswered(self, run: Run, now_ms: int) -> None:
        """Note that a start may or may not have been carried out."""
        if run.state in ("starting", "stopping"):
            run.transition("unanswered")
            self._scanned_ms = None

    def stop_answered(self, run: Run | None, now_ms: int) -> None:
        """Note that the worker has taken a stop: the run cannot start there any more."""
        if run is not None and run.state != "finished" and run.stop_answered_ms is None:
            run.stop_answered_ms = now_ms

    # Orders.

    def plan(self, now_ms: int, wall_ms: int) -> list[Order]:
        """Decide what is to be done now."""
        self._lapse_silent(now_ms)
        self._open_due(wall_ms)
        self._finish_adopting(now_ms)
        orders: list[Order] = []
        if self._scanned_ms is None or now_ms - self._scanned_ms >= STOP_SCAN_MS:
            self._scanned_ms = now_ms
            orders.extend(self._stops(now_ms))
        orders.extend(self.planner.plan(now_ms))
        return orders

    def _lapse_silent(self, now_ms: int) -> None:
        for worker in list(self.workers.values()):
            if not worker.silent or not worker.lapsed(now_ms):
                continue
            if worker.runs:
                self._lose_runs(worker, now_ms, "lapsed")
            worker.adopted = False
            if not worker.listed:
                self._forget(worker, now_ms)

    def _open_due(self, wall_ms: int) -> None:
        for job in list(self.book.timed_jobs.values()):
            spec = job.submission.spec
            count = max(1, spec.occurrences)
            due = 1 + (wall_ms - spec.first_due_ms) // max(1, spec.interval_ms)
            if wall_ms < spec.first_due_ms:
                continue
            for number in range(min(count, due)):
                self.book.open_occurrence(job, number)

    def _finish_adopting(self, now_ms: int) -> None:
        if not self._adopting and not self.book.maybe_running_tasks:
            return
        if now_ms <= self._earlier_until_ms and not all(
            worker.adopted or (worker.silent and worker.lapsed(now_ms))
            for worker in self.workers.values()
        ):
            return
        if self._adopting:
            self._adopting = False
            self.on_event("adopted", {"unknown": len(self.book.maybe_running_tasks)})
        for task in list(self.book.maybe_running_tasks):
            self.book.note_not_running(task, now_ms)

    def _stops(self, now_ms: int) -> list[Order]:
        orders: list[Order] = []
        for worker in self.workers.values():
            if worker.silent:
                continue
            for run in worker.runs.values():
                reason = self._why_stop(worker, run, now_ms)
                if reason and self._may_send_stop(run, now_ms):
                    if run.state != "unconfirmed":
                        run.transition("stop")
                    run.stop_sent_ms = now_ms
                    orders.append(StopRun(worker, run.task.id, run.number, run, reason))
        return orders

    @staticmethod
    def _may_send_stop(run: Run, now_ms: int) -> bool:
        if run.state == "starting":
            return False  # its answer decides first
        return run.stop_sent_ms is None or now_ms - run.stop_sent_ms >= STOP_AGAIN_MS

    def _why_stop(self, worker: Worker, run: Run, now_ms: int) -> str:
        """Return why a run should be stopped, or an empty string."""
        if run.state == "stopping":
            return "again"
        if run.task.step.job.is_final or run.task.end_state:
            return "job_over"
        if run.state == "unconfirmed":
            return "unanswered"
        if run.state != "running":
            return ""
        if self._stands_still(run, now_ms):
            run.task.failed_workers = (*run.task.failed_workers, worker.name)[-4:]
            worker.note_work(False)
            return "stands_still"
        if self._should_move(worker, run, now_ms):
            return "moves"
        if (
            worker.info.draining
            and run.task.step.spec.long_running
            and self._room_elsewhere(run, now_ms)
        ):
            return "worker_leaves"
        return ""

    @staticmethod
    def _stands_still(run: Run, now_ms: int) -> bool:
        spec = run.task.step.spec
        if (
            run.speed_percent < 100
            or (spec.long_running and run.progress_percent == 100)
            or spec.gang
        ):
            return False
        if spec.best_effort:
            return now_ms - run.progress_changed_ms > 2 * STUCK_MS
        return now_ms - run.progress_changed_ms > max(STUCK_MS, spec.estimate_ms // 4)

    def _should_move(self, worker: Worker, run: Run, now_ms: int) -> bool:
        """Tell whether a filling run that was slowed down long ago goes on better elsewhere.

        It keeps its work by a checkpoint, and gives back memory that it hardly uses.
        """
        spec = run.task.step.spec
        if not spec.best_effort or not spec.checkpointing or run.speed_percent > SLOW_PERCENT:
            run.slow_since_ms = None
            return False
        if run.slow_since_ms is None:
            run.slow_since_ms = now_ms
        if now_ms - run.slow_since_ms < MOVE_AFTER_MS or now_ms < self._move_ms:
            return False
        if not self.planner.can_run_faster_elsewhere(run, worker, now_ms):
            return False
        self._move_ms = now_ms + MOVE_INTERVAL_MS
        return True

    def _room_elsewhere(self, run: Run, now_ms: int) -> bool:
        return any(
            other.usable(now_ms) and other.fits(run.task.step.spec)
            for other in self.workers.values()
            if other.info.service == self.planner.queue_of(run.task.step.job).service
        )

    # What has to be stored.

    def changes(self, wall_ms: int) -> Changes | None:
        """Return what has changed and is not stored yet."""
        book = self.book
        records: list[Record] = []
        urgent = False
        for name in book.changed_jobs:
            job = book.jobs.get(name)
            if job is not None:
                records.append(book.progress_record(job, wall_ms))
                urgent = urgent or job.is_final or not job.maybe_started_stored
        book.changed_jobs.clear()
        fresh: tuple[Worker, ...] = ()
        if self._enlist_due:
            self._enlist_due = False
            fresh = tuple(self.workers.values())
            records.append(
                Enlisted(
                    tuple(EnlistedWorker(w.name, w.info.address, w.info.service) for w in fresh)
                )
            )
            urgent = True
        ends = {w: w.seen_end for w in self.workers.values() if w.seen_end > w.acknowledged}
        if not records and not ends:
            return None
        return Changes(tuple(records), ends, fresh, urgent)

    @property
    def has_urgent_changes(self) -> bool:
        """Tell whether something is to be stored without delay."""
        jobs = self.book.jobs
        return self._enlist_due or any(
            jobs[name].is_final or not jobs[name].maybe_started_stored
            for name in self.book.changed_jobs
            if name in jobs
        )

    def changes_stored(self, changes: Changes) -> None:
        """Take note that changes are in the store: their ends may be acknowledged."""
        for record in changes.records:
            job = self.book.jobs.get(record.job_id) if isinstance(record, Progress) else None
            if job is not None:
                job.maybe_started_stored = True
        for worker, number in changes.ends.items():
            worker.acknowledged = max(worker.acknowledged, number)
        for worker in changes.enlisted:
            current = self.workers.get(worker.name)
            if current is not None:
                current.enlisted = True
        self.planner.request_replan()

    def changes_lost(self, changes: Changes) -> None:
        """Take note that changes may not be in the store; they are stored again."""
        for record in changes.records:
            if isinstance(record, Progress):
                self.book.changed_jobs[record.job_id] = None
            elif isinstance(record, Enlisted):
                self._enlist_due = True

    def forget_jobs(self, names: Iterable[str]) -> None:
        """Drop jobs that ended long ago."""
        for name in names:
            self.book.remove(name)
