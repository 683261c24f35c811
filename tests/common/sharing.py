"""Simulation of best-effort tasks that disturb services on the same workers.

A serving task's tail latency is that of a queue: it grows with 1 / (1 - load). The task's own load
rises and falls, and each best-effort image beside it adds to the load in proportion to the CPUs
that it uses. A backlog outlasts its cause. About every second pair of images disturbs.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from greengagewood.internal.cells.boots import Boot, Worker
from greengagewood.internal.cells.placement import choose_worker
from greengagewood.internal.cells.tails import TailLatencyModel
from greengagewood.internal.jobs.book import JobBook, Run, Task
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import Submission
from greengagewood.internal.ports import WorkerInfo

READING_INTERVAL_MS = 460
TARGET_MS = 24
IDLE_TAIL = 1 / 6  # tail latency of an idle service, as a share of the target
OWN_LOAD, OWN_LOAD_AMPLITUDE = 0.48, 0.6
BACKLOG_DECAY = 0.7  # share of a tail latency that is left at the next reading
BEST_EFFORT_WORK_MS = 2_500  # at full speed
SERVING_IMAGE_COUNT = 4
BEST_EFFORT_IMAGE_COUNT = 6
QUEUE = Queue("q", "svc", 0, 2)


@dataclass
class ColocationSimulation:
    """Simulate one policy.

    With `use_model`, the model decides on best-effort tasks; otherwise they start wherever they
    fit. `relative_tails` are tail latencies divided by the target.
    """

    seed: int
    use_model: bool
    worker_count: int = 8
    load_period_ms: int = 10_000  # in which the load of a service rises and falls
    tasks_per_job: int = 6
    jobs_per_reading: float = 0.7  # mean, up to 2
    effects_range: tuple[float, float] = (2, 4)  # of the images that disturb
    model: TailLatencyModel = field(default_factory=TailLatencyModel)
    completed_count: int = 0
    reading_count: int = 0
    over_target_count: int = 0
    job_times_ms: list[int] = field(default_factory=list)  # of best-effort jobs, to their last end

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.now_ms = 0
        self.book = JobBook()
        self.waiting_tasks: list[Task] = []
        self.remaining_ms: dict[Run, float] = {}
        self.relative_tails: dict[Run, float] = {}
        self.phases: dict[Run, float] = {}
        self.effects = {
            (f"s{s}", f"f{f}"): self.rng.choice((0.0, self.rng.uniform(*self.effects_range)))
            for s in range(SERVING_IMAGE_COUNT)
            for f in range(BEST_EFFORT_IMAGE_COUNT)
        }
        self.workers = [self._worker(number) for number in range(self.worker_count)]

    def _worker(self, number: int) -> Boot:
        info = WorkerInfo(
            f"w{number}", "", "svc", "z", "r", frozenset(), 64_000, 256_000, 0, False, None, 1
        )
        worker = Boot(info, 0, Worker(registered=True), "listed", adopted_ms=0)
        image = f"s{number % SERVING_IMAGE_COUNT}"
        spec = StepSpec(
            3,
            cpu_millis=15_000,
            memory_mb=20_000,
            long_running=True,
            image=image,
            tail_target_ms=24,
        )
        for task in self._submit(spec):
            run = self.book.attach_run(task, 1, info.worker_id, "r", "running", 0)
            run.progress_percent = 100
            worker.add_run(run)
            self.relative_tails[run] = 0.3
            self.phases[run] = self.rng.uniform(0, 6)
        return worker

    def _submit(self, spec: StepSpec) -> list[Task]:
        name = f"{len(self.book.jobs):016x}"
        self.book.add(Submission(name, QUEUE, JobSpec("", (spec,)), 0), None, False, self.now_ms)
        return list(self.book.jobs[name].opened_tasks())

    def step(self) -> None:
        """Simulate the time up to the next reading."""
        self.now_ms += READING_INTERVAL_MS
        for _ in range(math.ceil(self.jobs_per_reading)):
            if self.rng.random() < self.jobs_per_reading / math.ceil(self.jobs_per_reading):
                image = f"f{self.rng.randrange(BEST_EFFORT_IMAGE_COUNT)}"
                spec = StepSpec(
                    self.tasks_per_job,
                    cpu_millis=6_000,
                    memory_mb=8_000,
                    best_effort=True,
                    image=image,
                )
                self.waiting_tasks.extend(self._submit(spec))
        for worker in self.workers:
            self._run_best_effort(worker)
            self._update_tails(worker)
            if self.use_model:
                self.model.learn(worker, self.now_ms)
                for order in self.model.plan_speed_limits(
                    worker, self.now_ms, lambda run: -run.started_ms
                ):
                    order.run.speed_percent = order.speed_percent
                    worker.invalidate_slack()
        self._place()

    def _run_best_effort(self, worker: Boot) -> None:
        for run in list(worker.runs.values()):
            if not run.task.step.spec.best_effort:
                continue
            run.tail_ms_or_cpu_millis = run.task.step.spec.cpu_millis * run.speed_percent // 100
            self.remaining_ms[run] -= READING_INTERVAL_MS * run.speed_percent / 100
            if self.remaining_ms[run] <= 0:
                run.transition("ended")
                worker.remove_run(run)
                self.book.detach_run(run, self.now_ms)
                self.completed_count += 1
                job = run.task.step.job
                if all(t.last_run_ended_ms and not t.run for t in job.opened_tasks()):
                    self.job_times_ms.append(self.now_ms - job.arrived_ms)

    def _update_tails(self, worker: Boot) -> None:
        cpu_shares: dict[str, float] = {}
        for run in worker.runs.values():
            if run.task.step.spec.best_effort:
                image = run.task.step.spec.image
                cpu_shares[image] = (
                    cpu_shares.get(image, 0.0) + run.tail_ms_or_cpu_millis / worker.info.cpu_millis
                )
        for run, tail in list(self.relative_tails.items()):
            if run.worker_id != worker.name:
                continue
            image = run.task.step.spec.image
            own_load = OWN_LOAD * (
                1
                + OWN_LOAD_AMPLITUDE
                * math.sin(math.tau * self.now_ms / self.load_period_ms + self.phases[run])
            )
            load = own_load + sum(self.effects[image, f] * share for f, share in cpu_shares.items())
            steady_tail = IDLE_TAIL / max(0.02, 1 - load)
            tail = max(steady_tail, BACKLOG_DECAY * tail)
            self.relative_tails[run] = tail
            run.tail_ms_or_cpu_millis = max(
                1, round(TARGET_MS * tail * math.exp(self.rng.gauss(0, 0.04)))
            )
            self.reading_count += 1
            self.over_target_count += run.tail_ms_or_cpu_millis > TARGET_MS

    def _place(self) -> None:
        if self.use_model:
            self.model.count_undisturbed(self.workers)
        for task in list(self.waiting_tasks):
            worker = self._choose(task)
            if worker is None:
                continue
            run = self.book.attach_run(task, 1, worker.name, "r", "running", self.now_ms)
            if self.use_model:
                run.speed_percent = self.model.admission_for(worker, task.step.spec).speed_percent
            worker.add_run(run)
            self.remaining_ms[run] = BEST_EFFORT_WORK_MS
            self.waiting_tasks.remove(task)

    def _choose(self, task: Task) -> Boot | None:
        if self.use_model:
            return choose_worker(task, self.workers, self.model, False)
        free = [
            w for w in self.workers if w.best_effort_cpu_millis < 36_000 and w.fits(task.step.spec)
        ]
        return max(free, key=lambda w: -w.best_effort_cpu_millis, default=None)

    def simulate(self, seconds: float) -> ColocationSimulation:
        """Simulate a number of seconds."""
        while self.now_ms < seconds * 1000:
            self.step()
        return self
