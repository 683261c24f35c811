"""What the owner of a cell wants carried out."""

from __future__ import annotations

from dataclasses import dataclass

from greengagewood.internal.cells.fleet import Worker
from greengagewood.internal.jobs.book import Run, Step
from greengagewood.internal.jobs.records import Record, TaskId

__all__ = ["Changes", "Order", "RequestAdvice", "StartRun", "StopRun", "ThrottleRun"]


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run; `deadline_ms` is on the worker's clock."""

    worker: Worker
    run: Run
    payload: str
    deadline_ms: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run; `run` is None if it is not one of ours."""

    worker: Worker
    task_id: TaskId
    run_number: int
    run: Run | None
    reason: str


@dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Let a run work at a share of its speed."""

    worker: Worker
    run: Run
    speed_percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask which of the workers may run the step."""

    step: Step
    worker_ids: tuple[str, ...]


Order = StartRun | StopRun | ThrottleRun | RequestAdvice


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold records to be stored, and the ends that they cover, by worker and boot."""

    records: tuple[Record, ...]
    end_sequences: dict[Worker, int]
    enlisted_workers: tuple[Worker, ...]
    urgent: bool
