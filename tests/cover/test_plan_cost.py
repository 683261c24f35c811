"""What the steps of an owner's loop cost, counted in calls of Python functions."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagewood.internal.jobs.book import JobBook, Step
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import Submission
from tests.common.desk import QUEUE, CellHarness

JOB_ID = "0" * 16
FEW, MANY = 50, 500
MAX_GROWTH = 1.3 * MANY / FEW  # with the square of the number it would be 100


def _count_calls(work: Callable[[], object]) -> int:
    """Return how many functions were called and generators resumed."""
    count = 0

    def note(frame: Any, event: str, arg: Any) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    previous = sys.getprofile()
    sys.setprofile(note)
    try:
        work()
    finally:
        sys.setprofile(previous)
    return count


def _growth(count_for: Callable[[int], int]) -> float:
    return count_for(MANY) / count_for(FEW)


def _book(*steps: StepSpec, **more: int) -> JobBook:
    book = JobBook()
    book.add(Submission(JOB_ID, QUEUE, JobSpec("p", steps, **more), 0), None, False, 0)
    return book


def _end_all(book: JobBook) -> None:
    for task in list(book.jobs[JOB_ID].opened_tasks()):
        book.note_task_done(task, 0)


class TestGrowth:
    """Guard against work that grows with the square of a job's size and stalls the owner."""

    @pytest.mark.parametrize("best_effort", [False, True])
    def test_a_plan_grows_no_faster_than_the_steps_that_wait(self, best_effort: bool) -> None:
        # With 10 jobs of 1,000 steps each plan took seconds, so no owner sent its heartbeats.
        def calls(steps: int) -> int:
            harness = CellHarness("w0")
            spec = StepSpec(1, cpu_millis=65_000, estimate_ms=500, best_effort=best_effort)
            harness.submit(*[spec] * steps)
            harness.plan()
            harness.now_ms += 1_000
            harness.cell.planner.request_replan()
            return _count_calls(lambda: harness.cell.plan(harness.now_ms, harness.now_ms))

        assert _growth(calls) < MAX_GROWTH

    @pytest.mark.parametrize("chained", [False, True])
    def test_the_ends_of_all_steps_grow_no_faster_than_the_steps(self, chained: bool) -> None:
        def calls(steps: int) -> int:
            depends_on = [(number - 1,) if chained and number else () for number in range(steps)]
            book = _book(*(StepSpec(1, depends_on=earlier) for earlier in depends_on))
            return _count_calls(lambda: _end_all(book))

        assert _growth(calls) < MAX_GROWTH

    def test_the_end_of_an_occurrence_does_not_cost_more_after_many_others(self) -> None:
        def calls(occurrences: int) -> int:
            book = _book(StepSpec(1), occurrences=occurrences, first_due_ms=1, interval_ms=1)
            for number in range(occurrences):
                book.open_occurrence(book.jobs[JOB_ID], number)
            return _count_calls(lambda: _end_all(book))

        assert _growth(calls) < MAX_GROWTH

    def test_a_progress_record_costs_the_same_whatever_has_finished(self) -> None:
        def calls(occurrences: int) -> int:
            total = occurrences + 1
            book = _book(StepSpec(1), occurrences=total, first_due_ms=1, interval_ms=1)
            job = book.jobs[JOB_ID]
            for number in range(occurrences):
                book.open_occurrence(job, number)
            _end_all(book)
            book.open_occurrence(job, occurrences)
            return _count_calls(lambda: book.progress_record(job, 0))

        assert _growth(calls) == 1


class TestRunningSums:
    """Guard against a sum that is kept while tasks end and differs from what it stands for."""

    @given(st.data())
    def test_the_sums_are_those_of_the_steps(self, data: st.DataObject) -> None:
        count = data.draw(st.integers(1, 6))
        steps = [
            StepSpec(
                data.draw(st.integers(1, 4)),
                cpu_millis=data.draw(st.integers(0, 3_000)),
                estimate_ms=data.draw(st.integers(0, 3_000)),
                depends_on=tuple(data.draw(st.sets(st.integers(0, number - 1))) if number else ()),
                gang=data.draw(st.booleans()),
            )
            for number in range(count)
        ]
        book = _book(*steps)
        job = book.jobs[JOB_ID]
        for task in data.draw(st.permutations(list(job.opened_tasks()))):
            assert book.remaining_cpu_ms(job, 0) == sum(map(_unfinished_cpu_ms, job.occurrences[0]))
            for step in job.occurrences[0]:
                earlier = [job.occurrences[0][number] for number in step.spec.depends_on]
                assert step.ready == all(s.unfinished_count == 0 for s in earlier)
            book.note_task_done(task, 0)
        assert book.remaining_cpu_ms(job, 0) == 0
        assert job.state == "completed"


def _unfinished_cpu_ms(step: Step) -> int:
    unfinished = sum(not task.end_state for task in step.tasks)
    return unfinished * step.spec.cpu_millis * step.spec.estimate_ms // 1000
