"""What an owner stored holds on while later owners end before they have sent any order.

The environment variable GGW_OWNER_ROW_SEEDS, such as 100:200, plays other seeds.
"""

from __future__ import annotations

import asyncio
import os
import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from greengagewood.internal.cells.boots import longest_ms
from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.ownership import OwnershipView
from greengagewood.internal.cells.planner import GROUPING_DELAY_MS
from greengagewood.internal.cells.registration import registration_record
from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.evacuation import Evacuations
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    REGISTERED_WORKERS_KEY,
    Ownership,
    PossibleRuns,
    Progress,
    RegisteredWorker,
    RegisteredWorkers,
    Submission,
    TaskId,
    encode_record,
    key_of,
)
from greengagewood.internal.ports import (
    AppendResult,
    LeaseReply,
    LogEntry,
    LogPage,
    OrderReply,
    RunEnd,
    RunListPage,
    WorkerInfo,
)
from tests.common.desk import (
    LIMITS,
    QUEUE,
    CellHarness,
    make_worker_info,
    start_orders,
    store_changes,
)
from tests.common.drive import CellSimulation, long_running_job, run_simulation, short_job
from tests.common.eventorder import RESTART_MS
from tests.common.ownerrows import OwnerRows
from tests.common.plant import SimStoreClient, SimWorkerLink

FIRST, LAST = map(int, os.environ.get("GGW_OWNER_ROW_SEEDS", "0:8").split(":"))
STEPS = 1_500
JOB = "0" * 16


def _owner_record(token: int, last_ordering_token: int) -> Ownership:
    return Ownership(
        token,
        f"owner-{token}",
        heartbeats_limit_orders=True,
        last_ordering_token=last_ordering_token,
    )


async def _end_unused_claim(sim: CellSimulation, releases: bool) -> None:
    """Wait until an instance has claimed the cell, and end it before its term begins."""
    while (name := sim.owner()) is None:
        await asyncio.sleep(0.002)
    assert sim.instances[name]._runner is None
    if releases:
        await sim.instances[name].release_cell()
    await sim.kill_instance(name)


def _runs(sim: CellSimulation) -> Iterator[tuple[str, TaskId, Any]]:
    """Yield each run with its worker and its task."""
    for name, worker in sim.platform.workers.items():
        for task, run in worker.runs.items():
            yield name, task, run


async def _owner_with_a_record(sim: CellSimulation) -> str:
    """Wait until an owner has stored its first record of registered workers; return its name."""
    while True:
        name = sim.owner()
        runner = sim.instances[name]._runner if name is not None else None
        if name is not None and runner is not None and runner.cell.term.registration_stored:
            return name
        await asyncio.sleep(0.002)


