"""Index the free capacity of workers, so that placing a task examines only a few of them.

The index has one list for each number of free accelerators, sorted by free processors. The search
for a worker begins in the list with the fewest accelerators that suffice, goes from the fewest
processors that suffice upwards, and returns the cheapest of the first workers where the task fits
and is allowed. `choose_by_full_scan` does the same without an index, for the differential test.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from greengagewood.internal.placement import Resources

__all__ = ["CostFunction", "FreeCapacityIndex", "choose_by_full_scan"]

MAX_CANDIDATES = 8

# Returns the cost of placing a task on a worker, or None if that is not allowed.
CostFunction = Callable[[str], float | None]


@dataclass(frozen=True, slots=True, order=True)
class _IndexEntry:
    cpus: int
    worker: str


class FreeCapacityIndex:
    """Index the workers that take new tasks by their free capacity."""

    def __init__(self) -> None:
        self._free: dict[str, Resources] = {}
        self._by_accelerators: dict[int, list[_IndexEntry]] = {}

    def __contains__(self, worker: str) -> bool:
        return worker in self._free

    def items(self) -> Iterable[tuple[str, Resources]]:
        """Return every worker that takes new tasks, with its free capacity."""
        return self._free.items()

    def put(self, worker: str, free: Resources) -> None:
        """Set the free capacity of a worker that takes new tasks."""
        old = self._free.get(worker)
        if old == free:
            return
        if old is not None:
            self.remove(worker)
        self._free[worker] = free
        insort(
            self._by_accelerators.setdefault(free.accelerators, []), _IndexEntry(free.cpus, worker)
        )

    def remove(self, worker: str) -> None:
        """Remove a worker that takes no new tasks."""
        old = self._free.pop(worker, None)
        if old is None:
            return
        entries = self._by_accelerators[old.accelerators]
        del entries[bisect_left(entries, _IndexEntry(old.cpus, worker))]
        if not entries:
            del self._by_accelerators[old.accelerators]

    def choose(self, requested: Resources, cost_of: CostFunction) -> str | None:
        """Return the worker for a task that requests these resources, or None if there is none."""
        for accelerators in sorted(n for n in self._by_accelerators if n >= requested.accelerators):
            entries = self._by_accelerators[accelerators]
            start = bisect_left(entries, _IndexEntry(requested.cpus, ""))
            candidates = (entry.worker for entry in entries[start:])
            chosen = self._cheapest(requested, candidates, cost_of)
            if chosen is not None:
                return chosen
        return None

    def _cheapest(
        self, requested: Resources, workers: Iterable[str], cost_of: CostFunction
    ) -> str | None:
        best: tuple[float, int] | None = None
        chosen: str | None = None
        considered = 0
        for worker in workers:
            if self._free[worker].memory_mb < requested.memory_mb:
                continue
            cost = cost_of(worker)
            if cost is None:
                continue
            if best is None or (cost, considered) < best:
                best = (cost, considered)
                chosen = worker
            considered += 1
            if considered == MAX_CANDIDATES:
                break
        return chosen


def choose_by_full_scan(
    free_by_worker: dict[str, Resources], requested: Resources, cost_of: CostFunction
) -> str | None:
    """Return what `FreeCapacityIndex.choose` returns, by examining every worker."""
    fitting = [
        (free.accelerators, free.cpus, worker)
        for worker, free in free_by_worker.items()
        if requested.fits_within(free) and cost_of(worker) is not None
    ]
    if not fitting:
        return None
    fewest = min(accelerators for accelerators, _, _ in fitting)
    first = sorted(entry for entry in fitting if entry[0] == fewest)[:MAX_CANDIDATES]
    return min(first, key=lambda entry: cost_of(entry[2]) or 0.0)[2]
