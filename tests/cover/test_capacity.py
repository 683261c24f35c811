"""Workers whose capacity shrinks and grows while they run."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

import msgspec
import pytest

from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.orders import StopRun
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import (
    RegisteredWorker,
    RegisteredWorkers,
    Submission,
    TaskId,
)
from greengagewood.internal.ports import LeaseReply, RunEnd, RunningTask
from greengagewood.platform.directory import StoreDirectory, parse_worker
from tests.common.desk import LIMITS, QUEUE, CellHarness, start_orders
from tests.common.drive import (
    CellSimulation,
    long_running_job,
    mixed_job,
    run_simulation,
    short_job,
)
from tests.common.storestub import StoreStub, client_of, running_store

UNCHECKED_QUEUE = msgspec.structs.replace(QUEUE, name="unchecked", admission_check=False)
BEST_EFFORT = StepSpec(1, cpu_millis=1_000, memory_mb=10, image="f", best_effort=True)
JOB_IDS = [f"{number:016x}" for number in range(40)]


class TestShrunkWorkers:
    """Guard against starts on a worker whose runs exceed its capacity, and against lost runs."""

    def _overfull(self) -> CellHarness:
        """Return a cell of one worker, whose runs need twice its CPU and memory."""
        harness = CellHarness("w0")
        harness.submit(StepSpec(4, cpu_millis=8_000, memory_mb=8_000))
        assert len(harness.start()) == 4
        harness.resize("w0", 16_000, 16_000)
        return harness

    @pytest.mark.parametrize(
        "spec",
        [
            StepSpec(1, cpu_millis=1_000, memory_mb=10),
            StepSpec(1),
            StepSpec(1, cpu_millis=1_000, memory_mb=10, long_running=True, image="s"),
            BEST_EFFORT,
            StepSpec(1, cpu_millis=1_000, memory_mb=10, gang=True),
            StepSpec(1, memory_mb=10, gang=True),
            StepSpec(1, gang=True),
        ],
        ids=["cpu", "empty", "long-running", "best-effort", "gang", "gang-mem", "gang-empty"],
    )
    def test_nothing_is_started_on_a_worker_over_its_capacity(self, spec: StepSpec) -> None:
        harness = self._overfull()
        harness.submit(spec, job=JOB_IDS[1])
        for _ in range(3):
            assert start_orders(harness.plan(500)) == []
            harness.answer_leases()

    def test_no_best_effort_task_is_started_beside_services_that_exceed_the_capacity(self) -> None:
        services = StepSpec(4, cpu_millis=8_000, memory_mb=10, long_running=True, image="s")
        harness = CellHarness("w0")
        harness.submit(services)
        harness.start(500)
        harness.resize("w0", 30_000)
        harness.submit(BEST_EFFORT, job=JOB_IDS[1])
        for _ in range(3):
            assert start_orders(harness.plan(500)) == []
            harness.answer_leases()

    def test_runs_of_a_worker_over_its_capacity_are_neither_stopped_nor_lost(self) -> None:
        spec = StepSpec(4, cpu_millis=8_000, memory_mb=8_000, long_running=True, image="s")
        harness = CellHarness("w0", "w1")
        harness.submit(spec)
        harness.submit(BEST_EFFORT, job=JOB_IDS[1])
        assert len([*harness.start(500), *harness.start(100)]) == 5
        for name in ("w0", "w1"):
            harness.resize(name, 1_000, 1_000)
        for _ in range(4):
            harness.answer_leases()
            assert harness.plan(500) == []
        assert sum(len(w.runs) for w in harness.cell.boots.values()) == 5

    def test_a_task_goes_to_the_worker_that_has_not_shrunk(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.resize("w0", 8_000)
        harness.submit(StepSpec(2, cpu_millis=16_000, gang=True))
        harness.submit(StepSpec(1, cpu_millis=16_000), job=JOB_IDS[1])
        assert {start.boot.name for start in harness.start()} == {"w1"}

    def test_the_limits_of_best_effort_tasks_follow_the_capacity_at_once(self) -> None:
        harness = CellHarness("w0")
        harness.submit(
            StepSpec(1, cpu_millis=1_000, long_running=True, image="s", tail_target_ms=24)
        )
        harness.start(500)
        worker = harness.cell.boots["w0"]
        model = harness.cell.planner.tail_model
        spec = msgspec.structs.replace(BEST_EFFORT, cpu_millis=4_000)
        before = model.admission_for(worker, spec).slack_cost
        harness.resize("w0", 32_000)
        assert model.admission_for(worker, spec).slack_cost == pytest.approx(2 * before)

    def test_a_change_of_capacity_is_not_learned_as_an_effect_of_best_effort_tasks(self) -> None:
        harness = CellHarness("w0")
        service = StepSpec(1, cpu_millis=1_000, long_running=True, image="s", tail_target_ms=24)
        harness.submit(service)
        harness.submit(BEST_EFFORT, job=JOB_IDS[1])
        starts = [*harness.start(500), *harness.start(500)]
        assert len(starts) == 2
        listed = [
            RunningTask(
                start.run.task.id,
                start.run.number,
                "",
                100 if start.run.task.step.spec.long_running else 10,
                12 if start.run.task.step.spec.long_running else 1_000,
            )
            for start in starts
        ]
        for cpu_millis in (64_000, 64_000, 16_000, 4_000):
            harness.resize("w0", cpu_millis)
            harness.now_ms += 450
            harness.answer_lease("w0", *listed)
        regression = harness.cell.planner.tail_model.regressions["s"]
        assert regression.sample_counts.get("f", 0) == 0


class TestGrownWorkers:
    """Guard against tasks that wait although the room that they need is back."""

    @pytest.mark.parametrize(
        "spec",
        [
            StepSpec(2, cpu_millis=20_000),
            StepSpec(2, cpu_millis=20_000, gang=True),
            StepSpec(2, cpu_millis=20_000, long_running=True, image="s"),
            StepSpec(2, cpu_millis=20_000, memory_mb=20_000, image="f", best_effort=True),
        ],
        ids=["short", "gang", "long-running", "best-effort"],
    )
    def test_waiting_tasks_start_once_the_directory_shows_more_capacity(
        self, spec: StepSpec
    ) -> None:
        harness = CellHarness("w0")
        harness.resize("w0", 8_000, 8_000)
        harness.submit(spec)
        for _ in range(5):
            harness.answer_leases()
            assert start_orders(harness.plan(500)) == []
        harness.answer_leases()
        harness.resize("w0", 64_000)
        # Best-effort tasks are placed at most this often.
        assert len(start_orders(harness.plan(60))) == 2

    def test_a_large_task_waits_while_the_whole_fleet_is_too_small(self) -> None:
        async def script(sim: CellSimulation) -> None:
            for name in sim.platform.workers:
                sim.platform.resize(name, 4_000, 4_000)
            await asyncio.sleep(6)
            jobs = set(JOB_IDS[:3])
            for job, queue in zip(sorted(jobs), ("fast", "wide", "serve"), strict=True):
                step = StepSpec(1, cpu_millis=30_000, memory_mb=30_000, estimate_ms=500)
                await sim.submit(job, queue, JobSpec("large", (step,)))
            await asyncio.sleep(30)
            assert {await sim.state(job) for job in jobs} == {"queued"}
            for name in sim.platform.workers:
                sim.platform.resize(name, 64_000, 256_000)
            assert await sim.wait_until_ended(jobs, 8.0) == set()
            assert {await sim.state(job) for job in jobs} == {"completed"}
            assert sim.platform.violations == []

        run_simulation(CellSimulation(1), script)


class TestStartsInFlight:
    """Guard against room that is given away while a run may still take it or has not left it."""

    def test_an_unanswered_start_counts_until_it_is_ruled_out(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=12_000))
        (start,) = start_orders(harness.plan())
        harness.cell.note_start_unanswered(start.run, harness.now_ms)
        harness.resize("w0", 16_000)
        harness.submit(StepSpec(1, cpu_millis=8_000), job=JOB_IDS[1])
        assert start_orders(harness.plan()) == []
        harness.accept_stop(start.run)
        harness.now_ms += 5
        harness.answer_lease("w0")
        assert sum(s.run.task.step.spec.cpu_millis for s in start_orders(harness.plan())) <= 16_000

    def test_a_run_that_is_being_stopped_counts_until_its_end_is_listed(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=12_000))
        (start,) = harness.start()
        harness.resize("w0", 16_000)
        harness.cell.cancel("0" * 16, harness.now_ms)
        harness.submit(StepSpec(1, cpu_millis=8_000), job=JOB_IDS[1])
        (stop,) = harness.plan()
        assert isinstance(stop, StopRun)
        harness.accept_stop(start.run)
        assert start_orders(harness.plan()) == []
        harness.answer_lease("w0")
        assert len(start_orders(harness.plan())) == 1


class TestDirectoryAge:
    """Guard against starts that rely on a capacity which may have shrunk long ago."""

    def test_nothing_is_started_without_admission_check_after_an_outage(self) -> None:
        harness = CellHarness("w0")
        for _ in range(8):
            harness.now_ms += 400
            harness.answer_leases()
        for number, spec in enumerate((StepSpec(1), StepSpec(2, gang=True), BEST_EFFORT)):
            harness.submit(spec, job=JOB_IDS[number], queue=UNCHECKED_QUEUE)
        assert start_orders(harness.plan()) == []
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert len(start_orders(harness.plan(60))) == 4

    def test_no_start_is_carried_out_later_than_the_known_capacity_counts(self) -> None:
        harness = CellHarness("w0")
        for _ in range(5):
            harness.now_ms += 400
            harness.answer_leases()
        harness.submit(StepSpec(1), job=JOB_IDS[1], queue=UNCHECKED_QUEUE)
        (start,) = start_orders(harness.plan())
        read_ms = 100_000  # when the harness read the directory
        age_at_deadline_ms = start.deadline_ms + 90_000 - read_ms
        assert 2_000 < age_at_deadline_ms <= 3_000

    def test_a_queue_with_admission_check_goes_on_through_an_outage(self) -> None:
        harness = CellHarness("w0")
        for _ in range(20):
            harness.now_ms += 400
            harness.answer_leases()
        harness.submit(StepSpec(1))
        assert len(start_orders(harness.plan())) == 1

    def test_the_age_counts_from_before_the_directory_was_asked(self) -> None:
        harness = CellHarness("w0")
        harness.now_ms += 1_000
        harness.cell.set_workers(
            harness.worker_infos, harness.now_ms, read_ms=harness.now_ms - 4_000
        )
        harness.submit(StepSpec(1), job=JOB_IDS[1], queue=UNCHECKED_QUEUE)
        assert start_orders(harness.plan()) == []

    def test_no_worker_that_shrank_unseen_gets_more_than_it_holds(self) -> None:
        async def script(sim: CellSimulation) -> None:
            sim.platform.faults.directory_unreadable_to.update(sim.instances)
            for name in sim.platform.workers:
                sim.platform.resize(name, 4_000, 8_000)
            jobs = set(JOB_IDS[:20])
            for job in sorted(jobs):
                await sim.submit(job, "fast", short_job())
                await asyncio.sleep(0.5)
            sim.platform.faults.directory_unreadable_to.clear()
            assert await sim.wait_until_ended(jobs, 120.0) == set()
            assert sim.platform.violations == []

        run_simulation(CellSimulation(3, admission_check=False), script)


class TestDirectoryReads:
    """Guard against a part of the directory that is taken for the whole."""

    def test_the_directory_is_read_to_its_end(self) -> None:
        async def scenario() -> None:
            stub = StoreStub()
            stub.append("w0", _entry(64_000))
            async with running_store(stub) as session:
                directory = StoreDirectory(client_of(stub, session))
                await directory.refresh()
                for _ in range(40):  # more than one read returns
                    stub.append("w1", _entry(64_000, padding=60_000))
                stub.append("w0", _entry(8_000))
                assert (await directory.refresh())["w0"].cpu_millis == 8_000

        asyncio.run(scenario())


def _entry(cpu_millis: object, padding: int = 0) -> bytes:
    return msgspec.json.encode(
        {
            "service": "svc",
            "address": "10.0.0.1:80",
            "zone": "z",
            "state": "ready",
            "capacity": {"cpu": cpu_millis, "mem-mb": 256_000},
            "labels": ["a", "r0"],
            "born": 1,
            "padding": "x" * padding,
        }
    )


class TestUnusableCapacity:
    """Guard against capacities with which the owner cannot compute."""

    @pytest.mark.parametrize("cpu_millis", [-1, -64_000, None, "many", 0.5])
    def test_an_entry_with_an_invalid_capacity_names_no_worker(self, cpu_millis: object) -> None:
        assert parse_worker("w0", _entry(cpu_millis)) is None

    def test_a_worker_without_cpu_has_its_runs_listed_and_gets_no_others(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(BEST_EFFORT)
        harness.submit(
            StepSpec(1, cpu_millis=1_000, long_running=True, image="s", tail_target_ms=24),
            job=JOB_IDS[1],
        )
        assert len([*harness.start(500), *harness.start(500)]) == 2
        for name in ("w0", "w1"):
            harness.resize(name, 0)
        harness.submit(BEST_EFFORT, job=JOB_IDS[2])
        harness.submit(StepSpec(1, cpu_millis=1_000), job=JOB_IDS[3])
        for _ in range(10):  # beyond the time after which a job counts as starving
            harness.now_ms += 450
            for name, worker in harness.cell.boots.items():
                runs = (
                    RunningTask(r.task.id, r.number, "", 100, 500) for r in worker.runs.values()
                )
                harness.answer_lease(name, *runs)
            assert start_orders(harness.plan()) == []
        assert sum(len(w.runs) for w in harness.cell.boots.values()) == 2

    def test_a_worker_that_the_directory_does_not_list_is_adopted_with_its_runs(self) -> None:
        cell = Cell(LIMITS, 2, 100_000)
        cell.add_job(
            Submission("0" * 16, QUEUE, JobSpec("p", (BEST_EFFORT,)), 0), None, False, 100_000
        )
        registered = RegisteredWorker("w0", "10.0.0.1:80", "svc")
        cell.set_registered_workers(RegisteredWorkers((registered,)), 100_000, 100_000)
        cell.set_workers({}, 100_001)
        worker = cell.boots["w0"]
        listed = RunningTask(TaskId("0" * 16, 0, 0, 0), 1, "", 10, 500)
        cell.handle_lease_reply(worker, LeaseReply(5, 1, (listed,), ()), 100_001, 100_002)
        assert worker.adopted
        assert len(worker.runs) == 1


class TestAdoption:
    """Guard against a new owner that fills, or empties, a worker that has shrunk."""

    def test_adopted_runs_that_exceed_the_capacity_go_on_and_no_other_starts(self) -> None:
        async def script(sim: CellSimulation) -> None:
            jobs = JOB_IDS[:6]
            for job in jobs:
                await sim.submit(job, "serve", long_running_job())
            await asyncio.sleep(2)
            for name in sim.platform.workers:
                sim.platform.resize(name, 16_000, 32_000)
            await sim.kill_instance(sim.owner() or "")
            before = _run_numbers(sim)
            assert len(before) == 18
            late_jobs = JOB_IDS[10:14]
            for job in late_jobs:
                await sim.submit(job, "fast", short_job())
            await asyncio.sleep(10)
            assert before <= _run_numbers(sim)
            for job in jobs:
                await sim.cancel(job)
            assert await sim.wait_until_ended(set(late_jobs), 60.0) == set()
            assert sim.platform.violations == []

        run_simulation(CellSimulation(4, admission_check=False), script)


def _run_numbers(sim: CellSimulation) -> set[tuple[TaskId, int]]:
    return {(t, r.number) for w in sim.platform.workers.values() for t, r in w.runs.items()}


class TestRebootedWorkers:
    """Guard against the old capacity of a worker that has rebooted with a smaller one."""

    def test_a_new_boot_gets_no_task_before_the_directory_describes_it(self) -> None:
        harness = CellHarness("w0")
        for _ in range(2):  # the first reply shows the new boot, the second lists its runs
            worker = harness.cell.boots["w0"]
            harness.now_ms += 1
            reply = LeaseReply(5, 2, (), ())
            harness.cell.handle_lease_reply(worker, reply, harness.now_ms - 1, harness.now_ms)
        harness.store_changes()
        harness.submit(StepSpec(1, cpu_millis=32_000))
        assert start_orders(harness.plan()) == []
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)  # still the old boot
        assert start_orders(harness.plan()) == []
        harness.worker_infos["w0"] = replace(harness.worker_infos["w0"], boot_time_ms=2)
        harness.resize("w0", 16_000)
        assert start_orders(harness.plan()) == []
        harness.resize("w0", 32_000)
        assert len(start_orders(harness.plan())) == 1


class TestRoomRefusals:
    """Guard against repeated starts on a worker that refuses them for lack of room."""

    def _refuse_above(self, harness: CellHarness, cpu_millis: int) -> int:
        """Plan for 10 s while the worker has less room than listed; return the refusals."""
        refusals = 0
        worker = harness.cell.boots["w0"]
        used = sum(r.task.step.spec.cpu_millis for r in worker.runs.values())
        for _ in range(200):
            for order in start_orders(harness.plan(49)):
                cpu = order.run.task.step.spec.cpu_millis
                reason = "room" if used + cpu > cpu_millis else ""
                harness.cell.handle_start_reply(order.boot, order.run, reason, harness.now_ms)
                used += 0 if reason else cpu
                refusals += bool(reason)
            harness.answer_leases()
        return refusals

    def test_a_refused_start_is_repeated_ever_more_rarely(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=32_000))
        assert 2 <= self._refuse_above(harness, 16_000) <= 10

    def test_smaller_tasks_still_start_there(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(4, cpu_millis=32_000))
        harness.submit(StepSpec(3, cpu_millis=4_000), job=JOB_IDS[1])
        self._refuse_above(harness, 16_000)
        running = [r.task.step.spec.cpu_millis for r in harness.cell.boots["w0"].runs.values()]
        assert running == [4_000] * 3

    def test_the_task_starts_on_another_worker_at_once(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(1, cpu_millis=32_000))
        (start,) = start_orders(harness.plan())
        harness.cell.handle_start_reply(start.boot, start.run, "room", harness.now_ms)
        (again,) = start_orders(harness.plan(200))
        assert again.boot is not start.boot

    def test_a_gang_is_placed_with_no_more_tasks_there_than_were_accepted(self) -> None:
        harness = CellHarness("w0", "w1")
        harness.submit(StepSpec(4, cpu_millis=16_000, gang=True))
        orders = start_orders(harness.plan())
        for number, order in enumerate(orders):
            reason = "" if number < 2 else "room"
            harness.cell.handle_start_reply(order.boot, order.run, reason, harness.now_ms)
        ends = tuple(
            RunEnd(n, o.run.task.id, o.run.number, "alone", "") for n, o in enumerate(orders[:2], 1)
        )
        harness.now_ms += 1
        harness.answer_lease(orders[0].boot.name, ends=ends)
        placed = Counter(order.boot.name for order in start_orders(harness.plan(200)))
        assert placed == {"w0": 2, "w1": 2}

    def test_a_refused_task_starts_soon_after_the_room_is_back(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=32_000))
        self._refuse_above(harness, 16_000)
        for _ in range(45):
            starts = harness.start(50)
            if starts:
                break
            harness.answer_leases()
        assert len(starts) == 1

    def test_a_change_of_the_directory_ends_the_wait(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(1, cpu_millis=32_000))
        self._refuse_above(harness, 16_000)
        harness.resize("w0", 63_000)
        assert len(start_orders(harness.plan(200))) == 1

    def test_an_end_of_a_run_makes_room_for_a_task_of_its_size(self) -> None:
        harness = CellHarness("w0")
        harness.submit(StepSpec(2, cpu_millis=8_000))
        assert len(harness.start()) == 2
        harness.submit(StepSpec(1, cpu_millis=8_000), job=JOB_IDS[1])
        assert self._refuse_above(harness, 16_000) <= 10
        harness.cell.cancel("0" * 16, harness.now_ms)
        harness.plan()
        worker = harness.cell.boots["w0"]
        for run in list(worker.runs.values()):
            harness.accept_stop(run)
        harness.now_ms += 1
        harness.answer_lease("w0")
        assert len(start_orders(harness.plan(200))) == 1


async def _resize_at_random(sim: CellSimulation, seconds: float) -> None:
    """Shrink and grow workers, while owners are killed and the store is away now and then."""
    rng = sim.rng
    platform = sim.platform
    until_s = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < until_s:
        await asyncio.sleep(rng.uniform(0.1, 0.8))
        name = rng.choice(list(platform.workers))
        owner = sim.owner()
        match rng.randrange(12):
            case 0 if owner is not None:
                await sim.kill_instance(owner)
            case 1:
                platform.faults.directory_unreadable_to.update(sim.instances)
            case 2:
                platform.faults.store_refuses_to.update(sim.instances)
            case 3 | 4:
                platform.faults.directory_unreadable_to.clear()
                platform.faults.store_refuses_to.clear()
                for missing in sorted({"n0", "n1", "n2"} - set(sim.instances)):
                    sim.start_instance(missing)
            case 5:
                platform.faults.late_order_share = rng.choice((0.0, 0.2))
            case _:
                share = rng.choice((0, 0.1, 0.25, 0.5, 1.0, 1.0))
                platform.resize(name, int(64_000 * share), int(256_000 * share))


async def _run_random_day(sim: CellSimulation) -> None:
    """Submit jobs while workers change their size, then restore all and wait for the jobs."""
    changes = asyncio.ensure_future(_resize_at_random(sim, 25))
    calls = []
    for number, job in enumerate(JOB_IDS):
        queue, spec = mixed_job(number)
        calls.append(asyncio.ensure_future(sim.submit(job, queue, spec)))
        await asyncio.sleep(0.6)
    await changes
    faults = sim.platform.faults
    faults.directory_unreadable_to.clear()
    faults.store_refuses_to.clear()
    faults.late_order_share = 0.0
    for missing in sorted({"n0", "n1", "n2"} - set(sim.instances)):
        sim.start_instance(missing)
    for name in sim.platform.workers:
        sim.platform.resize(name, 64_000, 256_000)
    await asyncio.gather(*calls)
    for number, job in enumerate(JOB_IDS):
        if number % 3 == 2 and job in sim.accepted:
            await sim.cancel(job)
    unfinished = await sim.wait_until_ended(set(sim.accepted), 60.0)
    assert sim.platform.violations == []
    assert unfinished == set()


class TestRandomResizes:
    """Guard against starts over the capacity on days of many changes."""

    @pytest.mark.parametrize("seed", [603, 607, 640, 651])
    def test_no_start_exceeds_the_capacity_and_every_job_ends(self, seed: int) -> None:
        run_simulation(CellSimulation(seed, admission_check=False), _run_random_day)
