"""Failed runs: whether the worker or the task is at fault, and what follows for either."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Callable
from itertools import pairwise

import msgspec
import pytest

from greengagewood.internal.attribution import FailureHistory
from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.orders import StartRun
from greengagewood.internal.jobs.book import Run, Task
from greengagewood.internal.jobs.model import JobSpec, StepSpec
from greengagewood.internal.jobs.records import Progress, Submission, TaskId, TaskProgress
from greengagewood.internal.ports import RunEnd, RunningTask
from tests.common.desk import QUEUE, CellHarness, start_orders
from tests.common.drive import CellSimulation, long_running_job, run_simulation, short_job

TICK_MS = 50
LONGEST_WAIT_MS = 3_000  # what the platform allows a job while there is room for it
LONGEST_RESTART_MS = 2_000 + 4 * TICK_MS
SHORT = StepSpec(6, cpu_millis=4_600, memory_mb=9_200, estimate_ms=640)
LASTING = StepSpec(
    12, cpu_millis=15_000, memory_mb=26_000, estimate_ms=400, long_running=True, image="watch"
)

# How a run ends and after how many ms; None if it goes on.
Fate = tuple[str, int] | None


def _percent(run: Run) -> int:
    return 100 if run.task.step.spec.long_running else 50


class _Service:
    """Workers whose runs end as a test says."""

    def __init__(self, workers: int, fate: Callable[[Run], Fate]) -> None:
        self.harness = CellHarness(*(f"w{number:02}" for number in range(workers)))
        self.fate = fate
        self.starts: list[tuple[int, StartRun]] = []
        self.failures: Counter[str] = Counter()  # by worker
        self.most_closed = 0  # workers that got no runs for some time, at any moment
        self.events: list[tuple[str, dict[str, object]]] = []
        self.harness.cell.on_event = lambda name, fields: self.events.append((name, fields))
        self._ends: list[tuple[int, str, Run]] = []
        self._sequences: Counter[str] = Counter()
        self._job_count = 0

    def submit(self, *steps: StepSpec) -> str:
        self._job_count += 1
        job = f"{self._job_count:016x}"
        self.harness.submit(*steps, job=job)
        return job

    def run_for(self, duration_ms: int, until: Callable[[], bool] = lambda: False) -> None:
        """Let time pass; stop early once a condition holds."""
        end_ms = self.harness.now_ms + duration_ms
        while self.harness.now_ms < end_ms and not until():
            self._tick()

    def _tick(self) -> None:
        harness = self.harness
        due = [end for end in self._ends if end[0] <= harness.now_ms and end[2].state == "running"]
        self._ends = [end for end in self._ends if end[0] > harness.now_ms]
        ends: dict[str, list[RunEnd]] = defaultdict(list)
        over = set()
        for _, how, run in due:
            name = run.worker_id
            self._sequences[name] += 1
            self.failures[name] += how == "failed"
            over.add(run)
            ends[name].append(RunEnd(self._sequences[name], run.task.id, run.number, how, ""))
        for name, boot in harness.cell.boots.items():
            listed = [
                RunningTask(run.task.id, run.number, "", _percent(run), 0)
                for run in boot.runs.values()
                if run.accepted_ms is not None and run not in over
            ]
            harness.answer_lease(name, *listed, ends=tuple(ends.get(name, ())))
        closed = sum(boot.backs_off(harness.now_ms) for boot in self.boots.values())
        self.most_closed = max(self.most_closed, closed)
        for order in start_orders(harness.plan(TICK_MS)):
            self.starts.append((harness.now_ms, order))
            harness.cell.handle_start_reply(order.boot, order.run, "", harness.now_ms)
            fate = self.fate(order.run)
            if fate is not None:
                self._ends.append((harness.now_ms + fate[1], fate[0], order.run))

    @property
    def boots(self) -> dict[str, Boot]:
        return self.harness.cell.boots

    def starts_of(self, job: str) -> dict[Task, list[int]]:
        """Return when each task of a job was started."""
        found: dict[Task, list[int]] = defaultdict(list)
        for started_ms, order in self.starts:
            if order.run.task.id.job_id == job:
                found[order.run.task].append(started_ms)
        return found


def _fail_if(is_failing: Callable[[Run], bool], seed: int = 7) -> Callable[[Run], Fate]:
    """Return a fate: some runs fail soon, the others succeed, or go on if they are long-running."""
    rng = random.Random(seed)

    def fate(run: Run) -> Fate:
        if is_failing(run):
            return "failed", rng.randint(20, 400)
        return None if run.task.step.spec.long_running else ("done", 640)

    return fate


class TestFailureHistories:
    """Guard against blaming every worker for work that fails everywhere, or none at all."""

    @staticmethod
    def _fail(history: FailureHistory[str], workers: str, now_ms: int = 5_000) -> list[bool]:
        return [history.note_failure(worker, 0, now_ms, 24, 1_000) for worker in workers]

    def test_failures_on_two_workers_show_nothing(self) -> None:
        history = FailureHistory[str]()
        assert not any(self._fail(history, "ababababab"))
        assert history.note_success("c", 0) == {}

    def test_failures_on_three_workers_show_that_the_work_is_broken(self) -> None:
        history = FailureHistory[str]()
        assert self._fail(history, "abcabca") == [False] * 5 + [True, False]

    def test_failures_before_any_run_could_succeed_show_nothing(self) -> None:
        assert not any(self._fail(FailureHistory[str](), "abcabcabc", now_ms=900))

    def test_fewer_workers_are_enough_if_there_are_no_more(self) -> None:
        history = FailureHistory[str]()
        for number in range(6):
            history.note_failure("a", 0, number * 1_000, 1, 1_000)
        assert history.is_broken

    def test_failures_of_broken_work_count_that_were_started_after_a_success(self) -> None:
        history = FailureHistory[str]()
        self._fail(history, "abcabca")
        for worker in "aabc":
            history.note_failure(worker, 6_000, 6_400, 24, 1_000)
        assert history.note_success("c", 5_500) == {"a": 2, "b": 1}
        assert not history.is_broken and history.note_success("d", 5_000) == {}


class TestTasksThatAlwaysFail:
    """Guard against jobs that fail everywhere and take the workers and room of all others."""

    def test_short_jobs_are_started_beside_long_running_tasks_that_always_fail(self) -> None:
        service = _Service(24, _fail_if(lambda run: run.task.step.spec.long_running))
        failing = [service.submit(LASTING) for _ in range(8)]
        waits = []
        for _ in range(40):
            job = service.submit(SHORT)
            begun_ms = service.harness.now_ms
            service.run_for(1_000)
            service.run_for(10_000, lambda job=job: bool(service.starts_of(job)))  # type: ignore[misc]
            waits.append(min(service.starts_of(job).values(), key=min)[0] - begun_ms)
        assert max(waits) < LONGEST_WAIT_MS
        assert all(service.starts_of(job) for job in failing)

    @pytest.mark.parametrize("workers", [1, 2, 24])
    def test_each_is_started_again_in_time_but_ever_more_rarely(self, workers: int) -> None:
        service = _Service(workers, _fail_if(lambda run: True))
        job = service.submit(LASTING)
        service.run_for(60_000)
        tasks = service.starts_of(job).values()
        assert tasks
        for started_ms in tasks:
            gaps = [later - earlier for earlier, later in pairwise(started_ms)]
            assert max(gaps) < LONGEST_RESTART_MS + 400
            assert len(started_ms) < 60_000 // 2_000 + 8

    def test_one_that_recovers_is_at_work_within_the_longest_delay(self) -> None:
        failing = True
        service = _Service(4, _fail_if(lambda run: failing))
        job = service.submit(LASTING)
        service.run_for(20_000)
        failing = False
        service.run_for(LONGEST_RESTART_MS + 400)
        tasks = service.harness.cell.book.jobs[job].occurrences[0][0].tasks
        assert all(task.run is not None for task in tasks)
        service.run_for(3_000)
        assert all(task.failed_starts == 0 for task in tasks)

    def test_the_first_failure_after_a_long_run_delays_nothing(self) -> None:
        fates = iter([("failed", 10_000), None])
        service = _Service(2, lambda run: next(fates))
        job = service.submit(StepSpec(1, cpu_millis=1_000, estimate_ms=400, long_running=True))
        service.run_for(12_000)
        (started_ms,) = service.starts_of(job).values()
        assert len(started_ms) == 2 and started_ms[1] - started_ms[0] < 10_000 + 4 * TICK_MS

    def test_no_room_is_kept_for_one_that_waits_for_its_next_start(self) -> None:
        wide = StepSpec(1, cpu_millis=50_000, memory_mb=1_000, estimate_ms=400, long_running=True)
        service = _Service(1, _fail_if(lambda run: run.task.step.spec.long_running))
        job = service.submit(wide)
        service.run_for(20_000)
        (task,) = service.starts_of(job)
        service.run_for(5_000, lambda: task.run is None and task.failed_starts > 4)
        short = service.submit(StepSpec(1, cpu_millis=40_000, estimate_ms=640))
        service.run_for(4 * TICK_MS)
        assert service.starts_of(short)

    def test_one_that_lost_a_sound_run_is_started_first(self) -> None:
        """Guards against sound tasks that wait behind those that fail at each start."""
        harness = CellHarness("w0")
        wide = StepSpec(1, cpu_millis=40_000, memory_mb=1_000, estimate_ms=400, long_running=True)
        for job, idle_ms in (("f" * 16, 5_000), ("5" * 16, 1_500)):
            harness.submit(wide, job=job)
            (task,) = harness.cell.book.jobs[job].occurrences[0][0].tasks
            task.last_run_ended_ms = task.idle_since_ms = harness.now_ms - idle_ms
            if job == "f" * 16:
                task.failed_starts = 9
                harness.cell.book.delay_restart(task, harness.now_ms)
        (first,) = harness.start(TICK_MS)
        assert first.run.task.id.job_id == "5" * 16

    def test_a_short_job_is_started_though_there_is_no_other_worker(self) -> None:
        service = _Service(1, _fail_if(lambda run: run.task.step.spec.long_running))
        service.submit(LASTING)
        service.run_for(30_000)
        for _ in range(10):
            job = service.submit(StepSpec(1, cpu_millis=4_600, estimate_ms=640))
            service.run_for(LONGEST_WAIT_MS)
            assert service.starts_of(job)

    @pytest.mark.parametrize("tasks", [1, 6, 36])
    def test_short_jobs_are_started_beside_ordinary_jobs_that_always_fail(self, tasks: int) -> None:
        broken = StepSpec(tasks, cpu_millis=30_000, estimate_ms=400)
        service = _Service(24, _fail_if(lambda run: run.task.step.spec.cpu_millis == 30_000))
        waits = []
        for _ in range(30):
            service.submit(broken)
            service.run_for(500)
            job, begun_ms = service.submit(SHORT), service.harness.now_ms
            service.run_for(500)
            service.run_for(10_000, lambda job=job: bool(service.starts_of(job)))  # type: ignore[misc]
            waits.append(min(service.starts_of(job).values(), key=min)[0] - begun_ms)
        assert max(waits) < LONGEST_WAIT_MS
        assert service.most_closed <= len(service.boots) // 2

    def test_a_job_whose_starts_are_refused_as_invalid_closes_workers_only_once(self) -> None:
        harness = CellHarness(*(f"w{number}" for number in range(6)))
        harness.submit(StepSpec(4, cpu_millis=1_000), job="1" * 16)
        refused_ms: dict[TaskId, list[int]] = defaultdict(list)
        for _ in range(400):
            harness.answer_leases()
            for order in start_orders(harness.plan(50)):
                refused_ms[order.run.task.id].append(harness.now_ms)
                harness.cell.handle_start_reply(order.boot, order.run, "invalid", harness.now_ms)
        assert all(boot.refusing.length_ms <= 1_000 for boot in harness.cell.boots.values())
        assert all(len(times) < 20 for times in refused_ms.values())
        harness.submit(StepSpec(1, cpu_millis=1_000), job="2" * 16)
        assert any(order.run.task.id.job_id == "2" * 16 for order in start_orders(harness.plan()))

    def test_tasks_that_stand_still_everywhere_are_not_counted_against_every_worker(self) -> None:
        service = _Service(6, lambda run: None)
        service.submit(StepSpec(6, cpu_millis=40_000, memory_mb=1_000, estimate_ms=640))
        service.run_for(9_000)
        blamed = sum(bool(boot.recent_outcomes) for boot in service.boots.values())
        assert blamed <= 1


class TestInstances:
    """Guard against the same from the callers' side, while the owner changes."""

    @pytest.mark.parametrize("changes", ["none", "kills"])
    def test_short_jobs_end_beside_jobs_that_always_fail(self, changes: str) -> None:
        async def script(sim: CellSimulation) -> None:
            failing = [f"f{number:015x}" for number in range(8)]
            sim.platform.faults.failing_jobs.update(failing)
            spec = long_running_job()
            step = msgspec.structs.replace(spec.steps[0], task_count=12)
            for job in failing:
                await sim.submit(job, "serve", JobSpec(spec.payload, (step,)))
            jobs = {f"{number:016x}" for number in range(30)}
            for number, job in enumerate(sorted(jobs)):
                await sim.submit(job, "fast", short_job())
                await asyncio.sleep(1)
                if changes == "none":  # of two steps, each of which may wait
                    limit_s = 2 * LONGEST_WAIT_MS / 1000
                    assert await sim.wait_until_ended({job}, limit_s) == set()
                if changes == "kills" and number % 10 == 5:
                    owner = sim.owner()
                    assert owner is not None
                    await sim.kill_instance(owner)
                    sim.start_instance(owner)
            assert await sim.wait_until_ended(jobs, 12) == set()
            assert sim.platform.violations == []
            starts = max(sim.platform.start_counts[job] for job in failing)
            assert 12 * 5 < starts < 12 * 60

        run_simulation(CellSimulation(11), script)


