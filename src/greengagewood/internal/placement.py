"""Amounts of processors, memory and accelerators."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Resources"]


@dataclass(frozen=True, slots=True)
class Resources:
    """Hold the resources that a worker has or that a task requests."""

    cpus: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def fits_within(self, other: Resources) -> bool:
        """Tell whether no resource exceeds the other amount."""
        return (
            self.cpus <= other.cpus
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpus + other.cpus,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpus - other.cpus,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )
