"""Callers that send a mixed load, retry as the protocol allows, and record every outcome."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from devtools.audit import CallerRecord

__all__ = ["LoadCaller", "bearer_token"]

ATTEMPT_TIMEOUT_S = 8.0
REQUEST_DEADLINE_S = 30.0
BACKOFF_S = 0.1


def bearer_token(caller: str) -> str:
    """Return the bearer token of a caller."""
    return f"demo-token-of-{caller}"


@dataclass
class _Request:
    """Track a request and the outcomes of its attempts."""

    marker: str
    method: str
    path: str
    key: str
    body: bytes
    attempts: int = 0
    not_run_attempts: list[str] = field(default_factory=list)
    uncertain: bool = False
    excused: bool = False
    attempt_log: list[str] = field(default_factory=list)


@dataclass
class LoadCaller:
    """Send requests and jobs as one caller.

    `disrupted_gateways` holds the gateways that the run kills or cuts off. Only at these may a
    connection break or a request end as may_have_run.
    """

    name: str
    gateways: list[str]
    disrupted_gateways: set[str]
    rng: random.Random
    records: list[CallerRecord] = field(default_factory=list)
    jobs: dict[str, int] = field(default_factory=dict)
    unaccepted_jobs: int = 0
    results: dict[str, dict[str, str]] = field(default_factory=dict)
    _request_count: int = 0

    async def send_requests(self, seconds: float, pause_s: float) -> None:
        """Send requests one after another for the given time."""
        end = time.monotonic() + seconds
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < end:
                await self._send_request(session)
                await asyncio.sleep(pause_s * self.rng.uniform(0.5, 1.5))

    def _generate_request(self) -> _Request:
        self._request_count += 1
        marker = f"{self.name}-{id(self) % 9973}-{self._request_count}"
        kind_draw = self.rng.random()
        size = 200_000 if self.rng.random() < 0.03 else self.rng.randrange(2000)
        path = f"/quotazioni/{self._request_count}?bytes={size}"
        if kind_draw < 0.6:
            return _Request(marker, "GET", path, "", b"")
        body = self.rng.randbytes(self.rng.randrange(1, 3000))
        key = f"key-{marker}" if kind_draw < 0.9 else ""
        return _Request(marker, "POST", path, key, body)

    async def _send_request(self, session: aiohttp.ClientSession) -> None:
        req = self._generate_request()
        started = time.monotonic()
        outcome, matches = "not_run", False
        while time.monotonic() - started < REQUEST_DEADLINE_S:
            outcome, matches, retry_s = await self._attempt(session, req)
            if retry_s is None:
                break
            await asyncio.sleep(retry_s)
        latency_ms = (time.monotonic() - started) * 1000
        idempotent = req.method == "GET"
        self.records.append(
            CallerRecord(
                req.marker,
                self.name,
                idempotent,
                outcome,
                matches,
                tuple(req.not_run_attempts),
                latency_ms,
                req.excused,
                tuple(req.attempt_log),
            )
        )

    async def _attempt(
        self, session: aiohttp.ClientSession, req: _Request
    ) -> tuple[str, bool, float | None]:
        """Send one attempt; return the outcome, whether the answer matches, and the retry delay.

        The delay is None if the request must not be retried.
        """
        req.attempts += 1
        marker = f"{req.marker}.{req.attempts}"
        gateway = self.rng.choice(self.gateways)
        headers = {"Authorization": f"Bearer {bearer_token(self.name)}", "X-Marker": marker}
        if req.key:
            headers["Idempotency-Key"] = req.key
        retryable = req.method == "GET" or bool(req.key)
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
        try:
            async with session.request(
                req.method, gateway + req.path, data=req.body, headers=headers, timeout=timeout
            ) as resp:
                body = await resp.json()
                status = resp.status
        except aiohttp.ClientConnectorError:
            return "not_run", False, BACKOFF_S
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            req.attempt_log.append(f"{gateway}: {type(exc).__name__}")
            req.excused = req.excused or gateway in self.disrupted_gateways
            return "cut", False, BACKOFF_S if retryable and req.excused else None
        if status != 200:
            req.attempt_log.append(f"{gateway}: {body['verdict']} {body['reason']}")
            may_have_failed = (
                body["verdict"] == "may_have_run" and gateway in self.disrupted_gateways
            )
            req.excused = req.excused or may_have_failed
        return self._classify(req, marker, status, body, retryable)

    def _classify(
        self, req: _Request, marker: str, status: int, body: dict[str, Any], retryable: bool
    ) -> tuple[str, bool, float | None]:
        if status == 200:
            matches = (
                body["caller"] == self.name
                and body["marker"].rpartition(".")[0] == req.marker
                and body["method"] == req.method
                and body["body_sha256"] == hashlib.sha256(req.body).hexdigest()
                and len(body["padding"]) == int(req.path.rpartition("=")[2])
            )
            return "answered", matches, None
        verdict = body["verdict"]
        if verdict == "not_run":
            req.not_run_attempts.append(marker)
            return "not_run", False, max(BACKOFF_S, (body["retry_after_ms"] or 0) / 1000)
        if body["reason"] == "key_holder_gone" and req.excused:
            return "may_have_run", False, None
        return "may_have_run", False, BACKOFF_S if retryable else None

    # Jobs.

    async def submit_jobs(self, count: int, pause_s: float, tasks: int, run_ms: int) -> None:
        """Submit jobs one after another, and retry each until it is accepted."""
        async with aiohttp.ClientSession() as session:
            for number in range(count):
                await self._submit(session, f"job-{self.name}-{number}", tasks, run_ms)
                await asyncio.sleep(pause_s)

    async def _submit(
        self, session: aiohttp.ClientSession, key: str, tasks: int, run_ms: int
    ) -> None:
        spec = {
            "class": self.rng.choice(["price-grid", "validation", "feed-replay"]),
            "tasks": tasks,
            "cpus": self.rng.randrange(1, 9),
            "memory_mb": self.rng.randrange(500, 16_000),
            "run_ms": self.rng.randrange(run_ms // 2, run_ms * 2),
        }
        headers = {"Authorization": f"Bearer {bearer_token(self.name)}", "Idempotency-Key": key}
        end = time.monotonic() + REQUEST_DEADLINE_S
        while time.monotonic() < end:
            url = self.rng.choice(self.gateways) + "/v1/jobs"
            timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
            try:
                async with session.post(url, json=spec, headers=headers, timeout=timeout) as resp:
                    body = await resp.json()
                    if resp.status == 202:
                        self.jobs[body["job"]] = tasks
                        return
            except (aiohttp.ClientError, TimeoutError):
                pass
            await asyncio.sleep(BACKOFF_S * 3)
        self.unaccepted_jobs += 1

    async def await_jobs(self, seconds: float) -> None:
        """Fetch the results of every job, for at most the given time."""
        end = time.monotonic() + seconds
        async with aiohttp.ClientSession() as session:
            for job in self.jobs:
                while time.monotonic() < end and job not in self.results:
                    await self._fetch_result(session, job)

    async def _fetch_result(self, session: aiohttp.ClientSession, job: str) -> None:
        headers = {"Authorization": f"Bearer {bearer_token(self.name)}"}
        timeout = aiohttp.ClientTimeout(total=ATTEMPT_TIMEOUT_S)
        base = f"{self.rng.choice(self.gateways)}/v1/jobs/{job}"
        try:
            url = f"{base}/wait?timeout_ms=1000"
            async with session.get(url, headers=headers, timeout=timeout) as resp:
                await resp.read()
            async with session.get(f"{base}/result", headers=headers, timeout=timeout) as resp:
                if resp.status == 200:
                    self.results[job] = (await resp.json())["results"]
                    return
        except (aiohttp.ClientError, TimeoutError):
            pass
        await asyncio.sleep(BACKOFF_S)
