"""Keep the tail latency of services within their objectives while batch tasks share their workers.

This module does no I/O; its callers pass in samples and times. A placement is rejected if the model
predicts that it slows a service beyond its limit. When a service still exceeds its limit, the
responses are, from the cheapest to the most expensive:

1. Gateways route requests to other workers within milliseconds, without this module.
2. This module throttles the batch tasks on the worker within a second or two.
3. If throttling was not enough, this module has tasks checkpointed and evicted.

The second and third are used only after several consecutive samples over the limit, and tasks
regain their speed only after several samples within it, so that bursts of noisy tasks don't cause
bursts of evictions.

Placement lets the predicted latency of a service rise to the lower of two limits: a fraction of
the objective, and a small multiple of the latency that the service has on an unshared worker. The
weights in the document set both: giving weight to tail latency lowers the limits, giving weight to
batch throughput raises them. For urgent tasks, only the first limit applies.

One worker in 24 is a reference worker, which only urgent tasks may share, so there are always
samples of the service without interference. Without reference workers, the model mistook a change
in the interference of batch classes for a slower service, and the limit derived from the unshared
latency rose with it.

A batch class without samples has a large uncertainty, so few of its tasks are placed at first: as
many as its prior coefficient plus one standard error allow.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from greengagewood.internal.document import Document, Service
from greengagewood.internal.interference import (
    InterferenceModel,
    LatencySample,
    Prediction,
    quantile_z_score,
)
from greengagewood.internal.ranking import rendezvous_rank

__all__ = ["BatchAttempt", "Mitigation", "TailLatencyController", "is_evictable"]

# Consecutive latency samples, of which there is at most one a second.
SAMPLES_OVER_LIMIT_TO_THROTTLE = 2
SAMPLES_OVER_LIMIT_TO_EVICT = 15
SAMPLES_WITHIN_LIMIT_TO_RESTORE = 8
EVICTION_COOLDOWN_MS = 10_000
THROTTLED_SPEED = 0.4  # as a fraction of full speed
MIN_SAMPLE_REQUESTS = 10  # samples of fewer requests are not compared with the limit
# The limits of placement when only tail latency has weight, and when only throughput has.
TAIL_FIRST_OBJECTIVE_FRACTION = 0.8
THROUGHPUT_FIRST_OBJECTIVE_FRACTION = 0.95
TAIL_FIRST_SLOWDOWN = 1.18
THROUGHPUT_FIRST_SLOWDOWN = 1.2
MITIGATION_LIMIT_FACTOR = 1.2  # mitigation begins above this multiple of placement's limit
LOAD_HEADROOM_FACTOR = 1.2
OVER_LIMIT_COST = 5.0
SAFETY_STANDARD_ERRORS = 1.0
LOAD_EWMA_WEIGHT = 0.2
USAGE_EWMA_WEIGHT = 0.2
MIN_USAGE_RATIO = 0.1
MAX_USAGE_RATIO = 4.0
DECLARED_CPU_HISTORY_MS = 30_000  # usage reports cover intervals in the past
WORKERS_PER_REFERENCE = 24
UNSHARED_LATENCY_EWMA_WEIGHT = 0.05
IDLE_AFTER_S = 30


@dataclass(frozen=True)
class BatchAttempt:
    """An attempt of a batch task that may be running on a worker."""

    task: str
    attempt: int
    batch_class: str
    cpus: int


@dataclass(frozen=True)
class Mitigation:
    """A request to run a task at a fraction of its full speed; a speed of zero evicts it."""

    task: str
    attempt: int
    speed: float


@dataclass
class _ServiceOnWorker:
    """The smoothed load of one service on one worker, and the state of its mitigation."""

    load: float = 0.5
    samples_over_limit: int = 0
    samples_within_limit: int = 0
    throttled: bool = False
    last_eviction_ms: int = -EVICTION_COOLDOWN_MS


@dataclass
class _DeclaredCpuHistory:
    """The CPUs that each batch class on a worker declared, at times of the worker's clock."""

    entries: list[tuple[int, dict[str, float]]] = field(default_factory=list)

    def record(self, clock_ms: int, declared: dict[str, float]) -> None:
        self.entries.append((clock_ms, declared))
        while len(self.entries) > 2 and self.entries[1][0] < clock_ms - DECLARED_CPU_HISTORY_MS:
            self.entries.pop(0)

    def mean_cpus(self, batch_class: str, from_ms: int, to_ms: int) -> float:
        """Return the mean of the CPUs that a class declared in an interval."""
        values = [d.get(batch_class, 0.0) for at, d in self.entries if from_ms <= at <= to_ms]
        return sum(values) / len(values) if values else 0.0


