"""Simulate one cell in virtual time, to compare placement policies.

The decision code is the product's; workers are stand-ins, and the service is simulated. There is no
network, and schedulers and the log do not fail. The service's latency on a worker is lognormal.
Batch tasks on the same worker raise it by an interference table that the product does not know.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from greengagewood.internal.document import Document, parse_document
from greengagewood.internal.interference import LatencySample
from greengagewood.internal.joblog import LoggedJob
from greengagewood.internal.messages import WorkerEntry
from greengagewood.internal.native.workers import WorkerUnreachable
from greengagewood.internal.owner import Append, CellOwner, ClusterView, Command, Send
from greengagewood.internal.placement import Resources
from greengagewood.internal.records import JobSubmitted
from greengagewood.internal.standin.settings import WorkerSettings
from greengagewood.internal.standin.worker import StandinWorker
from greengagewood.internal.tailguard import BatchAttempt, Mitigation

__all__ = ["Lab", "Measurements", "Policy", "Scenario", "percentile"]

TICK_MS = 500
BASE_LATENCY_MS = 20.0
LATENCY_SIGMA = 0.35
SAMPLES_PER_WORKER_S = 8
BASE_LOAD = 0.4
WORKER_CPUS = 64
MIN_WAITING_TASKS = 20
LOG_DELAY_FROM_S = 10  # by then the cell has an owner that is placing
ORACLE_MAX_SLOWDOWN = 1.25

# For each batch class, by how much a task that uses the whole worker raises ln of the latency, at a
# load of 0.5.
InterferenceTable = dict[str, float]
Policy = Callable[["Lab"], None]


@dataclass(frozen=True)
class Scenario:
    """Describe the load and the faults of a run.

    `table`, `load` and `cpu_usage_factor` are functions of the virtual time in seconds. Tasks use
    `cpu_usage_factor` times the processors that they request, and run for `run_time_factor` times
    the run time that is passed to `Lab.submit`.
    """

    name: str
    table: Callable[[float], InterferenceTable]
    load: Callable[[float], float] = lambda t: BASE_LOAD
    duration_s: int = 300
    cpu_usage_factor: Callable[[float], float] = lambda t: 1.0
    run_time_factor: float = 1.0
    failing_workers: int = 0
    domain_lost_at_s: float = math.inf
    cancel_at_s: float = math.inf
    log_delay_ms: int = 0


@dataclass
class Measurements:
    """Hold the measurements of one run.

    `grid_job_s` is how long a job of 300 tasks took that is submitted after 60 s.
    """

    latencies_ms: list[float] = field(default_factory=list)
    cpu_seconds: float = 0.0
    starts: int = 0
    evictions: int = 0
    wasted_attempts: int = 0
    urgent_waits_s: list[float] = field(default_factory=list)
    grid_job_s: float = math.inf
    overcommitted_workers: int = 0


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by the nearest-rank method, or NaN without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else math.nan


def lab_document(user: str) -> Document:
    """Return a user's document reduced to one cell, with quotas too high to be reached."""
    raw: dict[str, Any] = yaml.safe_load(Path(f"examples/{user}.yaml").read_text(encoding="utf-8"))
    domain = raw["failure_domains"][0]
    raw["cells"] = {"lab": {"failure_domain": domain, "racks": ["r1"]}}
    raw["batch_classes"] = {
        "urgent": {"urgent": True},
        "light": {},
        "medium": {},
        "heavy": {},
        "new": {},
    }
    team = {"cpus": 10**6, "memory_mb": 10**8, "accelerators": 100}
    raw["teams"] = dict.fromkeys(raw["teams"], team)
    return parse_document(yaml.safe_dump(raw)).unwrap()