class TestLoadedLogs:
    """An instance that could not read the log for so long that its records were deleted."""

    @pytest.mark.parametrize("releases", [False, True])
    def test_a_wait_counts_from_heartbeats_that_were_deleted(self, releases: bool) -> None:
        """Guards against a second run of a task on a worker whose lease goes on."""

        async def script(sim: CellSimulation) -> None:
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(2)
            first = sim.owner()
            assert first is not None
            reader, _ = [name for name in sim.instances if name != first]
            sim.platform.faults.store_silent_to.add(reader)
            await asyncio.sleep(30)
            busy = [name for name, worker in sim.platform.workers.items() if worker.runs]
            sim.platform.faults.cut_links.update((reader, name) for name in busy)
            await sim.kill_instance(first)
            await _end_unused_claim(sim, releases)
            sim.platform.store.truncate()
            sim.platform.faults.store_silent_to.clear()
            await asyncio.sleep(15)
            assert sim.owner() == reader
            assert sim.platform.violations == []

        run_simulation(CellSimulation(2), script)

    @pytest.mark.parametrize("registered_first", [False, True])
    def test_an_unused_claim_that_a_new_process_loads_ends_the_orders_before_it(
        self, registered_first: bool
    ) -> None:
        """Guards against a wait that counts from the process's own claim, seconds later."""
        view = OwnershipView("me", LIMITS.confirmation_timeout_ms, 0)
        records = [_owner_record(4, 3), RegisteredWorkers((), 3), Progress(JOB, "running")]
        view.note_load(1_000)
        for record in reversed(records) if registered_first else records:
            view.note_record(record, 1_000)
        view.note_read(1_000, 1_000)
        claim = view.make_claim(3_000)
        assert claim.last_ordering_token == 3
        view.note_record(claim, 3_100)
        assert view.earlier_heartbeat_ms == 1_000

    @pytest.mark.parametrize("limited", [False, True])
    def test_an_owner_that_was_loaded_before_its_record_is_waited_for(self, limited: bool) -> None:
        """Guards against a second run beside one of the loaded owner."""
        view = OwnershipView("me", LIMITS.confirmation_timeout_ms, 0)
        record = _owner_record(4, 3)
        record = Ownership(4, record.owner, False, 0, 0, limited, 3)
        for known in (record, RegisteredWorkers((), 3)):
            view.note_record(known, 1_000)
        view.note_read(1_000, 1_000)
        view.note_record(RegisteredWorkers((), 4), 2_000)
        view.note_read(2_000, 2_000)
        view.note_record(view.make_claim(5_000), 5_100)
        assert view.earlier_heartbeat_ms == (2_000 if limited else 5_100)

    @pytest.mark.parametrize("cut_off", [False, True])
    def test_a_new_process_waits_for_no_more_than_the_orders_before_an_unused_claim(
        self, cut_off: bool
    ) -> None:
        """Guards against a longer wait, and against a run beside that of a worker cut off."""

        async def script(sim: CellSimulation) -> None:
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(2)
            tasks = sim.platform.running_tasks()
            lost = next(name for name, worker in sim.platform.workers.items() if worker.runs)
            first = sim.owner()
            assert first is not None
            if cut_off:
                sim.platform.faults.cut_links.add(("new", lost))
            else:
                sim.platform.crash(lost)
            await sim.kill_instance(first)
            await _end_unused_claim(sim, False)
            for name in list(sim.instances):
                await sim.kill_instance(name)
            loaded_ms = monotonic_ms()
            sim.start_instance("new")
            async with asyncio.timeout(30):
                while {task for name, task, _ in _runs(sim) if name != lost} != tasks:
                    await asyncio.sleep(0.02)
            hold_ms = LIMITS.confirmation_timeout_ms + longest_ms(LIMITS.lease_ms)
            assert monotonic_ms() - loaded_ms <= hold_ms + 700
            assert sim.platform.violations == []

        run_simulation(CellSimulation(0), script)

    def test_the_same_records_in_any_order_name_the_same_owner(self) -> None:
        """Guards against limits of an owner that a later owner may have exceeded."""
        records = (
            _owner_record(3, 2),
            RegisteredWorkers((), 5),
            _owner_record(7, 5),
            Progress(JOB, "running"),
        )
        for seed in range(24):
            view = OwnershipView("me", LIMITS.confirmation_timeout_ms, 0)
            for record in random.Random(seed).sample(records, len(records)):
                view.note_record(record, 1_000)
            view.note_read(1_000, 1_000)
            claim = view.make_claim(9_000)
            assert claim.last_ordering_token == 5
            view.note_record(claim, 9_100)
            assert view.earlier_heartbeat_ms in (1_000, 9_100)


class TestUnreadableRecords:
    """Records of the log that an instance can't decode."""

    def test_an_owner_whose_record_is_unreadable_may_have_sent_orders(self) -> None:
        """Guards against limits of the owner before, which the unreadable record replaces."""

        async def script(sim: CellSimulation) -> None:
            name = next(n for n in sim.instances if n != sim.owner())
            instance = sim.instances[name]
            token = instance.ledger.ownership.token
            claim = _owner_record(token + 1, token)
            offset = instance.ledger.next_offset
            entries = (
                LogEntry(offset, key_of(claim), encode_record(claim)),
                LogEntry(offset + 1, key_of(RegisteredWorkers(())), b"\xc1"),
            )
            instance._apply_page(LogPage(entries, offset + 2, offset + 2), None)
            assert instance.ledger.unreadable_count == 1
            assert instance._ownership.last_ordering_token == token + 1

        run_simulation(CellSimulation(1), script)

    def test_orders_of_an_owner_whose_record_is_unreadable_are_waited_for(self) -> None:
        """Guards against a second run beside one that an owner started after the unread record."""
        view = OwnershipView("me", LIMITS.confirmation_timeout_ms, 0)
        view.note_record(_owner_record(3, 2), 1_000)
        view.note_record(RegisteredWorkers((), 3), 2_000)
        view.note_record(_owner_record(4, 3), 3_000)
        view.note_read(3_000, 3_000)
        view.note_unreadable_registration()  # of owner 4, which ends before its next heartbeat
        view.note_read(5_000, 5_000)
        view.note_record(view.make_claim(6_000), 6_100)
        assert view.earlier_heartbeat_ms >= 5_000


