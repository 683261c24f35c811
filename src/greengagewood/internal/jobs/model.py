"""Job specifications: a job is a directed acyclic graph of steps, a step a set of equal tasks."""

from __future__ import annotations

import msgspec

__all__ = ["InvalidJob", "JobSpec", "Queue", "StepSpec", "check_job"]

MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 1_000
MAX_TASKS = 20_000  # per occurrence of a job, over all its steps
MAX_OCCURRENCES = 100_000
# Of sizes, limits and times. JSON numbers may have any number of digits, stored ones 64 bits.
MAX_NUMBER = 2**53 - 1


class InvalidJob(ValueError):
    """Raised for a job that cannot be accepted; the message says how to correct it."""


class StepSpec(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """One step of a job; sizes and times are per task.

    `max_per_instance` and `max_unavailable` are limits, 0 for none; the first is the number of
    tasks of the step on one worker. `long_running` tasks run until the job is cancelled.
    `best_effort` tasks use only CPU time that other tasks leave idle. A serving task is one with a
    `tail_target_ms`: it serves callers of its own, and must keep its tail latency below that
    target. `depends_on` lists the numbers of earlier steps of the job.
    """

    task_count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_instance: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    tail_target_ms: int = 0
    best_effort: bool = False
    max_unavailable: int = 0

    def reaches(self, other: StepSpec) -> bool:
        """Return whether a task needs no less than one of the other step."""
        return (
            self.cpu_millis >= other.cpu_millis
            and self.memory_mb >= other.memory_mb
            and self.accelerators >= other.accelerators
        )


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """A job. With `occurrences` above 0 it runs that many times, due at fixed intervals.

    `payload` is passed on to the workers as it is. Tasks of an occurrence are not started before it
    is due: the first at `first_due_ms`, a time of day, and each later one `interval_ms` after it.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    first_due_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0


class Queue(msgspec.Struct, frozen=True, array_like=True):
    """Operators' settings of a queue of jobs; a lower `priority` is served first."""

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 2.0
    target_ms: int = 0
    timeout_ms: int = 0
    decision_ms: int = 0  # if above 0, jobs run only on workers that the advice service permits
    admission_check: bool = True


def check_job(job: JobSpec) -> None:
    """Validate a job; raise InvalidJob."""
    if len(job.payload.encode()) > MAX_PAYLOAD_BYTES:
        raise InvalidJob(f"the payload is longer than {MAX_PAYLOAD_BYTES} bytes; shorten it")
    if not 0 < len(job.steps) <= MAX_STEPS:
        raise InvalidJob(f"a job has 1 to {MAX_STEPS} steps, not {len(job.steps)}")
    for number, step in enumerate(job.steps):
        _check_step(number, step)
    if sum(step.task_count for step in job.steps) > MAX_TASKS:
        raise InvalidJob(f"a job has at most {MAX_TASKS} tasks; split it")
    if not 0 <= job.occurrences <= MAX_OCCURRENCES:
        raise InvalidJob(f"a job runs at most {MAX_OCCURRENCES} times, not {job.occurrences}")
    if not (0 <= job.first_due_ms <= MAX_NUMBER and 0 <= job.interval_ms <= MAX_NUMBER):
        raise InvalidJob(f"due times and intervals are from 0 to {MAX_NUMBER}")


def _check_step(number: int, step: StepSpec) -> None:
    if step.task_count < 1:
        raise InvalidJob(f"step {number} has {step.task_count} tasks; give it at least 1")
    amounts = (
        step.cpu_millis,
        step.memory_mb,
        step.accelerators,
        step.estimate_ms,
        step.max_per_instance,
        step.tail_target_ms,
        step.max_unavailable,
    )
    if min(amounts) < 0:
        raise InvalidJob(f"step {number} has a negative size or limit")
    if max(amounts) > MAX_NUMBER:
        raise InvalidJob(f"step {number} has a size or limit above {MAX_NUMBER}")
    for earlier in step.depends_on:
        if not 0 <= earlier < number:
            raise InvalidJob(f"step {number} depends on step {earlier}, which is not before it")
