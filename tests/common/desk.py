"""A cell with workers that have answered, to be told one event after another."""

from __future__ import annotations

from greengagewood.internal.cells.cell import Cell, CellLimits
from greengagewood.internal.cells.orders import StartRun
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import Submission
from greengagewood.internal.ports import LeaseReply, RunEnd, RunningTask, WorkerInfo

QUEUE = Queue("q", "svc", 0, 3, 2.0, 1000)
LIMITS = CellLimits(lease_ms=6_000, term_ms=5_000)


def info_of(name: str, born_ms: int = 1) -> WorkerInfo:
    labels = frozenset(("a", "r0"))
    return WorkerInfo(
        name, "10.0.0.1:80", "svc", "z", "r0", labels, 64_000, 256_000, 0, False, None, born_ms
    )


def submission_of(job: str) -> Submission:
    return Submission(job, QUEUE, JobSpec("p", (StepSpec(1, cpu_millis=1_000),)), 0)


class Desk:
    """Hold a cell with workers that have answered, and its clock."""

    def __init__(self, *workers: str) -> None:
        self.now = 100_000
        self.orders: list = []
        self.cell = Cell(LIMITS, 1, self.now)
        self.infos = {name: info_of(name) for name in workers}
        self.cell.set_workers(self.infos, self.now)
        self.store()
        for name in workers:
            self.hear(name)

    def store(self) -> None:
        changes = self.cell.changes(self.now)
        if changes is not None:
            self.cell.changes_stored(changes)

    def hear(self, name: str, *rows: RunningTask, ends: tuple[RunEnd, ...] = ()) -> list:
        worker = self.cell.workers[name]
        born = self.infos[name].boot_time_ms
        reply = LeaseReply(self.now - 90_000, born, rows, ends)
        return self.cell.hold_answered(worker, reply, self.now - 1, self.now)

    def submit(self, *steps: StepSpec, job: str = "0" * 16) -> None:
        submission = Submission(job, QUEUE, JobSpec("p", steps), 0)
        self.cell.add_job(submission, None, True, self.now)

    def plan(self, pass_ms: int = 10) -> list:
        self.now += pass_ms
        orders = self.cell.plan(self.now, self.now)
        self.store()
        self.now += 1
        return orders + self.cell.plan(self.now, self.now)


def starts_of(orders: list) -> list[StartRun]:
    return [order for order in orders if isinstance(order, StartRun)]
