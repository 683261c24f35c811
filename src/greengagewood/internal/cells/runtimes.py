"""Learn how long tasks run, and how fast workers are, from the ends of runs.

The load: queues whose callers' estimates are wrong, tasks of which a few take several times as long
as the rest, workers that become slow for a while, and best-effort tasks that run at a speed limit
on CPU that others leave idle.

The work of a run is the time that it takes at full speed. For a best-effort run this is the
integral of its CPU use over the CPU that it requests. Any other run has its CPU to itself, so its
work is the time since its start was accepted. For each queue and image, the ratio of work to the
caller's estimate is kept as a histogram on a log scale whose samples decay slowly. A worker's speed
is the median of how its last runs differ from those of other workers.

What is learned of a worker must not act on what it is compared with before that has settled, or the
errors add up with each end. So the ends of other workers are compared as they were measured, and
the histograms take a worker's speed from a snapshot of all workers at one time.

There is one `RunTimes` object for each term of ownership. A new owner has no history: it expects
what callers have estimated, and takes all workers to be equally fast.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median

from greengagewood.internal.jobs.book import Run

__all__ = ["LogQuantiles", "RunTimes"]

BIN_WIDTH = 0.1  # on the scale of natural logarithms
MAX_BIN = 40  # ratios up to e^4, which is 55
SAMPLE_DECAY = 0.995  # per sample: the last 200 count most
PRIOR_WEIGHT = 4.0  # of the caller's estimate, in samples
DEFAULT_ESTIMATE_MS = 1_000  # of tasks without an estimate

# What a run's progress must amount to before it counts as much as the expected time. A task that
# takes 7 times as long as others is at 14 % when those end, and is then expected to take 5 times.
PRIOR_PROGRESS = 0.05
MAX_BASELINE_PERCENT = 70  # a run first seen at more than this tells little about its whole work
READING_MS = 500  # a listed CPU use covers this much time
FIRST_READING_MS = 1_000  # by then, a CPU use of 0 is a reading
MIN_SHARE = 0.05  # of its CPU at which a best-effort run is assumed to go on at least

VOTES = 5  # ends from which the speed of a worker is computed; three of them decide
MIN_VOTES = 3
MIN_SAMPLES = 10  # of an image, before a worker's ends are compared with them
MAX_VOTE_AGE_MS = 15_000  # a slow worker gets few tasks, so it must not depend on their ends
MIN_SIBLINGS = 3  # ends of tasks of the same step on other workers, to compare with these
MAX_SIBLINGS = 15
MAX_STEPS = 512  # whose ends are kept for comparison
TYPICAL_INTERVAL_MS = 500  # between two computations of the typical speed

MAX_LOG_SPEED = 4.0  # of a worker, as a natural logarithm
SLOW_SPEED = 0.67  # below this share of the median speed, a worker is clearly slow
MAX_SLOW_SHARE = 0.25  # of a service's workers; if more are slow, there is little to choose

Key = tuple[str, str]  # queue and image
StepKey = tuple[str, int, int]  # job, occurrence and step


class LogQuantiles:
    """Quantiles of ratios, from a decaying histogram on a log scale; the prior ratio is 1."""

    def __init__(self) -> None:
        self._weights = [0.0] * (2 * MAX_BIN + 1)
        self._sum = 0.0
        self._median: float | None = 0.0  # None if it must be computed anew

    def add(self, log_ratio: float) -> None:
        """Add a sample."""
        index = min(MAX_BIN, max(-MAX_BIN, round(log_ratio / BIN_WIDTH))) + MAX_BIN
        self._weights = [weight * SAMPLE_DECAY for weight in self._weights]
        self._weights[index] += 1.0
        self._sum = self._sum * SAMPLE_DECAY + 1.0
        self._median = None

    @property
    def median(self) -> float:
        """Return the logarithm of the median ratio."""
        if self._median is None:
            self._median = self.quantile(0.5)
        return self._median

    @property
    def sample_count(self) -> float:
        """Return the number of samples, less what has decayed."""
        return self._sum

    def quantile(self, share: float) -> float:
        """Return the logarithm of the ratio that a share of the samples does not exceed."""
        left = share * (self._sum + PRIOR_WEIGHT)
        for index, samples in enumerate(self._weights):
            weight = samples + (PRIOR_WEIGHT if index == MAX_BIN else 0.0)
            if weight and left <= weight:
                return (index - MAX_BIN - 0.5 + left / weight) * BIN_WIDTH
            left -= weight
        return MAX_BIN * BIN_WIDTH


@dataclass(slots=True)
class _Votes:
    """How much longer the last runs of one worker took, as logarithms with their times."""

    entries: deque[tuple[int, float]] = field(default_factory=lambda: deque(maxlen=VOTES))
    last_step: StepKey | None = None  # of the last vote, if that may be due to a wrong estimate
    last_count: int = 0  # ends in that vote

    def add(self, log_slowness: float, now_ms: int, step: StepKey | None) -> None:
        """Add a vote; ends of the same step in a row are one vote, as their estimate is shared."""
        if step is not None and step == self.last_step and self.entries:
            _, mean = self.entries.pop()
            self.last_count += 1
            log_slowness = mean + (log_slowness - mean) / self.last_count
        else:
            self.last_count = 1
        self.last_step = step
        self.entries.append((now_ms, log_slowness))

    def slowness(self, typical: float, now_ms: int) -> float | None:
        """Return the median of the recent votes, or None if there are too few.

        Missing votes count as typical, so that two stragglers never decide.
        """
        recent = [vote for at_ms, vote in self.entries if now_ms - at_ms <= MAX_VOTE_AGE_MS]
        if len(recent) < MIN_VOTES:
            return None
        return median([*recent, *[typical] * (VOTES - len(recent))])


class RunTimes:
    """Run times and speeds of workers, as learned during one term of ownership."""

    def __init__(self) -> None:
        self._ratios: dict[Key, LogQuantiles] = {}
        self._votes: dict[tuple[str, bool], _Votes] = {}  # by worker, and whether best-effort
        # Logarithms of the measured ratios of the last ends of a step, each with its worker.
        self._siblings: OrderedDict[StepKey, deque[tuple[str, float]]] = OrderedDict()
        self._typical_slowness = 0.0
        self._relative_slowness: dict[str, float] = (
            {}
        )  # of the workers, as it was computed with that
        self._typical_ms: int | None = None

    # Learning.

    def note_listed(self, run: Run, now_ms: int) -> None:
        """Count a run's work up to a list of its worker, which has its newest reading."""
        spec = run.task.step.spec
        if spec.long_running or run.accepted_ms is None:
            return
        if run.work_counted_ms is None:
            run.work_counted_ms = run.accepted_ms
            if run.resumed:  # it has done an unknown part of its work
                run.work_counted_ms = now_ms
                run.baseline_percent = run.progress_percent
        run.work_ms += (now_ms - run.work_counted_ms) * _share(run, now_ms)
        run.work_counted_ms = now_ms

    def note_end(self, run: Run, now_ms: int) -> None:
        """Learn from a run that has done its task."""
        spec = run.task.step.spec
        if spec.long_running or run.accepted_ms is None or spec.tail_target_ms:
            return
        if run.resumed and run.work_counted_ms is None:
            return
        self.note_listed(run, now_ms)
        if run.baseline_percent > MAX_BASELINE_PERCENT:
            return
        work_ms = run.work_ms / (1 - run.baseline_percent / 100)
        log_ratio = math.log(max(1.0, work_ms) / (spec.estimate_ms or DEFAULT_ESTIMATE_MS))
        self._update_typical(now_ms)
        ratios = self._ratios.setdefault(_key(run), LogQuantiles())
        self._vote(run, log_ratio, ratios, now_ms)
        ratios.add(log_ratio - self._relative_slowness.get(run.worker_id, 0.0))
        step = _step_key(run)
        ends = self._siblings.setdefault(step, deque(maxlen=MAX_SIBLINGS))
        ends.append((run.worker_id, log_ratio))
        self._siblings.move_to_end(step)
        if len(self._siblings) > MAX_STEPS:
            self._siblings.popitem(last=False)

    def _vote(self, run: Run, log_ratio: float, ratios: LogQuantiles, now_ms: int) -> None:
        """Compare an end with those of its step on other workers, or else with all of its image."""
        step: StepKey | None = _step_key(run)
        others = [
            r for worker, r in self._siblings.get(_step_key(run), ()) if worker != run.worker_id
        ]
        if len(others) >= MIN_SIBLINGS:
            expected, step = median(others), None
        elif ratios.sample_count >= MIN_SAMPLES:
            expected = ratios.median
        else:
            return  # the estimate may be wrong
        votes = self._votes.setdefault((run.worker_id, run.task.step.spec.best_effort), _Votes())
        votes.add(log_ratio - expected, now_ms, step)

    def forget_worker(self, worker: str) -> None:
        """Forget the speed of a worker that has left or rebooted."""
        self._votes.pop((worker, False), None)
        self._votes.pop((worker, True), None)
        self._relative_slowness.pop(worker, None)

    # Run times.

    def knows(self, queue: str, image: str) -> bool:
        """Return whether enough runs have ended to know how long tasks take."""
        ratios = self._ratios.get((queue, image))
        return ratios is not None and ratios.sample_count >= MIN_SAMPLES

    def expected_ms(self, queue: str, image: str, estimate_ms: int) -> int:
        """Return how long a task will take at full speed on a typical worker: the median."""
        ratios = self._ratios.get((queue, image))
        ratio = math.exp(ratios.median) if ratios else 1.0
        return round((estimate_ms or DEFAULT_ESTIMATE_MS) * ratio)

    def quantile_ms(self, queue: str, image: str, estimate_ms: int, share: float) -> int:
        """Return the time at full speed that a share of the tasks does not exceed."""
        ratios = self._ratios.get((queue, image))
        ratio = math.exp(ratios.quantile(share)) if ratios else 1.0
        return round((estimate_ms or DEFAULT_ESTIMATE_MS) * ratio)

    def remaining_ms(self, run: Run, now_ms: int) -> int | None:
        """Return how long a run will still take as it goes on now; None for a long-running task.

        The expected time counts like a small part of the progress, so that a run that gets on
        slowly is noticed once others would have ended.
        """
        spec = run.task.step.spec
        if spec.long_running:
            return None
        speed = self.worker_speed(run.worker_id, now_ms)
        typical_ms = self.expected_ms(*_key(run), spec.estimate_ms) / speed
        done = max(0, run.progress_percent - run.baseline_percent) / 100
        total_ms = (run.work_ms + PRIOR_PROGRESS * typical_ms) / (done + PRIOR_PROGRESS)
        share = max(MIN_SHARE, min(_share(run, now_ms), run.speed_percent / 100))
        left_ms = total_ms * (1 - run.progress_percent / 100) / share
        if run.work_counted_ms is not None:
            left_ms -= now_ms - run.work_counted_ms
        return max(0, round(left_ms))

    # Speeds of workers.

    def worker_speed(self, worker: str, now_ms: int) -> float:
        """Return the speed of a worker relative to that of a typical one, within limits."""
        log_speed = self._typical_slowness - self._slowness(worker, now_ms)
        return math.exp(min(MAX_LOG_SPEED, max(-MAX_LOG_SPEED, log_speed)))

    def slow_workers(self, workers: Iterable[str], now_ms: int) -> set[str]:
        """Return the clearly slow ones of a service's workers, at most a quarter of them."""
        speeds = {worker: self.worker_speed(worker, now_ms) for worker in workers}
        if not speeds:
            return set()
        limit = SLOW_SPEED * median(speeds.values())
        slow = sorted((speed, worker) for worker, speed in speeds.items() if speed < limit)
        return {worker for _, worker in slow[: int(len(speeds) * MAX_SLOW_SHARE)]}

    def _slowness(self, worker: str, now_ms: int) -> float:
        """Return the logarithm of how much longer a worker takes than others have taken.

        Best-effort runs count only while too few others end there, as their CPU use is rough.
        """
        for best_effort in (False, True):
            votes = self._votes.get((worker, best_effort))
            slowness = votes.slowness(self._typical_slowness, now_ms) if votes else None
            if slowness is not None:
                return slowness
        return self._typical_slowness

    def _update_typical(self, now_ms: int) -> None:
        """Compare all workers with their median: if all have slowed down, tasks are longer."""
        if self._typical_ms is not None and now_ms - self._typical_ms < TYPICAL_INTERVAL_MS:
            return
        self._typical_ms = now_ms
        known = {name: self._slowness(name, now_ms) for name in {name for name, _ in self._votes}}
        self._typical_slowness = median(known.values()) if known else 0.0
        self._relative_slowness = {
            name: slowness - self._typical_slowness for name, slowness in known.items()
        }


def _key(run: Run) -> Key:
    step = run.task.step
    return step.job.submission.queue.name, step.spec.image


def _step_key(run: Run) -> StepKey:
    task_id = run.task.id
    return task_id.job_id, task_id.occurrence, task_id.step


def _share(run: Run, now_ms: int) -> float:
    """Return the share of its full speed at which a run goes on."""
    spec = run.task.step.spec
    if not spec.best_effort or not spec.cpu_millis or run.accepted_ms is None:
        return 1.0
    limit = run.speed_percent / 100
    age_ms = now_ms - run.accepted_ms
    reading = run.tail_ms_or_cpu_millis / spec.cpu_millis
    if age_ms < FIRST_READING_MS and not run.resumed:
        if not reading:
            return limit  # none was listed yet
        reading *= max(1.0, READING_MS / max(1, age_ms))  # it covers time before the start
        return min(limit, reading)
    return reading
