"""A worker leaves a full service as planned, with tasks that last."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit import Site, job_body, run_case, runs_of, trouble

WORKERS = 16
LASTING_JOBS = 3
# Tasks as in the sheet of lapjeshuis-ops: workshop-queue and patch-layout.
LASTING = {"count": 6, "cpu": 13_000, "mem-mb": 26_000, "estimate-ms": 320, "long-running": True}
LONG = {"count": 8, "cpu": 7_000, "mem-mb": 13_000, "estimate-ms": 2_700}
JOB_INTERVAL_S = 0.17
FILL_S, DRAIN_MS, AFTER_S = 10.0, 2_000, 16.0
# A task that lasts is owed a run from 6 s after its last, and 3 s more.
LONGEST_WAIT_MS = 9_000


def play(site: Site) -> list[str]:
    """Fill the service, and take away a worker with tasks that last."""
    time.sleep(3.0)  # until an owner has found the workers
    lasting = [site.submit(job_body([LASTING])) for _ in range(LASTING_JOBS)]
    time.sleep(2.0)
    over = threading.Event()

    def submit_jobs() -> None:
        while not over.wait(JOB_INTERVAL_S):
            site.submit(job_body([LONG]))

    submitter = threading.Thread(target=submit_jobs)
    submitter.start()
    time.sleep(FILL_S)
    leaving = next(r["worker"] for r in runs_of(site.history()) if r["task"][:16] in lasting)
    if trouble():
        site.change_worker(leaving, "drain", ms=DRAIN_MS)
    time.sleep(DRAIN_MS / 1000 + AFTER_S)
    over.set()
    submitter.join()
    history = site.history()
    last_ms = history[-1]["t"]
    findings = []
    by_task: dict[str, list[dict[str, float]]] = {}
    for run in runs_of(history):
        if run["task"][:16] in lasting:
            by_task.setdefault(run["task"], []).append(run)
    for task, runs in by_task.items():
        for run, later in zip(runs, [*runs[1:], {"start": last_ms}], strict=True):
            wait_ms = later["start"] - run["end"]
            if wait_ms > LONGEST_WAIT_MS:
                findings.append(f"LOST {task}: no run for {wait_ms:.0f} ms from {run['end']:.0f}")
    return findings


if __name__ == "__main__":
    run_case(play, Path(__file__).resolve().parent, instances=3, workers=WORKERS)
