"""Decide whether to refuse a job of a caller, as it would be worth nothing or not fit the cell.

This module does no I/O and reads no clock. It answers two kinds of overload. An owner holds every
task of the jobs that have not ended in memory, whether it can be started or not, and each instance
may become the owner. So the tasks of a cell are limited. Large jobs are refused before small ones,
so that a few of them don't keep all others out.

The other kind: callers offer more best-effort work than the workers carry out. A job that certainly
earns its caller nothing is refused at once, so that the caller can return when it would be in time.
All other jobs are accepted.

A caller that is refused in vain loses more than one whose job ends late. So every input in doubt
speaks for the job: a forecast that is missing or old, a job or queue that it doesn't cover, and an
instance that may be cut off from the store.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from greengagewood.internal.cells.forecast import forecast_job, is_forecastable
from greengagewood.internal.cells.value import WORTHLESS_AGE_FACTOR
from greengagewood.internal.jobs.model import JobSpec, Queue
from greengagewood.internal.jobs.records import Forecast, ServiceForecast

__all__ = [
    "MAX_FORECAST_AGE_MS",
    "CapacityRefusal",
    "Refusal",
    "decide_capacity_refusal",
    "decide_refusal",
]

MAX_FORECAST_AGE_MS = 3_000  # the owner writes one each second, and followers read twice a second
FORECAST_MARGIN = 1.25  # by which the forecast end must exceed the time until which a job is worth
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 30
FULL_RETRY_AFTER_S = 10
# A job is accepted only if this many times its tasks still fit.
ROOM_FACTOR = 4
SPREAD = 2  # callers return between the forecast time and this many times as late


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal and its inputs, see `forecast.JobForecast`."""

    retry_after_s: int
    forecast_end_ms: int
    objective_ms: int
    backlog_cpu_ms: int
    cpu_millis: int
    spare_cpu_millis: int
    forecast_age_ms: int


@dataclass(frozen=True, slots=True)
class CapacityRefusal:
    """A refusal of a job as the cell has too many tasks of jobs that have not ended."""

    retry_after_s: int
    unfinished_tasks: int
    job_tasks: int
    limit: int


def decide_capacity_refusal(
    spec: JobSpec, unfinished_tasks: int, limit: int
) -> CapacityRefusal | None:
    """Return the refusal of a job for its tasks, or None if the cell can hold them."""
    job_tasks = sum(step.task_count for step in spec.steps)
    if unfinished_tasks + ROOM_FACTOR * job_tasks <= limit:
        return None
    return CapacityRefusal(FULL_RETRY_AFTER_S, unfinished_tasks, job_tasks, limit)


def decide_refusal(
    job_id: str,
    queue: Queue,
    spec: JobSpec,
    queues: Iterable[Queue],
    forecast: Forecast,
    age_ms: int,
) -> Refusal | None:
    """Return the refusal of a job that is not stored, or None if it is to be accepted.

    `queues` are those of the configuration. `age_ms` is the greatest possible age of the forecast.
    """
    service = next((s for s in forecast.services if s.service == queue.service), None)
    if service is None or age_ms >= MAX_FORECAST_AGE_MS or not is_forecastable(spec):
        return None
    if any(q.service == queue.service and q.priority > queue.priority for q in queues):
        return None
    if not _holds_its_share(service, queue):
        return None
    job = forecast_job(service, queue, spec)
    if job is None or job.end_ms <= FORECAST_MARGIN * WORTHLESS_AGE_FACTOR * job.objective_ms:
        return None
    return Refusal(
        retry_after_s(job_id, job.in_time_after_ms),
        job.end_ms,
        job.objective_ms,
        job.backlog_cpu_ms,
        service.cpu_millis,
        job.spare_cpu_millis,
        age_ms,
    )


def _holds_its_share(service: ServiceForecast, queue: Queue) -> bool:
    """Return whether a queue holds its equal share of the waiting work, or more."""
    held = {backlog.queue: backlog.cpu_ms for backlog in service.queues}
    return held.get(queue.name, 0) * len(held) >= sum(held.values()) > 0


def retry_after_s(job_id: str, in_time_after_ms: int) -> int:
    """Return when to retry: once the job would be in time, or up to twice as late.

    The job ID decides, so that callers that are refused together don't return together.
    """
    first_s = max(MIN_RETRY_AFTER_S, in_time_after_ms / 1000)
    first_s = min(first_s, MAX_RETRY_AFTER_S / SPREAD)  # leaves time to spread them over
    share = zlib.crc32(job_id.encode()) / 2**32
    return min(MAX_RETRY_AFTER_S, math.ceil(first_s * (1 + (SPREAD - 1) * share)))
