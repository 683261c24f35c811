"""Every road on which a task of a cancelled job may start or go on: docs/design/cancellation.md.

The bounds are those of the platform: no start 3 s after the acknowledged cancellation, and no run a
stop later. In virtual time, `SimPlatform` checks both whenever no fault is near.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec
import pytest

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.orders import StartRun, StopRun
from greengagewood.internal.cells.stops import StopPlanner
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    Progress,
    RegisteredWorker,
    RegisteredWorkers,
    Submission,
    TaskId,
)
from greengagewood.internal.ports import (
    LeaseReply,
    OrderReply,
    RunningTask,
    WorkerInfo,
    WrongBoot,
)
from greengagewood.platform.program import MAX_CONNECTIONS_PER_WORKER
from tests.common.desk import QUEUE, CellHarness, make_worker_info, start_orders
from tests.common.drive import CellSimulation, long_running_job, mixed_job, run_simulation
from tests.common.plant import (
    CANCEL_BOUND_MS,
    CONTACT_MS,
    STOP_TIMEOUT_MS,
    SimWorkerLink,
)
from tests.cover.test_cells import _heal_all, _inject_faults

JOB = "0" * 16
LASTING = StepSpec(1, cpu_millis=1_000, long_running=True)


async def _run_lasting(sim: CellSimulation) -> None:
    """Submit a job whose tasks last, and wait until they run."""
    await sim.submit(JOB, "serve", long_running_job())
    await asyncio.sleep(2)
    assert len(sim.platform.running_tasks()) == 3


async def _wait_until_gone(sim: CellSimulation, limit_ms: float) -> None:
    """Wait until no worker runs a task of the job; fail after the limit."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_ms / 1000
    while any(task.job_id == JOB for task in sim.platform.running_tasks()):
        assert loop.time() < end_s, f"runs go on: {sim.platform.running_tasks()}"
        await asyncio.sleep(0.02)


def _host(sim: CellSimulation) -> str:
    """Return the name of a worker that runs a task."""
    return next(name for name, worker in sim.platform.workers.items() if worker.runs)


def _harness_booted_at(boot_time_ms: int) -> CellHarness:
    """Return a cell with one worker that was started at this time of day."""
    harness = CellHarness("w0")
    harness.reboot("w0", boot_time_ms)
    harness.read_orders()
    harness.answer_lease("w0")
    harness.cell.note_confirmed(harness.now_ms + 1)
    return harness


def _start(harness: CellHarness, *steps: StepSpec) -> StartRun:
    """Start a task, and let its worker list it."""
    harness.submit(*(steps or (LASTING,)))
    (start,) = harness.start(500)
    harness.answer_leases()
    return start


def _silence(harness: CellHarness, worker: Boot) -> None:
    """Let a worker answer no lease extension for as long as makes it count as silent."""
    harness.cell.prepare_lease_extension(worker, harness.now_ms)
    harness.now_ms += 2_000
    harness.cell.note_lease_failure(worker, harness.now_ms)
    assert worker.unresponsive


def _cancel(harness: CellHarness) -> list[StopRun]:
    """Cancel the job; return the stops that the next plan orders."""
    harness.cell.cancel(JOB, harness.now_ms)
    return _stops(harness.plan())


def _stops(orders: list) -> list[StopRun]:
    return [order for order in orders if isinstance(order, StopRun)]


