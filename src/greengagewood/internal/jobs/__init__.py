"""Jobs: their specifications, stored records and in-memory state."""

from greengagewood.internal.jobs.book import Job, JobBook, Run, Step, Task
from greengagewood.internal.jobs.model import InvalidJob, JobSpec, Queue, StepSpec, check_job
from greengagewood.internal.jobs.records import (
    Cancellation,
    Ownership,
    Progress,
    Submission,
    TaskId,
    TaskProgress,
)

__all__ = [
    "Cancellation",
    "InvalidJob",
    "Job",
    "JobBook",
    "JobSpec",
    "Ownership",
    "Progress",
    "Queue",
    "Run",
    "Step",
    "StepSpec",
    "Submission",
    "Task",
    "TaskId",
    "TaskProgress",
    "check_job",
]
