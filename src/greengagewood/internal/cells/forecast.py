"""Forecast when a best-effort job would end, from the work that is done and the work before it.

This module does no I/O and reads no clock. It answers an overload: callers offer more best-effort
work than the workers carry out, so that some jobs end too late to be worth anything. The owner of
the cell observes what is carried out, what waits and what arrives, and publishes it while a service
is saturated. Any instance can then tell when a job of its caller would end.

The order of the planner decides which work goes before a job: higher priorities, and within a
priority jobs of a higher value per CPU millisecond (see `value`). Work is published in bands of
that value. Work of a job's own band is not counted as before it, so the forecast is rather early.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.placement import idle_cpu_millis
from greengagewood.internal.cells.planner import Planner
from greengagewood.internal.cells.value import LATE_VALUE, full_value, objective_of
from greengagewood.internal.jobs.book import (
    Job,
    JobBook,
    Run,
    Step,
    Task,
    critical_path_lengths,
    total_work_cpu_ms,
)
from greengagewood.internal.jobs.model import JobSpec, Queue, StepSpec
from greengagewood.internal.jobs.records import (
    DensityBand,
    Forecast,
    QueueBacklog,
    ServiceForecast,
)

__all__ = ["JobForecast", "LoadObserver", "density_band", "forecast_job", "is_forecastable"]

SAMPLE_INTERVAL_MS = 250
PUBLISH_INTERVAL_MS = 1_000
CPU_SMOOTHING_MS = 4_000
FLOW_SMOOTHING_MS = 5_000  # of the starts and waits that tell whether a service is saturated
ARRIVAL_SMOOTHING_MS = 10_000  # a few jobs arrive each second, of very different sizes
MIN_OBSERVATION_MS = 3_000  # before the first forecast of a term
OVERDUE_AFTER_MS = 1_000  # far longer than a plan takes to place a task that fits
# After a plan that left tasks waiting because no more starts may be under way: then the owner, not
# the workers, is what the tasks wait for.
SHORT_PLAN_MEMORY_MS = 2_000
SETTLED_AFTER_MS = 900  # workers list the CPU use of the last half second, twice a second
BANDS_PER_OCTAVE = 2
# Share of the arrivals that is expected to go on: a wave of them may end before the job does.
LASTING_ARRIVALS = 0.75
# By which the forecast end must exceed the objective of a job that gets late: with 1.25, one in ten
# of the jobs that the loads of tests/cover/test_overload.py refuse would have earned something.
LATE_MARGIN = 2.0
LONGEST_FORECAST_MS = 600_000
# Callers choose the sizes of their jobs, and a stored number has at most 64 bits.
MAX_STORED_AMOUNT = 2**53


def density_band(density: float) -> int:
    """Return the band of a value per CPU millisecond; higher bands go first."""
    return math.floor(BANDS_PER_OCTAVE * math.log2(max(density, 1e-12)))


def is_forecastable(spec: JobSpec) -> bool:
    """Return whether a job is best-effort as a whole, and due at once."""
    return not (spec.occurrences or spec.first_due_ms) and all(map(_is_observed, spec.steps))


def _is_observed(spec: StepSpec) -> bool:
    return spec.best_effort and not spec.long_running


@dataclass(frozen=True, slots=True)
class JobForecast:
    """Forecast for a job that arrives now.

    `backlog_cpu_ms` is the unfinished work that goes before the job, `spare_cpu_millis` the CPU
    that is left after work that arrives later and goes before it.
    """

    end_ms: int
    in_time_after_ms: int  # when the job could arrive to be in time, if nothing changes
    objective_ms: int
    backlog_cpu_ms: int
    spare_cpu_millis: int


def forecast_job(service: ServiceForecast, queue: Queue, spec: JobSpec) -> JobForecast | None:
    """Return the forecast for a job, or None if nothing of its queue waits."""
    backlog = next((held for held in service.queues if held.queue == queue.name), None)
    if backlog is None:
        return None
    cpu_ms = total_work_cpu_ms(spec.steps)
    value = full_value(cpu_ms, backlog.mean_job_cpu_ms)
    critical_path_ms = max(critical_path_lengths(spec.steps), default=0)
    objective_ms = objective_of(queue, critical_path_ms)
    before_cpu_ms, spare = _work_before(service, queue, value / max(1, cpu_ms))
    work_ms = _duration_ms(before_cpu_ms + cpu_ms, spare)
    end_ms = max(critical_path_ms, work_ms)
    if end_ms > LATE_MARGIN * objective_ms:
        # It gets late, and then ranks behind all that can be in time.
        done_cpu_ms = max(0.0, spare * objective_ms / 1000)
        left_cpu_ms = min(cpu_ms, max(1.0, before_cpu_ms + cpu_ms - done_cpu_ms))
        late_cpu_ms, late_spare = _work_before(service, queue, LATE_VALUE * value / left_cpu_ms)
        late_cpu_ms -= min(before_cpu_ms, done_cpu_ms)
        end_ms = max(end_ms, objective_ms + _duration_ms(late_cpu_ms + left_cpu_ms, late_spare))
    return JobForecast(
        int(min(end_ms, LONGEST_FORECAST_MS)),
        int(max(0.0, work_ms - objective_ms)),
        int(objective_ms),
        int(before_cpu_ms),
        max(0, int(spare)),
    )


def _work_before(service: ServiceForecast, queue: Queue, density: float) -> tuple[float, float]:
    """Return the work that goes before a job, and the CPU that later arrivals of such work leave.

    Work of the job's own band is left out.
    """
    rank = (queue.priority, -density_band(density))
    before = [band for band in service.bands if (band.priority, -band.band) < rank]
    arriving = sum(band.arriving_cpu_millis for band in before) * LASTING_ARRIVALS
    return float(sum(band.cpu_ms for band in before)), service.cpu_millis - arriving


def _duration_ms(cpu_ms: float, cpu_millis: float) -> float:
    return min(LONGEST_FORECAST_MS, 1000 * cpu_ms / cpu_millis if cpu_millis > 0 else math.inf)


@dataclass
class _ServiceLoad:
    """What was observed of one service; `observed_ms` is for how long without a break."""

    cpu_millis: float = 0.0
    observed_ms: int = 0
    prompt_starts: float = 0.0  # tasks started within OVERDUE_AFTER_MS
    overdue_tasks: float = 0.0  # tasks that were not
    overdue_now: bool = False
    mostly_idle: bool = True  # whether half of the CPU is idle

    @property
    def saturated(self) -> bool:
        """Return whether tasks wait for long now, and most tasks of the last seconds did."""
        return (
            self.overdue_now
            and not self.mostly_idle
            and self.observed_ms >= MIN_OBSERVATION_MS
            and self.cpu_millis >= 1
            and self.overdue_tasks > self.prompt_starts
        )


@dataclass
class LoadObserver:
    """Observe the best-effort load of a cell during one term of ownership."""

    book: JobBook
    planner: Planner
    token: int
    _loads: dict[str, _ServiceLoad] = field(default_factory=dict)  # by service
    _waiting_since_ms: dict[Step, int] = field(default_factory=dict)
    _overdue: set[Step] = field(default_factory=set)
    _arrived_cpu_ms: dict[tuple[str, int, int], float] = field(default_factory=dict)
    _arriving: dict[tuple[str, int, int], float] = field(default_factory=dict)
    _short_plan_ms: int | None = None  # when a plan was last short of starts
    _sampled_ms: int | None = None
    _published_ms: int | None = None
    _published: tuple[str, ...] = ()  # the services of the last forecast

    def note_arrival(self, job: Job) -> None:
        """Count the work of a job that has arrived; those of the start of the term don't count."""
        if self._sampled_ms is None or not is_forecastable(job.submission.spec):
            return
        queue = self.planner.queue_of(job)
        value = full_value(job.total_cpu_ms, self.planner.values.mean_cpu_ms(queue.name))
        key = (queue.service, queue.priority, density_band(value / max(1, job.total_cpu_ms)))
        self._arrived_cpu_ms[key] = self._arrived_cpu_ms.get(key, 0.0) + job.total_cpu_ms

    def note_short_plan(self, now_ms: int) -> None:
        """Record that a plan may have left tasks waiting for which workers have room."""
        self._short_plan_ms = now_ms

    # Samples.

    def sample(self, workers: Iterable[Boot], now_ms: int) -> None:
        """Observe the runs and the waiting tasks, if the last sample is old enough."""
        last_ms = self._sampled_ms
        if last_ms is not None and now_ms - last_ms < SAMPLE_INTERVAL_MS:
            return
        self._sampled_ms = now_ms
        workers = list(workers)
        usable = {w.info.service for w in workers if self.planner.may_start_on(w, now_ms)}
        if last_ms is None:
            return
        elapsed_ms = now_ms - last_ms
        for service in [service for service in self._loads if service not in usable]:
            del self._loads[service]  # its jobs wait for workers, however little work there is
        for load in self._loads.values():
            load.overdue_now = False
            load.prompt_starts *= math.exp(-elapsed_ms / FLOW_SMOOTHING_MS)
            load.overdue_tasks *= math.exp(-elapsed_ms / FLOW_SMOOTHING_MS)
        runs: defaultdict[str, list[Run]] = defaultdict(list)
        for worker in workers:
            for run in worker.runs.values():
                if worker.info.service in usable and _is_observed(run.task.step.spec):
                    runs[worker.info.service].append(run)
        for service, service_runs in runs.items():
            load = self._loads.setdefault(service, _ServiceLoad())
            self._sample_runs(load, service_runs, last_ms, now_ms)
            served_by = [w for w in workers if w.info.service == service]
            load.mostly_idle = self._are_mostly_idle(served_by, now_ms)
        self._sample_waiting(usable, now_ms)
        self._sample_arrivals(elapsed_ms)

    def _sample_runs(self, load: _ServiceLoad, runs: list[Run], last_ms: int, now_ms: int) -> None:
        in_use = settled = total = 0
        for run in runs:
            cpu_millis = run.task.step.spec.cpu_millis
            total += cpu_millis
            if run.accepted_ms is not None and run.listed_ms - run.accepted_ms >= SETTLED_AFTER_MS:
                settled += cpu_millis
                in_use += run.tail_ms_or_cpu_millis
            if run.started_ms > last_ms and run.task.step not in self._overdue:
                load.prompt_starts += 1
        if not settled:
            return
        # Runs without a reading of their own are taken to progress like the others.
        cpu_now = total * in_use / settled
        if load.observed_ms == 0:
            load.cpu_millis = cpu_now
        weight = 1 - math.exp(-(now_ms - last_ms) / CPU_SMOOTHING_MS)
        load.cpu_millis += (cpu_now - load.cpu_millis) * weight
        load.observed_ms += now_ms - last_ms

    def _are_mostly_idle(self, workers: Iterable[Boot], now_ms: int) -> bool:
        """Return whether half of the CPU of the workers that may be started on is idle."""
        usable = [worker for worker in workers if self.planner.may_start_on(worker, now_ms)]
        idle_millis = sum(max(0.0, idle_cpu_millis(worker)) for worker in usable)
        return 2 * idle_millis >= sum(worker.info.cpu_millis for worker in usable)

    def _sample_waiting(self, usable: set[str], now_ms: int) -> None:
        waiting: dict[Step, int] = {}
        for step in self.book.waiting_steps:
            queue = self.planner.queue_of(step.job)
            load = self._loads.get(queue.service)
            if load is None or queue.service not in usable:
                continue
            startable = self._startable_count(step, queue, now_ms)
            if not startable:
                continue
            since_ms = waiting[step] = self._waiting_since_ms.get(step, now_ms)
            if now_ms - since_ms > OVERDUE_AFTER_MS:
                load.overdue_now = True
                if step not in self._overdue:
                    self._overdue.add(step)
                    load.overdue_tasks += startable
        self._waiting_since_ms = waiting
        self._overdue &= waiting.keys()

    @staticmethod
    def _startable_count(step: Step, queue: Queue, now_ms: int) -> int:
        """Return how many tasks wait for nothing but room on any worker."""
        spec = step.spec
        special = spec.gang or spec.required_label or spec.max_per_instance or queue.decision_ms
        if special or not _is_observed(spec):
            return 0
        return sum(
            not (task.not_before_ms > now_ms or task.late_start or task.crashes)
            for task in step.waiting_tasks
        )

    def _sample_arrivals(self, elapsed_ms: int) -> None:
        kept = math.exp(-elapsed_ms / ARRIVAL_SMOOTHING_MS)
        for key in [*self._arriving, *self._arrived_cpu_ms]:
            arrived = 1000 * self._arrived_cpu_ms.pop(key, 0.0) / elapsed_ms
            self._arriving[key] = kept * self._arriving.get(key, 0.0) + (1 - kept) * arrived
        self._arriving = {key: rate for key, rate in self._arriving.items() if rate >= 1}

    # Publishing.

    def is_saturated(self, service: str, now_ms: int) -> bool:
        """Return whether most best-effort tasks of a service wait for long for want of room."""
        short_plan_ms = self._short_plan_ms
        if short_plan_ms is not None and now_ms - short_plan_ms < SHORT_PLAN_MEMORY_MS:
            return False
        return service in self._loads and self._loads[service].saturated

    def due_record(self, now_ms: int) -> Forecast | None:
        """Return the record to store now, or None."""
        if self._published_ms is not None and now_ms - self._published_ms < PUBLISH_INTERVAL_MS:
            return None
        saturated = tuple(sorted(s for s in self._loads if self.is_saturated(s, now_ms)))
        if not saturated and not self._published:
            return None
        self._published_ms = now_ms
        self._published = saturated
        if not saturated:
            return Forecast(self.token)
        return Forecast(self.token, tuple(self._forecast_services(set(saturated), now_ms)))

    def note_unconfirmed(self, record: Forecast) -> None:
        """Publish again soon, after a record that may not be stored."""
        self._published_ms = None
        self._published = self._published or tuple(s.service for s in record.services) or ("",)

    def _forecast_services(self, saturated: set[str], now_ms: int) -> Iterable[ServiceForecast]:
        by_queue: defaultdict[str, defaultdict[str, int]] = defaultdict(lambda: defaultdict(int))
        by_band: defaultdict[str, defaultdict[tuple[int, int], int]]
        by_band = defaultdict(lambda: defaultdict(int))
        for job in self.book.jobs.values():
            if job.is_final:
                continue
            queue = self.planner.queue_of(job)
            if queue.service not in saturated:
                continue
            for steps in map(job.occurrences.__getitem__, job.remainders):
                cpu_ms = sum(map(_remaining_cpu_ms, steps))
                if not cpu_ms:
                    continue
                step = next(s for s in steps if s.unfinished_count)
                band = density_band(self.planner.value_density(step, now_ms))
                by_queue[queue.service][queue.name] += cpu_ms
                by_band[queue.service][queue.priority, band] += cpu_ms
        for service in sorted(saturated):
            arriving = {key[1:]: rate for key, rate in self._arriving.items() if key[0] == service}
            yield ServiceForecast(
                service,
                _stored_amount(self._loads[service].cpu_millis),
                tuple(
                    QueueBacklog(
                        name,
                        _stored_amount(cpu_ms),
                        _stored_amount(self.planner.values.mean_cpu_ms(name)),
                    )
                    for name, cpu_ms in sorted(by_queue[service].items())
                ),
                tuple(
                    DensityBand(
                        *key,
                        _stored_amount(by_band[service].get(key, 0)),
                        _stored_amount(arriving.get(key, 0)),
                    )
                    for key in sorted({*by_band[service], *arriving})
                ),
            )


def _stored_amount(amount: float) -> int:
    return int(min(amount, MAX_STORED_AMOUNT))


def _remaining_cpu_ms(step: Step) -> int:
    """Return the unfinished best-effort work of a step, without what its runs have done."""
    if not _is_observed(step.spec):
        return 0
    percent = sum(map(_remaining_percent, step.tasks))
    return percent * step.spec.cpu_millis * step.spec.estimate_ms // 100_000


def _remaining_percent(task: Task) -> int:
    if task.end_state:
        return 0
    return 100 - min(100, max(0, task.run.progress_percent)) if task.run is not None else 100
