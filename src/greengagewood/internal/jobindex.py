"""The jobs that a gateway knows, for submitting, asking and cancelling."""

from __future__ import annotations

import asyncio
import hashlib
import uuid
from typing import Annotated

import msgspec
from msgspec import Meta

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.document import Document
from greengagewood.internal.messages import CellLoad, Member
from greengagewood.internal.records import JobSubmitted
from greengagewood.internal.verdict import Reason, Refusal, not_run

__all__ = ["JobIndex", "JobRequest", "check_job_request", "choose_cell", "job_name"]

JOB_NAME_CHARS = 24


class JobRequest(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"batch_class": "class"}
):
    """Hold a job as a caller submits it: sizes of one task, run time in milliseconds."""

    batch_class: str
    tasks: Annotated[int, Meta(ge=1, le=10_000)]
    cpus: Annotated[int, Meta(ge=1, le=1_000)]
    memory_mb: Annotated[int, Meta(ge=1, le=10_000_000)]
    run_ms: Annotated[int, Meta(ge=1, le=604_800_000)]
    accelerators: Annotated[int, Meta(ge=0, le=64)] = 0


def job_name(caller: str, key: str) -> str:
    """Name a job after its caller's key, so a repeated submission names the same job."""
    if not key:
        return "j" + uuid.uuid4().hex[:JOB_NAME_CHARS]
    return "j" + hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()[:JOB_NAME_CHARS]


class JobIndex:
    """Keep the first record of every job."""

    def __init__(self) -> None:
        self._jobs: dict[str, JobSubmitted] = {}
        self._changed = asyncio.Event()

    def add(self, record: JobSubmitted) -> None:
        """Take a record in."""
        self._jobs.setdefault(record.job, record)
        self._changed.set()
        self._changed = asyncio.Event()

    def find(self, job: str) -> JobSubmitted | None:
        """Return a job."""
        return self._jobs.get(job)

    async def await_job(self, job: str, deadline_ms: int) -> JobSubmitted | None:
        """Wait until a job has been read back from the log."""
        while job not in self._jobs and monotonic_ms() < deadline_ms:
            try:
                async with asyncio.timeout((deadline_ms - monotonic_ms()) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                break
        return self._jobs.get(job)


def check_job_request(
    req: JobRequest, team: str, document: Document, loads: list[CellLoad]
) -> Refusal | None:
    """Refuse a job that can never run."""
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
    all_known = {load.cell for load in loads} >= document.cells.keys()
    if all_known and not any(_fits(req, load) for load in loads):
        return not_run(Reason.NEVER_FITS, "one task is larger than any worker", 422, None)
    return None


def _fits(req: JobRequest, load: CellLoad) -> bool:
    return any(
        req.cpus <= shape.cpus
        and req.memory_mb <= shape.memory_mb
        and req.accelerators <= shape.accelerators
        for shape in load.shapes
    )


def choose_cell(req: JobRequest, document: Document, loads: list[CellLoad], near: str) -> str:
    """Return the cell with the most room among those where a task fits."""
    fitting = [load for load in loads if load.cell in document.cells and _fits(req, load)]
    if fitting:
        best = max(fitting, key=lambda c: (c.placing, c.free_cpus - c.waiting_cpus, c.cell))
        return best.cell
    near_cells = [n for n, cell in document.cells.items() if cell.failure_domain == near]
    return sorted(near_cells or document.cells)[0]


def newest_cell_loads(members: list[Member]) -> dict[str, tuple[CellLoad, Member]]:
    """Return each cell's load and owner, of the newest epoch that is spoken of."""
    newest: dict[str, tuple[CellLoad, Member]] = {}
    for member in members:
        for load in member.owned_cells:
            known = newest.get(load.cell)
            if known is None or load.epoch > known[0].epoch:
                newest[load.cell] = (load, member)
    return newest
