"""Placement: on which worker a task starts.

Pure: the free room of each worker in, a choice out. The room of a worker is what it has, less what
services keep of it, less what every attempt takes that may still run on it. The owner of the cell
is the only one that places on its workers, so capacity is plain arithmetic in one process, and the
worker's own guard is the second line.

The choice is best fit by processors among the workers with the fewest accelerators that suffice,
so tasks without accelerators do not strand those of others.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["Room", "Size", "choose_worker"]


@dataclass(frozen=True, slots=True)
class Size:
    """Hold an amount of processors, megabytes and accelerators."""

    cpus: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits(self, other: Size) -> bool:
        """Tell whether this amount goes into the other."""
        return (
            self.cpus <= other.cpus
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def __add__(self, other: Size) -> Size:
        return Size(
            self.cpus + other.cpus,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Size) -> Size:
        return Size(
            self.cpus - other.cpus,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )


@dataclass(slots=True)
class Room:
    """Hold the free room of one worker that takes new tasks."""

    worker: str
    free: Size
    penalty: float = 0.0


def choose_worker(size: Size, rooms: Iterable[Room]) -> Room | None:
    """Return the room that a task of this size goes to, or None."""
    best: Room | None = None
    best_rank: tuple[int, float, int, str] | None = None
    for room in rooms:
        if not size.fits(room.free):
            continue
        spare = room.free.accelerators - size.accelerators
        rank = (spare, room.penalty, room.free.cpus, room.worker)
        if best_rank is None or rank < best_rank:
            best = room
            best_rank = rank
    return best
