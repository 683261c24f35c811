"""A stand-in of a backend server: it answers with what it was asked, and keeps an audit."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import Callable

import msgspec
from aiohttp import web

__all__ = ["Execution", "StandinBackend"]

BLOCK = b"0123456789abcdef" * 64


class Execution(msgspec.Struct, frozen=True):
    """Record one request that was run, in milliseconds of the stand-in's clock."""

    at_ms: int
    worker: str
    caller: str
    method: str
    marker: str
    late_ms: int


class StandinBackend:
    """Serve requests; `neighbours` gives the number of batch tasks that share the worker."""

    def __init__(
        self,
        worker: str,
        slots: int,
        connections: int,
        base_latency_ms: float,
        interference: float,
        rng: random.Random,
        clock: Callable[[], int],
        neighbours: Callable[[], int],
    ) -> None:
        self.worker = worker
        self._slots = asyncio.Semaphore(slots)
        self._connections = connections
        self._base_latency_ms = base_latency_ms
        self._interference = interference
        self._rng = rng
        self._clock = clock
        self._neighbours = neighbours
        self._inside = 0
        self.leaving_since_ms: int | None = None
        self.audit: list[Execution] = []

    async def serve(self, req: web.Request) -> web.StreamResponse:
        """Run one request."""
        headers = {"X-Request-Id": req.headers.get("X-Request-Id", "")}
        if self.leaving_since_ms is not None:
            headers["X-Leaving"] = "1"
        if self._inside >= self._connections:
            return web.Response(status=503, headers={**headers, "X-Refused": "not-run"})
        self._inside += 1
        try:
            body = await req.read()
            async with self._slots:
                self._note(req)
                await asyncio.sleep(self._latency_s())
        finally:
            self._inside -= 1
        return self._answer(req, body, headers)

    def _note(self, req: web.Request) -> None:
        now_ms = self._clock()
        late_ms = 0 if self.leaving_since_ms is None else now_ms - self.leaving_since_ms
        caller = req.headers.get("X-Caller", "")
        marker = req.headers.get("X-Marker", "")
        self.audit.append(Execution(now_ms, self.worker, caller, req.method, marker, late_ms))

    def _latency_s(self) -> float:
        load = 1.0 + self._interference * self._neighbours()
        return self._base_latency_ms * load * self._rng.lognormvariate(0.0, 0.25) / 1000

    def _answer(self, req: web.Request, body: bytes, headers: dict[str, str]) -> web.Response:
        text = req.query.get("bytes", "0")
        size = int(text) if text.isdigit() else 0
        payload = {
            "caller": req.headers.get("X-Caller", ""),
            "marker": req.headers.get("X-Marker", ""),
            "method": req.method,
            "body_sha256": hashlib.sha256(body).hexdigest(),
            "padding": (BLOCK * (size // len(BLOCK) + 1))[:size].decode(),
        }
        return web.Response(
            body=msgspec.json.encode(payload), content_type="application/json", headers=headers
        )
