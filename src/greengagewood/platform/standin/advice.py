"""Stand-in of the advice service, which gives tickets for the workers that may run a step."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter, defaultdict

import msgspec
from aiohttp import web

from greengagewood.platform.standin.common import json_answer, monotonic_ms

__all__ = ["AdviceStandin", "is_valid"]

DECISION_MS, PER_WORKER_MS, VALIDITY_MS = 40.0, 2.0, 4_000
MAX_WORKERS, MAX_WAITING = 100, 32
DENIED_SHARE = 4  # one worker in so many may not run a step


class _Question(msgspec.Struct):
    step: str
    workers: list[str]


def _mark(step: str, worker_id: str) -> int:
    return zlib.crc32(f"{step} {worker_id}".encode())


def is_valid(ticket: str, task: str, worker_id: str, booted_ms: float) -> bool:
    """Return whether a ticket is for this task on this life of a worker, and has not expired."""
    issued_ms, _, mark = ticket.partition("-")
    if mark != f"{_mark(task.rpartition('.')[0], worker_id):x}":
        return False
    return booted_ms <= float(issued_ms) and monotonic_ms() <= float(issued_ms) + VALIDITY_MS


class AdviceStandin:
    """Answer one call at a time for each caller, in turn."""

    def __init__(self) -> None:
        self._locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._waiting: Counter[str] = Counter()

    async def handle(self, req: web.BaseRequest) -> web.StreamResponse:
        """Handle a call."""
        client = req.remote or ""
        try:
            question = msgspec.json.decode(await req.read(), type=_Question)
        except ValueError as exc:
            return json_answer({"error": str(exc)}, 400)
        if self._waiting[client] >= MAX_WAITING:
            return web.Response(status=429)
        self._waiting[client] += 1
        try:
            async with self._locks[client]:
                workers = question.workers[:MAX_WORKERS]
                await asyncio.sleep((DECISION_MS + PER_WORKER_MS * len(workers)) / 1000)
        finally:
            self._waiting[client] -= 1
        marks = ((worker, _mark(question.step, worker)) for worker in workers)
        issued_ms = monotonic_ms()
        allowed = [(w, f"{issued_ms}-{mark:x}") for w, mark in marks if mark % DENIED_SHARE]
        return json_answer({"allowed": allowed, "validity-ms": VALIDITY_MS}, 200)
