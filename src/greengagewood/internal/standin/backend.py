"""Simulation of a backend server: it echoes each request and records it for the audit."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable

import msgspec
from aiohttp import web

__all__ = ["Execution", "StandinBackend"]

PADDING_BLOCK = b"0123456789abcdef" * 64


class Execution(msgspec.Struct, frozen=True):
    """Describe a request that was run.

    `at_ms` is on the simulation's clock; `late_ms` is the time since the server began to leave.
    """

    at_ms: int
    worker: str
    caller: str
    method: str
    marker: str
    late_ms: int


class StandinBackend:
    """Serve requests as a backend server that shares its worker with batch tasks.

    `count_batch_tasks` returns the number of these tasks; each adds `interference` times the base
    latency to a request's latency.
    """

    def __init__(
        self,
        worker: str,
        slots: int,
        connections: int,
        base_latency_ms: float,
        interference: float,
        rng: random.Random,
        clock: Callable[[], int],
        count_batch_tasks: Callable[[], int],
    ) -> None:
        self.worker = worker
        self._slots = asyncio.Semaphore(slots)
        self._connections = connections
        self._base_latency_ms = base_latency_ms
        self._interference = interference
        self._rng = rng
        self._clock = clock
        self._count_batch_tasks = count_batch_tasks
        self._in_flight = 0
        self.leaving_since_ms: int | None = None
        self.audit: list[Execution] = []

    async def serve(self, req: web.Request) -> web.StreamResponse:
        """Run a request, or reject it if too many are in flight."""
        headers = {"X-Request-Id": req.headers.get("X-Request-Id", "")}
        if self.leaving_since_ms is not None:
            headers["X-Leaving"] = "1"
        if self._in_flight >= self._connections:
            return web.Response(status=503, headers={**headers, "X-Refused": "not-run"})
        self._in_flight += 1
        try:
            body = await req.read()
            async with self._slots:
                self._record_execution(req)
                await asyncio.sleep(self._draw_latency_s())
        finally:
            self._in_flight -= 1
        return self._build_response(req, body, headers)

    def _record_execution(self, req: web.Request) -> None:
        now_ms = self._clock()
        late_ms = 0 if self.leaving_since_ms is None else now_ms - self.leaving_since_ms
        caller = req.headers.get("X-Caller", "")
        marker = req.headers.get("X-Marker", "")
        self.audit.append(Execution(now_ms, self.worker, caller, req.method, marker, late_ms))

    def _draw_latency_s(self) -> float:
        slowdown = 1.0 + self._interference * self._count_batch_tasks()
        return self._base_latency_ms * slowdown * self._rng.lognormvariate(0.0, 0.25) / 1000

    def _build_response(
        self, req: web.Request, body: bytes, headers: dict[str, str]
    ) -> web.Response:
        size_text = req.query.get("bytes", "0")
        size = int(size_text) if size_text.isdigit() else 0
        payload = {
            "caller": req.headers.get("X-Caller", ""),
            "marker": req.headers.get("X-Marker", ""),
            "method": req.method,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "padding": (PADDING_BLOCK * (size // len(PADDING_BLOCK) + 1))[:size].decode(),
        }
        return web.Response(
            body=msgspec.json.encode(payload), content_type="application/json", headers=headers
        )
