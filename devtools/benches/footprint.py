"""Measure processor time and memory of each program, idle and under the load of the demo."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from pathlib import Path
from statistics import mean

import psutil

from devtools.bench import Bound, Result
from devtools.callers import LoadCaller
from devtools.cluster import ROLES, Cluster
from devtools.demo import CALLERS, PLAN, Demo, document, publish

__all__ = ["run"]

IDLE_DURATION_S = 10.0
LOAD_DURATION_S = 10.0
MAX_IDLE_CORES = 0.021
MAX_MEMORY_MB = 256.0

UsageByRole = dict[str, list[tuple[float, float]]]


def _read_usage(cluster: Cluster) -> UsageByRole:
    """Return processor seconds and megabytes of every process, by role."""
    usage: UsageByRole = {role: [] for role in ROLES}
    for instance in cluster.instances.values():
        if instance.stage != "production":
            continue
        for role, process in instance.processes.items():
            process_info = psutil.Process(process.pid)
            times = process_info.cpu_times()
            usage[role].append((times.user + times.system, process_info.memory_info().rss / 1e6))
    return usage


def _usage_between(
    before: UsageByRole, after: UsageByRole, seconds: float
) -> dict[str, tuple[float, float]]:
    """Return mean cores used and largest memory in megabytes, by role."""
    return {
        role: (
            mean((b[0] - a[0]) / seconds for a, b in zip(before[role], after[role], strict=True)),
            max(b[1] for b in after[role]),
        )
        for role in ROLES
    }


async def _run_load(cluster: Cluster) -> int:
    gateways = [i.url for i in cluster.instances.values() if i.stage == "production"]
    callers = [
        LoadCaller(name, gateways, set(), random.Random(n))
        for n, name in enumerate(CALLERS)
        for _ in range(6)
    ]
    jobs = [caller.submit_jobs(3, 3.0, 8, 1500) for caller in callers[::6]]
    await asyncio.gather(*(c.send_requests(LOAD_DURATION_S, 0.03) for c in callers), *jobs)
    return sum(len(caller.records) for caller in callers)


def run() -> Result:
    """Measure the programs of the demo's system while idle, then under load."""
    cluster = Cluster(PLAN, Path(tempfile.mkdtemp(prefix="greengagewood-bench-")))
    try:
        cluster.start()
        time.sleep(2)
        publish(Demo(cluster, cluster.write_control_settings()), document())
        cluster.wait_ready(20)
        time.sleep(5)
        idle_start = _read_usage(cluster)
        time.sleep(IDLE_DURATION_S)
        idle_end = _read_usage(cluster)
        requests = asyncio.run(_run_load(cluster))
        load_end = _read_usage(cluster)
    finally:
        cluster.stop()
    idle = _usage_between(idle_start, idle_end, IDLE_DURATION_S)
    loaded = _usage_between(idle_end, load_end, LOAD_DURATION_S)
    rows = [
        (role, idle[role][0] * 100, idle[role][1], loaded[role][0] * 100, loaded[role][1])
        for role in ROLES
    ]
    idle_cores = sum(idle[role][0] for role in ROLES)
    memory_mb = sum(loaded[role][1] for role in ROLES)
    rows.append(
        (
            f"instance ({requests / LOAD_DURATION_S / 6:.0f} requests/s)",
            idle_cores * 100,
            sum(idle[role][1] for role in ROLES),
            sum(loaded[role][0] for role in ROLES) * 100,
            memory_mb,
        )
    )
    return Result(
        "footprint",
        ("program", "idle core %", "idle MB", "loaded core %", "loaded MB"),
        tuple(rows),
        (
            Bound(
                "control, idle instance",
                "2.1 % of a core",
                idle_cores * 100,
                idle_cores <= MAX_IDLE_CORES,
            ),
            Bound("memory of an instance", "256 MB", memory_mb, memory_mb <= MAX_MEMORY_MB),
        ),
    )
