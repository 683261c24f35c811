"""Keep the tails of serving tasks under their targets beside work that fills.

Answers the load in which filling work disturbs services by amounts that differ by image and change
within seconds.

The model: the logarithm of a serving task's tail, as a share of its target, is a level of its image
plus, for each filling image beside it, an effect of the pair of images times the share of the
worker's processors that the image uses. Both are learned over all workers; how far a single task is
off its image's level follows its own load within seconds. Effects are never taken to be negative.
Placement asks what a worker's tails would be; pacing slows those runs that the model blames when a
measured tail comes near its target, and lets them speed up again as far as the model admits.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from greengagewood.internal.cells.fleet import Worker
from greengagewood.internal.cells.orders import PaceRun
from greengagewood.internal.cells.regression import Regression
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.model import StepSpec

__all__ = ["TailModel"]

READING_MS = 450  # a reading covers the last half second
UNSEEN_EFFECT = 2.0  # on the log tail, of a pair that was never seen; all processors in use
EFFECT_SPREAD = 16.0
UNSEEN_LEVEL = math.log(0.35)
LEVEL_SPREAD = 1.0
READING_NOISE = 0.3  # variance of a log tail around the model
KEEP = 0.997
OFFSET_RATE = 0.3
LEVEL = "level"
SLOW_DOWN_ABOVE = math.log(0.85)
SLOW_DOWN_TO = math.log(0.6)
ADMIT_BELOW = math.log(0.65)
NEGLIGIBLE = 0.04  # a rise of a log tail that is not worth acting on
SPEED_UP_FACTOR = 1.6
LEAST_PERCENT = 10  # below it a run is paced to nothing


@dataclass
class TailModel:
    """Learn how images disturb each other, and decide with it."""

    images: dict[str, Regression] = field(default_factory=dict)

    # Learning.

    def learn(self, worker: Worker, now_ms: int) -> None:
        """Learn from the readings that a worker has just listed."""
        if now_ms - worker.learned_ms < READING_MS:
            return
        worker.learned_ms = now_ms
        features = {**_measured_uses(worker), LEVEL: 1.0}
        by_image: dict[str, list[Run]] = {}
        for run in _serving(worker.runs.values()):
            by_image.setdefault(run.task.step.spec.image, []).append(run)
        worst = -math.inf
        for image, runs in by_image.items():
            model = self._model(image)
            expected = model.predict(features)
            tails = [_log_tail(run) for run in runs]
            for run, tail in zip(runs, tails, strict=True):
                run.offset += OFFSET_RATE * (tail - expected - run.offset)
            model.learn(features, sum(tails) / len(tails))
            worst = max(worst, *tails)
        worker.hottest = math.exp(worst)

    def _model(self, image: str) -> Regression:
        model = self.images.get(image)
        if model is None:
            model = Regression(UNSEEN_EFFECT, EFFECT_SPREAD, READING_NOISE, KEEP)
            model.add(LEVEL, UNSEEN_LEVEL, LEVEL_SPREAD)
            self.images[image] = model
        return model

    def effect(self, serving: str, filling: str) -> float:
        """Return how much a filling image raises the log tail of a serving one."""
        return max(0.0, self._model(serving).weight(filling))

    def _level(self, run: Run) -> float:
        return self._model(run.task.step.spec.image).weight(LEVEL) + run.offset

    def _disturbance(self, image: str, uses: dict[str, float]) -> float:
        return sum(self.effect(image, filling) * use for filling, use in uses.items())

    # Deciding.

    def admits(self, worker: Worker, spec: StepSpec) -> float | None:
        """Return how much one more filling task would raise a log tail, None if by too much."""
        uses = _planned_uses(worker)
        return self._rise(worker.runs.values(), uses, spec.image, _use(worker, spec, 100))

    def _rise(
        self, runs: Iterable[Run], uses: dict[str, float], image: str, more: float
    ) -> float | None:
        """Return the largest rise of a log tail by more use, None if a tail came too near.

        A tail that is near its target by its own load is no reason to keep harmless work away.
        """
        largest = 0.0
        for run in runs:
            spec = run.task.step.spec
            if not spec.tail_target_ms:
                continue
            rise = self.effect(spec.image, image) * more
            if rise > NEGLIGIBLE:
                expected = self._level(run) + self._disturbance(spec.image, uses) + rise
                if expected > ADMIT_BELOW:
                    return None
            largest = max(largest, rise)
        return largest

    def plan_pacing(self, worker: Worker, now_ms: int) -> list[PaceRun]:
        """Return how fast filling runs should work from now on."""
        if worker.learned_ms != now_ms or now_ms - worker.paced_ms < READING_MS:
            return []
        fillers = [
            r for r in worker.runs.values() if r.task.step.spec.filling and r.state == "running"
        ]
        serving = list(_serving(worker.runs.values()))
        if not fillers:
            return []
        hot = [r for r in serving if _log_tail(r) > SLOW_DOWN_ABOVE]
        orders = self._slow(worker, fillers, hot) if hot else self._hasten(worker, fillers)
        if orders:
            worker.paced_ms = now_ms
        return orders

    def _slow(self, worker: Worker, fillers: list[Run], hot: list[Run]) -> list[PaceRun]:
        """Slow the runs that are to blame most, until the tails should be well below."""
        excess = {run: _log_tail(run) - SLOW_DOWN_TO for run in hot}
        cpu = worker.info.cpu_millis

        def blame(run: Run) -> float:
            image = run.task.step.spec.image
            use = run.task.step.spec.cpu_millis * run.percent / 100 / cpu
            return max(self.effect(h.task.step.spec.image, image) for h in hot) * use

        orders = []
        for run in sorted(fillers, key=blame, reverse=True):
            need = max(excess.values())
            share = blame(run)
            if need <= 0 or share <= NEGLIGIBLE:
                break
            kept = 0.0 if share <= need else 1 - need / share
            percent = int(run.percent * kept)
            percent = percent if percent >= LEAST_PERCENT else 0
            image = run.task.step.spec.image
            relief = run.task.step.spec.cpu_millis * (run.percent - percent) / 100 / cpu
            for h in hot:
                excess[h] -= self.effect(h.task.step.spec.image, image) * relief
            orders.append(PaceRun(worker, run, percent))
        return orders

    def _hasten(self, worker: Worker, fillers: list[Run]) -> list[PaceRun]:
        """Let paced runs speed up as far as the model admits."""
        uses = _planned_uses(worker)
        orders = []
        for run in fillers:
            if run.percent == 100:
                continue
            spec = run.task.step.spec
            wanted = min(100, max(LEAST_PERCENT, int(run.percent * SPEED_UP_FACTOR) + 5))
            more = _use(worker, spec, wanted - run.percent)
            if self._rise(worker.runs.values(), uses, spec.image, more) is not None:
                uses[spec.image] = uses.get(spec.image, 0.0) + more
                orders.append(PaceRun(worker, run, wanted))
        return orders


def _use(worker: Worker, spec: StepSpec, percent: int) -> float:
    """Return the share of the worker's processors that a task uses at a pace."""
    return spec.cpu_millis * percent / 100 / worker.info.cpu_millis


def _log_tail(run: Run) -> float:
    return math.log(run.measure / run.task.step.spec.tail_target_ms)


def _serving(runs: Iterable[Run]) -> Iterable[Run]:
    """Yield the serving runs that are at work and were measured."""
    for run in runs:
        if run.task.step.spec.tail_target_ms and run.progress == 100 and run.measure > 0:
            yield run


def _measured_uses(worker: Worker) -> dict[str, float]:
    """Return the share of the worker's processors that each filling image used lately."""
    uses: dict[str, float] = {}
    for run in worker.runs.values():
        spec = run.task.step.spec
        if spec.filling and run.measure:
            uses[spec.image] = uses.get(spec.image, 0.0) + run.measure / worker.info.cpu_millis
    return uses


def _planned_uses(worker: Worker) -> dict[str, float]:
    """Return the share that each filling image will use at its present pace."""
    uses: dict[str, float] = {}
    for run in worker.runs.values():
        spec = run.task.step.spec
        if spec.filling and run.percent:
            use = _use(worker, spec, run.percent)
            uses[spec.image] = uses.get(spec.image, 0.0) + use
    return uses
