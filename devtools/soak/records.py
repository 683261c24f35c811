"""What callers saw and which faults were injected, as the checker reads it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from devtools.soak.deployment import JobShape

__all__ = ["Disruption", "Event", "JobRecord", "Request", "Run"]

Event = dict[str, Any]  # a line of the stand-in's history


@dataclass
class Request:
    """A request of a caller; times are in milliseconds of the machine's monotonic clock.

    `status` is None if no complete answer arrived, and `error` then says why. A request whose
    connection was refused was not sent.
    """

    instance: int
    method: str
    job: str
    sent_ms: float
    ended_ms: float = 0
    status: int | None = None
    error: str = ""
    state: str = ""  # that a GET returned
    unsent: bool = False


@dataclass
class JobRecord:
    """A job that was submitted, and the requests about it."""

    job: str
    shape: JobShape
    requests: list[Request] = field(default_factory=list)
    final_states: dict[int, str] = field(default_factory=dict)  # by instance, read at the end

    def answers(self, method: str, *statuses: int) -> list[Request]:
        """Return the requests with this method that got one of these statuses."""
        return [r for r in self.requests if r.method == method and r.status in statuses]

    @property
    def accepted_ms(self) -> float | None:
        """Return when the job was first acknowledged, or None."""
        return min((r.ended_ms for r in self.answers("POST", 200, 201, 202)), default=None)

    @property
    def is_refused(self) -> bool:
        """Return whether every attempt to submit the job was refused or never sent."""
        posts = [r for r in self.requests if r.method == "POST"]
        return bool(posts) and all(r.unsent or r.status in (429, 503) for r in posts)

    @property
    def is_cancelling(self) -> bool:
        """Return whether a cancellation was sent."""
        return any(r.method == "DELETE" and not r.unsent for r in self.requests)

    def task_names(self, occurrence: int = 0) -> list[list[str]]:
        """Return the names of the tasks of an occurrence by step."""
        counts = enumerate(self.shape.counts)
        prefix = f"{self.job}.{occurrence}"
        return [[f"{prefix}.{step}.{i}" for i in range(count)] for step, count in counts]

    def all_tasks(self) -> list[str]:
        """Return the names of its tasks in all occurrences."""
        steps = (step for k in range(self.shape.repeats) for step in self.task_names(k))
        return [task for step in steps for task in step]


@dataclass
class Disruption:
    """A fault while it lasted; `instance` is None if it was not one of an instance's process."""

    kind: str
    instance: int | None
    from_ms: float
    to_ms: float = float("inf")


@dataclass
class Run:
    """A run of a task at a worker, from the stand-in's history."""

    task: str
    run: int
    worker: str
    start_ms: float
    end_ms: float = float("inf")
    how: str = ""
    acked_ms: float = float("inf")
    lapsed: bool = False  # whether the lease of its worker has expired from its end to that
    sender: str = ""  # address of the instance that sent the order
    late: bool = False  # whether the worker carried the order out late
    spec: str | None = None
    checkpoint: str = ""  # that its start carried
    draining_ms: float = float("inf")  # since when its worker drains
    stopped_late: bool = False  # whether an order that was held up stopped it
    in_touch: bool = True  # whether an instance in touch started it in time

    def __str__(self) -> str:
        return f"{self.task} run {self.run} started on {self.worker} at {self.start_ms:.0f}"

    @property
    def noted_ms(self) -> float:
        """Return when its end was taken note of: acknowledged in time."""
        return float("inf") if self.lapsed else self.acked_ms

    @property
    def job(self) -> str:
        """Return the ID of its job."""
        return self.task.partition(".")[0]
