"""The whole request path over real sockets against a bare aiohttp pass-through, in one run."""

from __future__ import annotations

import asyncio
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median
from typing import Any

import aiohttp
import psutil

from devtools.bench import Bound, Result
from devtools.callers import bearer_token
from devtools.cluster import FIRST_BACKEND_PORT, GATEWAY_PORT, Cluster, ClusterPlan, Instance
from devtools.demo import CALLERS, Demo, document, percentile, publish

__all__ = ["run"]

PLAN = ClusterPlan(
    environment="padana",
    service="quotazioni",
    rack_by_domain={"pd-milano": "milano-r1"},
    workers_per_domain=6,
    instances_per_domain=1,
    trial_instances=0,
    standin_settings={"base_latency_ms": 1.0, "list_lag_ms": 200},
)
PASSTHROUGH_PORT = 17300
ROUNDS = 5
ROUND_S = 3.0
CONNECTIONS = 24
IDLE_CONNECTIONS = 1000
THROUGHPUT_TARGET = 0.7
ADDED_LATENCY_TARGET = 2.0
OVERLOAD_TARGET = 0.9


async def _round(url: str, connections: int, seconds: float) -> tuple[float, float, float]:
    """Return answers a second, p99 in milliseconds and the fraction refused."""
    token = bearer_token(next(iter(CALLERS)))
    headers = {"Authorization": f"Bearer {token}"}
    latencies: list[float] = []
    refused = 0
    end = time.monotonic() + seconds

    async def one(session: aiohttp.ClientSession) -> None:
        nonlocal refused
        while time.monotonic() < end:
            started = time.monotonic()
            async with session.get(f"{url}/quotazioni/x?bytes=200", headers=headers) as resp:
                body = await resp.json()
                good = resp.status == 200
            if good:
                latencies.append((time.monotonic() - started) * 1000)
            else:
                refused += 1
                await asyncio.sleep((body["retry_after_ms"] or 0) / 1000)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(one(session) for _ in range(connections)))
    total = len(latencies) + refused
    return len(latencies) / seconds, percentile(latencies, 0.99), refused / max(1, total)


def _idle_memory(instance: Instance, connections: int) -> float:
    """Return megabytes of the gateway for a thousand open connections."""
    process = psutil.Process(instance.processes["gateway"].pid)
    before = process.memory_info().rss
    opened = [socket.create_connection((instance.ip, GATEWAY_PORT)) for _ in range(connections)]
    time.sleep(2)
    after = process.memory_info().rss
    for connection in opened:
        connection.close()
    return float(after - before) / 1e6 * 1000 / connections


def run() -> Result:
    """Measure in turns, so that drift of the machine's speed meets both alike."""
    cluster = Cluster(PLAN, Path(tempfile.mkdtemp(prefix="greengagewood-bench-")))
    bare: subprocess.Popen[bytes] | None = None
    try:
        cluster.start()
        time.sleep(2)
        publish(Demo(cluster, cluster.write_control_settings()), document())
        cluster.wait_ready(20)
        (instance,) = cluster.instances.values()
        ip = cluster.platform_ip
        targets = [f"http://{ip}:{FIRST_BACKEND_PORT + n}" for n in range(6)]
        bare = subprocess.Popen(
            [sys.executable, "-m", "devtools.passthrough", ip, str(PASSTHROUGH_PORT), *targets]
        )
        time.sleep(2)
        rows: list[tuple[Any, ...]] = []
        ratios, latency_ratios = [], []
        for number in range(ROUNDS):
            ours = asyncio.run(_round(instance.url, CONNECTIONS, ROUND_S))
            other = asyncio.run(_round(f"http://{ip}:{PASSTHROUGH_PORT}", CONNECTIONS, ROUND_S))
            rows.append((number + 1, ours[0], other[0], ours[0] / other[0], ours[1], other[1]))
            ratios.append(ours[0] / other[0])
            latency_ratios.append((ours[1] - other[1]) / other[1])
        memory = _idle_memory(instance, IDLE_CONNECTIONS)
        once = asyncio.run(_round(instance.url, CONNECTIONS * 4, ROUND_S))
        twice = asyncio.run(_round(instance.url, CONNECTIONS * 8, ROUND_S))
    finally:
        if bare is not None:
            bare.kill()
            bare.wait()
        cluster.stop()
    rows.append((f"{CONNECTIONS * 4} callers", once[0], 0.0, 0.0, once[1], 0.0))
    rows.append((f"{CONNECTIONS * 8} callers", twice[0], 0.0, 0.0, twice[1], 0.0))
    rows.append(("MB for 1000 idle connections", memory, 0.0, 0.0, 0.0, 0.0))
    ratio, added, goodput = median(ratios), median(latency_ratios), twice[0] / once[0]
    bounds = (
        Bound("throughput of the bare one", "0.7", ratio, ratio >= THROUGHPUT_TARGET),
        Bound("added p99 of its own", "2", added, added <= ADDED_LATENCY_TARGET),
        Bound("goodput at twice the callers", "0.9", goodput, goodput >= OVERLOAD_TARGET),
    )
    columns = ("round", "ours /s", "bare /s", "ratio", "ours p99 ms", "bare p99 ms")
    return Result("gateway", columns, tuple(rows), bounds)
