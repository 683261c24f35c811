"""An event loop whose time passes only when nothing is left to do now."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from greengagewood.internal.clock import reset_clocks, set_clocks

T = TypeVar("T")

EPOCH_MS = 1_700_000_000_000  # the time of day at which every run begins


class _InstantSelector(selectors.DefaultSelector):
    """Skip every wait, and tell the loop how long it would have been."""

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("everything waits for something that will never happen")
        self.skipped += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run callbacks in virtual time."""

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        return self._instant.skipped


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time, with the product's clocks following it."""
    loop = VirtualLoop()
    set_clocks(
        lambda: int(loop.time() * 1e9), lambda: EPOCH_MS * 1_000_000 + int(loop.time() * 1e9)
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
