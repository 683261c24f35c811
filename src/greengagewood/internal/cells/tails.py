"""Keep the tail latencies of services under their targets while best-effort tasks run beside them.

Best-effort tasks disturb services by amounts that differ between images, while the load of the
services themselves rises and falls within seconds.

The model: a service's tail latency grows like that of a queue, with 1 / (1 - load), and the loads
of all that disturb it add up. So its slack, which is the target divided by the tail latency, falls
by the same amount for each CPU that a best-effort task uses, whatever the service's own load is.
With a slack of 1 the tail latency is at its target. The amount is called the effect of a
best-effort image on a serving image. It is learned over all workers of the cell from how far slack
falls when best-effort tasks are added or sped up. The undisturbed slack, which a service would have
without any best-effort task beside it, is estimated anew from each reading. Each best-effort task
that is placed or sped up consumes a part of it.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from greengagewood.internal.cells.boots import Admission, Boot
from greengagewood.internal.cells.orders import ThrottleRun
from greengagewood.internal.cells.regression import Regression
from greengagewood.internal.jobs.book import Run
from greengagewood.internal.jobs.model import StepSpec

__all__ = ["MIN_SPEED_PERCENT", "TailLatencyModel"]

MIN_READING_INTERVAL_MS = 400  # between readings learned from; each covers the last half second
MAX_READING_INTERVAL_MS = 1_500  # no change is learned from readings that are further apart

# An effect is that of using all CPUs of a worker. The prior distribution for a pair of images spans
# the effects in docs/MEASUREMENTS.md, 0 to 22.
PRIOR_EFFECT_MEAN, PRIOR_EFFECT_VARIANCE = 8.0, 100.0
OWN_CHANGE_VARIANCE = 0.15  # of slack changes between readings caused by a service's own load
FORGETTING_FACTOR = 0.998  # per sample of a pair of images: effects may change within minutes
MIN_CPU_SHARE_CHANGE = 0.02  # of the worker's CPUs; smaller changes are not learned from
MAX_SLACK = 6.0  # of an idle service; beyond it tail latencies in whole ms are mostly rounding
BACKLOG_SLACK = 0.8  # a lower slack comes from a backlog of requests, which outlasts its cause

MIN_SAMPLES_FOR_HARMLESS = 3  # of a pair of images, before it may count as harmless
MAX_HARMLESS_EFFECT = 3.0  # effects are either near 0 or well above this
ASSUMED_SLACK = 2.5  # of a service without readings, which is assumed to be half loaded

# The least forecast slack that best-effort tasks must leave to a service.
MIN_SLACK_TO_PLACE = 1.3  # when another task is placed beside the service
# When a task is placed beside a service that its image is known to disturb, although there are
# workers without such services. The load of services swings by half within seconds; with 1.3, such
# tasks were soon stopped by a speed limit of 0, and the rest of the step waited for them.
MIN_SLACK_TO_DISTURB = 3.0
# With fewer workers on which an image disturbs no service, its tasks would hardly be placed at all.
MIN_UNDISTURBED_WORKERS = 8
MIN_SLACK_TO_RUN = 1.15  # while tasks run beside it
MIN_SLACK_IF_HARMLESS = 1.0  # for tasks of harmless images, which may bring it to its target
FORECAST_READINGS = 2.0  # number of readings by which a falling slack is extrapolated

# After a tail latency was over its target for this long, best-effort runs get a speed limit of 0.
# It is well within the time that a tail latency may be over its target.
OVER_TARGET_STOP_MS = 1_500

MIN_SPEED_PERCENT = 10  # of full speed; a lower limit becomes 0
MIN_SLOWDOWN_PERCENT = 5  # smallest decrease of a speed limit that is worth an order
MIN_SPEEDUP_PERCENT = 20  # smallest increase that is worth an order, unless it is to full speed


@dataclass
class TailLatencyModel:
    """Learn how far best-effort images disturb serving images, and limit the tasks accordingly.

    `regressions` has one entry for each serving image; its features are best-effort images.
    `undisturbed_counts` has the number of workers on which a best-effort image is not known to
    disturb any service, by image.
    """

    regressions: dict[str, Regression] = field(default_factory=dict)
    undisturbed_counts: dict[str, int] = field(default_factory=dict)

    # Learning.

    def learn(self, worker: Boot, now_ms: int) -> None:
        """Learn from the readings that a worker has just listed with its runs."""
        if now_ms - worker.last_learned_ms < MIN_READING_INTERVAL_MS:
            return
        recent = now_ms - worker.last_learned_ms < MAX_READING_INTERVAL_MS
        worker.last_learned_ms = now_ms
        worker.invalidate_slack()
        cpu_shares = _measured_cpu_shares(worker)
        changes = {  # of CPU shares, by best-effort image
            name: change
            for name in {**cpu_shares, **worker.best_effort_shares}
            if abs(change := cpu_shares.get(name, 0.0) - worker.best_effort_shares.get(name, 0.0))
            >= MIN_CPU_SHARE_CHANGE
        }
        worker.best_effort_shares = cpu_shares
        slack_falls: dict[str, list[float]] = {}  # by serving image
        min_slack = MAX_SLACK
        for run in _serving_runs(worker.runs.values()):
            slack = min(MAX_SLACK, run.task.step.spec.tail_target_ms / run.tail_ms_or_cpu_millis)
            min_slack = min(min_slack, slack)
            if recent and run.slack is not None and run.slack >= BACKLOG_SLACK:
                slack_falls.setdefault(run.task.step.spec.image, []).append(run.slack - slack)
            run.slack = slack
        # A tail latency rises at once with its cause, but outlasts it. So nothing is learned when
        # the CPU use of an image has fallen.
        if changes and min(changes.values()) > 0:
            for image, falls in slack_falls.items():
                self._regression(image).learn(changes, sum(falls) / len(falls))
        for run in _serving_runs(worker.runs.values()):
            self._estimate_undisturbed_slack(run, cpu_shares, recent)
        worker.min_slack = min_slack
        if min_slack > 1:
            worker.last_on_target_ms = now_ms

    def _estimate_undisturbed_slack(
        self, run: Run, cpu_shares: dict[str, float], recent: bool
    ) -> None:
        image = run.task.step.spec.image
        disturbance = sum(self.effect(image, name) * share for name, share in cpu_shares.items())
        undisturbed = min(MAX_SLACK, (run.slack or 0.0) + disturbance)
        run.undisturbed_slack_trend = (
            undisturbed - run.undisturbed_slack
            if recent and run.undisturbed_slack is not None
            else 0.0
        )
        run.undisturbed_slack = undisturbed

    def _regression(self, image: str) -> Regression:
        regression = self.regressions.get(image)
        if regression is None:
            regression = Regression(
                PRIOR_EFFECT_MEAN, PRIOR_EFFECT_VARIANCE, OWN_CHANGE_VARIANCE, FORGETTING_FACTOR
            )
            self.regressions[image] = regression
        return regression

    def effect(self, serving: str, best_effort: str) -> float:
        """Return how far a best-effort image lowers a serving image's slack if it uses all CPUs."""
        return max(0.0, self._regression(serving).weight(best_effort))

    def conservative_effect(self, serving: str, best_effort: str) -> float:
        """Return the effect to plan with: its uncertainty is added unless it is harmless."""
        effect = self.effect(serving, best_effort)
        return (
            effect
            if self.is_harmless(serving, best_effort)
            else effect + self._standard_deviation(serving, best_effort)
        )

    def is_harmless(self, serving: str, best_effort: str) -> bool:
        """Return whether a best-effort image is known to disturb a serving image little."""
        upper_estimate = (
            self.effect(serving, best_effort) + self._standard_deviation(serving, best_effort) / 2
        )
        return (
            self._has_enough_samples(serving, best_effort) and upper_estimate < MAX_HARMLESS_EFFECT
        )

    def is_disturbing(self, serving: str, best_effort: str) -> bool:
        """Return whether a best-effort image is known to disturb a serving image a lot."""
        return (
            self._has_enough_samples(serving, best_effort)
            and self.effect(serving, best_effort) > MAX_HARMLESS_EFFECT
        )

    def _standard_deviation(self, serving: str, best_effort: str) -> float:
        return math.sqrt(self._regression(serving).variance(best_effort))

    def _has_enough_samples(self, serving: str, best_effort: str) -> bool:
        return (
            self._regression(serving).sample_counts.get(best_effort, 0) >= MIN_SAMPLES_FOR_HARMLESS
        )

    # Decisions.

    def count_undisturbed(self, workers: Iterable[Boot]) -> None:
        """Count for each best-effort image the workers on which it disturbs no service."""
        images = {image for known in self.regressions.values() for image in known.sample_counts}
        groups = Counter(
            frozenset(
                run.task.step.spec.image
                for run in worker.runs.values()
                if run.task.step.spec.tail_target_ms
            )
            for worker in workers
        )
        self.undisturbed_counts = {
            image: sum(
                count
                for serving_images, count in groups.items()
                if not any(self.is_disturbing(serving, image) for serving in serving_images)
            )
            for image in images
        }

    def avoids_disturbed(self, image: str) -> bool:
        """Return whether a best-effort image avoids the services that it is known to disturb."""
        return self.undisturbed_counts.get(image, 0) >= MIN_UNDISTURBED_WORKERS

    def admission_for(self, worker: Boot, spec: StepSpec) -> Admission:
        """Return how fast one more best-effort task may run beside the worker's serving tasks."""
        key = (spec.image, spec.cpu_millis, self.avoids_disturbed(spec.image))
        admission = worker.admissions.get(key)
        if admission is None:
            admission = worker.admissions[key] = self._compute_admission(worker, spec)
        return admission

    def _compute_admission(self, worker: Boot, spec: StepSpec) -> Admission:
        if worker.remaining_slack is None:
            worker.remaining_slack = _forecast_slack(worker)
            self._subtract_planned_use(worker, worker.remaining_slack)
        percent = self._max_speed_percent(worker, spec, worker.remaining_slack, placing=True)
        share = _cpu_share(worker, spec, 100)
        costs = (
            self.conservative_effect(serving, spec.image) * share
            for serving in worker.remaining_slack
        )
        return Admission(percent, max(costs, default=0.0))

    def _subtract_planned_use(self, worker: Boot, slack_by_image: dict[str, float]) -> None:
        """Subtract the slack that best-effort runs use up at their present speed limits."""
        for name, share in _planned_cpu_shares(worker).items():
            for serving in slack_by_image:
                slack_by_image[serving] -= self.conservative_effect(serving, name) * share

    def plan_speed_limits(
        self, worker: Boot, now_ms: int, value_of: Callable[[Run], float]
    ) -> list[ThrottleRun]:
        """Return orders to change the speed limits of best-effort runs until the next reading.

        The runs of the highest value get their share of the slack first.
        """
        if worker.last_learned_ms != now_ms:
            return []
        best_effort_runs = [
            run
            for run in worker.runs.values()
            # A run of a task that has ended, or is not expected, is about to be stopped.
            if run.task.step.spec.best_effort and run.state == "running" and not run.task.end_state
        ]
        if not best_effort_runs:
            return []
        if (
            now_ms - worker.last_on_target_ms > OVER_TARGET_STOP_MS
        ):  # even if the model expects slack
            return [ThrottleRun(worker, run, 0) for run in best_effort_runs if run.speed_percent]
        slack_by_image = _forecast_slack(worker)
        orders = []
        for run in sorted(best_effort_runs, key=value_of, reverse=True):
            spec = run.task.step.spec
            percent = self._max_speed_percent(worker, spec, slack_by_image, placing=False)
            for serving in slack_by_image:
                slack_by_image[serving] -= self.conservative_effect(
                    serving, spec.image
                ) * _cpu_share(worker, spec, percent)
            increase = percent - run.speed_percent
            to_full_speed = percent == 100 and increase > 0
            if (
                to_full_speed
                or increase >= MIN_SPEEDUP_PERCENT
                or -increase >= MIN_SLOWDOWN_PERCENT
            ):
                orders.append(ThrottleRun(worker, run, percent))
        return orders

    def _max_speed_percent(
        self,
        worker: Boot,
        spec: StepSpec,
        slack_by_image: dict[str, float],
        *,
        placing: bool,
    ) -> int:
        """Return the highest speed limit at which a task leaves each service its minimum slack."""
        speed = 1.0
        for serving, slack in slack_by_image.items():
            cost = self.conservative_effect(serving, spec.image) * _cpu_share(worker, spec, 100)
            kept = self._min_slack(serving, spec.image, placing)
            if cost > max(0.0, slack - kept):
                speed = min(speed, max(0.0, slack - kept) / cost)
        percent = int(100 * speed)
        return percent if percent >= MIN_SPEED_PERCENT else 0

    def _min_slack(self, serving: str, best_effort: str, placing: bool) -> float:
        """Return the least slack that a best-effort task must leave to a service."""
        if self.is_harmless(serving, best_effort):
            return MIN_SLACK_IF_HARMLESS
        if not placing:
            return MIN_SLACK_TO_RUN
        if self.avoids_disturbed(best_effort) and self.is_disturbing(serving, best_effort):
            return MIN_SLACK_TO_DISTURB
        return MIN_SLACK_TO_PLACE


