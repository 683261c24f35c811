"""Keep the tails of serving tasks under their targets beside work that fills.

Answers the load in which filling work disturbs services by amounts that differ by image, while the
services' own load rises and falls within seconds.

The model: a tail grows like that of a queue, with 1 / (1 - load), and the loads of all that
disturbs add up. So the target over the tail, here called slack, falls by the same amount for each
processor that a filling task uses, however busy the service is itself; at 1 the tail is at its
target. That amount, the effect of a pair of images, is learned over all workers of the cell from
how slack falls when filling work comes or is paced up. What a service would have without any
filling work, its own slack, is measured anew by each reading. Placement and pacing both spend it.
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

__all__ = ["LEAST_PERCENT", "TailModel"]

READING_MS = 400  # between two readings that are learned from; each covers the last half second
MODEL_READINGS_MS = 1_500  # of two readings that are further apart, the earlier says nothing

# Effects are of a whole worker in use; what is expected of a pair before any reading spans what was
# measured, 0 to 22 (docs/MEASUREMENTS.md).
UNSEEN_EFFECT, EFFECT_SPREAD = 8.0, 100.0
CHANGE_NOISE = 0.15  # variance of a change of slack by the service's own load, from one reading
KEEP = 0.998  # weight of a reading after the next one of its pair: effects may change in minutes
LEAST_CHANGE = 0.02  # of the use of a worker, that is learned from
MOST_SLACK = 6.0  # an idle service; beyond it the rounding of tails to whole ms is all there is
BACKLOG_SLACK = 0.8  # below it a tail is that of a backlog, which lasts beyond its cause

KNOWN_READINGS = 3  # of a pair, before it may be taken for harmless
HARMLESS_EFFECT = 3.0  # measured effects are either near 0 or well above
UNSEEN_SLACK = 2.5  # of a service that was not measured yet: half loaded

# The forecast slack that a service keeps beside work that is placed, beside work that goes on, and
# beside work of harmless images, which may bring it to its target and no further.
PLACE_SLACK = 1.3
PACE_SLACK = 1.15
HARMLESS_SLACK = 1.0
FORECAST_READINGS = 2.0  # how far ahead a falling slack is followed

HOT_MS = 1_500  # well within the time that a tail may be over its target
LEAST_PERCENT = 10  # of its speed; below it a run is paced to nothing
SLOWER_PERCENT = 5  # least change of pace that is worth an order
FASTER_PERCENT = 20


@dataclass
class TailModel:
    """Learn how images disturb each other, and decide with it."""

    images: dict[str, Regression] = field(default_factory=dict)

    # Learning.

    def learn(self, worker: Worker, now_ms: int) -> None:
        """Learn from the readings that a worker has just listed."""
        if now_ms - worker.learned_ms < READING_MS:
            return
        recent = now_ms - worker.learned_ms < MODEL_READINGS_MS
        worker.learned_ms = now_ms
        worker.reconsider_tails()
        uses = _measured_uses(worker)
        changes = {
            name: change
            for name in {**uses, **worker.uses}
            if abs(change := uses.get(name, 0.0) - worker.uses.get(name, 0.0)) >= LEAST_CHANGE
        }
        worker.uses = uses
        falls: dict[str, list[float]] = {}
        least = MOST_SLACK
        for run in _serving(worker.runs.values()):
            slack = min(MOST_SLACK, run.task.step.spec.tail_target_ms / run.tail_ms_or_cpu_millis)
            least = min(least, slack)
            if recent and run.slack is not None and run.slack >= BACKLOG_SLACK:
                falls.setdefault(run.task.step.spec.image, []).append(run.slack - slack)
            run.slack = slack
        # A tail rises at once with its cause, and outlasts it: only rises tell the effect.
        if changes and min(changes.values()) > 0:
            for image, found in falls.items():
                self._model(image).learn(changes, sum(found) / len(found))
        for run in _serving(worker.runs.values()):
            self._note_own_slack(run, uses, recent)
        worker.least_slack = least
        if least > 1:
            worker.cool_ms = now_ms

    def _note_own_slack(self, run: Run, uses: dict[str, float], recent: bool) -> None:
        image = run.task.step.spec.image
        taken = sum(self.effect(image, name) * use for name, use in uses.items())
        own = min(MOST_SLACK, (run.slack or 0.0) + taken)
        run.undisturbed_slack_trend = (
            own - run.undisturbed_slack if recent and run.undisturbed_slack is not None else 0.0
        )
        run.undisturbed_slack = own

    def _model(self, image: str) -> Regression:
        model = self.images.get(image)
        if model is None:
            model = Regression(UNSEEN_EFFECT, EFFECT_SPREAD, CHANGE_NOISE, KEEP)
            self.images[image] = model
        return model

    def effect(self, serving: str, filling: str) -> float:
        """Return how far a filling image on a whole worker lowers the slack of a serving one."""
        return max(0.0, self._model(serving).weight(filling))

    def cost(self, serving: str, filling: str) -> float:
        """Return the effect to count with: what it may well be, unless the pair is harmless."""
        effect = self.effect(serving, filling)
        return effect if self.harmless(serving, filling) else effect + self._doubt(serving, filling)

    def harmless(self, serving: str, filling: str) -> bool:
        """Tell whether a filling image is known to disturb a serving one little."""
        likely = self.effect(serving, filling) + self._doubt(serving, filling) / 2
        return self._known(serving, filling) and likely < HARMLESS_EFFECT

    def _doubt(self, serving: str, filling: str) -> float:
        return math.sqrt(self._model(serving).variance(filling))

    def _known(self, serving: str, filling: str) -> bool:
        return self._model(serving).readings.get(filling, 0) >= KNOWN_READINGS

    # Deciding.

    def admits(self, worker: Worker, spec: StepSpec) -> Admission:
        """Return how fast one more filling task may work beside the worker's serving tasks."""
        kind = (spec.image, spec.cpu_millis)
        found = worker.admissions.get(kind)
        if found is None:
            found = worker.admissions[kind] = self._admission(worker, spec)
        return found

    def _admission(self, worker: Worker, spec: StepSpec) -> Admission:
        if worker.rooms is None:
            worker.rooms = _forecasts(worker)
            self._spend_planned(worker, worker.rooms)
        percent = self._pace_within(worker, spec, worker.rooms, PLACE_SLACK)
        use = _use(worker, spec, 100)
        costs = (self.cost(serving, spec.image) * use for serving in worker.rooms)
        return Admission(percent, max(costs, default=0.0))

    def _spend_planned(self, worker: Worker, rooms: dict[str, float]) -> None:
        """Take off what the filling runs of a worker take at their present paces."""
        for name, use in _planned_uses(worker).items():
            for serving in rooms:
                rooms[serving] -= self.cost(serving, name) * use

    def plan_pacing(self, worker: Worker, now_ms: int) -> list[PaceRun]:
        """Return how fast filling runs should work until the next reading."""
        if worker.learned_ms != now_ms:
            return []
        fillers = [
            r for r in worker.runs.values() if r.task.step.spec.best_effort and r.state == "running"
        ]
        if not fillers:
            return []
        if now_ms - worker.cool_ms > HOT_MS:  # whatever the model says
            return [PaceRun(worker, run, 0) for run in fillers if run.speed_percent]
        rooms = _forecasts(worker)
        orders = []
        for run in sorted(fillers, key=lambda run: run.started_ms):
            spec = run.task.step.spec
            percent = self._pace_within(worker, spec, rooms, PACE_SLACK)
            for serving in rooms:
                rooms[serving] -= self.cost(serving, spec.image) * _use(worker, spec, percent)
            faster = percent - run.speed_percent
            full = percent == 100 and faster > 0
            if full or faster >= FASTER_PERCENT or -faster >= SLOWER_PERCENT:
                orders.append(PaceRun(worker, run, percent))
        return orders

    def _pace_within(
        self, worker: Worker, spec: StepSpec, rooms: dict[str, float], kept: float
    ) -> int:
        """Return the pace at which a task leaves each service the slack that it is to keep."""
        share = 1.0
        for serving, room in rooms.items():
            cost = self.cost(serving, spec.image) * _use(worker, spec, 100)
            least = HARMLESS_SLACK if self.harmless(serving, spec.image) else kept
            if cost > max(0.0, room - least):
                share = min(share, max(0.0, room - least) / cost)
        percent = int(100 * share)
        return percent if percent >= LEAST_PERCENT else 0


