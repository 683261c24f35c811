"""Entry instances over a stand-in of the platform: what must hold through its faults."""

from __future__ import annotations

import asyncio

import pytest

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.ports import Outcome
from tests.common.drive import QUEUES, Drive, filling_job, lasting_job, play, short_job

SETTLE_S = 60.0
SEEDS_IN_CI = range(6)


def _ids(count: int) -> list[str]:
    return [f"{number:016x}" for number in range(count)]


def _check(drive: Drive, left: set[str]) -> None:
    assert drive.plant.violations == []
    assert left == set(), "jobs that never ended"


class TestWholePath:
    """Jobs of every kind on a calm day."""

    def test_every_job_is_done_and_nothing_is_broken(self) -> None:
        async def script(drive: Drive) -> None:
            jobs = _ids(12)
            for number, job in enumerate(jobs):
                spec = short_job() if number % 2 else filling_job()
                await drive.submit(job, "fast" if number % 2 else "wide", spec)
            _check(drive, await drive.settle(set(jobs), SETTLE_S))
            assert {await drive.state(job) for job in jobs} <= {"completed", "failed"}
            assert drive.accepted == set(jobs)

        play(Drive(1), script)

    def test_a_job_starts_within_a_tenth_of_a_second(self) -> None:
        async def script(drive: Drive) -> None:
            await drive.submit(_ids(1)[0], "fast", short_job())
            await asyncio.sleep(0.1)
            assert sum(len(w.runs) for w in drive.plant.workers.values()) == 4

        play(Drive(2), script)

    def test_a_cancelled_job_stops_and_never_comes_back(self) -> None:
        async def script(drive: Drive) -> None:
            job = _ids(1)[0]
            await drive.submit(job, "serve", lasting_job())
            await asyncio.sleep(2)
            assert await drive.cancel(job)
            await asyncio.sleep(3)
            await drive.submit(job, "serve", lasting_job())  # a repeat that comes late
            await asyncio.sleep(3)
            assert not any(worker.runs for worker in drive.plant.workers.values())
            assert await drive.state(job) == "cancelled"

        _check(play(Drive(3), script), set())

    def test_an_unknown_job_is_not_there(self) -> None:
        async def script(drive: Drive) -> None:
            assert await drive.state("f" * 16) is None

        play(Drive(4), script)

    def test_a_lasting_task_that_ends_is_started_again(self) -> None:
        async def script(drive: Drive) -> None:
            await drive.submit(_ids(1)[0], "serve", lasting_job())
            await asyncio.sleep(2)
            worker = next(w for w in drive.plant.workers.values() if w.runs)
            worker.end(next(iter(worker.runs.values())), "failed")
            await asyncio.sleep(2)
            assert sum(len(w.runs) for w in drive.plant.workers.values()) == 3

        _check(play(Drive(5), script), set())

    def test_a_job_that_always_fails_ends_after_its_attempts(self) -> None:
        async def script(drive: Drive) -> None:
            drive.plant.faults.grey.update(drive.plant.workers)
            job = _ids(1)[0]
            await drive.submit(job, "wide", filling_job())
            _check(drive, await drive.settle({job}, SETTLE_S))
            assert await drive.state(job) == "failed"

        play(Drive(6), script)

    def test_a_gang_is_placed_at_once_with_one_run_number(self) -> None:
        async def script(drive: Drive) -> None:
            gang = StepSpec(
                6, cpu_millis=30_000, memory_mb=1_000, estimate_ms=800, gang=True, same_rack=False
            )
            job = _ids(1)[0]
            await drive.submit(job, "fast", JobSpec("gang", (gang,)))
            await asyncio.sleep(0.2)
            runs = [run for w in drive.plant.workers.values() for run in w.runs.values()]
            assert len(runs) == 6
            assert len({run.number for run in runs}) == 1
            _check(drive, await drive.settle({job}, SETTLE_S))

        play(Drive(7), script)


