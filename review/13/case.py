"""A job is withdrawn with an acknowledged DELETE, and runs afterwards."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from entry_lab import CANCEL_MS, CONTACT_MS, STOP_MS, Lab, job_body, now_ms, run_case

LATE_MS = 6_000  # the store executes an append without an answer at most this much later
DEADLINE_MS = 3_000  # of the sheets
JOBS = 3
LOOK_S = 25.0


def make_lab(record: Path) -> Lab:
    """Return six workers and four instances."""
    return Lab(record, instances=4, workers=6, worker_processes=1, cpu=16_000, mem_mb=64_000)


async def play(lab: Lab) -> list[str]:
    """Submit jobs at one instance, cancel them at another; return those that run on."""
    body = job_body({"count": 2, "cpu": 1_000, "mem-mb": 64, "estimate-ms": 60_000})
    await asyncio.sleep(4.0)
    owner = lab.logs("term_started")[-1]["file"]
    sender, other = [i for i in range(4) if f"entry-{i}" != owner][:2]
    lab.note(f"the owner is {owner}; callers use entry-{sender}, then entry-{other}")
    jobs = [f"{number:016x}" for number in range(0xC0, 0xC0 + JOBS)]
    fault = {"for": [lab.ip(sender)], "topics": ["keyed.cell0"]}
    if lab.trouble:
        await lab.admin(lab.store_admin, "fault", kind="apply_late", ms=LATE_MS, **fault)
        lab.note(f"the store leaves appends of entry-{sender} unanswered and executes them late")
    answers = await asyncio.gather(
        *(lab.send("POST", sender, job, body, wait_ms=DEADLINE_MS + 200) for job in jobs)
    )
    await lab.admin(lab.store_admin, "fault", kind="clear")
    calm_ms = now_ms() + CONTACT_MS
    lab.note("the store answers all appends again")
    acked_ms: dict[str, float] = {}
    for job, (posted, _) in zip(jobs, answers, strict=True):
        status, _ = await lab.send("DELETE", other, job)
        if status in (200, 202, 410):
            acked_ms[job] = now_ms()
            lab.note(f"{job}: POST {posted}, cancelled with {status}")
    await asyncio.sleep(LOOK_S)
    for job in jobs:
        await lab.send("GET", other, job)
    return judge(lab, acked_ms, calm_ms)


def judge(lab: Lab, acked_ms: dict[str, float], calm_ms: float) -> list[str]:
    """Return the tasks of cancelled jobs that ran on after the time that the rule allows."""
    end_ms = now_ms()
    ends = {(e["task"], e["run"]): e["t"] for e in lab.history() if e["what"] == "end"}
    broken = []
    for event in lab.history():
        job = event.get("task", "").partition(".")[0]
        if event["what"] != "start" or job not in acked_ms:
            continue
        gone_ms = max(acked_ms[job], calm_ms) + CANCEL_MS + STOP_MS
        until_ms = ends.get((event["task"], event["run"]), end_ms)
        began, ended = event["t"] - acked_ms[job], until_ms - acked_ms[job]
        lab.note(
            f"{event['task']} run {event['run']}: at work from {began:.0f} to {ended:.0f} ms after "
            "the answer to the DELETE"
        )
        if until_ms > gone_ms:
            broken.append(f"UNASKED: {event['task']} ran on {until_ms - gone_ms:.0f} ms too long")
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).with_name("record.txt"), make_lab, play))
