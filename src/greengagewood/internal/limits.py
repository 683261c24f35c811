"""Limits: how many requests of a service a gateway lets in, and how often it may retry.

`ConcurrencyLimiter` lets a bounded number in and keeps a short queue. Under overload the newest
waiting request goes first: the oldest is the likeliest to miss its deadline anyway. A request that
cannot be served in time is refused at once, with the time after which a retry may do better; it is
not held back.

`RetryBudget` allows retries as a fraction of requests, not as a count a request, so retries cannot
multiply an overload.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

__all__ = ["ConcurrencyLimiter", "RetryBudget"]

BUDGET_BURST = 10.0
FREE_RETRIES_PER_S = 1.0


class RetryBudget:
    """Allow retries as a fraction of the requests seen, and a few a second at low load."""

    def __init__(self, fraction: float) -> None:
        self.fraction = fraction
        self._tokens = BUDGET_BURST
        self._refilled_ms: int | None = None

    def record_request(self) -> None:
        """Earn a fraction of a retry."""
        self._tokens = min(self._tokens + self.fraction, BUDGET_BURST)

    def try_take(self, now_ms: int) -> bool:
        """Spend one retry, if there is one."""
        if self._refilled_ms is not None:
            earned = (now_ms - self._refilled_ms) / 1000 * FREE_RETRIES_PER_S
            self._tokens = min(self._tokens + earned, BUDGET_BURST)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(eq=False)
class _Waiter:
    fut: asyncio.Future[bool]


class ConcurrencyLimiter:
    """Let a bounded number of requests in and queue a few."""

    def __init__(self, concurrency: int, max_queued: int) -> None:
        self.concurrency = concurrency
        self.max_queued = max_queued
        self.in_progress = 0
        self._waiting: list[_Waiter] = []

    @property
    def queued(self) -> int:
        """Return the length of the queue."""
        return len(self._waiting)

    async def acquire(self, timeout_s: float) -> bool:
        """Wait for room; return False if the request was refused instead."""
        if self.in_progress < self.concurrency and not self._waiting:
            self.in_progress += 1
            return True
        if self.max_queued == 0:
            return False
        if len(self._waiting) >= self.max_queued:
            self._refuse_oldest()
        waiter = _Waiter(asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter.fut
        except TimeoutError:
            return self._withdraw(waiter)
        except asyncio.CancelledError:
            if self._withdraw(waiter):
                self.release()
            raise

    def _withdraw(self, waiter: _Waiter) -> bool:
        """Take a waiter out of the queue; return whether it had been let in meanwhile."""
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        return waiter.fut.done() and not waiter.fut.cancelled() and waiter.fut.result()

    def _refuse_oldest(self) -> None:
        waiter = self._waiting.pop(0)
        if not waiter.fut.done():
            waiter.fut.set_result(False)

    def release(self) -> None:
        """Make room; the newest waiting request goes in."""
        self.in_progress -= 1
        while self._waiting and self.in_progress < self.concurrency:
            waiter = self._waiting.pop()
            if not waiter.fut.done():
                self.in_progress += 1
                waiter.fut.set_result(True)
