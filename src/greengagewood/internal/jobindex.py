"""The jobs that a gateway has read from the log, and the checks of submitted jobs."""

from __future__ import annotations

import asyncio
import hashlib
import uuid
from collections.abc import Collection
from typing import Annotated

import msgspec
from msgspec import Meta

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.document import MAX_JOB_TASKS, Document
from greengagewood.internal.messages import CellLoad, Member
from greengagewood.internal.records import JobSubmitted
from greengagewood.internal.verdict import Reason, Refusal, not_run

__all__ = ["JobIndex", "JobRequest", "check_job_request", "choose_cell", "job_name"]

JOB_NAME_HEX_DIGITS = 24


class JobRequest(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"batch_class": "class"}
):
    """Hold a job as a caller submits it.

    The sizes are those of one task; `run_ms` is the run time in milliseconds.
    """

    batch_class: str
    tasks: Annotated[int, Meta(ge=1, le=MAX_JOB_TASKS)]
    cpus: Annotated[int, Meta(ge=1, le=1_000)]
    memory_mb: Annotated[int, Meta(ge=1, le=10_000_000)]
    run_ms: Annotated[int, Meta(ge=1, le=604_800_000)]
    accelerators: Annotated[int, Meta(ge=0, le=64)] = 0


def job_name(caller: str, key: str) -> str:
    """Derive a job's name from its caller and idempotency key, or make a random one without a key.

    With a key, a repeated submission gets the name of the same job.
    """
    if not key:
        return "j" + uuid.uuid4().hex[:JOB_NAME_HEX_DIGITS]
    return "j" + hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()[:JOB_NAME_HEX_DIGITS]


class JobIndex:
    """Store the first submission of every job; later submissions with its key are ignored."""

    def __init__(self) -> None:
        self._jobs: dict[str, JobSubmitted] = {}
        self._added = asyncio.Event()

    def add(self, record: JobSubmitted) -> None:
        """Add the record of a submission, unless the job is already known."""
        self._jobs.setdefault(record.job, record)
        self._added.set()
        self._added = asyncio.Event()

    def find(self, job: str) -> JobSubmitted | None:
        """Return the job's submission, if it has been read from the log."""
        return self._jobs.get(job)

    async def await_job(self, job: str, deadline_ms: int) -> JobSubmitted | None:
        """Wait for a job to be read back from the log; return None after the deadline."""
        while job not in self._jobs and monotonic_ms() < deadline_ms:
            try:
                async with asyncio.timeout((deadline_ms - monotonic_ms()) / 1000):
                    await self._added.wait()
            except TimeoutError:
                break
        return self._jobs.get(job)


def check_job_request(
    req: JobRequest, team: str, document: Document, loads: list[CellLoad]
) -> Refusal | None:
    """Return a refusal if the job can never run.

    A team's quota is divided equally among the cells. Whether a task fits any worker is only
    checked if the loads of all cells are known.
    """
    batch_class = document.batch_classes.get(req.batch_class)
    if batch_class is None:
        detail = f"class {req.batch_class!r} is none of {sorted(document.batch_classes)}"
        return not_run(Reason.BAD_REQUEST, detail, 422, None)
    if req.tasks > batch_class.max_tasks:
        detail = f"{req.tasks} tasks are more than the class's {batch_class.max_tasks}"
        return not_run(Reason.BAD_REQUEST, detail, 422, None)
    quota = document.teams[team]
    cells = len(document.cells)
    if (
        req.cpus > quota.cpus // cells
        or req.memory_mb > quota.memory_mb // cells
        or req.accelerators > quota.accelerators // cells
    ):
        detail = f"one task is larger than team {team!r}'s share of its quota in a cell"
        return not_run(Reason.OVER_QUOTA, detail, 422, None)
    every_cell_reported = {load.cell for load in loads} >= document.cells.keys()
    if every_cell_reported and not any(_fits(req, load) for load in loads):
        return not_run(Reason.NEVER_FITS, "one task is larger than any worker", 422, None)
    return None


def _fits(req: JobRequest, load: CellLoad) -> bool:
    return any(
        req.cpus <= shape.cpus
        and req.memory_mb <= shape.memory_mb
        and req.accelerators <= shape.accelerators
        for shape in load.shapes
    )


def choose_cell(
    req: JobRequest,
    document: Document,
    loads: list[CellLoad],
    failure_domain: str,
    evacuated_domains: Collection[str] = (),
) -> str:
    """Return the cell with the most free processors that has a worker large enough for a task.

    Processors that waiting tasks will take count as used. Cells whose failure domain is not being
    evacuated come first, then cells whose owner places tasks at present. If no cell is known to
    have a large enough worker, return the first cell of the failure domain, or of the document if
    the failure domain has none or is being evacuated.
    """

    def stays(cell: str) -> bool:
        return document.cells[cell].failure_domain not in evacuated_domains

    fitting = [load for load in loads if load.cell in document.cells and _fits(req, load)]
    if fitting:
        best = max(
            fitting,
            key=lambda load: (
                stays(load.cell),
                load.placing,
                load.free_cpus - load.waiting_cpus,
                load.cell,
            ),
        )
        return best.cell
    staying_cells = [name for name in document.cells if stays(name)] or list(document.cells)
    local_cells = [
        name for name in staying_cells if document.cells[name].failure_domain == failure_domain
    ]
    return min(local_cells or staying_cells)


def newest_cell_loads(members: list[Member]) -> dict[str, tuple[CellLoad, Member]]:
    """Return each cell's load and the member that owns it, from the newest epoch reported."""
    newest: dict[str, tuple[CellLoad, Member]] = {}
    for member in members:
        for load in member.owned_cells:
            previous = newest.get(load.cell)
            if previous is None or load.epoch > previous[0].epoch:
                newest[load.cell] = (load, member)
    return newest
