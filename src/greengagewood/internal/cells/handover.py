"""What an owner that stops as planned waits for before it releases its cell.

A worker that drains may leave at any time. Whatever the record of the release says that it may run
then waits for its lease. So the owner starts nothing more, and first waits for the answers to its
starts, and for the ends of the runs that it has told such workers to stop. A worker that does not
answer has no part in this, as nothing would be learned.

The lists that show the ends are those that the owner asks for anyway. It goes on to extend the
leases of other workers, as one that has just got its first runs holds only the short lease of their
starts. Workers that drain get no more, so a wait in vain delays the release, but not the time when
their leases have expired.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from greengagewood.internal.cells.boots import Boot
from greengagewood.internal.cells.orders import Order, StartRun, StopRun
from greengagewood.internal.clock import monotonic_ms

__all__ = ["HANDOVER_TIMEOUT_MS", "Handover", "await_ends", "cancel_all"]

# A run ends within 400 ms of its stop, and is listed soon after that. It leaves time for one append
# within `RELEASE_TIMEOUT_S`, to which it counts.
HANDOVER_TIMEOUT_MS = 600
CHECK_INTERVAL_S = 0.01
CANCEL_TIMEOUT_S = 0.1  # a call that times out as it is cancelled may go on


@dataclass(frozen=True, slots=True)
class Handover:
    """How many calls and workers an owner has waited for, what is left of them, and how long."""

    calls: int
    workers: int
    calls_left: int
    runs_left: int
    waited_ms: int


async def await_ends(
    open_orders: Callable[[], Iterable[Order]],
    boots: Callable[[], Iterable[Boot]],
    may_wait: Callable[[], bool],
) -> Handover:
    """Wait until nothing is under way that the record should tell, or `HANDOVER_TIMEOUT_MS`."""
    begun_ms = now_ms = monotonic_ms()
    first_calls, first_boots = calls, draining = _awaited(open_orders(), boots(), now_ms)
    while (calls or draining) and now_ms - begun_ms < HANDOVER_TIMEOUT_MS and may_wait():
        await asyncio.sleep(CHECK_INTERVAL_S)
        now_ms = monotonic_ms()
        calls, draining = _awaited(open_orders(), boots(), now_ms)
    runs_left = sum(run.stop_sent_ms is not None for boot in draining for run in boot.runs.values())
    return Handover(
        len(first_calls), len(first_boots), len(calls), runs_left, monotonic_ms() - begun_ms
    )


def _awaited(
    orders: Iterable[Order], boots: Iterable[Boot], now_ms: int
) -> tuple[list[StartRun | StopRun], list[Boot]]:
    """Return the calls to wait for, and the workers whose lists to wait for."""
    calls = [
        order
        for order in orders
        if isinstance(order, StartRun) or (isinstance(order, StopRun) and order.boot.info.draining)
        if not order.boot.unresponsive
    ]
    return calls, [boot for boot in boots if _has_ends_ahead(boot, now_ms)]


def _has_ends_ahead(boot: Boot, now_ms: int) -> bool:
    """Return whether the next lists of a worker may show that it can leave without harm."""
    if not boot.info.draining or boot.unresponsive or not boot.worker.in_directory:
        return False
    if boot.is_leaving:
        return bool(boot.runs)
    if not boot.adopted:
        return bool(boot.unlisted_runs(now_ms))
    return any(run.stop_sent_ms is not None for run in boot.runs.values())


async def cancel_all(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel calls, so that they send nothing more."""
    cancelled = set(tasks)
    for task in cancelled:
        task.cancel()
    if cancelled:
        await asyncio.wait(cancelled, timeout=CANCEL_TIMEOUT_S)
