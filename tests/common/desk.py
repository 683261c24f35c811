"""A cell with workers that have answered, to be told one event after another."""

from __future__ import annotations

from greengagewood.internal.cells.cell import Cell, CellLimits
from greengagewood.internal.cells.orders import StartRun
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import Submission
from greengagewood.internal.ports import LeaseReply, RunEnd, RunningTask, WorkerInfo

QUEUE = Queue("q", "svc", 0, 3, 2.0, 1000)
LIMITS = CellLimits(lease_ms=6_000, confirmation_timeout_ms=5_000)


def make_worker_info(name: str, born_ms: int = 1) -> WorkerInfo:
    labels = frozenset(("a", "r0"))
    return WorkerInfo(
        name, "10.0.0.1:80", "svc", "z", "r0", labels, 64_000, 256_000, 0, False, None, born_ms
    )


def make_submission(job: str) -> Submission:
    return Submission(job, QUEUE, JobSpec("p", (StepSpec(1, cpu_millis=1_000),)), 0)


class CellHarness:
    """Hold a cell with workers that have answered, and its clock."""

    def __init__(self, *workers: str) -> None:
        self.now_ms = 100_000
        self.orders: list = []
        self.cell = Cell(LIMITS, 1, self.now_ms)
        self.worker_infos = {name: make_worker_info(name) for name in workers}
        self.cell.set_workers(self.worker_infos, self.now_ms)
        self.store_changes()
        for name in workers:
            self.answer_lease(name)

    def store_changes(self) -> None:
        changes = self.cell.collect_changes(self.now_ms)
        if changes is not None:
            self.cell.note_changes_stored(changes)

    def answer_lease(self, name: str, *rows: RunningTask, ends: tuple[RunEnd, ...] = ()) -> list:
        worker = self.cell.workers[name]
        born = self.worker_infos[name].boot_time_ms
        reply = LeaseReply(self.now_ms - 90_000, born, rows, ends)
        return self.cell.take_lease_reply(worker, reply, self.now_ms - 1, self.now_ms)

    def submit(self, *steps: StepSpec, job: str = "0" * 16) -> None:
        submission = Submission(job, QUEUE, JobSpec("p", steps), 0)
        self.cell.add_job(submission, None, True, self.now_ms)

    def plan(self, pass_ms: int = 10) -> list:
        self.now_ms += pass_ms
        orders = self.cell.plan(self.now_ms, self.now_ms)
        self.store_changes()
        self.now_ms += 1
        return orders + self.cell.plan(self.now_ms, self.now_ms)


def start_orders(orders: list) -> list[StartRun]:
    return [order for order in orders if isinstance(order, StartRun)]
