"""The tasks of one cell, as its owner knows them, and the outcomes that are not in the log yet.

Callers see a task's outcome as final only after the owner has read its own record of it back from
the log. Until then the worker keeps the report in its outbox, where a new owner of the cell finds
it.
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
RESEND_AFTER_MS = 2000  # an outcome that was not read back by then is appended again
MAX_OUTCOMES_PER_RECORD = 500

RESOURCE_HOLDING_STATES = frozenset({"starting", "running", "evicting", "stopping"})
ENDED_STATES = frozenset({"done", "cancelled", "failed"})
OUTCOME_BY_STATE = {"done": "done", "cancelled": "cancelled", "failed": "failed"}


@dataclass(slots=True)
class Task:
    """One task.

    `attempt` and `worker` are those of the newest attempt; `worker` is empty when it is over.
    `failed_on` names the workers on which an attempt has failed.
    """

    name: str
    job: Job
    state: str
    attempt: int = 0
    worker: str = ""
    checkpoint: str = ""
    failed_on: tuple[str, ...] = ()


@dataclass(slots=True, eq=False)
class Job:
    """One job of the cell.

    `size` is what each of its tasks requests; `sequence` increases with each added job.
    `pending` names the tasks in state `pending` that may be placed, in the order in which they
    became so.
    `wait_reason` says why they wait; it is shown to callers. `failed_on` names the workers on which
    its tasks have failed; `recent_failures` counts their failures since one last succeeded.
    """

    logged: LoggedJob
    size: Resources
    max_attempts: int
    urgent: bool
    sequence: int
    tasks: dict[str, Task] = field(default_factory=dict)
    pending: dict[str, None] = field(default_factory=dict)
    wait_reason: str = ""
    failed_on: set[str] = field(default_factory=set)
    recent_failures: Counter[str] = field(default_factory=Counter)  # by worker

    @property
    def name(self) -> str:
        """Return the job's name."""
        return self.logged.spec.job


@dataclass
class _UnloggedOutcome:
    outcome: TaskOutcome
    sent_ms: int | None = None


