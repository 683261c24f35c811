"""Order best-effort jobs by the value that their remaining work earns.

This answers a backlog: more best-effort work waits than can end in time. Sharing the workers among
all jobs would end all of them late, so the work goes first to where a core-second earns most. A job
that is nearly done comes before one that has just begun, a job that can still meet its objective
before one that can't, and small jobs before large ones. The same order decides which runs of a
worker keep their speed when its services leave little slack, so that the last task of a job is not
the slowest.
"""

from __future__ import annotations

from greengagewood.internal.jobs.book import Job, JobBook
from greengagewood.internal.jobs.model import Queue

__all__ = ["LATE_VALUE", "WORTHLESS_AGE_FACTOR", "JobValues", "full_value", "objective_of"]

# By the platform's rules, a job earns nothing once its age is this multiple of its objective.
WORTHLESS_AGE_FACTOR = 3
LATE_VALUE = 0.15  # of a job that ends after its objective, relative to one that ends before it
WORTHLESS_VALUE = 0.005  # keeps the order among jobs that are too late to earn anything
FIXED_VALUE_SHARE = 0.3  # of the value of a queue's mean job; the rest is in proportion to its work


class JobValues:
    """Values of the jobs of a cell, relative to the mean job of their queues."""

    def __init__(self, book: JobBook) -> None:
        self._book = book
        self._job_counts: dict[str, int] = {}  # by queue
        self._cpu_ms: dict[str, int] = {}  # work of the counted jobs, by queue

    def note_job(self, job: Job) -> None:
        """Count a job that has been added to the cell."""
        queue = job.submission.queue.name
        self._job_counts[queue] = self._job_counts.get(queue, 0) + 1
        self._cpu_ms[queue] = self._cpu_ms.get(queue, 0) + job.total_cpu_ms

    def lateness(self, job: Job, step: int, queue: Queue, now_ms: int) -> int:
        """Return 0 if a job can still meet its objective, 1 if it is late, 2 if it is worthless.

        `step` is the step of which tasks wait or run.
        """
        objective_ms = objective_of(queue, job.longest_path_ms)
        age_ms = now_ms - job.arrived_ms
        if age_ms + job.critical_paths_ms[step] <= objective_ms:
            return 0
        return 1 if age_ms < WORTHLESS_AGE_FACTOR * objective_ms else 2

    def density(self, job: Job, occurrence: int, step: int, queue: Queue, now_ms: int) -> float:
        """Return the value of a job per CPU millisecond of its remaining work; 0 once it ended."""
        if job.is_final:
            return 0.0
        value = (1.0, LATE_VALUE, WORTHLESS_VALUE)[self.lateness(job, step, queue, now_ms)]
        value *= full_value(job.total_cpu_ms, self.mean_cpu_ms(job.submission.queue.name))
        return value / max(1, self._book.remaining_cpu_ms(job, occurrence))

    def mean_cpu_ms(self, queue: str) -> float:
        """Return the mean work of a queue's jobs."""
        return self._cpu_ms[queue] / self._job_counts[queue]


def objective_of(queue: Queue, critical_path_ms: int) -> float:
    """Return the age at which a job must have ended to be in time."""
    return queue.slack_factor * critical_path_ms + queue.target_ms


def full_value(cpu_ms: int, mean_cpu_ms: float) -> float:
    """Return the value of a job that ends in time, from its work and the mean work of its queue."""
    return FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * cpu_ms / max(1.0, mean_cpu_ms)
