"""Decide what follows from failed runs: for their workers, and for tasks that fail at each start.

The load: workers that fail all that they start, beside jobs of which every run fails. A worker of
the first kind gets no runs for some time. A long-running task of the second kind has no limit of
its attempts, so it is started ever more rarely, and holds no room meanwhile. `attribution` tells
the two kinds apart.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from itertools import islice

from greengagewood.internal.attribution import FailureHistory
from greengagewood.internal.cells.boots import LONGEST_BACKOFF_FOR_LOST_MS, Boot
from greengagewood.internal.jobs.book import JobBook, Run, Step, Task

__all__ = [
    "FIRST_WORKER_BACKOFF_MS",
    "LONGEST_RESTART_DELAY_MS",
    "LONGEST_WORKER_BACKOFF_MS",
    "FailureTracker",
    "restart_delay_ms",
]

FIRST_WORKER_BACKOFF_MS = 1_000  # each backoff is twice as long as the last, until a success
LONGEST_WORKER_BACKOFF_MS = 8_000
FAILURES_BEFORE_BACKOFF = 3  # among a worker's last eight outcomes, with no success among them
MIN_LASTING_MS = 2_000  # after which a long-running run counts as a success
FIRST_RESTART_DELAY_MS = 250  # after the second failure in a row
MIN_EXPECTED_MS = 1_000  # of a run until it ends; estimates of short ones are often too low
MAX_PEERS = 8  # more workers of a service make no difference
MAX_REPORTED_WORKERS = 8
RESUMED_GROUPS = 8  # of a step's tasks, which end their delays together
# The platform allows a long-running task 9 s without a run, and a takeover may come in between.
LONGEST_RESTART_DELAY_MS = LONGEST_BACKOFF_FOR_LOST_MS


def restart_delay_ms(failed_starts: int) -> int:
    """Return how long a task waits after so many starts in a row that have failed soon."""
    if failed_starts < 2:
        return 0
    delay_ms = FIRST_RESTART_DELAY_MS << min(failed_starts - 2, 16)
    return min(LONGEST_RESTART_DELAY_MS, delay_ms)


class FailureTracker:
    """Failures and successes of the runs of one term of ownership."""

    def __init__(
        self,
        book: JobBook,
        boots: Mapping[str, Boot],
        emit: Callable[[str, dict[str, object]], None],
    ) -> None:
        self._book = book
        self._boots = boots
        self._emit = emit

    def note_success(self, boot: Boot, task: Task, run: Run | None, now_ms: int) -> None:
        """Record that a task has succeeded, and what that shows of other workers."""
        boot.note_success()
        self._settle(boot, task.step, run, now_ms)

    def note_listed(self, boot: Boot, run: Run, now_ms: int) -> None:
        """Record that a boot lists a run of a long-running task: the start succeeds if it lasts."""
        if run.lasted or not _has_lasted(run, now_ms):
            return
        run.lasted = True
        self._settle(boot, run.task.step, run, now_ms)
        self._book.note_failed_starts(run.task, 0)

    def note_failed_run(self, boot: Boot, task: Task, run: Run | None, now_ms: int) -> None:
        """Record that a run of a task has failed, as its worker lists; `run` is None if unknown."""
        if self._count(boot, task, run, now_ms):
            self._close_if_failing(boot, now_ms)
        task.failed_workers = (*task.failed_workers, boot.name)[-4:]
        if task.step.spec.long_running:
            self._delay(task, 0 if _has_lasted(run, now_ms) else task.failed_starts + 1, now_ms)

    def note_stuck_run(self, boot: Boot, run: Run, now_ms: int) -> None:
        """Record that a run is stopped as it stands still."""
        self._count(boot, run.task, run, now_ms)
        run.task.failed_workers = (*run.task.failed_workers, boot.name)[-4:]

    def note_invalid_start(self, boot: Boot, run: Run, now_ms: int) -> bool:
        """Record that a worker refuses a start as invalid; return whether to pass the worker over.

        The task is started ever more rarely, as it may be its own fault.
        """
        task = run.task
        self._delay(task, task.failed_starts + 1, now_ms)
        history = self._note_failure(boot, task, run, now_ms)
        return not history.is_broken

    def resume_delay(self, task: Task, idle_since_ms: int | None, begun_ms: int) -> None:
        """Delay a task further that failed at each start under an earlier owner.

        If it is not known since when it has had no run, the delays end one after the other, so that
        a change of owner does not start all such tasks at once.
        """
        delay_ms = restart_delay_ms(task.failed_starts)
        if not delay_ms:
            return
        if idle_since_ms is None:
            delay_ms = delay_ms * (task.id.number % RESUMED_GROUPS) // RESUMED_GROUPS
            idle_since_ms = begun_ms
        self._book.delay_restart(task, min(idle_since_ms, begun_ms) + delay_ms)

    def _delay(self, task: Task, failed_starts: int, now_ms: int) -> None:
        self._book.note_failed_starts(task, failed_starts)
        self._book.delay_restart(task, now_ms + restart_delay_ms(failed_starts))

    def _count(self, boot: Boot, task: Task, run: Run | None, now_ms: int) -> bool:
        """Record a failure; return whether it counts against its worker."""
        history = self._note_failure(boot, task, run, now_ms)
        if not history.is_broken:
            boot.note_failure(history)
        return not history.is_broken

    def _note_failure(
        self, boot: Boot, task: Task, run: Run | None, now_ms: int
    ) -> FailureHistory[Boot]:
        """Record a failure of a step; return all since its last success."""
        step = task.step
        if step.failures is None:
            step.failures = FailureHistory()
        history = step.failures
        started_ms = now_ms if run is None else run.started_ms
        expected_ms = max(MIN_EXPECTED_MS, 2 * step.spec.estimate_ms)
        peers = self._peer_count(boot)
        if history.note_failure(boot, started_ms, now_ms, peers, expected_ms):
            self._clear_workers(step, history)
        return history

    def _peer_count(self, boot: Boot) -> int:
        """Return how many workers the service of a boot has, up to `MAX_PEERS`."""
        peers = (b for b in self._boots.values() if b.info.service == boot.info.service)
        return sum(1 for _ in islice(peers, MAX_PEERS))

    def _clear_workers(self, step: Step, history: FailureHistory[Boot]) -> None:
        """Count the failures of a broken step against no worker any more."""
        cleared = [
            boot.name
            for boot in history.workers
            if boot.withdraw_failures(history, FAILURES_BEFORE_BACKOFF)
        ]
        fields = {"workers": len(history.workers), "opened": cleared[:MAX_REPORTED_WORKERS]}
        self._emit("step_broken", {"job": step.job.id, "step": step.number, **fields})

    def _settle(self, boot: Boot, step: Step, run: Run | None, now_ms: int) -> None:
        """Count failures of a step against their workers, as a run has succeeded on this one."""
        history = step.failures
        if history is None:
            return
        started_ms = now_ms if run is None else run.started_ms
        for other, count in history.note_success(boot, started_ms).items():
            if self._boots.get(other.name) is not other:
                continue
            for _ in range(count):
                other.note_failure(history)
            self._close_if_failing(other, now_ms)

    def _close_if_failing(self, boot: Boot, now_ms: int) -> None:
        """Start nothing on a worker for some time if its last runs have failed.

        If most workers of a service seem to fail, there are no better ones, so all stay open.
        """
        if len(boot.failures_since_success()) < FAILURES_BEFORE_BACKOFF:
            return
        service = boot.info.service
        closed = sum(
            other.info.service == service and now_ms < other.failing.until_ms
            for other in self._boots.values()
        )
        if 2 * (closed + 1) > sum(b.info.service == service for b in self._boots.values()):
            boot.recent_outcomes.clear()
            return
        boot.back_off_after_failures(now_ms, FIRST_WORKER_BACKOFF_MS, LONGEST_WORKER_BACKOFF_MS)
        self._emit("worker_shunned", {"worker": boot.name, "for_ms": boot.failing.length_ms})


def _has_lasted(run: Run | None, now_ms: int) -> bool:
    """Return whether a run of a long-running task has gone on for long enough to be a success."""
    if run is None or run.accepted_ms is None:
        return False
    lasting_ms = max(MIN_LASTING_MS, 2 * run.task.step.spec.estimate_ms)
    return run.lasted or now_ms - run.accepted_ms >= lasting_ms
