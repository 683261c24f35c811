"""Callers that submit, repeat, cancel and read jobs, and keep their connections open."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import aiohttp
import msgspec

from devtools.soak.deployment import HOST, Deployment, JobShape, draw_job
from devtools.soak.records import JobRecord, Request

__all__ = ["Callers", "now_ms"]

DEADLINE_MS = 3_000
# Callers wait far longer than their deadline, so that an instance that never answers is seen.
GIVE_UP_S = 10.0
MAX_ATTEMPTS = 4
REPEAT_SHARE = 0.15  # of the accepted jobs, submitted once more
CANCEL_SHARE = 0.15
RETRY_SHARE = 0.5  # of the refused jobs, submitted again; the others must never run
PAUSE_S = 0.6  # mean time between two jobs of a caller
COUNT_SHARE = 0.3
BURST_SHARE, BURST_JOBS = 0.15, 6
BURST_S = 0.4  # in which a job of a burst is submitted twice and cancelled, in any order
MAX_STANDING = 6  # so that the workers have room for the other jobs


def now_ms() -> float:
    """Return the machine's monotonic clock in milliseconds, as the stand-in's history does."""
    return time.monotonic() * 1000


class Callers:
    """Send a mixed load to all instances and record every request."""

    def __init__(self, deployment: Deployment, seed: int, is_up: Callable[[int], bool]) -> None:
        self._deployment = deployment
        self._is_up = is_up
        self._rng = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()
        self._standing = 0
        self._stopping = False
        # Requests for the number of pending jobs belong to the empty job.
        self._counts = JobRecord("", JobShape("short", (0,), 0, 0))
        self.jobs: dict[str, JobRecord] = {"": self._counts}
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=3_600)
        )

    def start(self) -> None:
        """Start all callers."""
        for _ in range(self._deployment.scale.callers):
            self._spawn_caller()

    def _spawn_caller(self) -> None:
        task = asyncio.create_task(self._call())
        self._tasks.add(task)

    async def stop(self) -> None:
        """Let every request end, then stop."""
        self._stopping = True
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=GIVE_UP_S + 5)
        for task in self._tasks:
            task.cancel()

    async def _call(self) -> None:
        while not self._stopping:
            await asyncio.sleep(self._rng.expovariate(1 / PAUSE_S))
            if self._rng.random() < COUNT_SHARE:
                await self.send(self._counts, "GET", self._pick())
            if self._rng.random() < BURST_SHARE:
                await self.burst()
                continue
            record = await self.submit(self._draw_shape())
            if record.accepted_ms is not None:
                await self._follow(record)

    async def submit(self, shape: JobShape) -> JobRecord:
        """Submit a job of this shape, which may fail."""
        record = JobRecord(f"{self._rng.getrandbits(64):016x}", shape)
        self.jobs[record.job] = record
        await self._submit(record)
        return record

    async def burst(self) -> None:
        """Submit and cancel several jobs at nearly the same time."""
        await asyncio.gather(*(self._cancel_promptly() for _ in range(BURST_JOBS)))

    async def _cancel_promptly(self) -> None:
        """Submit a job at two instances and cancel it at a third, in any order."""
        shape = draw_job(self._rng)
        while shape.kind == "short":  # it would end by itself
            shape = draw_job(self._rng)
        record = JobRecord(f"{self._rng.getrandbits(64):016x}", shape)
        self.jobs[record.job] = record

        async def send_later(method: str, body: object = None) -> None:
            await asyncio.sleep(self._rng.uniform(0, BURST_S))
            await self.send(record, method, self._pick(), body)

        body = shape.body()
        await asyncio.gather(
            send_later("POST", body), send_later("POST", body), send_later("DELETE")
        )
        # A second cancellation would hide the loss of one, also of one that came first of all.
        if not record.answers("DELETE", 200, 410):
            await self.cancel(record)

    async def cancel(self, record: JobRecord) -> None:
        """Cancel a job until that is acknowledged, then read its state."""
        while not self._stopping:  # who gives up in an outage is never answered
            req = await self.send(record, "DELETE", self._pick())
            if req.status in (200, 202, 410):
                break
            await asyncio.sleep(self._rng.uniform(0.05, 1))
        await self.send(record, "GET", self._pick())

    def _draw_shape(self) -> JobShape:
        shape = draw_job(self._rng)
        while shape.kind == "standing" and self._standing >= MAX_STANDING:
            shape = draw_job(self._rng)
        self._standing += shape.kind == "standing"
        return shape

    async def _submit(self, record: JobRecord) -> None:
        """Submit a job until an answer says what became of it."""
        body = record.shape.body()
        for _ in range(MAX_ATTEMPTS):
            req = await self.send(record, "POST", self._pick(), body)
            if req.status in (200, 201, 202):
                if self._rng.random() < REPEAT_SHARE:
                    await asyncio.sleep(self._rng.uniform(0, 3))
                    await self.send(record, "POST", self._pick(), body)
                return
            if req.status in (429, 503) and self._rng.random() > RETRY_SHARE:
                return
            await asyncio.sleep(self._rng.uniform(0.05, 1))

    async def _follow(self, record: JobRecord) -> None:
        """Read a job's state a few times; cancel some jobs, then read their state as well."""
        for _ in range(self._rng.randint(1, 4)):
            await asyncio.sleep(self._rng.uniform(0.1, 2.5))
            await self.send(record, "GET", self._pick())
        if record.shape.kind != "short" and self._rng.random() < CANCEL_SHARE:
            await self.cancel(record)

    def _pick(self) -> int:
        up = [i for i in range(self._deployment.scale.instances) if self._is_up(i)]
        return self._rng.choice(up or range(self._deployment.scale.instances))

    async def send(
        self, record: JobRecord, method: str, instance: int, body: object = None
    ) -> Request:
        """Send a request, record it and return it."""
        req = Request(instance, method, record.job, now_ms())
        record.requests.append(req)
        url = f"http://{self._deployment.frontend(instance)}{record.shape.prefix}{record.job}"
        headers = {"Host": HOST, "X-Deadline-Ms": str(DEADLINE_MS)}
        data = None if body is None else msgspec.json.encode(body)
        timeout = aiohttp.ClientTimeout(total=GIVE_UP_S)
        try:
            async with self.session.request(
                method, url, data=data, headers=headers, timeout=timeout
            ) as resp:
                content = await resp.read()
                req.status = resp.status
            if method == "GET" and req.status == 200:
                answer = msgspec.json.decode(content)
                req.state = str(answer["state" if record.job else "pending"])
        except aiohttp.ClientConnectorError as exc:
            req.unsent, req.error = True, repr(exc)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as exc:
            req.error = repr(exc)
        req.ended_ms = now_ms()
        return req
