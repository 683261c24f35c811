"""Clocks in integer milliseconds."""

from __future__ import annotations

import time
from collections.abc import Callable

__all__ = ["monotonic_ms", "reset_clocks", "set_clocks", "wall_ms"]


def _steady_ns() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)


_monotonic_ns: Callable[[], int] = _steady_ns
_wall_ns: Callable[[], int] = time.time_ns


def monotonic_ms() -> int:
    """Return a clock that never goes back; it means nothing in another process.

    It goes on while the machine is suspended, so that a lease or a licence is seen to have lapsed.
    """
    return _monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return the time of day, for people and due times; no other decision compares it."""
    return _wall_ns() // 1_000_000


def set_clocks(monotonic_ns: Callable[[], int], wall_ns: Callable[[], int]) -> None:
    """Replace both clocks of the process, for tests in virtual time."""
    global _monotonic_ns, _wall_ns
    _monotonic_ns = monotonic_ns
    _wall_ns = wall_ns


def reset_clocks() -> None:
    """Use the machine's clocks again."""
    set_clocks(_steady_ns, time.time_ns)