def _forecast_slack(worker: Boot) -> dict[str, float]:
    """Return the undisturbed slack that is expected some readings ahead, by serving image.

    A slack that falls is expected to go on falling. The lowest of an image's runs counts.
    """
    forecasts: dict[str, float] = {}
    for run in worker.runs.values():
        spec = run.task.step.spec
        if spec.tail_target_ms:
            undisturbed = ASSUMED_SLACK if run.undisturbed_slack is None else run.undisturbed_slack
            forecast = undisturbed + FORECAST_READINGS * min(0.0, run.undisturbed_slack_trend)
            forecasts[spec.image] = min(forecast, forecasts.get(spec.image, math.inf))
    return forecasts


def _cpu_share(worker: Boot, spec: StepSpec, percent: int) -> float:
    """Return the share of the worker's CPUs that a task uses at a percentage of full speed."""
    if worker.info.cpu_millis <= 0:  # the capacity is not known, or the worker has none left
        return percent / 100
    return spec.cpu_millis * percent / 100 / worker.info.cpu_millis


def _serving_runs(runs: Iterable[Run]) -> Iterable[Run]:
    """Yield the runs that have begun to serve callers and have a reading of their tail latency."""
    for run in runs:
        if (
            run.task.step.spec.tail_target_ms
            and run.progress_percent == 100
            and run.tail_ms_or_cpu_millis > 0
        ):
            yield run


def _measured_cpu_shares(worker: Boot) -> dict[str, float]:
    """Return the share of the worker's CPUs that each best-effort image used, as last listed."""
    shares: dict[str, float] = {}
    if worker.info.cpu_millis <= 0:
        return shares
    for run in worker.runs.values():
        spec = run.task.step.spec
        if spec.best_effort and run.tail_ms_or_cpu_millis:
            shares[spec.image] = (
                shares.get(spec.image, 0.0) + run.tail_ms_or_cpu_millis / worker.info.cpu_millis
            )
    return shares


def _planned_cpu_shares(worker: Boot) -> dict[str, float]:
    """Return the share of the worker's CPUs that each best-effort image may use at its limits."""
    shares: dict[str, float] = {}
    for run in worker.runs.values():
        spec = run.task.step.spec
        if spec.best_effort and run.speed_percent:
            share = _cpu_share(worker, spec, run.speed_percent)
            shares[spec.image] = shares.get(spec.image, 0.0) + share
    return shares