class TailLatencyController:
    """Price placements by their effect on services, and plan mitigations for slow services."""

    def __init__(self) -> None:
        self.models: dict[str, InterferenceModel] = {}
        # For each class, the CPUs that it uses as a multiple of those that it declares.
        self.usage_ratio: dict[str, float] = {}
        self._states: dict[tuple[str, str], _ServiceOnWorker] = defaultdict(_ServiceOnWorker)
        self._histories: dict[str, _DeclaredCpuHistory] = defaultdict(_DeclaredCpuHistory)
        self._services_by_worker: dict[str, set[str]] = defaultdict(set)
        self._reference_workers: frozenset[str] = frozenset()
        self._unshared_log_means: dict[str, float] = {}
        self._elapsed_s = 0
        self._last_sample_s: dict[str, int] = {}
        self._document: Document | None = None
        self._z_scores: dict[str, float] = {}

    def set_document(self, document: Document) -> None:
        """Apply the services' objectives and the weights of a document."""
        self._document = document
        self._z_scores = {
            name: quantile_z_score(service.objective.target)
            for name, service in document.services.items()
        }

    def set_services(self, services_by_worker: dict[str, set[str]]) -> None:
        """Set which services have a backend server on each worker."""
        self._services_by_worker = defaultdict(set, services_by_worker)
        with_services = [name for name, services in services_by_worker.items() if services]
        count = len(with_services) // WORKERS_PER_REFERENCE
        self._reference_workers = frozenset(rendezvous_rank("reference", with_services)[:count])

    def _tail_weight(self) -> float:
        """Return the weight of tail latency, from 0 (throughput first) to 1 (latency first)."""
        assert self._document is not None
        weights = self._document.weights
        total = weights.tail_latency + weights.batch_throughput
        return weights.tail_latency / total if total else 0.5

    def latency_limit_ms(self, name: str, service: Service, urgent: bool = False) -> float:
        """Return the latency at the objective's quantile to which placement may slow a service."""
        weight = self._tail_weight()
        fraction = (
            THROUGHPUT_FIRST_OBJECTIVE_FRACTION
            - (THROUGHPUT_FIRST_OBJECTIVE_FRACTION - TAIL_FIRST_OBJECTIVE_FRACTION) * weight
        )
        if urgent:
            return service.objective.latency_ms * fraction
        slowdown = (
            THROUGHPUT_FIRST_SLOWDOWN - (THROUGHPUT_FIRST_SLOWDOWN - TAIL_FIRST_SLOWDOWN) * weight
        )
        unshared_ms = self._unshared(name).quantile_ms(self._z_scores[name], 0.0)
        return min(service.objective.latency_ms * fraction, unshared_ms * slowdown)

    def _unshared(self, name: str) -> Prediction:
        """Return a service's latency on an unshared worker, from reference workers if possible."""
        model = self._model(name)
        log_mean = self._unshared_log_means.get(name)
        return (
            model.predict({}, 0.0) if log_mean is None else Prediction(log_mean, 0.0, model.sigma)
        )

    # Samples and reports.

    def cpu_shares(self, attempts: Iterable[BatchAttempt], cpus: int) -> dict[str, float]:
        """Return the estimated fraction of a worker's CPUs that each class uses."""
        shares: dict[str, float] = {}
        for attempt in attempts:
            ratio = self.usage_ratio.get(attempt.batch_class, 1.0)
            used = attempt.cpus * ratio / max(1, cpus)
            shares[attempt.batch_class] = shares.get(attempt.batch_class, 0.0) + used
        return shares

    def record_attempts(self, worker: str, clock_ms: int, attempts: Iterable[BatchAttempt]) -> None:
        """Record which attempts a worker has at a time of the worker's clock."""
        declared: dict[str, float] = {}
        for attempt in attempts:
            declared[attempt.batch_class] = declared.get(attempt.batch_class, 0) + attempt.cpus
        self._histories[worker].record(clock_ms, declared)

    def record_usage(
        self, worker: str, batch_class: str, cpus: float, from_ms: int, to_ms: int
    ) -> None:
        """Update a class's usage ratio from a report on its CPU use in a past interval."""
        declared = self._histories[worker].mean_cpus(batch_class, from_ms, to_ms)
        if declared <= 0 or not math.isfinite(cpus):
            return
        measured = min(max(cpus / declared, MIN_USAGE_RATIO), MAX_USAGE_RATIO)
        ratio = self.usage_ratio.get(batch_class, 1.0)
        self.usage_ratio[batch_class] = ratio + USAGE_EWMA_WEIGHT * (measured - ratio)

    def record_latency(
        self, sample: LatencySample, attempts: Iterable[BatchAttempt], cpus: int
    ) -> None:
        """Learn from the latencies that gateways measured in the last second."""
        service = self._service(sample.service)
        if service is None or sample.count < 1:
            return
        self._last_sample_s[sample.service] = self._elapsed_s
        state = self._states[(sample.service, sample.worker)]
        busy_slots = sample.count * math.exp(sample.log_mean) / 1000  # Little's law
        state.load += LOAD_EWMA_WEIGHT * (min(1.0, busy_slots / service.slots) - state.load)
        self._model(sample.service).observe(sample, self.cpu_shares(attempts, cpus), state.load)
        if sample.worker in self._reference_workers and not attempts:
            log_mean = self._unshared_log_means.get(sample.service, sample.log_mean)
            self._unshared_log_means[sample.service] = log_mean + UNSHARED_LATENCY_EWMA_WEIGHT * (
                sample.log_mean - log_mean
            )
        if sample.count >= MIN_SAMPLE_REQUESTS:
            self._compare_with_limit(sample, service, state)

    def _compare_with_limit(
        self, sample: LatencySample, service: Service, state: _ServiceOnWorker
    ) -> None:
        """Count consecutive samples over and within the limit, allowing for sampling error."""
        z_score = self._z_scores[sample.service]
        limit = self.latency_limit_ms(sample.service, service) * MITIGATION_LIMIT_FACTOR
        limit = math.log(min(limit, service.objective.latency_ms))
        sigma = self._model(sample.service).sigma
        over_limit = (
            sample.log_mean
            + z_score * sigma
            - SAFETY_STANDARD_ERRORS * sigma / math.sqrt(sample.count)
            > limit
        )
        state.samples_over_limit = state.samples_over_limit + 1 if over_limit else 0
        state.samples_within_limit = 0 if over_limit else state.samples_within_limit + 1

    def _service(self, name: str) -> Service | None:
        return self._document.services.get(name) if self._document else None

    def _model(self, service: str) -> InterferenceModel:
        return self.models.setdefault(service, InterferenceModel())

    # Placement.

    def placement_cost(
        self,
        worker: str,
        attempts: list[BatchAttempt],
        cpus: int,
        batch_class: str,
        added_cpus: int,
    ) -> float | None:
        """Return the cost of a placement to the worker's services, or None if it is forbidden."""
        total = 0.0
        if worker in self._reference_workers and not self._is_urgent(batch_class):
            return None
        for name in self._services_by_worker[worker]:
            service = self._service(name)
            if service is None or self._is_idle(name):
                continue
            state = self._states[(name, worker)]
            if state.throttled or state.samples_over_limit >= SAMPLES_OVER_LIMIT_TO_THROTTLE:
                if not self._is_urgent(batch_class):
                    return None
                total += OVER_LIMIT_COST
            cost = self._cost_to_service(
                name, service, worker, attempts, cpus, batch_class, added_cpus
            )
            if cost is None:
                return None
            total += cost
        return total

    def _is_idle(self, name: str) -> bool:
        """Return whether no request of a service has been sampled for a while."""
        return self._elapsed_s - self._last_sample_s.get(name, 0) > IDLE_AFTER_S

    def begin_second(self) -> None:
        """Count the seconds; call this once a second, before recording the second's samples."""
        self._elapsed_s += 1

    def _cost_to_service(
        self,
        name: str,
        service: Service,
        worker: str,
        attempts: list[BatchAttempt],
        cpus: int,
        batch_class: str,
        added_cpus: int,
    ) -> float | None:
        """Return the predicted rise of ln(latency), or None if it would exceed the limit."""
        state = self._states[(name, worker)]
        attempts_after = [*attempts, BatchAttempt("", 0, batch_class, added_cpus)]
        load = min(1.0, state.load * LOAD_HEADROOM_FACTOR)
        increase = self._model(name).predict_increase(self.cpu_shares(attempts_after, cpus), load)
        limit_ms = self.latency_limit_ms(name, service, self._is_urgent(batch_class))
        unshared_ms = self._unshared(name).quantile_ms(self._z_scores[name], 0.0)
        slowed_ms = unshared_ms * math.exp(
            increase.log_mean + SAFETY_STANDARD_ERRORS * increase.standard_error
        )
        return increase.log_mean if slowed_ms <= limit_ms else None

    # Mitigation.

    def plan_mitigations(
        self, worker: str, attempts: list[BatchAttempt], cpus: int, now_ms: int
    ) -> list[Mitigation]:
        """Return which tasks of a worker to throttle, evict or restore; call this once a second."""
        mitigations: list[Mitigation] = []
        for name in self._services_by_worker[worker]:
            service = self._service(name)
            if service is None:
                continue
            state = self._states[(name, worker)]
            if self._is_idle(name):  # its last samples say nothing about the present
                state.samples_over_limit = 0
                state.samples_within_limit = SAMPLES_WITHIN_LIMIT_TO_RESTORE
            if state.samples_over_limit >= SAMPLES_OVER_LIMIT_TO_EVICT and state.throttled:
                mitigations += self._evict(name, service, state, attempts, cpus, now_ms)
            elif state.samples_over_limit >= SAMPLES_OVER_LIMIT_TO_THROTTLE and not state.throttled:
                mitigations += self._throttle(name, state, attempts)
            elif state.throttled and state.samples_within_limit >= SAMPLES_WITHIN_LIMIT_TO_RESTORE:
                state.throttled = False
                if not self._has_throttled_service(worker):
                    mitigations += [Mitigation(a.task, a.attempt, 1.0) for a in attempts]
        return mitigations

    def _has_throttled_service(self, worker: str) -> bool:
        """Return whether tasks of a worker are throttled for any of its services."""
        return any(
            self._states[(name, worker)].throttled for name in self._services_by_worker[worker]
        )

    def _throttle(
        self, name: str, state: _ServiceOnWorker, attempts: list[BatchAttempt]
    ) -> list[Mitigation]:
        """Throttle the tasks that slow the service, except urgent ones."""
        state.throttled = True
        return [
            Mitigation(a.task, a.attempt, THROTTLED_SPEED)
            for a in attempts
            if self._model(name).coefficient(a.batch_class) > 0
            and not self._is_urgent(a.batch_class)
        ]

    def _evict(
        self,
        name: str,
        service: Service,
        state: _ServiceOnWorker,
        attempts: list[BatchAttempt],
        cpus: int,
        now_ms: int,
    ) -> list[Mitigation]:
        """Evict tasks, costliest first, until the service is predicted to be within its limit."""
        if now_ms - state.last_eviction_ms < EVICTION_COOLDOWN_MS:
            return []
        model = self._model(name)
        assert self._document is not None
        evictable = [a for a in attempts if is_evictable(a.batch_class, self._document)]
        fixed = [a for a in attempts if not is_evictable(a.batch_class, self._document)]
        remaining = sorted(
            evictable, key=lambda a: model.coefficient(a.batch_class) * a.cpus, reverse=True
        )
        limit_ms = self.latency_limit_ms(name, service)
        evictions: list[Mitigation] = []
        while remaining:
            prediction = model.predict(self.cpu_shares([*fixed, *remaining], cpus), state.load)
            if evictions and prediction.quantile_ms(self._z_scores[name], 0.0) <= limit_ms:
                break
            costliest = remaining.pop(0)
            evictions.append(Mitigation(costliest.task, costliest.attempt, 0.0))
        if evictions:
            state.last_eviction_ms = now_ms
        return evictions

    def _is_urgent(self, batch_class: str) -> bool:
        assert self._document is not None
        settings = self._document.batch_classes.get(batch_class)
        return settings is not None and settings.urgent


def is_evictable(batch_class: str, document: Document) -> bool:
    """Return whether tasks of a class may be evicted: they can resume and are not urgent."""
    settings = document.batch_classes.get(batch_class)
    return settings is not None and settings.checkpoints and not settings.urgent
