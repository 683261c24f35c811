"""Measure the processor time of a plan by the number of steps that wait, of batch and best effort.

The jobs have 1,000 steps each, the most that is accepted, and no worker has room for their tasks.
"""

from __future__ import annotations

import math
import time

from devtools.bench import Bound, Result
from greengagewood.internal.cells.cell import Cell, CellLimits
from greengagewood.internal.cells.runner import PLAN_SLICE_MS
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.model import MAX_STEPS, JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import Submission
from greengagewood.internal.ports import LeaseReply, WorkerInfo

__all__ = ["run"]

STEP_COUNTS = (10, 100, 1_000, 10_000)
PLANS = 5
WORKERS = 4
WORKER_CPU_MILLIS = 64_000
MAX_GROWTH_EXPONENT = 1.15
MAX_HOLD_MS = 50
QUEUE = Queue("q", "svc", 0, 3, 2.0, 1_000)


def _build_cell(step_count: int, best_effort: bool) -> Cell:
    """Return a cell with workers, all of whose tasks wait for room."""
    cell = Cell(CellLimits(6_000, 5_000), 1, 0)
    labels: frozenset[str] = frozenset()
    workers = {
        name: WorkerInfo(
            name, "10.0.0.1:80", "svc", "z", "r", labels,
            WORKER_CPU_MILLIS, 256_000, 0, False, None, 1,
        )
        for name in (f"w{number}" for number in range(WORKERS))
    }  # fmt: skip
    cell.set_evacuations(Evacuations(frozenset(), 0, 0), 0)
    cell.set_workers(workers, 0)
    for boot in cell.boots.values():
        cell.handle_lease_reply(boot, LeaseReply(1, 1, (), ()), 0, 1)
    cell.note_confirmed(10)
    spec = StepSpec(1, WORKER_CPU_MILLIS + 1, 10, estimate_ms=500, best_effort=best_effort)
    for first in range(0, step_count, MAX_STEPS):
        steps = (spec,) * min(MAX_STEPS, step_count - first)
        cell.add_job(Submission(f"{first:016x}", QUEUE, JobSpec("p", steps), 0), None, True, 10)
    return cell


def _longest_ms(step_count: int, best_effort: bool) -> tuple[float, float]:
    """Return the processor time of the longest of several plans, and of their longest slice."""
    cell = _build_cell(step_count, best_effort)
    longest_plan_s = longest_slice_s = 0.0
    for number in range(PLANS):
        now_ms = 100 * (number + 1)
        cell.planner.request_replan()
        plan_s = 0.0
        while not plan_s or cell.is_plan_unfinished:
            slice_s = _plan_slice(cell, now_ms)
            longest_slice_s = max(longest_slice_s, slice_s)
            plan_s += slice_s
        longest_plan_s = max(longest_plan_s, plan_s)
    return longest_plan_s * 1000, longest_slice_s * 1000


def _plan_slice(cell: Cell, now_ms: int) -> float:
    started_s = time.process_time()
    end_s = started_s + PLAN_SLICE_MS / 1000
    cell.plan(now_ms, now_ms, has_time=lambda: time.process_time() < end_s)
    return time.process_time() - started_s


def run() -> Result:
    """Measure plans at each number of steps."""
    rows = tuple(
        (count, *_longest_ms(count, False), *_longest_ms(count, True)) for count in STEP_COUNTS
    )
    bounds = []
    for column, name in ((1, "batch"), (3, "best effort")):
        exponent = math.log(rows[-1][column] / rows[0][column]) / math.log(
            STEP_COUNTS[-1] / STEP_COUNTS[0]
        )
        kept = exponent <= MAX_GROWTH_EXPONENT
        target = f"at most {MAX_GROWTH_EXPONENT}"
        bounds.append(Bound(f"exponent of its growth with steps, {name}", target, exponent, kept))
    longest_ms = max(max(row[2], row[4]) for row in rows)
    bounds.append(
        Bound("longest slice", f"below {MAX_HOLD_MS} ms", longest_ms, longest_ms < MAX_HOLD_MS)
    )
    columns = ("steps", "batch ms", "longest slice ms", "best effort ms", "longest slice ms")
    return Result("plans", columns, rows, tuple(bounds))
