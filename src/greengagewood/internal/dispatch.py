"""Send latency-critical requests to backend servers, with retries.

A failed request is retried only when its verdict allows it: always after `not_run`, and after
`may_have_run` only if it is idempotent. In both cases the deadline and the retry budget must allow
it too. When no retry is possible, the refusal is returned at once.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.document import Service
from greengagewood.internal.limits import ConcurrencyLimiter, RetryBudget
from greengagewood.internal.logs import Log
from greengagewood.internal.messages import BackendEntry, LatencyRow
from greengagewood.internal.metrics import Metrics
from greengagewood.internal.native.backends import (
    AttemptFailed,
    BackendClient,
    BackendResponse,
    OutgoingRequest,
)
from greengagewood.internal.routing import Backend, RoutingTable
from greengagewood.internal.verdict import Reason, Refusal, Verdict, may_have_run, not_run

__all__ = ["Dispatcher", "OpenAnswer"]

SLOT_OVERCOMMIT_FACTOR = 2.0
MIN_IN_FLIGHT = 2
BUSY_RETRY_AFTER_MS = 200
EVACUATED_RETRY_AFTER_MS = 5000  # a withdrawal is in force on every instance after this time
MAX_ATTEMPTS = 4

_log = Log("dispatch")


@dataclass
class OpenAnswer:
    """Hold an answer whose body may still be arriving.

    `close` must be called once, with whether the backend server sent the answer completely, or
    None if the caller was gone before that.
    """

    answer: BackendResponse
    close: Callable[[bool | None], None]


class Dispatcher:
    """Send the requests of one service to its backend servers."""

    def __init__(
        self,
        name: str,
        service: Service,
        failure_domain: str,
        backends: BackendClient,
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
        """Return the latencies at each worker since the last call, and forget them."""
        taken, self._latencies = self._latencies, {}
        return [
            LatencyRow(
                self.name,
                worker,
                len(log_latencies),
                sum(log_latencies),
                sum(x * x for x in log_latencies),
            )
            for worker, log_latencies in taken.items()
        ]

    def set_service(self, service: Service) -> None:
        """Apply the service's settings of a new document."""
        self.service = service
        self.limiter.concurrency = service.limits.concurrency
        self.limiter.max_queued = service.limits.queue
        self.retry_budget.fraction = service.limits.retry_budget

    def set_backends(
        self, entries: list[BackendEntry], gateways: int, evacuated_domains: Collection[str] = ()
    ) -> None:
        """Set the service's backend servers and the number of gateways that share them."""
        self.table.update(entries, evacuated_domains)
        slot_share = SLOT_OVERCOMMIT_FACTOR * self.service.slots / max(1, gateways)
        max_share = self.service.connections // max(1, gateways)
        self.table.in_flight_cap = max(MIN_IN_FLIGHT, min(int(slot_share), max_share))

    async def send(self, req: OutgoingRequest, deadline_ms: int) -> OpenAnswer | Refusal:
        """Send a request; on success, the caller must call `close` of the answer."""
        started_ms = monotonic_ms()
        if self.table.all_evacuated():
            return _evacuated()
        self.retry_budget.record_request()
        if not await self.limiter.acquire((deadline_ms - started_ms) / 1000):
            return not_run(Reason.OVERLOADED, "too many requests wait", 503, BUSY_RETRY_AFTER_MS)
        try:
            outcome = await self._send_with_retries(req, deadline_ms)
        except BaseException:
            self.limiter.release()
            raise
        if isinstance(outcome, Refusal):
            self.limiter.release()
        else:
            close_answer = outcome.close

            def close(complete: bool | None) -> None:
                close_answer(complete)
                self.limiter.release()

            outcome.close = close
        return outcome

    async def _send_with_retries(
        self, req: OutgoingRequest, deadline_ms: int
    ) -> OpenAnswer | Refusal:
        failed_urls: set[str] = set()
        unknown_outcome: AttemptFailed | None = None
        refusal = not_run(Reason.NO_BACKEND, "no backend server has room", 503, BUSY_RETRY_AFTER_MS)
        for attempt in range(MAX_ATTEMPTS):
            now_ms = monotonic_ms()
            if now_ms >= deadline_ms:
                break
            backend = self.table.choose(now_ms, failed_urls)
            if backend is None:
                if not attempt and self.table.all_evacuated():
                    refusal = _evacuated()
                break
            if attempt:
                if not self.retry_budget.try_take(now_ms):
                    break
                self._metrics.count("retries", service=self.name, reason=refusal.reason)
            try:
                return await self._attempt(req, backend, deadline_ms)
            except AttemptFailed as exc:
                self._handle_failure(req, backend, exc)
                failed_urls.add(backend.url)
                refusal = _refusal_of(exc)
                if exc.verdict is Verdict.MAY_HAVE_RUN:
                    unknown_outcome = exc
                    if not req.idempotent:
                        break
        return _refusal_of(unknown_outcome) if unknown_outcome is not None else refusal

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

        def close(complete: bool | None) -> None:
            backend.in_flight -= 1
            if complete:
                self.table.record_answer(backend, latency_ms)
                log_latencies = self._latencies.setdefault(backend.worker, [])
                log_latencies.append(math.log(max(1, latency_ms)))
            elif complete is False:
                self._record_failure(backend)

        return OpenAnswer(answer, close)

    def _handle_failure(self, req: OutgoingRequest, backend: Backend, exc: AttemptFailed) -> None:
        self._metrics.count("attempt_failures", service=self.name, reason=exc.reason)
        _log.debug("attempt failed", request=req.id, backend=backend.url, reason=exc.reason)
        if exc.leaving:
            if self.table.mark_leaving(backend.url):
                self._metrics.count("backends_leaving", sign="refusal")
        elif exc.reason is not Reason.BACKEND_REFUSED:
            self._record_failure(backend)

    def _record_failure(self, backend: Backend) -> None:
        if self.table.record_failure(backend, monotonic_ms()):
            self._metrics.count("ejections", service=self.name)
            _log.info("backend server ejected", service=self.name, backend=backend.url)


def _evacuated() -> Refusal:
    detail = "every failure domain with backend servers of this service is being evacuated"
    return not_run(Reason.EVACUATED, detail, 503, EVACUATED_RETRY_AFTER_MS)


def _refusal_of(exc: AttemptFailed) -> Refusal:
    if exc.verdict is Verdict.NOT_RUN:
        return not_run(exc.reason, exc.detail, 503, BUSY_RETRY_AFTER_MS)
    return may_have_run(exc.reason, exc.detail)
