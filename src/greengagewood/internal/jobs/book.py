"""The jobs of one cell as its owner knows them: which tasks wait, run and have ended.

Pure: no clock and no sockets. A task has at most one run at a time. A task whose last run may still
be going on, started by an earlier owner on a worker that has not answered yet, is `unknown` and
does not wait.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from greengagewood.internal.chart import load_chart
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import Progress, Submission, TaskId, TaskProgress

__all__ = ["FINAL_STATES", "Job", "JobBook", "Run", "Step", "Task"]

RUN_CHART = load_chart("run")
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})


@dataclass(slots=True, eq=False)
class Run:
    """Hold one start of a task on one worker; times are of the owner's steady clock."""

    task: Task
    number: int
    worker: str
    rack: str
    state: str
    started_ms: int
    start_deadline_ms: int = 0  # on the worker's clock: not carried out after it
    accepted_ms: int | None = None  # when it was known to be there
    stop_sent_ms: int | None = None
    stop_answered_ms: int | None = None
    speed_percent: int = 100  # the share of its speed that it was last paced to
    slow_since_ms: int | None = None  # when it was paced down below what is worth a place
    initial_speed_percent: int = 100  # the share that it is to begin with
    progress_percent: int = 0  # percent of its work done, as listed last
    progress_changed_ms: int = 0  # when that changed last
    tail_ms_or_cpu_millis: int = 0  # tail in ms of a serving task, processors in use of any other
    ticket: str = ""
    slack: float | None = None  # of a serving task: its target over its tail, as read last
    undisturbed_slack: float | None = None  # what that would be without filling work beside it
    undisturbed_slack_trend: float = 0.0  # how the own slack changed from the reading before

    def transition(self, event: str) -> None:
        """Move along the chart; raise IllegalTransition."""
        self.state = RUN_CHART.next(self.state, event)

    def note_accepted(self, now_ms: int) -> None:
        """Note that the worker has the run."""
        self.accepted_ms = now_ms
        self.progress_changed_ms = now_ms


@dataclass(slots=True, eq=False)
class Task:
    """Hold one task."""

    id: TaskId
    step: Step
    end_state: str = ""
    failed_runs: frozenset[int] = frozenset()
    checkpoint: str = ""
    run: Run | None = None
    maybe_running: bool = False
    start_count: int = 0  # by this owner
    failed_workers: tuple[str, ...] = ()
    not_before_ms: int = 0
    last_run_ended_ms: int = 0  # when its last run ended


