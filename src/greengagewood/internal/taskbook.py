"""The tasks of one cell, as its owner knows them, and what the log has yet to be told.

A task's outcome becomes final for callers only when the owner has read its own record back: until
then the worker keeps the report in its outbox, and whoever takes the cell over finds it there.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from greengagewood.internal.celllog import CellLog, job_of, task_name
from greengagewood.internal.chart import load_chart
from greengagewood.internal.joblog import LoggedJob
from greengagewood.internal.placement import Resources
from greengagewood.internal.records import TaskOutcome

__all__ = ["Job", "Task", "TaskBook"]

TASK_CHART = load_chart("task")
RESEND_AFTER_MS = 2000
MAX_OUTCOMES_IN_RECORD = 500

HOLDING_STATES = frozenset({"starting", "running", "evicting", "stopping"})
ENDED_STATES = frozenset({"done", "cancelled", "failed"})
OUTCOME_OF_STATE = {"done": "done", "cancelled": "cancelled", "failed": "failed"}


@dataclass(slots=True)
class Task:
    """Hold one task."""

    name: str
    job: Job
    state: str
    attempt: int = 0
    worker: str = ""
    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class Job:
    """Hold one job of the cell."""

    logged: LoggedJob
    size: Resources
    max_attempts: int
    urgent: bool
    order: int
    tasks: dict[str, Task] = field(default_factory=dict)
    pending: dict[str, None] = field(default_factory=dict)
    reason: str = ""
    failed_on: set[str] = field(default_factory=set)

    @property
    def name(self) -> str:
        """Return the job's name."""
        return self.logged.spec.job


@dataclass
class _Unlogged:
    outcome: TaskOutcome
    sent_ms: int | None = None


class TaskBook:
    """Keep the tasks of a cell."""

    def __init__(self, log: CellLog) -> None:
        self._log = log
        self.jobs: dict[str, Job] = {}
        self.tasks: dict[str, Task] = {}
        self._unlogged: dict[TaskOutcome, _Unlogged] = {}
        self._unlogged_attempts: Counter[tuple[str, int]] = Counter()
        self._added = 0
        self.waiting: dict[Job, None] = {}
        self.version = 0
        self.team_used: dict[str, Resources] = {}
        self.moves: Counter[tuple[str, str]] = Counter()

    def add_job(
        self, logged: LoggedJob, max_attempts: int, urgent: bool, fresh_state: str
    ) -> Job | None:
        """Add a job whose tasks begin in a state unless the log knows their end."""
        spec = logged.spec
        if spec.job in self.jobs or spec.job in self._log.state.ended:
            return None
        size = Resources(spec.cpus, spec.memory_mb, spec.accelerators)
        self._added += 1
        job = Job(logged, size, max_attempts, urgent, self._added)
        self.jobs[spec.job] = job
        for index in range(spec.tasks):
            self._add_task(job, task_name(spec.job, index), fresh_state)
        return job

    def _add_task(self, job: Job, name: str, fresh_state: str) -> None:
        known = self._log.tasks.get(name)
        task = Task(name, job, fresh_state)
        if known is not None:
            task.checkpoint = known.checkpoint
            task.failed_on = known.failed_on
            if known.final:
                task.state = known.final
        job.tasks[name] = task
        self.tasks[name] = task
        if task.state == "pending":
            self._note_pending(task)

    def _note_pending(self, task: Task) -> None:
        self.version += 1
        task.job.pending[task.name] = None
        self.waiting[task.job] = None

    def _note_not_pending(self, task: Task) -> None:
        self.version += 1
        task.job.pending.pop(task.name, None)
        if not task.job.pending:
            self.waiting.pop(task.job, None)

    def _note_use(self, task: Task, was: bool, now: bool) -> None:
        if was == now:
            return
        team = task.job.logged.spec.team
        used = self.team_used.get(team, Resources())
        self.team_used[team] = used + task.job.size if now else used - task.job.size

    def move(self, task: Task, event: str) -> str:
        """Move a task along its chart; raise IllegalTransition."""
        old = task.state
        task.state = TASK_CHART.next(old, event)
        self.moves[(old, event)] += 1
        if task.state == "pending":
            self._note_pending(task)
        elif old == "pending":
            self._note_not_pending(task)
        self._note_use(task, old in HOLDING_STATES, task.state in HOLDING_STATES)
        if task.state in ENDED_STATES:
            task.worker = ""
        return task.state

    def end(self, task: Task, detail: str = "") -> None:
        """Note the end of a task for the log."""
        self.note(TaskOutcome(task.name, task.attempt, OUTCOME_OF_STATE[task.state], detail))

    def note(self, outcome: TaskOutcome) -> None:
        """Note an outcome that the log has yet to be told."""
        if outcome not in self._unlogged:
            self._unlogged[outcome] = _Unlogged(outcome)
            self._unlogged_attempts[(outcome.task, outcome.attempt)] += 1

    def is_unlogged(self, attempt: tuple[str, int]) -> bool:
        """Tell whether an outcome of an attempt has yet to become durable."""
        return attempt in self._unlogged_attempts

    def take_unlogged(self, now_ms: int) -> tuple[TaskOutcome, ...]:
        """Return outcomes to append now, again after a while without a sign of them."""
        due = []
        for entry in self._unlogged.values():
            if entry.sent_ms is None or now_ms - entry.sent_ms >= RESEND_AFTER_MS:
                entry.sent_ms = now_ms
                due.append(entry.outcome)
                if len(due) == MAX_OUTCOMES_IN_RECORD:
                    break
        return tuple(due)

    def resend(self, outcomes: tuple[TaskOutcome, ...]) -> None:
        """Make outcomes due again after their append failed."""
        for outcome in outcomes:
            entry = self._unlogged.get(outcome)
            if entry is not None:
                entry.sent_ms = None

    def make_durable(self, outcomes: tuple[TaskOutcome, ...]) -> None:
        """Take outcomes in that were read back from the log."""
        for outcome in outcomes:
            self._forget(outcome)
            job = job_of(outcome.task)
            if job in self._log.state.ended:
                self._drop_job(job)

    def _drop_job(self, name: str) -> None:
        """Forget the tasks of a job that has ended; the log knows what became of them."""
        job = self.jobs.pop(name, None)
        if job is not None:
            self.waiting.pop(job, None)
            for task in job.tasks:
                del self.tasks[task]

    def _forget(self, outcome: TaskOutcome) -> None:
        if self._unlogged.pop(outcome, None) is None:
            return
        key = (outcome.task, outcome.attempt)
        self._unlogged_attempts[key] -= 1
        if self._unlogged_attempts[key] == 0:
            del self._unlogged_attempts[key]

    def in_state(self, *states: str) -> Iterator[Task]:
        """Iterate over the tasks in some states."""
        return (task for task in self.tasks.values() if task.state in states)
