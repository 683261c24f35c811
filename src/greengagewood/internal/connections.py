"""Close callers' connections that send no complete request head for too long.

aiohttp limits the time between requests, but not the time that a caller takes to send the request
line and the headers, so a few hundred slow callers could occupy every connection.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from aiohttp import web

from greengagewood.internal.clock import monotonic_ms
from greengagewood.internal.metrics import Metrics

__all__ = ["ConnectionGuard"]

IDLE_LIMIT_MS = 10_000
CHECK_INTERVAL_S = 0.5
MAX_CONNECTIONS = 8000
# Passes of the event loop in which a request that has reached the socket is read and its handler
# starts; aiohttp needs three.
READ_PASSES = 10


@dataclass
class _ConnectionState:
    last_active_ms: int
    requests_in_progress: int = 0


@dataclass
class ConnectionGuard:
    """Limit the number of one server's connections and the time that they are idle.

    A connection is idle while none of its requests is in progress.
    """

    metrics: Metrics
    idle_limit_ms: int = IDLE_LIMIT_MS
    max_connections: int = MAX_CONNECTIONS
    _connections: WeakKeyDictionary[asyncio.BaseTransport, _ConnectionState] = field(
        default_factory=WeakKeyDictionary
    )

    def request_started(self, transport: asyncio.BaseTransport | None) -> None:
        """Record that a complete request head has arrived on a connection."""
        if transport is not None:
            self._state(transport).requests_in_progress += 1

    def request_finished(self, transport: asyncio.BaseTransport | None) -> None:
        """Record that a request has been answered."""
        if transport is not None:
            state = self._state(transport)
            state.requests_in_progress -= 1
            state.last_active_ms = monotonic_ms()

    def _state(self, transport: asyncio.BaseTransport) -> _ConnectionState:
        return self._connections.setdefault(transport, _ConnectionState(monotonic_ms()))

    def all_idle(self, server: web.Server, idle_ms: int) -> bool:
        """Return whether every open connection has been idle for this long."""
        now_ms = monotonic_ms()
        return all(
            self._idle_ms(transport, now_ms) >= idle_ms for transport in _open_transports(server)
        )

    def _idle_ms(self, transport: asyncio.BaseTransport, now_ms: int) -> int:
        """Return for how long a connection has been idle; -1 if a request is in progress."""
        state = self._state(transport)
        return -1 if state.requests_in_progress else now_ms - state.last_active_ms

    def _overdue(self, server: web.Server) -> list[asyncio.Transport]:
        now_ms = monotonic_ms()
        return [
            transport
            for transport in _open_transports(server)
            if self._idle_ms(transport, now_ms) > self.idle_limit_ms
        ]

    async def enforce_limits(self, server: web.Server) -> None:
        """Close connections that are idle for too long, and the newest ones above the maximum.

        A connection with a request in progress is never closed. A request may wait unread in the
        socket if the event loop was busy or the process was paused, so the event loop reads what
        has arrived before a connection is closed as idle.
        """
        if self._overdue(server):
            for _ in range(READ_PASSES):
                await asyncio.sleep(0)
        for transport in self._overdue(server):
            self.metrics.count("connections_closed", reason="quiet")
            transport.abort()
        for transport in _open_transports(server)[self.max_connections :]:
            if self._state(transport).requests_in_progress == 0:
                self.metrics.count("connections_closed", reason="too_many")
                transport.abort()
        await asyncio.sleep(CHECK_INTERVAL_S)


def _open_transports(server: web.Server) -> list[asyncio.Transport]:
    return [c.transport for c in server.connections if c.transport is not None]
