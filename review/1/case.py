"""The store does not answer for 4 s while more than 500 runs end on each worker."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import CannotRun, Fleet, find_twice, main

JOB = "5c0e7a21d94b36f8"
TASKS = 2_400
OUTAGE_S = 4.0


def count_ends(fleet: Fleet) -> int:
    """Return how many runs have ended so far."""
    return sum(event["what"] == "end" for event in fleet.worker_events())


async def play(fleet: Fleet) -> list[str]:
    """Hand in one wide job, and take the store away while its tasks end."""
    await fleet.submit(JOB, [{"count": TASKS, "cpu": 50, "mem-mb": 20, "estimate-ms": 2500}])
    deadline = time.monotonic() + 20
    while count_ends(fleet) < 50:
        if time.monotonic() > deadline:
            raise CannotRun("the job does not get going")
        await asyncio.sleep(0.1)
    if fleet.trouble:
        await fleet.store_fault("silent")
        await asyncio.sleep(OUTAGE_S)
        await fleet.store_fault("clear")
    fleet.note("state", state=await fleet.wait_state(JOB, "completed", 40))
    await asyncio.sleep(1)
    return find_twice(fleet.worker_events())


if __name__ == "__main__":
    sys.exit(main(play, Fleet(Path(__file__).resolve().parent, workers=2, worker_processes=2)))