class TestClaimsReadOutOfOrder:
    """Pages that two reads of one instance return in any order, and claims that are repeated."""

    def _view(self, *records: Ownership | RegisteredWorkers | Progress) -> OwnershipView:
        view = OwnershipView("me", LIMITS.confirmation_timeout_ms, 0)
        for number, record in enumerate(records):
            view.note_record(record, 1_000 * (number + 1))
            view.note_read(1_000 * (number + 1), 1_000 * (number + 1))
        return view

    def test_a_claim_that_is_sent_again_names_an_owner_that_has_stored_its_record_since(
        self,
    ) -> None:
        view = self._view(_owner_record(3, 2), RegisteredWorkers((), 3), _owner_record(4, 3))
        assert view.make_claim(3_500).last_ordering_token == 3
        view.note_claim_failed()
        view.note_record(RegisteredWorkers((), 4), 3_600)
        again = view.make_claim(3_700)
        assert (again.token, again.last_ordering_token) == (5, 4)
        view.note_record(again, 3_800)
        assert view.earlier_heartbeat_ms == 3_600

    def test_a_record_that_is_stored_after_the_claim_of_its_owner_counts(self) -> None:
        """Guards against an append without an answer that was carried out seconds later."""
        view = self._view(
            _owner_record(3, 2),
            RegisteredWorkers((), 3),
            _owner_record(4, 3),
            _owner_record(4, 3),
            RegisteredWorkers((), 4),
        )
        claim = view.make_claim(6_000)
        assert claim.last_ordering_token == 4
        view.note_record(claim, 6_100)
        assert view.earlier_heartbeat_ms == 5_000

    def test_an_own_claim_that_is_read_twice_does_not_change_the_wait(self) -> None:
        view = self._view(_owner_record(3, 2), RegisteredWorkers((), 3), _owner_record(4, 3))
        claim = view.make_claim(3_500)
        view.note_record(claim, 3_600)
        view.note_record(claim, 3_700)
        assert view.earlier_heartbeat_ms == 2_000
        assert view.last_ordering_token == 3

    def test_progress_that_an_owner_stores_before_its_record_prolongs_no_wait(self) -> None:
        view = self._view(
            _owner_record(3, 2),
            RegisteredWorkers((), 3),
            _owner_record(4, 3),
            Progress(JOB, "running"),
        )
        claim = view.make_claim(4_500)
        view.note_record(claim, 4_600)
        assert (claim.last_ordering_token, view.earlier_heartbeat_ms) == (3, 2_000)

    @pytest.mark.parametrize("limited", [False, True])
    def test_an_owner_of_an_older_version_between_two_others_is_not_passed_over(
        self, limited: bool
    ) -> None:
        older = Ownership(5, "owner-5", heartbeats_limit_orders=limited)
        view = self._view(
            _owner_record(3, 2),
            RegisteredWorkers((), 3),
            _owner_record(4, 3),
            older,
            _owner_record(6, 5),
        )
        claim = view.make_claim(6_000)
        assert claim.last_ordering_token == 5
        view.note_record(claim, 6_100)
        assert view.earlier_heartbeat_ms == (4_000 if limited else 6_100)

    def test_a_claim_of_an_older_version_ends_the_limits_for_a_later_owner(self) -> None:
        view = self._view(_owner_record(3, 2), RegisteredWorkers((), 3), Ownership(4, "older"))
        cell = Cell(
            LIMITS, 5, 9_000, last_ordering_token=view.make_claim(8_000).last_ordering_token
        )
        possible = (PossibleRuns((TaskId(JOB, 0, 0, 0),), 100),)
        stored = RegisteredWorker("w0", "10.0.0.1:80", "svc", possible)
        cell.set_registered_workers(RegisteredWorkers((stored,), 3), 5_000, 9_000)
        assert [runs.tasks for runs in cell.boots["w0"].inherited] == [None]


