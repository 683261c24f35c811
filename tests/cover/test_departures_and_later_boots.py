"""Workers that have left: what a later boot, a late record or a late call may make untrue."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.ledger import Ledger
from greengagewood.internal.cells.registration import registration_record
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.jobs.records import (
    Departures,
    RegisteredWorker,
    RegisteredWorkers,
    TaskId,
    encode_record,
    key_of,
)
from greengagewood.internal.ports import LeaseReply, LogEntry, RunEnd, RunningTask
from greengagewood.platform.directory import StoreDirectory
from tests.common.desk import LIMITS, CellHarness, make_worker_info, start_orders
from tests.common.drive import CellSimulation, run_simulation
from tests.common.virtualtime import run_in_virtual_time
from tests.cover.test_departures import (
    LASTING,
    MAX_GAP_S,
    REPORT_INTERVAL_MS,
    SILENCE_MS,
    _gap_s,
    _one_task_on_each_worker,
    _Topic,
)

JOB = "0" * 16
MAX_RECORD_BYTES = 262_144


def _drain(harness: CellHarness, name: str, leaving_in_ms: int | None = None) -> None:
    infos = harness.worker_infos
    infos[name] = replace(infos[name], draining=True, leaving_in_ms=leaving_in_ms)
    harness.cell.set_workers(infos, harness.now_ms)
    harness.read_orders()


def _leave(harness: CellHarness, name: str) -> None:
    del harness.worker_infos[name]
    harness.cell.set_workers(harness.worker_infos, harness.now_ms)
    harness.cell.note_departed({name: 1}, harness.now_ms)
    harness.read_orders()


def _start(harness: CellHarness) -> str:
    harness.submit(LASTING)
    harness.now_ms += 500
    harness.answer_leases()
    (order,) = harness.start()
    harness.now_ms += 10
    harness.answer_leases()
    return order.boot.name


def _stored(harness: CellHarness, token: int, releasing: bool = True) -> RegisteredWorkers:
    record, _ = registration_record(
        harness.cell.boots.values(),
        harness.cell.book,
        token,
        harness.now_ms,
        LIMITS.lease_ms,
        releasing,
        {},
    )
    return record


def _successor(harness: CellHarness, record: RegisteredWorkers) -> CellHarness:
    """Return an owner that has read a record, but not yet the directory."""
    successor = CellHarness()
    successor.now_ms = harness.now_ms
    successor.worker_infos = dict(harness.worker_infos)
    successor.cell = Cell(
        LIMITS, record.token + 1, harness.now_ms, last_ordering_token=record.token
    )
    successor.cell.set_registered_workers(record, harness.now_ms, harness.now_ms)
    return successor


def _add_started_job(harness: CellHarness, earlier: CellHarness) -> None:
    book = harness.cell.book
    submission = earlier.cell.book.jobs[JOB].submission
    harness.cell.add_job(submission, None, False, harness.now_ms)
    book.note_maybe_started(book.jobs[JOB])


class TestLateRecords:
    """Guard against a record of a departure that is appended after a later boot was registered."""

    @staticmethod
    def _starts_after_departure(is_listed: bool) -> list:
        """Return what a new owner starts while the boot after the one that left is silent."""
        harness = CellHarness("w0", "w1")
        for name in ("w0", "w1"):
            harness.reboot(name, 2)
        name = _start(harness)
        successor = _successor(harness, _stored(harness, 1))
        if not is_listed:
            del successor.worker_infos[name]
        _add_started_job(successor, harness)
        successor.cell.note_departed({name: 1}, successor.now_ms)
        successor.cell.set_workers(successor.worker_infos, successor.now_ms)
        successor.read_orders()
        successor.store_changes()
        (other,) = {"w0", "w1"} - {name}
        successor.answer_lease(other)
        return start_orders([*successor.plan(60), *successor.plan(60)])

    def test_a_departure_of_an_earlier_boot_ends_no_runs_of_one_that_is_listed(self) -> None:
        assert self._starts_after_departure(is_listed=True) == []

    def test_a_departure_of_an_earlier_boot_ends_no_runs_of_one_that_is_not_listed(self) -> None:
        assert self._starts_after_departure(is_listed=False) == []

    def test_no_task_runs_twice_after_a_late_record_of_a_departure(self) -> None:
        async def stop_owner(sim: CellSimulation) -> None:
            while (owner := sim.owner()) is None:
                await asyncio.sleep(0.01)
            await sim.instances[owner].release_cell()
            await sim.kill_instance(owner)

        async def script(sim: CellSimulation) -> None:
            platform = sim.platform
            name = await _one_task_on_each_worker(sim)
            first_boot_ms = platform.workers[name].info.boot_time_ms
            await asyncio.sleep(2)
            await stop_owner(sim)
            platform.leave(name)
            await asyncio.sleep(0.5)
            platform.restart(name)
            later = platform.workers[name]
            later.info = replace(later.info, draining=False)
            while len(platform.running_tasks()) < sim.worker_count:
                await asyncio.sleep(0.01)
            await asyncio.sleep(3)
            platform.add_worker("new")
            await asyncio.sleep(1)
            await stop_owner(sim)
            # The first owner was suspended before it could store what it had read.
            record = Departures(((name, first_boot_ms),))
            platform.store.append_records([(key_of(record), encode_record(record))])
            platform.faults.cut_links = {(instance, name) for instance in sim.instances}
            await asyncio.sleep(5)
            assert platform.violations == []

        run_simulation(CellSimulation(1, worker_count=3), script)


class TestLateCalls:
    """Guard against a lease extension without an answer that reaches the next boot."""

    def test_a_worker_that_left_is_not_forgotten_while_a_call_is_under_way(self) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        boot = harness.cell.boots[name]
        _drain(harness, name, 3_000)
        deadline_ms, _ = harness.cell.prepare_lease_extension(boot, harness.now_ms)
        assert deadline_ms is not None
        token = boot.fencing_token
        harness.now_ms += 100
        _leave(harness, name)
        harness.now_ms += 150
        harness.cell.note_confirmed(harness.now_ms)
        harness.cell.plan(harness.now_ms, harness.now_ms)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.now_ms += 150
        harness.cell.note_confirmed(harness.now_ms)
        harness.cell.plan(harness.now_ms, harness.now_ms)
        harness.cell.note_lease_failure(boot, harness.now_ms)
        harness.worker_infos[name] = make_worker_info(name, 2)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        later = harness.cell.boots[name]
        assert later.info.boot_time_ms == 2
        assert later.fencing_token > token
        assert later.late_orders_expiry_ms > harness.now_ms

    @pytest.mark.parametrize("leaves", [False, True])
    def test_a_late_extension_counts_for_the_boot_after_one_that_left(self, leaves: bool) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        boot = harness.cell.boots[name]
        _drain(harness, name, 3_000)
        assert harness.cell.prepare_lease_extension(boot, harness.now_ms)[0] is not None
        harness.now_ms += 300
        harness.cell.note_lease_failure(boot, harness.now_ms)
        if leaves:
            _leave(harness, name)
        harness.now_ms += 100
        harness.reboot(name, 2)
        later = harness.cell.boots[name]
        harness.now_ms += 100
        # The clock of the later boot is behind that of the earlier one.
        reply = LeaseReply(1_000, 2, (), ())
        harness.cell.handle_lease_reply(later, reply, harness.now_ms - 1, harness.now_ms)
        assert not later.orders_expired(harness.now_ms + 5_000)

    @pytest.mark.parametrize("leaves", [False, True])
    def test_a_ruled_out_start_stays_in_the_record_once_its_worker_has_left(
        self, leaves: bool
    ) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(LASTING)
        harness.now_ms += 500
        harness.answer_leases()
        order = harness.start_unanswered()
        name = order.boot.name
        harness.accept_stop(order.run)
        harness.now_ms += 10
        harness.answer_lease(name)
        assert order.run in harness.cell.boots[name].ruled_out
        _drain(harness, name)
        harness.plan()
        if leaves:
            _leave(harness, name)
        harness.plan(150)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.plan(150)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        record = _stored(harness, 1, releasing=False)
        named = {
            task
            for worker in record.workers
            for runs in worker.possible_runs or ()
            for task in runs.tasks or ()
        }
        assert order.run.task.id in named


class TestAdoptedWorkers:
    """Guard against bounds of earlier owners that are applied to a later boot of a worker."""

    def test_a_record_of_an_earlier_boot_does_not_shorten_the_lease_of_an_adopted_one(self) -> None:
        """A lease extension of the earlier owner may have reached the later boot."""
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        harness.now_ms += 4_000
        harness.answer_leases()
        _drain(harness, name)
        harness.cell.prepare_lease_extension(harness.cell.boots[name], harness.now_ms)
        successor = _successor(harness, _stored(harness, 1))
        successor.worker_infos[name] = make_worker_info(name, 2)
        successor.cell.set_workers(successor.worker_infos, successor.now_ms)
        successor.read_orders()
        successor.store_changes()
        successor.now_ms += 500
        successor.answer_lease(name)
        boot = successor.cell.boots[name]
        assert boot.adopted
        assert not boot.orders_expired(successor.now_ms + 5_000)

    def test_a_late_start_of_an_earlier_owner_holds_its_task_back_once_the_worker_left(
        self,
    ) -> None:
        """The next boot may carry it out, though another run of the task was there since."""
        harness = CellHarness("w0", "w1")
        harness.submit(LASTING)
        harness.now_ms += 500
        harness.answer_leases()
        late = harness.start_unanswered()
        name = late.boot.name
        harness.accept_stop(late.run)
        harness.now_ms += 10
        harness.answer_leases()
        (order,) = harness.start()
        assert order.boot.name == name
        harness.now_ms += 10
        harness.answer_leases()
        successor = _successor(harness, _stored(harness, 1))
        _add_started_job(successor, harness)
        successor.cell.set_workers(successor.worker_infos, successor.now_ms)
        successor.read_orders()
        successor.store_changes()
        listed = RunningTask(order.run.task.id, order.run.number, "", 10, 0)
        successor.answer_lease(name, listed)
        successor.plan(20)
        _drain(successor, name)
        _leave(successor, name)
        (other,) = successor.worker_infos
        for _ in range(5):
            successor.read_orders()
            successor.answer_lease(other)
            assert start_orders(successor.plan(98)) == []


class TestListsReadLate:
    """Guard against a list from before a departure that makes its worker count as present again."""

    @staticmethod
    def _answer_late(harness: CellHarness, *ends: RunEnd) -> Boot:
        """Let a worker leave before an answer of it is processed; return the worker."""
        name = _start(harness)
        boot = harness.cell.boots[name]
        (run,) = boot.runs.values()
        _drain(harness, name)
        _leave(harness, name)
        runs = () if ends else (RunningTask(run.task.id, run.number, "", 10, 0),)
        reply = LeaseReply(harness.now_ms - 90_000, 1, runs, ends)
        harness.cell.handle_lease_reply(boot, reply, harness.now_ms - 100, harness.now_ms + 5)
        return boot

    def test_a_run_that_was_listed_before_the_departure_does_not_go_on(self) -> None:
        boot = self._answer_late(CellHarness("w0", "w1"))
        assert boot.unresponsive
        assert not boot.runs

    def test_an_end_that_was_listed_before_the_departure_counts(self) -> None:
        harness = CellHarness("w0", "w1")
        self._answer_late(harness, RunEnd(1, TaskId(JOB, 0, 0, 0), 1, "failed", ""))
        (task,) = harness.cell.book.jobs[JOB].opened_tasks()
        assert task.failed_workers


class TestEntries:
    """Guard against entries of other writers that make a silent worker count as gone."""

    @pytest.mark.parametrize(
        "foreign",
        [
            {"state": "draining", "born": 0},
            {"state": "draining", "service": "unknown"},
            {"state": "draining", "address": "10.0.0.9:80"},
        ],
    )
    def test_an_entry_of_another_writer_does_not_show_that_the_worker_left(
        self, foreign: dict[str, object]
    ) -> None:
        topic = _Topic()
        directory = StoreDirectory(topic, REPORT_INTERVAL_MS)  # type: ignore[arg-type]

        async def scenario() -> None:
            topic.write("w0", "ready")
            await directory.refresh()
            await asyncio.sleep(SILENCE_MS / 1000 - 1)
            await directory.refresh()
            topic.write("w0", **{"state": "ready", **foreign})
            await directory.refresh()
            await asyncio.sleep(1)
            topic.remove("w0")  # since the worker has been silent for three intervals
            await directory.refresh()

        run_in_virtual_time(scenario())
        assert directory.take_departed() == {}


class TestLedgers:
    """Guard against departures that are lost, or come back, by the order of the read records."""

    WORKERS = RegisteredWorkers((RegisteredWorker("w0", "10.0.0.1:80", "svc"),), 1)
    DEPARTURES = Departures((("w0", 1),))

    @pytest.mark.parametrize("order", [(0, 1), (1, 0), (0, 1, 0), (0, 1, 0, 1)])
    @pytest.mark.parametrize("is_departure_newer", [True, False])
    def test_a_departure_counts_if_it_is_newer_than_the_registered_workers(
        self, order: tuple[int, ...], is_departure_newer: bool
    ) -> None:
        records = [self.WORKERS, self.DEPARTURES]
        if not is_departure_newer:
            records.reverse()
        entries = [
            LogEntry(offset, key_of(record), encode_record(record))
            for offset, record in enumerate(records)
        ]
        ledger = Ledger()
        for number in order:  # a load returns them by key, and two reads may return the same
            ledger.apply(entries[number])
        assert ledger.departed == ({"w0": 1} if is_departure_newer else {})


class TestReleases:
    """Guard against departures that an owner reads while its release is being stored."""

    @pytest.mark.parametrize("leaves_after_s", [0.1, 0.3, 0.5, 0.7])
    def test_a_departure_that_the_record_of_the_release_lacks_is_reported(
        self, leaves_after_s: float
    ) -> None:
        async def script(sim: CellSimulation) -> None:
            platform = sim.platform
            name = await _one_task_on_each_worker(sim)
            worker = platform.workers[name]
            worker.info = replace(worker.info, leaving_in_ms=9_000)
            await asyncio.sleep(2)
            owner = sim.owner()
            assert owner is not None
            platform.faults.store_delays_s[owner] = 0.5
            stopping = asyncio.ensure_future(sim.instances[owner].release_cell())
            await asyncio.sleep(leaves_after_s)
            platform.leave(name)
            platform.add_worker("new")
            await stopping
            assert await _gap_s(sim) < MAX_GAP_S
            assert platform.violations == []

        run_simulation(CellSimulation(1, worker_count=3), script)


class TestOrder:
    """Guard against a task that waits anew because its owner stopped just after its worker left."""

    def test_tasks_whose_loss_is_not_confirmed_keep_their_order(self) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        listed_ms = harness.now_ms
        _drain(harness, name)
        harness.now_ms += 700
        _leave(harness, name)
        changes = harness.cell.collect_changes(harness.now_ms, harness.now_ms, True)
        assert changes is not None
        (record,) = (r for r in changes.records if isinstance(r, RegisteredWorkers))
        assert record.idle_ms == ((TaskId(JOB, 0, 0, 0), harness.now_ms - listed_ms),)


class TestSizes:
    """Guard against a record of registered workers that the store refuses."""

    def test_many_workers_and_waiting_tasks_fit_into_one_record(self) -> None:
        harness = CellHarness()
        harness.worker_infos = {
            name: replace(
                make_worker_info(name), address="10.214.164.143:18569", service="orderdesk-service"
            )
            for name in (f"i-{number:010x}" for number in range(2_500))
        }
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        for number in range(5):
            job = f"{number:016x}"
            harness.submit(StepSpec(1_000, cpu_millis=1_000, long_running=True), job=job)
            harness.cell.book.note_maybe_started(harness.cell.book.jobs[job])
            for task in harness.cell.book.jobs[job].opened_tasks():
                task.last_run_ended_ms = task.idle_since_ms = harness.now_ms
        harness.now_ms += 100_000
        record = _stored(harness, 1)
        assert isinstance(record.workers, tuple)
        assert all(isinstance(task, TaskId) for task, _ in record.idle_ms)
        assert len(encode_record(record)) <= MAX_RECORD_BYTES

    def test_many_workers_and_their_tasks_fit_into_one_record(self) -> None:
        harness = CellHarness()
        names = [f"i-{number:010x}" for number in range(2_500)]
        for name in names:
            info = make_worker_info(name)
            info = replace(info, address="10.214.164.143:18569", service="orderdesk-service")
            harness.worker_infos[name] = info
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        book = harness.cell.book
        harness.submit(StepSpec(5_000, cpu_millis=1_000, long_running=True))
        for number, task in enumerate(list(book.jobs[JOB].opened_tasks())):
            boot = harness.cell.boots[names[number // 2]]
            run = book.attach_run(task, 1, boot.name, "r0", "running", harness.now_ms)
            run.note_accepted(harness.now_ms)
            run.accepted_by_clock = True
            boot.add_run(run)
            boot.last_answer_ms = harness.now_ms
        harness.now_ms += 100_000
        assert len(encode_record(_stored(harness, 1))) <= MAX_RECORD_BYTES
