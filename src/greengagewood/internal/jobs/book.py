"""In-memory state of one cell's jobs, as kept by its owner.

This module does no I/O and reads no clock. A task has at most one run at a time, or one run and a
copy of it if its step is speculative. A task is
`maybe_running`, and must not be started, while an earlier owner's run of it may still be going on
on a worker that has not answered this owner yet.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from greengagewood.internal.attribution import FailureHistory
from greengagewood.internal.chart import load_chart
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import (
    PlacedRun,
    Progress,
    Submission,
    TaskId,
    TaskProgress,
)

if TYPE_CHECKING:
    from greengagewood.internal.cells.boots import Boot

__all__ = ["FAILED_STARTS_STORED", "FINAL_STATES", "Job", "JobBook", "Run", "Step", "Task"]

RUN_CHART = load_chart("run")
# At a time by a plan, and of a job ahead of its starts. A plan starts at most 200 tasks.
MAX_TASKS_OPENED = 400
# A task with as many failed starts in a row waits as long as any, and only that is stored.
FAILED_STARTS_STORED = 5
# Of a progress record; the platform's store takes 262,144 bytes a record.
MAX_PROGRESS_BYTES = 200_000
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker; times are of the owner's monotonic clock."""

    task: Task
    number: int
    worker_id: str
    rack: str
    state: str
    started_ms: int
    start_deadline_ms: int = 0  # on the worker's clock; the worker refuses the start after it
    boot: Boot | None = None  # the boot that holds its resources
    was_handed_over: bool = False  # whether its start was sent to an earlier boot than that
    accepted_ms: int | None = None  # when this owner learned that the worker has the run
    accepted_by_clock: bool = False  # whether the worker's clock showed which boot accepted it
    was_carried_out: bool = False  # whether the start was ever carried out, by any boot
    stop_sent_ms: int | None = None
    stop_answered_ms: int | None = None
    open_stops: int = 0  # calls to stop it that have not ended yet
    unwanted_since_ms: int | None = None  # when the owner first saw it after the end of its job
    reported_ms: int = 0  # when it was last reported as going on after that end
    speed_percent: int = 100  # the last speed limit sent, of its full speed
    slow_since_ms: int | None = None  # since when its limit has been low enough to move the run
    initial_speed_percent: int = 100  # the speed limit to send when the start is accepted
    progress_percent: int = 0  # as last listed by the worker
    progress_changed_ms: int = 0  # when `progress_percent` last changed
    listed_ms: int = 0  # when the worker last listed it
    lasted: bool = False  # of a long-running task: whether it has gone on for some time
    resumed: bool = False  # whether part of its work may have been done before this owner counts it
    work_ms: float = 0.0  # time at full speed that it has run, see `cells.runtimes`
    work_counted_ms: int | None = None  # up to when `work_ms` counts
    baseline_percent: int = 0  # its progress when `work_ms` began to count
    outlived: bool = False  # whether its start has certainly not crashed the worker
    tail_ms_or_cpu_millis: int = 0  # see ports.RunningTask
    ticket: str = ""
    # Of a serving task: its tail latency target divided by the tail latency last listed.
    slack: float | None = None
    undisturbed_slack: float | None = None  # estimate without best-effort tasks beside it
    undisturbed_slack_trend: float = 0.0  # its change since the previous reading

    def transition(self, event: str) -> None:
        """Apply an event of the run chart; raise IllegalTransition."""
        self.state = RUN_CHART.next(self.state, event)

    def note_accepted(self, now_ms: int) -> None:
        """Record that the worker has the run."""
        self.accepted_ms = now_ms
        self.was_carried_out = True
        self.work_ms = 0.0  # a later boot begins anew
        self.work_counted_ms = None
        self.progress_changed_ms = now_ms