class TestOrdersBeforeTheRecord:
    """What an owner sends before it has stored its record of registered workers."""

    def _successor(self, *steps: StepSpec, state: str = "running") -> tuple[Cell, int]:
        """Return an owner whose workers have listed no runs, and its clock."""
        now_ms = 100_000
        cell = Cell(LIMITS, 5, now_ms, last_ordering_token=3)
        cell.set_evacuations(Evacuations(frozenset(), 0, now_ms), now_ms)
        cell.add_job(
            Submission(JOB, QUEUE, JobSpec("p", steps), 0), Progress(JOB, state), True, now_ms
        )
        names = ("w0", "w1")
        workers = tuple(RegisteredWorker(name, "10.0.0.1:80", "svc") for name in names)
        cell.set_registered_workers(RegisteredWorkers(workers, 3), now_ms, now_ms)
        cell.set_workers({name: make_worker_info(name) for name in names}, now_ms)
        for name in names:
            cell.handle_lease_reply(
                cell.boots[name], LeaseReply(5_000, 1, (), ()), now_ms, now_ms + 1
            )
        return cell, now_ms + 20_000

    @pytest.mark.parametrize(
        "step",
        [
            StepSpec(2, cpu_millis=1_000),
            StepSpec(2, cpu_millis=1_000, gang=True),
            StepSpec(2, cpu_millis=1_000, best_effort=True, image="fill"),
            StepSpec(2, cpu_millis=1_000, long_running=True),
            StepSpec(2, cpu_millis=1_000, speculative=True),
        ],
    )
    def test_no_kind_of_task_is_started(self, step: StepSpec) -> None:
        cell, now_ms = self._successor(step)
        for elapsed_ms in (0, 1_000, 4_000):
            at_ms = now_ms + elapsed_ms
            cell.set_evacuations(Evacuations(frozenset(), 0, at_ms), at_ms)
            cell.set_workers({n: make_worker_info(n) for n in ("w0", "w1")}, at_ms)
            for boot in cell.boots.values():
                assert cell.prepare_lease_extension(boot, at_ms)[0] is None
                reply = LeaseReply(25_000 + elapsed_ms, 1, (), ())
                cell.handle_lease_reply(boot, reply, at_ms, at_ms + 1)
            cell.note_confirmed(at_ms + 2)
            assert start_orders(cell.plan(at_ms + 3, at_ms + 3)) == []
        store_changes(cell, now_ms + 4_010)
        assert start_orders(cell.plan(now_ms + 4_100, now_ms + 4_100)) != []

    def test_a_record_whose_append_has_an_unknown_outcome_allows_no_order(self) -> None:
        cell, now_ms = self._successor(StepSpec(2, cpu_millis=1_000))
        changes = cell.collect_changes(now_ms, now_ms)
        assert changes is not None
        cell.note_changes_unconfirmed(changes)
        cell.note_confirmed(now_ms)
        assert start_orders(cell.plan(now_ms + 1, now_ms + 1)) == []
        for boot in cell.boots.values():
            assert cell.prepare_lease_extension(boot, now_ms)[0] is None
        store_changes(cell, now_ms + 2)
        assert cell.prepare_lease_extension(cell.boots["w0"], now_ms + 3)[0] is not None

    def test_run_ends_that_are_stored_before_the_record_allow_no_order(self) -> None:
        cell, now_ms = self._successor(StepSpec(1, cpu_millis=1_000))
        changes = cell.collect_changes(now_ms, now_ms)
        assert changes is not None
        cell.note_changes_unconfirmed(changes)
        end = RunEnd(1, TaskId(JOB, 0, 0, 0), 1, "stopped", "")
        boot = cell.boots["w0"]
        cell.handle_lease_reply(boot, LeaseReply(25_000, 1, (), (end,)), now_ms, now_ms + 1)
        cell.term.registration_due = False
        store_changes(cell, now_ms + 2)
        assert cell.prepare_lease_extension(boot, now_ms + 3) == (None, 1)

    def test_a_reboot_and_a_move_before_the_record_allow_no_order(self) -> None:
        cell, now_ms = self._successor(StepSpec(2, cpu_millis=1_000))
        cell.set_workers({n: make_worker_info(n, 2) for n in ("w0", "w1")}, now_ms)
        for boot in list(cell.boots.values()):
            cell.handle_lease_reply(boot, LeaseReply(100, 2, (), ()), now_ms, now_ms + 1)
            assert cell.prepare_lease_extension(boot, now_ms + 2)[0] is None
        cell.note_confirmed(now_ms + 20_000)
        assert start_orders(cell.plan(now_ms + 20_001, now_ms + 20_001)) == []