class Lab:
    """Run one scenario under one policy."""

    def __init__(self, user: str, scenario: Scenario, policy: Policy, seed: int = 1) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now_ms = 1_000_000
        self.start_ms = self.now_ms
        self.document = lab_document(user)
        (self.service,) = self.document.services
        self.owner = CellOwner("lab", "s1", 1, lambda: self.now_ms)
        self.owner.set_document(self.document)
        self.workers = {f"w{n:02}": self._create_worker(f"w{n:02}") for n in range(24)}
        reserve = self.document.services[self.service].reserve
        reserved = Resources(reserve.cpus, reserve.memory_mb, reserve.accelerators)
        self.owner.set_workers(
            [WorkerEntry(n, "d", "r1", n, False) for n in self.workers],
            dict.fromkeys(self.workers, reserved),
        )
        self.owner.set_services({n: {self.service} for n in self.workers})
        for worker in self.workers.values():
            worker.reserved = reserved
        for name in sorted(self.workers)[: scenario.failing_workers]:
            self.workers[name].fail_every_task = True
        self.jobs: dict[str, LoggedJob] = {}
        self.submitted_at_ms: dict[str, int] = {}
        self.measurements = Measurements()
        self._offset = 0
        self._pending_appends: list[tuple[int, Append]] = []
        self._job_count = 0
        policy(self)

    def _create_worker(self, name: str) -> StandinWorker:
        cfg = WorkerSettings(name, "d", "r1", WORKER_CPUS, 250_000)
        return StandinWorker(cfg, 3000, random.Random(self.rng.random()), lambda: self.now_ms)

    @property
    def elapsed_s(self) -> float:
        """Return the virtual time since the start."""
        return (self.now_ms - self.start_ms) / 1000

    # The service and its latency.

    def ln_slowdown(self, name: str, table: InterferenceTable) -> float:
        """Return ln of the service's slowdown on a worker, relative to running alone there."""
        load = self.scenario.load(self.elapsed_s)
        usage = self.scenario.cpu_usage_factor(self.elapsed_s)
        slowdown = 0.0
        for running in self.workers[name]._running.values():
            share = running.start.cpus * running.speed * usage / WORKER_CPUS
            slowdown += table.get(running.start.batch_class, 0.0) * share
        return slowdown * (0.5 + load)

    def is_lost(self, name: str) -> bool:
        """Tell whether a worker is lost; w00 to w07 are lost together, as one failure domain."""
        return self.elapsed_s >= self.scenario.domain_lost_at_s and name < "w08"

    def _serve_requests(self) -> None:
        table = self.scenario.table(self.elapsed_s)
        slots = self.document.services[self.service].slots
        alive = [name for name in self.workers if not self.is_lost(name)]
        slowdowns = {name: self.ln_slowdown(name, table) for name in alive}
        weights = {name: math.exp(-slowdowns[name]) for name in alive}
        total = sum(weights.values())
        rate = (
            self.scenario.load(self.elapsed_s) * slots * 1000 / BASE_LATENCY_MS * len(self.workers)
        )
        for name in alive:
            count = max(1, int(rate * weights[name] / total))
            mean = math.log(BASE_LATENCY_MS) + slowdowns[name]
            noise = self.rng.gauss(0.0, LATENCY_SIGMA / math.sqrt(count))
            square = (mean + noise) ** 2 + LATENCY_SIGMA**2
            sample = LatencySample(
                self.service, name, count, count * (mean + noise), count * square
            )
            self.owner.note_latency(sample)
            for _ in range(
                max(1, round(SAMPLES_PER_WORKER_S * weights[name] / total * len(alive)))
            ):
                latency = math.exp(mean + self.rng.gauss(0.0, LATENCY_SIGMA))
                self.measurements.latencies_ms.append(latency)

    # Jobs.

    def submit(self, batch_class: str, tasks: int, cpus: int, run_ms: int) -> str:
        """Submit a job whose tasks actually run for `run_ms` times the `run_time_factor`."""
        self._job_count += 1
        name = f"j{self._job_count}"
        actual_ms = int(run_ms * self.scenario.run_time_factor)
        spec = JobSubmitted(
            name, "a", next(iter(self.document.teams)), batch_class, "lab", tasks, cpus, 1000, 0,
            actual_ms, "", self.now_ms,
        )  # fmt: skip
        self.jobs[name] = LoggedJob(spec)
        self.submitted_at_ms[name] = self.now_ms
        self.owner.set_job(self.jobs[name])
        return name

    def _refill_waiting_jobs(self) -> None:
        """Keep tasks of every class waiting, so that only the policy limits the throughput."""
        waiting = dict.fromkeys(("light", "medium", "heavy"), 0)
        if self.elapsed_s > self.scenario.duration_s / 2 and "unseen" in self.scenario.name:
            waiting["new"] = 0
        for job in self.owner.book.waiting_jobs:
            name = job.logged.spec.batch_class
            waiting[name] = waiting.get(name, 0) + len(job.pending)
        for name, count in waiting.items():
            if count < MIN_WAITING_TASKS and name != "urgent":
                self.submit(name, MIN_WAITING_TASKS, self.rng.choice([2, 4, 4, 8]), 20_000)
        if self.now_ms % 15_000 == 0:
            self.submit("urgent", 2, 8, 5000)

    def _cancel_half_of_jobs(self) -> None:
        names = [n for n in self.owner.book.jobs if self.rng.random() < 0.5]
        for name in names:
            self.jobs[name].cancelled = True
            self.owner.set_job(self.jobs[name])

    # Time.

    def run(self) -> Measurements:
        """Run the scenario to its end and return the measurements."""
        grid_job = ""
        cancelled = False
        while self.elapsed_s < self.scenario.duration_s:
            self.now_ms += TICK_MS
            for name, worker in self.workers.items():
                if not self.is_lost(name):
                    worker.tick()
            if self.now_ms % 1000 == 0:
                self._serve_requests()
            self._refill_waiting_jobs()
            if not grid_job and self.elapsed_s >= 60:
                grid_job = self.submit("light", 300, 4, 20_000)
            if not cancelled and self.elapsed_s >= self.scenario.cancel_at_s:
                self._cancel_half_of_jobs()
                cancelled = True
            self._run_plan_rounds()
            if grid_job in self.owner.log.state.ended and math.isinf(self.measurements.grid_job_s):
                self.measurements.grid_job_s = self.elapsed_s - 60
        return self._collect()

    def _run_plan_rounds(self) -> None:
        for _ in range(3):  # a reply may lead to further commands within the same tick
            cluster_view = ClusterView(self.now_ms, ("s1",), False, {}, ())
            commands = self.owner.plan(self.now_ms, cluster_view)
            for command in commands:
                self._carry_out(command)
            due = [append for at, append in self._pending_appends if at <= self.now_ms]
            self._pending_appends = [
                entry for entry in self._pending_appends if entry[0] > self.now_ms
            ]
            for append in due:
                self._append(append)
            if not commands:
                return

    def _carry_out(self, command: Command) -> None:
        if isinstance(command, Append):
            is_slow = self.elapsed_s >= LOG_DELAY_FROM_S
            delay_ms = self.scenario.log_delay_ms if is_slow else 0
            self._pending_appends.append((self.now_ms + delay_ms, command))
            return
        assert isinstance(command, Send)
        try:
            if self.is_lost(command.worker):
                raise WorkerUnreachable("lost")
            reply = self.workers[command.worker].exchange(command.exchange)
        except WorkerUnreachable:
            self.owner.exchange_failed(command)
            return
        self.owner.exchange_answered(command, reply, self.now_ms)

    def _append(self, append: Append) -> None:
        self._offset += 1
        self.owner.replay(self._offset, append.record, self.now_ms)
        self.owner.append_finished(append.record, True)

    def _collect(self) -> Measurements:
        measurements = self.measurements
        for worker in self.workers.values():
            started_ms: dict[tuple[str, int], int] = {}
            for event in worker.audit:
                key = (event.task, event.attempt)
                if event.event == "start":
                    started_ms[key] = event.at_ms
                    measurements.starts += 1
                    self._record_urgent_wait(event.task, event.batch_class, event.at_ms)
                elif event.event == "done":
                    spec = self.jobs[event.task.partition("/")[0]].spec
                    measurements.cpu_seconds += spec.cpus * spec.run_ms / 1000
                elif event.event == "checkpointed":
                    measurements.evictions += 1
                elif event.event in ("failed", "lapsed", "refused"):
                    measurements.wasted_attempts += 1
            if not worker.max_committed.fits_within(Resources(WORKER_CPUS, 250_000, 0)):
                measurements.overcommitted_workers += 1
        return measurements

    def _record_urgent_wait(self, task: str, batch_class: str, at_ms: int) -> None:
        if batch_class == "urgent":
            waited_ms = at_ms - self.submitted_at_ms[task.partition("/")[0]]
            self.measurements.urgent_waits_s.append(waited_ms / 1000)


