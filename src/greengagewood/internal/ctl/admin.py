"""Ask keepers what is in force."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.settings import Address

__all__ = ["InForce", "read_status", "wait_in_force"]

STATUS_TIMEOUT_S = 2.0
POLL_S = 0.1


@dataclass(frozen=True)
class InForce:
    """Report whether a configuration is in force everywhere, and who was slowest."""

    everywhere: bool
    seconds: float
    slowest: str
    missing: tuple[str, ...]


async def read_status(session: aiohttp.ClientSession, address: Address) -> dict[str, Any] | None:
    """Return what a keeper says of itself, or None if it does not answer."""
    limit = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    try:
        async with session.get(f"http://{address}/status", timeout=limit) as resp:
            found = msgspec.json.decode(await resp.read())
    except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
        return None
    return found if isinstance(found, dict) else None


async def wait_in_force(
    session: aiohttp.ClientSession,
    addresses: tuple[Address, ...],
    offset: int,
    started_ms: int,
    timeout_s: float,
) -> InForce:
    """Wait until every process of every instance has this offset, or a newer one, in force."""
    missing = {str(address): address for address in addresses}
    slowest = ""
    while True:
        statuses = await asyncio.gather(*(read_status(session, a) for a in missing.values()))
        for name, status in zip(list(missing), statuses, strict=True):
            if status is not None and status["in_force_offset"] >= offset:
                slowest = f"{status['instance']} ({name})"
                del missing[name]
        seconds = (monotonic_ms() - started_ms) / 1000
        if not missing or seconds > timeout_s:
            return InForce(not missing, seconds, slowest, tuple(missing))
        await asyncio.sleep(POLL_S)
