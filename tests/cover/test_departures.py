"""Workers that drain and leave: how an owner knows it, and what follows for their runs."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace

import msgspec
import pytest
from msgspec.structs import replace as change

from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.registration import registration_record
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import RegisteredWorkers
from greengagewood.internal.ports import LogEntry, LogPage, StoreUnavailable
from greengagewood.platform.directory import StoreDirectory
from tests.common.desk import LIMITS, CellHarness, start_orders
from tests.common.drive import CellSimulation, long_running_job, run_simulation
from tests.common.storestub import WORKER_ENTRY
from tests.common.virtualtime import run_in_virtual_time

JOB = "0" * 16
LASTING = StepSpec(1, cpu_millis=1_000, long_running=True)
REPORT_INTERVAL_MS = 1_500
SILENCE_MS = 3 * REPORT_INTERVAL_MS  # after which the store removes an entry
READ_INTERVAL_S = 0.5
MAX_GAP_S = 2.0  # of a task whose worker left, if another has room
# The same while the owner changes as planned: the platform allows 6 s, and 3 s to start.
MAX_GAP_AT_CHANGE_S = 6.0


@dataclass
class _Topic:
    """The workers' topic of the store."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    available: bool = True

    def write(self, name: str, state: str = "ready", **fields: object) -> None:
        entry = {**WORKER_ENTRY, "state": state, "born": 1, **fields}
        self.records.append((name, msgspec.json.encode(entry)))

    def remove(self, name: str) -> None:
        self.records.append((name, b""))

    async def load(self) -> LogPage:
        newest = {key: (offset, value) for offset, (key, value) in enumerate(self.records)}
        entries = [LogEntry(offset, key, value) for key, (offset, value) in newest.items() if value]
        return LogPage(tuple(entries), len(self.records))

    async def read(self, start: int, wait_ms: int) -> LogPage:
        if not self.available:
            raise StoreUnavailable("no answer")
        entries = [
            LogEntry(offset, *self.records[offset]) for offset in range(start, len(self.records))
        ]
        return LogPage(tuple(entries), len(self.records), len(self.records))


class _Reader:
    """A directory that is read as an owner does."""

    def __init__(self, report_interval_ms: int = REPORT_INTERVAL_MS) -> None:
        self.topic = _Topic()
        self.directory = StoreDirectory(self.topic, report_interval_ms)  # type: ignore[arg-type]

    async def let_pass(self, seconds: float) -> None:
        for _ in range(round(seconds / READ_INTERVAL_S)):
            await asyncio.sleep(READ_INTERVAL_S)
            if self.topic.available:
                await self.directory.refresh()


class TestRemovedEntries:
    """Guard against a worker that is only silent, and counts as gone with all that it runs."""

    @staticmethod
    def _departed(*events: tuple[str, float], interval_ms: int = REPORT_INTERVAL_MS) -> set[str]:
        """Play events, each followed by a time; return which workers count as gone."""
        reader = _Reader(interval_ms)

        async def scenario() -> None:
            topic = reader.topic
            for event, seconds in events:
                match event:
                    case "ready" | "draining":
                        topic.write("w0", event)
                    case "odd":
                        topic.records.append(("w0", b"?"))
                    case "removed":
                        topic.remove("w0")
                    case "outage":
                        topic.available = False
                    case "again":
                        topic.available = True
                    case "truncated":
                        reader.directory._next_offset = None
                    case "reborn":
                        topic.write("w0", "ready", born=2)
                await reader.let_pass(seconds)

        run_in_virtual_time(scenario())
        return set(reader.directory.take_departed())

    def test_a_worker_that_drains_and_leaves_between_two_reports_has_left(self) -> None:
        drain = ("ready", 1.5), ("draining", 1.5), ("draining", 1.0)
        assert self._departed(*drain, ("removed", 0.5)) == {"w0"}

    def test_a_silent_worker_has_not_left(self) -> None:
        for silence_s in (SILENCE_MS / 1000, SILENCE_MS / 1000 - 0.5):
            drain = ("ready", 1.5), ("draining", 1.5), ("draining", silence_s)
            assert self._departed(*drain, ("removed", 0.5)) == set()

    def test_a_worker_that_did_not_drain_has_not_left(self) -> None:
        assert self._departed(("ready", 1.5), ("ready", 0.5), ("removed", 0.5)) == set()

    def test_nothing_is_known_of_entries_that_were_not_seen_to_change(self) -> None:
        assert self._departed(("draining", 0), ("removed", 0.5)) == set()
        late = ("ready", 1.5), ("draining", 0.5), ("truncated", 0.5)
        assert self._departed(*late, ("removed", 0.5)) == set()
        assert self._departed(*late, ("draining", 0.5), ("removed", 0.5)) == {"w0"}

    def test_the_time_of_an_outage_counts(self) -> None:
        """The worker may have been silent since before it, and its entry removed for that."""
        outage = ("ready", 1.5), ("draining", 0.5), ("outage", 4.0), ("draining", 0)
        assert self._departed(*outage, ("removed", 0), ("again", 0.5)) == set()

    def test_an_entry_of_another_writer_says_nothing(self) -> None:
        drain = ("ready", 1.5), ("draining", 0.5)
        assert self._departed(*drain, ("odd", 0.5)) == set()
        assert self._departed(*drain, ("odd", 0.5), ("removed", 0.5)) == set()

    def test_a_worker_that_is_back_has_not_left(self) -> None:
        drain = ("ready", 1.5), ("draining", 0.5)
        assert self._departed(*drain, ("removed", 0), ("reborn", 0.5)) == set()

    def test_without_the_interval_nothing_is_concluded(self) -> None:
        drain = ("ready", 1.5), ("draining", 0.5)
        assert self._departed(*drain, ("removed", 0.5), interval_ms=0) == set()


