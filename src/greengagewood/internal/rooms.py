"""An index of the free room of workers, so that placing a task looks at a few of them only.

Rooms are kept in one list for each number of free accelerators, sorted by free processors. A task
looks first where the fewest accelerators suffice, from the smallest room that has enough
processors upwards, and takes the cheapest of the first few that fit and are allowed. Scanning
every worker was the first version; `choose_by_full_scan` keeps it for the differential test.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from greengagewood.internal.placement import Resources

__all__ = ["CostFunction", "FreeCapacityIndex", "choose_by_full_scan"]

MAX_CONSIDERED = 8

CostFunction = Callable[[str], float | None]


@dataclass(frozen=True, slots=True, order=True)
class _Entry:
    cpus: int
    worker: str


class FreeCapacityIndex:
    """Keep the free room of workers that take new tasks."""

    def __init__(self) -> None:
        self._rooms: dict[str, Resources] = {}
        self._lists: dict[int, list[_Entry]] = {}

    def __contains__(self, worker: str) -> bool:
        return worker in self._rooms

    def items(self) -> Iterable[tuple[str, Resources]]:
        """Iterate over every worker that takes new tasks."""
        return self._rooms.items()

    def put(self, worker: str, free: Resources) -> None:
        """Add or change a worker's room."""
        old = self._rooms.get(worker)
        if old == free:
            return
        if old is not None:
            self.remove(worker)
        self._rooms[worker] = free
        insort(self._lists.setdefault(free.accelerators, []), _Entry(free.cpus, worker))

    def remove(self, worker: str) -> None:
        """Take a worker out: it takes no new tasks."""
        old = self._rooms.pop(worker, None)
        if old is None:
            return
        entries = self._lists[old.accelerators]
        del entries[bisect_left(entries, _Entry(old.cpus, worker))]
        if not entries:
            del self._lists[old.accelerators]

    def choose(self, size: Resources, judge: CostFunction) -> str | None:
        """Return the worker for a task of this size; the judge gives a cost, or None to forbid."""
        for accelerators in sorted(n for n in self._lists if n >= size.accelerators):
            entries = self._lists[accelerators]
            start = bisect_left(entries, _Entry(size.cpus, ""))
            candidates = (entry.worker for entry in entries[start:])
            found = self._cheapest(size, candidates, judge)
            if found is not None:
                return found
        return None

    def _cheapest(self, size: Resources, workers: Iterable[str], judge: CostFunction) -> str | None:
        best: tuple[float, int] | None = None
        chosen: str | None = None
        considered = 0
        for worker in workers:
            if self._rooms[worker].memory_mb < size.memory_mb:
                continue
            cost = judge(worker)
            if cost is None:
                continue
            if best is None or (cost, considered) < best:
                best = (cost, considered)
                chosen = worker
            considered += 1
            if considered == MAX_CONSIDERED:
                break
        return chosen


def choose_by_full_scan(
    rooms: dict[str, Resources], size: Resources, judge: CostFunction
) -> str | None:
    """Return what `FreeCapacityIndex.choose` returns, by looking at every worker."""
    fitting = [
        (free.accelerators, free.cpus, worker)
        for worker, free in rooms.items()
        if size.fits_within(free) and judge(worker) is not None
    ]
    if not fitting:
        return None
    fewest = min(accelerators for accelerators, _, _ in fitting)
    first = sorted(entry for entry in fitting if entry[0] == fewest)[:MAX_CONSIDERED]
    return min(first, key=lambda entry: judge(entry[2]) or 0.0)[2]
