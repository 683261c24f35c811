"""Dispatch: carry one latency-critical request to a backend server and back.

A request is sent again only when the verdict allows it: after `not_run` always, after
`may_have_run` only if it is idempotent, and in both cases only within the deadline and the retry
budget. When nothing is left to try, the refusal goes out at once.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.document import Service
from greengagewood.internal.limits import ConcurrencyLimiter, RetryBudget
from greengagewood.internal.logs import Log
from greengagewood.internal.messages import BackendEntry, LatencyRow
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.backends import (
    Answer,
    AttemptFailed,
    Backends,
    OutgoingRequest,
)
from greengagewood.internal.routing import Backend, RoutingTable
from greengagewood.internal.verdict import Reason, Refusal, Verdict, may_have_run, not_run

__all__ = ["Dispatcher", "OpenAnswer"]

SLOT_OVERCOMMIT = 2.0
MIN_IN_FLIGHT = 2
BUSY_RETRY_AFTER_MS = 200
MAX_ATTEMPTS = 4

_log = Log("dispatch")


@dataclass
class OpenAnswer:
    """Hold an answer and what is to be called when it has been passed on whole, or has not."""

    answer: Answer
    close: Callable[[bool], None]


class Dispatcher:
    """Send the requests of one service."""

    def __init__(
        self,
        name: str,
        service: Service,
        failure_domain: str,
        backends: Backends,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.service = service
        self._backends = backends
        self._metrics = metrics
        self.table = RoutingTable(failure_domain, rng)
        self.limiter = ConcurrencyLimiter(service.limits.concurrency, service.limits.queue)
        self.retry_budget = RetryBudget(service.limits.retry_budget)
        self._latencies: dict[str, list[float]] = {}

    def drain_latencies(self) -> list[LatencyRow]:
        """Return what was seen at each worker since the last call."""
        taken, self._latencies = self._latencies, {}
        return [
            LatencyRow(self.name, worker, len(logs), sum(logs), sum(x * x for x in logs))
            for worker, logs in taken.items()
        ]

    def set_service(self, service: Service) -> None:
        """Take the service's part of a new document."""
        self.service = service
        self.limiter.concurrency = service.limits.concurrency
        self.limiter.max_queued = service.limits.queue
        self.retry_budget.fraction = service.limits.retry_budget

    def set_backends(self, entries: list[BackendEntry], gateways: int) -> None:
        """Take the service's backend servers and the number of gateways that share them."""
        self.table.update(entries)
        fair = SLOT_OVERCOMMIT * self.service.slots / max(1, gateways)
        most = self.service.connections // max(1, gateways)
        self.table.in_flight_cap = max(MIN_IN_FLIGHT, min(int(fair), most))

    async def send(self, req: OutgoingRequest, deadline_ms: int) -> OpenAnswer | Refusal:
        """Carry a request out; the answer's `close` must be called."""
        started_ms = monotonic_ms()
        self.retry_budget.record_request()
        if not await self.limiter.acquire((deadline_ms - started_ms) / 1000):
            return not_run(Reason.OVERLOADED, "too many requests wait", 503, BUSY_RETRY_AFTER_MS)
        try:
            outcome = await self._try(req, deadline_ms)
        except BaseException:
            self.limiter.release()
            raise
        if isinstance(outcome, Refusal):
            self.limiter.release()
        else:
            inner = outcome.close

            def close(whole: bool) -> None:
                inner(whole)
                self.limiter.release()

            outcome.close = close
        return outcome

    async def _try(self, req: OutgoingRequest, deadline_ms: int) -> OpenAnswer | Refusal:
        avoid: set[str] = set()
        ran: AttemptFailed | None = None
        refusal = not_run(Reason.NO_BACKEND, "no backend server has room", 503, BUSY_RETRY_AFTER_MS)
        for _ in range(MAX_ATTEMPTS):
            now_ms = monotonic_ms()
            if now_ms >= deadline_ms:
                break
            backend = self.table.choose(now_ms, avoid)
            if backend is None:
                break
            try:
                return await self._attempt(req, backend, deadline_ms)
            except AttemptFailed as exc:
                self._note_failure(req, backend, exc)
                avoid.add(backend.url)
                refusal = _refusal_of(exc)
                if exc.verdict is Verdict.MAY_HAVE_RUN:
                    ran = exc
                    if not req.idempotent:
                        break
            if not self.retry_budget.try_take(monotonic_ms()):
                break
            self._metrics.count("retries", service=self.name, reason=refusal.reason)
        return _refusal_of(ran) if ran is not None else refusal

    async def _attempt(
        self, req: OutgoingRequest, backend: Backend, deadline_ms: int
    ) -> OpenAnswer:
        started_ms = monotonic_ms()
        backend.in_flight += 1
        try:
            timeout_s = (deadline_ms - started_ms) / 1000
            answer = await self._backends.send(backend.url, req, timeout_s)
        except BaseException:
            backend.in_flight -= 1
            raise
        if answer.leaving and self.table.mark_leaving(backend.url):
            self._metrics.count("backends_leaving", sign="answer")
        latency_ms = monotonic_ms() - started_ms

        def close(whole: bool) -> None:
            backend.in_flight -= 1
            if whole:
                self.table.record_answer(backend, latency_ms)
                logs = self._latencies.setdefault(backend.worker, [])
                logs.append(math.log(max(1, latency_ms)))
            else:
                self._fail(backend)

        return OpenAnswer(answer, close)

    def _note_failure(self, req: OutgoingRequest, backend: Backend, exc: AttemptFailed) -> None:
        self._metrics.count("attempt_failures", service=self.name, reason=exc.reason)
        _log.debug("attempt failed", request=req.id, backend=backend.url, reason=exc.reason)
        if exc.leaving:
            if self.table.mark_leaving(backend.url):
                self._metrics.count("backends_leaving", sign="refusal")
        elif exc.reason is not Reason.BACKEND_REFUSED:
            self._fail(backend)

    def _fail(self, backend: Backend) -> None:
        if self.table.record_failure(backend, monotonic_ms()):
            self._metrics.count("ejections", service=self.name)
            _log.info("backend server ejected", service=self.name, backend=backend.url)


def _refusal_of(exc: AttemptFailed) -> Refusal:
    if exc.verdict is Verdict.NOT_RUN:
        return not_run(exc.reason, exc.detail, 503, BUSY_RETRY_AFTER_MS)
    return may_have_run(exc.reason, exc.detail)
