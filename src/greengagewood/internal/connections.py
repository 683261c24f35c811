"""Close callers' connections that send no whole request for too long.

aiohttp bounds the time between requests, but not the time that a caller takes to send the first
line and the headers, so a few hundred slow callers could hold every connection.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from aiohttp import web

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.metrics import Metrics

__all__ = ["ConnectionGuard"]

QUIET_LIMIT_MS = 10_000
SWEEP_INTERVAL_S = 0.5
MAX_CONNECTIONS = 8000


@dataclass
class _Connection:
    last_ms: int
    requests: int = 0


@dataclass
class ConnectionGuard:
    """Watch the connections of one server."""

    metrics: Metrics
    quiet_limit_ms: int = QUIET_LIMIT_MS
    max_connections: int = MAX_CONNECTIONS
    _known: WeakKeyDictionary[asyncio.BaseTransport, _Connection] = field(
        default_factory=WeakKeyDictionary
    )

    def entered(self, transport: asyncio.BaseTransport | None) -> None:
        """Note that a whole request head has arrived on a connection."""
        if transport is not None:
            self._state(transport).requests += 1

    def left(self, transport: asyncio.BaseTransport | None) -> None:
        """Note that a request has been answered."""
        if transport is not None:
            state = self._state(transport)
            state.requests -= 1
            state.last_ms = monotonic_ms()

    def _state(self, transport: asyncio.BaseTransport) -> _Connection:
        return self._known.setdefault(transport, _Connection(monotonic_ms()))

    async def sweep(self, server: web.Server) -> None:
        """Close what is quiet for too long, and the newest connections over the bound."""
        now_ms = monotonic_ms()
        transports = [c.transport for c in server.connections if c.transport is not None]
        for transport in transports:
            state = self._state(transport)
            if state.requests == 0 and now_ms - state.last_ms > self.quiet_limit_ms:
                self.metrics.count("connections_closed", reason="quiet")
                transport.abort()
        for transport in transports[self.max_connections :]:
            if self._state(transport).requests == 0:
                self.metrics.count("connections_closed", reason="too_many")
                transport.abort()
        await asyncio.sleep(SWEEP_INTERVAL_S)