class TestWorkersThatFailAll:
    """Guard against a worker that fails all that it starts and goes on getting runs."""

    @pytest.mark.parametrize("grey", [1, 4])
    def test_it_gets_no_runs_after_a_few_failures(self, grey: int) -> None:
        names = {f"w{number:02}" for number in range(grey)}
        service = _Service(24, _fail_if(lambda run: run.worker_id in names))
        for _ in range(60):
            service.submit(SHORT)
            service.run_for(250)
        assert max(service.failures[name] for name in names) < 24
        shunned = {fields["worker"] for name, fields in service.events if name == "worker_shunned"}
        assert shunned == {name for name in names if service.failures[name] >= 3}

    def test_a_step_that_fails_on_two_of_them_counts_as_it_succeeds_elsewhere(self) -> None:
        names = {"w00", "w01"}
        service = _Service(6, _fail_if(lambda run: run.worker_id in names))
        for _ in range(20):
            service.submit(StepSpec(6, cpu_millis=30_000, memory_mb=1_000, estimate_ms=640))
            service.run_for(500)
        shunned = {fields["worker"] for name, fields in service.events if name == "worker_shunned"}
        assert shunned == names

    def test_a_long_running_step_that_is_at_work_elsewhere_shows_it(self) -> None:
        service = _Service(4, _fail_if(lambda run: run.worker_id == "w00"))
        for _ in range(6):
            service.submit(LASTING)
            service.run_for(1_000)
        service.run_for(4_000)
        shunned = {fields["worker"] for name, fields in service.events if name == "worker_shunned"}
        assert shunned <= {"w00"}


