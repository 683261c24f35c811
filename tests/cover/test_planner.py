"""Tests of the planner: which tasks are placed together, and which are skipped in a plan."""

from __future__ import annotations

import pytest

from greengagewood.internal.cells.planner import GROUPING_DELAY_MS
from greengagewood.internal.jobs.model import StepSpec
from tests.common.desk import CellHarness, start_orders


def _serving(image: str, tasks: int) -> StepSpec:
    return StepSpec(
        tasks,
        cpu_millis=13_000,
        memory_mb=26_000,
        long_running=True,
        image=image,
        tail_target_ms=24,
    )


def _images(harness: CellHarness) -> list[set[str]]:
    """Return the images that each worker runs."""
    return [
        {run.task.step.spec.image for run in worker.runs.values()}
        for worker in harness.cell.workers.values()
    ]


class TestLongRunningTasks:
    """Guard against services that arrive together being spread over workers in order of arrival.

    Best-effort tasks need workers that serve few images.
    """

    def test_tasks_that_arrive_together_are_placed_by_image(self) -> None:
        harness = CellHarness("w0", "w1", "w2", "w3", "w4")
        for number, image in enumerate("abab"):
            harness.submit(_serving(image, 2), job=f"{number:016x}")
            harness.now_ms += 50
        assert start_orders(harness.plan()) == []
        harness.plan(GROUPING_DELAY_MS)
        assert sorted(map(sorted, _images(harness))) == [[], [], [], ["a"], ["b"]]

    def test_a_single_task_starts_after_the_grouping_delay(self) -> None:
        harness = CellHarness("w0")
        harness.submit(_serving("a", 1))
        assert start_orders(harness.plan()) == []
        assert len(start_orders(harness.plan(GROUPING_DELAY_MS))) == 1

    def test_short_tasks_start_without_the_grouping_delay(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        assert len(start_orders(harness.plan())) == 1


class TestUnplaceableTasks:
    """Guard against a step that fits no worker keeping others from being placed.

    A plan skips the steps that need at least as much as one that found no worker.
    """

    @pytest.mark.parametrize(
        ("waiting", "fitting"),
        [
            (StepSpec(1, cpu_millis=65_000), StepSpec(1, cpu_millis=60_000)),
            (
                StepSpec(1, cpu_millis=1_000, memory_mb=300_000),
                StepSpec(1, cpu_millis=2_000, memory_mb=1_000),
            ),
        ],
        ids=["processors", "memory"],
    )
    def test_an_unplaceable_step_does_not_skip_one_that_needs_less(
        self, waiting: StepSpec, fitting: StepSpec
    ) -> None:
        harness = CellHarness("w0")
        harness.submit(waiting, job="0" * 16)
        harness.submit(fitting, job="1" * 16)
        (start,) = start_orders(harness.plan())
        assert start.run.task.id.job_id == "1" * 16

    def test_a_step_at_its_limit_per_worker_does_not_skip_others(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(2, cpu_millis=1_000, max_per_instance=1), job="0" * 16)
        harness.submit(StepSpec(1, cpu_millis=1_000, estimate_ms=9), job="1" * 16)
        jobs = {start.run.task.id.job_id for start in start_orders(harness.plan())}
        assert jobs == {"0" * 16, "1" * 16}
