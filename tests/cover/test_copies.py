"""Copies of stragglers: which runs get one, and what becomes of the two runs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from greengagewood.internal.cells.copies import CopyPolicy
from greengagewood.internal.cells.orders import StartRun, StopRun
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.cells.runtimes import RunTimes
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.ports import RunEnd, RunningTask
from tests.common.desk import QUEUE, CellHarness, start_orders
from tests.common.drive import CellSimulation, run_simulation
from tests.cover import test_owner_changes
from tests.cover.test_runtimes import Lab

WORKERS = tuple(f"w{number}" for number in range(10))
ONE_ATTEMPT = Queue("q", "svc", 0, 1, 2.0, 1000)


def _spec(speculative: bool = True, task_count: int = 1, cpu_millis: int = 4_000) -> StepSpec:
    return StepSpec(
        task_count, cpu_millis=cpu_millis, estimate_ms=1_000, image="i", speculative=speculative
    )


class Desk(CellHarness):
    """A cell that knows how long tasks take, and a job with a straggler."""

    def __init__(
        self, spec: StepSpec | None = None, queue: Queue = QUEUE, learned: bool = True
    ) -> None:
        super().__init__(*WORKERS)
        if learned:
            Lab(self.cell.planner.run_times, self.now_ms - 90_000).end_on_all(6, 4)
        self.submit(spec or _spec(), queue=queue)
        self.first = self.start()
        self.run = self.first[0].run

    def list_for(self, duration_ms: int, percent_per_s: float) -> list:
        """Let the workers list every run with its progress; return the orders."""
        orders = []
        for _ in range(duration_ms // 250):
            self.now_ms += 250
            for name, worker in self.cell.boots.items():
                listed = []
                for run in worker.runs.values():
                    age_ms = self.now_ms - run.started_ms
                    percent = int(percent_per_s * age_ms / 1000)
                    listed.append(RunningTask(run.task.id, run.number, "", percent, 4_000))
                self.answer_lease(name, *listed)
            for order in self.plan():
                orders.append(order)
                if isinstance(order, StartRun):
                    self.cell.handle_start_reply(order.boot, order.run, "", self.now_ms)
        return orders

    def copy_after(self, duration_ms: int = 2_500, percent_per_s: float = 14) -> StartRun | None:
        starts = start_orders(self.list_for(duration_ms, percent_per_s))
        assert len(starts) <= 1
        return starts[0] if starts else None

    def end(self, run: Run, result: str) -> list:
        """Let a worker list the end of a run; return the next orders."""
        worker = self.cell.boots[run.worker_id]
        sequence = worker.last_end_sequence + 1
        ended = RunEnd(sequence, run.task.id, run.number, result, "")
        self.answer_lease(run.worker_id, ends=(ended,))
        return self.plan()


class TestChoice:
    """Which runs get a copy."""

    def test_a_straggler_gets_one_copy_on_another_worker(self) -> None:
        desk = Desk()
        copy = desk.copy_after()
        assert copy is not None
        assert copy.run.task is desk.run.task
        assert copy.boot.name != desk.run.worker_id
        assert desk.copy_after() is None

    def test_an_ordinary_run_gets_none(self) -> None:
        assert Desk().copy_after(1_000, percent_per_s=90) is None
        assert Desk().copy_after(2_000, percent_per_s=45) is None

    @pytest.mark.parametrize(
        "desk",
        [
            lambda: Desk(_spec(speculative=False)),
            lambda: Desk(queue=ONE_ATTEMPT),
            lambda: Desk(learned=False),
            lambda: Desk(StepSpec(1, cpu_millis=4_000, estimate_ms=1_000, speculative=True)),
        ],
        ids=["not speculative", "one attempt", "new owner", "image without ends"],
    )
    def test_no_copy_is_started_without_need(self, desk: Callable[[], Desk]) -> None:
        assert desk().copy_after() is None

    def test_a_run_of_an_earlier_owner_may_have_a_copy_already(self) -> None:
        desk = Desk()
        desk.run.resumed = True
        assert desk.copy_after() is None

    def test_copies_keep_to_their_budget(self) -> None:
        desk = Desk(_spec(task_count=30))
        starts = start_orders(desk.list_for(2_500, 14))
        total = sum(worker.info.cpu_millis for worker in desk.cell.boots.values())
        assert 0 < len(starts) * 4_000 <= CopyPolicy.budget_millis(total)

    def test_no_copy_is_started_in_an_evacuated_domain(self) -> None:
        desk = Desk()
        desk.read_orders(desk.cell.boots[desk.run.worker_id].info.failure_domain)
        assert desk.copy_after() is None
        desk.read_orders()
        assert desk.copy_after() is not None

    def test_no_copy_goes_to_a_slow_worker(self) -> None:
        desk = Desk()
        for name in WORKERS[1:]:
            desk.cell.boots[name].slow = name != "w7"
        copy = desk.copy_after()
        assert copy is not None and copy.boot.name == "w7"

    def test_copies_that_never_end_first_are_not_repeated_for_long(self) -> None:
        desk = Desk()
        policy = desk.cell.planner.copies
        for _ in range(6):
            policy.note_outcome(desk.run, False, desk.now_ms)
        assert desk.copy_after() is None
        desk.now_ms += 20_000
        assert desk.copy_after(500, percent_per_s=1) is not None


class TestEnds:
    """What becomes of the two runs."""

    def _both(self) -> tuple[Desk, Run, Run]:
        desk = Desk()
        copy = desk.copy_after()
        assert copy is not None
        return desk, desk.run, copy.run

    @pytest.mark.parametrize("copy_first", [False, True])
    def test_the_first_end_counts_and_the_other_run_is_stopped(self, copy_first: bool) -> None:
        desk, first, copy = self._both()
        winner, loser = (copy, first) if copy_first else (first, copy)
        (order,) = desk.end(winner, "done")
        assert isinstance(order, StopRun) and order.run is loser
        assert desk.cell.book.jobs[first.task.id.job_id].state == "completed"
        assert desk.end(loser, "stopped") == []
        assert not any(worker.runs for worker in desk.cell.boots.values())
        assert desk.cell.book.jobs[first.task.id.job_id].active_run_count == 0

    @pytest.mark.parametrize("copy_fails", [False, True])
    def test_the_other_run_goes_on_if_one_fails(self, copy_fails: bool) -> None:
        desk, first, copy = self._both()
        failed, other = (copy, first) if copy_fails else (first, copy)
        assert desk.end(failed, "failed") == []
        assert other.task.run is other and other.task.copy is None
        desk.end(other, "done")
        assert desk.cell.book.jobs[first.task.id.job_id].state == "completed"

    def test_a_refused_copy_is_tried_elsewhere(self) -> None:
        desk = Desk()
        desk.now_ms += 2_500
        listed = RunningTask(desk.run.task.id, desk.run.number, "", 35, 4_000)
        desk.answer_lease(desk.run.worker_id, listed)
        for name in WORKERS[1:]:
            desk.answer_lease(name)
        (order,) = start_orders(desk.plan())
        desk.cell.handle_start_reply(order.boot, order.run, "room", desk.now_ms)
        assert desk.run.task.run is desk.run
        desk.now_ms += 200
        desk.answer_lease(desk.run.worker_id, listed)
        for name in WORKERS[1:]:
            desk.answer_lease(name)
        (again,) = start_orders(desk.plan())
        assert again.boot is not order.boot

    def test_the_task_is_started_again_only_after_both_runs(self) -> None:
        desk, first, copy = self._both()
        assert desk.end(first, "failed") == []
        (order,) = start_orders(desk.end(copy, "failed"))
        assert order.run.task is first.task


def _speculative_job(speculative: bool = True) -> JobSpec:
    step = StepSpec(
        10,
        cpu_millis=2_000,
        memory_mb=2_000,
        estimate_ms=600,
        image="quote",
        speculative=speculative,
    )
    return JobSpec("quote", (step,))


def _play_days(seed: int, speculative: bool) -> tuple[CellSimulation, list[float]]:
    """Play jobs with stragglers; return how long each job took, in order."""
    took_s: list[float] = []

    async def script(sim: CellSimulation) -> None:
        sim.platform.faults.straggler_share = 0.03
        loop = asyncio.get_running_loop()

        async def follow(job: str) -> None:
            began = loop.time()
            await sim.submit(job, "fast", _speculative_job(speculative))
            assert await sim.wait_until_ended({job}, 60.0) == set()
            took_s.append(loop.time() - began)

        jobs = []
        for number in range(60):
            jobs.append(asyncio.ensure_future(follow(f"{number:016x}")))
            await asyncio.sleep(0.3)
        await asyncio.gather(*jobs)

    sim = run_simulation(CellSimulation(seed, worker_count=8), script)
    return sim, sorted(took_s)


class TestDays:
    """Jobs with stragglers on a simulated platform."""

    @pytest.mark.parametrize("seed", range(2))
    def test_jobs_with_stragglers_end_sooner(self, seed: int) -> None:
        plain, plain_s = _play_days(seed, speculative=False)
        copied, copied_s = _play_days(seed, speculative=True)
        assert plain.platform.violations == copied.platform.violations == []
        assert sum(plain.platform.copies.values()) == 0
        assert sum(copied.platform.copies.values()) > 0
        tenth = len(plain_s) // 10
        assert sum(copied_s[-tenth:]) < 0.8 * sum(plain_s[-tenth:])

    @pytest.mark.parametrize("seed", range(6))
    def test_changes_of_owners_and_workers_leave_at_most_two_runs(
        self, seed: int, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(test_owner_changes, "short_job", _speculative_job)

        async def script(sim: CellSimulation) -> None:
            sim.platform.faults.straggler_share = 0.1
            await test_owner_changes._change_owners_at_random(sim)

        sim = run_simulation(CellSimulation(seed, worker_count=8), script)
        assert sim.platform.violations == []


class TestCost:
    """The decisions of large cells."""

    def test_steps_without_copies_are_not_looked_at(self, monkeypatch: pytest.MonkeyPatch) -> None:
        desk = Desk(_spec(speculative=False, task_count=20))
        monkeypatch.setattr(RunTimes, "remaining_ms", lambda *args: pytest.fail("computed"))
        planner: Planner = desk.cell.planner
        assert planner.plan_copies(100, desk.now_ms + 5_000) == []
