"""A backlog of best-effort jobs, played against the planner of a cell in virtual time.

Tasks run at full speed for the time that was estimated; nothing fails. Only the order in which
tasks are started decides how many jobs end in time.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.entry.overload import Refusal, decide_refusal
from greengagewood.internal.jobs.book import Job, Run, Step
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.ports import RunEnd, RunningTask
from tests.common.desk import QUEUE, CellHarness, start_orders

TICK_MS = 60
TASK_CPU_MILLIS = 7_000
LATE_SHARE, LATE_UNTIL = 0.15, 3.0  # what callers get from a job that ends late, and until when
FIXED_VALUE, VALUE_PER_CPU_S = 30.0, 1.0

Rank = Callable[[Planner, Step, dict[str, int], int], tuple]


def arrival_order(planner: Planner, step: Step, arrivals: dict[str, int], now_ms: int) -> tuple:
    """Rank steps by the arrival of their jobs, as a naive scheduler does."""
    return (step.job.arrived_ms, step.job.id)


@dataclass
class Backlog:
    """Jobs of two steps that arrive faster than the workers can run them."""

    seed: int
    load: float  # arriving work, as a multiple of what the workers can run
    seconds: float = 40.0
    rank: Rank | None = None  # replaces that of the planner
    owed: float = 0.0
    earned: float = 0.0
    in_time_count: int = 0
    _finish_ms: list[tuple[int, str, RunEnd]] = field(default_factory=list)

    def play(self) -> Backlog:
        """Play the arrivals, and the time in which the last of them can still earn."""
        rng = random.Random(self.seed)
        self.harness = harness = CellHarness("w0", "w1", "w2")
        planner = harness.cell.planner
        if self.rank is not None:
            rank = self.rank
            planner._rank = lambda step, arrivals, now: rank(planner, step, arrivals, now)  # type: ignore[method-assign]
        end_ms = harness.now_ms + int(self.seconds * 1000)
        slots = len(harness.worker_infos) * (64_000 // TASK_CPU_MILLIS)
        due_cpu_s = 0.0
        number = 0
        while harness.now_ms < end_ms + 20_000:
            if harness.now_ms < end_ms:
                due_cpu_s += self.load * slots * TASK_CPU_MILLIS / 1000 * TICK_MS / 1000
            while due_cpu_s > 0:
                due_cpu_s -= self._submit(rng, number)
                number += 1
            self._step()
        return self

    def _submit(self, rng: random.Random, number: int) -> float:
        steps = [
            StepSpec(
                rng.randint(2, 14),
                cpu_millis=TASK_CPU_MILLIS,
                memory_mb=1,
                estimate_ms=rng.randint(400, 2_800),
                checkpointing=True,
                best_effort=True,
                image=f"f{number % 3}",
                depends_on=depends_on,
            )
            for depends_on in ((), (0,))
        ]
        self.harness.submit(*steps, job=f"{number:016x}")
        self.owed += self._value(steps)
        return self._cpu_s(steps)

    @staticmethod
    def _cpu_s(steps: Sequence[StepSpec]) -> float:
        return sum(s.task_count * s.cpu_millis / 1000 * s.estimate_ms / 1000 for s in steps)

    def _value(self, steps: Sequence[StepSpec]) -> float:
        return FIXED_VALUE + VALUE_PER_CPU_S * self._cpu_s(steps)

    def _step(self) -> None:
        harness = self.harness
        for start in start_orders(harness.plan(TICK_MS)):
            harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms)
            task = start.run.task
            end = RunEnd(0, task.id, start.run.number, "done", "")
            self._finish_ms.append(
                (harness.now_ms + task.step.spec.estimate_ms, start.boot.name, end)
            )
        finished = [entry for entry in self._finish_ms if entry[0] <= harness.now_ms]
        self._finish_ms = [entry for entry in self._finish_ms if entry[0] > harness.now_ms]
        for _, name, end in finished:
            sequence = harness.cell.boots[name].last_end_sequence + 1
            job = harness.cell.book.jobs[end.task_id.job_id]
            was_final = job.is_final
            harness.answer_lease(name, ends=(replace(end, sequence=sequence),))
            if job.is_final and not was_final:
                self._note_ended(job)
        for name in harness.worker_infos:
            harness.cell.boots[name].last_answer_ms = harness.now_ms

    def _note_ended(self, job: Job) -> None:
        age_ms = self.harness.now_ms - job.arrived_ms
        objective_ms = QUEUE.slack_factor * max(job.critical_paths_ms) + QUEUE.target_ms
        value = self._value(job.submission.spec.steps)
        if age_ms <= objective_ms:
            self.in_time_count += 1
            self.earned += value
        elif age_ms <= LATE_UNTIL * objective_ms:
            self.earned += LATE_SHARE * value


LIST_INTERVAL_MS = 480  # between two lists of a worker's runs, which show their CPU use


@dataclass
class SharedBacklog(Backlog):
    """A backlog on workers that share their CPUs among all their runs, and list every run.

    A service is committed `service_cpu_millis` of each worker, and uses 0.6 of it. Jobs that starve
    get a run each while services are committed less than half of the CPUs.
    """

    service_cpu_millis: int = 0
    _left_ms: dict[Run, float] = field(default_factory=dict)  # of runs, at full speed
    _stepped_ms: int = 0
    _begun_ms: int = 0

    @property
    def worker_cpu_millis(self) -> int:
        """Return the CPU of a worker that its service leaves idle."""
        return int(64_000 - 0.6 * self.service_cpu_millis)

    def play(self) -> SharedBacklog:
        """Play the arrivals, and the time in which the last of them can still earn."""
        rng = random.Random(self.seed)
        self.begin()
        end_ms = self.harness.now_ms + int(self.seconds * 1000)
        due_cpu_s = 0.0
        number = 0
        while self.harness.now_ms < end_ms + 20_000:
            if self.harness.now_ms < end_ms:
                due_cpu_s += self.load * self.capacity_cpu_s(TICK_MS)
            while due_cpu_s > 0:
                due_cpu_s -= self._submit(rng, number)
                number += 1
            self._step()
        return self

    def begin(self) -> None:
        """Start the services on workers of their own."""
        self.harness = harness = CellHarness("w0", "w1", "w2")
        if self.service_cpu_millis:
            spec = StepSpec(
                len(harness.worker_infos),
                cpu_millis=self.service_cpu_millis,
                long_running=True,
                image="service",
                max_per_instance=1,
            )
            harness.submit(spec, job="f" * 16)
            while harness.cell.book.waiting_steps:
                self._step()
        self._begun_ms = harness.now_ms
        if self.rank is not None:
            rank, planner = self.rank, harness.cell.planner
            planner._rank = lambda step, arrivals, now: rank(planner, step, arrivals, now)  # type: ignore[method-assign]

    @property
    def elapsed_ms(self) -> int:
        """Return the time since jobs began to arrive."""
        return self.harness.now_ms - self._begun_ms

    def capacity_cpu_s(self, elapsed_ms: float) -> float:
        """Return the best-effort work that all workers can do in a time."""
        return len(self.harness.worker_infos) * self.worker_cpu_millis * elapsed_ms / 1e6

    def _step(self) -> None:
        harness = self.harness
        for start in start_orders(harness.plan(TICK_MS)):
            harness.cell.handle_start_reply(start.boot, start.run, "", harness.now_ms)
            if start.run.task.step.spec.best_effort:
                self._left_ms[start.run] = start.run.task.step.spec.estimate_ms
        elapsed_ms = harness.now_ms - self._stepped_ms if self._stepped_ms else TICK_MS
        self._stepped_ms = harness.now_ms
        ended: list[tuple[str, Run]] = []
        for name, worker in harness.cell.boots.items():
            speed = self._speed(name)
            for run in [run for run in worker.runs.values() if run in self._left_ms]:
                self._left_ms[run] -= speed * elapsed_ms
                if self._left_ms[run] <= 0:
                    del self._left_ms[run]
                    ended.append((name, run))
        for name, run in ended:
            worker = harness.cell.boots[name]
            job = run.task.step.job
            was_final = job.is_final
            end = RunEnd(worker.last_end_sequence + 1, run.task.id, run.number, "done", "")
            harness.answer_lease(name, *self._listed(name), ends=(end,))
            if job.is_final and not was_final:
                self._note_ended(job)
        for name in harness.worker_infos:
            harness.cell.boots[name].last_answer_ms = harness.now_ms

    def _speed(self, name: str) -> float:
        """Return the share of their full speed at which a worker's runs share its CPUs."""
        worker = self.harness.cell.boots[name]
        runs = [run for run in worker.runs.values() if run in self._left_ms]
        needed = sum(run.task.step.spec.cpu_millis for run in runs)
        return min(1.0, self.worker_cpu_millis / max(1, needed))

    def _listed(self, name: str) -> list[RunningTask]:
        """Return the runs of a worker as it lists them."""
        listed = []
        speed = self._speed(name)
        for run in self.harness.cell.boots[name].runs.values():
            spec = run.task.step.spec
            if spec.long_running:
                listed.append(RunningTask(run.task.id, run.number, "", 100, 0))
            if run not in self._left_ms:
                continue  # it serves, or has just ended
            percent = int(100 * (1 - self._left_ms[run] / spec.estimate_ms))
            cpu_millis = int(speed * spec.cpu_millis)
            cpu_millis = cpu_millis * min(500, self.harness.now_ms - run.started_ms) // 500
            listed.append(RunningTask(run.task.id, run.number, "", percent, cpu_millis))
        return listed


