"""One run of the soak: start the system, play a script, wait until it is calm, and check."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import psutil

from devtools.soak.callers import Callers, now_ms
from devtools.soak.checker import build_runs, check_all, missing_standing_tasks
from devtools.soak.deployment import WORKER_CPU, Deployment, Scale
from devtools.soak.player import Player
from devtools.soak.records import JobRecord, Request
from devtools.soak.script import Step
from devtools.soak.system import System

__all__ = ["RunResult", "run_script"]

# From the last fault until standing tasks are back and other jobs have ended: an order may still be
# carried out 12 s after it was sent, with a lease of 6 s, and some jobs take 12 s times 1.8.
CALM_LIMIT_S = 45.0
CALM_POLL_S = 1.0
MIN_CALM_S = 8.0  # so that runs of cancelled jobs can be judged


@dataclass
class RunResult:
    """What one run did and found."""

    seconds: float
    processes: int
    faults: Counter[str]
    requests: int
    statuses: Counter[str]
    jobs: int
    runs: int
    calm_s: float
    usage: dict[str, tuple[float, float]] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)
    stalls: int = 0

    def summary(self) -> str:
        """Return a few lines on the run."""
        usage = ", ".join(f"{r} {s:.0f} s {mb:.0f} MB" for r, (s, mb) in sorted(self.usage.items()))
        return (
            f"{self.seconds:.0f} s, {self.processes} processes, {sum(self.faults.values())} faults "
            f"{dict(sorted(self.faults.items()))}\n"
            f"{self.jobs} jobs, {self.requests} requests {dict(self.statuses.most_common())}, "
            f"{self.runs} task runs, calm after {self.calm_s:.0f} s\n"
            f"processor time and memory of those still running: {usage}\n"
            f"{self.stalls} stalls of the soak itself, {len(self.findings)} findings"
        )


async def run_script(
    seed: int, scale: Scale, steps: list[Step], folder: Path, mutant: str = "none"
) -> RunResult:
    """Play a script on a system of its own, whose settings and logs go to the folder."""
    started_ms = now_ms()
    deployment = Deployment(scale, seed)
    system = System(deployment, folder, seed, mutant)
    callers = Callers(deployment, seed, system.is_up)
    player = Player(system, callers)
    try:
        await system.start()
        callers.start()
        await player.play(steps)
        await callers.stop()
        calm_s = await _wait_until_calm(system, callers)
        usage = _measure(system)
        processes = len(system.running_pids())
    finally:
        await callers.session.close()
        await system.stop()
        (folder / "faults.txt").write_text(
            "\n".join(player.notes + system.stalls) + "\n", encoding="utf-8"
        )
    system.read_new_lines()
    named = {e["worker"] for e in system.events if "worker" in e}  # not by evacuations
    numbers = {name: deployment.worker_number(name) for name in named}
    unguarded = set() if deployment.admission_check else set(numbers)
    jobs = callers.jobs
    findings = [
        *system.findings,
        *system.error_output(),
        *check_all(
            system.events,
            jobs,
            system.disruptions,
            WORKER_CPU,
            unguarded,
            deployment.numbers,
            {worker: deployment.rack(number) for worker, number in numbers.items()},
        ),
    ]
    requests = [req for record in jobs.values() for req in record.requests]
    _write_requests(folder, requests)
    statuses = Counter(_outcome(req) for req in requests)
    if calm_s >= CALM_LIMIT_S:
        missing = missing_standing_tasks(build_runs(system.calm_events), jobs)
        findings += [f"STANDING: {task} is not back in {CALM_LIMIT_S:.0f} s" for task in missing]
    return RunResult(
        (now_ms() - started_ms) / 1000,
        processes,
        player.played,
        len(requests),
        statuses,
        len(jobs),
        len(build_runs(system.events)),
        calm_s,
        usage,
        findings,
        len(system.stalls),
    )


def _outcome(req: Request) -> str:
    return str(req.status or ("unsent" if req.unsent else "broken"))


def _write_requests(folder: Path, requests: list[Request]) -> None:
    ordered = sorted(requests, key=lambda r: r.sent_ms)
    lines = (
        f"{r.sent_ms:.0f} {r.ended_ms:.0f} {r.method} {r.job} entry-{r.instance} "
        f"{_outcome(r)} {r.state}{r.error}\n"
        for r in ordered
    )
    (folder / "requests.txt").write_text("".join(lines), encoding="utf-8")


async def _wait_until_calm(system: System, callers: Callers) -> float:
    """Wait until every job has ended or is at work; return the seconds that it took."""
    started_ms = now_ms()
    limit_ms = started_ms + CALM_LIMIT_S * 1000
    while now_ms() < limit_ms:
        system.read_new_lines()
        system.calm_events = list(system.events)
        accepted = [
            r for r in callers.jobs.values() if r.accepted_ms is not None and not r.is_cancelling
        ]
        waited_s = (now_ms() - started_ms) / 1000
        if (
            waited_s >= MIN_CALM_S
            and not missing_standing_tasks(build_runs(system.events), callers.jobs)
            and await _read_states(system, callers, accepted)
        ):
            return (now_ms() - started_ms) / 1000
        await asyncio.sleep(CALM_POLL_S)
    return CALM_LIMIT_S


async def _read_states(system: System, callers: Callers, records: list[JobRecord]) -> bool:
    """Read the states of jobs at all instances; return whether all have ended or go on."""
    numbers = range(system.deployment.scale.instances)
    if len(numbers) > 8:  # a sample shows whether one lags behind
        numbers = range(0, len(numbers), len(numbers) // 8)
    settled = True
    for number in numbers:
        waiting = [r for r in records if not _is_settled(r, r.final_states.get(number, ""))]
        states = await asyncio.gather(*(_read_state(callers, r, number) for r in waiting))
        for record, state in zip(waiting, states, strict=True):
            record.final_states[number] = state
            settled = settled and _is_settled(record, state)
    return settled


def _is_settled(record: JobRecord, state: str) -> bool:
    if record.shape.kind == "standing":
        return state == "running"
    return state in ("completed", "failed", "cancelled")


async def _read_state(callers: Callers, record: JobRecord, number: int) -> str:
    req = await callers.send(record, "GET", number)
    return req.state or str(req.status or req.error)


def _measure(system: System) -> dict[str, tuple[float, float]]:
    """Return the processor seconds and the megabytes in use, by role."""
    usage: dict[str, tuple[float, float]] = {}
    for name, pid in [*system.running_pids().items(), ("soak", psutil.Process().pid)]:
        role = name.partition("-")[0]
        try:
            process = psutil.Process(pid)
            times, rss = process.cpu_times(), process.memory_info().rss
        except psutil.Error:
            continue
        seconds, megabytes = usage.get(role, (0.0, 0.0))
        usage[role] = (seconds + times.user + times.system, megabytes + rss / 1e6)
    return usage
