"""The order in which long-running tasks of a queue with advice start again."""

from __future__ import annotations

import msgspec

from greengagewood.internal.cells.orders import RequestAdvice
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.ports import Permit
from tests.common.desk import QUEUE, CellHarness, start_orders

ADVISED = msgspec.structs.replace(QUEUE, decision_ms=40)
JOB = "0" * 16
SPEC = StepSpec(3, cpu_millis=40_000, long_running=True)  # one fits a worker


class TestOrder:
    """Guard against a task that waits for as long as others of its step lose their runs."""

    def test_the_task_that_has_waited_longest_starts_first(self) -> None:
        harness = CellHarness("w0")
        harness.submit(SPEC, job=JOB, queue=ADVISED)
        book = harness.cell.book
        book.note_maybe_started(book.jobs[JOB])
        harness.store_changes()
        tasks = list(book.jobs[JOB].opened_tasks())
        for task in tasks:
            task.last_run_ended_ms = task.idle_since_ms = harness.now_ms
            harness.now_ms += 1_000
        harness.answer_lease("w0")
        harness.read_orders()
        (request,) = harness.plan(60)
        assert isinstance(request, RequestAdvice)
        (step,) = {task.step for task in tasks}
        permit = Permit("t", harness.now_ms + 4_000)
        harness.cell.planner.note_permits(step, {"w0": permit}, harness.now_ms)
        (order,) = start_orders(harness.plan(60))
        assert order.run.task is tasks[0]