def _forecasts(worker: Worker) -> dict[str, float]:
    """Return by serving image the least own slack some readings ahead, if it goes on falling."""
    found: dict[str, float] = {}
    for run in worker.runs.values():
        spec = run.task.step.spec
        if spec.tail_target_ms:
            own = UNSEEN_SLACK if run.undisturbed_slack is None else run.undisturbed_slack
            ahead = own + FORECAST_READINGS * min(0.0, run.undisturbed_slack_trend)
            found[spec.image] = min(ahead, found.get(spec.image, math.inf))
    return found


def _use(worker: Worker, spec: StepSpec, percent: int) -> float:
    """Return the share of the worker's processors that a task uses at a pace."""
    return spec.cpu_millis * percent / 100 / worker.info.cpu_millis


def _serving(runs: Iterable[Run]) -> Iterable[Run]:
    """Yield the serving runs that are at work and were measured."""
    for run in runs:
        if (
            run.task.step.spec.tail_target_ms
            and run.progress_percent == 100
            and run.tail_ms_or_cpu_millis > 0
        ):
            yield run


def _measured_uses(worker: Worker) -> dict[str, float]:
    """Return the share of the worker's processors that each filling image used lately."""
    uses: dict[str, float] = {}
    for run in worker.runs.values():
        spec = run.task.step.spec
        if spec.best_effort and run.tail_ms_or_cpu_millis:
            uses[spec.image] = (
                uses.get(spec.image, 0.0) + run.tail_ms_or_cpu_millis / worker.info.cpu_millis
            )
    return uses


def _planned_uses(worker: Worker) -> dict[str, float]:
    """Return the share that each filling image will use at its present pace."""
    uses: dict[str, float] = {}
    for run in worker.runs.values():
        spec = run.task.step.spec
        if spec.best_effort and run.speed_percent:
            use = _use(worker, spec, run.speed_percent)
            uses[spec.image] = uses.get(spec.image, 0.0) + use
    return uses