class TestFaults:
    """Single faults, each with the promise that it attacks."""

    def test_an_owner_that_dies_is_replaced_and_its_runs_go_on(self) -> None:
        async def script(drive: Drive) -> None:
            jobs = _ids(6)
            for job in jobs:
                await drive.submit(job, "serve", lasting_job())
            await asyncio.sleep(2)
            before = {
                (t, r.number) for w in drive.plant.workers.values() for t, r in w.runs.items()
            }
            owner = drive.owner()
            assert owner is not None
            await drive.kill_node(owner)
            await asyncio.sleep(6)
            after = {(t, r.number) for w in drive.plant.workers.values() for t, r in w.runs.items()}
            assert drive.owner() not in (None, owner)
            assert after == before

        _check(play(Drive(10), script), set())

    def test_a_claim_that_was_won_is_acted_on_at_once(self) -> None:
        waited: list[int] = []

        async def script(drive: Drive) -> None:
            await drive.kill_node(drive.owner() or "")
            claimed = drive.plant.store.epoch
            while drive.plant.store.epoch == claimed:
                await asyncio.sleep(0.001)
            since = monotonic_ms()
            while drive.owner() is None:
                await asyncio.sleep(0.001)
            waited.append(monotonic_ms() - since)

        for seed in range(8):
            play(Drive(seed), script)
        assert max(waited) <= 50

    def test_an_owner_that_the_store_turns_away_is_replaced(self) -> None:
        async def script(drive: Drive) -> None:
            owner = drive.owner()
            assert owner is not None
            drive.plant.faults.store_refuses.add(owner)
            await asyncio.sleep(4)
            job = _ids(1)[0]
            await drive.submit(job, "fast", short_job())
            assert drive.owner() != owner
            _check(drive, await drive.settle({job}, SETTLE_S))

        play(Drive(11), script)

    def test_running_work_outlives_an_outage_of_the_store(self) -> None:
        async def script(drive: Drive) -> None:
            await drive.submit(_ids(1)[0], "serve", lasting_job())
            await asyncio.sleep(2)
            drive.plant.faults.store_down.update(drive.nodes)
            await asyncio.sleep(4.5)
            drive.plant.faults.store_down.clear()
            await asyncio.sleep(3)
            numbers = [r.number for w in drive.plant.workers.values() for r in w.runs.values()]
            assert len(numbers) == 3
            assert drive.plant.violations == []

        play(Drive(12), script)

    def test_a_job_that_is_refused_never_runs(self) -> None:
        async def script(drive: Drive) -> None:
            drive.plant.faults.store_refuses.update(drive.nodes)
            await asyncio.sleep(0.5)
            job = _ids(1)[0]
            drive.plant.specs[job] = short_job().steps
            node = next(iter(drive.nodes.values()))
            outcome = await node.submit(job, QUEUES["fast"], short_job(), 2_000)
            assert outcome is Outcome.REFUSED
            drive.plant.faults.store_refuses.clear()
            await asyncio.sleep(15)
            assert await drive.state(job) is None
            assert not any(task.job_id == job for task in drive.plant.done)

        play(Drive(13), script)

    def test_a_caller_is_refused_at_once_while_the_store_is_silent(self) -> None:
        async def script(drive: Drive) -> None:
            drive.plant.faults.store_down.update(drive.nodes)
            await asyncio.sleep(2.5)
            loop = asyncio.get_running_loop()
            for job in _ids(4):  # also later on, when no append has failed for a while
                await asyncio.sleep(1.5)
                node = next(iter(drive.nodes.values()))
                sent = loop.time()
                outcome = await node.submit(job, QUEUES["fast"], short_job(), 2_700)
                assert outcome is Outcome.REFUSED
                assert loop.time() - sent < 0.05
                assert not node.ready
                assert node.retry_after_s >= 1

        play(Drive(18), script)

    @pytest.mark.parametrize("seed", range(20, 24))
    def test_orders_that_are_carried_out_late_run_nothing_twice(self, seed: int) -> None:
        async def script(drive: Drive) -> None:
            drive.plant.faults.late_orders = 0.3
            jobs = _ids(8)
            for job in jobs:
                await drive.submit(job, "fast", short_job())
            left = await drive.settle(set(jobs), SETTLE_S)
            drive.plant.faults.late_orders = 0.0
            left = await drive.settle(left, SETTLE_S)
            await asyncio.sleep(14)
            _check(drive, left)

        play(Drive(seed), script)

    @pytest.mark.parametrize("seed", range(30, 34))
    def test_lost_answers_of_the_store_lose_and_double_nothing(self, seed: int) -> None:
        async def script(drive: Drive) -> None:
            drive.plant.faults.lost_answers = 0.4
            jobs = _ids(8)
            for job in jobs:
                await drive.submit(job, "fast", short_job())
            drive.plant.faults.lost_answers = 0.0
            _check(drive, await drive.settle(set(drive.accepted), SETTLE_S))

        play(Drive(seed), script)

    def test_a_job_that_had_not_begun_does_not_wait_for_a_silent_worker(self) -> None:
        # hunt: lapjeshuis-ops trouble-2 --seed 705648388933: a new owner waited 11 s for one worker
        # that had left before it started anything of the backlog
        async def script(drive: Drive) -> None:
            await drive.submit(_ids(1)[0], "serve", lasting_job())
            await asyncio.sleep(1)
            owner = drive.owner()
            assert owner is not None
            drive.plant.faults.grey.clear()
            for worker in drive.plant.workers:  # nothing can be started for a while
                drive.plant.faults.cut.add((owner, worker))
            await asyncio.sleep(2)
            backlog = [f"{number:016x}" for number in range(100, 104)]
            for job in backlog:
                await drive.submit(job, "fast", short_job())
            await asyncio.sleep(2.5)  # the owner tells what it may have started
            drive.plant.crash("w5")
            await drive.kill_node(owner)
            assert await drive.settle(set(backlog), 6.0) == set()

        _check(play(Drive(17), script), set())

    def test_runs_that_are_being_stopped_hold_their_room(self) -> None:
        # seed 1145: a new owner stopped the runs of cancelled jobs and placed others over them
        async def script(drive: Drive) -> None:
            jobs = _ids(10)
            for job in jobs:
                await drive.submit(job, "serve", lasting_job())
            await asyncio.sleep(2)
            owner = drive.owner()
            assert owner is not None
            drive.plant.faults.store_refuses.add(owner)
            for job in jobs[:8]:
                for node in drive.nodes.values():
                    if not node._view.owning:
                        await node.cancel(job, 2_000)
                        break
            more = [f"{number:016x}" for number in range(50, 70)]
            for job in more:
                await drive.submit(job, "fast", short_job())
            _check(drive, await drive.settle(set(more), SETTLE_S))

        play(Drive(16), script)

    def test_a_worker_that_is_reborn_holds_nothing_of_before(self) -> None:
        async def script(drive: Drive) -> None:
            await drive.submit(_ids(1)[0], "serve", lasting_job())
            await asyncio.sleep(2)
            name = next(n for n, w in drive.plant.workers.items() if w.runs)
            drive.plant.crash(name)
            await asyncio.sleep(0.5)
            drive.plant.restart(name)
            await asyncio.sleep(3)
            assert sum(len(w.runs) for w in drive.plant.workers.values()) == 3

        _check(play(Drive(14), script), set())