class TaskBook:
    """The jobs and tasks of a cell, and the outcomes that are not in the log yet."""

    def __init__(self, log: CellLog) -> None:
        self._log = log
        self.jobs: dict[str, Job] = {}
        self.tasks: dict[str, Task] = {}
        self._unlogged: dict[TaskOutcome, _UnloggedOutcome] = {}
        self._unlogged_attempts: Counter[tuple[str, int]] = Counter()
        self._jobs_added = 0
        self._lost_ms: dict[str, int] = {}  # for each task that is held back, see `hold_back`
        self.waiting_jobs: dict[Job, None] = {}
        self.pending_version = 0
        self.team_usage: dict[str, Resources] = {}
        self.transition_counts: Counter[tuple[str, str]] = Counter()

    def add_job(
        self, logged: LoggedJob, max_attempts: int, urgent: bool, initial_state: str
    ) -> Job | None:
        """Add a job; each task begins in `initial_state` unless the log has its final outcome."""
        spec = logged.spec
        if spec.job in self.jobs or spec.job in self._log.state.ended:
            return None
        size = Resources(spec.cpus, spec.memory_mb, spec.accelerators)
        self._jobs_added += 1
        job = Job(logged, size, max_attempts, urgent, self._jobs_added)
        self.jobs[spec.job] = job
        for index in range(spec.tasks):
            self._add_task(job, task_name(spec.job, index), initial_state)
        return job

    def _add_task(self, job: Job, name: str, initial_state: str) -> None:
        logged_task = self._log.tasks.get(name)
        task = Task(name, job, initial_state)
        if logged_task is not None:
            task.checkpoint = logged_task.checkpoint
            task.failed_on = logged_task.failed_on
            if logged_task.final_outcome:
                task.state = logged_task.final_outcome
        job.tasks[name] = task
        self.tasks[name] = task
        if task.state == "pending":
            self._add_pending(task)

    def hold_back(self, name: str, lost_ms: int) -> None:
        """Keep a task from being placed until the log is read after the loss of its attempt."""
        self._lost_ms[name] = lost_ms

    def confirm_losses(self, confirmed_ms: int) -> None:
        """Let tasks be placed that were lost before the last answered read was sent."""
        for name, lost_ms in list(self._lost_ms.items()):
            if lost_ms >= confirmed_ms:
                continue
            del self._lost_ms[name]
            task = self.tasks.get(name)
            if task is not None and task.state == "pending":
                self._add_pending(task)

    def _add_pending(self, task: Task) -> None:
        if task.name in self._lost_ms:
            return
        self.pending_version += 1
        task.job.pending[task.name] = None
        self.waiting_jobs[task.job] = None

    def _remove_pending(self, task: Task) -> None:
        self.pending_version += 1
        task.job.pending.pop(task.name, None)
        if not task.job.pending:
            self.waiting_jobs.pop(task.job, None)

    def _update_team_usage(self, task: Task, held_before: bool, holds_now: bool) -> None:
        if held_before == holds_now:
            return
        team = task.job.logged.spec.team
        usage = self.team_usage.get(team, Resources())
        self.team_usage[team] = usage + task.job.size if holds_now else usage - task.job.size

    def transition(self, task: Task, event: str) -> str:
        """Apply an event to a task and return its new state; raise IllegalTransition."""
        old_state = task.state
        task.state = TASK_CHART.next(old_state, event)
        self.transition_counts[(old_state, event)] += 1
        if task.state == "pending":
            self._add_pending(task)
        elif old_state == "pending":
            self._remove_pending(task)
        self._update_team_usage(
            task, old_state in RESOURCE_HOLDING_STATES, task.state in RESOURCE_HOLDING_STATES
        )
        if task.state in ENDED_STATES:
            task.worker = ""
        return task.state

    def record_end(self, task: Task, detail: str = "") -> None:
        """Record the final outcome of an ended task, to be appended to the log."""
        self.record_outcome(
            TaskOutcome(task.name, task.attempt, OUTCOME_BY_STATE[task.state], detail)
        )

    def record_outcome(self, outcome: TaskOutcome) -> None:
        """Record an outcome, to be appended to the log."""
        if outcome not in self._unlogged:
            self._unlogged[outcome] = _UnloggedOutcome(outcome)
            self._unlogged_attempts[(outcome.task, outcome.attempt)] += 1

    def has_unlogged_outcome(self, attempt: tuple[str, int]) -> bool:
        """Return whether an outcome of an attempt is not in the log yet."""
        return attempt in self._unlogged_attempts

    def outcomes_to_append(self, now_ms: int) -> tuple[TaskOutcome, ...]:
        """Return the outcomes to append now: new ones, and those not read back for a while."""
        due = []
        for entry in self._unlogged.values():
            if entry.sent_ms is None or now_ms - entry.sent_ms >= RESEND_AFTER_MS:
                entry.sent_ms = now_ms
                due.append(entry.outcome)
                if len(due) == MAX_OUTCOMES_PER_RECORD:
                    break
        return tuple(due)

    def retry_append(self, outcomes: tuple[TaskOutcome, ...]) -> None:
        """Mark outcomes to be appended again after their append failed."""
        for outcome in outcomes:
            entry = self._unlogged.get(outcome)
            if entry is not None:
                entry.sent_ms = None

    def confirm_durable(self, outcomes: tuple[TaskOutcome, ...]) -> None:
        """Remove outcomes that were read back from the log, and the jobs that they ended."""
        for outcome in outcomes:
            self._remove_unlogged(outcome)
            job = job_of(outcome.task)
            if job in self._log.state.ended:
                self._drop_job(job)

    def _drop_job(self, name: str) -> None:
        """Drop an ended job and its tasks; the log has their outcomes."""
        job = self.jobs.pop(name, None)
        if job is not None:
            self.waiting_jobs.pop(job, None)
            for task in job.tasks:
                del self.tasks[task]

    def _remove_unlogged(self, outcome: TaskOutcome) -> None:
        if self._unlogged.pop(outcome, None) is None:
            return
        key = (outcome.task, outcome.attempt)
        self._unlogged_attempts[key] -= 1
        if self._unlogged_attempts[key] == 0:
            del self._unlogged_attempts[key]

    def in_state(self, *states: str) -> Iterator[Task]:
        """Return an iterator over the tasks that are in any of the given states."""
        return (task for task in self.tasks.values() if task.state in states)
