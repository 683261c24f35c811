"""Test harness for a cell: passes one event after another to the decisions of its owner."""

from __future__ import annotations

from dataclasses import replace

from greengagewood.internal.cells.cell import Cell, CellLimits
from greengagewood.internal.cells.orders import Changes, StartRun
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import Forecast, Submission
from greengagewood.internal.ports import AllEndsReply, LeaseReply, RunEnd, RunningTask, WorkerInfo

QUEUE = Queue("q", "svc", 0, 3, 2.0, 1000)
LIMITS = CellLimits(lease_ms=6_000, confirmation_timeout_ms=5_000)


def make_worker_info(name: str, boot_time_ms: int = 1) -> WorkerInfo:
    labels = frozenset(("a", "r0"))
    return WorkerInfo(
        name, "10.0.0.1:80", "svc", "z", "r0", labels, 64_000, 256_000, 0, False, None, boot_time_ms
    )


def make_submission(job_id: str) -> Submission:
    return Submission(job_id, QUEUE, JobSpec("p", (StepSpec(1, cpu_millis=1_000),)), 0)


def store_changes(cell: Cell, now_ms: int) -> Changes | None:
    """Collect the changes of a cell and report them as stored; return them."""
    changes = cell.collect_changes(now_ms, now_ms)
    if changes is not None:
        cell.note_changes_stored(changes)
    return changes


class CellHarness:
    """A cell whose workers have answered, and the clock of its owner."""

    def __init__(self, *workers: str) -> None:
        self.now_ms = 100_000
        self.orders: list = []
        self.forecasts: list[tuple[int, Forecast]] = []  # that were stored, and when
        self.cell = Cell(LIMITS, 1, self.now_ms)
        self.worker_infos = {name: make_worker_info(name) for name in workers}
        self.cell.set_workers(self.worker_infos, self.now_ms)
        self.read_orders()
        self.store_changes()
        for name in workers:
            self.answer_lease(name)
        self.cell.note_confirmed(self.now_ms + 1)  # by a read sent after the workers' answers

    def read_orders(self, *domains: str) -> None:
        """Let the owner read which failure domains are evacuated."""
        self.evacuated = frozenset(domains)
        read = Evacuations(self.evacuated, 0, self.now_ms)
        self.cell.set_evacuations(read, self.now_ms)

    def store_changes(self) -> None:
        """Collect the changes of the cell and report them as stored."""
        changes = store_changes(self.cell, self.now_ms)
        if changes is not None:
            forecasts = (r for r in changes.records if isinstance(r, Forecast))
            self.forecasts.extend((self.now_ms, record) for record in forecasts)

    def answer_lease(
        self, name: str, *runs: RunningTask, ends: tuple[RunEnd, ...] = (), complete: bool = True
    ) -> list:
        """Let a worker answer a lease extension with its runs and their ends; return the orders."""
        worker = self.cell.boots[name]
        boot_time_ms = self.worker_infos[name].boot_time_ms
        reply_type = LeaseReply if complete else AllEndsReply
        reply = reply_type(self.now_ms - 90_000, boot_time_ms, runs, ends)
        return self.cell.handle_lease_reply(worker, reply, self.now_ms - 1, self.now_ms)

    def answer_leases(self) -> None:
        """Let every worker list the runs that its present boot has accepted."""
        for name, worker in self.cell.boots.items():
            runs = [
                run
                for run in worker.runs.values()
                if run.accepted_ms is not None and run.accepted_ms > worker.added_ms
            ]
            listed = (RunningTask(run.task.id, run.number, "", 10, 0) for run in runs)
            self.answer_lease(name, *listed)

    def accept_stop(self, run: Run | None) -> None:
        """Let the present boot of a run's worker accept a stop of the run."""
        assert run is not None
        self.cell.note_stop_accepted(self.cell.boots[run.worker_id], run, self.now_ms)

    def reboot(self, name: str, boot_time_ms: int) -> None:
        """Let the directory show another boot of a worker."""
        self.worker_infos[name] = make_worker_info(name, boot_time_ms)
        self.cell.set_workers(self.worker_infos, self.now_ms)

    def resize(self, name: str, cpu_millis: int, memory_mb: int = 256_000) -> None:
        """Let the directory show another capacity of a worker."""
        self.now_ms += 1
        self.worker_infos[name] = replace(
            self.worker_infos[name], cpu_millis=cpu_millis, memory_mb=memory_mb
        )
        self.cell.set_workers(self.worker_infos, self.now_ms)
        self.read_orders(*self.evacuated)  # both are read from the same store

    def start(self, elapsed_ms: int = 10, shows_clock: bool = True) -> list[StartRun]:
        """Plan, let the workers accept every start, and return the starts.

        Without `shows_clock`, the answers don't tell which boots gave them.
        """
        starts = start_orders(self.plan(elapsed_ms))
        for order in starts:
            clock_ms = self.now_ms - 90_000 if shows_clock else None
            self.cell.handle_start_reply(order.boot, order.run, "", self.now_ms, clock_ms)
        self.now_ms += 1
        return starts

    def start_unanswered(self, elapsed_ms: int = 500) -> StartRun:
        """Plan the only start, which gets no answer."""
        (start,) = start_orders(self.plan(elapsed_ms))
        self.now_ms += 1_000
        self.cell.note_start_unanswered(start.run, self.now_ms)
        return start

    def submit(self, *steps: StepSpec, job: str = "0" * 16, queue: Queue = QUEUE) -> None:
        submission = Submission(job, queue, JobSpec("p", steps), 0)
        self.cell.add_job(submission, None, True, self.now_ms)

    def plan(self, elapsed_ms: int = 10) -> list:
        """Advance the clock, plan, store the changes, and plan again; return the orders."""
        self.now_ms += elapsed_ms
        self.cell.note_confirmed(self.now_ms)
        orders = self.cell.plan(self.now_ms, self.now_ms)
        self.store_changes()
        self.now_ms += 1
        return orders + self.cell.plan(self.now_ms, self.now_ms)


def start_orders(orders: list) -> list[StartRun]:
    return [order for order in orders if isinstance(order, StartRun)]
