"""One cell in virtual time: real cell owners and stand-in workers, joined by a simulated log.

It has a few schedulers and workers and no real network. Tests can cut every link, pause and resume
every scheduler and worker, hold messages back and deliver them later, and lose answers. The world
checks its invariants at the workers after each tick.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from greengagewood.internal.celllog import CellLog
from greengagewood.internal.document import parse_document
from greengagewood.internal.joblog import JobLog
from greengagewood.internal.messages import WorkerEntry
from greengagewood.internal.owner import OWNING_STATES, Append, CellOwner, ClusterView, Send
from greengagewood.internal.placement import Resources
from greengagewood.internal.ranking import rendezvous_rank
from greengagewood.internal.records import CellClaimed, JobCancelled, JobSubmitted
from greengagewood.internal.standin.settings import WorkerSettings
from greengagewood.internal.standin.worker import StandinWorker
from greengagewood.internal.workerstate import requested_resources
from tests.common.system import example_document

TICK_MS = 100
EXCHANGE_TIMEOUT_TICKS = 10
APPEND_TIMEOUT_TICKS = 20
HEARTBEAT_INTERVAL_TICKS = 5
SUSPECT_AFTER_MS = 3000
CELL = "milano-1"
LOG_RETENTION_MS = 40_000
DOCUMENT = parse_document(
    example_document(
        log={"keeps_ms": LOG_RETENTION_MS, "snapshot_records": 30, "results_keep_ms": 10**7}
    )
).unwrap()


class InvariantViolation(AssertionError):
    """Report an invariant that does not hold; `check` is the name of the invariant."""

    def __init__(self, check, detail):
        super().__init__(f"{check}: {detail}")
        self.check = check


@dataclass
class Worker:
    """Hold a stand-in worker and the exchanges that have reached it but are not yet processed."""

    name: str
    standin: StandinWorker
    paused: bool = False
    queue: list = field(default_factory=list)


@dataclass
class Scheduler:
    """Hold a scheduler process: its cell owner, and what it knows of the log and of its peers."""

    name: str
    owner: CellOwner
    boot: int
    log_cursor: int = 0
    job_cursor: int = 0
    jobs: JobLog = field(default_factory=JobLog)
    paused: bool = False
    released: bool = False
    inbox: list = field(default_factory=list)
    read_in_progress: bool = False
    log_confirmed_ms: int | None = None
    acked_heartbeat_sent_ms: dict = field(default_factory=dict)
    last_acks: dict = field(default_factory=dict)  # peer: (time in ms, epoch that it owns or 0)
    peer_claim_epochs: dict = field(default_factory=dict)
    pending_commands: dict = field(default_factory=dict)  # ticket: (deadline in ticks, command)
    claim_based_on_epoch: int = -1


class World:
    """Simulate schedulers, workers and a log whose faults a test controls."""

    def __init__(self, seed=0, schedulers=3, workers=3, max_clock_drift=0.009, document=DOCUMENT):
        self.document = document
        self.now_ms = 1_000_000
        self.rng = random.Random(seed)
        self.log: list = []
        self.append_times_ms: list[int] = []
        self.first_log_offset = 1
        self.job_records: list = []
        self.reference_log = CellLog(CELL)
        self.final_outcomes: dict[str, tuple[str, str]] = {}
        self.log_down = False
        self.lose_append_answers = False
        self.lose_replies = False
        self.hold_messages = False
        self.held_messages: list = []
        self.cut_links: set = set()
        # Set once a fault has affected workers or links to them: a task may then run to its end
        # twice, and workers may refuse starts.
        self.worker_faults = False
        self._ids = itertools.count(1)
        self._boot_numbers = itertools.count(1)
        self.workers: dict[str, Worker] = {}
        self.max_clock_drift = max_clock_drift
        for n in range(workers):
            self._add_worker(f"w{n + 1}")
        self.schedulers: dict[str, Scheduler] = {}
        for n in range(schedulers):
            self._start_scheduler(f"s{n + 1}")
        self.submitted: dict[str, JobSubmitted] = {}
        self.cancelled: set[str] = set()
        self.ticks = 0
        self.evictions = 0
        self.state_lost = False

    # Construction.

    def _add_worker(self, name):
        rate = 1 + self.rng.uniform(-self.max_clock_drift, self.max_clock_drift)
        base = self.rng.randrange(10**6)

        def clock():
            return int(base + self.now_ms * rate)

        cfg = WorkerSettings(name, "pd-milano", "milano-r1", cpus=16, memory_mb=16_000)
        standin = StandinWorker(cfg, 0, random.Random(self.rng.random()), clock)
        standin._boot = next(self._ids)
        standin._version = standin._boot * 1_000_000
        self.workers[name] = Worker(name, standin)

    def _start_scheduler(self, name):
        boot = next(self._boot_numbers)
        owner = CellOwner(CELL, name, boot, lambda: self.now_ms)
        owner.set_document(self.document)
        entries = [WorkerEntry(w, "pd-milano", "milano-r1", f"u/{w}", False) for w in self.workers]
        owner.set_workers(entries, {})
        self.schedulers[name] = Scheduler(name, owner, boot)

    # Faults and requests of callers.

    def submit(self, tasks, cpus, run_ms):
        name = f"j{next(self._ids)}"
        record = JobSubmitted(
            name, "a", "mercato", "price-grid", CELL, tasks, cpus, 100, 0, run_ms, "", 0
        )
        self.submitted[name] = record
        self.job_records.append(record)

    def cancel(self, index):
        names = sorted(self.submitted)
        if names:
            name = names[index % len(names)]
            self.cancelled.add(name)
            self.job_records.append(JobCancelled(name, 0))

    def evict(self, index):
        for scheduler in self.schedulers.values():
            running = sorted(t.name for t in scheduler.owner.book.in_state("running"))
            if running and scheduler.owner.state == "placing":
                self.evictions += scheduler.owner.evict(running[index % len(running)])

    def replace_scheduler(self, name):
        """Replace a scheduler by a new process; what the old one has sent may still arrive."""
        self._start_scheduler(name)

    def release(self, name):
        self.schedulers[name].owner.release()
        self.schedulers[name].released = True

    def set_paused(self, name, paused):
        self.schedulers[name].paused = paused

    def set_worker_paused(self, name, paused):
        self.worker_faults = True
        self.workers[name].paused = paused

    def replace_worker(self, name):
        """Replace a worker by one without state; the queue of the old one is lost."""
        self.worker_faults = True
        old = self.workers[name]
        for key in list(old.standin._running):
            old.standin._end_attempt(key, "lost", "")
        self._add_worker(name)
        self.workers[name].standin.audit = old.standin.audit

    def set_link_cut(self, a, b, cut=True):
        if b.startswith("w"):
            self.worker_faults = True
        (self.cut_links.add if cut else self.cut_links.discard)(frozenset((a, b)))

    def is_cut(self, a, b):
        return frozenset((a, b)) in self.cut_links

    def set_hold_messages(self, hold):
        """Set whether messages to workers that are sent from now on are held back."""
        self.worker_faults = self.worker_faults or hold
        self.hold_messages = hold

    def deliver_held_messages(self, count):
        """Deliver up to `count` messages that were held back, newest first."""
        for _ in range(min(count, len(self.held_messages))):
            worker, message = self.held_messages.pop()
            self.workers[worker].queue.append(message)

    def heal(self):
        """End every fault; messages that are held back stay so."""
        self.log_down = False
        self.lose_append_answers = False
        self.lose_replies = False
        self.hold_messages = False
        self.cut_links.clear()
        for scheduler in self.schedulers.values():
            scheduler.paused = False
        for worker in self.workers.values():
            worker.paused = False

    # Time.

    def run(self, ticks):
        for _ in range(ticks):
            self.tick()

    def tick(self):
        self.ticks += 1
        self.now_ms += TICK_MS
        for worker in self.workers.values():
            worker.standin.tick()
            if not worker.paused:
                self._process_worker_queue(worker)
        self.check()
        for scheduler in list(self.schedulers.values()):
            if not scheduler.paused:
                self._run_scheduler(scheduler)

    def _process_worker_queue(self, worker):
        queue, worker.queue = worker.queue, []
        for scheduler, send, ticket in queue:
            reply = worker.standin.exchange(send.exchange)
            if not self.lose_replies and not self.is_cut(scheduler.name, worker.name):
                scheduler.inbox.append(("reply", send, ticket, reply))

    def _run_scheduler(self, scheduler):
        inbox, scheduler.inbox = scheduler.inbox, []
        for message in inbox:
            self._receive(scheduler, message)
        self._expire_commands(scheduler)
        self._begin_read(scheduler)
        if self.ticks % HEARTBEAT_INTERVAL_TICKS == 0:
            self._send_heartbeats(scheduler)
        for command in scheduler.owner.plan(self.now_ms, self._cluster_view(scheduler)):
            self._carry_out(scheduler, command)

    def _receive(self, scheduler, message):
        match message:
            case ("reply", send, ticket, reply):
                if scheduler.pending_commands.pop(ticket, None) is not None:
                    scheduler.owner.exchange_answered(send, reply, self.now_ms)
            case ("appended", record, ticket):
                if scheduler.pending_commands.pop(ticket, None) is not None:
                    scheduler.owner.append_finished(record, True)
            case ("read", sent_ms, start, records, jobs):
                if start > scheduler.log_cursor + 1:  # the log has dropped unread records
                    scheduler.log_cursor = start - 1
                    scheduler.owner.lose_sync()
                self._apply_read(scheduler, sent_ms, records, jobs)
            case ("ack", peer, sent_ms, based_on, epoch):
                scheduler.acked_heartbeat_sent_ms[peer] = max(
                    sent_ms, scheduler.acked_heartbeat_sent_ms.get(peer, 0)
                )
                scheduler.last_acks[peer] = (self.now_ms, epoch)
                scheduler.peer_claim_epochs[peer] = max(
                    based_on, scheduler.peer_claim_epochs.get(peer, -1)
                )

    def _apply_read(self, scheduler, sent_ms, records, jobs):
        scheduler.read_in_progress = False
        for record in jobs:
            scheduler.job_cursor += 1
            if scheduler.jobs.replay(record):
                scheduler.owner.set_job(scheduler.jobs.jobs[record.job])
            elif isinstance(record, JobCancelled):
                scheduler.owner.note_cancelled(record)
        for offset, record in records:
            scheduler.log_cursor = offset
            scheduler.owner.replay(offset, record, self.now_ms)
        scheduler.log_confirmed_ms = sent_ms

    def _begin_read(self, scheduler):
        if scheduler.read_in_progress or self.log_down or self.is_cut(scheduler.name, "log"):
            return
        scheduler.read_in_progress = True
        while self.first_log_offset <= len(self.log) and (
            self.append_times_ms[self.first_log_offset - 1] < self.now_ms - LOG_RETENTION_MS
        ):
            self.first_log_offset += 1
        start = max(scheduler.log_cursor + 1, self.first_log_offset)
        records = list(enumerate(self.log[start - 1 :], start))
        jobs = self.job_records[scheduler.job_cursor :]
        scheduler.inbox.append(("read", self.now_ms, start, records, jobs))

    def _send_heartbeats(self, scheduler):
        for peer in self.schedulers.values():
            if peer is scheduler or peer.paused or self.is_cut(scheduler.name, peer.name):
                continue
            load = peer.owner.load()
            epoch = load.epoch if load else 0
            answer = ("ack", peer.name, self.now_ms, peer.claim_based_on_epoch, epoch)
            scheduler.inbox.append(answer)

    def _cluster_view(self, scheduler):
        alive = {
            name
            for name, (acked_ms, _) in scheduler.last_acks.items()
            if self.now_ms - acked_ms <= SUSPECT_AFTER_MS
        }
        owner = scheduler.owner.log.owner
        epoch = scheduler.owner.log.epoch
        return ClusterView(
            log_confirmed_ms=scheduler.log_confirmed_ms,
            ranked_schedulers=tuple(rendezvous_rank(CELL, {*alive, scheduler.name})),
            owner_seen=owner in alive and scheduler.last_acks[owner][1] == epoch,
            acked_heartbeat_sent_ms=dict(scheduler.acked_heartbeat_sent_ms),
            peer_claim_epochs=tuple(scheduler.peer_claim_epochs.values()),
        )

    def _carry_out(self, scheduler, command):
        ticket = next(self._ids)
        match command:
            case Send():
                scheduler.pending_commands[ticket] = (self.ticks + EXCHANGE_TIMEOUT_TICKS, command)
                if self.is_cut(scheduler.name, command.worker):
                    return
                message = (scheduler, command, ticket)
                if self.hold_messages:
                    self.held_messages.append((command.worker, message))
                else:
                    self.workers[command.worker].queue.append(message)
            case Append():
                scheduler.pending_commands[ticket] = (self.ticks + APPEND_TIMEOUT_TICKS, command)
                self._append(scheduler, command.record, ticket)

    def _append(self, scheduler, record, ticket):
        if isinstance(record, CellClaimed):
            scheduler.claim_based_on_epoch = max(scheduler.claim_based_on_epoch, record.based_on)
        if self.log_down or self.is_cut(scheduler.name, "log"):
            return
        self.log.append(record)
        self.append_times_ms.append(self.now_ms)
        for outcome in self.reference_log.replay(len(self.log), record):
            self._check_final_outcome(outcome.task)
        if not self.lose_append_answers:
            scheduler.inbox.append(("appended", record, ticket))

    def _expire_commands(self, scheduler):
        for ticket, (deadline, command) in list(scheduler.pending_commands.items()):
            if self.ticks < deadline:
                continue
            del scheduler.pending_commands[ticket]
            if isinstance(command, Send):
                scheduler.owner.exchange_failed(command)
            else:
                scheduler.owner.append_finished(command.record, False)

    # Checks.

    def check(self):
        """Check that no worker is overcommitted and that no task runs twice at the same time."""
        running_at = defaultdict(list)
        for worker in self.workers.values():
            used = Resources()
            for key, running in worker.standin._running.items():
                running_at[key[0]].append((worker.name, key[1]))
                used += requested_resources(running.start)
            if not used.fits_within(
                Resources(worker.standin.cfg.cpus, worker.standin.cfg.memory_mb, 0)
            ):
                raise InvariantViolation("overcommitted", f"{worker.name} runs {used}")
        for task, found in running_at.items():
            if len(found) > 1:
                raise InvariantViolation("two_places", f"{task} runs at {found}")

    def _check_final_outcome(self, task):
        logged = self.reference_log.tasks.get(task)
        if logged is not None and logged.final_outcome:
            known = self.final_outcomes.setdefault(task, (logged.final_outcome, logged.detail))
            if known != (logged.final_outcome, logged.detail):
                raise InvariantViolation("final_changed", f"{task}: {known} became {logged}")

    def expected_tasks(self):
        return {
            f"{name}/{index}" for name, job in self.submitted.items() for index in range(job.tasks)
        }

    def finish(self, ticks=1500):
        """End every fault, let all jobs end, and check their outcomes.

        The expected outcomes follow from the submitted jobs and the cancellations alone.
        """
        self.deliver_held_messages(len(self.held_messages))
        self.heal()
        for scheduler in list(self.schedulers.values()):
            if scheduler.released:  # the platform replaces a process that has stopped
                self.replace_scheduler(scheduler.name)
        expected = self.expected_tasks()
        for _ in range(ticks):
            if self.final_outcomes.keys() >= expected:
                break
            self.tick()
        self.check_end(expected)

    def check_end(self, expected):
        done = Counter(
            e.task for w in self.workers.values() for e in w.standin.audit if e.event == "done"
        )
        missing = sorted(expected - self.final_outcomes.keys())
        if missing and not self._is_state_known():
            self.state_lost = True
            return
        if missing:
            states = {s.name: s.owner.state for s in self.schedulers.values()}
            raise InvariantViolation(
                "lost", f"no final outcome of {missing[:3]}; states of owners: {states}"
            )
        starts = Counter(
            (e.task, e.attempt)
            for w in self.workers.values()
            for e in w.standin.audit
            if e.event == "start"
        )
        reused = [key for key, count in starts.items() if count > 1]
        if reused:
            raise InvariantViolation("attempt_reused", str(reused[:3]))
        refused = [
            e for w in self.workers.values() for e in w.standin.audit if e.event == "refused"
        ]
        if refused and not self.worker_faults:
            raise InvariantViolation("beyond_capacity", f"{refused[0]}")
        for task, (final, _) in self.final_outcomes.items():
            if task not in expected:
                raise InvariantViolation("invented", task)
            cancelled = task.partition("/")[0] in self.cancelled
            if final == "cancelled" and not cancelled:
                raise InvariantViolation("cancelled_unasked", task)
            if final == "done" and done[task] == 0:
                raise InvariantViolation("done_unrun", task)
            if final == "failed":
                raise InvariantViolation("failed_unasked", task)
            if done[task] > 1 and not self.worker_faults:
                raise InvariantViolation("ran_twice", f"{task} ran to its end {done[task]} times")

        self._check_drained()

    def _is_state_known(self):
        """Return whether any scheduler knows the cell's state.

        None does after every scheduler was replaced while the log was away for longer than it
        keeps records, the loss that docs/design/ownership.md names.
        """
        return any(s.owner.log.synced for s in self.schedulers.values())

    def _check_drained(self):
        """Check that callers see every job finished and that every report is acknowledged."""
        for _ in range(100):
            views = [
                s.owner.view(job, True) for s in self.schedulers.values() for job in self.submitted
            ]
            finished = {v.job for v in views if v is not None and v.state == "finished"}
            reports = [w.name for w in self.workers.values() if w.standin._outbox]
            if finished >= self.submitted.keys() and not reports:
                return
            self.tick()
        if not self._is_state_known():
            self.state_lost = True
            return
        raise InvariantViolation(
            "not_drained",
            f"{self.submitted.keys() - finished} unfinished, unacknowledged reports at {reports}",
        )

    def running_ms(self):
        """Return the total time that attempts have run at the workers."""
        total = 0
        for worker in self.workers.values():
            started_ms = {}
            for event in worker.standin.audit:
                if event.event == "start":
                    started_ms[(event.task, event.attempt)] = event.at_ms
                elif (event.task, event.attempt) in started_ms:
                    total += event.at_ms - started_ms.pop((event.task, event.attempt))
        return total

    def owners(self):
        return [s.name for s in self.schedulers.values() if s.owner.state in OWNING_STATES]
