"""Limit the calls in flight by how fast they are answered.

This answers an owner that is asked for more starts than its processor, its links or the workers
can carry out. Without a limit every order waits until it times out; the stops and retries that
follow cost as much again, and the owner stays overloaded after the load has gone. A start that the
window has no room for is not sent, so its task waits and nothing has to be stopped. The same holds
for calls to a service that handles one at a time, and works off those that were given up, too.

The limit rises by one for each round of answers in time, and falls by a share when one is late. A
window that `doubles` rises by one for each answer in time until the first one that is late, for
bursts that are over within seconds.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ["ADVICE_WINDOW", "START_WINDOW", "STOP_WINDOW", "CallWindow", "WindowSettings"]


@dataclass(frozen=True, slots=True)
class WindowSettings:
    """Bounds of the calls of one kind in flight, and what lowers their limit."""

    initial_limit: float
    min_limit: float
    max_limit: float
    late_answer_ms: int
    decrease_factor: float
    doubles: bool = False


START_WINDOW = WindowSettings(
    initial_limit=64.0,
    min_limit=4.0,
    max_limit=512.0,
    # A worker answers within 20 ms; more is time in this process or on its links.
    late_answer_ms=300,
    decrease_factor=0.7,
)
STOP_WINDOW = replace(START_WINDOW, doubles=True)
ADVICE_WINDOW = WindowSettings(
    initial_limit=2.0,
    min_limit=2.0,  # one call waits while another is handled, so that the service is never idle
    max_limit=12.0,  # further calls would wait for a connection
    late_answer_ms=500,  # a call on 100 workers takes about half of it
    decrease_factor=0.5,
)


class CallWindow:
    """Count the calls in flight, and adapt their limit; times are in ms of one monotonic clock."""

    def __init__(self, settings: WindowSettings) -> None:
        self.limit = settings.initial_limit
        self.in_flight = 0
        self._settings = settings
        self._doubles = settings.doubles
        self._last_decrease_ms: int | None = None
        self._last_in_time_ms: int | None = None  # when a call was last answered in time

    @property
    def room(self) -> int:
        """Return how many more calls may be sent now."""
        return max(0, int(self.limit) - self.in_flight)

    def note_sent(self) -> None:
        """Count a call that is about to be sent."""
        self.in_flight += 1

    def note_done(self, sent_ms: int, now_ms: int, answered: bool) -> None:
        """Record that a call was answered, whatever the answer, or was given up."""
        self.in_flight -= 1
        if answered:
            self._note_answered(sent_ms, now_ms)
        # If others were answered in time meanwhile, the fault is with that call alone.
        elif self._last_in_time_ms is None or self._last_in_time_ms < sent_ms:
            self._decrease(sent_ms, now_ms)

    def note_rejected(self, sent_ms: int, now_ms: int) -> None:
        """Record that a call was rejected because too many others wait."""
        self.in_flight -= 1
        self._decrease(sent_ms, now_ms)

    def _note_answered(self, sent_ms: int, now_ms: int) -> None:
        if now_ms - sent_ms <= self._settings.late_answer_ms:
            self._last_in_time_ms = now_ms
            self.limit = min(
                self._settings.max_limit, self.limit + (1 if self._doubles else 1 / self.limit)
            )
        else:
            self._decrease(sent_ms, now_ms)

    def _decrease(self, sent_ms: int, now_ms: int) -> None:
        # The calls that were sent before the last decrease say nothing about the present limit.
        if self._last_decrease_ms is None or sent_ms >= self._last_decrease_ms:
            self._last_decrease_ms = now_ms
            self._doubles = False
            settings = self._settings
            self.limit = max(settings.min_limit, self.limit * settings.decrease_factor)
