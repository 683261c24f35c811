"""Measure how processor time, network bytes and log appends grow with the size of a system.

Real programs run at four sizes in each dimension, and a line is fitted to each measure. Bytes are
those that the loopback interface carried, headers included; only control traffic runs during a
measurement. The bytes of a node are all bytes divided by the number of entry instances.
"""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from statistics import mean
from typing import Any

import aiohttp
import msgspec
import psutil
import yaml

from devtools.bench import Bound, Result
from devtools.callers import bearer_token
from devtools.cluster import ROLES, Cluster, ClusterPlan
from devtools.demo import CALLERS, Demo, document, publish

__all__ = ["Slope", "run"]

BASE_PLAN = ClusterPlan(
    environment="padana",
    service="quotazioni",
    rack_by_domain={"pd-milano": "milano-r1"},
    workers_per_domain=8,
    instances_per_domain=1,
    trial_instances=0,
    standin_settings={"list_lag_ms": 200},
    worker_settings={"backend_port": 0},  # no backend servers, so that no service limits placement
)
SETTLE_S = 5.0
MEASURE_S = 8.0
INSTANCE_COUNTS = (1, 2, 4, 8)
WORKER_COUNTS = (8, 16, 32, 64)
TASK_STARTS_PER_S = (4, 8, 16, 32)
LARGE_TASK_CPUS = 40
OUTPUT = Path("docs/capacity.json")


class Slope(msgspec.Struct, frozen=True):
    """Describe a line fitted to the measure `of`, as a function of the dimension `per`."""

    of: str
    per: str
    base: float
    slope: float


def _loopback_bytes() -> int:
    return int(psutil.net_io_counters(pernic=True)["lo"].bytes_recv)


def _processor_s(cluster: Cluster) -> dict[str, float]:
    seconds = {}
    for role in ROLES:
        times = [
            psutil.Process(i.processes[role].pid).cpu_times() for i in cluster.instances.values()
        ]
        seconds[role] = sum(t.user + t.system for t in times)
    return seconds


def _memory_mb(cluster: Cluster) -> dict[str, float]:
    return {
        role: max(
            psutil.Process(i.processes[role].pid).memory_info().rss / 1e6
            for i in cluster.instances.values()
        )
        for role in ROLES
    }


def _document() -> str:
    """Return the document of the demo, with quotas too high to be reached."""
    raw = yaml.safe_load(document())
    raw["teams"] = {name: {"cpus": 10**6, "memory_mb": 10**8} for name in raw["teams"]}
    return yaml.safe_dump(raw, sort_keys=False)


async def _submit(cluster: Cluster, tasks: int, run_ms: int, key: str, cpus: int = 1) -> None:
    headers = {
        "Authorization": f"Bearer {bearer_token(next(iter(CALLERS)))}",
        "Idempotency-Key": key,
    }
    spec = {"class": "validation", "tasks": tasks, "cpus": cpus, "memory_mb": 10}
    spec["run_ms"] = run_ms
    url = f"{next(iter(cluster.instances.values())).url}/v1/jobs"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=spec, headers=headers) as resp,
    ):
        assert resp.status == 202, await resp.text()


def _measure(plan: ClusterPlan, work: Callable[[Cluster], None]) -> dict[str, float]:
    """Start a system, let it settle, and measure it while `work` runs."""
    cluster = Cluster(plan, Path(tempfile.mkdtemp(prefix="greengagewood-bench-")))
    try:
        cluster.start()
        time.sleep(2)
        publish(Demo(cluster, cluster.write_control_settings()), _document())
        cluster.wait_ready(20)
        time.sleep(SETTLE_S)
        cpu_before, bytes_before, appends_before = (
            _processor_s(cluster),
            _loopback_bytes(),
            _count_appends(cluster),
        )
        started = time.monotonic()
        work(cluster)
        time.sleep(max(0.0, MEASURE_S - (time.monotonic() - started)))
        seconds = time.monotonic() - started
        cpu_after = _processor_s(cluster)
        count = len(cluster.instances)
        measures = {
            f"{role} core %": (cpu_after[role] - cpu_before[role]) / seconds / count * 100
            for role in ROLES
        }
        measures["KB/s a node"] = (_loopback_bytes() - bytes_before) / seconds / count / 1000
        measures["appends/s"] = (_count_appends(cluster) - appends_before) / seconds
        measures.update({f"{role} MB": value for role, value in _memory_mb(cluster).items()})
        if work is not _idle and not _count_task_starts(cluster):
            raise RuntimeError("the load did not run: no task was started")
    finally:
        cluster.stop()
    return measures


