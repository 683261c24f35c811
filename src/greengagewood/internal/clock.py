"""Clocks in integer milliseconds."""

from __future__ import annotations

import time

__all__ = ["monotonic_ms", "wall_ms"]


def monotonic_ms() -> int:
    """Return a clock that never goes back; it means nothing in another process."""
    return time.monotonic_ns() // 1_000_000


def wall_ms() -> int:
    """Return the time of day, for people; no decision compares it."""
    return time.time_ns() // 1_000_000
