"""An asyncio event loop in virtual time, which advances only when no callback is ready to run."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from greengagewood.internal.clock import reset_clocks, set_clocks

T = TypeVar("T")

START_WALL_MS = 1_700_000_000_000  # wall clock at the start of every run


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Return from every wait at once, and add its timeout to the virtual time."""

    def __init__(self) -> None:
        super().__init__()
        self.virtual_time_s = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("deadlock: no callback is ready and no timer is scheduled")
        self.virtual_time_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that uses the virtual time of its selector."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        return self._virtual_selector.virtual_time_s


def run_in_virtual_time(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time; the clocks of greengagewood follow the virtual time."""
    loop = VirtualTimeLoop()
    set_clocks(
        lambda: int(loop.time() * 1e9), lambda: START_WALL_MS * 1_000_000 + int(loop.time() * 1e9)
    )
    try:
        return loop.run_until_complete(main)
    finally:
        reset_clocks()
        pending = asyncio.all_tasks(loop)
        for task in pending:
            task.cancel()
        if pending:
            loop.run_until_complete(asyncio.wait(pending))
        loop.close()
