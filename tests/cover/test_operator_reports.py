"""What operators of similar systems reported, played against the decisions of this one."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from aiohttp import web

from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.orders import StopRun
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    Ownership,
    Progress,
    RegisteredWorker,
    RegisteredWorkers,
    Submission,
    TaskId,
    TaskProgress,
    encode_record,
    key_of,
)
from greengagewood.internal.ports import (
    AllEndsReply,
    LeaseReply,
    LogEntry,
    OrderReply,
    Outcome,
    RunEnd,
    RunListPage,
    RunningTask,
    WorkerCallFailed,
)
from greengagewood.platform.frontend import _store_timeout_ms
from greengagewood.platform.workers import HttpWorkers
from tests.common.desk import QUEUE, CellHarness, make_worker_info, start_orders
from tests.common.drive import CellSimulation, run_simulation, short_job
from tests.common.storestub import StoreStub, client_of, running_store

JOB = "0" * 16
CONFIRMATION_TIMEOUT_MS = 5_000


def _stops(orders: list) -> list[StopRun]:
    return [order for order in orders if isinstance(order, StopRun)]


class TestSilentWorkers:
    """A worker that was only silent or slow to report keeps its runs."""

    def _running(self) -> tuple[CellHarness, RunningTask, str]:
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000, estimate_ms=600))
        (start,) = start_orders(harness.plan())
        harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms)
        listed = RunningTask(start.run.task.id, start.run.number, "", 10, 0)
        harness.answer_lease(start.boot.name, listed)
        return harness, listed, start.boot.name

    def test_a_run_is_not_stopped_as_stuck_while_its_worker_is_silent(self) -> None:
        harness, _, name = self._running()
        worker = harness.cell.boots[name]
        for _ in range(8):
            assert harness.plan(450) == []
        harness.cell.note_lease_failure(worker, harness.now_ms)
        assert harness.plan(450) == []

    def test_a_run_is_not_stopped_as_stuck_after_the_owner_was_paused(self) -> None:
        harness, listed, name = self._running()
        harness.now_ms += 4_000
        assert _stops(harness.plan()) == []
        harness.answer_lease(name, replace(listed, progress_percent=60))
        assert harness.plan() == []

    def test_a_run_that_is_listed_without_progress_is_stopped(self) -> None:
        harness, listed, name = self._running()
        orders = []
        for _ in range(8):
            harness.now_ms += 450
            harness.answer_lease(name, listed)
            orders.extend(harness.plan())
        assert [order.reason for order in _stops(orders)][:1] == ["stands_still"]


class TestHandOver:
    """Around a hand-over, only one instance acts, and none twice."""

    @staticmethod
    def _owning() -> OwnershipView:
        view = OwnershipView("a", CONFIRMATION_TIMEOUT_MS, 0)
        view.note_read(0, 0)
        view.note_record(view.make_claim(0), 1)
        assert view.owning
        return view

    def test_an_older_record_does_not_give_back_an_ownership_that_has_ended(self) -> None:
        for end in (OwnershipView.note_fenced, OwnershipView.note_released):
            view = self._owning()
            heartbeat = Ownership(view.token, "a")
            end(view)
            view.note_record(heartbeat, 5)
            assert not view.owning

    def test_an_owner_that_releases_starts_nothing_more(self) -> None:
        async def script(sim: CellSimulation) -> None:
            name = sim.owner()
            assert name is not None
            instance = sim.instances[name]
            runner = instance._runner
            assert runner is not None
            sim.platform.faults.store_silent_to.add(name)  # the release takes its whole time
            release = asyncio.ensure_future(instance.release_cell())
            await asyncio.sleep(0.05)
            sim.platform.specs[JOB] = short_job().steps
            record = Submission(JOB, QUEUE, short_job(), 0)
            instance.ledger.apply_stored(record, instance.ledger.next_offset)
            runner.apply_record(record)
            await asyncio.sleep(0.3)
            assert not any(worker.runs for worker in sim.platform.workers.values())
            await release

        run_simulation(CellSimulation(31), script)

    def test_a_term_that_was_replaced_does_not_release_the_next_one(self) -> None:
        async def script(sim: CellSimulation) -> None:
            name = sim.owner()
            assert name is not None
            instance = sim.instances[name]
            view = instance._ownership
            # The instance is fenced, and wins the next claim before its old runner has stopped.
            view.note_fenced()
            claim = view.make_claim(view._read_sent_ms or 0)
            view.note_record(claim, 0)
            await instance._end_term("replaced")
            assert view.owning and view.token == claim.token

        run_simulation(CellSimulation(32), script)


class TestExpiredPermission:
    """A process that was paused or delayed does not act on what it knew before."""

    def test_an_owner_without_a_recent_read_sends_no_orders(self) -> None:
        view = TestHandOver._owning()
        view.note_read(1_000, 1_001)
        view.tick(1_000 + CONFIRMATION_TIMEOUT_MS + 1)
        assert view.state == "suspended"

    def test_a_read_that_did_not_reach_the_end_confirms_no_ownership(self) -> None:
        async def script(sim: CellSimulation) -> None:
            name = sim.owner()
            assert name is not None
            instance = sim.instances[name]
            store = sim.platform.store
            store.max_page_records = 1
            # Another instance writes faster than this one reads, and has claimed the cell.
            view = instance._ownership
            confirmed_ms = view._read_sent_ms
            store.append_records([("x", b"")] * 40)
            await asyncio.sleep(0.05)
            assert instance.ledger.next_offset < len(store.records)
            assert view._read_sent_ms == confirmed_ms

        run_simulation(CellSimulation(33), script)

    def test_a_job_beyond_the_first_page_of_a_read_is_known(self) -> None:
        async def script(sim: CellSimulation) -> None:
            store = sim.platform.store
            store.max_page_records = 1
            record = Submission(JOB, QUEUE, JobSpec("p", (StepSpec(1),)), 0)
            store.append_records([("x", b"")] * 20 + [(key_of(record), encode_record(record))])
            assert await sim.instances["n0"].state_of(JOB) == "queued"

        run_simulation(CellSimulation(34), script)


class TestLostAnswers:
    """What may have been carried out is never reported as not carried out."""

    @pytest.mark.parametrize(
        ("status", "outcome"),
        [
            (500, Outcome.UNKNOWN),
            (502, Outcome.UNKNOWN),
            (504, Outcome.UNKNOWN),
            (418, Outcome.UNKNOWN),
            (412, Outcome.REFUSED),
            (429, Outcome.REFUSED),
            (503, Outcome.REFUSED),
            (507, Outcome.REFUSED),
        ],
    )
    async def test_only_the_store_s_own_refusals_count_as_refusals(
        self, status: int, outcome: Outcome
    ) -> None:
        stub = StoreStub(statuses=[status], applied_before_status=outcome is Outcome.UNKNOWN)
        async with running_store(stub) as session:
            result = await client_of(stub, session).append([("k", b"v")])
        assert result.outcome is outcome


class TestRestarts:
    """What has left or was replaced is not used again."""

    def test_an_older_entry_of_the_directory_does_not_bring_back_an_older_boot(self) -> None:
        harness = CellHarness("w0")
        old_infos = dict(harness.worker_infos)
        harness.worker_infos["w0"] = make_worker_info("w0", boot_time_ms=5)
        harness.answer_lease("w0")  # the worker tells of its new boot first
        harness.answer_lease("w0")
        harness.cell.set_workers(old_infos, harness.now_ms)
        harness.submit(StepSpec(1, cpu_millis=1_000))
        assert start_orders(harness.plan()) == []
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        (start,) = start_orders(harness.plan())
        harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms)
        listed = RunningTask(start.run.task.id, start.run.number, "", 10, 0)
        for _ in range(2):
            harness.now_ms += 10
            harness.cell.set_workers(old_infos, harness.now_ms)
            harness.answer_lease("w0", listed)
        assert start.run.state == "running"
        assert start_orders(harness.plan()) == []

    def test_a_start_that_a_silent_new_boot_may_have_received_is_waited_for(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=1_000))
        (start,) = start_orders(harness.plan())
        name = start.boot.name
        harness.cell.note_start_unanswered(start.run, harness.now_ms + 1)
        harness.worker_infos[name] = replace(harness.worker_infos[name], boot_time_ms=2)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms + 2)
        harness.cell.note_lease_failure(harness.cell.boots[name], harness.now_ms + 3)
        assert start_orders(harness.plan()) == []
        other = next(other for other in harness.worker_infos if other != name)
        harness.now_ms += 30_000
        harness.answer_lease(other)
        assert len(start_orders(harness.plan())) == 1

    def test_a_new_boot_is_not_sent_the_acknowledgement_of_the_earlier_one(self) -> None:
        harness = CellHarness("w0")
        worker = harness.cell.boots["w0"]
        harness.answer_lease("w0", ends=(RunEnd(7, TaskId(JOB, 0, 0, 0), 1, "done", ""),))
        harness.store_changes()
        assert harness.cell.prepare_lease_extension(worker, harness.now_ms)[1] == 7
        harness.cell.note_lease_failure(worker, harness.now_ms)
        assert harness.cell.prepare_lease_extension(worker, harness.now_ms)[1] == 0
        harness.answer_lease("w0")
        assert harness.cell.prepare_lease_extension(worker, harness.now_ms)[1] == 7

    def test_records_that_the_store_deleted_meanwhile_are_forgotten(self) -> None:
        ledger = Ledger()
        record = Submission(JOB, QUEUE, JobSpec("p", (StepSpec(1),)), 0)
        ledger.apply(LogEntry(0, key_of(record), encode_record(record)))
        kept = Submission("1" * 16, QUEUE, JobSpec("p", (StepSpec(1),)), 0)
        ledger.apply(LogEntry(1, key_of(kept), encode_record(kept)))
        ledger.retain({key_of(kept)}, 9)
        assert set(ledger.jobs) == {"1" * 16}


class TestOccurrences:
    """Occurrences of timed jobs that an earlier owner has started."""

    @staticmethod
    def _timed(progress: Progress) -> CellHarness:
        harness = CellHarness("w0")
        spec = JobSpec("p", (StepSpec(1, cpu_millis=1_000),), 0, 1_000, 3)
        assert spec.occurrences == 3
        harness.cell.term.adopting = True
        harness.cell.add_job(Submission(JOB, QUEUE, spec, 0), progress, False, harness.now_ms)
        return harness

    def test_failures_and_checkpoints_of_an_unfinished_occurrence_are_restored(self) -> None:
        stored = TaskProgress(1, 0, 0, (7,), "c")
        harness = self._timed(Progress(JOB, "running", (), (stored,)))
        task = harness.cell.book.find_task(TaskId(JOB, 1, 0, 0))
        assert task is not None and task.failed_runs == {7} and task.checkpoint == "c"

    def test_a_listed_run_opens_its_occurrence(self) -> None:
        harness = self._timed(Progress(JOB, "running"))
        harness.answer_lease("w0", RunningTask(TaskId(JOB, 2, 0, 0), 9, "", 10, 0))
        task = harness.cell.book.find_task(TaskId(JOB, 2, 0, 0))
        assert task is not None and task.run is not None and task.run.number == 9

    def test_a_due_occurrence_waits_until_every_worker_has_listed_its_runs(self) -> None:
        harness = self._timed(Progress(JOB, "running"))
        harness.worker_infos["w9"] = make_worker_info("w9")
        earlier = RegisteredWorkers((RegisteredWorker("w9", "10.0.0.1:80", "svc"),))
        harness.cell.set_registered_workers(earlier, harness.now_ms, harness.now_ms)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.store_changes()
        harness.answer_lease("w0")
        assert start_orders(harness.plan()) == []
        harness.answer_lease("w9")
        assert len(start_orders(harness.plan())) == 3


class TestUnexpectedErrors:
    """An error that nobody foresaw costs one order, not the task or a place for good."""

    def test_a_start_that_fails_unexpectedly_counts_as_unanswered(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        async def fail(*args: object) -> None:
            raise RuntimeError("unexpected")

        async def script(sim: CellSimulation) -> None:
            runner = sim.instances[sim.owner() or ""]._runner
            assert runner is not None
            with monkeypatch.context() as patch:
                patch.setattr(runner._ports.workers, "start", fail)
                await sim.submit(JOB, "fast", short_job())
                await asyncio.sleep(0.1)
                assert runner._start_window.in_flight == 0
            assert await sim.wait_until_ended({JOB}, 20.0) == set()

        run_simulation(CellSimulation(35), script)


class TestMalformedMessages:
    """A malformed message is an answer that cannot be used, and nothing worse."""

    @staticmethod
    async def _extend_lease(body: bytes) -> RunListPage | OrderReply:
        """Return the reply that an answer with this body is read as."""

        async def handle(req: web.BaseRequest) -> web.StreamResponse:
            return web.Response(body=body)

        stub = StoreStub()
        stub.handle = handle  # type: ignore[method-assign]
        async with running_store(stub) as session:
            worker = replace(make_worker_info("w0"), address=stub.address)
            return await HttpWorkers(session).extend_lease(worker, None, 1, 0, 0)

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"[]",
            b'{"clock-ms":"1","running":[],"finished":[]}',
            b'{"clock-ms":1,"running":7,"finished":null}',
        ],
    )
    async def test_a_malformed_answer_is_a_failed_call(self, body: bytes) -> None:
        with pytest.raises(WorkerCallFailed):
            await self._extend_lease(body)

    @pytest.mark.parametrize(
        ("row", "is_named"),
        [
            (b'["a.0.0.0",1,"",1e400,0]', True),
            (b'["nonsense",1,"",1,0]', False),
            (b'["a.0.0.0",1,"",1]', True),
        ],
    )
    async def test_a_malformed_row_says_at_most_that_its_run_goes_on(
        self, row: bytes, is_named: bool
    ) -> None:
        reply = await self._extend_lease(b'{"clock-ms":1,"running":[%s],"finished":[]}' % row)
        run = RunningTask(TaskId("a", 0, 0, 0), 1, "", 0, 0, measured=False)
        reply_type = LeaseReply if is_named else AllEndsReply
        assert reply == reply_type(1, 0, (run,) if is_named else (), ())

    def test_a_deadline_of_other_digits_is_ignored(self) -> None:
        req = type("Req", (), {"headers": {"X-Deadline-Ms": "\u00b2\u00b3"}})()
        assert _store_timeout_ms(req) > 0
