"""Lasting tasks that fail again and again keep other jobs from being started."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter, defaultdict
from pathlib import Path

from entry_lab import FINISH_S, Lab, job_body, run_case

WORKERS, WORKER_CPU = 24, 64_000
HOPELESS_JOBS, LASTING_TASKS = 8, 12  # 12 is the most that the sheets have
LASTING_CPU = 15_000  # 13,000 on average, 20,000 at most
SMALL_CPU, SMALL_TASKS = 4_600, 6
INTERVAL_S = 1.0
TROUBLE_AT_S, TRAFFIC_S = 4.0, 50.0
SILENT_MS = 3_000


def make_lab(record: Path) -> Lab:
    """Return 24 workers of 64 cores and four instances."""
    return Lab(
        record,
        instances=4,
        workers=WORKERS,
        worker_processes=2,
        cpu=WORKER_CPU,
        mem_mb=250_000,
    )


async def play(lab: Lab) -> list[str]:
    """Send short jobs, and one whose lasting tasks always fail; return the jobs never started."""
    body = job_body(
        {"count": SMALL_TASKS, "cpu": SMALL_CPU, "mem-mb": 9_200, "estimate-ms": 640},
    )
    lasting = {"count": LASTING_TASKS, "cpu": LASTING_CPU, "mem-mb": 26_000, "estimate-ms": 400}
    lasting |= {"long-running": True, "image": "watch", "target-ms": 24}
    hopeless = job_body({**lasting, "hopeless": True})
    for step in hopeless["steps"]:
        del step["hopeless"]
    accepted: dict[str, float] = {}
    begun = lab.seconds()
    due = lab.trouble
    while lab.seconds() - begun < TRAFFIC_S:
        if due and lab.seconds() - begun > TROUBLE_AT_S:
            due = False
            for number in range(HOPELESS_JOBS):
                await lab.send("POST", 1, f"d{number}" * 8, hopeless)
        job = f"{len(accepted) + 1:016x}"
        status, _ = await lab.send("POST", len(accepted) % 4, job, body, quiet=True)
        if status == 200:
            accepted[job] = lab.seconds()
        await asyncio.sleep(INTERVAL_S)
    lab.note(f"the traffic has ended; {len(accepted)} short jobs were accepted")
    await asyncio.sleep(FINISH_S)
    states: Counter[str] = Counter()
    for number, job in enumerate(accepted):
        _, answer = await lab.send("GET", number % 4, job, quiet=True)
        states[answer.get("state", "unknown")] += 1
    lab.note(f"states of the short jobs: {dict(states)}")
    return judge(lab, accepted)


def judge(lab: Lab, accepted: dict[str, float]) -> list[str]:
    """Return the short jobs that have nothing running though there is room."""
    events = lab.history()
    end_ms = max((event["t"] for event in events), default=0.0)
    running: set[tuple[str, str, int]] = set()
    quiet_since: dict[str, float] = defaultdict(float)
    done: dict[str, set[str]] = defaultdict(set)
    most_used = used = 0
    for event in events:
        key = (event.get("worker", ""), event.get("task", ""), event.get("run", 0))
        job = key[1].partition(".")[0]
        if event["what"] == "start":
            running.add(key)
        elif event["what"] == "end":
            running.discard(key)
            quiet_since[job] = event["t"]
            if event["how"] == "done":
                done[job].add(key[1])
        used = sum(LASTING_CPU if task.startswith("d") else SMALL_CPU for _, task, _ in running)
        if event["t"] > end_ms - SILENT_MS:
            most_used = max(most_used, used)
    ends = Counter((e["task"][0] == "d", e["how"]) for e in events if e["what"] == "end")
    lab.note(f"ends, by whether of the job that always fails: {dict(ends)}")
    lab.note(f"used at most in the last 3 s: {most_used} of {WORKERS * WORKER_CPU}")
    lab.note(f"workers_shunned: {len(lab.logs('worker_shunned'))}")
    if 2 * most_used >= WORKERS * WORKER_CPU:
        return []
    jobs_running = {task.partition(".")[0] for _, task, _ in running}
    return [
        f"LOST: {job}, accepted at {at:.1f} s, has run {len(done[job])} of {SMALL_TASKS} tasks and "
        "has nothing running"
        for job, at in accepted.items()
        if len(done[job]) < SMALL_TASKS
        and job not in jobs_running
        and end_ms - quiet_since[job] > SILENT_MS
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), make_lab, play))
