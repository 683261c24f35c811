"""Time from an owner's death until its cell is placing again, with real processes."""

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
BOUND_S = 10.0 + LONGEST_LEASE_S
GIVE_UP_S = 60.0
POLL_S = 0.05


def _status(ip: str) -> dict[str, Any]:
    with urllib.request.urlopen(f"http://{ip}:{KEEPER_ADMIN_PORT}/status", timeout=2) as resp:
        found: dict[str, Any] = json.load(resp)
    return found


def _owners(cluster: Cluster, dead: set[str]) -> dict[str, tuple[str, int, bool]]:
    """Return each cell's owner, epoch and whether it is placing."""
    found: dict[str, tuple[str, int, bool]] = {}
    for instance in cluster.instances.values():
        if instance.stage != "production" or instance.name in dead:
            continue
        me = next(
            entry["member"]
            for entry in _status(instance.ip)["members"]
            if entry["member"][1] == instance.name
        )
        for load in me[10]:
            found[load[1]] = (instance.name, load[2], load[3])
    return found


def _await(cluster: Cluster, cell: str, above: int, dead: set[str]) -> tuple[str, int]:
    deadline = time.monotonic() + GIVE_UP_S
    while time.monotonic() < deadline:
        owner, epoch, placing = _owners(cluster, dead).get(cell, ("", 0, False))
        if epoch > above and placing:
            return owner, epoch
        time.sleep(POLL_S)
    raise RuntimeError(f"cell {cell} is not placing after {GIVE_UP_S} s")


def run() -> Result:
    """Kill the owner of each cell in turn, with and without a silent worker."""
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
            owner, epoch = _await(cluster, cell, 0, dead)
            cluster.change_standin(silent_workers=list(silent))
            started = time.monotonic()
            cluster.kill(cluster.instances[owner])
            dead.add(owner)
            new_owner, _ = _await(cluster, cell, epoch, dead)
            seconds = time.monotonic() - started
            rows.append((cell, len(silent), owner, new_owner, seconds))
    finally:
        cluster.stop()
    bounds = tuple(
        Bound(f"{cell}, {silent} silent workers", f"{BOUND_S:.0f} s", seconds, seconds <= BOUND_S)
        for cell, silent, _, _, seconds in rows
    )
    columns = ("cell", "silent workers", "killed", "new owner", "seconds until placing")
    return Result("takeover", columns, tuple(rows), bounds)
