"""Keep services within their objectives while batch work shares their workers.

Pure. Three levers, cheapest first: gateways route away within milliseconds by themselves; this
module throttles a batch class on a worker within a second or two; it has tasks checkpointed and
evicted when that was not enough. Streaks on both sides keep waves of noisy tasks from becoming
waves of evictions. Before all levers, placement forbids what the model predicts to break an
objective.

Placement lets a service's predicted latency rise to the lower of two limits: a part of the
objective, and a small multiple of what the service has when nothing shares its worker. The weights
of the document set both: tail latency first keeps a wide margin, throughput first a narrow one.
Urgent work is held to the objective alone. One worker in twenty-four is kept as a reference: only
urgent work shares it, so the model always sees the service alone. Without it, a shift of the
classes was taken for a slower service, and what placement might add on top rose with it.
A class that is not known yet has a wide uncertainty, so it
begins with as little as its prior and one uncertainty more allow.
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
    quantile_factor,
)
from greengagewood.internal.ranking import rendezvous_rank

__all__ = ["BatchAttempt", "Mitigation", "TailLatencyController", "is_evictable"]

HOT_STREAK_TO_THROTTLE = 2
HOT_STREAK_TO_EVICT = 15
CALM_STREAK_TO_RESTORE = 8
EVICTION_PAUSE_MS = 10_000
THROTTLED_SPEED = 0.4
MIN_SAMPLES = 10
WIDE_MARGIN = 0.8
NARROW_MARGIN = 0.95
TIGHT_SLOWDOWN = 1.18
LOOSE_SLOWDOWN = 1.2
HOT_SLOWDOWN = 1.2
LOAD_HEADROOM = 1.2
HOT_COST = 5.0
CAUTION = 1.0
LOAD_WEIGHT = 0.2
USAGE_WEIGHT = 0.2
MIN_USAGE_RATIO = 0.1
MAX_USAGE_RATIO = 4.0
HISTORY_MS = 30_000
WORKERS_PER_REFERENCE = 24
ALONE_WEIGHT = 0.05
IDLE_ROUNDS = 30


@dataclass(frozen=True)
class BatchAttempt:
    """Describe a running attempt of a batch task."""

    task: str
    attempt: int
    batch_class: str
    cpus: int


@dataclass(frozen=True)
class Mitigation:
    """Ask for a task to be throttled to a speed, or evicted if the speed is zero."""

    task: str
    attempt: int
    speed: float


@dataclass
class _Spot:
    """Hold what is known of one service on one worker."""

    load: float = 0.5
    hot: int = 0
    calm: int = 0
    throttled: bool = False
    evicted_ms: int = -EVICTION_PAUSE_MS


@dataclass
class _Timeline:
    """Remember which classes ran on a worker, by the worker's clock."""

    entries: list[tuple[int, dict[str, float]]] = field(default_factory=list)

    def note(self, clock_ms: int, declared: dict[str, float]) -> None:
        self.entries.append((clock_ms, declared))
        while len(self.entries) > 2 and self.entries[1][0] < clock_ms - HISTORY_MS:
            self.entries.pop(0)

    def mean(self, batch_class: str, from_ms: int, to_ms: int) -> float:
        """Return the mean declared processors of a class in an interval."""
        values = [d.get(batch_class, 0.0) for at, d in self.entries if from_ms <= at <= to_ms]
        return sum(values) / len(values) if values else 0.0