def _drain(harness: CellHarness, name: str, leaving_in_ms: int | None = None) -> None:
    infos = harness.worker_infos
    infos[name] = replace(infos[name], draining=True, leaving_in_ms=leaving_in_ms)
    harness.cell.set_workers(infos, harness.now_ms)
    harness.read_orders()


def _leave(harness: CellHarness, name: str) -> None:
    """Let the directory show that a worker has left."""
    del harness.worker_infos[name]
    harness.cell.set_workers(harness.worker_infos, harness.now_ms)
    harness.cell.note_departed({name: 1}, harness.now_ms)
    harness.read_orders()


def _start(harness: CellHarness, spec: StepSpec = LASTING) -> str:
    """Start a task; return its worker."""
    harness.submit(spec)
    harness.now_ms += 500
    harness.answer_leases()
    (order,) = harness.start()
    harness.now_ms += 10
    harness.answer_leases()
    return order.boot.name


class TestRuns:
    """Guard against tasks that wait for the lease of a worker that has left, or run twice."""

    def test_a_task_is_started_elsewhere_once_a_read_has_confirmed_the_owner(self) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness, change(LASTING, max_per_instance=1))
        _drain(harness, name)
        _leave(harness, name)
        (other,) = harness.worker_infos
        harness.answer_lease(other)
        assert not start_orders(harness.cell.plan(harness.now_ms, harness.now_ms))
        assert [order.boot.name for order in start_orders(harness.plan(60))] == [other]

    def test_a_worker_that_is_listed_has_not_left(self) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        _drain(harness, name)
        harness.cell.note_departed({name: 1}, harness.now_ms)
        assert harness.cell.boots[name].adopted
        assert harness.cell.boots[name].runs

    def test_a_departure_that_is_told_before_the_directory_shows_it_counts_then(self) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        _drain(harness, name)
        harness.cell.note_departed({name: 1}, harness.now_ms)
        del harness.worker_infos[name]
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert not harness.cell.boots[name].runs

    def test_a_departure_of_another_boot_says_nothing(self) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        _drain(harness, name)
        harness.cell.note_departed({name: 2}, harness.now_ms)
        del harness.worker_infos[name]
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.cell.note_departed({name: 2}, harness.now_ms)
        assert harness.cell.boots[name].runs

    def test_a_start_without_an_answer_is_waited_for(self) -> None:
        """A later boot under the same ID may carry it out."""
        harness = CellHarness("w0", "w1")
        harness.submit(LASTING)
        harness.now_ms += 500
        harness.answer_leases()
        name = harness.start_unanswered().boot.name
        _drain(harness, name)
        _leave(harness, name)
        (other,) = harness.worker_infos
        for _ in range(80):
            harness.read_orders()
            harness.answer_lease(other)
            assert not start_orders(harness.plan(98))

    def test_the_worker_is_forgotten_and_so_is_its_record(self) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        _drain(harness, name)
        harness.plan()
        _leave(harness, name)
        harness.plan()
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert name not in harness.cell.boots

    def test_a_run_that_goes_on_after_all_is_stopped(self) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        info = harness.worker_infos[name]
        (key,) = harness.cell.boots[name].runs
        _drain(harness, name)
        boot = harness.cell.boots[name]
        _leave(harness, name)
        harness.worker_infos[name] = info
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert harness.cell.boots[name] is boot
        assert boot.unresponsive
        (other,) = set(harness.worker_infos) - {name}
        harness.answer_lease(other)
        (order,) = start_orders(harness.plan(60))
        assert order.boot.name == other
        assert order.run.number > key[1]


