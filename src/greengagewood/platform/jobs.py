"""Parse the JSON job specifications that callers submit."""

from __future__ import annotations

import msgspec

from greengagewood.internal.jobs.model import InvalidJob, JobSpec, StepSpec, check_job
from greengagewood.platform.wire import decode

__all__ = ["parse_job"]


class _Step(msgspec.Struct):
    count: int  # number of tasks
    cpu: int = 0  # thousandths of a CPU per task
    memory_mb: int = msgspec.field(name="mem-mb", default=0)
    accelerators: int = msgspec.field(name="gpu", default=0)
    estimate_ms: int = msgspec.field(name="estimate-ms", default=0)
    depends_on: list[int] = msgspec.field(name="depends-on", default_factory=list)
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = msgspec.field(name="same-rack", default=False)
    required_label: str = msgspec.field(name="requirements", default="")
    data_rack: str = msgspec.field(name="affinity", default="")
    max_per_instance: int = msgspec.field(name="anti-affinity", default=0)
    speculative: bool = False
    long_running: bool = msgspec.field(name="long-running", default=False)
    image: str = ""
    tail_target_ms: float = msgspec.field(name="target-ms", default=0)
    # The JSON name is misleading: a true value marks a step that uses only idle CPU time.
    best_effort: bool = msgspec.field(name="utilization", default=False)
    max_unavailable: int = msgspec.field(name="max-unavailable", default=0)


class _Job(msgspec.Struct):
    spec: str  # passed on to the workers as it is
    steps: list[_Step]
    first_due_ms: int = msgspec.field(name="first-run-ms", default=0)
    interval_ms: int = msgspec.field(name="interval-ms", default=0)
    occurrences: int = msgspec.field(name="repeat-count", default=0)


def parse_job(body: bytes) -> JobSpec:
    """Parse the body of a submission; raise InvalidJob."""
    try:
        job = decode(body, _Job)
    except ValueError as exc:
        raise InvalidJob(str(exc)) from exc
    spec = JobSpec(
        job.spec,
        tuple(_step_spec(step) for step in job.steps),
        job.first_due_ms,
        job.interval_ms,
        job.occurrences,
    )
    check_job(spec)
    return spec


def _step_spec(step: _Step) -> StepSpec:
    return StepSpec(
        task_count=step.count,
        cpu_millis=step.cpu,
        memory_mb=step.memory_mb,
        accelerators=step.accelerators,
        estimate_ms=step.estimate_ms,
        depends_on=tuple(step.depends_on),
        checkpointing=step.checkpointing,
        gang=step.gang,
        same_rack=step.same_rack,
        required_label=step.required_label,
        data_rack=step.data_rack,
        max_per_instance=step.max_per_instance,
        speculative=step.speculative,
        long_running=step.long_running,
        image=step.image,
        tail_target_ms=int(step.tail_target_ms),
        best_effort=step.best_effort,
        max_unavailable=step.max_unavailable,
    )
