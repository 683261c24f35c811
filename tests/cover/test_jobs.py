"""Jobs: validation, and the state of their steps and tasks."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagewood.internal.jobs.book import JobBook, Task
from greengagewood.internal.jobs.model import InvalidJob, JobSpec, Queue, StepSpec, check_job
from greengagewood.internal.jobs.records import (
    Progress,
    RecordError,
    Submission,
    decode_record,
    encode_record,
)

QUEUE = Queue("q", "svc", 0, 3)
JOB_ID = "0" * 16


def _submission(*steps: StepSpec, **more: int) -> Submission:
    return Submission(JOB_ID, QUEUE, JobSpec("p", steps, **more), 0)


def _tasks(book: JobBook) -> list[Task]:
    return list(book.jobs[JOB_ID].opened_tasks())


def _start(book: JobBook, task: Task, number: int) -> None:
    book.attach_run(task, number, "w", "r", "running", 0)


class TestAttempts:
    """A failed task is retried until its queue's limit of attempts; then its job fails."""

    @pytest.mark.parametrize("order", [(1, 2, 3), (3, 1, 2), (2, 3, 1), (3, 2, 1)])
    def test_failures_count_in_any_order(self, order: tuple[int, ...]) -> None:
        # A new owner asks its workers in any order, so a later run's failure may arrive first.
        # Found by: lapjeshuis-ops trouble-1 --seed 72147684152
        book = JobBook()
        book.add(_submission(StepSpec(1)), None, True, 0)
        task = _tasks(book)[0]
        for run in order:
            book.note_run_failed(task, run, 3, 0)
        assert book.jobs[JOB_ID].state == "failed"

    def test_a_failure_that_is_listed_again_counts_once(self) -> None:
        book = JobBook()
        book.add(_submission(StepSpec(1)), None, False, 0)
        task = _tasks(book)[0]
        for _ in range(5):
            book.note_run_failed(task, 1, 3, 0)
        assert book.jobs[JOB_ID].state == "queued"

    def test_failures_are_kept_by_the_next_owner(self) -> None:
        book = JobBook()
        book.add(_submission(StepSpec(2)), None, False, 0)
        book.note_run_failed(_tasks(book)[1], 1, 3, 0)
        book.note_run_failed(_tasks(book)[1], 2, 3, 0)
        progress = book.progress_record(book.jobs[JOB_ID], 0)
        next_book = JobBook()
        next_book.add(_submission(StepSpec(2)), progress, False, 0)
        next_book.note_run_failed(_tasks(next_book)[1], 1, 3, 0)
        assert next_book.jobs[JOB_ID].state != "failed"
        next_book.note_run_failed(_tasks(next_book)[1], 4, 3, 0)
        assert next_book.jobs[JOB_ID].state == "failed"

    def test_a_long_running_task_has_no_limit_of_attempts(self) -> None:
        book = JobBook()
        book.add(_submission(StepSpec(1, long_running=True)), None, False, 0)
        for run in range(10):
            book.note_run_failed(_tasks(book)[0], run, 3, 0)
        assert book.jobs[JOB_ID].state == "queued"


class TestSteps:
    """A step is ready when every step that it depends on is done."""

    def test_a_step_waits_for_every_task_it_depends_on(self) -> None:
        book = JobBook()
        book.add(_submission(StepSpec(2), StepSpec(1, depends_on=(0,))), None, False, 0)
        first, second, last = _tasks(book)
        assert list(book.waiting_steps) == [first.step]
        book.note_task_done(first, 0)
        assert last.step not in book.waiting_steps
        book.note_task_done(second, 0)
        assert list(book.waiting_steps) == [last.step]

    def test_a_job_is_completed_by_its_last_task(self) -> None:
        book = JobBook()
        book.add(_submission(StepSpec(2)), None, False, 0)
        for task in _tasks(book):
            assert book.jobs[JOB_ID].state != "completed"
            book.note_task_done(task, 5)
        assert book.jobs[JOB_ID].state == "completed"

    def test_a_gang_is_done_when_one_of_its_tasks_is(self) -> None:
        book = JobBook()
        book.add(_submission(StepSpec(4, gang=True)), None, False, 0)
        book.note_task_done(_tasks(book)[2], 0)
        assert book.jobs[JOB_ID].state == "completed"

    def test_a_job_is_completed_by_its_last_occurrence(self) -> None:
        book = JobBook()
        book.add(
            _submission(StepSpec(1), occurrences=2, interval_ms=10, first_due_ms=5), None, False, 0
        )
        assert not book.waiting_steps
        job = book.jobs[JOB_ID]
        book.open_occurrence(job, 0)
        book.note_task_done(next(job.opened_tasks()), 0)
        assert job.state != "completed"
        book.open_occurrence(job, 1)
        book.note_task_done(job.occurrences[1][0].tasks[0], 0)
        assert job.state == "completed"

    def test_a_task_that_may_be_running_does_not_wait(self) -> None:
        book = JobBook()
        book.add(_submission(StepSpec(2)), Progress(JOB_ID, "running"), True, 0)
        assert not book.waiting_steps
        first, second = _tasks(book)
        _start(book, first, 1)
        book.note_not_running(second, 0)
        assert list(second.step.waiting_tasks) == [second]

    def test_progress_is_restored_from_its_record(self) -> None:
        book = JobBook()
        book.add(_submission(StepSpec(9), StepSpec(1, depends_on=(0,))), None, False, 0)
        for task in _tasks(book)[:9:2]:
            book.note_task_done(task, 0)
        book.note_checkpoint(_tasks(book)[1], "abc")
        record = decode_record(encode_record(book.progress_record(book.jobs[JOB_ID], 0)))
        assert isinstance(record, Progress)
        next_book = JobBook()
        next_book.add(_submission(StepSpec(9), StepSpec(1, depends_on=(0,))), record, False, 0)
        assert [t.end_state for t in _tasks(next_book)] == [t.end_state for t in _tasks(book)]
        assert _tasks(next_book)[1].checkpoint == "abc"
        assert len(next(iter(next_book.waiting_steps)).waiting_tasks) == 4


class TestValidation:
    """Validation of what callers and other writers send."""

    @pytest.mark.parametrize(
        "steps",
        [
            (),
            (StepSpec(0),),
            (StepSpec(-1),),
            (StepSpec(30_000),),
            (StepSpec(1, cpu_millis=-1),),
            (StepSpec(1, depends_on=(0,)),),
            (StepSpec(1), StepSpec(1, depends_on=(1,))),
            (StepSpec(1), StepSpec(1, depends_on=(-1,))),
        ],
    )
    def test_an_invalid_job_is_refused(self, steps: tuple[StepSpec, ...]) -> None:
        with pytest.raises(InvalidJob):
            check_job(JobSpec("p", steps))

    def test_the_payload_size_is_limited(self) -> None:
        check_job(JobSpec("p" * 4_000, (StepSpec(1),)))
        with pytest.raises(InvalidJob):
            check_job(JobSpec("é" * 2_001, (StepSpec(1),)))

    @given(st.binary(max_size=200))
    def test_any_bytes_decode_to_a_record_or_raise_record_error(self, data: bytes) -> None:
        with contextlib.suppress(RecordError):
            decode_record(data)
