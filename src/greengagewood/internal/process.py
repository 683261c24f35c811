"""What all processes share, also those that are started without flags."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from typing import NoReturn

from greengagewood.internal.logs import Log
from greengagewood.internal.metrics import Metrics

__all__ = ["exit_with_usage_error", "raise_location", "supervised_loop"]

EXIT_USAGE = 2

_log = Log("daemon")


def exit_with_usage_error(message: str) -> NoReturn:
    """Print one line to standard error and exit with the status of a usage error."""
    print(message, file=sys.stderr)
    sys.exit(EXIT_USAGE)


def supervised_loop(
    name: str, step: Callable[[], Awaitable[None]], metrics: Metrics, pause_s: float
) -> Callable[[], Awaitable[None]]:
    """Return a loop that repeats a step forever.

    An exception of the step is counted and logged, and the step is tried again after `pause_s`.
    """

    async def loop() -> None:
        while True:
            try:
                await step()
            except Exception as exc:  # one bad record or message must not stop the process
                metrics.count("task_failures", task=name, kind=type(exc).__name__)
                _log.warning("task_failed", task=name, error=repr(exc), where=raise_location(exc))
                await asyncio.sleep(pause_s)

    return loop


def raise_location(exc: BaseException) -> str:
    """Return the file and line at which an exception was raised."""
    traceback = exc.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    return f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}" if traceback else ""
