"""The store is down for a short time while many short tasks end on a worker."""

from __future__ import annotations

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit import CaseError, Site, check_twice, job_body, run_case, trouble

JOBS = 60
# No wider than the widest step of the sheets, with tasks like those in the example of PROTOCOL.md.
STEP = {"count": 36, "cpu": 250, "mem-mb": 256, "estimate-ms": 900}
STARTED_BEFORE = 400  # tasks, when the store goes away
STORE_DOWN_S = 4.0
PLAY_S = 45.0


def play(site: Site) -> list[str]:
    """Submit many jobs at once, and take the store away while their tasks run."""
    with ThreadPoolExecutor(12) as pool:
        jobs = list(pool.map(site.submit, [job_body([STEP])] * JOBS))
    end = time.monotonic() + PLAY_S
    while count_started(site) < STARTED_BEFORE:
        if time.monotonic() > end:
            raise CaseError(f"only {count_started(site)} tasks were started")
        time.sleep(0.05)
    if trouble():
        site.store_fault("busy")
        time.sleep(STORE_DOWN_S)
        site.store_fault("clear")
    for job in jobs:
        while site.state(job) not in ("completed", "failed") and time.monotonic() < end:
            time.sleep(0.5)
    time.sleep(2.0)
    return check_twice(site.history())


def count_started(site: Site) -> int:
    """Return how many runs have been started."""
    return sum(event["what"] == "start" for event in site.history())


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent, instances=3, workers=4)
