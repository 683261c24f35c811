"""Measure how long the steps of a process hold its event loop, and tell which held it longest."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.logs import Log
from greengagewood.internal.metrics import Metrics

__all__ = ["LoopHolds"]

REPORT_INTERVAL_MS = 1_000  # only the longest hold of each is reported, to bound the log
WARNING_MS = 50  # heartbeats and orders are late by as much

_log = Log("daemon")


class LoopHolds:
    """The longest time of each second for which one step held the event loop."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._since_ms = monotonic_ms()
        self._longest_ms = -1
        self._longest_step = ""

    @contextmanager
    def measure(self, step: str) -> Iterator[None]:
        """Measure a step, which must not wait for anything."""
        started_ms = monotonic_ms()
        try:
            yield
        finally:
            self._note(step, started_ms, monotonic_ms())

    def _note(self, step: str, started_ms: int, now_ms: int) -> None:
        held_ms = now_ms - started_ms
        if held_ms > self._longest_ms:
            self._longest_ms, self._longest_step = held_ms, step
        if now_ms - self._since_ms < REPORT_INTERVAL_MS:
            return
        self._metrics.observe("loop_held", self._longest_ms / 1000, step=self._longest_step)
        if self._longest_ms >= WARNING_MS:
            _log.warning("loop_held", step=self._longest_step, held_ms=self._longest_ms)
        self._since_ms = now_ms
        self._longest_ms = -1
