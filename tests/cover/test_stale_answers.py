"""Answers, records and jobs that an owner did not expect: they affect nothing else."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from msgspec.structs import replace

from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.orders import Order, StopRun
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.cells.runner import CellRunner, Ports
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    Cancellation,
    Ownership,
    Progress,
    Submission,
    TaskId,
    decode_record,
    encode_record,
    key_of,
)
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.ports import (
    JobStore,
    LogEntry,
    OrderReply,
    RunningTask,
    WorkerInfo,
    WrongBoot,
)
from tests.common.desk import (
    LIMITS,
    QUEUE,
    CellHarness,
    make_submission,
    start_orders,
)
from tests.common.drive import QUEUES, CellSimulation, long_running_job, run_simulation

JOB = "0" * 16
OTHER_JOB = "1" * 16


class _ReplacedWorkers:
    """Workers at whose addresses other boots answer."""

    def __init__(self) -> None:
        self.stopped: list[tuple[TaskId, int]] = []

    async def start(self, *args: object) -> OrderReply:
        raise WrongBoot("w0")

    async def stop(self, worker: WorkerInfo, task: TaskId, run: int, token: int) -> OrderReply:
        self.stopped.append((task, run))
        raise WrongBoot("w0")


def _make_runner(
    ledger: Ledger | None = None,
    link: _ReplacedWorkers | None = None,
    store: JobStore | None = None,
) -> CellRunner:
    ports = Ports(store, None, link, None)  # type: ignore[arg-type]
    ownership = OwnershipView("n0", 5_000, 0)
    ownership.note_read(monotonic_ms(), monotonic_ms())
    return CellRunner(
        ports,
        ledger or Ledger(),
        LIMITS,
        token=1,
        status_retention_ms=0,
        metrics=Metrics(),
        ownership=ownership,
        may_send_orders=lambda: True,
    )


def _entry(offset: int, record: Submission | Cancellation | Ownership | Progress) -> LogEntry:
    return LogEntry(offset, key_of(record), encode_record(record))


class TestReboots:
    def test_a_start_that_another_worker_answers_after_a_reboot_is_sent_again(self) -> None:
        """Guards against a task that waits for good for the answer to a start."""
        harness = CellHarness("w0")
        runner = _make_runner(link=_ReplacedWorkers())
        runner.cell = harness.cell
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = start_orders(harness.plan())
        harness.reboot("w0", 2)
        asyncio.run(runner._carry_out(start))
        assert start.run.state == "finished"
        assert start.run.task.run is None
        assert harness.cell.boots["w0"].runs == {}


class TestEndedJobs:
    def test_a_best_effort_run_of_an_ended_job_does_not_spoil_its_workers_answer(self) -> None:
        """Guards against answers that are lost because the book keeps no tasks of the job."""
        harness = CellHarness("w0")
        step = StepSpec(1, cpu_millis=1_000, best_effort=True, image="layout")
        submission = Submission(JOB, QUEUE, JobSpec("p", (step,)), 0)
        cancelled = Progress(JOB, "cancelled", ended_ms=1)
        harness.cell.add_job(submission, cancelled, False, harness.now_ms)
        ended, unknown = TaskId(JOB, 0, 0, 0), TaskId(OTHER_JOB, 0, 0, 0)
        harness.now_ms += 1_000
        orders = harness.answer_lease(
            "w0", RunningTask(ended, 1, "", 10, 900), RunningTask(unknown, 1, "", 10, 900)
        )
        assert [o.task_id for o in orders if isinstance(o, StopRun)] == [unknown]
        assert [o.task_id for o in harness.plan() if isinstance(o, StopRun)] == [ended]
        harness.now_ms += 1_000
        harness.answer_lease("w0", RunningTask(ended, 1, "", 10, 900))


class TestRepeatedSubmissions:
    """A job that was stored at offset 4 by one append, and at 9 by another."""

    @staticmethod
    def _add_as_new_owner(settled_offset: int, claim_offset: int, *others: LogEntry) -> bool:
        """Return whether a new owner rules out that an earlier one has started the job."""
        ledger = Ledger()
        submission = make_submission(JOB)
        ledger.apply(_entry(4, submission))
        ledger.apply(_entry(9, submission))
        for entry in others:
            ledger.apply(entry)
        claim = Ownership(2, "n0", settled_offset=settled_offset)
        ledger.apply(_entry(claim_offset, claim))
        ledger.next_offset = 12
        runner = _make_runner(ledger)
        runner._take_up_job(JOB, 0)
        return not runner.cell.book.jobs[JOB].maybe_inherited

    def test_an_earlier_owner_may_have_read_only_the_later_one(self) -> None:
        """Guards against a second run: such an owner settles offsets up to 9, and may start it."""
        assert not self._add_as_new_owner(settled_offset=9, claim_offset=11)

    def test_an_earlier_owner_may_have_read_only_the_first_one(self) -> None:
        """Guards against a second run: such an owner may have started it before the claim at 7."""
        assert not self._add_as_new_owner(settled_offset=4, claim_offset=7)

    def test_a_job_below_the_settled_offset_was_never_started(self) -> None:
        assert self._add_as_new_owner(settled_offset=10, claim_offset=11)

    def test_a_job_whose_progress_can_not_be_read_may_have_been_started(self) -> None:
        """Guards against a second run: the job has a progress record, so it may be running."""
        unreadable = LogEntry(10, key_of(Progress(JOB, "running")), b"\xc1")
        assert not self._add_as_new_owner(11, 11, unreadable)


class TestUnexpectedErrors:
    """An error in one job of many, of which the log names the place."""

    @staticmethod
    def _fail_for(monkeypatch: pytest.MonkeyPatch, job_id: str) -> None:
        """Let every owner fail to add one job."""
        add_job = Cell.add_job

        def fail_or_add(cell: Cell, submission: Submission, *args: Any) -> None:
            if submission.job_id == job_id:
                raise ValueError("a job that cannot be added")
            add_job(cell, submission, *args)

        monkeypatch.setattr(Cell, "add_job", fail_or_add)

    def test_records_after_that_of_a_failing_job_still_count(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against jobs and cancellations that the ledger has, but the owner never sees."""
        self._fail_for(monkeypatch, JOB)

        async def script(sim: CellSimulation) -> None:
            lasting = Submission("2" * 16, QUEUES["serve"], long_running_job(), 0)
            bad, good = (replace(lasting, job_id=job_id) for job_id in (JOB, OTHER_JOB))
            for submission in (lasting, good):
                sim.platform.specs[submission.job_id] = submission.spec.steps
            client = sim.platform.store.client("caller")
            await client.append([(key_of(lasting), encode_record(lasting))])
            await asyncio.sleep(2)
            assert {task.job_id for task in sim.platform.running_tasks()} == {lasting.job_id}
            page = [bad, Cancellation(lasting.job_id), good]
            await client.append([(key_of(record), encode_record(record)) for record in page])
            await asyncio.sleep(3)
            assert {task.job_id for task in sim.platform.running_tasks()} == {OTHER_JOB}

        run_simulation(CellSimulation(1), script)

    def test_a_new_owner_takes_up_the_jobs_beside_a_failing_one(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a cell without an owner, as each fails when its term starts."""
        self._fail_for(monkeypatch, JOB)

        async def script(sim: CellSimulation) -> None:
            good = Submission(OTHER_JOB, QUEUES["serve"], long_running_job(), 0)
            sim.platform.specs[OTHER_JOB] = good.spec.steps
            client = sim.platform.store.client("caller")
            for submission in (replace(good, job_id=JOB), good):
                await client.append([(key_of(submission), encode_record(submission))])
            owner = sim.owner()
            assert owner is not None
            await sim.kill_instance(owner)
            await asyncio.sleep(20)
            assert len(sim.platform.running_tasks()) == 3

        run_simulation(CellSimulation(1), script)

    def test_stops_are_sent_though_the_starts_cannot_be_planned(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against runs of cancelled jobs that go on because another job cannot be placed."""

        def fail(planner: Planner, now_ms: int, max_starts: int, has_time: object) -> list[Order]:
            raise ValueError("a job that cannot be placed")

        async def plan_repeatedly() -> None:
            for _ in range(3):
                with pytest.raises(ValueError, match="cannot be placed"):
                    await runner._plan_once()
            await asyncio.sleep(0)

        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000, long_running=True))
        (start,) = harness.start(500)
        harness.answer_leases()
        harness.cell.cancel(JOB, harness.now_ms)
        workers = _ReplacedWorkers()
        runner = _make_runner(link=workers)
        runner.cell = harness.cell
        monkeypatch.setattr(Planner, "plan", fail)
        asyncio.run(plan_repeatedly())
        assert workers.stopped == [(start.run.task.id, start.run.number)]

    def test_changes_that_an_error_kept_from_the_store_are_stored_later(self) -> None:
        """Guards against ends of tasks that no later owner knows of."""

        class FailingStore:
            async def append_fenced(self, *args: object) -> None:
                raise ValueError("an answer that cannot be read")

        async def commit() -> None:
            with pytest.raises(ValueError, match="cannot be read"):
                await runner._commit_once()

        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=1_000, long_running=True))
        harness.cell.cancel(JOB, harness.now_ms)
        runner = _make_runner(store=FailingStore())  # type: ignore[arg-type]
        runner.cell = harness.cell
        asyncio.run(commit())
        changes = harness.cell.collect_changes(harness.now_ms, harness.now_ms)
        assert changes is not None
        assert JOB in [r.job_id for r in changes.records if isinstance(r, Progress)]


class TestLargeNumbers:
    def test_a_huge_job_does_not_keep_a_forecast_from_being_stored(self) -> None:
        """Guards against an owner that stores nothing more because of one number."""
        harness = CellHarness("w0")
        huge = StepSpec(1, cpu_millis=2**62, memory_mb=2**62, estimate_ms=2**62, best_effort=True)
        harness.submit(huge)
        backlog = StepSpec(100, cpu_millis=20_000, estimate_ms=2_000, best_effort=True)
        harness.submit(backlog, job=OTHER_JOB)
        worker = harness.cell.boots["w0"]
        for _ in range(20):
            harness.read_orders()
            harness.start(500)
            listed = (
                RunningTask(run.task.id, run.number, "", 10, 9_000) for run in worker.runs.values()
            )
            harness.answer_lease("w0", *listed)
        forecasts = [record for _, record in harness.forecasts]
        assert any(record.services for record in forecasts)
        for record in forecasts:
            assert decode_record(encode_record(record)) == record