# Policies.


def ours(lab: Lab) -> None:
    """Leave the product's decisions as they are."""


def naive(lab: Lab) -> None:
    """Place wherever a task fits, and never evict or throttle for a service."""
    controller: Any = lab.owner.tail_controller
    controller.placement_cost = lambda *args: 0.0
    controller.plan_mitigations = lambda *args: []


def never_share(lab: Lab) -> None:
    """Place no batch task on a worker of the service, which gives the lowest tail latency."""
    controller: Any = lab.owner.tail_controller
    controller.placement_cost = lambda *args: None
    controller.plan_mitigations = lambda *args: []


def oracle(lab: Lab) -> None:
    """Know the interference table: place up to a slowdown limit, and evict what exceeds it."""
    controller: Any = lab.owner.tail_controller

    def predicted_slowdown(worker: str, batch_class: str, more_cpus: int) -> float:
        table = lab.scenario.table(lab.elapsed_s)
        load = lab.scenario.load(lab.elapsed_s)
        usage = lab.scenario.cpu_usage_factor(lab.elapsed_s)
        pending = lab.owner.workers[worker].to_start.values()
        shares = [(s.batch_class, s.cpus) for s in pending] + [(batch_class, more_cpus)]
        more = sum(table.get(name, 0.0) * cpus * usage / WORKER_CPUS for name, cpus in shares)
        return lab.ln_slowdown(worker, table) + more * (0.5 + load)

    def placement_cost(
        worker: str, residents: list[BatchAttempt], cpus: int, batch_class: str, more_cpus: int
    ) -> float | None:
        predicted = predicted_slowdown(worker, batch_class, more_cpus)
        return predicted if predicted <= math.log(ORACLE_MAX_SLOWDOWN) else None

    def plan_mitigations(
        worker: str, residents: list[BatchAttempt], cpus: int, now_ms: int
    ) -> list[Mitigation]:
        table = lab.scenario.table(lab.elapsed_s)
        excess = lab.ln_slowdown(worker, table) - math.log(ORACLE_MAX_SLOWDOWN)
        mitigations = []
        worst_first = sorted(residents, key=lambda r: -table.get(r.batch_class, 0.0) * r.cpus)
        for resident in worst_first:
            if excess <= 0:
                break
            mitigations.append(Mitigation(resident.task, resident.attempt, 0.0))
            load = 0.5 + lab.scenario.load(lab.elapsed_s)
            excess -= table.get(resident.batch_class, 0.0) * resident.cpus / WORKER_CPUS * load
        return mitigations

    controller.placement_cost = placement_cost
    controller.plan_mitigations = plan_mitigations
