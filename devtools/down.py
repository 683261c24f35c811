"""Stop the system that `./dev up` started."""

from __future__ import annotations

import os
import signal
import sys
import time

from devtools.up import RUN_FOLDER

__all__ = ["main"]

STOP_TIMEOUT_S = 50.0


def _is_running(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def main() -> int:
    """Stop the entry instances and wait for them, then stop the stand-in platform."""
    pid_file = RUN_FOLDER / "pids"
    if not pid_file.exists():
        print("down: no system is running", file=sys.stderr)
        return 1
    pids = [int(line) for line in pid_file.read_text(encoding="utf-8").split()]
    *daemons, platform = pids
    for pid in filter(_is_running, daemons):
        os.kill(pid, signal.SIGTERM)
    deadline = time.monotonic() + STOP_TIMEOUT_S
    while any(map(_is_running, daemons)) and time.monotonic() < deadline:
        time.sleep(0.2)
    for pid in filter(_is_running, [*daemons, platform]):
        os.kill(pid, signal.SIGTERM)
    pid_file.unlink()
    return 0


if __name__ == "__main__":
    sys.exit(main())