@dataclass(slots=True, eq=False)
class Task:
    """One task; `end_state` is empty until it ends, then done or failed.

    A placeholder for an unexpected run has the end state `unexpected`.
    """

    id: TaskId
    step: Step
    end_state: str = ""
    failed_runs: frozenset[int] = frozenset()
    checkpoint: str = ""
    run: Run | None = None
    copy: Run | None = None  # a second run of a task of a speculative step, see `cells.copies`
    was_copied: bool = False  # whether this owner has started a copy
    maybe_running: bool = False
    loss_unconfirmed: bool = False  # whether a later owner may have started it since its last run
    start_count: int = 0  # starts by this owner
    failed_workers: tuple[str, ...] = ()
    not_before_ms: int = 0
    # Starts in a row that have failed soon, or were refused as invalid, and until when the task
    # waits for that reason; see `cells.failures`.
    failed_starts: int = 0
    delayed_until_ms: int = 0
    last_run_ended_ms: int = 0  # when it was known that its last run has ended; 0 without one
    idle_since_ms: int = 0  # the same, or earlier if the worker may have ended the run before
    crashes: tuple[PlacedRun, ...] = ()  # the runs that may have crashed their worker
    trial: PlacedRun | None = None  # the run that may crash its worker now
    late_start: Run | None = None  # an unanswered start that binds it to one boot, see `latestarts`

    @property
    def stored_failed_starts(self) -> int:
        """Return the failed starts that its progress record tells of."""
        return FAILED_STARTS_STORED if self.failed_starts >= FAILED_STARTS_STORED else 0

    @property
    def startable_since_ms(self) -> int:
        """Return since when it has been without a run that it could have had."""
        return max(self.idle_since_ms, self.delayed_until_ms)


@dataclass(slots=True, eq=False)
class Step:
    """One step of one occurrence; `ready` when all steps that it depends on are done."""

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    waiting_tasks: dict[Task, None] = field(default_factory=dict)
    ready: bool = False
    unfinished_count: int = 0
    later_steps: list[Step] = field(default_factory=list)  # those that depend on it
    unfinished_dependencies: int = 0  # steps that it depends on and that are not done
    runs_by_worker: Counter[str] = field(default_factory=Counter)
    runs_by_rack: Counter[str] = field(default_factory=Counter)
    failures: FailureHistory[Boot] | None = None  # of its runs; None before the first one


@dataclass(slots=True, eq=False)
class Remainder:
    """What is left of an occurrence that is not finished, kept as running sums."""

    step_count: int
    cpu_ms: int  # estimated


@dataclass(slots=True, eq=False)
class Job:
    """One job."""

    submission: Submission
    arrived_ms: int  # when it was added to the book
    log_offset: int  # of its submission
    critical_paths_ms: tuple[int, ...]  # by step, see `critical_path_lengths`
    longest_path_ms: int  # the longest of them
    total_cpu_ms: int  # estimated work of one occurrence
    task_count: int  # of one occurrence
    state: str = "queued"
    occurrences: dict[int, list[Step]] = field(default_factory=dict)
    finished_occurrences: set[int] = field(default_factory=set)
    next_occurrence: int = 0  # lower ones were opened
    # Opened occurrences of which no task has had a run or is held back by an earlier owner's.
    unstarted_occurrences: set[int] = field(default_factory=set)
    remainders: dict[int, Remainder] = field(default_factory=dict)  # of opened occurrences
    # The part of the progress record about finished occurrences, which does not change any more.
    finished_done: list[tuple[int, int, bytes]] = field(default_factory=list)
    finished_bytes: int = 0  # an upper bound of the encoded size of that
    finished_below: int = 0  # all lower occurrences are finished, and `finished_done` lacks them
    unstored_rows: int = 0  # tasks left out of its last progress record
    active_run_count: int = 0  # runs attached to its tasks
    maybe_started: bool = False  # whether any of its tasks may have been started
    maybe_started_stored: bool = False  # whether a stored progress record says so
    maybe_inherited: bool = False  # whether an earlier owner may have started any of its tasks
    suspects: dict[Task, None] = field(default_factory=dict)  # its tasks with `crashes`
    had_cleared: bool = False  # whether this owner has cleared any of them

    @property
    def id(self) -> str:
        """Return the job's ID."""
        return self.submission.job_id

    @property
    def next_due_ms(self) -> int | None:
        """Return when the first occurrence that was not opened is due; None if there is none."""
        spec = self.submission.spec
        count = max(1, spec.occurrences)
        while self.next_occurrence < count and self.next_occurrence in self.occurrences:
            self.next_occurrence += 1
        if self.next_occurrence >= count:
            return None
        return spec.first_due_ms + self.next_occurrence * max(1, spec.interval_ms)

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended, so that none of its tasks may be started."""
        return self.state in FINAL_STATES

    @property
    def may_open_occurrence(self) -> bool:
        """Return whether less than a batch of its occurrences is open and not started."""
        return len(self.unstarted_occurrences) * self.task_count < MAX_TASKS_OPENED

    def unfinished_steps(self) -> Iterator[Step]:
        """Yield every step of the opened occurrences that are not finished."""
        for number in self.remainders:
            yield from self.occurrences[number]

    def opened_tasks(self) -> Iterator[Task]:
        """Yield every task of the occurrences whose tasks were created."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step.tasks


