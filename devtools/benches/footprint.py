"""Processor time and memory of each program, idle and under the demo's load."""

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

IDLE_S = 10.0
LOAD_S = 10.0
CORE_BOUND = 0.021
MEMORY_BOUND_MB = 256.0

Sample = dict[str, list[tuple[float, float]]]


def _read(cluster: Cluster) -> Sample:
    """Return processor seconds and megabytes of every process, by role."""
    found: Sample = {role: [] for role in ROLES}
    for instance in cluster.instances.values():
        if instance.stage != "production":
            continue
        for role, process in instance.processes.items():
            seen = psutil.Process(process.pid)
            times = seen.cpu_times()
            found[role].append((times.user + times.system, seen.memory_info().rss / 1e6))
    return found


def _between(before: Sample, after: Sample, seconds: float) -> dict[str, tuple[float, float]]:
    return {
        role: (
            mean((b[0] - a[0]) / seconds for a, b in zip(before[role], after[role], strict=True)),
            max(b[1] for b in after[role]),
        )
        for role in ROLES
    }


async def _load(cluster: Cluster) -> int:
    gateways = [i.url for i in cluster.instances.values() if i.stage == "production"]
    callers = [
        LoadCaller(name, gateways, set(), random.Random(n))
        for n, name in enumerate(CALLERS)
        for _ in range(6)
    ]
    jobs = [caller.submit_jobs(3, 3.0, 8, 1500) for caller in callers[::6]]
    await asyncio.gather(*(c.send_requests(LOAD_S, 0.03) for c in callers), *jobs)
    return sum(len(caller.records) for caller in callers)


def run() -> Result:
    """Measure."""
    cluster = Cluster(PLAN, Path(tempfile.mkdtemp(prefix="greengagewood-bench-")))
    try:
        cluster.start()
        time.sleep(2)
        publish(Demo(cluster, cluster.write_control_settings()), document())
        cluster.wait_ready(20)
        time.sleep(5)
        first = _read(cluster)
        time.sleep(IDLE_S)
        idle_end = _read(cluster)
        requests = asyncio.run(_load(cluster))
        loaded_end = _read(cluster)
    finally:
        cluster.stop()
    idle = _between(first, idle_end, IDLE_S)
    loaded = _between(idle_end, loaded_end, LOAD_S)
    rows = [
        (role, idle[role][0] * 100, idle[role][1], loaded[role][0] * 100, loaded[role][1])
        for role in ROLES
    ]
    idle_core = sum(idle[role][0] for role in ROLES)
    memory = sum(loaded[role][1] for role in ROLES)
    rows.append(
        (
            f"instance ({requests / LOAD_S / 6:.0f} requests/s)",
            idle_core * 100,
            sum(idle[role][1] for role in ROLES),
            sum(loaded[role][0] for role in ROLES) * 100,
            memory,
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
                idle_core * 100,
                idle_core <= CORE_BOUND,
            ),
            Bound("memory of an instance", "256 MB", memory, memory <= MEMORY_BOUND_MB),
        ),
    )