class TestHeadroom:
    """Tasks that ran for an earlier owner, on workers that lack the headroom for new ones."""

    def test_a_task_that_may_have_run_needs_no_headroom(self) -> None:
        """Guards against a task that never runs again after a change of owner."""
        now_ms = 100_000
        cell = Cell(LIMITS, 5, now_ms)
        cell.set_evacuations(Evacuations(frozenset(), 0, now_ms), now_ms)
        spec = JobSpec("p", (StepSpec(1, cpu_millis=60_000, long_running=True),))
        cell.add_job(Submission(JOB, QUEUE, spec, 0), Progress(JOB, "running"), False, now_ms)
        cell.set_workers({"w0": make_worker_info("w0")}, now_ms)
        store_changes(cell, now_ms)
        reply = LeaseReply(5_000, 1, (), ())
        cell.handle_lease_reply(cell.boots["w0"], reply, now_ms, now_ms + 1)
        cell.note_confirmed(now_ms + 2)
        orders = cell.plan(now_ms + 1_000, now_ms + 1_000)
        store_changes(cell, now_ms + 1_001)
        orders += cell.plan(now_ms + 1_002, now_ms + 1_002)
        assert len(start_orders(orders)) == 1

    @pytest.mark.parametrize("silent", [False, True])
    def test_a_task_of_a_silent_worker_needs_none_though_its_job_has_no_progress_record(
        self, silent: bool
    ) -> None:
        """Guards against a task that never runs again as its owner ended right after the start.

        If every worker answers, a run that was lost would have to be one of a worker that has
        rebooted meanwhile. So a task of a job that has just arrived counts as one that never ran.
        """
        now_ms = 100_000
        cell = Cell(LIMITS, 5, now_ms, last_ordering_token=4)
        spec = JobSpec("p", (StepSpec(1, cpu_millis=60_000, long_running=True),))
        cell.add_job(Submission(JOB, QUEUE, spec, 0), None, False, now_ms)
        names = ("w0", "w1")
        stored = tuple(RegisteredWorker(name, "10.0.0.1:80", "svc") for name in names)
        cell.set_registered_workers(RegisteredWorkers(stored, 4), now_ms, now_ms)
        infos = {"w1": make_worker_info("w1")}
        if not silent:
            infos["w0"] = replace(make_worker_info("w0"), cpu_millis=0)
        starts = []
        for _ in range(130):
            now_ms += 100
            cell.set_workers(infos, now_ms)
            cell.set_evacuations(Evacuations(frozenset(), 0, now_ms), now_ms)
            for name in infos:
                reply = LeaseReply(now_ms - 90_000, 1, (), ())
                cell.handle_lease_reply(cell.boots[name], reply, now_ms - 1, now_ms)
            if silent and "w0" in cell.boots:
                cell.note_lease_failure(cell.boots["w0"], now_ms)
            cell.note_confirmed(now_ms)
            store_changes(cell, now_ms)
            starts.extend(start_orders(cell.plan(now_ms, now_ms)))
        assert len(starts) == silent


class TestGrouping:
    """Long-running tasks that arrive together are placed together, shortly after they arrived."""

    @pytest.mark.parametrize("gang", [False, True])
    def test_a_task_that_may_have_run_does_not_wait_for_others_again(self, gang: bool) -> None:
        """Guards against a wait that begins anew with each owner."""
        harness = CellHarness("w0", "w1")
        spec = StepSpec(2, cpu_millis=1_000, long_running=True, gang=gang)
        submission = Submission(JOB, QUEUE, JobSpec("p", (spec,)), 0)
        harness.cell.add_job(submission, Progress(JOB, "running"), False, harness.now_ms)
        harness.submit(spec, job="1" * 16)
        started = [order.run.task.id.job_id for order in harness.start(10)]
        assert started == [JOB, JOB]
        started = [order.run.task.id.job_id for order in harness.start(GROUPING_DELAY_MS)]
        assert started == ["1" * 16] * 2