@dataclass
class OfferedJob:
    """A job that a caller offers, and what becomes of it."""

    id: str
    steps: tuple[StepSpec, ...]
    queue: Queue
    value: float
    offered_ms: int
    attempts: int = 0
    accepted_ms: int | None = None
    ended_ms: int | None = None
    returns_ms: int | None = None  # when the caller tries again

    @property
    def objective_ms(self) -> float:
        critical_path_ms = sum(step.estimate_ms for step in self.steps)
        return self.queue.slack_factor * critical_path_ms + self.queue.target_ms

    @property
    def fate(self) -> str:
        """Return refused, in_time, late or worthless, by the age since it was accepted."""
        if self.accepted_ms is None:
            return "refused"
        if self.ended_ms is None:
            return "worthless"
        age_ms = self.ended_ms - self.accepted_ms
        if age_ms <= self.objective_ms:
            return "in_time"
        return "late" if age_ms <= LATE_UNTIL * self.objective_ms else "worthless"

    @property
    def earned(self) -> float:
        return {"in_time": 1.0, "late": LATE_SHARE}.get(self.fate, 0.0) * self.value


@dataclass
class Overload(SharedBacklog):
    """A backlog whose workers list CPU use, and whose callers may be refused and return.

    `load` may change over time: it is that of the first `seconds`, and `later_load` holds for as
    long again. With `refuses`, jobs are refused by the forecasts in the records of the owner, which
    are read `read_delay_ms` after they are stored.
    """

    refuses: bool = True
    later_load: float = 0.0
    read_delay_ms: int = 700
    max_attempts: int = 4
    jobs: dict[str, OfferedJob] = field(default_factory=dict)
    refusals: list[tuple[int, str, Refusal]] = field(default_factory=list)
    _next_list_ms: int = 0

    def play(self) -> Overload:
        """Play both loads, and the time in which the last jobs can still earn."""
        rng = random.Random(self.seed)
        self.begin()
        harness = self.harness
        begin_ms = harness.now_ms
        phase_ms = int(self.seconds * 1000)
        due_cpu_s = 0.0
        while harness.now_ms < begin_ms + 2 * phase_ms + 30_000:
            since_ms = harness.now_ms - begin_ms
            load = (self.load, self.later_load, 0.0)[min(2, since_ms // phase_ms)]
            due_cpu_s += load * self.capacity_cpu_s(TICK_MS)
            while due_cpu_s > 0:
                job = self._draw(rng, len(self.jobs))
                self.jobs[job.id] = job
                due_cpu_s -= self._cpu_s(job.steps)
                self.owed += job.value
                self._offer(job)
            for job in list(self.jobs.values()):
                if job.returns_ms is not None and harness.now_ms >= job.returns_ms:
                    self._offer(job)
            self._step()
            self._list_runs()
        self.earned = sum(job.earned for job in self.jobs.values())
        return self

    def fates(self) -> dict[str, int]:
        """Return how many jobs had each fate."""
        return dict(Counter(job.fate for job in self.jobs.values()))

    def _draw(self, rng: random.Random, number: int) -> OfferedJob:
        # One job in ten is large: the order by value leaves these behind.
        scale = 4 if rng.random() < 0.1 else 1
        steps = tuple(
            StepSpec(
                scale * rng.randint(2, 14),
                cpu_millis=TASK_CPU_MILLIS,
                memory_mb=1,
                estimate_ms=rng.randint(400, 2_800),
                checkpointing=True,
                best_effort=True,
                image=f"f{number % 3}",
                depends_on=depends_on,
            )
            for depends_on in ((), (0,))
        )
        value = self._value(steps)
        return OfferedJob(f"{number:016x}", steps, QUEUE, value, self.harness.now_ms)

    def _offer(self, job: OfferedJob) -> None:
        job.returns_ms = None
        job.attempts += 1
        now_ms = self.harness.now_ms
        refusal = self._decide(job, now_ms) if self.refuses else None
        if refusal is None:
            job.accepted_ms = now_ms
            self.harness.submit(*job.steps, job=job.id)
            return
        self.refusals.append((now_ms, job.id, refusal))
        if job.attempts < self.max_attempts:
            job.returns_ms = now_ms + 1000 * refusal.retry_after_s

    def _decide(self, job: OfferedJob, now_ms: int) -> Refusal | None:
        read = [f for f in self.harness.forecasts if f[0] <= now_ms - self.read_delay_ms]
        if not read:
            return None
        stored_ms, forecast = read[-1]
        spec = JobSpec("p", job.steps)
        return decide_refusal(job.id, job.queue, spec, [QUEUE], forecast, now_ms - stored_ms)

    def _list_runs(self) -> None:
        harness = self.harness
        if harness.now_ms < self._next_list_ms:
            return
        self._next_list_ms = harness.now_ms + LIST_INTERVAL_MS
        for name in harness.worker_infos:
            harness.answer_lease(name, *self._listed(name))

    def _note_ended(self, job: Job) -> None:
        if job.id in self.jobs:  # it was not submitted by a test
            self.jobs[job.id].ended_ms = self.harness.now_ms
