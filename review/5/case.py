"""A worker crashes, boots again, gets a task that lasts, and is lost for good soon afterwards."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import CannotRun, Fleet, main, now_ms, runs_of

LASTING_JOB, FILLING_JOB = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
WORKERS = 24
DOWN_S = 0.5  # of the first crash
GONE_AFTER_S = 1.6  # from the new run of the task until its worker is lost for good
# A task that lasts is owed a run from 6 s after its last run, and 3 s more.
OWED_MS = 9_000
WATCH_S = 22.0
LASTING = {"count": 1, "cpu": 13_000, "mem-mb": 1_000, "estimate-ms": 320, "long-running": True}
FILLING = {"count": WORKERS - 1, "cpu": 60_000, "mem-mb": 1_000, "estimate-ms": 60_000}


def lasting_runs(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the runs of the task that lasts, the first one first."""
    runs = runs_of(fleet.worker_events()).get(f"{LASTING_JOB}.0.0.0", [])
    return sorted(runs, key=lambda run: float(run["from"]))


async def until(check: Callable[[], bool], what: str) -> None:
    """Wait until a check holds; raise CannotRun after 15 s."""
    deadline = time.monotonic() + 15
    while not check():
        if time.monotonic() > deadline:
            raise CannotRun(f"{what} within 15 s")
        await asyncio.sleep(0.05)


async def play(fleet: Fleet) -> list[str]:
    """Bring the task back to its worker after a crash, free the others, and lose the worker."""
    await fleet.submit(LASTING_JOB, [LASTING])
    await until(lambda: bool(lasting_runs(fleet)), "the task that lasts did not begin")
    worker_id = lasting_runs(fleet)[0]["worker"]
    worker = int(worker_id[1:])
    await fleet.submit(FILLING_JOB, [FILLING])  # leaves no room for it elsewhere for a while
    await asyncio.sleep(3)
    if fleet.trouble:
        await fleet.change_worker(worker, "crash")
        await asyncio.sleep(DOWN_S)
        await fleet.change_worker(worker, "boot")
        await until(lambda: len(lasting_runs(fleet)) > 1, "the task did not begin again")
        if lasting_runs(fleet)[-1]["worker"] != worker_id:
            raise CannotRun("the task did not come back to its worker")
    status, _ = await fleet.call(0, "DELETE", FILLING_JOB)
    if not 200 <= status < 300:
        raise CannotRun(f"the cancelling was answered with {status}")
    await asyncio.sleep(GONE_AFTER_S)
    lost_ms = now_ms()
    if fleet.trouble:
        await fleet.change_worker(worker, "crash")  # and it does not come back
    await asyncio.sleep(WATCH_S)
    runs = lasting_runs(fleet)
    fleet.note("judged", lost_ms=round(lost_ms), runs=runs)
    if not fleet.trouble:
        return [] if len(runs) == 1 and runs[0]["to"] is None else ["the task did not go on"]
    later = [run["from"] for run in runs if run["from"] > lost_ms]
    wait_ms = (later[0] if later else now_ms()) - lost_ms
    if wait_ms <= OWED_MS:
        return []
    return [
        f"the task that lasts had no run for {wait_ms:.0f} ms after its worker was lost, with "
        f"{WORKERS - 1} idle workers; {OWED_MS} ms are allowed"
    ]


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    sys.exit(main(play, Fleet(folder, workers=WORKERS, worker_processes=2)))