@dataclass(slots=True, eq=False)
class Step:
    """Hold one step of one occurrence."""

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    waiting_tasks: dict[Task, None] = field(default_factory=dict)
    ready: bool = False
    unfinished_count: int = 0
    runs_by_worker: Counter[str] = field(default_factory=Counter)
    runs_by_rack: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class Job:
    """Hold one job."""

    submission: Submission
    arrived_ms: int
    log_offset: int  # of its submission in the log
    critical_paths_ms: tuple[int, ...]
    state: str = "queued"
    occurrences: dict[int, list[Step]] = field(default_factory=dict)
    finished_occurrences: set[int] = field(default_factory=set)
    active_run_count: int = 0  # that hold room now
    maybe_started: bool = False  # a task of it may have been started
    maybe_started_stored: bool = False  # and the store says so
    ended_ms: int = 0

    @property
    def id(self) -> str:
        """Return the job's ID."""
        return self.submission.job_id

    @property
    def is_final(self) -> bool:
        """Tell whether nothing of the job is to be started any more."""
        return self.state in FINAL_STATES

    def opened_tasks(self) -> Iterator[Task]:
        """Yield every task of the occurrences that are not finished."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step.tasks


def critical_path_lengths(steps: tuple[StepSpec, ...]) -> tuple[int, ...]:
    """Return for each step how long its own and the longest chain of steps behind it take."""
    lengths = [step.estimate_ms for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].depends_on:
            lengths[earlier] = max(lengths[earlier], steps[earlier].estimate_ms + lengths[number])
    return tuple(lengths)


class JobBook:
    """Keep the jobs of a cell."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.waiting_steps: dict[Step, None] = {}
        self.maybe_running_tasks: dict[Task, None] = {}
        self.changed_jobs: dict[str, None] = {}
        self.timed_jobs: dict[str, Job] = {}
        self.waiting_version = 0  # rises whenever a task begins to wait

    # Jobs come and go.

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
        job = Job(submission, now_ms, offset, critical_path_lengths(submission.spec.steps))
        self.jobs[submission.job_id] = job
        if progress is not None:
            job.state = progress.state
            job.ended_ms = progress.ended_ms
            job.maybe_started = job.maybe_started_stored = True  # or there would be no record
        if job.is_final:
            return job
        spec = submission.spec
        if spec.occurrences or spec.first_due_ms:
            self.timed_jobs[job.id] = job
            for number in sorted({row[0] for row in progress.done} if progress else ()):
                self.open_occurrence(job, number, maybe_running)
        else:
            self.open_occurrence(job, 0, maybe_running)
        if progress is not None:
            self._restore(job, progress)
        return job

    def open_occurrence(self, job: Job, number: int, maybe_running: bool = False) -> None:
        """Create the tasks of an occurrence and make its first steps ready."""
        if number in job.occurrences or number in job.finished_occurrences:
            return
        steps = []
        for index, spec in enumerate(job.submission.spec.steps):
            step = Step(job, number, index, spec, unfinished_count=spec.task_count)
            step.tasks = [
                Task(TaskId(job.id, number, index, i), step) for i in range(spec.task_count)
            ]
            steps.append(step)
        job.occurrences[number] = steps
        for step in steps:
            if maybe_running:
                for task in step.tasks:
                    task.maybe_running = True
                    self.maybe_running_tasks[task] = None
            self._update_ready(step)

    def _restore(self, job: Job, progress: Progress) -> None:
        for occurrence, number, bits in progress.done:
            steps = job.occurrences.get(occurrence)
            if steps is None or number >= len(steps):
                continue
            for task in steps[number].tasks:
                byte, bit = divmod(task.id.number, 8)
                if byte < len(bits) and bits[byte] >> bit & 1:
                    self._mark_done(task)
        for row in progress.tasks:
            found = self.find_task(TaskId(job.id, row.occurrence, row.step, row.number))
            if found is not None:
                found.failed_runs = frozenset(row.failed_runs)
                found.checkpoint = row.checkpoint
        for steps in list(job.occurrences.values()):
            for step in steps:
                self._update_ready(step)
        self._update_finished(job)

    def remove(self, name: str) -> None:
        """Forget a job that has ended."""
        job = self.jobs.pop(name, None)
        if job is None:
            return
        self.timed_jobs.pop(name, None)
        for task in job.opened_tasks():
            self.maybe_running_tasks.pop(task, None)
        for steps in job.occurrences.values():
            for step in steps:
                self.waiting_steps.pop(step, None)

    def find_task(self, task: TaskId) -> Task | None:
        """Return a task, if its job is here and its occurrence is open."""
        job = self.jobs.get(task.job_id)
        steps = job.occurrences.get(task.occurrence) if job else None
        if steps is None or not 0 <= task.step < len(steps):
            return None
        tasks = steps[task.step].tasks
        return tasks[task.number] if 0 <= task.number < len(tasks) else None

    def placeholder_task(self, task: TaskId) -> Task | None:
        """Return a task of a known job that is not to run, to account for a run of it."""
        job = self.jobs.get(task.job_id)
        if job is None or not 0 <= task.step < len(job.submission.spec.steps):
            return None
        spec = job.submission.spec.steps[task.step]
        return Task(task, Step(job, task.occurrence, task.step, spec), end_state="stray")

    def remaining_cpu_ms(self, job: Job, occurrence: int) -> int:
        """Return the work of an occurrence that is not done, in processor milliseconds."""
        return sum(
            step.unfinished_count * step.spec.cpu_millis * step.spec.estimate_ms // 1000
            for step in job.occurrences[occurrence]
        )

    # Readiness.

    def _update_ready(self, step: Step) -> None:
        steps = step.job.occurrences[step.occurrence]
        if step.ready or any(steps[earlier].unfinished_count for earlier in step.spec.depends_on):
            return
        step.ready = True
        for task in step.tasks:
            self.mark_waiting(task)

    def mark_waiting(self, task: Task) -> None:
        """Let a task wait for a start, if it may be started now."""
        step = task.step
        if task.end_state or task.run or task.maybe_running or not step.ready or step.job.is_final:
            return
        step.waiting_tasks[task] = None
        self.waiting_steps[step] = None
        self.waiting_version += 1

    def unmark_waiting(self, task: Task) -> None:
        """Note that a task does not wait any more."""
        task.step.waiting_tasks.pop(task, None)
        if not task.step.waiting_tasks:
            self.waiting_steps.pop(task.step, None)

    def note_not_running(self, task: Task, now_ms: int) -> None:
        """Note that no earlier run of the task can be going on."""
        if task.maybe_running:
            task.maybe_running = False
            if task.step.job.maybe_started:
                task.last_run_ended_ms = now_ms  # it may have run
            self.maybe_running_tasks.pop(task, None)
            self.mark_waiting(task)

    # Runs.

    def attach_run(
        self,
        task: Task,
        number: int,
        worker: str,
        rack: str,
        state: str,
        now_ms: int,
        deadline_ms: int = 0,
    ) -> Run:
        """Attach a run to a task."""
        self.unmark_waiting(task)
        if task.maybe_running:
            task.maybe_running = False
            self.maybe_running_tasks.pop(task, None)
        run = Run(task, number, worker, rack, state, now_ms, deadline_ms)
        task.run = run
        task.step.job.active_run_count += 1
        task.step.runs_by_worker[worker] += 1
        task.step.runs_by_rack[rack] += 1
        self.note_maybe_started(task.step.job)
        return run

    def note_maybe_started(self, job: Job) -> None:
        """Note that tasks of a job may be started from now on."""
        if job.maybe_started:
            return
        job.maybe_started = True
        self.changed_jobs[job.id] = None

    def note_started(self, job: Job) -> None:
        """Note that a task of a job was started."""
        if job.state == "queued":
            job.state = "running"
            self.changed_jobs[job.id] = None

    def detach_run(self, run: Run, now_ms: int) -> None:
        """Take a run that is over off its task."""
        task = run.task
        if task.run is not run:
            return
        task.run = None
        task.step.job.active_run_count -= 1
        task.last_run_ended_ms = now_ms
        for counts, name in (
            (task.step.runs_by_worker, run.worker),
            (task.step.runs_by_rack, run.rack),
        ):
            counts[name] -= 1
            if counts[name] <= 0:
                del counts[name]

    # Ends.

    def _mark_done(self, task: Task) -> list[Task]:
        """Mark a task, or its whole gang, as done."""
        step = task.step
        ended = step.tasks if step.spec.gang else [task]
        fresh = [t for t in ended if not t.end_state]
        for member in fresh:
            member.end_state = "done"
            member.checkpoint = ""
            step.unfinished_count -= 1
            self.unmark_waiting(member)
            if member.maybe_running:
                member.maybe_running = False
                self.maybe_running_tasks.pop(member, None)
        return fresh

    def note_task_done(self, task: Task, now_ms: int) -> None:
        """Take note that a task has ended well."""
        if not self._mark_done(task):
            return
        step = task.step
        job = step.job
        self.changed_jobs[job.id] = None
        if step.unfinished_count == 0:
            for later in job.occurrences[step.occurrence]:
                self._update_ready(later)
            self._update_finished(job, now_ms)

    def note_run_failed(self, task: Task, run: int, max_attempts: int, now_ms: int) -> None:
        """Take note that a run of the task has failed; end the job after `max_attempts`.

        An end may be listed again after it was stored, and ends of several workers come in any
        order, so the runs themselves are remembered.
        """
        step = task.step
        if run in task.failed_runs or step.spec.long_running:
            return
        for member in step.tasks if step.spec.gang else (task,):
            member.failed_runs |= {run}
        self.changed_jobs[step.job.id] = None
        if len(task.failed_runs) >= max_attempts:
            task.end_state = "failed"
            self.unmark_waiting(task)
            self.end_job(step.job, "failed", now_ms)

    def note_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keep the newest checkpoint of a task."""
        if checkpoint and task.checkpoint != checkpoint:
            task.checkpoint = checkpoint
            if task.step.spec.gang:
                for member in task.step.tasks:
                    member.checkpoint = checkpoint

    def _update_finished(self, job: Job, now_ms: int = 0) -> None:
        for number, steps in list(job.occurrences.items()):
            if all(step.unfinished_count == 0 for step in steps):
                job.finished_occurrences.add(number)
        needed = max(1, job.submission.spec.occurrences)
        if len(job.finished_occurrences) >= needed and not job.is_final:
            self.end_job(job, "completed", now_ms)

    def end_job(self, job: Job, state: str, now_ms: int) -> None:
        """End a job; its waiting tasks are not started any more."""
        if job.is_final:
            return
        job.state = state
        job.ended_ms = now_ms
        self.changed_jobs[job.id] = None
        self.timed_jobs.pop(job.id, None)
        for task in job.opened_tasks():
            self.unmark_waiting(task)
            if task.maybe_running and task.end_state:
                self.maybe_running_tasks.pop(task, None)

    def cancel(self, name: str, now_ms: int) -> Job | None:
        """Cancel a job unless it has ended; return it if it was cancelled now."""
        job = self.jobs.get(name)
        if job is None or job.is_final:
            return None
        self.end_job(job, "cancelled", now_ms)
        return job

    # Progress.

    def progress_record(self, job: Job, wall_ms: int) -> Progress:
        """Return the record of how far a job is."""
        if job.is_final:
            return Progress(job.id, job.state, ended_ms=wall_ms)
        done = []
        rows = []
        for number, steps in job.occurrences.items():
            for step in steps:
                if (
                    step.unfinished_count < step.spec.task_count
                    or number in job.finished_occurrences
                ):
                    done.append((number, step.number, _done_bits(step)))
                for task in step.tasks:
                    if not task.end_state and (task.failed_runs or task.checkpoint):
                        rows.append(
                            TaskProgress(
                                number,
                                step.number,
                                task.id.number,
                                tuple(sorted(task.failed_runs)),
                                task.checkpoint,
                            )
                        )
        return Progress(job.id, job.state, tuple(done), tuple(rows))


def _done_bits(step: Step) -> bytes:
    bits = bytearray((len(step.tasks) + 7) // 8)
    for task in step.tasks:
        if task.end_state == "done":
            bits[task.id.number // 8] |= 1 << task.id.number % 8
    return bytes(bits)
