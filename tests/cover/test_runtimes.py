"""Run times and speeds of workers, learned from run ends in virtual time."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from greengagewood.internal.cells.cell import Cell
from greengagewood.internal.cells.runtimes import LogQuantiles, RunTimes
from greengagewood.internal.jobs.book import JobBook, Run
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import Progress, Submission, TaskId
from greengagewood.internal.ports import RunEnd, RunningTask
from tests.common.desk import LIMITS, CellHarness, make_worker_info

QUEUE = Queue("q", "svc", 0, 3, 2.0, 1000)
LIST_INTERVAL_MS = 230
READING_INTERVAL_MS = 500  # a worker's CPU reading changes this often
STRAGGLER_SHARE, STRAGGLER_FACTOR = 0.03, 7.0

Share = Callable[[float], float]  # of its full speed at which a run goes on, by its age in ms


@dataclass
class Lab:
    """Runs of tasks on workers of given speeds, with the lists and ends that an owner gets."""

    run_times: RunTimes = field(default_factory=RunTimes)
    now_ms: int = 100_000
    job_count: int = 0
    speeds: dict[str, float] = field(default_factory=dict)  # of workers, 1 if missing

    def new_run(
        self, worker: str, estimate_ms: int = 1_000, best_effort: bool = False, image: str = "i"
    ) -> Run:
        """Return a run that has just been accepted, of a new job."""
        self.job_count += 1
        job_id = f"{self.job_count:016x}"
        spec = StepSpec(
            1, cpu_millis=2_000, estimate_ms=estimate_ms, image=image, best_effort=best_effort
        )
        book = JobBook()
        book.add(Submission(job_id, QUEUE, JobSpec("p", (spec,)), 0), None, False, self.now_ms)
        task = book.find_task(TaskId(job_id, 0, 0, 0))
        assert task is not None
        run = book.attach_run(task, 1, worker, "r", "running", self.now_ms)
        run.note_accepted(self.now_ms)
        return run

    def play(
        self,
        run: Run,
        work_ms: float,
        share: Share = lambda age: 1.0,
        until_ms: int | None = None,
        checkpoint_percent: int = 0,
    ) -> int:
        """Play a run to its end, or to an age; return its age."""
        speed = self.speeds.get(run.worker_id, 1.0)
        accepted_ms = self.now_ms
        done_ms = work_ms * checkpoint_percent / 100
        age = 0
        used_ms = [0.0]  # CPU time used by each age, as a share of the CPU that it requests
        while done_ms < work_ms:
            age += 1
            done_ms += share(age) * speed
            used_ms.append(used_ms[-1] + share(age))
            if age % LIST_INTERVAL_MS == 0:
                read = age - age % READING_INTERVAL_MS
                used = (used_ms[read] - used_ms[max(0, read - READING_INTERVAL_MS)]) / 500
                self.now_ms = accepted_ms + age
                run.tail_ms_or_cpu_millis = round(used * run.task.step.spec.cpu_millis)
                run.progress_percent = min(99, int(100 * done_ms / work_ms))
                self.run_times.note_listed(run, self.now_ms)
                if until_ms is not None and age >= until_ms:
                    return age
        self.now_ms = accepted_ms + age
        self.run_times.note_end(run, self.now_ms)
        return age

    def end_runs(self, count: int, worker: str, work_ms: float = 1_000, **run: object) -> None:
        """Play runs of different jobs to their ends."""
        for _ in range(count):
            self.play(self.new_run(worker, **run), work_ms)  # type: ignore[arg-type]

    def end_on_all(self, count: int, workers: int, work_ms: float = 1_000) -> None:
        """Play runs at the same time on each of the workers."""
        for _ in range(count):
            start_ms = self.now_ms
            for number in range(workers):
                self.now_ms = start_ms
                self.end_runs(1, f"w{number}", work_ms)

    def expected_ms(self, estimate_ms: int = 1_000, image: str = "i") -> int:
        return self.run_times.expected_ms("q", image, estimate_ms)

    def speed(self, worker: str) -> float:
        return self.run_times.worker_speed(worker, self.now_ms)


def _factor(rng: random.Random) -> float:
    return STRAGGLER_FACTOR if rng.random() < STRAGGLER_SHARE else 1.0


class TestQuantiles:
    """Quantiles of a decaying histogram."""

    def test_without_samples_the_ratio_is_one(self) -> None:
        assert LogQuantiles().quantile(0.5) == pytest.approx(0.0, abs=0.001)

    @pytest.mark.parametrize("ratio", [0.02, 0.5, 1.0, 3.0, 40.0])
    def test_samples_outweigh_the_prior(self, ratio: float) -> None:
        quantiles = LogQuantiles()
        for _ in range(40):
            quantiles.add(math.log(ratio))
        assert math.exp(quantiles.quantile(0.5)) == pytest.approx(ratio, rel=0.06)

    def test_ratios_beyond_the_range_are_bounded(self) -> None:
        quantiles = LogQuantiles()
        for _ in range(40):
            quantiles.add(20.0)
            quantiles.add(-20.0)
        assert quantiles.quantile(0.99) <= 4.1
        assert quantiles.quantile(0.01) >= -4.1

    def test_quantiles_of_spread_samples(self) -> None:
        rng = random.Random(1)
        quantiles = LogQuantiles()
        for _ in range(400):
            quantiles.add(math.log(rng.uniform(0.5, 1.5)))
        for share in (0.1, 0.5, 0.9):
            assert math.exp(quantiles.quantile(share)) == pytest.approx(0.5 + share, rel=0.12)


class TestExpectedTimes:
    """Estimates of callers that are wrong."""

    def test_a_new_owner_expects_what_callers_estimate(self) -> None:
        lab = Lab()
        assert lab.expected_ms(1_700) == 1_700
        assert lab.speed("w0") == 1.0
        assert lab.run_times.remaining_ms(lab.new_run("w0", 1_700), lab.now_ms) == 1_700

    @pytest.mark.parametrize("factor", [0.5, 1.5, 2.0])
    def test_estimates_off_by_half_are_corrected_after_some_ends(self, factor: float) -> None:
        lab = Lab()
        lab.end_on_all(5, 4, work_ms=1_000 * factor)
        assert lab.expected_ms(2_000) == pytest.approx(2_000 * factor, rel=0.1)
        assert lab.expected_ms(2_000, image="other") == 2_000

    def test_estimates_that_scatter_by_half_change_little(self) -> None:
        lab, rng = Lab(), random.Random(2)
        for number in range(200):
            lab.end_runs(1, f"w{number % 8}", 1_000 * rng.uniform(0.5, 1.5))
        assert lab.expected_ms() == pytest.approx(1_000, rel=0.12)
        assert all(lab.speed(f"w{number}") > 0.67 for number in range(8))

    def test_stragglers_change_the_high_quantiles_alone(self) -> None:
        lab, rng = Lab(), random.Random(3)
        for number in range(300):
            lab.end_runs(1, f"w{number % 8}", 1_000 * _factor(rng))
        assert lab.expected_ms() == pytest.approx(1_000, rel=0.1)
        assert lab.run_times.quantile_ms("q", "i", 1_000, 0.995) > 5_000

    def test_a_change_of_run_times_is_learned(self) -> None:
        lab = Lab()
        lab.end_on_all(20, 4, work_ms=1_000)
        lab.end_on_all(60, 4, work_ms=2_000)
        assert lab.expected_ms() == pytest.approx(2_000, rel=0.15)
        assert lab.speed("w0") == pytest.approx(1.0, rel=0.05)

    def test_a_run_from_a_checkpoint_counts_for_its_whole_work(self) -> None:
        lab = Lab()
        for number in range(20):
            run = lab.new_run(f"w{number % 4}", 4_000)
            run.resumed = True
            lab.play(run, 4_000, checkpoint_percent=50)
        assert lab.expected_ms(4_000) == pytest.approx(4_000, rel=0.1)

    def test_a_run_resumed_near_its_end_teaches_nothing(self) -> None:
        lab = Lab()
        for _ in range(20):
            run = lab.new_run("w0", 4_000)
            run.resumed = True
            lab.play(run, 9_000, checkpoint_percent=90)
        assert lab.expected_ms(4_000) == 4_000


class TestThrottledRuns:
    """Best-effort runs at a speed limit, or on little idle CPU."""

    @pytest.mark.parametrize("limit", [0.1, 0.3, 0.6, 1.0])
    def test_their_work_does_not_depend_on_their_limit(self, limit: float) -> None:
        lab = Lab()
        for number in range(20):
            run = lab.new_run(f"w{number % 4}", 2_700, best_effort=True)
            run.speed_percent = round(100 * limit)
            age = lab.play(run, 2_700, lambda age: limit)
            assert age == pytest.approx(2_700 / limit, rel=0.01)
        assert lab.expected_ms(2_700) == pytest.approx(2_700, rel=0.15)

    def test_their_work_does_not_depend_on_idle_cpu(self) -> None:
        lab = Lab()
        for number in range(24):
            run = lab.new_run(f"w{number % 4}", 2_700, best_effort=True)
            lab.play(run, 2_700, lambda age, n=number: 1.0 if (age // 1_100 + n) % 3 else 0.1)
        assert lab.expected_ms(2_700) == pytest.approx(2_700, rel=0.2)

    def test_a_limit_makes_no_worker_slow(self) -> None:
        lab = Lab()
        lab.end_on_all(5, 6)
        for _ in range(6):
            run = lab.new_run("w0", best_effort=True)
            run.speed_percent = 30
            lab.play(run, 1_000, lambda age: 0.3)
        assert lab.speed("w0") > 0.8

    def test_the_time_left_follows_the_limit(self) -> None:
        lab = Lab()
        run = lab.new_run("w0", 4_000, best_effort=True)
        lab.play(run, 4_000, until_ms=1_600)
        at_full_speed = lab.run_times.remaining_ms(run, lab.now_ms)
        run.speed_percent = 50
        at_half_speed = lab.run_times.remaining_ms(run, lab.now_ms)
        assert at_full_speed == pytest.approx(2_400, rel=0.15)
        assert at_half_speed == pytest.approx(4_800, rel=0.15)


class TestTimeLeft:
    """The remaining time of a running task."""

    @pytest.mark.parametrize("estimate_ms", [500, 1_000, 2_000])
    def test_progress_corrects_a_wrong_estimate(self, estimate_ms: int) -> None:
        lab = Lab()
        run = lab.new_run("w0", estimate_ms)
        age = lab.play(run, 1_000, until_ms=500)
        assert lab.run_times.remaining_ms(run, lab.now_ms) == pytest.approx(1_000 - age, rel=0.25)

    @pytest.mark.parametrize("best_effort", [False, True])
    def test_a_straggler_shows_within_two_seconds(self, best_effort: bool) -> None:
        lab = Lab()
        lab.end_on_all(5, 4, work_ms=1_900)
        run = lab.new_run("w0", 1_900, best_effort=best_effort)
        age = lab.play(run, 7 * 1_900, until_ms=2_000)
        left_ms = lab.run_times.remaining_ms(run, lab.now_ms)
        assert left_ms is not None and left_ms > 0.7 * (7 * 1_900 - age)

    def test_an_ordinary_run_is_no_straggler(self) -> None:
        lab = Lab()
        for until_ms in (230, 460):
            run = lab.new_run("w0", 1_900)
            lab.play(run, 1_900, until_ms=until_ms)
            left_ms = lab.run_times.remaining_ms(run, lab.now_ms)
            assert left_ms is not None and left_ms < 1_900

    def test_time_since_the_last_list_counts(self) -> None:
        lab = Lab()
        run = lab.new_run("w0")
        lab.play(run, 1_000, until_ms=460)
        left_ms = lab.run_times.remaining_ms(run, lab.now_ms)
        assert left_ms is not None
        assert lab.run_times.remaining_ms(run, lab.now_ms + 200) == left_ms - 200
        assert lab.run_times.remaining_ms(run, lab.now_ms + 20_000) == 0

    def test_a_run_taken_over_from_an_earlier_owner(self) -> None:
        lab = Lab()
        run = lab.new_run("w0", 10_000)
        run.resumed = True
        age = lab.play(run, 20_000, checkpoint_percent=30, until_ms=3_000)
        left_ms = lab.run_times.remaining_ms(run, lab.now_ms)
        assert left_ms == pytest.approx(14_000 - age, rel=0.2)

    def test_a_long_running_task_has_none(self) -> None:
        lab = Lab()
        book = JobBook()
        spec = JobSpec("p", (StepSpec(1, long_running=True),))
        book.add(Submission("0" * 16, QUEUE, spec, 0), None, False, 0)
        task = book.find_task(TaskId("0" * 16, 0, 0, 0))
        assert task is not None
        run = book.attach_run(task, 1, "w0", "r", "running", 0)
        assert lab.run_times.remaining_ms(run, 1_000) is None


class TestSpeeds:
    """Workers that turn slow and recover."""

    def test_a_worker_that_turns_slow_is_noticed_and_comes_back(self) -> None:
        lab = Lab()
        lab.end_on_all(6, 8)
        lab.speeds["w0"] = 0.5
        lab.end_runs(3, "w0")
        assert lab.speed("w0") == pytest.approx(0.5, rel=0.1)
        assert lab.run_times.slow_workers([f"w{n}" for n in range(8)], lab.now_ms) == {"w0"}
        lab.speeds["w0"] = 1.0
        lab.end_runs(3, "w0")
        assert lab.speed("w0") == pytest.approx(1.0, rel=0.1)

    def test_a_slow_worker_without_further_ends_counts_as_sound_again(self) -> None:
        lab = Lab()
        lab.end_on_all(6, 8)
        lab.speeds["w0"] = 0.4
        lab.end_runs(4, "w0")
        assert lab.speed("w0") < 0.5
        lab.now_ms += 16_000
        assert lab.speed("w0") == pytest.approx(1.0, rel=0.1)

    def test_speeds_are_graded(self) -> None:
        lab = Lab()
        lab.end_on_all(6, 8)
        lab.speeds.update(w1=0.85, w2=0.6, w3=0.3)
        lab.end_on_all(5, 8)
        speeds = [lab.speed(worker) for worker in ("w0", "w1", "w2", "w3")]
        assert speeds == pytest.approx([1.0, 0.85, 0.6, 0.3], rel=0.1)
        workers = [f"w{n}" for n in range(8)]
        assert lab.run_times.slow_workers(workers, lab.now_ms) == {"w2", "w3"}

    def test_two_stragglers_make_no_worker_slow(self) -> None:
        lab = Lab()
        lab.end_on_all(6, 8)
        lab.end_runs(2, "w0", 7_000)
        assert lab.speed("w0") > 0.9

    def test_one_wrong_estimate_makes_no_worker_slow(self) -> None:
        lab = Lab()
        lab.end_on_all(6, 8)
        lab.end_runs(2, "w0")
        first = lab.new_run("w0")
        siblings = []
        for number in range(6):  # tasks of one step, all packed onto one worker
            run = lab.new_run("w0")
            run.task.id = TaskId(first.task.id.job_id, 0, 0, number)
            siblings.append(run)
        start_ms = lab.now_ms
        for run in siblings:
            lab.now_ms = start_ms
            lab.play(run, 2_000)
        assert lab.speed("w0") > 0.9

    def test_a_slow_worker_does_not_make_tasks_longer(self) -> None:
        lab = Lab()
        lab.end_on_all(6, 8)
        lab.speeds["w0"] = 0.3
        lab.end_runs(60, "w0")
        assert lab.expected_ms() == pytest.approx(1_000, rel=0.25)

    def test_a_wrong_estimate_does_not_make_the_first_worker_slow(self) -> None:
        lab = Lab()
        lab.end_runs(20, "w0", 2_500)
        assert lab.speed("w0") == pytest.approx(1.0, rel=0.05)
        assert lab.expected_ms() == pytest.approx(2_500, rel=0.1)

    def test_no_more_than_a_quarter_of_a_service_is_slow(self) -> None:
        lab = Lab()
        lab.end_on_all(6, 8)
        lab.speeds.update(w0=0.3, w1=0.35, w2=0.4)
        lab.end_on_all(5, 8)
        workers = [f"w{n}" for n in range(8)]
        assert lab.run_times.slow_workers(workers, lab.now_ms) == {"w0", "w1"}
        assert lab.run_times.slow_workers(["w0", "w7", "w6"], lab.now_ms) == set()
        assert lab.run_times.slow_workers([], lab.now_ms) == set()

    @pytest.mark.parametrize("workers", [2, 3, 5, 24])
    def test_thousands_of_ends_of_one_step_leave_the_speeds_as_they_are(self, workers: int) -> None:
        """Guards against errors that add up with each end, until every plan fails."""
        lab = Lab()
        rng = random.Random(workers)
        job = JobSpec("p", (StepSpec(8_000, cpu_millis=50, estimate_ms=700, image="i"),))
        book = JobBook()
        book.add(Submission("a" * 16, QUEUE, job, 0), None, False, lab.now_ms)
        for number in range(8_000):
            if number % 400 == 0:
                lab.now_ms += 300
            task = book.find_task(TaskId("a" * 16, 0, 0, number))
            assert task is not None
            worker = f"w{rng.randrange(workers)}"
            work_ms = 1_000 * rng.uniform(0.85, 1.15)
            run = book.attach_run(task, 1, worker, "r", "running", lab.now_ms)
            run.note_accepted(lab.now_ms - round(work_ms))
            lab.run_times.note_end(run, lab.now_ms)
        speeds = [lab.speed(f"w{number}") for number in range(workers)]
        assert min(speeds) > 0.6 and max(speeds) < 1.6
        assert lab.expected_ms(700) == pytest.approx(1_000, rel=0.25)
        other = lab.new_run("w0")
        assert lab.run_times.remaining_ms(other, lab.now_ms) is not None

    def test_no_speed_is_beyond_the_limits(self) -> None:
        lab = Lab()
        lab.end_on_all(6, 8)
        for _ in range(5):
            run = lab.new_run("w0")
            run.note_accepted(lab.now_ms - 3_600_000)
            lab.run_times.note_end(run, lab.now_ms)
        assert 0.01 < lab.speed("w0") < 0.05
        assert lab.run_times.remaining_ms(lab.new_run("w0"), lab.now_ms) is not None

    def test_a_reboot_or_departure_is_forgotten(self) -> None:
        lab = Lab()
        lab.end_on_all(6, 8)
        lab.speeds["w0"] = 0.4
        lab.end_runs(4, "w0")
        lab.run_times.forget_worker("w0")
        assert lab.speed("w0") == 1.0


class TestCells:
    """What an owner does with run times and speeds."""

    WORKERS = tuple(f"w{number}" for number in range(8))

    def _run_job(
        self, harness: CellHarness, number: int, slow_worker: str, work_ms: int = 1_000
    ) -> str:
        """Run a job of one task to its end; return the worker."""
        harness.read_orders()  # as often as the directory
        harness.submit(
            StepSpec(1, cpu_millis=1_000, estimate_ms=1_000, image="i"), job=f"{number:016x}"
        )
        (order,) = harness.start()
        name = order.boot.name
        harness.now_ms += 2 * work_ms if name == slow_worker else work_ms
        sequence = order.boot.last_end_sequence + 1
        end = RunEnd(sequence, order.run.task.id, order.run.number, "done", "")
        for other in self.WORKERS:
            harness.answer_lease(other, ends=(end,) if other == name else ())
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        harness.store_changes()
        return name

    def test_short_tasks_go_to_a_slow_worker_last_until_it_recovers(self) -> None:
        harness = CellHarness(*self.WORKERS)
        events = []
        harness.cell.on_event = lambda event, fields: events.append((event, fields))
        Lab(harness.cell.planner.run_times, harness.now_ms - 90_000).end_on_all(6, 8)
        slow = self._run_job(harness, 0, "")
        hosts = [self._run_job(harness, number, slow) for number in range(1, 12)]
        assert hosts == [slow] * 3 + ["w1"] * 8  # of equal workers, the first one
        assert any(event == "worker_slow" for event, _ in events)
        harness.now_ms += 16_000
        for name in self.WORKERS:
            harness.answer_lease(name)
        harness.cell.set_workers(harness.worker_infos, harness.now_ms)
        assert any(event == "worker_fast_again" for event, _ in events)
        assert self._run_job(harness, 50, "") == slow

    def test_a_slow_worker_is_used_if_no_other_fits(self) -> None:
        harness = CellHarness("w0", "w1", "w2", "w3")
        harness.cell.boots["w0"].slow = True
        harness.submit(StepSpec(4, cpu_millis=40_000))
        assert {order.boot.name for order in harness.start()} == {"w0", "w1", "w2", "w3"}

    def test_best_effort_tasks_do_not_avoid_a_slow_worker(self) -> None:
        harness = CellHarness("w0", "w1", "w2", "w3")
        harness.cell.boots["w0"].slow = True
        harness.submit(StepSpec(4, cpu_millis=40_000, best_effort=True, image="i"))
        assert "w0" in {order.boot.name for order in harness.start(100)}

    def test_a_new_owner_counts_an_adopted_run_from_its_first_list(self) -> None:
        now_ms, job = 100_000, "0" * 16
        cell = Cell(LIMITS, 2, now_ms)
        spec = StepSpec(1, cpu_millis=1_000, estimate_ms=10_000)
        submission = Submission(job, QUEUE, JobSpec("p", (spec,)), 0)
        cell.add_job(submission, Progress(job, "running"), False, now_ms)
        harness = CellHarness()
        harness.cell, harness.worker_infos = cell, {"w0": make_worker_info("w0")}
        cell.set_workers(harness.worker_infos, now_ms)
        task_id = TaskId(job, 0, 0, 0)
        for percent in (40, 50, 60):
            harness.answer_lease("w0", RunningTask(task_id, 1, "", percent, 1_000))
            harness.now_ms += 1_000
        run = cell.boots["w0"].runs[(cell.book.jobs[job].occurrences[0][0].tasks[0], 1)]
        left_ms = cell.planner.run_times.remaining_ms(run, harness.now_ms)
        assert left_ms == pytest.approx(3_000, rel=0.15)
        harness.now_ms += 3_000
        harness.answer_lease("w0", ends=(RunEnd(1, task_id, 1, "done", ""),))
        assert cell.planner.run_times.expected_ms("q", "", 10_000) == pytest.approx(10_000, rel=0.1)


class TestStuckRuns:
    """Runs without progress, and those that need long for one percent."""

    def _stops_after(self, harness: CellHarness, spec: StepSpec, silent_ms: int) -> bool:
        harness.submit(spec)
        (order,) = harness.start(100)
        orders = []
        for _ in range(silent_ms // 100):
            harness.now_ms += 100
            listed = RunningTask(order.run.task.id, order.run.number, "", 10, 900)
            harness.answer_lease("w0", listed)
            orders += harness.plan(0)
        return any(getattr(order, "reason", "") == "stands_still" for order in orders)

    def test_a_stuck_run_is_stopped_as_before(self) -> None:
        for best_effort, limit_ms in ((False, 2_500), (True, 5_000)):
            spec = StepSpec(1, cpu_millis=1_000, estimate_ms=1_000, best_effort=best_effort)
            assert not self._stops_after(CellHarness("w0"), spec, limit_ms - 200)
            assert self._stops_after(CellHarness("w0"), spec, limit_ms + 700)

    def test_a_long_best_effort_run_may_need_longer_for_one_percent(self) -> None:
        spec = StepSpec(1, cpu_millis=1_000, estimate_ms=100_000, best_effort=True)
        assert not self._stops_after(CellHarness("w0"), spec, 9_500)
        assert self._stops_after(CellHarness("w0"), spec, 11_000)

    def test_an_image_that_takes_longer_than_estimated_gets_longer(self) -> None:
        harness = CellHarness("w0")
        lab = Lab(harness.cell.planner.run_times)
        lab.end_on_all(10, 2, work_ms=5_000)
        spec = StepSpec(1, cpu_millis=1_000, estimate_ms=4_000, image="i")
        assert not self._stops_after(harness, spec, 4_500)
        assert self._stops_after(CellHarness("w0"), spec, 4_500)
