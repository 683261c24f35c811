"""What the steps of an owner's loop cost, counted in calls of Python functions."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagewood.internal.cells.orders import StartRun
from greengagewood.internal.cells.planner import STEPS_PER_TIME_CHECK
from greengagewood.internal.jobs.book import MAX_TASKS_OPENED, Job, JobBook, Step
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import Submission
from greengagewood.internal.ports import RunEnd
from tests.common.desk import QUEUE, CellHarness, start_orders

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


def _add_timed(harness: CellHarness, job: str, first_due_ms: int, count: int, tasks: int) -> None:
    steps = (StepSpec(tasks, cpu_millis=1_000),)
    spec = JobSpec("p", steps, first_due_ms, occurrences=count, interval_ms=1_000)
    harness.cell.add_job(Submission(job, QUEUE, spec, 0), None, True, harness.now_ms)


class TestPastOccurrences:
    """Guard against plans that open all occurrences which a late job has missed."""

    FIRST_MS, COUNT = -86_400_000, 86_400

    def test_a_plan_opens_a_batch_and_the_next_ones_the_others(self) -> None:
        # All 86,400 in one plan stalled each owner beyond its time-out.
        harness = CellHarness("w0")
        _add_timed(harness, JOB_ID, self.FIRST_MS, self.COUNT, 2)
        job = harness.cell.book.jobs[JOB_ID]
        started: list[int] = []
        while len(started) < 1_000:
            opened = len(job.occurrences)
            harness.now_ms += 10
            orders = start_orders(harness.cell.plan(harness.now_ms, harness.now_ms))
            assert orders
            assert len(job.occurrences) - opened <= MAX_TASKS_OPENED
            assert len(job.unstarted_occurrences) <= MAX_TASKS_OPENED
            for order in orders:
                started.append(order.run.task.id.occurrence)
                harness.cell.handle_start_reply(order.boot, order.run, "", harness.now_ms)
            runs = [(order.run.task.id, order.run.number) for order in orders]
            sequence = harness.cell.boots["w0"].last_end_sequence
            ends = [RunEnd(sequence + n, *run, "done", "") for n, run in enumerate(runs, 1)]
            harness.answer_lease("w0", ends=tuple(ends))
            harness.store_changes()
        assert started == sorted(started)

    def test_occurrences_of_all_jobs_open_in_the_order_in_which_they_are_due(self) -> None:
        # A late job of many occurrences must not keep those of others back.
        harness = CellHarness("w0")
        _add_timed(harness, "1" * 16, -10_000, 5, MAX_TASKS_OPENED // 4)
        _add_timed(harness, "2" * 16, -9_500, 5, MAX_TASKS_OPENED // 4)
        opened = []
        open_occurrence = harness.cell.book.open_occurrence

        def note(job: Job, number: int, maybe_running: bool = False) -> None:
            opened.append((job.id[0], number))
            open_occurrence(job, number, maybe_running)

        harness.cell.book.open_occurrence = note  # type: ignore[method-assign]
        for _ in range(2):
            harness.cell.book.open_due_occurrences(harness.now_ms, False)
        assert opened == [(job, number) for number in range(4) for job in "12"]

    def test_a_plan_costs_the_same_whatever_has_finished(self) -> None:
        def calls(count: int) -> int:
            harness = CellHarness("w0")
            _add_timed(harness, JOB_ID, -1_000 * MANY, count, 1)
            book = harness.cell.book
            for number in range(count - 1):
                book.open_occurrence(book.jobs[JOB_ID], number)
            _end_all(book)
            harness.plan()
            return _count_calls(lambda: harness.cell.plan(harness.now_ms, harness.now_ms))

        assert _growth(calls) == 1

    def test_a_job_with_occurrences_that_are_held_back_opens_others(self) -> None:
        # An earlier owner's runs on a silent worker must not hold back occurrences without any.
        book = _book(StepSpec(2), occurrences=self.COUNT, first_due_ms=1, interval_ms=1)
        job = book.jobs[JOB_ID]
        job.maybe_inherited = True
        for _ in range(3):
            opened = len(job.occurrences)
            book.open_due_occurrences(self.COUNT, True)
            assert len(job.occurrences) - opened == MAX_TASKS_OPENED // 2
            for task in book.maybe_running_tasks:
                book.note_held_back(task)


class TestSlices:
    """Guard against a plan that holds the owner's loop until every step is ranked and placed."""

    @staticmethod
    def _submit_mixed(harness: CellHarness, jobs: int) -> None:
        for job in range(jobs):
            steps = (
                StepSpec(
                    1 + number % 3,
                    cpu_millis=1_000 * (1 + (7 * number + job) % 9),
                    estimate_ms=100 * (1 + number % 5),
                    best_effort=number % 4 == 3,
                )
                for number in range(3 * STEPS_PER_TIME_CHECK)
            )
            harness.submit(*steps, job=f"{job:016x}")

    @staticmethod
    def _plan_in_slices(harness: CellHarness) -> list[list[StartRun]]:
        """Plan with as little time as can be until all is placed; return the starts of each call.

        The clock stands still.
        """
        slices = []
        while True:
            orders = harness.cell.plan(harness.now_ms, harness.now_ms, 200, lambda: False)
            slices.append(start_orders(orders))
            if not harness.cell.is_plan_unfinished:
                return slices

    def test_slices_start_the_same_in_the_same_order_as_one_plan(self) -> None:
        starts = []
        for in_slices in (False, True):
            harness = CellHarness("w0", "w1", "w2")
            self._submit_mixed(harness, 3)
            harness.now_ms += 10
            if in_slices:
                slices = self._plan_in_slices(harness)
                assert not any(slices[:8])  # all are ranked before any is placed
                assert max(map(len, slices)) <= 3  # of one step
                orders = [order for orders in slices for order in orders]
            else:
                orders = start_orders(
                    harness.cell.plan(harness.now_ms, harness.now_ms, 200, lambda: True)
                )
            starts.append([(order.run.task.id, order.boot.name) for order in orders])
        assert len(starts[0]) > 20
        assert starts[0] == starts[1]

    def test_a_job_that_is_cancelled_between_slices_is_not_started(self) -> None:
        harness = CellHarness("w0")
        self._submit_mixed(harness, 2)
        harness.now_ms += 10
        harness.cell.plan(harness.now_ms, harness.now_ms, 200, lambda: False)
        harness.cell.cancel("0" * 15 + "1", harness.now_ms)
        starts = [order for orders in self._plan_in_slices(harness) for order in orders]
        assert {order.run.task.id.job_id for order in starts} == {"0" * 16}

    def test_a_job_that_comes_between_slices_starts_after_the_next_ranking(self) -> None:
        # Ten jobs of 1,000 steps must not keep a small job from a worker with room for it.
        harness = CellHarness("w0")
        wide = StepSpec(1, cpu_millis=65_000, estimate_ms=500)
        harness.submit(*[wide] * (4 * STEPS_PER_TIME_CHECK), job="1" * 16)
        harness.cell.plan(harness.now_ms, harness.now_ms, 200, lambda: False)
        assert harness.cell.is_plan_unfinished
        harness.submit(StepSpec(1, cpu_millis=1_000), job="2" * 16)
        starts = []
        for _ in range(2):
            starts += [o for orders in self._plan_in_slices(harness) for o in orders]
        assert [order.run.task.id.job_id for order in starts] == ["2" * 16]

    def test_a_plan_that_was_cut_short_begins_anew_after_a_plan_without_starts(self) -> None:
        # Otherwise its steps would wait until something changes.
        harness = CellHarness("w0")
        self._submit_mixed(harness, 1)
        harness.cell.plan(harness.now_ms, harness.now_ms, 200, lambda: False)
        harness.cell.plan(harness.now_ms, harness.now_ms, 0, lambda: False)
        assert not harness.cell.is_plan_unfinished
        assert any(self._plan_in_slices(harness))

    def test_nothing_is_planned_again_after_slices_if_nothing_changes(self) -> None:
        harness = CellHarness("w0")
        harness.submit(*[StepSpec(1, cpu_millis=65_000)] * (2 * STEPS_PER_TIME_CHECK))
        harness.store_changes()
        self._plan_in_slices(harness)
        harness.cell.plan(harness.now_ms, harness.now_ms, 200, lambda: False)
        assert not harness.cell.is_plan_unfinished


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
