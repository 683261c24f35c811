"""Decide which runs of speculative steps get a copy on another worker.

The load: steps of which a few tasks take several times as long as the rest, so that their job waits
for them. A copy is started if the run will take at least twice as long as a new one. The first end
counts, and the other run is stopped.

If a task is long by itself, its copy takes as long and only costs capacity. So the share of copies
that ended first is counted for each queue and image, and where few did, no more are started.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from greengagewood.internal.cells.runtimes import RunTimes
from greengagewood.internal.jobs.book import Run

__all__ = ["CopyPolicy", "Straggler"]

MIN_GAIN = 2.0  # how many times as long as a new run the rest of the present one must take
START_MS = 150  # time until a copy has been placed and started
BUDGET_SHARE = 0.05  # of a service's CPU, for all copies; if 3 % straggle, their copies need 2.5 %
MIN_WIN_SHARE = 0.3
PRIOR_OUTCOMES = 4.0  # of which half were won
OUTCOME_DECAY = 0.95  # so that an image whose tasks change gets another chance after some time
RETRY_MS = 20_000  # after which a copy is tried although few have ended first


@dataclass(frozen=True, slots=True)
class Straggler:
    """A run that may get a copy, with what that was decided from."""

    run: Run
    remaining_ms: int
    expected_ms: int


@dataclass(slots=True)
class _Outcomes:
    won: float = PRIOR_OUTCOMES / 2
    total: float = PRIOR_OUTCOMES
    last_ms: int = 0


class CopyPolicy:
    """Which stragglers get copies, as learned during one term of ownership."""

    def __init__(self, run_times: RunTimes) -> None:
        self._run_times = run_times
        self._outcomes: dict[tuple[str, str], _Outcomes] = {}

    @staticmethod
    def budget_millis(service_cpu_millis: int) -> int:
        """Return the CPU that the copies of a service may request together."""
        return int(service_cpu_millis * BUDGET_SHARE)

    def find_straggler(self, run: Run, max_attempts: int, now_ms: int) -> Straggler | None:
        """Return the run as a straggler if it should get a copy.

        A task whose next failure would end its job gets none: the copy could fail first. Neither
        does a run of an earlier owner, which may have started a copy already.
        """
        task = run.task
        spec = task.step.spec
        if (
            not spec.speculative
            or spec.gang
            or spec.long_running
            or run.state != "running"
            or run.accepted_ms is None
            or task.run is not run
            or task.was_copied
            or task.end_state
            or task.step.job.is_final
            or run.resumed
            or task.crashes
            or task.late_start is not None
            or len(task.failed_runs) + 1 >= max_attempts
        ):
            return None
        queue = task.step.job.submission.queue.name
        expected_ms = self._run_times.expected_ms(queue, spec.image, spec.estimate_ms)
        if now_ms - run.accepted_ms < expected_ms or not self._run_times.knows(queue, spec.image):
            return None
        remaining_ms = self._run_times.remaining_ms(run, now_ms)
        if remaining_ms is None or remaining_ms < MIN_GAIN * expected_ms + START_MS:
            return None
        if not self._is_worthwhile((queue, spec.image), now_ms):
            return None
        return Straggler(run, remaining_ms, expected_ms)

    def _is_worthwhile(self, key: tuple[str, str], now_ms: int) -> bool:
        outcomes = self._outcomes.get(key)
        return (
            outcomes is None
            or outcomes.won >= MIN_WIN_SHARE * outcomes.total
            or now_ms - outcomes.last_ms > RETRY_MS
        )

    def note_outcome(self, run: Run, copy_won: bool, now_ms: int) -> None:
        """Record whether a copy or the first run of a task has ended first."""
        step = run.task.step
        key = step.job.submission.queue.name, step.spec.image
        outcomes = self._outcomes.setdefault(key, _Outcomes())
        outcomes.won = outcomes.won * OUTCOME_DECAY + copy_won
        outcomes.total = outcomes.total * OUTCOME_DECAY + 1
        outcomes.last_ms = now_ms
