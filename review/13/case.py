"""Jobs are shown as failed after workers have crashed, though none of their runs has failed."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

from entry_lab import FINISH_S, Lab, job_body, run_case

WORKERS, SHARE = 24, 0.125  # of the workers crash at a time; the site's largest share is 0.14
DOWN_S, INTERVAL_S = 1.0, 2.0  # the site's longest time down is 4.5 s
TRAFFIC_S, TROUBLE_FROM_S = 70.0, 4.0
JOBS_PER_S = 6.0  # as many as the sheets have, of both kinds that end
MAX_ATTEMPTS = 4
SEED = 3


def make_lab(record: Path) -> Lab:
    """Return 24 workers of 64 cores and four instances."""
    return Lab(record, instances=4, workers=WORKERS, worker_processes=3, cpu=64_000, mem_mb=250_000)


async def play(lab: Lab) -> list[str]:
    """Send short jobs while workers crash and boot by turns; return the jobs that were lost."""
    body = job_body({"count": 6, "cpu": 4_600, "mem-mb": 9_200, "estimate-ms": 640})
    crashes = asyncio.create_task(crash_workers(lab)) if lab.trouble else None
    accepted: list[str] = []
    begun = lab.seconds()
    while lab.seconds() - begun < TRAFFIC_S:
        job = f"{len(accepted) + 1:016x}"
        status, _ = await lab.send("POST", len(accepted) % 4, job, body, quiet=True)
        if status == 200:
            accepted.append(job)
        await asyncio.sleep(1 / JOBS_PER_S)
    if crashes is not None:
        crashes.cancel()
    lab.note(f"the traffic has ended; {len(accepted)} jobs were accepted")
    await asyncio.sleep(FINISH_S)
    states = {}
    for number, job in enumerate(accepted):
        _, answer = await lab.send("GET", number % 4, job, quiet=True)
        states[job] = answer.get("state", "unknown")
    lab.note(f"states: {dict(Counter(states.values()))}")
    failures: Counter[str] = Counter()
    runs: Counter[str] = Counter()
    ends = [e for e in lab.history() if e["what"] == "end"]
    lab.note(f"ends at the workers: {dict(Counter(e['how'] for e in ends))}")
    for end in ends:
        runs[end["task"].partition(".")[0] + " " + end["how"]] += 1
        failures[end["task"]] += end["how"] == "failed"
    broken = []
    for job, state in states.items():
        most = max((count for task, count in failures.items() if task.startswith(job)), default=0)
        if state == "failed" and most < MAX_ATTEMPTS:
            hows = {key.split()[1]: count for key, count in runs.items() if key.startswith(job)}
            broken.append(f"LOST: {job} is shown as failed; the ends of its runs: {hows}")
    return broken


async def crash_workers(lab: Lab) -> None:
    """Crash some workers every few seconds; they boot again soon."""
    rng = random.Random(SEED)
    await asyncio.sleep(TROUBLE_FROM_S)
    while True:
        numbers = rng.sample(range(WORKERS), int(WORKERS * SHARE))
        lab.note(f"workers crash for {DOWN_S} s: {numbers}")
        for number in numbers:
            await change(lab, number, "crash")
        await asyncio.sleep(DOWN_S)
        for number in numbers:
            await change(lab, number, "boot")
        await asyncio.sleep(INTERVAL_S - DOWN_S)


async def change(lab: Lab, number: int, what: str) -> None:
    """Crash or boot a worker."""
    await lab.admin(lab.worker_admin(number % 3), "worker", id=f"i-{number:04x}", do=what)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), make_lab, play))
