"""Limit the starts in flight by how fast they are answered.

This answers an owner that is asked for more starts than its processor, its links or the workers
can carry out. Without a limit every order waits until it times out; the stops and retries that
follow cost as much again, and the owner stays overloaded after the load has gone. A start that the
window has no room for is not sent, so its task waits and nothing has to be stopped.

The limit rises by one for each round of answers in time, and falls by a share when one is late. A
window that `doubles` rises by one for each answer in time until the first one that is late, for
bursts that are over within seconds. Stops use such a window, too.
"""

from __future__ import annotations

__all__ = ["StartWindow"]

INITIAL_LIMIT = 64.0
MIN_LIMIT = 4.0
MAX_LIMIT = 512.0
LATE_ANSWER_MS = 300  # a worker answers within 20 ms; more is time in this process or on its links
DECREASE_FACTOR = 0.7


class StartWindow:
    """Count the starts in flight, and adapt their limit; times are in ms of one monotonic clock."""

    def __init__(self, doubles: bool = False) -> None:
        self.limit = INITIAL_LIMIT
        self._doubles = doubles
        self.in_flight = 0
        self._last_decrease_ms: int | None = None
        self._last_in_time_ms: int | None = None  # when a start was last answered in time

    @property
    def room(self) -> int:
        """Return how many more starts may be sent now."""
        return max(0, int(self.limit) - self.in_flight)

    def note_sent(self) -> None:
        """Count a start that is about to be sent."""
        self.in_flight += 1

    def note_done(self, sent_ms: int, now_ms: int, answered: bool) -> None:
        """Record that a start was answered, whatever the answer, or was given up."""
        self.in_flight -= 1
        if answered:
            self._note_answered(sent_ms, now_ms)
        # If others were answered in time meanwhile, the fault is with that worker alone.
        elif self._last_in_time_ms is None or self._last_in_time_ms < sent_ms:
            self._decrease(sent_ms, now_ms)

    def _note_answered(self, sent_ms: int, now_ms: int) -> None:
        if now_ms - sent_ms <= LATE_ANSWER_MS:
            self._last_in_time_ms = now_ms
            self.limit = min(MAX_LIMIT, self.limit + (1 if self._doubles else 1 / self.limit))
        else:
            self._decrease(sent_ms, now_ms)

    def _decrease(self, sent_ms: int, now_ms: int) -> None:
        # The starts that were sent before the last decrease say nothing about the present limit.
        if self._last_decrease_ms is None or sent_ms >= self._last_decrease_ms:
            self._last_decrease_ms = now_ms
            self._doubles = False
            self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
