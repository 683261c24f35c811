"""Many jobs come for a short time on a queue with advice, then as many as before."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from kit import ADVISED_PREFIX, CaseError, Site, job_body, now_ms, run_case, runs_of, trouble

WORKERS = 24
RATE_PER_S, BURST, BURST_S = 3.17, 2.6, 4.0
BEFORE_S, AFTER_S = 6.0, 6.0
STEP = {"count": 6, "cpu": 4_600, "mem-mb": 9_200, "estimate-ms": 640}
FINISH_S, IDLE_S, MARGIN_S = 14.0, 3.0, 8.0
# An answer about 24 workers takes 220 ms, so 4.5 steps a second can be advised.
DECISION_MS, PER_WORKER_MS = 100, 5


def advise(step: str, worker: str) -> bool:
    """Return whether the policy allows a worker: three in four."""
    return int(worker[1:]) % 4 != 3


def play(site: Site) -> list[str]:
    """Submit jobs at a steady rate with one burst; look which have not run long afterwards."""
    time.sleep(3.0)  # until an owner has found the workers
    jobs: list[str] = []
    submitters: list[threading.Thread] = []
    start = time.monotonic()
    while (elapsed := time.monotonic() - start) < BEFORE_S + BURST_S + AFTER_S:
        thread = threading.Thread(
            target=lambda: jobs.append(site.submit(job_body([STEP]), ADVISED_PREFIX))
        )
        thread.start()
        submitters.append(thread)
        in_burst = trouble() and BEFORE_S <= elapsed < BEFORE_S + BURST_S
        time.sleep(1 / (RATE_PER_S * (BURST if in_burst else 1)))
    for thread in submitters:
        thread.join()
    if len(jobs) != len(submitters):
        raise CaseError(f"{len(jobs)} of {len(submitters)} jobs were accepted")
    end_ms = now_ms()
    time.sleep(FINISH_S + IDLE_S + MARGIN_S)
    started = {run["task"].partition(".")[0] for run in runs_of(site.history())}
    until_s = (now_ms() - end_ms) / 1000
    return [
        f"LOST {job} is {site.state(job, ADVISED_PREFIX)} {until_s:.0f} s after the last of"
        f" {len(jobs)} jobs was accepted, none of its tasks was ever started, all workers are idle"
        for job in jobs
        if job not in started
    ]


if __name__ == "__main__":
    run_case(
        play,
        Path(__file__).resolve().parent,
        instances=3,
        workers=WORKERS,
        advise=advise,
        advice_ms=(DECISION_MS, PER_WORKER_MS),
    )
