"""Tell work that fails on every worker from workers that fail all work.

One failure looks the same for both. So failures count against their workers at once, as a worker
that fails everything must not get more; but once the work has failed on several workers, for long
enough that a success would have been seen, it is taken to be broken. Then its failures count no
more, as they would close worker after worker for all other work, until it succeeds somewhere.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

__all__ = ["BROKEN_AFTER_FAILURES", "BROKEN_ON_WORKERS", "FailureHistory"]

W = TypeVar("W")

BROKEN_ON_WORKERS = 3  # or on all, if there are fewer
BROKEN_AFTER_FAILURES = 6
MAX_STARTS_KEPT = 3  # of failed runs by worker; as many failures are enough to close one


class FailureHistory(Generic[W]):
    """Failures of a piece of work since it last succeeded; times are of one monotonic clock."""

    __slots__ = ("_since_ms", "_starts", "_total", "is_broken")

    def __init__(self) -> None:
        self.is_broken = False  # whether it is taken to fail on every worker
        self._starts: dict[W, deque[int]] = {}  # of the latest failed runs, by worker
        self._total = 0
        self._since_ms = 0  # the start of the first of them

    @property
    def workers(self) -> tuple[W, ...]:
        """Return the workers on which it has failed since it last succeeded."""
        return tuple(self._starts)

    def note_failure(
        self, worker: W, started_ms: int, now_ms: int, worker_count: int, expected_ms: int
    ) -> bool:
        """Record a failure of a run; return whether it shows that the work is broken.

        A run takes `expected_ms`, and there are `worker_count` workers for it.
        """
        if not self._total:
            self._since_ms = started_ms
        self._total += 1
        if worker not in self._starts:
            self._starts[worker] = deque(maxlen=MAX_STARTS_KEPT)
        self._starts[worker].append(started_ms)
        if (
            self.is_broken
            or self._total < BROKEN_AFTER_FAILURES
            or len(self._starts) < min(BROKEN_ON_WORKERS, worker_count)
            or now_ms - self._since_ms < expected_ms
        ):
            return False
        self.is_broken = True
        return True

    def note_success(self, worker: W, started_ms: int) -> dict[W, int]:
        """Record the success of a run; return by worker the failures that count from now on.

        Those of broken work do that were started later than the run, as the work was sound then.
        """
        settled = {}
        if self.is_broken:
            for other, starts in self._starts.items():
                count = sum(start_ms >= started_ms for start_ms in starts)
                if count and other != worker:
                    settled[other] = count
        self._starts.clear()
        self._total = 0
        self.is_broken = False
        return settled
