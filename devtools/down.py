"""Stop the system that `./dev up` started."""

from __future__ import annotations

import os
import signal
import sys
import time

from devtools.up import RUN_FOLDER

__all__ = ["main"]

STOP_LIMIT_S = 50.0


def _alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def main() -> int:
    """Ask every process that was started to stop, and wait for it."""
    path = RUN_FOLDER / "pids"
    if not path.exists():
        print("down: nothing runs", file=sys.stderr)
        return 1
    pids = [int(line) for line in path.read_text(encoding="utf-8").split()]
    *daemons, platform = pids
    for pid in filter(_alive, daemons):
        os.kill(pid, signal.SIGTERM)
    deadline = time.monotonic() + STOP_LIMIT_S
    while any(map(_alive, daemons)) and time.monotonic() < deadline:
        time.sleep(0.2)
    for pid in filter(_alive, [*daemons, platform]):
        os.kill(pid, signal.SIGTERM)
    path.unlink()
    return 0


if __name__ == "__main__":
    sys.exit(main())