class TestLeasesAtTheStart:
    """Runs whose leases a new owner must extend within 6 s, though it has not stored its record."""

    def _lost_runs(self, planned: bool, store_delay_s: float, reads_directory: bool) -> int:
        """Return how many of 12 runs a change of owner has ended."""
        lost: list[int] = []

        async def script(sim: CellSimulation) -> None:
            for number in range(4):
                await sim.submit(f"{number:016x}", "serve", long_running_job())
            await asyncio.sleep(2)
            assert len(sim.platform.running_tasks()) == 12
            runs = {(w, t, r.number) for w, t, r in _runs(sim)}
            faults = sim.platform.faults
            faults.store_delays_s.update(dict.fromkeys(sim.instances, store_delay_s))
            if not reads_directory:
                faults.directory_unreadable_to.update(sim.instances)
            await asyncio.sleep(1)
            first = sim.owner()
            assert first is not None
            if planned:
                await sim.instances[first].release_cell()
            await sim.kill_instance(first)
            await asyncio.sleep(15)
            assert sim.owner() is not None
            assert sim.platform.violations == []
            lost.append(len(runs - {(w, t, r.number) for w, t, r in _runs(sim)}))

        run_simulation(CellSimulation(0), script)
        return lost[0]

    @pytest.mark.parametrize("planned", [False, True])
    def test_runs_go_on_though_the_directory_cannot_be_read(self, planned: bool) -> None:
        """Guards against leases that wait for a record, which waits for the directory."""
        assert self._lost_runs(planned, 0.0, reads_directory=False) == 0

    @staticmethod
    def _calls_of_a_planned_change(
        patch: pytest.MonkeyPatch, store_delay_s: float
    ) -> tuple[dict[str, int], dict[str, int]]:
        """Return when events of a planned change of owner occurred beside a slow store.

        The owner stops as it has just sent an append.

        The second result is when each worker got the last lease extension of the first owner.
        """
        times: dict[str, int] = {}
        last: dict[str, int] = {}
        first = ""

        def note(event: str) -> None:
            times.setdefault(event, monotonic_ms())

        async def append_fenced(
            client: SimStoreClient, entries: Any, token: int, sequence: int
        ) -> AppendResult:
            keys = [key for key, _ in entries]
            if client.instance == first and REGISTERED_WORKERS_KEY in keys:
                note("release_sent")
            result = await real_append(client, entries, token, sequence)
            if first and client.instance != first and REGISTERED_WORKERS_KEY in keys:
                note("record_stored")
            return result

        async def extend_lease(
            link: SimWorkerLink, info: WorkerInfo, deadline_ms: int | None, *args: Any
        ) -> RunListPage | OrderReply:
            if deadline_ms is not None and first in ("", link.instance):
                last[info.worker_id] = monotonic_ms()
            elif deadline_ms is not None:
                note(f"{info.worker_id} extended")
            return await real_extend(link, info, deadline_ms, *args)

        async def script(sim: CellSimulation) -> None:
            nonlocal first
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(2)
            faults = sim.platform.faults
            faults.store_delays_s.update(dict.fromkeys(sim.instances, store_delay_s))
            await asyncio.sleep(1)
            owner = sim.owner()
            assert owner is not None
            runner = sim.instances[owner]._runner
            assert runner is not None
            for under_way in (False, True):  # so that the release waits for a whole append
                while runner._append_lock.locked() != under_way:
                    await asyncio.sleep(0.001)
            first = owner
            await sim.instances[first].release_cell()
            await sim.kill_instance(first)
            while (second := sim.owner()) is None:
                await asyncio.sleep(0.001)
            note("claim_read")
            while sim.instances[second]._runner is None:
                await asyncio.sleep(0.001)
            note("term_started")
            await asyncio.sleep(5)

        real_append, real_extend = SimStoreClient.append_fenced, SimWorkerLink.extend_lease
        patch.setattr(SimStoreClient, "append_fenced", append_fenced)
        patch.setattr(SimWorkerLink, "extend_lease", extend_lease)
        run_simulation(CellSimulation(0), script)
        return times, last

    def test_leases_are_extended_until_the_release_is_sent(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against leases that run while the release waits for an append under way."""
        times, last = self._calls_of_a_planned_change(monkeypatch, 0.9)
        assert len(last) == 6
        assert all(times["release_sent"] - at_ms <= 500 for at_ms in last.values())
        assert all(at_ms <= times["release_sent"] for at_ms in last.values())

    def test_a_term_begins_as_soon_as_any_read_shows_the_claim(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a term that waits for a read of its own, which takes long."""
        times, _ = self._calls_of_a_planned_change(monkeypatch, 0.9)
        assert times["term_started"] - times["claim_read"] <= 100

    def test_leases_are_extended_as_soon_as_the_record_is_stored(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against first lease extensions that wait for calls that the workers hold."""
        times, last = self._calls_of_a_planned_change(monkeypatch, 0.9)
        assert len(last) == 6
        for name in last:
            assert 0 <= times[f"{name} extended"] - times["record_stored"] <= 20

    @pytest.mark.parametrize("store_delay_s", [0.3, 0.6, 0.9, 1.2])
    @pytest.mark.parametrize("planned", [False, True])
    def test_runs_go_on_beside_a_slow_store(self, planned: bool, store_delay_s: float) -> None:
        assert self._lost_runs(planned, store_delay_s, reads_directory=True) == 0


class TestLeasesOfIdleWorkers:
    """Leases that an earlier owner gave to a worker on which it knew of no run."""

    @pytest.mark.parametrize("extends_before_start", [True, False])
    def test_a_run_may_outlast_its_start_by_the_lease_of_an_earlier_owner(
        self, extends_before_start: bool
    ) -> None:
        """Guards against a second run of a task whose worker is cut off soon after the start."""
        now_ms = 100_000
        cell = Cell(LIMITS, 5, now_ms)
        cell.set_evacuations(Evacuations(frozenset(), 0, now_ms), now_ms)
        spec = JobSpec("p", (StepSpec(1, cpu_millis=1_000),))
        cell.add_job(Submission(JOB, QUEUE, spec, 0), None, True, now_ms)
        names = ("w0", "w1")
        workers = tuple(RegisteredWorker(name, "10.0.0.1:80", "svc", ()) for name in names)
        cell.set_registered_workers(RegisteredWorkers(workers, 4), now_ms, now_ms)
        cell.set_workers({name: make_worker_info(name) for name in names}, now_ms)
        for name in names:
            reply = LeaseReply(5_000, 1, (), ())
            cell.handle_lease_reply(cell.boots[name], reply, now_ms, now_ms + 1)
        # The lease that the earlier owner gave may last for as long from here.
        lease_end_ms = now_ms + LIMITS.lease_ms
        if extends_before_start:  # by a call that waits for an end of a run
            for boot in cell.boots.values():
                cell.prepare_lease_extension(boot, now_ms + 2)
        store_changes(cell, now_ms + 10)
        cell.note_confirmed(now_ms + 11)
        (start,) = start_orders(cell.plan(now_ms + 12, now_ms + 12))
        cell.handle_start_reply(start.boot, start.run, "", now_ms + 13, 5_013)
        (other,) = [name for name in names if name != start.boot.name]
        for at_ms in range(now_ms + 250, lease_end_ms, 250):
            cell.note_lease_failure(start.boot, at_ms)
            clock_ms = 5_000 + at_ms - now_ms
            reply = LeaseReply(clock_ms, 1, (), ())
            cell.handle_lease_reply(cell.boots[other], reply, at_ms - 1, at_ms)
            cell.note_confirmed(at_ms)
            assert start_orders(cell.plan(at_ms + 1, at_ms + 1)) == []


class TestRecordsOfOwnersWithoutOrders:
    """A record that an owner stores but after which it sends nothing."""

    def test_the_record_of_a_planned_stop_keeps_the_limits_that_the_owner_inherited(self) -> None:
        """Guards against a wait that begins anew, and against one that ends too early."""
        now_ms = 100_000
        possible = (PossibleRuns((TaskId(JOB, 0, 0, 0),), 4_000),)
        stored = RegisteredWorker("w0", "10.0.0.1:80", "svc", possible)
        cell = Cell(LIMITS, 5, now_ms, last_ordering_token=3)
        cell.set_registered_workers(RegisteredWorkers((stored,), 3), now_ms - 500, now_ms)
        record, open_boots = registration_record(
            cell.boots.values(), cell.book, 5, now_ms, LIMITS.lease_ms, True, {}
        )
        assert open_boots == ()
        ((runs,),) = [worker.possible_runs or () for worker in record.workers]
        assert runs.tasks == possible[0].tasks
        assert runs.expire_in_ms is not None and 3_500 <= runs.expire_in_ms <= 3_600

    @pytest.mark.parametrize("seed", range(2))
    def test_an_owner_that_is_killed_after_its_first_record_prolongs_no_wait(
        self, seed: int
    ) -> None:
        """Guards against a record that drops the limits of a worker that left before its term."""

        async def script(sim: CellSimulation) -> None:
            for number in range(4):
                await sim.submit(f"{number:016x}", "serve", long_running_job())
            await asyncio.sleep(2)
            leaving = next(n for n, worker in sim.platform.workers.items() if worker.runs)
            sim.platform.drain(leaving)
            first = sim.owner()
            assert first is not None
            await sim.instances[first].release_cell()
            await sim.kill_instance(first)
            sim.platform.crash(leaving)
            left_ms = monotonic_ms()
            second = await _owner_with_a_record(sim)
            await sim.kill_instance(second)
            while len(sim.platform.running_tasks()) < 12:
                await asyncio.sleep(0.05)
            assert sim.platform.violations == []
            assert monotonic_ms() - left_ms <= RESTART_MS

        run_simulation(CellSimulation(seed), script)


class TestStopsAtAnyPoint:
    """Planned stops at any time after the claim, while workers leave."""

    @pytest.mark.parametrize("delay_ms", [0, 30, 60, 100, 160, 250, 400])
    def test_a_row_of_stops_does_not_prolong_the_wait(self, delay_ms: int) -> None:
        async def script(sim: CellSimulation) -> None:
            for number in range(4):
                await sim.submit(f"{number:016x}", "serve", long_running_job())
            await asyncio.sleep(2)
            last_seen_ms: dict[TaskId, int] = {}
            gaps: dict[TaskId, int] = {}

            async def watch() -> None:
                while True:
                    now_ms = monotonic_ms()
                    last_seen_ms.update(dict.fromkeys(sim.platform.running_tasks(), now_ms))
                    for task, seen_ms in last_seen_ms.items():
                        gaps[task] = max(gaps.get(task, 0), now_ms - seen_ms)
                    await asyncio.sleep(0.05)

            watcher = asyncio.ensure_future(watch())
            leaving = next(n for n, worker in sim.platform.workers.items() if worker.runs)
            sim.platform.drain(leaving)
            first = sim.owner()
            assert first is not None
            await sim.instances[first].release_cell()
            await sim.kill_instance(first)
            sim.platform.crash(leaving)
            for _ in range(4):
                sim.start_instance(first)
                while (owner := sim.owner()) is None:
                    await asyncio.sleep(0.002)
                await asyncio.sleep(delay_ms / 1000)
                await sim.instances[owner].release_cell()
                await sim.kill_instance(owner)
                first = owner
            await asyncio.sleep(20)
            watcher.cancel()
            assert sim.platform.violations == []
            assert {task: gap for task, gap in gaps.items() if gap > RESTART_MS} == {}

        run_simulation(CellSimulation(4), script)

    def test_a_release_without_an_answer_leaves_the_cell_to_the_next_claim(self) -> None:
        """Guards against a release that is carried out while a later claim is under way."""

        async def script(sim: CellSimulation) -> None:
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(2)
            first = sim.owner()
            assert first is not None
            await sim.kill_instance(first)
            while (second := sim.owner()) is None:
                await asyncio.sleep(0.002)
            sim.platform.faults.late_append_share = 1.0
            release = asyncio.ensure_future(sim.instances[second].release_cell())
            await asyncio.sleep(0.05)
            sim.platform.faults.late_append_share = 0.0
            await release
            await sim.kill_instance(second)
            await asyncio.sleep(15)
            assert sim.owner() is not None
            assert sim.platform.violations == []
            assert len(sim.platform.running_tasks()) == 3

        run_simulation(CellSimulation(5), script)


async def _play_rows(sim: CellSimulation) -> None:
    """End owners at any time after their claims, beside faults of the workers and the store."""
    rng = random.Random(f"rows of {sim.seed}")
    faults = sim.platform.faults
    for number in range(4):
        await sim.submit(f"{number:016x}", "serve", long_running_job())
    await sim.submit(f"{4:016x}", "fast", short_job())
    await asyncio.sleep(1)
    for row in range(8):
        names = [name for name, worker in sim.platform.workers.items() if worker.up]
        name = rng.choice([n for n in names if sim.platform.workers[n].runs] or names)
        match rng.randrange(4):
            case 0 if len(names) > 4:
                sim.platform.drain(name)
                sim.platform.add_worker(f"w{len(sim.platform.workers)}")
                asyncio.get_running_loop().call_later(2.1, sim.platform.crash, name)
            case 1:
                faults.cut_links.update((instance, name) for instance in ("n0", "n1", "n2"))
            case 2:
                sim.platform.crash(name)
                asyncio.get_running_loop().call_later(
                    rng.uniform(1, 10), sim.platform.restart, name
                )
        faults.late_order_share = rng.choice((0.0, 0.4))
        faults.lost_answer_share = rng.choice((0.0, 0.0, 0.3))
        faults.late_append_share = rng.choice((0.0, 0.0, 0.3))
        for _ in range(rng.randint(2, 5)):
            end_s = asyncio.get_running_loop().time() + 6
            while (owner := sim.owner()) is None and asyncio.get_running_loop().time() < end_s:
                await asyncio.sleep(0.002)
            await asyncio.sleep(rng.choice((0, 0, 0.03, 0.08, 0.2, 0.4, 1.0)))
            if owner is not None and owner in sim.instances:
                if rng.random() < 0.6:
                    await sim.instances[owner].release_cell()
                await sim.kill_instance(owner)
            for missing in sorted({"n0", "n1", "n2"} - set(sim.instances)):
                sim.start_instance(missing)
        await sim.submit(f"{row + 5:016x}", "fast", short_job())
        await asyncio.sleep(rng.uniform(0, 6))
        faults.cut_links.clear()
    faults.late_order_share = faults.lost_answer_share = faults.late_append_share = 0.0
    await asyncio.sleep(25)


def _rows_break_guarantee(seed: int) -> bool:
    sim = CellSimulation(seed, worker_count=8)
    run_simulation(sim, _play_rows)
    return sim.platform.violations != []


def _pass_over_owners_with_records(patch: pytest.MonkeyPatch) -> None:
    """A claim names the last owner that the claim before it names."""
    patch.setattr(
        OwnershipView,
        "_may_have_ordered",
        property(lambda self: self.current.token <= 1 or not self.current.last_ordering_token),
    )


class TestRandomRows:
    """Rows of owners that end at any point of their terms."""

    @pytest.mark.parametrize("planned", [False, True])
    @pytest.mark.parametrize("seed", range(FIRST, LAST))
    def test_no_order_of_events_breaks_a_rule(self, seed: int, planned: bool) -> None:
        """Guards against two runs of a task, and against waits that begin anew."""
        OwnerRows(seed, planned).play(STEPS)

    @pytest.mark.parametrize("seed", range(6))
    def test_no_task_runs_twice(self, seed: int) -> None:
        assert not _rows_break_guarantee(seed)

    def test_limits_that_a_later_owner_has_replaced_let_a_task_run_twice(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        _pass_over_owners_with_records(monkeypatch)
        assert any(_rows_break_guarantee(seed) for seed in (60, *range(40)))
