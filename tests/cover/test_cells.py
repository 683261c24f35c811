"""Entry instances on a simulated platform, and the guarantees that its faults must not break."""

from __future__ import annotations

import asyncio

import pytest

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.ports import Outcome
from tests.common.drive import (
    QUEUES,
    CellSimulation,
    best_effort_job,
    long_running_job,
    mixed_job,
    run_simulation,
    short_job,
)

SETTLE_S = 60.0
SEEDS_IN_CI = range(6)


def _ids(count: int) -> list[str]:
    return [f"{number:016x}" for number in range(count)]


def _check(sim: CellSimulation, unfinished: set[str]) -> None:
    assert sim.platform.violations == []
    assert unfinished == set(), "jobs that never ended"


class TestWholePath:
    """Jobs of every kind without injected faults."""

    def test_every_job_ends_and_no_guarantee_is_violated(self) -> None:
        async def script(sim: CellSimulation) -> None:
            jobs = _ids(12)
            for number, job in enumerate(jobs):
                spec = short_job() if number % 2 else best_effort_job()
                await sim.submit(job, "fast" if number % 2 else "wide", spec)
            _check(sim, await sim.wait_until_ended(set(jobs), SETTLE_S))
            assert {await sim.state(job) for job in jobs} <= {"completed", "failed"}
            assert sim.accepted == set(jobs)

        run_simulation(CellSimulation(1), script)

    def test_a_job_starts_within_a_tenth_of_a_second(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await sim.submit(_ids(1)[0], "fast", short_job())
            await asyncio.sleep(0.1)
            assert sum(len(w.runs) for w in sim.platform.workers.values()) == 4

        run_simulation(CellSimulation(2), script)

    def test_a_cancelled_job_stops_and_is_not_started_again(self) -> None:
        async def script(sim: CellSimulation) -> None:
            job = _ids(1)[0]
            await sim.submit(job, "serve", long_running_job())
            await asyncio.sleep(2)
            assert await sim.cancel(job)
            await asyncio.sleep(3)
            await sim.submit(job, "serve", long_running_job())  # a late repeat of the submission
            await asyncio.sleep(3)
            assert not any(worker.runs for worker in sim.platform.workers.values())
            assert await sim.state(job) == "cancelled"

        _check(run_simulation(CellSimulation(3), script), set())

    def test_an_unknown_job_has_no_state(self) -> None:
        async def script(sim: CellSimulation) -> None:
            assert await sim.state("f" * 16) is None

        run_simulation(CellSimulation(4), script)

    def test_a_long_running_task_that_ends_is_started_again(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await sim.submit(_ids(1)[0], "serve", long_running_job())
            await asyncio.sleep(2)
            worker = next(w for w in sim.platform.workers.values() if w.runs)
            worker.end(next(iter(worker.runs.values())), "failed")
            await asyncio.sleep(2)
            assert sum(len(w.runs) for w in sim.platform.workers.values()) == 3

        _check(run_simulation(CellSimulation(5), script), set())

    def test_a_job_whose_runs_always_fail_ends_after_its_attempts(self) -> None:
        async def script(sim: CellSimulation) -> None:
            sim.platform.faults.failing_workers.update(sim.platform.workers)
            job = _ids(1)[0]
            await sim.submit(job, "wide", best_effort_job())
            _check(sim, await sim.wait_until_ended({job}, SETTLE_S))
            assert await sim.state(job) == "failed"

        run_simulation(CellSimulation(6), script)

    def test_all_tasks_of_a_gang_start_together_with_one_run_number(self) -> None:
        async def script(sim: CellSimulation) -> None:
            gang = StepSpec(
                6, cpu_millis=30_000, memory_mb=1_000, estimate_ms=800, gang=True, same_rack=False
            )
            job = _ids(1)[0]
            await sim.submit(job, "fast", JobSpec("gang", (gang,)))
            await asyncio.sleep(0.2)
            runs = [run for w in sim.platform.workers.values() for run in w.runs.values()]
            assert len(runs) == 6
            assert len({run.number for run in runs}) == 1
            _check(sim, await sim.wait_until_ended({job}, SETTLE_S))

        run_simulation(CellSimulation(7), script)


class TestFaults:
    """Single faults, each with the guarantee that it could break."""

    def test_an_owner_that_dies_is_replaced_and_its_runs_continue(self) -> None:
        async def script(sim: CellSimulation) -> None:
            jobs = _ids(6)
            for job in jobs:
                await sim.submit(job, "serve", long_running_job())
            await asyncio.sleep(2)
            before = {
                (t, r.number) for w in sim.platform.workers.values() for t, r in w.runs.items()
            }
            owner = sim.owner()
            assert owner is not None
            await sim.kill_instance(owner)
            await asyncio.sleep(6)
            after = {
                (t, r.number) for w in sim.platform.workers.values() for t, r in w.runs.items()
            }
            assert sim.owner() not in (None, owner)
            assert after == before

        _check(run_simulation(CellSimulation(10), script), set())

    def test_an_instance_acts_on_a_claim_as_soon_as_it_has_won(self) -> None:
        delays_ms: list[int] = []

        async def script(sim: CellSimulation) -> None:
            await sim.kill_instance(sim.owner() or "")
            epoch = sim.platform.store.epoch
            while sim.platform.store.epoch == epoch:
                await asyncio.sleep(0.001)
            claimed_ms = monotonic_ms()
            while sim.owner() is None:
                await asyncio.sleep(0.001)
            delays_ms.append(monotonic_ms() - claimed_ms)

        for seed in range(8):
            run_simulation(CellSimulation(seed), script)
        assert max(delays_ms) <= 50

    def test_an_owner_whose_writes_the_store_refuses_is_replaced(self) -> None:
        async def script(sim: CellSimulation) -> None:
            owner = sim.owner()
            assert owner is not None
            sim.platform.faults.store_refuses_to.add(owner)
            await asyncio.sleep(4)
            job = _ids(1)[0]
            await sim.submit(job, "fast", short_job())
            assert sim.owner() != owner
            _check(sim, await sim.wait_until_ended({job}, SETTLE_S))

        run_simulation(CellSimulation(11), script)

    def test_an_owner_whose_reads_the_store_refuses_is_replaced(self) -> None:
        """Guards against a cell without orders, as its owner still stores heartbeats."""

        async def script(sim: CellSimulation) -> None:
            owner = sim.owner()
            assert owner is not None
            sim.platform.faults.reads_refused_to.add(owner)
            await asyncio.sleep(8)
            others = [i for name, i in sim.instances.items() if name != owner]
            assert any(instance._ownership.owning for instance in others)
            job = _ids(1)[0]
            await sim.submit(job, "fast", short_job())
            sim.platform.faults.reads_refused_to.clear()
            _check(sim, await sim.wait_until_ended({job}, SETTLE_S))

        run_simulation(CellSimulation(8), script)

    def test_runs_continue_through_an_outage_of_the_store(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await sim.submit(_ids(1)[0], "serve", long_running_job())
            await asyncio.sleep(2)
            sim.platform.faults.store_silent_to.update(sim.instances)
            await asyncio.sleep(4.5)
            sim.platform.faults.store_silent_to.clear()
            await asyncio.sleep(3)
            numbers = [r.number for w in sim.platform.workers.values() for r in w.runs.values()]
            assert len(numbers) == 3
            assert sim.platform.violations == []

        run_simulation(CellSimulation(12), script)

    def test_a_job_that_is_refused_never_runs(self) -> None:
        async def script(sim: CellSimulation) -> None:
            sim.platform.faults.store_refuses_to.update(sim.instances)
            await asyncio.sleep(0.5)
            job = _ids(1)[0]
            sim.platform.specs[job] = short_job().steps
            instance = next(iter(sim.instances.values()))
            outcome = await instance.submit(job, QUEUES["fast"], short_job(), 2_000)
            assert outcome is Outcome.REFUSED
            sim.platform.faults.store_refuses_to.clear()
            await asyncio.sleep(15)
            assert await sim.state(job) is None
            assert not any(task.job_id == job for task in sim.platform.done)

        run_simulation(CellSimulation(13), script)

    def test_a_caller_is_refused_at_once_while_the_store_does_not_answer(self) -> None:
        async def script(sim: CellSimulation) -> None:
            sim.platform.faults.store_silent_to.update(sim.instances)
            await asyncio.sleep(2.5)
            loop = asyncio.get_running_loop()
            for job in _ids(4):  # the later jobs arrive when no append has failed for a while
                await asyncio.sleep(1.5)
                instance = next(iter(sim.instances.values()))
                sent_s = loop.time()
                outcome = await instance.submit(job, QUEUES["fast"], short_job(), 2_700)
                assert outcome is Outcome.REFUSED
                assert loop.time() - sent_s < 0.05
                assert not instance.ready
                assert instance.retry_after_s >= 1

        run_simulation(CellSimulation(18), script)

    @pytest.mark.parametrize("seed", range(20, 24))
    def test_orders_that_are_carried_out_late_do_not_run_a_task_twice(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            sim.platform.faults.late_order_share = 0.3
            jobs = _ids(8)
            for job in jobs:
                await sim.submit(job, "fast", short_job())
            unfinished = await sim.wait_until_ended(set(jobs), SETTLE_S)
            sim.platform.faults.late_order_share = 0.0
            unfinished = await sim.wait_until_ended(unfinished, SETTLE_S)
            await asyncio.sleep(14)
            _check(sim, unfinished)

        run_simulation(CellSimulation(seed), script)

    @pytest.mark.parametrize("seed", range(30, 34))
    def test_lost_replies_of_the_store_neither_lose_nor_repeat_jobs(self, seed: int) -> None:
        async def script(sim: CellSimulation) -> None:
            sim.platform.faults.lost_answer_share = 0.4
            jobs = _ids(8)
            for job in jobs:
                await sim.submit(job, "fast", short_job())
            sim.platform.faults.lost_answer_share = 0.0
            _check(sim, await sim.wait_until_ended(set(sim.accepted), SETTLE_S))

        run_simulation(CellSimulation(seed), script)

    def test_a_job_that_was_not_started_does_not_wait_for_an_unresponsive_worker(self) -> None:
        # A new owner must not wait for the leases of an unresponsive worker before it starts jobs
        # that no owner can have started yet: a worker that had left delayed the whole backlog by
        # 11 s.
        # Found by: lapjeshuis-ops trouble-2 --seed 705648388933
        async def script(sim: CellSimulation) -> None:
            await sim.submit(_ids(1)[0], "serve", long_running_job())
            await asyncio.sleep(1)
            owner = sim.owner()
            assert owner is not None
            sim.platform.faults.failing_workers.clear()
            for worker in sim.platform.workers:  # no start reaches a worker
                sim.platform.faults.cut_links.add((owner, worker))
            await asyncio.sleep(2)
            backlog = [f"{number:016x}" for number in range(100, 104)]
            for job in backlog:
                await sim.submit(job, "fast", short_job())
            await asyncio.sleep(2.5)  # the owner stores which jobs it may have started
            sim.platform.crash("w5")
            await sim.kill_instance(owner)
            assert await sim.wait_until_ended(set(backlog), 6.0) == set()

        _check(run_simulation(CellSimulation(17), script), set())

    def test_runs_that_are_being_stopped_keep_their_resources(self) -> None:
        # A new owner must count the resources of a cancelled job's runs until they have stopped,
        # else it places other runs on a worker that is still full. Found by seed 1145 of the random
        # faults.
        async def script(sim: CellSimulation) -> None:
            jobs = _ids(10)
            for job in jobs:
                await sim.submit(job, "serve", long_running_job())
            await asyncio.sleep(2)
            owner = sim.owner()
            assert owner is not None
            sim.platform.faults.store_refuses_to.add(owner)
            for job in jobs[:8]:
                for instance in sim.instances.values():
                    if not instance._ownership.owning:
                        await instance.cancel(job, 2_000)
                        break
            short_jobs = [f"{number:016x}" for number in range(50, 70)]
            for job in short_jobs:
                await sim.submit(job, "fast", short_job())
            _check(sim, await sim.wait_until_ended(set(short_jobs), SETTLE_S))

        run_simulation(CellSimulation(16), script)

    def test_tasks_of_a_worker_that_refuses_lease_extensions_are_started_elsewhere(self) -> None:
        """Guards against tasks that wait for runs that have lapsed, as their worker answers."""

        async def script(sim: CellSimulation) -> None:
            await sim.submit(_ids(1)[0], "serve", long_running_job())
            await asyncio.sleep(2)
            owner = sim.owner()
            assert owner is not None
            name = next(n for n, worker in sim.platform.workers.items() if worker.runs)
            sim.platform.faults.refused_lease_links.add((owner, name))
            await asyncio.sleep(10)
            assert not sim.platform.workers[name].runs
            assert len(sim.platform.running_tasks()) == 3
            await sim.cancel(_ids(1)[0])
            await asyncio.sleep(2)

        _check(run_simulation(CellSimulation(1), script), set())

    def test_the_runs_of_a_rebooted_worker_are_started_again(self) -> None:
        async def script(sim: CellSimulation) -> None:
            await sim.submit(_ids(1)[0], "serve", long_running_job())
            await asyncio.sleep(2)
            name = next(n for n, w in sim.platform.workers.items() if w.runs)
            sim.platform.crash(name)
            await asyncio.sleep(0.5)
            sim.platform.restart(name)
            await asyncio.sleep(3)
            assert sum(len(w.runs) for w in sim.platform.workers.values()) == 3

        _check(run_simulation(CellSimulation(14), script), set())


async def _inject_faults(sim: CellSimulation, seconds: float) -> None:
    """Inject random faults one after another; most last until they are healed."""
    rng = sim.rng
    loop = asyncio.get_running_loop()
    until_s = loop.time() + seconds
    platform = sim.platform
    while loop.time() < until_s:
        await asyncio.sleep(rng.uniform(0.3, 2.5))
        name = rng.choice(["n0", "n1", "n2"])
        worker = rng.choice(list(platform.workers))
        match rng.randrange(10):
            case 0 if name in sim.instances:
                await sim.kill_instance(name)
            case 1:
                platform.faults.store_silent_to.add(name)
            case 2:
                platform.faults.store_refuses_to.add(name)
            case 3:
                platform.faults.late_order_share = rng.choice((0.0, 0.1, 0.4))
            case 4:
                platform.faults.lost_answer_share = rng.choice((0.0, 0.3))
            case 5:
                platform.crash(worker)
                await asyncio.sleep(rng.uniform(0.1, 3))
                platform.restart(worker)
            case 6:
                platform.faults.cut_links.add((name, worker))
            case 7:
                platform.faults.store_silent_to.clear()
                platform.faults.store_refuses_to.clear()
                platform.faults.cut_links.clear()
                platform.faults.unanswered_links.clear()
            case 8:
                platform.faults.unanswered_links.add((name, worker))
            case _:
                for missing in sorted({"n0", "n1", "n2"} - set(sim.instances)):
                    sim.start_instance(missing)


async def _heal_all(sim: CellSimulation) -> None:
    faults = sim.platform.faults
    faults.store_silent_to.clear()
    faults.store_refuses_to.clear()
    faults.cut_links.clear()
    faults.unanswered_links.clear()
    faults.late_order_share = faults.lost_answer_share = 0.0
    for missing in sorted({"n0", "n1", "n2"} - set(sim.instances)):
        sim.start_instance(missing)


async def _run_random_faults(sim: CellSimulation) -> None:
    """Submit jobs during random faults, then heal all faults and check how each job ended.

    Long-running jobs are cancelled at the end.
    """
    injection = asyncio.ensure_future(_inject_faults(sim, 25))
    calls = []
    for number, job in enumerate(_ids(25)):
        queue, spec = mixed_job(number)
        calls.append(asyncio.ensure_future(sim.submit(job, queue, spec)))
        await asyncio.sleep(1)
    await injection
    await _heal_all(sim)
    await asyncio.gather(*calls)
    for number, job in enumerate(_ids(25)):
        if number % 3 == 2 and job in sim.accepted:
            await sim.cancel(job)
    unfinished = await sim.wait_until_ended(set(sim.accepted), SETTLE_S)
    await asyncio.sleep(14)
    _check(sim, unfinished)
    for job in sim.accepted - sim.cancelled:
        assert await sim.state(job) in ("completed", "failed")
    for job in sim.refused - sim.accepted - sim.unknown:
        assert await sim.state(job) is None, "a refused job has a state"


class TestRandomFaults:
    """Random sequences of faults of every kind, some at the same time."""

    @pytest.mark.parametrize("seed", SEEDS_IN_CI)
    def test_no_guarantee_is_violated(self, seed: int) -> None:
        run_simulation(CellSimulation(100 + seed), _run_random_faults)
