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
    deadline_ms: int = 0  # on the worker's clock: not carried out after it
    accepted_ms: int | None = None  # when it was known to be there
    stop_sent_ms: int | None = None
    stop_answered_ms: int | None = None
    percent: int = 100  # the share of its speed that it was last paced to
    slow_since_ms: int | None = None  # when it was paced down below what is worth a place
    wanted_percent: int = 100  # the share that it is to begin with
    progress: int = 0  # percent of its work done, as listed last
    progress_ms: int = 0  # when that changed last
    measure: int = 0  # tail in ms of a serving task, processors in use of any other
    ticket: str = ""
    slack: float | None = None  # of a serving task: its target over its tail, as read last
    own_slack: float | None = None  # what that would be without filling work beside it
    trend: float = 0.0  # how the own slack changed from the reading before

    def move(self, event: str) -> None:
        """Move along the chart; raise IllegalTransition."""
        self.state = RUN_CHART.next(self.state, event)

    def note_accepted(self, now_ms: int) -> None:
        """Note that the worker has the run."""
        self.accepted_ms = now_ms
        self.progress_ms = now_ms


@dataclass(slots=True, eq=False)
class Task:
    """Hold one task."""

    id: TaskId
    step: Step
    ended: str = ""
    failed_runs: frozenset[int] = frozenset()
    checkpoint: str = ""
    run: Run | None = None
    unknown: bool = False
    starts: int = 0  # by this owner
    failed_on: tuple[str, ...] = ()
    not_before_ms: int = 0
    last_run_ms: int = 0  # when its last run ended


@dataclass(slots=True, eq=False)
class Step:
    """Hold one step of one occurrence."""

    job: Job
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    waiting: dict[Task, None] = field(default_factory=dict)
    ready: bool = False
    undone: int = 0
    placed_on: Counter[str] = field(default_factory=Counter)
    racks: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True, eq=False)
