"""The one permitted worker among the first 30 is lost; others that may run the step are idle."""

from __future__ import annotations

import asyncio
import json
import sys
import time
import zlib
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from harness import CannotRun, Fleet, main, web

JOB = "5c0e7a21d94b36f8"
WORKERS = 40
LOST_WORKER = 3
PERMITTED = ("w003", "w036", "w037", "w038", "w039")
FINISH_S = 14.0  # bound of the rule: from the end of the traffic until jobs are judged
WATCH_S = 4.0  # the rule says 3 s with nothing running
STEP = {"count": 4, "cpu": 2_000, "mem-mb": 500, "estimate-ms": 400, "advised": True}


def ticket(step: str, worker: str) -> str:
    """Return a ticket that the stand-in of the workers takes as valid."""
    return f"{round(time.monotonic() * 1000, 1)}-{zlib.crc32(f'{step} {worker}'.encode()):x}"


async def serve_advice(fleet: Fleet) -> web.ServerRunner:
    """Serve the advice, one call at a time, with a policy that permits five workers."""
    lock = asyncio.Lock()

    async def handle(req: web.BaseRequest) -> web.StreamResponse:
        question = json.loads(await req.read())
        workers = question["workers"]
        async with lock:
            await asyncio.sleep((40 + 2 * len(workers)) / 1000)
        allowed = [(w, ticket(question["step"], w)) for w in workers if w in PERMITTED]
        fleet.note("advice", asked=workers, allowed=[worker for worker, _ in allowed])
        return web.json_response({"allowed": allowed, "validity-ms": 4_000})

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    ip, _, port = fleet.advice.partition(":")
    await web.TCPSite(runner, ip, int(port)).start()
    return runner


async def play(fleet: Fleet) -> list[str]:
    """Lose one worker for good, hand in a job, and wait until it must have begun."""
    runner = await serve_advice(fleet)
    try:
        await asyncio.sleep(3)
        if fleet.trouble:
            await fleet.change_worker(LOST_WORKER, "gone")
            await asyncio.sleep(4)
        await fleet.submit(JOB, [STEP])
        state = await fleet.wait_state(JOB, "completed", FINISH_S + WATCH_S)
        starts = [event for event in fleet.worker_events() if event["what"] == "start"]
        fleet.note("judged", state=state, starts=len(starts))
        if not fleet.entry_events("term_started"):
            raise CannotRun("no entry instance owns the cell")
    finally:
        await runner.cleanup()
    if starts:
        return []
    return [
        f"job {JOB} is {state!r}: none of its tasks was started in {FINISH_S + WATCH_S:.0f} s, "
        f"though {', '.join(PERMITTED[1:])} may run them and all workers are idle"
    ]


if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    sys.exit(main(play, Fleet(folder, workers=WORKERS, advised=True)))
