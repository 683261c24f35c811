"""A small world in which filling work disturbs services, to play decisions against.

A serving task's tail is that of a queue: it grows with 1 / (1 - load), and to its own load, which
rises and falls, each filling image beside it adds in proportion to the processors that it uses. A
backlog outlasts its cause. One pair of images in two disturbs.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from greengagewood.internal.cells.fleet import Worker
from greengagewood.internal.cells.placement import choose_worker
from greengagewood.internal.cells.tails import TailModel
from greengagewood.internal.jobs.book import JobBook, Run, Task
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import Submission
from greengagewood.internal.ports import WorkerInfo

READING_MS = 460
TARGET_MS = 24
UNLOADED_SHARE = 1 / 6  # of the target, that an idle service needs
OWN_LOAD, SWING, PERIOD_MS = 0.48, 0.6, 10_000
BACKLOG_KEPT = 0.7  # of a tail, from one reading to the next
FILLING_MS = 2_500
SERVING_IMAGES = 4
FILLING_IMAGES = 6
QUEUE = Queue("q", "svc", 0, 2)


@dataclass
class Sharing:
    """Play one policy; `careful` decides by the model, else work goes wherever there is room."""

    seed: int
    careful: bool
    workers: int = 8
    model: TailModel = field(default_factory=TailModel)
    done: int = 0
    readings: int = 0
    over: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.now = 0
        self.book = JobBook()
        self.waiting: list[Task] = []
        self.left: dict[Run, float] = {}
        self.tails: dict[Run, float] = {}
        self.phase: dict[Run, float] = {}
        self.effects = {
            (f"s{s}", f"f{f}"): self.rng.choice((0.0, self.rng.uniform(2, 4)))
            for s in range(SERVING_IMAGES)
            for f in range(FILLING_IMAGES)
        }
        self.fleet = [self._worker(number) for number in range(self.workers)]

    def _worker(self, number: int) -> Worker:
        info = WorkerInfo(
            f"w{number}", "", "svc", "z", "r", frozenset(), 64_000, 256_000, 0, False, None, 1
        )
        worker = Worker(info, 0, adopted=True, enlisted=True)
        image = f"s{number % SERVING_IMAGES}"
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
            worker.add(run)
            self.tails[run] = 0.3
            self.phase[run] = self.rng.uniform(0, 6)
        return worker

    def _submit(self, spec: StepSpec) -> list[Task]:
        name = f"{len(self.book.jobs):016x}"
        self.book.add(Submission(name, QUEUE, JobSpec("", (spec,)), 0), None, False, self.now)
        return list(self.book.jobs[name].opened_tasks())

    def step(self) -> None:
        """Let one reading pass."""
        self.now += READING_MS
        if self.rng.random() < 0.7:
            image = f"f{self.rng.randrange(FILLING_IMAGES)}"
            spec = StepSpec(6, cpu_millis=6_000, memory_mb=8_000, best_effort=True, image=image)
            self.waiting.extend(self._submit(spec))
        for worker in self.fleet:
            self._work(worker)
            self._disturb(worker)
            if self.careful:
                self.model.learn(worker, self.now)
                for order in self.model.plan_pacing(worker, self.now):
                    order.run.speed_percent = order.percent
                    worker.reconsider_tails()
        self._place()

    def _work(self, worker: Worker) -> None:
        for run in list(worker.runs.values()):
            if not run.task.step.spec.best_effort:
                continue
            run.tail_ms_or_cpu_millis = run.task.step.spec.cpu_millis * run.speed_percent // 100
            self.left[run] -= READING_MS * run.speed_percent / 100
            if self.left[run] <= 0:
                run.transition("ended")
                worker.drop(run)
                self.book.detach_run(run, self.now)
                self.done += 1

    def _disturb(self, worker: Worker) -> None:
        uses: dict[str, float] = {}
        for run in worker.runs.values():
            if run.task.step.spec.best_effort:
                image = run.task.step.spec.image
                uses[image] = (
                    uses.get(image, 0.0) + run.tail_ms_or_cpu_millis / worker.info.cpu_millis
                )
        for run, tail in list(self.tails.items()):
            if run.worker_id != worker.name:
                continue
            image = run.task.step.spec.image
            own = OWN_LOAD * (
                1 + SWING * math.sin(math.tau * self.now / PERIOD_MS + self.phase[run])
            )
            load = own + sum(self.effects[image, f] * use for f, use in uses.items())
            settled = UNLOADED_SHARE / max(0.02, 1 - load)
            tail = max(settled, BACKLOG_KEPT * tail)
            self.tails[run] = tail
            run.tail_ms_or_cpu_millis = max(
                1, round(TARGET_MS * tail * math.exp(self.rng.gauss(0, 0.04)))
            )
            self.readings += 1
            self.over += run.tail_ms_or_cpu_millis > TARGET_MS

    def _place(self) -> None:
        for task in list(self.waiting):
            worker = self._choose(task)
            if worker is None:
                continue
            run = self.book.attach_run(task, 1, worker.name, "r", "running", self.now)
            if self.careful:
                run.speed_percent = self.model.admits(worker, task.step.spec).percent
            worker.add(run)
            self.left[run] = FILLING_MS
            self.waiting.remove(task)

    def _choose(self, task: Task) -> Worker | None:
        if self.careful:
            return choose_worker(task, self.fleet, self.model, False)
        free = [w for w in self.fleet if w.filling_millis < 36_000 and w.fits(task.step.spec)]
        return max(free, key=lambda w: -w.filling_millis, default=None)

    def play(self, seconds: float) -> Sharing:
        """Play for a time."""
        while self.now < seconds * 1000:
            self.step()
        return self
