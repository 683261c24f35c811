"""Measure the time from the death of a cell's owner until the cell is placing again.

The programs run as real processes.
"""

from __future__ import annotations

import json
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Any

from devtools.bench import Bound, Result
from devtools.cluster import KEEPER_ADMIN_PORT, Cluster
from devtools.demo import PLAN, Demo, document, publish

__all__ = ["run"]

LONGEST_LEASE_S = 10.0
MAX_TAKEOVER_S = 10.0 + LONGEST_LEASE_S
TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05


def _fetch_status(ip: str) -> dict[str, Any]:
    with urllib.request.urlopen(f"http://{ip}:{KEEPER_ADMIN_PORT}/status", timeout=2) as resp:
        status: dict[str, Any] = json.load(resp)
    return status


def _owners(cluster: Cluster, dead: set[str]) -> dict[str, tuple[str, int, bool]]:
    """Return each cell's owner, epoch and whether it is placing."""
    owners: dict[str, tuple[str, int, bool]] = {}
    for instance in cluster.instances.values():
        if instance.stage != "production" or instance.name in dead:
            continue
        member = next(
            entry["member"]
            for entry in _fetch_status(instance.ip)["members"]
            if entry["member"][1] == instance.name
        )
        for load in member[10]:
            owners[load[1]] = (instance.name, load[2], load[3])
    return owners


def _wait_for_owner(
    cluster: Cluster, cell: str, after_epoch: int, dead: set[str]
) -> tuple[str, int]:
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        owner, epoch, placing = _owners(cluster, dead).get(cell, ("", 0, False))
        if epoch > after_epoch and placing:
            return owner, epoch
        time.sleep(POLL_INTERVAL_S)
    raise RuntimeError(f"cell {cell} is not placing after {TIMEOUT_S} s")


def run() -> Result:
    """Kill the owner of each cell in turn; the last cell also has a worker that does not answer."""
    cluster = Cluster(PLAN, Path(tempfile.mkdtemp(prefix="greengagewood-bench-")))
    rows: list[tuple[Any, ...]] = []
    dead: set[str] = set()
    try:
        cluster.start()
        time.sleep(2)
        publish(Demo(cluster, cluster.write_control_settings()), document())
        cluster.wait_ready(20)
        cells = {"milano-1": (), "verona-1": (), "forli-1": ("pd-forli-w1",)}
        for cell, silent in cells.items():
            owner, epoch = _wait_for_owner(cluster, cell, 0, dead)
            cluster.change_standin(silent_workers=list(silent))
            started = time.monotonic()
            cluster.kill(cluster.instances[owner])
            dead.add(owner)
            new_owner, _ = _wait_for_owner(cluster, cell, epoch, dead)
            seconds = time.monotonic() - started
            rows.append((cell, len(silent), owner, new_owner, seconds))
    finally:
        cluster.stop()
    bounds = tuple(
        Bound(
            f"{cell}, {silent} silent workers",
            f"{MAX_TAKEOVER_S:.0f} s",
            seconds,
            seconds <= MAX_TAKEOVER_S,
        )
        for cell, silent, _, _, seconds in rows
    )
    columns = ("cell", "silent workers", "killed", "new owner", "seconds until placing")
    return Result("takeover", columns, tuple(rows), bounds)