class TestCheck:
    """The check of the simulated platform itself."""

    def test_a_run_that_is_not_stopped_is_recorded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against a check that passes whatever happens."""
        monkeypatch.setattr(StopPlanner, "plan", lambda self, now_ms: [])

        async def script(sim: CellSimulation) -> None:
            await _run_lasting(sim)
            assert await sim.cancel(JOB)
            await asyncio.sleep((CANCEL_BOUND_MS + STOP_TIMEOUT_MS) / 1000 - 0.2)
            assert sim.platform.violations == []
            await asyncio.sleep(1)
            assert len(sim.platform.violations) == 3
            assert "goes on after cancellation" in sim.platform.violations[0]

        run_simulation(CellSimulation(1), script)


class TestStarts:
    """Starts of tasks whose job is cancelled meanwhile."""

    def test_a_start_that_waits_for_a_connection_is_stopped_at_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a run that began after its cancellation and is sent no stop."""
        send = SimWorkerLink.start

        async def start_late(self: SimWorkerLink, *args: object) -> OrderReply:
            await asyncio.sleep(0.95)  # a call ends after 1 s, with the wait for a connection
            return await send(self, *args)  # type: ignore[arg-type]

        monkeypatch.setattr(SimWorkerLink, "start", start_late)

        async def script(sim: CellSimulation) -> None:
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(0.6)  # tasks that last wait 450 ms for others
            assert sim.platform.running_tasks() == set()
            assert await sim.cancel(JOB)
            await asyncio.sleep(1.1)
            await _wait_until_gone(sim, STOP_TIMEOUT_MS)
            assert sum(worker.end_count for worker in sim.platform.workers.values()) == 3

        assert run_simulation(CellSimulation(1), script).platform.violations == []

    @pytest.mark.parametrize("boot_time_ms", [3, 7])  # the first, if the wall clock was set back
    def test_a_start_carried_out_by_an_unlisted_boot_is_stopped(self, boot_time_ms: int) -> None:
        """Guards against a run on a boot that neither the directory nor a record has named."""
        harness = _harness_booted_at(5)
        harness.submit(LASTING)
        (start,) = start_orders(harness.plan(500))
        harness.cell.note_start_unanswered(start.run, harness.now_ms)
        (stop,) = _cancel(harness)
        harness.accept_stop(stop.run)
        harness.now_ms += 10
        harness.answer_lease("w0")
        assert start.run.state == "finished"
        harness.now_ms += 3_000
        listed = RunningTask(start.run.task.id, start.run.number, "", 10, 0)
        harness.worker_infos["w0"] = make_worker_info("w0", boot_time_ms)
        harness.answer_lease("w0", listed)
        stops = _stops(harness.plan())
        assert [(s.task_id, s.run_number) for s in stops] == [(start.run.task.id, 1)]

    def test_a_later_occurrence_of_a_cancelled_job_is_not_started(self) -> None:
        harness = CellHarness("w0")
        first_due_ms = harness.now_ms + 5_000
        spec = JobSpec("p", (StepSpec(1, cpu_millis=1_000),), first_due_ms, 1_000, 3)
        harness.cell.add_job(Submission(JOB, QUEUE, spec, 0), None, True, harness.now_ms)
        harness.plan()
        harness.cell.cancel(JOB, harness.now_ms)
        for _ in range(10):
            assert harness.plan(1_000) == []
            harness.answer_leases()

    def test_a_refused_start_of_a_cancelled_job_is_not_repeated(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(LASTING)
        (start,) = start_orders(harness.plan(500))
        harness.cell.cancel(JOB, harness.now_ms)
        harness.cell.handle_start_reply(start.boot, start.run, "room", harness.now_ms)
        for _ in range(5):
            assert harness.plan(500) == []
            harness.answer_leases()

    def test_a_start_answered_by_another_boot_does_not_hang(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a run that waits for ever for an answer, and so is never stopped."""
        send = SimWorkerLink.start
        refused: list[TaskId] = []

        async def refuse_first(self: SimWorkerLink, worker_info: WorkerInfo, *args: object):
            if not refused:
                refused.append(args[0])  # type: ignore[arg-type]
                self.platform.crash(worker_info.worker_id)
                self.platform.restart(worker_info.worker_id)
                await asyncio.sleep(0.9)  # the directory shows the later boot meanwhile
                raise WrongBoot(worker_info.worker_id)
            return await send(self, worker_info, *args)  # type: ignore[arg-type]

        monkeypatch.setattr(SimWorkerLink, "start", refuse_first)

        async def script(sim: CellSimulation) -> None:
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(10)  # with the trials after a crash
            assert len(sim.platform.running_tasks()) == 3
            assert await sim.cancel(JOB)
            await _wait_until_gone(sim, 1_000)

        run_simulation(CellSimulation(1), script)


class TestCheckpoints:
    """Starts with the checkpoint of their task; another one counts as a start nobody sent."""

    def test_all_members_of_a_gang_start_with_the_checkpoint_of_any(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(2, cpu_millis=1_000, gang=True, checkpointing=True))
        first, second = (start.run for start in harness.start(500))
        for run, checkpoint in ((first, "c1"), (second, "c2")):
            other = second if run is first else first
            harness.now_ms += 10
            harness.answer_lease(
                "w0",
                RunningTask(run.task.id, run.number, checkpoint, 10, 0),
                RunningTask(other.task.id, other.number, "", 10, 0),
            )
        harness.now_ms += 10
        harness.answer_lease("w0")
        harness.now_ms += 10
        harness.cell.note_confirmed(harness.now_ms)
        starts = [start for _ in range(5) for start in harness.start(500)]
        assert [start.checkpoint for start in starts] == ["c2", "c2"]

    def test_a_task_takes_no_checkpoint_of_another_task(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(2, cpu_millis=1_000, checkpointing=True))
        first, second = (start.run for start in harness.start(500))
        harness.now_ms += 10
        harness.answer_lease(
            "w0",
            RunningTask(first.task.id, first.number, "c1", 10, 0),
            RunningTask(second.task.id, second.number, "", 10, 0),
        )
        harness.now_ms += 10
        harness.answer_lease("w0")
        harness.now_ms += 10
        starts = [start for _ in range(5) for start in harness.start(500)]
        assert {(s.run.task.id.number, s.checkpoint) for s in starts} == {(0, "c1"), (1, "")}


class TestStops:
    """Runs that go on as their job is cancelled, and what happens to their worker meanwhile."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_the_runs_end_within_a_second(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            await _run_lasting(sim)
            assert await sim.cancel(JOB)
            await _wait_until_gone(sim, 1_000)

        assert run_simulation(CellSimulation(seed), script).platform.violations == []

    @pytest.mark.parametrize("fault", ["unreadable_lease_links", "refused_lease_links"])
    def test_a_run_is_stopped_though_its_worker_extends_no_lease(self, fault: str) -> None:
        """Guards against a run that goes on as its worker counts as silent."""

        async def script(sim: CellSimulation) -> None:
            await _run_lasting(sim)
            owner, worker = sim.owner(), _host(sim)
            assert owner is not None
            getattr(sim.platform.faults, fault).add((owner, worker))
            await asyncio.sleep(3)
            assert sim.platform.workers[worker].runs
            assert await sim.cancel(JOB)
            await _wait_until_gone(sim, 1_000)

        assert run_simulation(CellSimulation(1), script).platform.violations == []

    def test_a_worker_that_answers_no_order_is_sent_stops(self) -> None:
        """Guards against a stop that is not sent as answers get lost on the way back."""

        async def script(sim: CellSimulation) -> None:
            await _run_lasting(sim)
            owner, worker = sim.owner(), _host(sim)
            assert owner is not None
            sim.platform.faults.unanswered_links.add((owner, worker))
            await asyncio.sleep(3)
            assert sim.platform.workers[worker].runs
            assert await sim.cancel(JOB)
            await _wait_until_gone(sim, 1_000)

        assert run_simulation(CellSimulation(1), script).platform.violations == []

    def test_a_silent_worker_is_sent_few_stops(self) -> None:
        """Guards against calls that pile up at a worker that does not answer."""
        harness = CellHarness("w0")
        _start(harness)
        _silence(harness, harness.cell.boots["w0"])
        harness.cell.cancel(JOB, harness.now_ms)
        sent = sum(len(_stops(harness.plan(50))) for _ in range(60))
        assert 2 <= sent <= 4

    def test_every_run_on_a_silent_worker_is_stopped_in_turn(self) -> None:
        """Guards against lease extensions without a free connection, and runs left out."""
        harness = CellHarness("w0")
        harness.submit(msgspec.structs.replace(LASTING, task_count=24))
        starts = harness.start(500)
        harness.answer_leases()
        _silence(harness, harness.cell.boots["w0"])
        harness.cell.cancel(JOB, harness.now_ms)
        stopped: set[int] = set()
        for second in range(3):
            stops = [stop for _ in range(9) for stop in _stops(harness.plan(100))]
            assert len(stops) <= MAX_CONNECTIONS_PER_WORKER - 4, second
            stopped |= {stop.task_id.number for stop in stops}
            harness.now_ms += 100
        assert stopped == {start.run.task.id.number for start in starts}

    def test_a_silent_worker_is_sent_no_stop_of_a_task_that_is_wanted(self) -> None:
        """Guards against runs that a later owner would go on with, but that are stopped."""
        harness = CellHarness("w0", "w1")
        start = _start(harness)
        name = start.boot.name
        harness.worker_infos[name] = replace(harness.worker_infos[name], draining=True)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        _silence(harness, start.boot)
        harness.answer_lease("w1" if name == "w0" else "w0")
        assert _stops(harness.plan(500)) == []

    @pytest.mark.parametrize("accepted", [True, False])
    def test_a_stop_is_repeated_until_the_run_is_gone(self, accepted: bool) -> None:
        """Guards against a run that goes on as a stop was lost, or answered without effect."""
        harness = CellHarness("w0")
        start = _start(harness)
        (stop,) = _cancel(harness)
        sent = 0
        for _ in range(10):
            if accepted:
                harness.accept_stop(stop.run)
            harness.answer_lease("w0", RunningTask(start.run.task.id, 1, "", 10, 0))
            sent += len(_stops(harness.plan(400)))
        assert sent >= 9

    def test_a_run_on_a_draining_worker_is_stopped(self) -> None:
        harness = CellHarness("w0")
        start = _start(harness)
        harness.worker_infos["w0"] = replace(harness.worker_infos["w0"], draining=True)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert [stop.run for stop in _cancel(harness)] == [start.run]

    def test_a_run_on_a_worker_that_has_left_the_directory_is_stopped(self) -> None:
        harness = CellHarness("w0")
        start = _start(harness)
        harness.cell.set_workers({}, harness.now_ms)
        assert [stop.run for stop in _cancel(harness)] == [start.run]

    def test_a_run_in_an_evacuated_domain_is_stopped(self) -> None:
        harness = CellHarness("w0")
        start = _start(harness)
        harness.read_orders("z")
        assert [stop.run for stop in _cancel(harness)] == [start.run]

    def test_a_run_at_no_speed_is_stopped(self) -> None:
        """Guards against a best-effort run that holds its memory after its cancellation."""
        harness = CellHarness("w0")
        spec = StepSpec(1, cpu_millis=1_000, best_effort=True, checkpointing=True)
        start = _start(harness, spec)
        start.run.speed_percent = 0
        assert [stop.run for stop in _cancel(harness)] == [start.run]

    def test_both_runs_of_a_copied_task_are_stopped(self) -> None:
        harness = CellHarness("w0", "w1")
        start = _start(
            harness, msgspec.structs.replace(LASTING, speculative=True, long_running=False)
        )
        other = harness.cell.boots["w1" if start.boot.name == "w0" else "w0"]
        copy = harness.cell.book.attach_run(
            start.run.task, 2, other.name, "r0", "running", harness.now_ms
        )
        copy.note_accepted(harness.now_ms)
        other.add_run(copy)
        assert {stop.run for stop in _cancel(harness)} == {start.run, copy}

    def test_a_run_of_a_failed_job_is_stopped(self) -> None:
        """Guards against runs beside the task that failed; a DELETE then changes nothing."""
        harness = CellHarness("w0")
        harness.submit(StepSpec(2, cpu_millis=1_000))
        starts = harness.start(500)
        harness.answer_leases()
        harness.cell.book.give_up(starts[0].run.task, harness.now_ms)
        harness.cell.cancel(JOB, harness.now_ms)
        stops = _stops(harness.plan(100))  # the next scan
        assert {stop.run for stop in stops} == {start.run for start in starts}

    def test_a_listed_run_of_a_deleted_job_is_stopped(self) -> None:
        """Guards against a run of a job of which no record is left."""
        harness = CellHarness("w0")
        listed = RunningTask(TaskId(JOB, 0, 0, 0), 7, "", 10, 0)
        sent = 0
        for _ in range(5):
            harness.now_ms += 400
            sent += len(_stops(harness.answer_lease("w0", listed)))
        assert sent == 5

    def test_a_run_of_a_job_that_is_deleted_while_it_is_stopped_is_sent_further_stops(self) -> None:
        harness = CellHarness("w0")
        start = _start(harness)
        _cancel(harness)
        harness.cell.remove_jobs([JOB])
        listed = RunningTask(start.run.task.id, start.run.number, "", 10, 0)
        harness.now_ms += 400
        stops = _stops(harness.answer_lease("w0", listed) + harness.plan())
        assert [(s.task_id, s.run_number) for s in stops] == [(start.run.task.id, 1)]

    def test_a_run_on_a_boot_with_an_earlier_time_is_stopped(self) -> None:
        """Guards against a run on a worker whose wall clock was set back before its reboot."""
        harness = _harness_booted_at(5)
        start = _start(harness)
        _cancel(harness)
        harness.worker_infos["w0"] = make_worker_info("w0", boot_time_ms=3)
        harness.now_ms += 500
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        listed = RunningTask(start.run.task.id, start.run.number, "", 10, 0)
        harness.answer_lease("w0", listed)
        assert [stop.run_number for stop in _stops(harness.plan())] == [start.run.number]


class TestOwners:
    """Owners that change, or are away, while a job is cancelled."""

    def test_the_next_owner_stops_the_runs_of_one_that_was_killed(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await _run_lasting(sim)
            owner = sim.owner()
            assert owner is not None
            await sim.kill_instance(owner)
            assert await sim.cancel(JOB)
            await _wait_until_gone(sim, CONTACT_MS + STOP_TIMEOUT_MS)

        assert run_simulation(CellSimulation(1), script).platform.violations == []

    def test_a_new_owner_that_reads_no_directory_stops_the_runs(self) -> None:
        """Guards against a term in which no worker is asked, though the record names them."""

        async def script(sim: CellSimulation) -> None:
            await _run_lasting(sim)
            owner = sim.owner()
            assert owner is not None
            sim.platform.faults.directory_unreadable_to.update(sim.instances)
            await sim.kill_instance(owner)
            assert await sim.cancel(JOB)
            await _wait_until_gone(sim, CONTACT_MS + STOP_TIMEOUT_MS)

        assert run_simulation(CellSimulation(1), script).platform.violations == []

    def test_a_job_cancelled_while_its_new_owner_adopts_is_stopped(self) -> None:
        """Guards against an adopted run whose job ended before its worker listed it."""

        async def script(sim: CellSimulation) -> None:
            await _run_lasting(sim)
            owner = sim.owner()
            assert owner is not None
            worker = _host(sim)
            for name in set(sim.instances) - {owner}:
                sim.platform.faults.cut_links.add((name, worker))
            await sim.kill_instance(owner)
            while sim.owner() is None:
                await asyncio.sleep(0.02)
            assert await sim.cancel(JOB)
            await asyncio.sleep(0.5)
            assert sim.platform.workers[worker].runs
            sim.platform.faults.cut_links.clear()
            await _wait_until_gone(sim, CONTACT_MS + STOP_TIMEOUT_MS)

        assert run_simulation(CellSimulation(1), script).platform.violations == []

    def test_the_next_owner_stops_what_was_started_during_a_release(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a start in flight of an owner that releases the cell."""
        send = SimWorkerLink.start

        async def start_late(self: SimWorkerLink, *args: object) -> OrderReply:
            await asyncio.sleep(0.9)
            return await send(self, *args)  # type: ignore[arg-type]

        monkeypatch.setattr(SimWorkerLink, "start", start_late)

        async def script(sim: CellSimulation) -> None:
            owner = sim.owner()
            assert owner is not None
            await sim.submit(JOB, "serve", long_running_job())
            await asyncio.sleep(0.6)
            release = asyncio.ensure_future(sim.instances[owner].release_cell())
            assert await sim.cancel(JOB)
            await release
            await sim.kill_instance(owner)
            await asyncio.sleep(CANCEL_BOUND_MS / 1000)
            await _wait_until_gone(sim, STOP_TIMEOUT_MS)

        assert run_simulation(CellSimulation(1), script).platform.violations == []

    def test_runs_of_an_owner_cut_off_from_the_store_are_stopped(self) -> None:
        """Guards against an owner that learns of no cancellation, and against its successor."""

        async def script(sim: CellSimulation) -> None:
            await _run_lasting(sim)
            owner = sim.owner()
            assert owner is not None
            sim.platform.faults.store_silent_to.add(owner)
            assert await sim.cancel(JOB)
            await asyncio.sleep(CONTACT_MS / 1000)
            await _wait_until_gone(sim, CANCEL_BOUND_MS + STOP_TIMEOUT_MS)
            sim.platform.faults.store_silent_to.clear()
            await asyncio.sleep(5)

        assert run_simulation(CellSimulation(1), script).platform.violations == []

    def test_a_run_on_a_worker_known_only_by_the_record_is_stopped(self) -> None:
        """Guards against a run on a worker that left the directory before the owner's term."""
        harness = CellHarness("w0")
        cancelled = Progress(JOB, "cancelled", ended_ms=1)
        spec = JobSpec("p", (LASTING,))
        harness.cell.add_job(Submission(JOB, QUEUE, spec, 0), cancelled, False, harness.now_ms)
        record = RegisteredWorkers((RegisteredWorker("w9", "10.0.0.9:80", "svc"),))
        harness.cell.set_registered_workers(record, harness.now_ms, harness.now_ms)
        worker = harness.cell.boots["w9"]
        listed = RunningTask(TaskId(JOB, 0, 0, 0), 7, "", 10, 0)
        harness.now_ms += 100
        reply = LeaseReply(1_000, 1, (listed,), ())
        orders = harness.cell.handle_lease_reply(worker, reply, harness.now_ms - 1, harness.now_ms)
        assert [s.boot for s in _stops(orders + harness.plan())] == [worker]


async def _cancel_amid_faults(sim: CellSimulation) -> None:
    """Cancel jobs of every kind soon after their submission, during random faults; then heal."""

    async def submit_and_cancel(number: int) -> None:
        job = f"{number:016x}"
        await sim.submit(job, *mixed_job(number))
        if job not in sim.accepted:
            return
        await asyncio.sleep(sim.rng.choice((0.0, 0.3, 1.0, 4.0)))
        while not await sim.cancel(job):
            pass

    injection = asyncio.ensure_future(_inject_faults(sim, 25))
    calls = []
    for number in range(25):
        calls.append(asyncio.ensure_future(submit_and_cancel(number)))
        await asyncio.sleep(1)
    await injection
    await _heal_all(sim)
    await asyncio.gather(*calls)
    await asyncio.sleep(14)


class TestRandomFaults:
    """Prompt cancellations beside random sequences of faults, some at the same time."""

    @pytest.mark.parametrize("seed", range(3))
    def test_no_task_of_a_cancelled_job_starts_or_goes_on(self, seed: int) -> None:
        sim = run_simulation(CellSimulation(1_000 + seed), _cancel_amid_faults)
        assert sim.platform.violations == []
        assert sim.cancelled == sim.accepted
        assert sim.platform.running_tasks() == set()
