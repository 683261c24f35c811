"""A backlog of best-effort jobs, played against the planner of a cell in virtual time.

Tasks run at full speed for the time that was estimated; nothing fails. Only the order in which
tasks are started decides how many jobs end in time.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.jobs.book import Job, Step
from greengagewood.internal.jobs.model import StepSpec
from greengagewood.internal.ports import RunEnd
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
            harness.cell.handle_start_reply(start.worker, start.run, "", harness.now_ms)
            task = start.run.task
            end = RunEnd(0, task.id, start.run.number, "done", "")
            self._finish_ms.append(
                (harness.now_ms + task.step.spec.estimate_ms, start.worker.name, end)
            )
        finished = [entry for entry in self._finish_ms if entry[0] <= harness.now_ms]
        self._finish_ms = [entry for entry in self._finish_ms if entry[0] > harness.now_ms]
        for _, name, end in finished:
            sequence = harness.cell.workers[name].last_end_sequence + 1
            job = harness.cell.book.jobs[end.task_id.job_id]
            was_final = job.is_final
            harness.answer_lease(name, ends=(replace(end, sequence=sequence),))
            if job.is_final and not was_final:
                self._note_ended(job)
        for name in harness.worker_infos:
            harness.cell.workers[name].last_answer_ms = harness.now_ms

    def _note_ended(self, job: Job) -> None:
        age_ms = self.harness.now_ms - job.arrived_ms
        objective_ms = QUEUE.slack_factor * max(job.critical_paths_ms) + QUEUE.target_ms
        value = self._value(job.submission.spec.steps)
        if age_ms <= objective_ms:
            self.in_time_count += 1
            self.earned += value
        elif age_ms <= LATE_UNTIL * objective_ms:
            self.earned += LATE_SHARE * value
