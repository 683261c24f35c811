"""Compare the whole request path over real sockets with a minimal aiohttp proxy in one run."""

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
MIN_THROUGHPUT_RATIO = 0.7
MAX_ADDED_LATENCY_RATIO = 2.0
MIN_OVERLOAD_GOODPUT_RATIO = 0.9


async def _round(url: str, connections: int, seconds: float) -> tuple[float, float, float]:
    """Return successful answers per second, p99 in milliseconds and the refused fraction."""
    token = bearer_token(next(iter(CALLERS)))
    headers = {"Authorization": f"Bearer {token}"}
    latencies: list[float] = []
    refused = 0
    end = time.monotonic() + seconds

    async def send_requests(session: aiohttp.ClientSession) -> None:
        nonlocal refused
        while time.monotonic() < end:
            started = time.monotonic()
            async with session.get(f"{url}/quotazioni/x?bytes=200", headers=headers) as resp:
                body = await resp.json()
                succeeded = resp.status == 200
            if succeeded:
                latencies.append((time.monotonic() - started) * 1000)
            else:
                refused += 1
                await asyncio.sleep((body["retry_after_ms"] or 0) / 1000)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*(send_requests(session) for _ in range(connections)))
    total = len(latencies) + refused
    return len(latencies) / seconds, percentile(latencies, 0.99), refused / max(1, total)


def _idle_memory_mb(instance: Instance, connections: int) -> float:
    """Return the megabytes that the gateway uses per thousand idle connections."""
    process = psutil.Process(instance.processes["gateway"].pid)
    before_bytes = process.memory_info().rss
    open_connections = [
        socket.create_connection((instance.ip, GATEWAY_PORT)) for _ in range(connections)
    ]
    time.sleep(2)
    after_bytes = process.memory_info().rss
    for connection in open_connections:
        connection.close()
    return float(after_bytes - before_bytes) / 1e6 * 1000 / connections


def run() -> Result:
    """Alternate between both, so that changes of the machine's speed affect both alike."""
    cluster = Cluster(PLAN, Path(tempfile.mkdtemp(prefix="greengagewood-bench-")))
    proxy: subprocess.Popen[bytes] | None = None
    try:
        cluster.start()
        time.sleep(2)
        publish(Demo(cluster, cluster.write_control_settings()), document())
        cluster.wait_ready(20)
        (instance,) = cluster.instances.values()
        ip = cluster.platform_ip
        backend_urls = [f"http://{ip}:{FIRST_BACKEND_PORT + n}" for n in range(6)]
        proxy = subprocess.Popen(
            [sys.executable, "-m", "devtools.passthrough", ip, str(PASSTHROUGH_PORT), *backend_urls]
        )
        time.sleep(2)
        rows: list[tuple[Any, ...]] = []
        throughput_ratios, added_latency_ratios = [], []
        for number in range(ROUNDS):
            gateway = asyncio.run(_round(instance.url, CONNECTIONS, ROUND_S))
            baseline = asyncio.run(_round(f"http://{ip}:{PASSTHROUGH_PORT}", CONNECTIONS, ROUND_S))
            rows.append(
                (
                    number + 1,
                    gateway[0],
                    baseline[0],
                    gateway[0] / baseline[0],
                    gateway[1],
                    baseline[1],
                )
            )
            throughput_ratios.append(gateway[0] / baseline[0])
            added_latency_ratios.append((gateway[1] - baseline[1]) / baseline[1])
        memory_mb = _idle_memory_mb(instance, IDLE_CONNECTIONS)
        overload = asyncio.run(_round(instance.url, CONNECTIONS * 4, ROUND_S))
        double_overload = asyncio.run(_round(instance.url, CONNECTIONS * 8, ROUND_S))
    finally:
        if proxy is not None:
            proxy.kill()
            proxy.wait()
        cluster.stop()
    rows.append((f"{CONNECTIONS * 4} callers", overload[0], 0.0, 0.0, overload[1], 0.0))
    rows.append(
        (f"{CONNECTIONS * 8} callers", double_overload[0], 0.0, 0.0, double_overload[1], 0.0)
    )
    rows.append(("MB for 1000 idle connections", memory_mb, 0.0, 0.0, 0.0, 0.0))
    throughput_ratio, added_latency_ratio, goodput_ratio = (
        median(throughput_ratios),
        median(added_latency_ratios),
        double_overload[0] / overload[0],
    )
    bounds = (
        Bound(
            "throughput of the bare one",
            "0.7",
            throughput_ratio,
            throughput_ratio >= MIN_THROUGHPUT_RATIO,
        ),
        Bound(
            "added p99 of its own",
            "2",
            added_latency_ratio,
            added_latency_ratio <= MAX_ADDED_LATENCY_RATIO,
        ),
        Bound(
            "goodput at twice the callers",
            "0.9",
            goodput_ratio,
            goodput_ratio >= MIN_OVERLOAD_GOODPUT_RATIO,
        ),
    )
    columns = ("round", "ours /s", "bare /s", "ratio", "ours p99 ms", "bare p99 ms")
    return Result("gateway", columns, tuple(rows), bounds)
