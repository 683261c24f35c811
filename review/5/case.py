"""Starts of an owner that stops as planned are carried out late, by workers that have rebooted."""

from __future__ import annotations

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit import Site, check_twice, job_body, run_case, trouble

WORKERS = 24
HIT = ("w00", "w01", "w02")  # a share of 0.125; the tasks are placed there first
JOBS = 20
STEP = {"count": 6, "cpu": 1_500, "mem-mb": 4_000, "estimate-ms": 12_000}
LATE_S = 1.0
CRASHES, CRASH_S, CRASH_INTERVAL_S = 12, 0.3, 0.7


def play(site: Site) -> list[str]:
    """Leave starts unanswered, stop their owner, and crash the workers that are to run them."""
    time.sleep(3.0)  # until an owner has found the workers
    if trouble():
        site.workers_fault("late_orders", workers=HIT, share=0.9)
    for _ in range(JOBS):
        site.submit(job_body([STEP]))
    time.sleep(LATE_S)
    site.signal_instance(site.owner(), signal.SIGTERM)
    if trouble():
        site.workers_fault("clear")
    time.sleep(3.0)
    for _ in range(CRASHES if trouble() else 0):
        for name in HIT:
            site.change_worker(name, "crash")
        time.sleep(CRASH_S)
        for name in HIT:
            site.change_worker(name, "boot")
        time.sleep(CRASH_INTERVAL_S - CRASH_S)
    time.sleep(8.0)
    return check_twice(site.history())


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent, instances=3, workers=WORKERS)
