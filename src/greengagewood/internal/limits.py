"""Limit how many requests of a service a gateway admits, and how often it retries.

`ConcurrencyLimiter` admits a bounded number of requests and queues a few more. The queue is
last-in, first-out, since under overload the oldest request is the most likely to miss its deadline
anyway. A request that can't be served in time is refused at once rather than delayed; the refusal
says after what time a retry may succeed.

`RetryBudget` allows retries as a fraction of all requests, not as a number per request, so that
retries can't multiply an overload.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

__all__ = ["ConcurrencyLimiter", "RetryBudget"]

MAX_RETRY_TOKENS = 10.0  # one token allows one retry
MIN_RETRIES_PER_S = 1.0  # allowed even without requests


class RetryBudget:
    """Allow retries as a fraction of requests, and a few a second when there are few requests."""

    def __init__(self, fraction: float) -> None:
        self.fraction = fraction
        self._tokens = MAX_RETRY_TOKENS
        self._refilled_ms: int | None = None

    def record_request(self) -> None:
        """Add the fraction of a retry that a request allows."""
        self._tokens = min(self._tokens + self.fraction, MAX_RETRY_TOKENS)

    def try_take(self, now_ms: int) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if self._refilled_ms is not None:
            refill = (now_ms - self._refilled_ms) / 1000 * MIN_RETRIES_PER_S
            self._tokens = min(self._tokens + refill, MAX_RETRY_TOKENS)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(eq=False)
class _Waiter:
    admitted: asyncio.Future[bool]


class ConcurrencyLimiter:
    """Admit a bounded number of concurrent requests and queue a few."""

    def __init__(self, concurrency: int, max_queued: int) -> None:
        self.concurrency = concurrency
        self.max_queued = max_queued
        self.in_progress = 0
        self._waiters: list[_Waiter] = []

    @property
    def queued(self) -> int:
        """Return how many requests are queued."""
        return len(self._waiters)

    async def acquire(self, timeout_s: float) -> bool:
        """Wait until the request is admitted; return False if it is refused or the time is up."""
        if self.in_progress < self.concurrency and not self._waiters:
            self.in_progress += 1
            return True
        if self.max_queued == 0:
            return False
        if len(self._waiters) >= self.max_queued:
            self._refuse_oldest()
        waiter = _Waiter(asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(timeout_s):
                return await waiter.admitted
        except TimeoutError:
            return self._withdraw(waiter)
        except asyncio.CancelledError:
            if self._withdraw(waiter):
                self.release()
            raise

    def _withdraw(self, waiter: _Waiter) -> bool:
        """Remove a waiter from the queue; return whether it had been admitted already."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        return (
            waiter.admitted.done() and not waiter.admitted.cancelled() and waiter.admitted.result()
        )

    def _refuse_oldest(self) -> None:
        waiter = self._waiters.pop(0)
        if not waiter.admitted.done():
            waiter.admitted.set_result(False)

    def release(self) -> None:
        """Count a request as finished, and admit the newest queued request."""
        self.in_progress -= 1
        while self._waiters and self.in_progress < self.concurrency:
            waiter = self._waiters.pop()
            if not waiter.admitted.done():
                self.in_progress += 1
                waiter.admitted.set_result(True)