def _count_task_starts(cluster: Cluster) -> int:
    return sum(event["event"] == "start" for event in cluster.fetch_json("/audit")["tasks"])


def _count_appends(cluster: Cluster) -> int:
    return int(cluster.fetch_json("/audit")["log_appends"])


def _idle(cluster: Cluster) -> None:
    """Do nothing."""


def _start_tasks(rate: int) -> Callable[[Cluster], None]:
    def work(cluster: Cluster) -> None:
        for second in range(int(MEASURE_S)):
            asyncio.run(_submit(cluster, rate, 500, f"s{second}"))
            time.sleep(1.0)

    return work


def _fill_workers(workers: int) -> Callable[[Cluster], None]:
    """Run one large task on each worker, so that the owner contacts each once a second."""

    def work(cluster: Cluster) -> None:
        asyncio.run(_submit(cluster, workers, 120_000, "b", LARGE_TASK_CPUS))

    return work


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return the base and the slope of the least-squares line."""
    mean_x, mean_y = mean(x for x, _ in points), mean(y for _, y in points)
    variation_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variation_x
    return mean_y - slope * mean_x, slope


def _dimensions() -> dict[str, list[tuple[int, ClusterPlan, Callable[[Cluster], None]]]]:
    sixteen_workers = replace(BASE_PLAN, workers_per_domain=16)
    return {
        "instances of a failure domain": [
            (n, replace(BASE_PLAN, instances_per_domain=n), _idle) for n in INSTANCE_COUNTS
        ],
        "busy workers of a cell": [
            (n, replace(BASE_PLAN, workers_per_domain=n), _fill_workers(n)) for n in WORKER_COUNTS
        ],
        "task starts a second": [(n, sixteen_workers, _start_tasks(n)) for n in TASK_STARTS_PER_S],
    }


def _committed_measures() -> dict[str, list[tuple[int, dict[str, float]]]]:
    """Return the measures that are committed, by dimension and size."""
    if not OUTPUT.exists():
        return {}
    results = load()
    names = results["columns"][2:]
    rows: dict[str, list[tuple[int, dict[str, float]]]] = {}
    for per, size, *figures in results["rows"]:
        rows.setdefault(per, []).append((size, dict(zip(names, figures, strict=True))))
    return rows


def run() -> Result:
    """Measure every dimension, or only those that GGW_CAPACITY_ONLY names, separated by commas."""
    only = os.environ.get("GGW_CAPACITY_ONLY", "").split(",")
    committed = _committed_measures() if only != [""] else {}
    rows: list[tuple[Any, ...]] = []
    slopes: list[Slope] = []
    for per, sizes in _dimensions().items():
        points = committed.get(per, [])
        if only == [""] or per in only:
            points = [(size, _measure(plan, work)) for size, plan, work in sizes]
        names = list(points[0][1])
        rows += [(per, size, *(figures[name] for name in names)) for size, figures in points]
        for name in names:
            base, slope = fit_line([(size, figures[name]) for size, figures in points])
            slopes.append(Slope(name, per, base, slope))
    columns = ("dimension", "size", *names)
    OUTPUT.write_bytes(
        msgspec.json.format(
            msgspec.json.encode({"columns": columns, "rows": rows, "slopes": slopes}), indent=1
        )
        + b"\n"
    )
    idle_row = next(
        row for row in rows if row[0] == "instances of a failure domain" and row[1] == 8
    )
    core_percent = sum(idle_row[2:5])
    bounds = (
        Bound(
            "control of a node, 8 instances, idle",
            "2.1 % of a core",
            core_percent,
            core_percent <= 2.1,
        ),
        Bound("bytes of a node, 8 instances, idle", "14 KB/s", idle_row[5], idle_row[5] <= 14.0),
    )
    return Result("capacity", columns, tuple(rows), bounds)


def load() -> dict[str, Any]:
    """Return the committed results."""
    results: dict[str, Any] = json.loads(OUTPUT.read_text(encoding="utf-8"))
    return results
