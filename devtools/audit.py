"""Audit a run from the records of the workers, the backend servers and the callers.

The audit uses none of the system's own counters. Each check counts violations; a run passes when
every count is zero.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["Audit", "CallerRecord", "ExecutionRecord", "TaskEvent", "audit_run"]

LEAVING_BACKEND_LIMIT_MS = 3000
END_EVENTS = frozenset({"done", "failed", "checkpointed", "stopped", "lapsed"})


@dataclass(frozen=True)
class CallerRecord:
    """Record what a caller knows about a request that it has finished.

    `marker` identifies the request; its attempt number N has the marker `MARKER.N`. `outcome` is
    answered, not_run, may_have_run, or cut if the connection broke before an answer arrived.
    `excused` marks a request that a gateway which the run kills or cuts off may have failed.
    `attempt_log` holds the answer or error of each attempt that did not succeed.
    """

    marker: str
    caller: str
    idempotent: bool
    outcome: str
    answer_matches: bool
    not_run_attempts: tuple[str, ...]
    latency_ms: float
    excused: bool = False
    attempt_log: tuple[str, ...] = ()


@dataclass(frozen=True)
class ExecutionRecord:
    """Record one execution of a request at a backend server."""

    marker: str
    caller: str
    late_ms: int = 0


@dataclass(frozen=True)
class TaskEvent:
    """Record one event of an attempt at a worker."""

    at_ms: int
    worker: str
    event: str
    task: str
    attempt: int


@dataclass
class Audit:
    """Count the violations of a run, and what it comprised."""

    requests: int = 0
    tasks: int = 0
    lost: int = 0
    duplicated: int = 0
    mixed_up: int = 0
    overcommitted: int = 0
    ran_after_not_run: int = 0
    late_on_leaving_backends: int = 0
    cut_off: int = 0
    excused: int = 0
    evictions: int = 0
    notes: list[str] = field(default_factory=list)

    def violations(self) -> int:
        """Return the total number of violations."""
        return (
            self.lost
            + self.duplicated
            + self.mixed_up
            + self.overcommitted
            + self.ran_after_not_run
            + self.late_on_leaving_backends
            + self.cut_off
        )


def request_marker(marker: str) -> str:
    """Return the marker of the request that an attempt's marker belongs to."""
    return marker.rpartition(".")[0]


def audit_run(
    callers: Iterable[CallerRecord],
    executions: Iterable[ExecutionRecord],
    task_events: Iterable[TaskEvent],
    expected_tasks: Iterable[str],
    committed: dict[str, tuple[int, int, int]],
    capacity: dict[str, tuple[int, int, int]],
) -> Audit:
    """Audit a whole run.

    `committed` and `capacity` hold the processors, megabytes and accelerators of each worker.
    """
    audit = Audit()
    execution_records = list(executions)
    _audit_requests(audit, list(callers), execution_records)
    _audit_tasks(audit, list(task_events), set(expected_tasks))
    for execution in execution_records:
        if execution.late_ms > LEAVING_BACKEND_LIMIT_MS:
            audit.late_on_leaving_backends += 1
            audit.notes.append(f"{execution.marker} ran {execution.late_ms} ms after leaving")
    for worker, amounts in committed.items():
        if any(used > limit for used, limit in zip(amounts, capacity[worker], strict=True)):
            audit.overcommitted += 1
            audit.notes.append(f"{worker} was committed to {amounts} of {capacity[worker]}")
    return audit


def _audit_requests(
    audit: Audit, callers: list[CallerRecord], executions: list[ExecutionRecord]
) -> None:
    executions_by_request = Counter(request_marker(execution.marker) for execution in executions)
    executions_by_attempt = Counter(execution.marker for execution in executions)
    caller_of_request = {record.marker: record.caller for record in callers}
    for record in callers:
        audit.requests += 1
        _audit_request(audit, record, executions_by_request[record.marker])
        for attempt in record.not_run_attempts:
            if executions_by_attempt[attempt]:
                audit.ran_after_not_run += 1
                audit.notes.append(f"{attempt} ran although it was refused as not run")
    for execution in executions:
        if (
            caller_of_request.get(request_marker(execution.marker), execution.caller)
            != execution.caller
        ):
            audit.mixed_up += 1
            audit.notes.append(f"{execution.marker} ran for caller {execution.caller}")


def _audit_request(audit: Audit, record: CallerRecord, runs: int) -> None:
    if record.outcome == "answered":
        if not record.answer_matches:
            audit.mixed_up += 1
            audit.notes.append(f"{record.marker} was given another answer")
        if runs == 0:
            audit.lost += 1
            audit.notes.append(f"{record.marker} was answered but never ran")
    elif record.outcome in ("may_have_run", "cut") and record.excused:
        audit.excused += 1
    elif record.outcome == "cut":
        audit.cut_off += 1
        audit.notes.append(f"{record.marker} was cut off after {record.attempt_log}")
    else:
        audit.lost += 1
        audit.notes.append(f"{record.marker} ended as {record.outcome} after {record.attempt_log}")
    if not record.idempotent and runs > 1:
        audit.duplicated += 1
        audit.notes.append(f"{record.marker} ran {runs} times")


def _audit_tasks(audit: Audit, events: list[TaskEvent], expected: set[str]) -> None:
    audit.tasks = len(expected)
    done = Counter(event.task for event in events if event.event == "done")
    for task in sorted(expected):
        if done[task] == 0:
            audit.lost += 1
            audit.notes.append(f"task {task} never ran to its end")
        elif done[task] > 1:
            audit.duplicated += 1
            audit.notes.append(f"task {task} ran to its end {done[task]} times")
    for task in done.keys() - expected:
        audit.duplicated += 1
        audit.notes.append(f"task {task} ran though nobody submitted it")
    audit.evictions = sum(1 for event in events if event.event == "checkpointed")
    _audit_overlaps(audit, events)


def _audit_overlaps(audit: Audit, events: list[TaskEvent]) -> None:
    by_task: dict[str, list[TaskEvent]] = defaultdict(list)
    for event in events:
        by_task[event.task].append(event)
    for task, found in by_task.items():
        running: set[int] = set()
        for event in sorted(found, key=lambda e: (e.at_ms, e.event == "start")):
            if event.event == "start":
                running.add(event.attempt)
                if len(running) > 1:
                    audit.duplicated += 1
                    audit.notes.append(f"task {task} ran in two places at {event.at_ms}")
            elif event.event in END_EVENTS:
                running.discard(event.attempt)