def _work_cpu_ms(spec: StepSpec, task_count: int) -> int:
    """Return the estimated work of some tasks of a step in CPU milliseconds."""
    return task_count * spec.cpu_millis * spec.estimate_ms // 1000


def total_work_cpu_ms(steps: tuple[StepSpec, ...]) -> int:
    """Return the estimated work of one occurrence of a job in CPU milliseconds."""
    return sum(_work_cpu_ms(spec, spec.task_count) for spec in steps)


def critical_path_lengths(steps: tuple[StepSpec, ...]) -> tuple[int, ...]:
    """Return for each step the length in ms of the longest dependency chain from it on."""
    lengths = [step.estimate_ms for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].depends_on:
            lengths[earlier] = max(lengths[earlier], steps[earlier].estimate_ms + lengths[number])
    return tuple(lengths)


class JobBook:
    """The jobs of a cell, and indexes of the tasks and steps that wait and the jobs that changed.

    `changed_jobs` are those whose progress must be stored. `timed_jobs` have due times and have not
    ended. Dictionaries with None as values are ordered sets.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.waiting_steps: dict[Step, None] = {}
        self.maybe_running_tasks: dict[Task, None] = {}
        self.changed_jobs: dict[str, None] = {}
        self.timed_jobs: dict[str, Job] = {}
        self.waiting_version = 0  # increases whenever a task begins to wait

    # Adding and removing jobs.

    def add(
        self,
        submission: Submission,
        progress: Progress | None,
        maybe_running: bool,
        now_ms: int,
        offset: int = 0,
    ) -> Job | None:
        """Add a job; with `maybe_running`, an earlier owner may have started any of its tasks."""
        if submission.job_id in self.jobs:
            return None
        steps = submission.spec.steps
        total_cpu_ms = total_work_cpu_ms(steps)
        paths_ms = critical_path_lengths(steps)
        longest_path_ms = max(paths_ms, default=0)
        task_count = sum(step.task_count for step in steps)
        job = Job(submission, now_ms, offset, paths_ms, longest_path_ms, total_cpu_ms, task_count)
        job.maybe_inherited = maybe_running
        self.jobs[submission.job_id] = job
        if progress is not None:
            job.state = progress.state
            # A job of which no task can have been started has no progress record.
            job.maybe_started = job.maybe_started_stored = True
        if job.is_final:
            return job
        spec = submission.spec
        if progress is not None and progress.finished_below:
            job.finished_below = job.next_occurrence = progress.finished_below
            job.finished_occurrences.update(range(progress.finished_below))
        if spec.occurrences or spec.first_due_ms:
            self.timed_jobs[job.id] = job
            for number in sorted(_recorded_occurrences(progress) if progress else ()):
                self.open_occurrence(job, number, maybe_running)
        else:
            self.open_occurrence(job, 0, maybe_running)
        if progress is not None:
            self._restore(job, progress)
        return job

    def open_occurrence(self, job: Job, number: int, maybe_running: bool = False) -> None:
        """Create the tasks of an occurrence and mark steps without dependencies as ready."""
        if number in job.occurrences or number in job.finished_occurrences:
            return
        steps = []
        for index, spec in enumerate(job.submission.spec.steps):
            step = Step(job, number, index, spec, unfinished_count=spec.task_count)
            step.tasks = [
                Task(TaskId(job.id, number, index, i), step) for i in range(spec.task_count)
            ]
            steps.append(step)
        for step in steps:
            step.unfinished_dependencies = len(step.spec.depends_on)
            for earlier in step.spec.depends_on:
                steps[earlier].later_steps.append(step)
        job.occurrences[number] = steps
        job.unstarted_occurrences.add(number)
        job.remainders[number] = Remainder(len(steps), job.total_cpu_ms)
        for step in steps:
            if maybe_running:
                for task in step.tasks:
                    task.maybe_running = True
                    self.maybe_running_tasks[task] = None
            self._update_ready(step)

    def _restore(self, job: Job, progress: Progress) -> None:
        for occurrence, number, bitmap in progress.done:
            steps = job.occurrences.get(occurrence)
            if steps is None or number >= len(steps):
                continue
            for task in steps[number].tasks:
                byte, bit = divmod(task.id.number, 8)
                if byte < len(bitmap) and bitmap[byte] >> bit & 1:
                    self._mark_done(task)
        for stored in progress.tasks:
            unfinished = self.find_task(
                TaskId(job.id, stored.occurrence, stored.step, stored.number)
            )
            if unfinished is not None:
                job.unstarted_occurrences.discard(stored.occurrence)
                unfinished.failed_runs = frozenset(stored.failed_runs)
                unfinished.checkpoint = stored.checkpoint
                unfinished.crashes = stored.crashes
                unfinished.trial = stored.trial
                unfinished.failed_starts = stored.failed_starts
                if stored.crashes:
                    job.suspects[unfinished] = None
        for steps in list(job.occurrences.values()):
            for step in steps:
                self._update_ready(step)
        self._update_finished(job)

    def remove(self, job_id: str) -> None:
        """Remove a job that has ended."""
        job = self.jobs.pop(job_id, None)
        if job is None:
            return
        self.timed_jobs.pop(job_id, None)
        for step in job.unfinished_steps():
            self.waiting_steps.pop(step, None)
            for task in step.tasks:
                self.maybe_running_tasks.pop(task, None)

    def find_task(self, task_id: TaskId) -> Task | None:
        """Return a task, or None if its job is not known or its occurrence was not opened."""
        job = self.jobs.get(task_id.job_id)
        steps = job.occurrences.get(task_id.occurrence) if job else None
        if steps is None or not 0 <= task_id.step < len(steps):
            return None
        tasks = steps[task_id.step].tasks
        return tasks[task_id.number] if 0 <= task_id.number < len(tasks) else None

    def find_listed_task(self, task_id: TaskId, maybe_running: bool) -> Task | None:
        """Return a task that a worker lists, and open its occurrence if it was not opened yet.

        Return None if there is no such task.
        """
        job = self.timed_jobs.get(task_id.job_id)  # any other job was opened when it was added
        if job is not None and 0 <= task_id.occurrence < max(1, job.submission.spec.occurrences):
            self.open_occurrence(job, task_id.occurrence, maybe_running)
        return self.find_task(task_id)

    def placeholder_task(self, task_id: TaskId) -> Task | None:
        """Return a task for an unexpected run, so that the run's resources are counted.

        Return None if the job or its step does not exist.
        """
        job = self.jobs.get(task_id.job_id)
        if job is None or not 0 <= task_id.step < len(job.submission.spec.steps):
            return None
        spec = job.submission.spec.steps[task_id.step]
        return Task(
            task_id, Step(job, task_id.occurrence, task_id.step, spec), end_state="unexpected"
        )

    def remaining_cpu_ms(self, job: Job, occurrence: int) -> int:
        """Return the unfinished work of an occurrence in CPU milliseconds."""
        remainder = job.remainders.get(occurrence)
        return remainder.cpu_ms if remainder is not None else 0

    def open_due_occurrences(self, wall_ms: int, adopting: bool) -> None:
        """Open occurrences of timed jobs that are due, the first due first.

        Of each job only a batch is open before any of its tasks is started: the next calls open
        the others. All that have not begun wait for the same, so more would not start earlier.
        """
        due = []
        for order, job in enumerate(self.timed_jobs.values()):
            due_ms = job.next_due_ms
            if due_ms is not None and due_ms <= wall_ms and job.may_open_occurrence:
                due.append((due_ms, order, job))
        heapq.heapify(due)
        opened_tasks = 0
        while due and opened_tasks < MAX_TASKS_OPENED:
            due_ms, order, job = heapq.heappop(due)
            self.open_occurrence(job, job.next_occurrence, adopting and job.maybe_inherited)
            opened_tasks += job.task_count
            next_due_ms = job.next_due_ms
            if next_due_ms is not None and next_due_ms <= wall_ms and job.may_open_occurrence:
                heapq.heappush(due, (next_due_ms, order, job))

    # Readiness.

    def _update_ready(self, step: Step) -> None:
        if step.ready or step.unfinished_dependencies:
            return
        step.ready = True
        for task in step.tasks:
            self.mark_waiting(task)

    def mark_waiting(self, task: Task) -> None:
        """Add a task to those that wait for a start, if it may be started now."""
        step = task.step
        if task.end_state or task.run or not step.ready or step.job.is_final:
            return
        if task.maybe_running or task.loss_unconfirmed:
            return
        step.waiting_tasks[task] = None
        self.waiting_steps[step] = None
        self.waiting_version += 1

    def unmark_waiting(self, task: Task) -> None:
        """Remove a task from those that wait for a start."""
        task.step.waiting_tasks.pop(task, None)
        if not task.step.waiting_tasks:
            self.waiting_steps.pop(task.step, None)

    def note_maybe_running(self, task: Task) -> None:
        """Record that a run by an earlier owner may still be carried out."""
        task.maybe_running = True
        self.maybe_running_tasks[task] = None
        self.unmark_waiting(task)

    def note_held_back(self, task: Task) -> None:
        """Record that a task may not be started yet, though others of its job may be."""
        task.step.job.unstarted_occurrences.discard(task.step.occurrence)

    def note_not_running(
        self,
        task: Task,
        now_ms: int,
        idle_since_ms: int | None = None,
        may_have_run: bool = False,
    ) -> None:
        """Record that no run by an earlier owner can be going on, so the task may be started.

        A run may have ended at `idle_since_ms` already, by default now. An earlier owner that ended
        soon after it started the first task of a job has stored no progress of that job. So with
        `may_have_run`, the task may also have run if there is none.
        """
        if task.maybe_running:
            task.maybe_running = False
            if task.step.job.maybe_started or may_have_run:
                task.last_run_ended_ms = now_ms  # it may have run until now
                task.idle_since_ms = now_ms if idle_since_ms is None else idle_since_ms
            self.maybe_running_tasks.pop(task, None)
            self.mark_waiting(task)

    # Runs.

    def attach_run(
        self,
        task: Task,
        number: int,
        worker_id: str,
        rack: str,
        state: str,
        now_ms: int,
        deadline_ms: int = 0,
    ) -> Run:
        """Attach a run to a task; if the task has a run, attach it as its copy."""
        self.unmark_waiting(task)
        if task.maybe_running:
            task.maybe_running = False
            self.maybe_running_tasks.pop(task, None)
        run = Run(task, number, worker_id, rack, state, now_ms, deadline_ms)
        if task.run is None:
            task.run = run
        else:
            task.copy = run
            task.was_copied = True
        task.step.job.active_run_count += 1
        task.step.job.unstarted_occurrences.discard(task.step.occurrence)
        task.step.runs_by_worker[worker_id] += 1
        task.step.runs_by_rack[rack] += 1
        self.note_maybe_started(task.step.job)
        return run

    def note_maybe_started(self, job: Job) -> None:
        """Record that tasks of a job may be started from now on."""
        if job.maybe_started:
            return
        job.maybe_started = True
        self.changed_jobs[job.id] = None

    def note_started(self, job: Job) -> None:
        """Record that a task of the job was started."""
        if job.state == "queued":
            job.state = "running"
            self.changed_jobs[job.id] = None

    def detach_run(self, run: Run, now_ms: int) -> None:
        """Detach a run that is over from its task; a copy takes its place."""
        task = run.task
        if task.copy is run:
            task.copy = None
        elif task.run is run:
            task.run, task.copy = task.copy, None
        else:
            return
        task.step.job.active_run_count -= 1
        if run.was_carried_out or not task.last_run_ended_ms:  # else it had no run meanwhile
            task.idle_since_ms = now_ms
        task.last_run_ended_ms = now_ms
        for counts, key in (
            (task.step.runs_by_worker, run.worker_id),
            (task.step.runs_by_rack, run.rack),
        ):
            counts[key] -= 1
            if counts[key] <= 0:
                del counts[key]

    # Ends of tasks and jobs.

    def _mark_done(self, task: Task) -> list[Task]:
        """Mark a task, or its whole gang, as done; return the tasks that were not done before."""
        step = task.step
        ended = step.tasks if step.spec.gang else [task]
        newly_done = [t for t in ended if not t.end_state]
        if not newly_done:
            return newly_done
        for member in newly_done:
            member.end_state = "done"
            member.checkpoint = ""
            self.unmark_waiting(member)
            if member.maybe_running:
                member.maybe_running = False
                self.maybe_running_tasks.pop(member, None)
        step.job.unstarted_occurrences.discard(step.occurrence)
        remainder = step.job.remainders[step.occurrence]
        remainder.cpu_ms -= _work_cpu_ms(step.spec, step.unfinished_count)
        step.unfinished_count -= len(newly_done)
        remainder.cpu_ms += _work_cpu_ms(step.spec, step.unfinished_count)
        if not step.unfinished_count:
            remainder.step_count -= 1
            for later in step.later_steps:
                later.unfinished_dependencies -= 1
            if not remainder.step_count:
                self._note_finished(step.job, step.occurrence)
        return newly_done

    @staticmethod
    def _note_finished(job: Job, occurrence: int) -> None:
        del job.remainders[occurrence]
        job.finished_occurrences.add(occurrence)
        rows = [
            (occurrence, step.number, _done_bitmap(step)) for step in job.occurrences[occurrence]
        ]
        job.finished_done.extend(rows)
        job.finished_bytes += sum(map(_done_bytes, rows))

    def note_task_done(self, task: Task, now_ms: int) -> None:
        """Record that a task has succeeded."""
        if not self._mark_done(task):
            return
        step = task.step
        job = step.job
        self.changed_jobs[job.id] = None
        if step.unfinished_count == 0:
            for later in step.later_steps:
                self._update_ready(later)
            self._update_finished(job, now_ms)

    def note_run_failed(self, task: Task, run_number: int, max_attempts: int, now_ms: int) -> None:
        """Record that a run of the task has failed; end the job after `max_attempts` failed runs.

        A worker may list the same end again, and ends from several workers arrive in any order, so
        the numbers of the failed runs are kept instead of a count.
        """
        step = task.step
        if run_number in task.failed_runs or step.spec.long_running:
            return
        for member in step.tasks if step.spec.gang else (task,):
            member.failed_runs |= {run_number}
        self.changed_jobs[step.job.id] = None
        if len(task.failed_runs) >= max_attempts:
            self.give_up(task, now_ms)

    def note_failed_starts(self, task: Task, count: int) -> None:
        """Record how many starts of a task in a row have failed soon."""
        stored, task.failed_starts = task.stored_failed_starts, count
        if task.stored_failed_starts != stored:
            self.changed_jobs[task.step.job.id] = None

    def delay_restart(self, task: Task, until_ms: int) -> None:
        """Start a task that fails at each start no earlier than `until_ms`."""
        task.delayed_until_ms = until_ms
        task.not_before_ms = max(task.not_before_ms, until_ms)

    def note_crash(self, task: Task, run: PlacedRun) -> None:
        """Record that a run of the task may have crashed its worker; a boot crashes once."""
        boot = (run.worker_id, run.address, run.boot_time_ms)
        for crash in task.crashes:
            if crash.number == run.number:
                return
            if boot == (crash.worker_id, crash.address, crash.boot_time_ms) and run.boot_time_ms:
                if crash.accepted or not run.accepted:
                    return
                task.crashes = tuple(other for other in task.crashes if other is not crash)
        task.crashes = (*task.crashes, run)
        task.step.job.suspects[task] = None
        self.changed_jobs[task.step.job.id] = None

    def note_not_crashed(self, task: Task, run_number: int) -> None:
        """Record that a run has certainly not crashed its worker, as it was never started."""
        if not any(crash.number == run_number for crash in task.crashes):
            return
        task.crashes = tuple(crash for crash in task.crashes if crash.number != run_number)
        if not task.crashes:
            task.step.job.suspects.pop(task, None)
        self.changed_jobs[task.step.job.id] = None

    def note_trial(self, task: Task, trial: PlacedRun) -> None:
        """Record a run of which a later owner must know that it may have crashed its worker."""
        task.trial = trial
        self.changed_jobs[task.step.job.id] = None

    def note_cleared(self, task: Task) -> None:
        """Record that the task does not crash its workers."""
        job = task.step.job
        job.had_cleared = job.had_cleared or bool(task.crashes)
        job.suspects.pop(task, None)
        task.crashes = ()
        task.trial = None
        self.changed_jobs[task.step.job.id] = None

    def give_up(self, task: Task, now_ms: int) -> None:
        """End a task that must not be started again, and its job."""
        task.end_state = "failed"
        self.unmark_waiting(task)
        self.end_job(task.step.job, "failed", now_ms)

    def note_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Record the newest checkpoint of a task, or of its whole gang."""
        if checkpoint and task.checkpoint != checkpoint:
            task.checkpoint = checkpoint
            if task.step.spec.gang:
                for member in task.step.tasks:
                    member.checkpoint = checkpoint

    def _update_finished(self, job: Job, now_ms: int = 0) -> None:
        needed = max(1, job.submission.spec.occurrences)
        if len(job.finished_occurrences) >= needed and not job.is_final:
            self.end_job(job, "completed", now_ms)

    def end_job(self, job: Job, state: str, now_ms: int) -> None:
        """End a job; its waiting tasks are no longer started."""
        if job.is_final:
            return
        job.state = state
        self.changed_jobs[job.id] = None
        self.timed_jobs.pop(job.id, None)
        for step in job.unfinished_steps():
            for task in step.tasks:
                self.unmark_waiting(task)
                if task.maybe_running and task.end_state:
                    self.maybe_running_tasks.pop(task, None)

    def cancel(self, job_id: str, now_ms: int) -> Job | None:
        """Cancel a job; return None if it is not known or had ended already."""
        job = self.jobs.get(job_id)
        if job is None or job.is_final:
            return None
        self.end_job(job, "cancelled", now_ms)
        return job

    # Progress.

    def progress_record(
        self, job: Job, wall_ms: int, max_bytes: int = MAX_PROGRESS_BYTES
    ) -> Progress:
        """Return the progress record of a job, to be stored; it has about `max_bytes` at most.

        If there are too many rows, those of running tasks are left out first: their workers list
        the same checkpoints.
        """
        if job.is_final:
            return Progress(job.id, job.state, ended_ms=wall_ms)
        _compact_finished(job, max_bytes // 2)
        done: list[tuple[int, int, bytes]] = []
        needed: list[TaskProgress] = []
        spare: list[TaskProgress] = []
        for number in job.remainders:
            for step in job.occurrences[number]:
                if step.unfinished_count < step.spec.task_count:
                    done.append((number, step.number, _done_bitmap(step)))
                for task in step.tasks if step.unfinished_count else ():
                    if task.end_state:
                        continue
                    if (
                        task.failed_runs
                        or task.crashes
                        or task.trial
                        or task.stored_failed_starts
                        or (task.checkpoint and task.run is None)
                    ):
                        needed.append(_progress_row(number, step, task))
                    elif task.checkpoint:
                        spare.append(_progress_row(number, step, task))
        left_bytes = max_bytes - job.finished_bytes - sum(map(_done_bytes, done))
        stored: list[TaskProgress] = []
        for row in (*needed, *spare):
            left_bytes -= _row_bytes(row)
            if left_bytes < 0:
                break
            stored.append(row)
        job.unstored_rows = len(needed) + len(spare) - len(stored)
        return Progress(
            job.id,
            job.state,
            (*job.finished_done, *done),
            tuple(stored),
            finished_below=job.finished_below,
        )


def _compact_finished(job: Job, max_bytes: int) -> None:
    """Keep the finished occurrences below the first other one as a single number."""
    if job.finished_bytes <= max_bytes:
        return
    while job.finished_below in job.finished_occurrences:
        job.finished_below += 1
    job.finished_done = [row for row in job.finished_done if row[0] >= job.finished_below]
    job.finished_bytes = sum(map(_done_bytes, job.finished_done))


def _progress_row(occurrence: int, step: Step, task: Task) -> TaskProgress:
    return TaskProgress(
        occurrence,
        step.number,
        task.id.number,
        tuple(sorted(task.failed_runs)),
        task.checkpoint,
        task.crashes,
        task.trial,
        task.stored_failed_starts,
    )


def _done_bytes(row: tuple[int, int, bytes]) -> int:
    """Return an upper bound of the encoded size of a row of finished tasks."""
    return 12 + len(row[2])


def _row_bytes(row: TaskProgress) -> int:
    """Return an upper bound of the encoded size of a row."""
    placed = len(row.crashes) + (row.trial is not None)
    return 24 + 9 * len(row.failed_runs) + len(row.checkpoint) + 96 * placed


def _recorded_occurrences(progress: Progress) -> set[int]:
    """Return the numbers of the occurrences of which any task has a record."""
    return {done[0] for done in progress.done} | {task.occurrence for task in progress.tasks}


def _done_bitmap(step: Step) -> bytes:
    bitmap = bytearray((len(step.tasks) + 7) // 8)
    for task in step.tasks:
        if task.end_state == "done":
            bitmap[task.id.number // 8] |= 1 << task.id.number % 8
    return bytes(bitmap)
