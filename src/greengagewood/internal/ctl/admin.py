"""Ask keepers which configuration is in force."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.settings import Address

__all__ = ["RolloutStatus", "read_status", "wait_for_rollout"]

STATUS_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.1


@dataclass(frozen=True)
class RolloutStatus:
    """Report whether a configuration is in force on every instance, and after how many seconds.

    `slowest` is the last instance that reported it as in force, and `missing` holds the addresses
    of those that have not.
    """

    everywhere: bool
    seconds: float
    slowest: str
    missing: tuple[str, ...]


async def read_status(session: aiohttp.ClientSession, address: Address) -> dict[str, Any] | None:
    """Return the status that a keeper reports, or None if it gives no valid reply."""
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    try:
        async with session.get(f"http://{address}/status", timeout=timeout) as resp:
            status = msgspec.json.decode(await resp.read())
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
        return None
    return status if isinstance(status, dict) else None


async def wait_for_rollout(
    session: aiohttp.ClientSession,
    addresses: tuple[Address, ...],
    offset: int,
    started_ms: int,
    timeout_s: float,
    field: str = "in_force_offset",
) -> RolloutStatus:
    """Wait until every process of every instance has this offset, or a newer one, in force.

    `field` is the field of the status that has the offset. Give up after `timeout_s`, counted from
    `started_ms`.
    """
    missing = {str(address): address for address in addresses}
    slowest = ""
    while True:
        statuses = await asyncio.gather(*(read_status(session, a) for a in missing.values()))
        for name, status in zip(list(missing), statuses, strict=True):
            if status is not None and status.get(field, 0) >= offset:
                slowest = f"{status['instance']} ({name})"
                del missing[name]
        seconds = (monotonic_ms() - started_ms) / 1000
        if not missing or seconds > timeout_s:
            return RolloutStatus(not missing, seconds, slowest, tuple(missing))
        await asyncio.sleep(POLL_INTERVAL_S)