class TestChangesOfTheOwner:
    """Guard against an owner that starts all failing tasks at once, or makes them wait anew."""

    @staticmethod
    def _take_over(failed_starts: int, idle_ms: int | None) -> CellHarness:
        harness = CellHarness("w0", "w1", "w2", "w3")
        cell = harness.cell
        tasks = tuple(TaskProgress(0, 0, n, failed_starts=failed_starts) for n in range(12))
        submission = Submission("5" * 16, QUEUE, JobSpec("p", (LASTING,)), 0)
        if idle_ms is not None:
            for number in range(12):
                idle_since_ms = harness.now_ms - idle_ms
                cell.term.idle_since_ms[TaskId("5" * 16, 0, 0, number)] = idle_since_ms
        progress = Progress("5" * 16, "running", tasks=tasks)
        cell.add_job(submission, progress, False, harness.now_ms)
        return harness

    @staticmethod
    def _start_times(harness: CellHarness) -> list[int]:
        begun_ms = harness.now_ms
        started_ms = []
        while harness.now_ms < begun_ms + 4_000:
            harness.answer_leases()
            started_ms.extend([harness.now_ms - begun_ms] * len(harness.start(TICK_MS)))
        return started_ms

    def test_the_record_of_a_job_tells_which_tasks_fail_at_each_start(self) -> None:
        service = _Service(4, _fail_if(lambda run: True))
        job = service.submit(LASTING)
        book = service.harness.cell.book
        service.run_for(20_000)
        record = book.progress_record(book.jobs[job], 0)
        assert [task.failed_starts for task in record.tasks] == [5] * 12

    def test_they_are_not_started_all_at_once(self) -> None:
        started_ms = self._start_times(self._take_over(5, None))
        assert len(started_ms) == 12
        assert max(Counter(started_ms).values()) <= 3 and max(started_ms) < LONGEST_RESTART_MS

    def test_a_known_wait_goes_on(self) -> None:
        started_ms = self._start_times(self._take_over(5, 1_500))
        assert min(started_ms) > 400 and max(started_ms) < 500 + 6 * TICK_MS

    def test_others_do_not_wait(self) -> None:
        assert max(self._start_times(self._take_over(0, None))) < 4 * TICK_MS
