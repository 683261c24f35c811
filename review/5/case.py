"""A large job is cancelled while all of its tasks run."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import CannotRun, Fleet, main, now_ms, runs_of

JOB = "5c0e7a21d94b36f8"
TASKS, USUAL_TASKS = 8_000, 36
CANCEL_MS, STOP_MS = 3_000, 400  # bounds of the rule
START_LIMIT_S = 60


async def play(fleet: Fleet) -> list[str]:
    """Start all tasks, cancel the job and see when its last runs end."""
    tasks = TASKS if fleet.trouble else USUAL_TASKS
    step = {"count": tasks, "cpu": 50, "mem-mb": 20, "estimate-ms": 200_000}
    await fleet.submit(JOB, [step])
    deadline = time.monotonic() + START_LIMIT_S
    while sum(event["what"] == "start" for event in fleet.worker_events()) < tasks:
        if time.monotonic() > deadline:
            raise CannotRun(f"{tasks} tasks were not started within {START_LIMIT_S} s")
        await asyncio.sleep(0.3)
    await asyncio.sleep(4)  # nothing is disturbed near the cancelling
    status, _ = await fleet.call(0, "DELETE", JOB)
    acked_ms = now_ms()
    if not 200 <= status < 300:
        raise CannotRun(f"the cancelling was answered with {status}")
    await asyncio.sleep(20)
    due_ms = acked_ms + CANCEL_MS + STOP_MS
    runs = [run for task_runs in runs_of(fleet.worker_events()).values() for run in task_runs]
    late = [run for run in runs if run["to"] is None or run["to"] > due_ms]
    last_ms = max(run["to"] or now_ms() for run in runs) - acked_ms
    fleet.note("judged", runs=len(runs), late=len(late), last_end_after_ms=round(last_ms))
    if not late:
        return []
    return [
        f"{len(late)} of {len(runs)} runs went on later than {CANCEL_MS + STOP_MS} ms after the "
        f"ack of the cancelling, the last one until {last_ms:.0f} ms after it"
    ]


if __name__ == "__main__":
    sys.exit(main(play, Fleet(Path(__file__).resolve().parent, workers=8, worker_processes=4)))