class Job:
    """Hold one job."""

    submission: Submission
    arrived_ms: int
    offset: int  # of its submission in the log
    chains_ms: tuple[int, ...]
    state: str = "queued"
    occurrences: dict[int, list[Step]] = field(default_factory=dict)
    finished: set[int] = field(default_factory=set)
    runs: int = 0  # that hold room now
    begun: bool = False  # a task of it may have been started
    begun_stored: bool = False  # and the store says so
    ended_ms: int = 0

    @property
    def name(self) -> str:
        """Return the job's ID."""
        return self.submission.job

    @property
    def final(self) -> bool:
        """Tell whether nothing of the job is to be started any more."""
        return self.state in FINAL_STATES

    def live_tasks(self) -> Iterator[Task]:
        """Yield every task of the occurrences that are not finished."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step.tasks


def chain_lengths(steps: tuple[StepSpec, ...]) -> tuple[int, ...]:
    """Return for each step how long its own and the longest chain of steps behind it take."""
    lengths = [step.estimate_ms for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for earlier in steps[number].after:
            lengths[earlier] = max(lengths[earlier], steps[earlier].estimate_ms + lengths[number])
    return tuple(lengths)


class JobBook:
    """Keep the jobs of a cell."""

    def __init__(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.waiting: dict[Step, None] = {}
        self.unknown: dict[Task, None] = {}
        self.changed: dict[str, None] = {}
        self.timed: dict[str, Job] = {}
        self.version = 0  # rises whenever a task begins to wait

    # Jobs come and go.

    def add(
        self,
        submission: Submission,
        progress: Progress | None,
        unknown: bool,
        now_ms: int,
        offset: int = 0,
    ) -> Job | None:
        """Add a job; with `unknown`, an earlier owner may have started any of its tasks."""
        if submission.job in self.jobs:
            return None
        job = Job(submission, now_ms, offset, chain_lengths(submission.spec.steps))
        self.jobs[submission.job] = job
        if progress is not None:
            job.state = progress.state
            job.ended_ms = progress.ended_ms
            job.begun = job.begun_stored = True  # or there would be no record
        if job.final:
            return job
        spec = submission.spec
        if spec.occurrences or spec.first_due_ms:
            self.timed[job.name] = job
            for number in sorted({row[0] for row in progress.done} if progress else ()):
                self.open_occurrence(job, number, unknown)
        else:
            self.open_occurrence(job, 0, unknown)
        if progress is not None:
            self._restore(job, progress)
        return job

    def open_occurrence(self, job: Job, number: int, unknown: bool = False) -> None:
        """Create the tasks of an occurrence and make its first steps ready."""
        if number in job.occurrences or number in job.finished:
            return
        steps = []
        for index, spec in enumerate(job.submission.spec.steps):
            step = Step(job, number, index, spec, undone=spec.tasks)
            step.tasks = [Task(TaskId(job.name, number, index, i), step) for i in range(spec.tasks)]
            steps.append(step)
        job.occurrences[number] = steps
        for step in steps:
            if unknown:
                for task in step.tasks:
                    task.unknown = True
                    self.unknown[task] = None
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
            found = self.find(TaskId(job.name, row.occurrence, row.step, row.index))
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
        self.timed.pop(name, None)
        for task in job.live_tasks():
            self.unknown.pop(task, None)
        for steps in job.occurrences.values():
            for step in steps:
                self.waiting.pop(step, None)

    def find(self, task: TaskId) -> Task | None:
        """Return a task, if its job is here and its occurrence is open."""
        job = self.jobs.get(task.job)
        steps = job.occurrences.get(task.occurrence) if job else None
        if steps is None or not 0 <= task.step < len(steps):
            return None
        tasks = steps[task.step].tasks
        return tasks[task.number] if 0 <= task.number < len(tasks) else None

    def stray(self, task: TaskId) -> Task | None:
        """Return a task of a known job that is not to run, to account for a run of it."""
        job = self.jobs.get(task.job)
        if job is None or not 0 <= task.step < len(job.submission.spec.steps):
            return None
        spec = job.submission.spec.steps[task.step]
        return Task(task, Step(job, task.occurrence, task.step, spec), ended="stray")

    def work_left(self, job: Job, occurrence: int) -> int:
        """Return the work of an occurrence that is not done, in processor milliseconds."""
        return sum(
            step.undone * step.spec.cpu_millis * step.spec.estimate_ms // 1000
            for step in job.occurrences[occurrence]
        )

    # Readiness.

    def _update_ready(self, step: Step) -> None:
        steps = step.job.occurrences[step.occurrence]
        if step.ready or any(steps[earlier].undone for earlier in step.spec.after):
            return
        step.ready = True
        for task in step.tasks:
            self.wait(task)

    def wait(self, task: Task) -> None:
        """Let a task wait for a start, if it may be started now."""
        step = task.step
        if task.ended or task.run or task.unknown or not step.ready or step.job.final:
            return
        step.waiting[task] = None
        self.waiting[step] = None
        self.version += 1

    def stop_waiting(self, task: Task) -> None:
        """Note that a task does not wait any more."""
        task.step.waiting.pop(task, None)
        if not task.step.waiting:
            self.waiting.pop(task.step, None)

    def resolve_unknown(self, task: Task, now_ms: int) -> None:
        """Note that no earlier run of the task can be going on."""
        if task.unknown:
            task.unknown = False
            if task.step.job.begun:
                task.last_run_ms = now_ms  # it may have run
            self.unknown.pop(task, None)
            self.wait(task)

    # Runs.

    def begin(
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
        self.stop_waiting(task)
        if task.unknown:
            task.unknown = False
            self.unknown.pop(task, None)
        run = Run(task, number, worker, rack, state, now_ms, deadline_ms)
        task.run = run
        task.step.job.runs += 1
        task.step.placed_on[worker] += 1
        task.step.racks[rack] += 1
        self.note_begun(task.step.job)
        return run

    def note_begun(self, job: Job) -> None:
        """Note that tasks of a job may be started from now on."""
        if job.begun:
            return
        job.begun = True
        self.changed[job.name] = None

    def note_started(self, job: Job) -> None:
        """Note that a task of a job was started."""
        if job.state == "queued":
            job.state = "running"
            self.changed[job.name] = None

    def detach(self, run: Run, now_ms: int) -> None:
        """Take a run that is over off its task."""
        task = run.task
        if task.run is not run:
            return
        task.run = None
        task.step.job.runs -= 1
        task.last_run_ms = now_ms
        for counts, name in ((task.step.placed_on, run.worker), (task.step.racks, run.rack)):
            counts[name] -= 1
            if counts[name] <= 0:
                del counts[name]

    # Ends.

    def _mark_done(self, task: Task) -> list[Task]:
        """Mark a task, or its whole gang, as done."""
        step = task.step
        ended = step.tasks if step.spec.gang else [task]
        fresh = [t for t in ended if not t.ended]
        for member in fresh:
            member.ended = "done"
            member.checkpoint = ""
            step.undone -= 1
            self.stop_waiting(member)
            if member.unknown:
                member.unknown = False
                self.unknown.pop(member, None)
        return fresh

    def note_done(self, task: Task, now_ms: int) -> None:
        """Take note that a task has ended well."""
        if not self._mark_done(task):
            return
        step = task.step
        job = step.job
        self.changed[job.name] = None
        if step.undone == 0:
            for later in job.occurrences[step.occurrence]:
                self._update_ready(later)
            self._update_finished(job, now_ms)

    def note_failed(self, task: Task, run: int, max_attempts: int, now_ms: int) -> None:
        """Take note that a run of the task has failed; end the job after `max_attempts`.

        An end may be listed again after it was stored, and ends of several workers come in any
        order, so the runs themselves are remembered.
        """
        step = task.step
        if run in task.failed_runs or step.spec.lasting:
            return
        for member in step.tasks if step.spec.gang else (task,):
            member.failed_runs |= {run}
        self.changed[step.job.name] = None
        if len(task.failed_runs) >= max_attempts:
            task.ended = "failed"
            self.stop_waiting(task)
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
            if all(step.undone == 0 for step in steps):
                job.finished.add(number)
        needed = max(1, job.submission.spec.occurrences)
        if len(job.finished) >= needed and not job.final:
            self.end_job(job, "completed", now_ms)

    def end_job(self, job: Job, state: str, now_ms: int) -> None:
        """End a job; its waiting tasks are not started any more."""
        if job.final:
            return
        job.state = state
        job.ended_ms = now_ms
        self.changed[job.name] = None
        self.timed.pop(job.name, None)
        for task in job.live_tasks():
            self.stop_waiting(task)
            if task.unknown and task.ended:
                self.unknown.pop(task, None)

    def cancel(self, name: str, now_ms: int) -> Job | None:
        """Cancel a job unless it has ended; return it if it was cancelled now."""
        job = self.jobs.get(name)
        if job is None or job.final:
            return None
        self.end_job(job, "cancelled", now_ms)
        return job

    # Progress.

    def progress(self, job: Job, wall_ms: int) -> Progress:
        """Return the record of how far a job is."""
        if job.final:
            return Progress(job.name, job.state, ended_ms=wall_ms)
        done = []
        rows = []
        for number, steps in job.occurrences.items():
            for step in steps:
                if step.undone < step.spec.tasks or number in job.finished:
                    done.append((number, step.number, _done_bits(step)))
                for task in step.tasks:
                    if not task.ended and (task.failed_runs or task.checkpoint):
                        rows.append(
                            TaskProgress(
                                number,
                                step.number,
                                task.id.number,
                                tuple(sorted(task.failed_runs)),
                                task.checkpoint,
                            )
                        )
        return Progress(job.name, job.state, tuple(done), tuple(rows))


def _done_bits(step: Step) -> bytes:
    bits = bytearray((len(step.tasks) + 7) // 8)
    for task in step.tasks:
        if task.ended == "done":
            bits[task.id.number // 8] |= 1 << task.id.number % 8
    return bytes(bits)
