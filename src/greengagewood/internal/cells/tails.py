"""Keep the tails of serving tasks under their targets beside work that fills.

Answers the load in which filling work disturbs services by amounts that differ by image and change
within seconds.

The model: the logarithm of a serving task's tail, as a share of its target, follows its last value,
and is drawn towards a level of its image plus, for each filling image beside it, an effect of the
pair of images times the share of the worker's processors that the image uses. All of it is learned
over all workers of the cell; how far a single task is off follows its own load within seconds.
Placement asks where the tails would settle; pacing slows those runs that the model blames when a
measured tail comes near its target, and lets them speed up again as far as the model admits.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from greengagewood.internal.cells.fleet import Admission, Worker
from greengagewood.internal.cells.orders import PaceRun
from greengagewood.internal.cells.regression import Regression
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.model import StepSpec

__all__ = ["TailModel"]

READING_MS = 400  # between two readings that are learned from; each covers the last half second
MODEL_READINGS_MS = 1_500  # of two readings that are further apart, the earlier says nothing

# What is expected before any reading; means and variances as least-squares fits of a day's logged
# readings gave them (docs/MEASUREMENTS.md). From one reading to the next a log tail moves about a
# quarter of the way to where it settles; effects are per whole worker in use.
UNSEEN_MEMORY, MEMORY_SPREAD = 0.75, 0.02
UNSEEN_LEVEL, LEVEL_SPREAD = -0.25, 0.1
UNSEEN_EFFECT, EFFECT_SPREAD = 1.5, 9.0
READING_NOISE = 0.1  # variance of a log tail around the model
UNSURE = 0.6  # effects below it were fitted for pairs that do not disturb
KEEP = 0.998  # weight of a reading after the next one of its pair: effects may change in minutes
MOST_MEMORY = 0.9
OFFSET_RATE = 0.2  # a task's own load changes within seconds
KNOWN_READINGS = 3  # of a pair, before its effect is relied on

# Shares of the target, as logarithms. A single task's tail strays by half around what is expected.
ADMIT_BELOW = math.log(0.5)
SLOW_DOWN_ABOVE = math.log(0.75)
SLOW_DOWN_TO = math.log(0.45)
NEGLIGIBLE = 0.2  # a rise of a log tail that is within the noise of a reading

HOT_MS = 1_500  # well within the time that a tail may be over its target
PROBE_MS = 400  # one reading, between two tries of an image beside one that it was not seen with
SPEED_UP_FACTOR = 1.6
LEAST_PERCENT = 10  # of its speed; below it a run is paced to nothing

LEVEL = "level"
BEFORE = "before"


@dataclass
class TailModel:
    """Learn how images disturb each other, and decide with it."""

    images: dict[str, Regression] = field(default_factory=dict)
    probed_ms: dict[str, int] = field(default_factory=dict)

    # Learning.

    def learn(self, worker: Worker, now_ms: int) -> None:
        """Learn from the readings that a worker has just listed."""
        if now_ms - worker.learned_ms < READING_MS:
            return
        recent = now_ms - worker.learned_ms < MODEL_READINGS_MS
        worker.learned_ms = now_ms
        worker.reconsider_tails()
        uses = _measured_uses(worker)
        by_image: dict[str, list[Run]] = {}
        for run in _serving(worker.runs.values()):
            by_image.setdefault(run.task.step.spec.image, []).append(run)
        worst = -math.inf
        for image, runs in by_image.items():
            settled = self._settled(image, uses)
            for run in runs:
                tail = _log_tail(run)
                worst = max(worst, tail)
                run.offset += OFFSET_RATE * (tail - settled - run.offset)
            known = [run for run in runs if run.log_tail is not None]
            if known and recent:
                before = sum(run.log_tail or 0.0 for run in known) / len(known)
                tail = sum(map(_log_tail, known)) / len(known)
                self._model(image).learn({**uses, LEVEL: 1.0, BEFORE: before}, tail)
            for run in runs:
                run.log_tail = _log_tail(run)
        worker.hottest = math.exp(worst)
        if worst < SLOW_DOWN_ABOVE:
            worker.cool_ms = now_ms

    def _model(self, image: str) -> Regression:
        model = self.images.get(image)
        if model is None:
            model = Regression(UNSEEN_EFFECT, EFFECT_SPREAD, READING_NOISE, KEEP)
            model.add(LEVEL, UNSEEN_LEVEL, LEVEL_SPREAD)
            model.add(BEFORE, UNSEEN_MEMORY, MEMORY_SPREAD)
            self.images[image] = model
        return model

    def _gain(self, image: str) -> float:
        """Return how much further a tail settles than it moves from one reading to the next."""
        return 1 / (1 - min(MOST_MEMORY, max(0.0, self._model(image).weight(BEFORE))))

    def effect(self, serving: str, filling: str) -> float:
        """Return how much a filling image raises the log tail at which a serving one settles."""
        found = self._model(serving).weight(filling) - UNSURE
        return max(0.0, found) * self._gain(serving)

    def _settled(self, image: str, uses: dict[str, float]) -> float:
        """Return the log tail at which an image settles beside these uses."""
        level = self._model(image).weight(LEVEL) * self._gain(image)
        return level + sum(self.effect(image, filling) * use for filling, use in uses.items())

    # Deciding.

    def admits(self, worker: Worker, spec: StepSpec, now_ms: int) -> Admission:
        """Return how fast one more filling task may work beside the worker's serving tasks."""
        kind = (spec.image, spec.cpu_millis)
        found = worker.admissions.get(kind)
        if found is None:
            found = worker.admissions[kind] = self._admission(worker, spec)
        if found.probes and now_ms - self.probed_ms.get(spec.image, -PROBE_MS) < PROBE_MS:
            return Admission(0, found.rise, True)
        return found

    def _admission(self, worker: Worker, spec: StepSpec) -> Admission:
        use = _use(worker, spec, 100)
        whole = _planned_uses(worker).get(spec.image, 0.0) + use
        percent = 100.0
        rise = 0.0
        probes = False
        for image, expected in self._expected(worker).items():
            probes = probes or not self._known(image, spec.image)
            effect = self.effect(image, spec.image)
            full = effect * use
            if effect * whole <= NEGLIGIBLE:
                rise = max(rise, full)
                continue
            room = ADMIT_BELOW - expected
            if full > room:
                percent = min(percent, 100 * max(0.0, room) / full)
            rise = max(rise, full)
        return Admission(int(percent) if percent >= LEAST_PERCENT else 0, rise, probes)

    def note_start(self, worker: Worker, spec: StepSpec, now_ms: int) -> int:
        """Take note of a filling task that is being started; return its pace to begin with."""
        admission = self.admits(worker, spec, now_ms)
        if admission.probes:
            self.probed_ms[spec.image] = now_ms
        return admission.percent or LEAST_PERCENT

    def _known(self, serving: str, filling: str) -> bool:
        return self._model(serving).readings.get(filling, 0) >= KNOWN_READINGS

    def _expected(self, worker: Worker) -> dict[str, float]:
        """Return the highest log tail of each serving image at the present paces."""
        if worker.expected_tails is None:
            uses = _planned_uses(worker)
            expected: dict[str, float] = {}
            for run in worker.runs.values():
                image = run.task.step.spec.image
                if run.task.step.spec.tail_target_ms:
                    expected[image] = max(run.offset, expected.get(image, -math.inf))
            for image in expected:
                expected[image] += self._settled(image, uses)
            worker.expected_tails = expected
        return worker.expected_tails

    def _may_add(self, worker: Worker, image: str, more: float) -> bool:
        """Tell whether more use by an image brings no tail too near its target.

        A tail that is near its target by its own load is no reason to keep harmless work away.
        """
        whole = _planned_uses(worker).get(image, 0.0) + more
        return all(
            self.effect(serving, image) * whole <= NEGLIGIBLE
            or expected + self.effect(serving, image) * more <= ADMIT_BELOW
            for serving, expected in self._expected(worker).items()
        )

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
        if hot:
            orders = self._slow(worker, fillers, hot, now_ms - worker.cool_ms > HOT_MS)
        else:
            orders = self._hasten(worker, fillers)
        if orders:
            worker.paced_ms = now_ms
        return orders

    def _slow(
        self, worker: Worker, fillers: list[Run], hot: list[Run], all_of_them: bool
    ) -> list[PaceRun]:
        """Slow the runs that are to blame most, until the tails should be well below."""
        if all_of_them:
            return [PaceRun(worker, run, 0) for run in fillers if run.percent]
        planned = _planned_uses(worker)
        excess = {
            run: self._settled(run.task.step.spec.image, planned) + run.offset - SLOW_DOWN_TO
            for run in hot
        }
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
        orders = []
        for run in fillers:
            if run.percent == 100:
                continue
            spec = run.task.step.spec
            wanted = min(100, max(LEAST_PERCENT, int(run.percent * SPEED_UP_FACTOR) + 5))
            more = _use(worker, spec, wanted - run.percent)
            if self._may_add(worker, spec.image, more):
                orders.append(PaceRun(worker, run, wanted))
                for serving, expected in self._expected(worker).items():
                    self._expected(worker)[serving] = (
                        expected + self.effect(serving, spec.image) * more
                    )
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
