"""The main job, end to end, on the stand-in platform; exits 0 only if every check held."""

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
LOAD_S = 24.0
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
    """Hold the run."""

    cluster: Cluster
    ctl_settings: Path
    config_seconds: list[float] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    document_count: int = 0

    def print_line(self, text: str) -> None:
        """Tell the person who watches."""
        print(f"demo: {text}", flush=True)

    def run_ggwctl(self, *args: str) -> subprocess.CompletedProcess[str]:
        """Run ggwctl."""
        binary = Path(sys.executable).parent / "ggwctl"
        command = [str(binary), *args, f"--settings={self.ctl_settings}"]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    def check(self, held: bool, problem: str) -> None:
        """Note a problem unless a check held."""
        if not held:
            self.problems.append(problem)


def document(timeout_ms: int = 3000) -> str:
    """Return the demo's document: examples/padana.yaml with the demo's callers."""
    raw = yaml.safe_load(Path("examples/padana.yaml").read_text(encoding="utf-8"))
    raw["callers"] = {
        name: {"team": team, "token_sha256": sha256(bearer_token(name).encode()).hexdigest()}
        for name, team in CALLERS.items()
    }
    raw["services"]["quotazioni"]["limits"]["timeout_ms"] = timeout_ms
    return yaml.safe_dump(raw, sort_keys=False)


def publish(demo: Demo, text: str) -> None:
    """Validate, try and promote a document, and time until it is in force everywhere."""
    demo.document_count += 1
    path = demo.cluster.folder / f"document-{demo.document_count}.yaml"
    path.write_text(text, encoding="utf-8")
    for args in (["validate", str(path)], ["try", str(path), "--wait"]):
        done = demo.run_ggwctl(*args)
        demo.check(done.returncode == 0, f"ggwctl {args[0]}: {done.stderr or done.stdout}")
    promoted = demo.run_ggwctl("promote", "--wait", "--output=json")
    demo.check(promoted.returncode == 0, f"ggwctl promote: {promoted.stderr or promoted.stdout}")
    if promoted.returncode == 0:
        demo.config_seconds.append(float(json.loads(promoted.stdout)["seconds"]))


async def disturb(demo: Demo, victim: Instance, drained: Instance) -> None:
    """Do to the system what the demo promises, one thing after another."""
    cluster = demo.cluster
    await asyncio.sleep(2)
    demo.print_line("changing the configuration under load")
    await asyncio.to_thread(publish, demo, document(timeout_ms=2500))
    await asyncio.sleep(1)
    demo.print_line(f"killing {victim.name}")
    cluster.kill(victim)
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
    """Send the mixed load while the system is disturbed."""
    production = [i for i in demo.cluster.instances.values() if i.stage == "production"]
    victim, drained = production[1], production[2]
    gateways = [instance.url for instance in production]
    rng = random.Random(7)
    callers = [
        LoadCaller(name, gateways, {victim.url}, random.Random(rng.random()))
        for name in CALLERS
        for _ in range(6)
    ]
    jobs = [caller.submit_jobs(6, 3.0, 8, 1500) for caller in callers[::6]]
    await asyncio.gather(
        *(caller.send_requests(LOAD_S, 0.03) for caller in callers),
        *jobs,
        disturb(demo, victim, drained),
    )
    demo.print_line("waiting for the jobs")
    await asyncio.gather(*(caller.await_jobs(30) for caller in callers))
    return callers


def audit(demo: Demo, callers: list[LoadCaller]) -> Audit:
    """Audit the run at the workers, the backend servers and the callers."""
    found: dict[str, Any] = demo.cluster.fetch_json("/audit")
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
            whole = len(caller.results.get(job, {})) == tasks
            demo.check(whole, f"job {job} did not give its {tasks} results to its caller")
    return audit_run(
        records,
        [ExecutionRecord(e["marker"], e["caller"], e["late_ms"]) for e in found["executions"]],
        [
            TaskEvent(e["at_ms"], e["worker"], e["event"], e["task"], e["attempt"])
            for e in found["tasks"]
        ],
        expected,
        {name: _amounts(size) for name, size in found["max_committed"].items()},
        {name: _amounts(size) for name, size in found["capacity"].items()},
    )


def _amounts(size: dict[str, int]) -> tuple[int, int, int]:
    return size["cpus"], size["memory_mb"], size["accelerators"]


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] if ordered else 0.0


def report(demo: Demo, found: Audit, callers: list[LoadCaller]) -> int:
    """Print what was found; return the exit code."""
    latencies = [r.latency_ms for c in callers for r in c.records if r.outcome == "answered"]
    worst = max(demo.config_seconds, default=float("inf"))
    demo.check(worst <= MAX_CONFIG_S, f"a configuration took {worst:.1f} s")
    for note in (found.notes + demo.problems)[:20]:
        demo.print_line(f"PROBLEM {note}")
    good = found.violations() == 0 and not demo.problems
    print(
        f"demo: {'ok' if good else 'FAILED'} requests={found.requests} tasks={found.tasks} "
        f"lost={found.lost} doubled={found.duplicated} mixed={found.mixed_up} "
        f"overcommitted={found.overcommitted} config_seconds={worst:.2f} "
        f"p99_ms={percentile(latencies, 0.99):.0f} evictions={found.evictions} "
        f"refused_but_ran={found.ran_after_not_run} cut={found.cut_off} "
        f"late_at_leaving={found.late_on_leaving_backends} uncertain_at_killed={found.excused}"
    )
    return 0 if good else 1


def main() -> int:
    """Run the demo."""
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