class TailLatencyController:
    """Judge placements and relieve services."""

    def __init__(self) -> None:
        self.models: dict[str, InterferenceModel] = {}
        self.usage_ratio: dict[str, float] = {}
        self._spots: dict[tuple[str, str], _Spot] = defaultdict(_Spot)
        self._timelines: dict[str, _Timeline] = defaultdict(_Timeline)
        self._services_on: dict[str, set[str]] = defaultdict(set)
        self._references: frozenset[str] = frozenset()
        self._seen_alone: dict[str, float] = {}
        self._rounds = 0
        self._sampled_round: dict[str, int] = {}
        self._document: Document | None = None
        self._factors: dict[str, float] = {}

    def set_document(self, document: Document) -> None:
        """Take the services' objectives and the weights."""
        self._document = document
        self._factors = {
            name: quantile_factor(service.objective.target)
            for name, service in document.services.items()
        }

    def set_services(self, services_on: dict[str, set[str]]) -> None:
        """Take which services have a backend server on each worker."""
        self._services_on = defaultdict(set, services_on)
        with_services = [name for name, found in services_on.items() if found]
        count = len(with_services) // WORKERS_PER_REFERENCE
        self._references = frozenset(rendezvous_rank("reference", with_services)[:count])

    def _tail_share(self) -> float:
        assert self._document is not None
        weights = self._document.weights
        total = weights.tail_latency + weights.batch_throughput
        return weights.tail_latency / total if total else 0.5

    def limit_ms(self, name: str, service: Service, urgent: bool = False) -> float:
        """Return how far placement may let the objective's quantile of a service rise."""
        share = self._tail_share()
        margin = NARROW_MARGIN - (NARROW_MARGIN - WIDE_MARGIN) * share
        if urgent:
            return service.objective.latency_ms * margin
        slowdown = LOOSE_SLOWDOWN - (LOOSE_SLOWDOWN - TIGHT_SLOWDOWN) * share
        alone_ms = self._alone(name).quantile_ms(self._factors[name], 0.0)
        return min(service.objective.latency_ms * margin, alone_ms * slowdown)

    def _alone(self, name: str) -> Prediction:
        """Return what the service has alone: as seen at reference workers, or as learned."""
        model = self._model(name)
        seen = self._seen_alone.get(name)
        return model.predict({}, 0.0) if seen is None else Prediction(seen, 0.0, model.sigma)

    # Evidence.

    def shares(self, residents: Iterable[BatchAttempt], cpus: int) -> dict[str, float]:
        """Return the fraction of a worker's processors that each class uses."""
        found: dict[str, float] = {}
        for resident in residents:
            ratio = self.usage_ratio.get(resident.batch_class, 1.0)
            used = resident.cpus * ratio / max(1, cpus)
            found[resident.batch_class] = found.get(resident.batch_class, 0.0) + used
        return found

    def record_attempts(
        self, worker: str, clock_ms: int, residents: Iterable[BatchAttempt]
    ) -> None:
        """Remember what runs on a worker at a time of the worker's clock."""
        declared: dict[str, float] = {}
        for resident in residents:
            declared[resident.batch_class] = declared.get(resident.batch_class, 0) + resident.cpus
        self._timelines[worker].note(clock_ms, declared)

    def record_usage(
        self, worker: str, batch_class: str, cpus: float, from_ms: int, to_ms: int
    ) -> None:
        """Learn from a late report what part of its declared processors a class uses."""
        declared = self._timelines[worker].mean(batch_class, from_ms, to_ms)
        if declared <= 0 or not math.isfinite(cpus):
            return
        seen = min(max(cpus / declared, MIN_USAGE_RATIO), MAX_USAGE_RATIO)
        ratio = self.usage_ratio.get(batch_class, 1.0)
        self.usage_ratio[batch_class] = ratio + USAGE_WEIGHT * (seen - ratio)

    def record_latency(
        self, sample: LatencySample, residents: Iterable[BatchAttempt], cpus: int
    ) -> None:
        """Learn from what gateways saw of a service on a worker in the last second."""
        service = self._service(sample.service)
        if service is None or sample.count < 1:
            return
        self._sampled_round[sample.service] = self._rounds
        spot = self._spots[(sample.service, sample.worker)]
        busy_slots = sample.count * math.exp(sample.mean) / 1000  # Little's law
        spot.load += LOAD_WEIGHT * (min(1.0, busy_slots / service.slots) - spot.load)
        self._model(sample.service).observe(sample, self.shares(residents, cpus), spot.load)
        if sample.worker in self._references and not residents:
            seen = self._seen_alone.get(sample.service, sample.mean)
            self._seen_alone[sample.service] = seen + ALONE_WEIGHT * (sample.mean - seen)
        if sample.count >= MIN_SAMPLES:
            self._note_heat(sample, service, spot)

    def _note_heat(self, sample: LatencySample, service: Service, spot: _Spot) -> None:
        factor = self._factors[sample.service]
        limit = self.limit_ms(sample.service, service) * HOT_SLOWDOWN
        limit = math.log(min(limit, service.objective.latency_ms))
        sigma = self._model(sample.service).sigma
        hot = sample.mean + factor * sigma - CAUTION * sigma / math.sqrt(sample.count) > limit
        spot.hot = spot.hot + 1 if hot else 0
        spot.calm = 0 if hot else spot.calm + 1

    def _service(self, name: str) -> Service | None:
        return self._document.services.get(name) if self._document else None

    def _model(self, service: str) -> InterferenceModel:
        return self.models.setdefault(service, InterferenceModel())

    # Placement.

    def placement_cost(
        self,
        worker: str,
        residents: list[BatchAttempt],
        cpus: int,
        batch_class: str,
        more_cpus: int,
    ) -> float | None:
        """Return what a placement costs the services on a worker, None if it is not allowed."""
        cost = 0.0
        if worker in self._references and not self._is_urgent(batch_class):
            return None
        for name in self._services_on[worker]:
            service = self._service(name)
            if service is None or self._is_idle(name):
                continue
            spot = self._spots[(name, worker)]
            if spot.throttled or spot.hot >= HOT_STREAK_TO_THROTTLE:
                if not self._is_urgent(batch_class):
                    return None
                cost += HOT_COST
            found = self._cost_for(name, service, worker, residents, cpus, batch_class, more_cpus)
            if found is None:
                return None
            cost += found
        return cost

    def _is_idle(self, name: str) -> bool:
        """Tell whether nobody has asked a service for anything for a while."""
        return self._rounds - self._sampled_round.get(name, 0) > IDLE_ROUNDS

    def begin_second(self) -> None:
        """Count the seconds; call once before each second's samples."""
        self._rounds += 1

    def _cost_for(
        self,
        name: str,
        service: Service,
        worker: str,
        residents: list[BatchAttempt],
        cpus: int,
        batch_class: str,
        more_cpus: int,
    ) -> float | None:
        spot = self._spots[(name, worker)]
        added = [*residents, BatchAttempt("", 0, batch_class, more_cpus)]
        load = min(1.0, spot.load * LOAD_HEADROOM)
        prediction = self._model(name).added(self.shares(added, cpus), load)
        limit = self.limit_ms(name, service, self._is_urgent(batch_class))
        alone_ms = self._alone(name).quantile_ms(self._factors[name], 0.0)
        slowed_ms = alone_ms * math.exp(prediction.mean + CAUTION * prediction.uncertainty)
        return prediction.mean if slowed_ms <= limit else None

    # Mitigation.

    def plan_mitigations(
        self, worker: str, residents: list[BatchAttempt], cpus: int, now_ms: int
    ) -> list[Mitigation]:
        """Decide what to throttle, evict or restore on a worker; call once a second."""
        orders: list[Mitigation] = []
        for name in self._services_on[worker]:
            service = self._service(name)
            if service is None:
                continue
            spot = self._spots[(name, worker)]
            if spot.hot >= HOT_STREAK_TO_EVICT and spot.throttled:
                orders += self._evict(name, service, spot, residents, cpus, now_ms)
            elif spot.hot >= HOT_STREAK_TO_THROTTLE and not spot.throttled:
                orders += self._throttle(name, spot, residents)
            elif spot.throttled and spot.calm >= CALM_STREAK_TO_RESTORE:
                spot.throttled = False
                orders += [Mitigation(r.task, r.attempt, 1.0) for r in residents]
        return orders

    def _throttle(self, name: str, spot: _Spot, residents: list[BatchAttempt]) -> list[Mitigation]:
        spot.throttled = True
        return [
            Mitigation(r.task, r.attempt, THROTTLED_SPEED)
            for r in residents
            if self._model(name).theta(r.batch_class) > 0 and not self._is_urgent(r.batch_class)
        ]

    def _evict(
        self,
        name: str,
        service: Service,
        spot: _Spot,
        residents: list[BatchAttempt],
        cpus: int,
        now_ms: int,
    ) -> list[Mitigation]:
        """Evict the costliest tasks until the rest is predicted to keep the objective."""
        if now_ms - spot.evicted_ms < EVICTION_PAUSE_MS:
            return []
        model = self._model(name)
        assert self._document is not None
        movable = [r for r in residents if is_evictable(r.batch_class, self._document)]
        fixed = [r for r in residents if not is_evictable(r.batch_class, self._document)]
        order = sorted(movable, key=lambda r: model.theta(r.batch_class) * r.cpus, reverse=True)
        limit = self.limit_ms(name, service)
        chosen: list[Mitigation] = []
        while order:
            rest = model.predict(self.shares([*fixed, *order], cpus), spot.load)
            if chosen and rest.quantile_ms(self._factors[name], 0.0) <= limit:
                break
            worst = order.pop(0)
            chosen.append(Mitigation(worst.task, worst.attempt, 0.0))
        if chosen:
            spot.evicted_ms = now_ms
        return chosen

    def _is_urgent(self, batch_class: str) -> bool:
        assert self._document is not None
        found = self._document.batch_classes.get(batch_class)
        return found is not None and found.urgent


def is_evictable(batch_class: str, document: Document) -> bool:
    """Tell whether a class's tasks may be evicted: they resume, and are not urgent."""
    found = document.batch_classes.get(batch_class)
    return found is not None and found.checkpoints and not found.urgent
