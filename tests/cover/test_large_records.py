"""Records and appends up to the limits of the platform's store."""

from __future__ import annotations

import asyncio

import pytest

from greengagewood.internal.cells import runner as runner_module
from greengagewood.internal.jobs.book import JobBook, Task
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    PlacedRun,
    Progress,
    Submission,
    TaskId,
    decode_record,
    encode_record,
)
from greengagewood.internal.ports import AppendResult, Outcome
from tests.common.desk import QUEUE
from tests.common.drive import CellSimulation, long_running_job, run_simulation
from tests.common.plant import SimStoreClient

JOB = "0" * 16
MAX_RECORD_BYTES = 262_144  # of the platform's store
CHECKPOINT = "00000bb87a21d94b"


def _submission(count: int, **times: int) -> Submission:
    step = StepSpec(count, cpu_millis=20, estimate_ms=60_000, checkpointing=True)
    return Submission(JOB, QUEUE, JobSpec("p", (step,), **times), 0)


def _add(count: int) -> tuple[JobBook, list[Task]]:
    book = JobBook()
    book.add(_submission(count), None, False, 0)
    return book, book.jobs[JOB].occurrences[0][0].tasks


def _stored(book: JobBook) -> Progress:
    value = encode_record(book.progress_record(book.jobs[JOB], 0))
    assert len(value) < MAX_RECORD_BYTES
    record = decode_record(value)
    assert isinstance(record, Progress)
    return record


class TestProgress:
    """Guard against a record that the store refuses, so that the owner stores nothing any more."""

    def test_the_checkpoints_of_running_tasks_give_way(self) -> None:
        book, tasks = _add(20_000)
        for number, task in enumerate(tasks):
            book.note_checkpoint(task, CHECKPOINT)
            if number >= 3_000:
                book.attach_run(task, 1, "w0", "r0", "running", 0)
        record = _stored(book)
        assert {row.number for row in record.tasks} >= set(range(3_000))
        assert book.jobs[JOB].unstored_rows == 20_000 - len(record.tasks) > 0

    def test_failed_runs_come_before_checkpoints(self) -> None:
        book, tasks = _add(20_000)
        for number, task in enumerate(tasks):
            book.note_checkpoint(task, CHECKPOINT)
            book.attach_run(task, 1, "w0", "r0", "running", 0)
            if number >= 19_000:
                book.note_run_failed(task, 1, 3, 0)
        rows = {row.number: row.failed_runs for row in _stored(book).tasks}
        assert all(rows[number] == (1,) for number in range(19_000, 20_000))

    def test_it_fits_whatever_is_known_of_the_tasks(self) -> None:
        book, tasks = _add(20_000)
        for task in tasks:
            book.note_checkpoint(task, CHECKPOINT)
            book.note_run_failed(task, 2**40, 9, 0)
            book.note_run_failed(task, 2**41, 9, 0)
            book.note_crash(task, PlacedRun(3, "w" * 40, "127.100.100.100:65000", 2**41, True))
        _stored(book)

    def test_a_small_job_is_stored_whole(self) -> None:
        book, tasks = _add(2_000)
        for task in tasks:
            book.note_checkpoint(task, CHECKPOINT)
            book.attach_run(task, 1, "w0", "r0", "running", 0)
        assert len(_stored(book).tasks) == 2_000
        assert not book.jobs[JOB].unstored_rows


class TestOccurrences:
    """Guard against a record that grows with each time of a recurring job."""

    def test_those_that_are_over_are_kept_as_a_number(self) -> None:
        book = JobBook()
        count = 40_000
        spec = JobSpec("p", (StepSpec(1, cpu_millis=20),), occurrences=count + 3, interval_ms=1_000)
        submission = Submission(JOB, QUEUE, spec, 0)
        book.add(submission, None, False, 0)
        for number in (*range(count), count + 1):
            book.open_occurrence(book.jobs[JOB], number)
            task = book.find_task(TaskId(JOB, number, 0, 0))
            assert task is not None
            book.note_task_done(task, 0)
        record = _stored(book)
        assert record.finished_below == count and len(record.done) == 1
        later = JobBook()
        later.add(submission, record, False, 0)
        job = later.jobs[JOB]
        assert len(job.finished_occurrences) == count + 1 and not job.is_final
        later.open_due_occurrences(10**12, False)
        assert sorted(job.remainders) == [count, count + 2]
        assert later.find_listed_task(TaskId(JOB, 5, 0, 0), False) is None
        for number in (count, count + 2):
            task = later.find_task(TaskId(JOB, number, 0, 0))
            assert task is not None
            later.note_task_done(task, 0)
        assert job.state == "completed"


class TestAppends:
    """Guard against an append that is repeated for ever and holds the heartbeats back."""

    def test_changes_beyond_the_limit_of_a_call_go_out_in_several(self) -> None:
        entries = [(f"k{number}", bytes(190_000)) for number in range(20)]
        batches = list(runner_module._split_entries(entries))
        assert [entry for batch in batches for entry in batch] == entries
        sizes = [sum(len(key) + len(value) for key, value in batch) for batch in batches]
        assert max(sizes) <= runner_module.MAX_APPEND_BYTES and len(batches) == 3

    def test_an_owner_keeps_the_cell_though_the_store_refuses_a_record(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        refused: list[int] = []
        append = SimStoreClient.append_fenced

        async def refuse_large(
            client: SimStoreClient, entries: list[tuple[str, bytes]], token: int, sequence: int
        ) -> AppendResult:
            if any(key == f"p{JOB}" for key, _ in entries):
                refused.append(sequence)
                return AppendResult(Outcome.REFUSED, too_large=True)
            return await append(client, entries, token, sequence)

        monkeypatch.setattr(SimStoreClient, "append_fenced", refuse_large)

        async def script(sim: CellSimulation) -> None:
            owner = sim.owner()
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(20)
            assert sim.owner() == owner
            assert sim.platform.violations == []

        run_simulation(CellSimulation(3), script)
        assert refused
