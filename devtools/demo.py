"""Run the whole system on the stand-in platform under load and faults, and audit the run.

The exit code is 0 only if every check passed.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from hashlib import sha256
from pathlib import Path
from typing import Any

import yaml

from devtools.audit import Audit, ExecutionRecord, TaskEvent, audit_run
from devtools.callers import LoadCaller, bearer_token
from devtools.cluster import Cluster, ClusterPlan, Instance

__all__ = ["main"]

MAX_CONFIG_S = 9.0
LOAD_DURATION_S = 24.0
CALLERS = {"camera-di-commercio": "mercato", "stazione": "mercato", "cooperativa": "statistica"}
PLAN = ClusterPlan(
    environment="padana",
    service="quotazioni",
    rack_by_domain={"pd-milano": "milano-r1", "pd-verona": "verona-r1", "pd-forli": "forli-r1"},
    workers_per_domain=2,
    instances_per_domain=2,
)


@dataclass
class Demo:
    """Hold the state of one run of the demo."""

    cluster: Cluster
    ggwctl_settings: Path
    promotion_seconds: list[float] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    document_count: int = 0

    def print_line(self, text: str) -> None:
        """Print one line of progress."""
        print(f"demo: {text}", flush=True)

    def run_ggwctl(self, *args: str) -> subprocess.CompletedProcess[str]:
        """Run ggwctl with the settings of the demo, and return its result."""
        binary = Path(sys.executable).parent / "ggwctl"
        command = [str(binary), *args, f"--settings={self.ggwctl_settings}"]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    def check(self, passed: bool, problem: str) -> None:
        """Record a problem unless a check passed."""
        if not passed:
            self.problems.append(problem)


def document(timeout_ms: int = 3000) -> str:
    """Return the document of the demo: examples/padana.yaml with the callers of the demo."""
    raw = yaml.safe_load(Path("examples/padana.yaml").read_text(encoding="utf-8"))
    raw["callers"] = {
        name: {"team": team, "token_sha256": sha256(bearer_token(name).encode()).hexdigest()}
        for name, team in CALLERS.items()
    }
    raw["services"]["quotazioni"]["limits"]["timeout_ms"] = timeout_ms
    return yaml.safe_dump(raw, sort_keys=False)


def publish(demo: Demo, text: str) -> None:
    """Validate, try and promote a document, and record how long that took until in force."""
    demo.document_count += 1
    path = demo.cluster.folder / f"document-{demo.document_count}.yaml"
    path.write_text(text, encoding="utf-8")
    for args in (["validate", str(path)], ["try", str(path), "--wait"]):
        result = demo.run_ggwctl(*args)
        demo.check(result.returncode == 0, f"ggwctl {args[0]}: {result.stderr or result.stdout}")
    promoted = demo.run_ggwctl("promote", "--wait", "--output=json")
    demo.check(promoted.returncode == 0, f"ggwctl promote: {promoted.stderr or promoted.stdout}")
    if promoted.returncode == 0:
        demo.promotion_seconds.append(float(json.loads(promoted.stdout)["seconds"]))


async def inject_faults(demo: Demo, killed: Instance, drained: Instance) -> None:
    """Change the configuration and inject the faults of the demo, one after another."""
    cluster = demo.cluster
    await asyncio.sleep(2)
    demo.print_line("changing the configuration under load")
    await asyncio.to_thread(publish, demo, document(timeout_ms=2500))
    await asyncio.sleep(1)
    demo.print_line(f"killing {killed.name}")
    cluster.kill(killed)
    await asyncio.sleep(3)
    demo.print_line(f"draining {drained.name}")
    cluster.send_signal(drained, signal.SIGTERM)
    await asyncio.sleep(2)
    demo.print_line("one backend server leaves")
    await asyncio.to_thread(cluster.change_standin, leaving_backends=["pd-verona-w1"])
    await asyncio.sleep(2)
    demo.print_line("the log goes away for 5 s")
    await asyncio.to_thread(cluster.change_standin, log={"down": True})
    await asyncio.sleep(5)
    await asyncio.to_thread(cluster.change_standin, log={"down": False})
    codes = await asyncio.to_thread(cluster.wait_for_exit, drained)
    demo.check(set(codes.values()) == {0}, f"drained processes ended with {codes}")
    demo.print_line(f"{drained.name} has drained")


async def run_load(demo: Demo) -> list[LoadCaller]:
    """Send the mixed load while faults are injected; return the callers with their records."""
    production = [i for i in demo.cluster.instances.values() if i.stage == "production"]
    killed, drained = production[1], production[2]
    gateways = [instance.url for instance in production]
    rng = random.Random(7)
    callers = [
        LoadCaller(name, gateways, {killed.url}, random.Random(rng.random()))
        for name in CALLERS
        for _ in range(6)
    ]
    jobs = [caller.submit_jobs(6, 3.0, 8, 1500) for caller in callers[::6]]
    await asyncio.gather(
        *(caller.send_requests(LOAD_DURATION_S, 0.03) for caller in callers),
        *jobs,
        inject_faults(demo, killed, drained),
    )
    demo.print_line("waiting for the jobs")
    await asyncio.gather(*(caller.await_jobs(30) for caller in callers))
    return callers


def audit(demo: Demo, callers: list[LoadCaller]) -> Audit:
    """Audit the run from the records of the workers, the backend servers and the callers."""
    standin_audit: dict[str, Any] = demo.cluster.fetch_json("/audit")
    records = [record for caller in callers for record in caller.records]
    expected = [
        f"{job}/{index}"
        for caller in callers
        for job, tasks in caller.jobs.items()
        for index in range(tasks)
    ]
    for caller in callers:
        demo.check(
            caller.unaccepted_jobs == 0, f"{caller.unaccepted_jobs} jobs were never accepted"
        )
        for job, tasks in caller.jobs.items():
            is_complete = len(caller.results.get(job, {})) == tasks
            demo.check(is_complete, f"job {job} did not give its {tasks} results to its caller")
    return audit_run(
        records,
        [
            ExecutionRecord(e["marker"], e["caller"], e["late_ms"])
            for e in standin_audit["executions"]
        ],
        [
            TaskEvent(e["at_ms"], e["worker"], e["event"], e["task"], e["attempt"])
            for e in standin_audit["tasks"]
        ],
        expected,
        {name: _resource_tuple(used) for name, used in standin_audit["max_committed"].items()},
        {name: _resource_tuple(used) for name, used in standin_audit["capacity"].items()},
    )


def _resource_tuple(resources: dict[str, int]) -> tuple[int, int, int]:
    return resources["cpus"], resources["memory_mb"], resources["accelerators"]


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by the nearest-rank method, or 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else 0.0


def report(demo: Demo, found: Audit, callers: list[LoadCaller]) -> int:
    """Print the problems and a summary line; return the exit code."""
    latencies = [r.latency_ms for c in callers for r in c.records if r.outcome == "answered"]
    longest_s = max(demo.promotion_seconds, default=float("inf"))
    demo.check(longest_s <= MAX_CONFIG_S, f"a configuration took {longest_s:.1f} s")
    for note in (found.notes + demo.problems)[:20]:
        demo.print_line(f"PROBLEM {note}")
    passed = found.violations() == 0 and not demo.problems
    print(
        f"demo: {'ok' if passed else 'FAILED'} requests={found.requests} tasks={found.tasks} "
        f"lost={found.lost} doubled={found.duplicated} mixed={found.mixed_up} "
        f"overcommitted={found.overcommitted} config_seconds={longest_s:.2f} "
        f"p99_ms={percentile(latencies, 0.99):.0f} evictions={found.evictions} "
        f"refused_but_ran={found.ran_after_not_run} cut={found.cut_off} "
        f"late_at_leaving={found.late_on_leaving_backends} uncertain_at_killed={found.excused}"
    )
    return 0 if passed else 1


def main() -> int:
    """Run the demo and return its exit code."""
    started = time.monotonic()
    folder = Path(tempfile.mkdtemp(prefix="greengagewood-demo-"))
    cluster = Cluster(PLAN, folder)
    demo = Demo(cluster, cluster.write_control_settings())
    demo.print_line(f"settings and logs are in {folder}")
    try:
        cluster.start()
        demo.print_line(f"{len(cluster.pids())} processes started")
        time.sleep(2)
        publish(demo, document())
        cluster.wait_ready(20)
        callers = asyncio.run(run_load(demo))
        found = audit(demo, callers)
    finally:
        cluster.stop()
    demo.print_line(f"took {time.monotonic() - started:.1f} s")
    return report(demo, found, callers)


if __name__ == "__main__":
    sys.exit(main())
