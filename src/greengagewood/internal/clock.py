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
    """Return a monotonic time; its values are not comparable between processes.

    The clock keeps running while the machine is suspended, so that a lease or a licence that ended
    meanwhile is seen to have lapsed.
    """
    return _monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return the time of day, for display, due times and the expiry of old records.

    No other decision may compare it.
    """
    return _wall_ns() // 1_000_000


def set_clocks(monotonic_ns: Callable[[], int], wall_ns: Callable[[], int]) -> None:
    """Replace both clocks of the process, for tests in virtual time."""
    global _monotonic_ns, _wall_ns
    _monotonic_ns = monotonic_ns
    _wall_ns = wall_ns


def reset_clocks() -> None:
    """Restore the machine's clocks."""
    set_clocks(_steady_ns, time.time_ns)
