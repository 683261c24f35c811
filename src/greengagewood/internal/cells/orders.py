"""Orders that the owner of a cell gives, and changes that it stores."""

from __future__ import annotations

from dataclasses import dataclass

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.jobs.book import Run, Step
from greengagewood.internal.jobs.records import Record, TaskId

__all__ = [
    "Changes",
    "Order",
    "RequestAdvice",
    "StartRun",
    "StopRun",
    "ThrottleRun",
    "start_fields",
]


@dataclass(frozen=True, slots=True)
class StartRun:
    """Start a run; `deadline_ms` is a time on the worker's clock."""

    boot: Boot
    run: Run
    payload: str
    deadline_ms: int
    checkpoint: str


@dataclass(frozen=True, slots=True)
class StopRun:
    """Stop a run; `run` is None if the task is not known."""

    boot: Boot
    task_id: TaskId
    run_number: int
    run: Run | None
    reason: str


@dataclass(frozen=True, slots=True)
class ThrottleRun:
    """Limit a run to a share of its full speed."""

    boot: Boot
    run: Run
    speed_percent: int


@dataclass(frozen=True, slots=True)
class RequestAdvice:
    """Ask the advice service which of the workers may run the step."""

    step: Step
    worker_ids: tuple[str, ...]
    timeout_ms: int


Order = StartRun | StopRun | ThrottleRun | RequestAdvice


@dataclass(frozen=True, slots=True)
class Changes:
    """Records to store and, by boot, the sequence number of the last run end that they cover.

    `registered_boots` are those of the workers that a `RegisteredWorkers` record among them names,
    and `unlimited_boots` those of which it does not say when their runs are over.
    With `urgent`, the records must be stored without delay.
    """

    records: tuple[Record, ...]
    end_sequences: dict[Boot, int]
    registered_boots: tuple[Boot, ...]
    unlimited_boots: tuple[Boot, ...]
    urgent: bool


def start_fields(order: StartRun, now_ms: int) -> dict[str, object]:
    """Return what the log says of a start that has ended."""
    boot, run = order.boot, order.run
    spec = run.task.step.spec
    return {
        "task": run.task.id,
        "run": run.number,
        "worker": boot.name,
        "waited_ms": run.started_ms - run.task.step.job.arrived_ms,
        "image": spec.image,
        "cpu": spec.cpu_millis,
        "percent": run.initial_speed_percent,
        "cold": boot.cold,
        "free_cpu": boot.info.cpu_millis - boot.allocated.cpu_millis,
        "answered_ms": now_ms - run.started_ms,
    }