async def _disturb(drive: Drive, seconds: float) -> None:
    """Play one fault after the other, some at the same time."""
    rng = drive.rng
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    plant = drive.plant
    while loop.time() < until:
        await asyncio.sleep(rng.uniform(0.3, 2.5))
        name = rng.choice(["n0", "n1", "n2"])
        worker = rng.choice(list(plant.workers))
        match rng.randrange(10):
            case 0 if name in drive.nodes:
                await drive.kill_node(name)
            case 1:
                plant.faults.store_down.add(name)
            case 2:
                plant.faults.store_refuses.add(name)
            case 3:
                plant.faults.late_orders = rng.choice((0.0, 0.1, 0.4))
            case 4:
                plant.faults.lost_answers = rng.choice((0.0, 0.3))
            case 5:
                plant.crash(worker)
                await asyncio.sleep(rng.uniform(0.1, 3))
                plant.restart(worker)
            case 6:
                plant.faults.cut.add((name, worker))
            case 7:
                plant.faults.store_down.clear()
                plant.faults.store_refuses.clear()
                plant.faults.cut.clear()
                plant.faults.mute.clear()
            case 8:
                plant.faults.mute.add((name, worker))
            case _:
                for missing in sorted({"n0", "n1", "n2"} - set(drive.nodes)):
                    drive.start_node(missing)


async def _heal(drive: Drive) -> None:
    faults = drive.plant.faults
    faults.store_down.clear()
    faults.store_refuses.clear()
    faults.cut.clear()
    faults.mute.clear()
    faults.late_orders = faults.lost_answers = 0.0
    for missing in sorted({"n0", "n1", "n2"} - set(drive.nodes)):
        drive.start_node(missing)


async def _random_day(drive: Drive) -> None:
    """Hand jobs in and cancel some while faults come, then let all heal and settle."""
    disturbing = asyncio.ensure_future(_disturb(drive, 25))
    calls = []
    for number, job in enumerate(_ids(25)):
        queue, spec = (
            ("fast", short_job()),
            ("wide", filling_job()),
            ("serve", lasting_job()),
        )[number % 3]
        calls.append(asyncio.ensure_future(drive.submit(job, queue, spec)))
        await asyncio.sleep(1)
    await disturbing
    await _heal(drive)
    await asyncio.gather(*calls)
    for number, job in enumerate(_ids(25)):
        if number % 3 == 2 and job in drive.accepted:
            await drive.cancel(job)
    left = await drive.settle(set(drive.accepted), SETTLE_S)
    await asyncio.sleep(14)
    _check(drive, left)
    for job in drive.accepted - drive.cancelled:
        assert await drive.state(job) in ("completed", "failed")
    for job in drive.refused - drive.accepted - drive.unknown:
        assert await drive.state(job) is None, "a refused job is there"


class TestRandomFaults:
    """Faults of every kind in series and at the same time, by seed."""

    @pytest.mark.parametrize("seed", SEEDS_IN_CI)
    def test_the_promises_hold(self, seed: int) -> None:
        play(Drive(100 + seed), _random_day)