class TestRecords:
    """Guard against a new owner that waits for what its predecessor, or it itself, can rule out."""

    @staticmethod
    def _successor(harness: CellHarness) -> CellHarness:
        """Return an owner that has read the record of a planned stop."""
        cell = harness.cell
        record, _ = registration_record(
            cell.boots.values(), cell.book, 1, harness.now_ms, 6_000, True, {}
        )
        successor = CellHarness()
        successor.now_ms = harness.now_ms
        successor.worker_infos = harness.worker_infos
        successor.cell = Cell(LIMITS, 2, harness.now_ms, last_ordering_token=1)
        successor.cell.set_registered_workers(record, harness.now_ms, harness.now_ms)
        successor.cell.set_workers(harness.worker_infos, harness.now_ms)
        successor.read_orders()
        successor.store_changes()
        return successor

    def test_a_run_on_a_worker_that_left_is_ruled_out(self) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        _drain(harness, name)
        successor = self._successor(harness)
        assert successor.cell.boots[name].unlisted_runs(harness.now_ms)
        _leave(successor, name)
        assert not successor.cell.boots[name].unlisted_runs(harness.now_ms)

    def test_the_wait_of_a_task_counts_from_its_last_list(self) -> None:
        """Guards against a task that comes after others which lost their runs later."""
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        listed_ms = harness.now_ms
        _drain(harness, name)
        harness.now_ms += 700
        successor = self._successor(harness)
        book = successor.cell.book
        submission = harness.cell.book.jobs[JOB].submission
        successor.cell.add_job(submission, None, False, successor.now_ms)
        book.note_maybe_started(book.jobs[JOB])
        successor.now_ms += 300
        _leave(successor, name)
        (other,) = successor.worker_infos
        successor.answer_lease(other)
        successor.plan()
        (task,) = book.jobs[JOB].opened_tasks()
        assert not task.maybe_running
        assert task.idle_since_ms == listed_ms

    @pytest.mark.parametrize("owners", [1, 3])
    def test_tasks_without_a_run_keep_their_order_over_planned_changes(self, owners: int) -> None:
        """Guards against a task that waits anew for each that lost its run after it."""
        harness = CellHarness("w0")
        since_ms = {}
        for number in range(3):
            job = f"{number:016x}"
            harness.submit(LASTING, job=job)
            book = harness.cell.book
            (task,) = book.jobs[job].opened_tasks()
            book.note_maybe_started(book.jobs[job])
            task.last_run_ended_ms = task.idle_since_ms = since_ms[task.id] = harness.now_ms
            harness.now_ms += 2_000
        submissions = [job.submission for job in harness.cell.book.jobs.values()]
        for token in range(1, owners + 1):
            changes = harness.cell.collect_changes(harness.now_ms, harness.now_ms, True)
            assert changes is not None
            (record,) = (r for r in changes.records if isinstance(r, RegisteredWorkers))
            harness.now_ms += 500
            harness.cell = Cell(LIMITS, token + 1, harness.now_ms, last_ordering_token=token)
            harness.cell.set_registered_workers(record, harness.now_ms - 500, harness.now_ms)
            book = harness.cell.book
            for submission in submissions:
                harness.cell.add_job(submission, None, False, harness.now_ms)
                book.note_maybe_started(book.jobs[submission.job_id])
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.read_orders()
        harness.store_changes()
        harness.answer_lease("w0")
        harness.plan()
        tasks = [task for job in book.jobs.values() for task in job.opened_tasks()]
        assert {task.id: task.idle_since_ms for task in tasks} == since_ms

    def test_a_start_without_an_answer_on_a_worker_that_left_is_not(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(LASTING)
        harness.now_ms += 500
        harness.answer_leases()
        name = harness.start_unanswered().boot.name
        _drain(harness, name)
        successor = self._successor(harness)
        _leave(successor, name)
        assert successor.cell.boots[name].unlisted_runs(harness.now_ms)


class TestLeases:
    """Guard against leases that go on for long after a worker that drains may have left."""

    @pytest.mark.parametrize(
        ("leaving_in_ms", "after_ms", "lease_ms"),
        [
            (None, 0, 2_000),
            (0, 0, 2_000),
            (1_000, 0, 3_000),
            (1_000, 600, 2_400),
            (9_000, 0, 6_000),
        ],
    )
    def test_a_lease_ends_soon_after_the_worker_may_leave(
        self, leaving_in_ms: int | None, after_ms: int, lease_ms: int
    ) -> None:
        harness = CellHarness("w0")
        _drain(harness, "w0", leaving_in_ms)
        harness.now_ms += after_ms
        harness.answer_lease("w0")
        boot = harness.cell.boots["w0"]
        deadline_ms, _ = harness.cell.prepare_lease_extension(boot, harness.now_ms)
        assert deadline_ms == harness.now_ms - 90_000 + lease_ms

    def test_a_worker_that_stays_gets_the_whole_lease(self) -> None:
        harness = CellHarness("w0")
        boot = harness.cell.boots["w0"]
        deadline_ms, _ = harness.cell.prepare_lease_extension(boot, harness.now_ms)
        assert deadline_ms == harness.now_ms - 90_000 + 6_000

    @pytest.mark.parametrize(("drains", "bound_ms"), [(True, 2_200), (False, 6_300)])
    def test_an_adopted_worker_has_the_lease_that_the_record_says(
        self, drains: bool, bound_ms: int
    ) -> None:
        harness = CellHarness("w0", "w1")
        name = _start(harness)
        if drains:
            harness.now_ms += 4_000  # longer leases of before are nearly over
            _drain(harness, name)
        harness.answer_leases()
        for boot in harness.cell.boots.values():
            harness.cell.prepare_lease_extension(boot, harness.now_ms)
        successor = TestRecords._successor(harness)
        successor.answer_leases()
        boot = successor.cell.boots[name]
        assert boot.adopted
        assert not boot.orders_expired(successor.now_ms + bound_ms - 300)
        assert boot.orders_expired(successor.now_ms + bound_ms)


async def _one_task_on_each_worker(sim: CellSimulation) -> str:
    """Start a task on each worker, none of which takes two; return a worker that drains."""
    (step,) = long_running_job().steps
    step = change(step, task_count=sim.worker_count, max_per_instance=1)
    await sim.submit(JOB, "serve", JobSpec("watch", (step,)))
    await asyncio.sleep(2)
    assert len(sim.platform.running_tasks()) == sim.worker_count
    sim.platform.drain("w1")
    return "w1"


async def _gap_s(sim: CellSimulation) -> float:
    """Return how long a task is without a run."""
    begun_ms = monotonic_ms()
    while len(sim.platform.running_tasks()) < sim.worker_count:
        await asyncio.sleep(0.01)
        assert monotonic_ms() - begun_ms < 20_000
    return (monotonic_ms() - begun_ms) / 1000


class TestOwners:
    """Guard against a task that stands still after its worker has left, though others have room."""

    @pytest.mark.parametrize("seed", range(3))
    def test_the_task_of_a_worker_that_left_runs_elsewhere_soon(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            name = await _one_task_on_each_worker(sim)
            await asyncio.sleep(2)
            sim.platform.leave(name)
            sim.platform.add_worker("new")
            assert await _gap_s(sim) < MAX_GAP_S
            assert sim.platform.violations == []

        run_simulation(CellSimulation(seed, worker_count=3), script)

    @pytest.mark.parametrize("stops_after_s", [-0.5, -0.1, 0.0, 0.1, 0.3, 0.6])
    def test_the_same_as_its_owner_stops(self, stops_after_s: float) -> None:
        async def stop(sim: CellSimulation, after_s: float) -> None:
            await asyncio.sleep(after_s)
            owner = sim.owner()
            assert owner is not None
            await sim.instances[owner].release_cell()
            await sim.kill_instance(owner)

        async def script(sim: CellSimulation) -> None:
            name = await _one_task_on_each_worker(sim)
            stopping = asyncio.ensure_future(stop(sim, 2 + stops_after_s))
            await asyncio.sleep(2)
            sim.platform.leave(name)
            sim.platform.add_worker("new")
            assert await _gap_s(sim) < MAX_GAP_AT_CHANGE_S
            await stopping
            assert sim.platform.violations == []

        run_simulation(CellSimulation(1, worker_count=3), script)

    @pytest.mark.parametrize("changes", [1, 2])
    def test_the_same_while_there_is_no_owner(self, changes: int) -> None:
        async def stop_owner(sim: CellSimulation) -> None:
            while (owner := sim.owner()) is None:
                await asyncio.sleep(0.01)
            await sim.instances[owner].release_cell()
            stopped.append(owner)

        stopped: list[str] = []

        async def script(sim: CellSimulation) -> None:
            name = await _one_task_on_each_worker(sim)
            await asyncio.sleep(2)
            await stop_owner(sim)
            sim.platform.leave(name)
            sim.platform.add_worker("new")
            for _ in range(changes - 1):
                await stop_owner(sim)
            assert await _gap_s(sim) < MAX_GAP_S
            assert sim.platform.violations == []
            assert len(stopped) == changes

        run_simulation(CellSimulation(1, worker_count=3), script)
